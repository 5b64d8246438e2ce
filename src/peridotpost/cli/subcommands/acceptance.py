"""Commands that put a version in force: accept and rollback."""

import asyncio
import functools
import pathlib

import click
import result

from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.cli.subcommands import options
from peridotpost.cli.subcommands import output
from peridotpost.model import errors
from peridotpost.store import store
from peridotpost.store import versions

sleep: versions.Sleep = asyncio.sleep


@click.command(
    epilog='Example: peridotctl accept --mesh rautasilta mesh.yaml '
    '--base 41 --note "raise the deadline of bond-issue"'
)
@options.text_argument
@options.mesh_option
@options.store_option
@options.timeout_option
@options.base_option
@options.author_option
@options.note_option
@options.write_id_option
@options.json_option
def accept(
    file: pathlib.Path,
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    base: int | None,
    author: str,
    note: str,
    write_id: str,
    as_json: bool,
) -> None:
    """Put FILE in force, unless another version came first."""

    async def body() -> int:
        text = operator.text_for(mesh, file)
        with operator.opened_store(endpoints, timeout_s) as platform:
            standing = await _standing(platform, mesh, base, as_json)
            if isinstance(standing, result.Err):
                return output.fail(as_json, standing.err_value)
            proposed = operator.propose(
                text, author, note, standing.ok_value, write_id
            )
            outcome = await versions.accept(platform, mesh, proposed, sleep)
        return tell(outcome, proposed, as_json)

    output.run(body, as_json)


@click.command(epilog='Example: peridotctl rollback --mesh rautasilta --to 41')
@options.mesh_option
@options.store_option
@options.timeout_option
@click.option(
    '--to',
    'revision',
    required=True,
    type=click.IntRange(min=1),
    help='The kept version whose text is to be in force again.',
)
@options.base_option
@options.author_option
@options.note_option
@options.write_id_option
@options.json_option
def rollback(
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    revision: int,
    base: int | None,
    author: str,
    note: str,
    write_id: str,
    as_json: bool,
) -> None:
    """Accept the text of a kept version as a new version."""

    async def body() -> int:
        with operator.opened_store(endpoints, timeout_s) as platform:
            found = await operator.kept_version(platform, mesh, revision)
            if isinstance(found, result.Err):
                return output.fail(as_json, found.err_value)
            text = found.ok_value.text
            operator.mesh_of(text, f'version {revision}')
            standing = await _standing(platform, mesh, base, as_json)
            if isinstance(standing, result.Err):
                return output.fail(as_json, standing.err_value)
            proposed = operator.propose(
                text,
                author,
                note or f'rollback to version {revision}',
                standing.ok_value,
                write_id,
            )
            outcome = await versions.accept(platform, mesh, proposed, sleep)
        return tell(outcome, proposed, as_json)

    output.run(body, as_json)


async def _standing(
    platform: store.Store, mesh: str, base: int | None, as_json: bool
) -> result.Result[int, errors.StoreError]:
    """Return `base`, or without it the revision in force.

    The one taken is told before anything is written: a text that was made
    on an older version would else replace what came since in silence.
    """
    if base is not None:
        return result.Ok(base)
    head = await versions.read_head(platform, mesh)
    taken = head.map(lambda found: found.revision if found else 0)
    if isinstance(taken, result.Ok) and not as_json:
        click.echo(
            f'no --base given: takes version {taken.ok_value}, which is in '
            'force now',
            err=True,
        )
    return taken


@functools.singledispatch
def tell(
    outcome: versions.Acceptance, proposed: versions.Accepted, as_json: bool
) -> int:
    """Print how an accept ended; return the exit code."""
    raise TypeError(f'{type(outcome).__name__} is no outcome of an accept')


@tell.register
def _(
    outcome: versions.Won, proposed: versions.Accepted, as_json: bool
) -> int:
    later = outcome.superseded_by
    plain = (
        f'accepted as version {outcome.revision}, '
        f'on top of version {proposed.base_revision}'
    )
    if later is not None:
        plain += (
            f'; {later.author} has accepted version {later.revision} since'
        )
    output.show(
        as_json,
        {
            'outcome': 'accepted',
            'revision': outcome.revision,
            'base_revision': proposed.base_revision,
            'superseded_by': later.revision if later else None,
        },
        plain,
    )
    return common.EXIT_OK


@tell.register
def _(
    outcome: versions.LostRace, proposed: versions.Accepted, as_json: bool
) -> int:
    current = outcome.current
    if current is None:
        output.show(
            as_json,
            {'outcome': 'lost-race', 'current_revision': 0},
            f'not accepted: there is no version {proposed.base_revision}, '
            'nor any other; accept with --base 0',
        )
        return common.EXIT_REFUSED
    lines = operator.difference(
        current.text,
        proposed.text,
        f'version {current.revision} by {current.author}',
        'yours',
    )
    output.show(
        as_json,
        {
            'outcome': 'lost-race',
            'current_revision': current.revision,
            'author': current.author,
            'note': current.note,
            'diff': lines,
        },
        f'not accepted: {current.author} accepted version '
        f'{current.revision} first ({current.note or "no note"}). Merge and '
        f'accept with --base {current.revision}\n{lines}',
    )
    return common.EXIT_REFUSED


@tell.register
def _(
    outcome: versions.NotWritten, proposed: versions.Accepted, as_json: bool
) -> int:
    output.show(
        as_json,
        {
            'outcome': 'not-written',
            'write_id': proposed.write_id,
            'error': str(outcome.error),
        },
        f'not accepted, nothing was written: {outcome.error}',
    )
    return common.EXIT_FAILED


@tell.register
def _(
    outcome: versions.Undecided, proposed: versions.Accepted, as_json: bool
) -> int:
    output.show(
        as_json,
        {
            'outcome': 'undecided',
            'write_id': outcome.write_id,
            'base_revision': proposed.base_revision,
            'error': str(outcome.error),
        },
        f'undecided: {outcome.error}. Run the same command with --base '
        f'{proposed.base_revision} --write-id {outcome.write_id}; it cannot '
        'take effect twice',
    )
    return common.EXIT_UNDECIDED
