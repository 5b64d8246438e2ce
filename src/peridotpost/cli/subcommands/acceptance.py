"""Commands that write a new version: accept and rollback."""

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
    """Accept FILE as the new version, unless another was accepted first."""

    async def body() -> int:
        text = operator.read_mesh_text(mesh, file)
        with operator.store_session(endpoints, timeout_s) as platform:
            base_revision = await _find_base(platform, mesh, base, as_json)
            if isinstance(base_revision, result.Err):
                return output.print_error(as_json, base_revision.err_value)
            proposed = operator.make_version(
                text, author, note, base_revision.ok_value, write_id
            )
            outcome = await versions.accept(platform, mesh, proposed, sleep)
        return report_outcome(outcome, proposed, as_json)

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
    help='Earlier version whose text is to be accepted again.',
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
    """Accept the text of an earlier version as a new version."""

    async def body() -> int:
        with operator.store_session(endpoints, timeout_s) as platform:
            found = await operator.find_version(platform, mesh, revision)
            if isinstance(found, result.Err):
                return output.print_error(as_json, found.err_value)
            text = found.ok_value.text
            operator.parse_mesh(text, f'version {revision}')
            base_revision = await _find_base(platform, mesh, base, as_json)
            if isinstance(base_revision, result.Err):
                return output.print_error(as_json, base_revision.err_value)
            proposed = operator.make_version(
                text,
                author,
                note or f'rollback to version {revision}',
                base_revision.ok_value,
                write_id,
            )
            outcome = await versions.accept(platform, mesh, proposed, sleep)
        return report_outcome(outcome, proposed, as_json)

    output.run(body, as_json)


async def _find_base(
    platform: store.Store, mesh: str, base: int | None, as_json: bool
) -> result.Result[int, errors.StoreError]:
    """Return `base`, or the revision in force if none is given.

    The revision is printed before anything is written: a text based on an
    older version would otherwise silently revert the changes made since.
    """
    if base is not None:
        return result.Ok(base)
    head = await versions.read_head(platform, mesh)
    current_revision = head.map(
        lambda version: version.revision if version else 0
    )
    if isinstance(current_revision, result.Ok) and not as_json:
        click.echo(
            f'no --base given: takes version {current_revision.ok_value}, '
            'which is in force now',
            err=True,
        )
    return current_revision


@functools.singledispatch
def report_outcome(
    outcome: versions.AcceptResult,
    proposed: versions.AcceptedVersion,
    as_json: bool,
) -> int:
    """Print the outcome of an accept; return the exit code."""
    raise TypeError(f'unknown outcome of an accept: {type(outcome).__name__}')


@report_outcome.register
def _(
    outcome: versions.Committed,
    proposed: versions.AcceptedVersion,
    as_json: bool,
) -> int:
    newer = outcome.superseded_by
    message = (
        f'accepted as version {outcome.revision}, '
        f'on top of version {proposed.base_revision}'
    )
    if newer is not None:
        message += (
            f'; {newer.author} has accepted version {newer.revision} since'
        )
    output.print_result(
        as_json,
        {
            'outcome': 'accepted',
            'revision': outcome.revision,
            'base_revision': proposed.base_revision,
            'superseded_by': newer.revision if newer else None,
        },
        message,
    )
    return common.EXIT_OK


@report_outcome.register
def _(
    outcome: versions.LostRace,
    proposed: versions.AcceptedVersion,
    as_json: bool,
) -> int:
    current = outcome.current
    if current is None:
        output.print_result(
            as_json,
            {'outcome': 'lost-race', 'current_revision': 0},
            f'not accepted: there is no version {proposed.base_revision}, '
            'nor any other; accept with --base 0',
        )
        return common.EXIT_REFUSED
    lines = operator.unified_diff(
        current.text,
        proposed.text,
        f'version {current.revision} by {current.author}',
        'yours',
    )
    output.print_result(
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


@report_outcome.register
def _(
    outcome: versions.NotWritten,
    proposed: versions.AcceptedVersion,
    as_json: bool,
) -> int:
    output.print_result(
        as_json,
        {
            'outcome': 'not-written',
            'write_id': proposed.write_id,
            'error': str(outcome.error),
        },
        f'not accepted, nothing was written: {outcome.error}',
    )
    return common.EXIT_FAILED


@report_outcome.register
def _(
    outcome: versions.Undecided,
    proposed: versions.AcceptedVersion,
    as_json: bool,
) -> int:
    output.print_result(
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
