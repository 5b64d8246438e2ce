"""Commands that read configuration texts: check, diff, show, history."""

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
    """Check a text without accessing the store."""

    async def body() -> int:
        mesh = operator.parse_mesh(operator.read_file(file), str(file))
        count = len(mesh.services)
        output.print_result(
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
        text = operator.read_mesh_text(mesh, file)
        with operator.store_session(endpoints, timeout_s) as platform:
            head = await versions.read_head(platform, mesh)
        if isinstance(head, result.Err):
            return output.print_error(as_json, head.err_value)
        current = head.ok_value
        old = current.text if current else ''
        base = current.revision if current else 0
        lines = operator.unified_diff(old, text, f'version {base}', str(file))
        output.print_result(
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
    help='Version to show; 0 for the one in force.',
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
        with operator.store_session(endpoints, timeout_s) as platform:
            found = await operator.find_version(platform, mesh, revision)
        if isinstance(found, result.Err):
            return output.print_error(as_json, found.err_value)
        version = found.ok_value
        output.print_result(
            as_json, version_to_json(version), version.text.rstrip('\n')
        )
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
    """List the stored versions, newest first."""

    async def body() -> int:
        with operator.store_session(endpoints, timeout_s) as platform:
            stored = await versions.read_history(platform, mesh)
        if isinstance(stored, result.Err):
            return output.print_error(as_json, stored.err_value)
        rows = stored.ok_value
        listing = '\n'.join(
            f'{version.revision:>8}  {_format_time(version.at)}  '
            f'{version.author:<12} {version.note}'
            for version in rows
        )
        output.print_result(
            as_json,
            {'versions': [version_to_json(version) for version in rows]},
            listing or 'no version was accepted yet',
        )
        return common.EXIT_OK

    output.run(body, as_json)


def version_to_json(version: versions.AcceptedVersion) -> dict[str, Any]:
    """Return the JSON representation of a version."""
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


def _format_time(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))
