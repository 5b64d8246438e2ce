"""Commands that read the operators' texts: check, diff, show, history."""

import pathlib
import time
from typing import Any

import click
import result

from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.cli.subcommands import options
from peridotpost.cli.subcommands import output
from peridotpost.store import versions


@click.command(epilog='Example: peridotctl check mesh.yaml')
@options.text_argument
@options.json_option
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a text without touching the store."""

    async def body() -> int:
        mesh = operator.mesh_of(operator.read_file(file), str(file))
        count = len(mesh.services)
        output.show(
            as_json,
            {'ok': True, 'mesh': mesh.mesh, 'services': count},
            f'{file}: ok, mesh {mesh.mesh} with {count} services',
        )
        return common.EXIT_OK

    output.run(body, as_json)


@click.command(epilog='Example: peridotctl diff --mesh rautasilta mesh.yaml')
@options.text_argument
@options.mesh_option
@options.store_option
@options.timeout_option
@options.json_option
def diff(
    file: pathlib.Path,
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Show what accepting FILE would change."""

    async def body() -> int:
        text = operator.text_for(mesh, file)
        with operator.opened_store(endpoints, timeout_s) as platform:
            head = await versions.read_head(platform, mesh)
        if isinstance(head, result.Err):
            return output.fail(as_json, head.err_value)
        current = head.ok_value
        old = current.text if current else ''
        base = current.revision if current else 0
        lines = operator.difference(old, text, f'version {base}', str(file))
        output.show(
            as_json,
            {'base_revision': base, 'diff': lines},
            lines or f'no difference from version {base}',
        )
        return common.EXIT_OK

    output.run(body, as_json)


@click.command(epilog='Example: peridotctl show --mesh rautasilta')
@options.mesh_option
@options.store_option
@options.timeout_option
@click.option(
    '--revision',
    default=0,
    type=click.IntRange(min=0),
    help='A kept version; 0: in force.',
)
@options.json_option
def show(
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    revision: int,
    as_json: bool,
) -> None:
    """Print a version's text."""

    async def body() -> int:
        with operator.opened_store(endpoints, timeout_s) as platform:
            found = await operator.kept_version(platform, mesh, revision)
        if isinstance(found, result.Err):
            return output.fail(as_json, found.err_value)
        version = found.ok_value
        output.show(as_json, plain(version), version.text.rstrip('\n'))
        return common.EXIT_OK

    output.run(body, as_json)


@click.command(epilog='Example: peridotctl history --mesh rautasilta')
@options.mesh_option
@options.store_option
@options.timeout_option
@options.json_option
def history(
    mesh: str, endpoints: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """List the kept versions, newest first."""

    async def body() -> int:
        with operator.opened_store(endpoints, timeout_s) as platform:
            found = await versions.read_history(platform, mesh)
        if isinstance(found, result.Err):
            return output.fail(as_json, found.err_value)
        rows = found.ok_value
        listed = '\n'.join(
            f'{one.revision:>8}  {_at(one.at)}  {one.author:<12} {one.note}'
            for one in rows
        )
        output.show(
            as_json,
            {'versions': [plain(one) for one in rows]},
            listed or 'no version was accepted yet',
        )
        return common.EXIT_OK

    output.run(body, as_json)


def plain(version: versions.Accepted) -> dict[str, Any]:
    """Return a version as JSON shows it."""
    return {
        'revision': version.revision,
        'number': version.number,
        'write_id': version.write_id,
        'author': version.author,
        'note': version.note,
        'at': version.at,
        'base_revision': version.base_revision,
        'text': version.text,
    }


def _at(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))
