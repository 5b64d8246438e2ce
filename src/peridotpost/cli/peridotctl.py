"""``peridotctl``: the operators' command line."""

import asyncio
import collections
import getpass
import json
import pathlib
import time
from typing import Any

import click
import result

from peridotpost.admin import models
from peridotpost.border import document
from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.model import errors
from peridotpost.platform import versions

POLL_S = 0.02

store_option = click.option(
    '--store',
    'endpoints',
    multiple=True,
    envvar='PERIDOT_STORE',
    default=('http://127.0.0.1:2379',),
    show_default=True,
    help="Address of the platform's key-value service; may be repeated.",
)
mesh_option = click.option(
    '--mesh', required=True, envvar='PERIDOT_MESH', help='Name of the mesh.'
)
json_option = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON for programs.'
)
daemons_option = click.option(
    '--daemon',
    'daemons',
    multiple=True,
    required=True,
    help='ADDRESS:PORT of an admin page; may be repeated.',
)
text_argument = click.argument('file', type=click.Path(path_type=pathlib.Path))
timeout_option = click.option(
    '--timeout-s', default=2.0, show_default=True, help='For each store call.'
)


@click.group(
    epilog='Exit codes: 0 done, 1 failed, 2 wrong text or usage, 3 refused '
    '(lost a race, or not in force), 4 undecided (the store is silent).'
)
def main() -> None:
    """Check, accept and follow the text that drives the mesh."""


def _show(as_json: bool, data: dict[str, Any], plain: str) -> None:
    click.echo(json.dumps(data) if as_json else plain)


def _read_file(file: pathlib.Path) -> str:
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = document.Problem(str(file), '', 0, f'{error}')
        raise document.DocumentError([problem]) from error


def _fail(as_json: bool, error: errors.PeridotError) -> int:
    _show(as_json, {'outcome': 'failed', 'error': str(error)}, f'{error}')
    return common.EXIT_FAILED


@main.command(epilog='Example: peridotctl check mesh.yaml')
@text_argument
@json_option
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a text without touching the store."""

    async def body() -> int:
        try:
            mesh = operator.mesh_of(_read_file(file), str(file))
        except document.DocumentError as error:
            if not as_json:
                raise
            found = [
                {'path': p.path, 'line': p.line, 'message': p.message}
                for p in error.problems
            ]
            click.echo(json.dumps({'ok': False, 'problems': found}))
            return common.EXIT_USAGE
        count = len(mesh.services)
        _show(
            as_json,
            {'ok': True, 'mesh': mesh.mesh, 'services': count},
            f'{file}: ok, mesh {mesh.mesh} with {count} services',
        )
        return common.EXIT_OK

    common.run(body)


@main.command(epilog='Example: peridotctl diff --mesh rautasilta mesh.yaml')
@text_argument
@mesh_option
@store_option
@timeout_option
@json_option
def diff(
    file: pathlib.Path,
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    as_json: bool,
) -> None:
    """Show what accepting FILE would change."""

    async def body() -> int:
        text = _read_file(file)
        operator.mesh_of(text, str(file))
        platform = operator.open_store(endpoints, timeout_s)
        head = await versions.read_head(platform, mesh)
        if isinstance(head, result.Err):
            return _fail(as_json, head.err_value)
        current = head.ok_value
        old, base = (
            ('', 0)
            if current is None
            else (
                current.text,
                current.revision,
            )
        )
        lines = operator.difference(old, text, f'version {base}', str(file))
        _show(
            as_json,
            {'base_revision': base, 'diff': lines},
            lines or f'no difference from version {base}',
        )
        return common.EXIT_OK

    common.run(body)


@main.command(
    epilog='Example: peridotctl accept --mesh rautasilta mesh.yaml '
    '--base 41 --note "raise the deadline of bond-issue"'
)
@text_argument
@mesh_option
@store_option
@timeout_option
@click.option(
    '--base',
    type=int,
    help='Version this text was written on; without it, the one in force.',
)
@click.option('--author', default=getpass.getuser, help='Who accepts.')
@click.option('--note', default='', help='Why.')
@click.option(
    '--write-id', default='', help='Of an undecided accept, to go on with.'
)
@json_option
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
        text = _read_file(file)
        named = operator.mesh_of(text, str(file)).mesh
        if named != mesh:
            problem = document.Problem(
                str(file), 'mesh', 0, f'is {named!r}, not {mesh!r}'
            )
            raise document.DocumentError([problem])
        platform = operator.open_store(endpoints, timeout_s)
        revision = base
        if revision is None:
            head = await versions.read_head(platform, mesh)
            if isinstance(head, result.Err):
                return _fail(as_json, head.err_value)
            revision = head.ok_value.revision if head.ok_value else 0
        proposed = operator.propose(text, author, note, revision, write_id)
        outcome = await versions.accept(
            platform, mesh, proposed, asyncio.sleep
        )
        return _tell_acceptance(outcome, proposed, as_json)

    common.run(body)


def _tell_acceptance(
    outcome: versions.Acceptance, proposed: versions.Accepted, as_json: bool
) -> int:
    if isinstance(outcome, versions.Won):
        later = outcome.superseded_by
        plain = f'accepted as version {outcome.revision}'
        if later is not None:
            plain += (
                f'; {later.author} has accepted version {later.revision} since'
            )
        _show(
            as_json,
            {
                'outcome': 'accepted',
                'revision': outcome.revision,
                'superseded_by': later.revision if later else None,
            },
            plain,
        )
        return common.EXIT_OK
    if isinstance(outcome, versions.LostRace):
        return _tell_lost(outcome.current, proposed, as_json)
    _show(
        as_json,
        {
            'outcome': 'undecided',
            'write_id': outcome.write_id,
            'error': str(outcome.error),
        },
        f'undecided: {outcome.error}. Run the same command with --base '
        f'{proposed.base_revision} --write-id {outcome.write_id}; it cannot '
        'take effect twice',
    )
    return common.EXIT_UNDECIDED


def _tell_lost(
    current: versions.Accepted | None,
    proposed: versions.Accepted,
    as_json: bool,
) -> int:
    if current is None:
        _show(
            as_json,
            {'outcome': 'lost-race', 'current_revision': 0},
            f'not accepted: there is no version {proposed.base_revision}',
        )
        return common.EXIT_REFUSED
    lines = operator.difference(
        current.text,
        proposed.text,
        f'version {current.revision} by {current.author}',
        'yours',
    )
    _show(
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


@main.command(epilog='Example: peridotctl show --mesh rautasilta')
@mesh_option
@store_option
@timeout_option
@click.option('--revision', default=0, help='A kept version; 0: in force.')
@json_option
def show(
    mesh: str,
    endpoints: tuple[str, ...],
    timeout_s: float,
    revision: int,
    as_json: bool,
) -> None:
    """Print a version's text."""

    async def body() -> int:
        platform = operator.open_store(endpoints, timeout_s)
        found = await operator.find_version(platform, mesh, revision)
        if isinstance(found, result.Err):
            return _fail(as_json, found.err_value)
        version = found.ok_value
        if version is None:
            raise errors.PeridotError(
                'there is no such version; see peridotctl history',
                step='version.show',
                peer=str(revision or mesh),
            )
        _show(as_json, _plain(version), version.text.rstrip('\n'))
        return common.EXIT_OK

    common.run(body)


def _plain(version: versions.Accepted) -> dict[str, Any]:
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


@main.command(epilog='Example: peridotctl history --mesh rautasilta')
@mesh_option
@store_option
@timeout_option
@json_option
def history(
    mesh: str, endpoints: tuple[str, ...], timeout_s: float, as_json: bool
) -> None:
    """List the kept versions, newest first."""

    async def body() -> int:
        platform = operator.open_store(endpoints, timeout_s)
        found = await versions.read_history(platform, mesh)
        if isinstance(found, result.Err):
            return _fail(as_json, found.err_value)
        rows = found.ok_value
        plain = '\n'.join(
            f'{one.revision:>8}  {_at(one.at)}  {one.author:<12} {one.note}'
            for one in rows
        )
        _show(
            as_json,
            {'versions': [_plain(one) for one in rows]},
            plain or 'no version was accepted yet',
        )
        return common.EXIT_OK

    common.run(body)


def _at(seconds: float) -> str:
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(seconds))


@main.command(
    epilog='Example: peridotctl status --daemon 10.0.0.7:8082 '
    '--wait-revision 41 --within-s 4'
)
@daemons_option
@click.option(
    '--wait-revision', default=0, help='Wait until it is in force on all.'
)
@click.option('--within-s', default=10.0, show_default=True)
@json_option
def status(
    daemons: tuple[str, ...],
    wait_revision: int,
    within_s: float,
    as_json: bool,
) -> None:
    """Show which version each daemon has in force."""

    async def body() -> int:
        until = time.monotonic() + within_s
        while True:
            asked = await operator.ask_all(
                daemons, '/v1/status', models.DaemonStatus
            )
            behind = [one for one in asked if _behind(one, wait_revision)]
            if not behind or time.monotonic() > until:
                break
            await asyncio.sleep(POLL_S)
        _show(
            as_json,
            {'daemons': [_status_row(one) for one in asked]},
            '\n'.join(_status_line(one) for one in asked),
        )
        return common.EXIT_REFUSED if behind else common.EXIT_OK

    common.run(body)


def _behind(asked: operator.Asked, revision: int) -> bool:
    page = asked.page
    if not isinstance(page, models.DaemonStatus):
        return True
    return page.revision < revision


def _status_row(asked: operator.Asked) -> dict[str, Any]:
    if asked.page is None:
        return {'address': asked.address, 'error': asked.error}
    return {'address': asked.address, **asked.page.model_dump()}


def _status_line(asked: operator.Asked) -> str:
    page = asked.page
    if not isinstance(page, models.DaemonStatus):
        return f'{asked.address}: {asked.error}'
    live = collections.Counter(one.status for one in page.members)
    role = 'relay' if page.relay else 'member'
    return (
        f'{page.host} ({page.availability_zone}) {page.stage} {role}: '
        f'version {page.revision}, {len(page.routes)} routes, '
        f'{live["alive"]} of {len(page.members)} members alive, '
        f'{page.resident_kib // 1024} MB'
    )


@main.command(
    epilog='Example: peridotctl explain --daemon 10.0.0.7:8082 bond-issue'
)
@click.argument('service')
@daemons_option
@json_option
def explain(service: str, daemons: tuple[str, ...], as_json: bool) -> None:
    """Tell where each daemon would send a call to SERVICE, and why."""

    async def body() -> int:
        asked = await operator.ask_all(
            daemons, '/v1/status', models.DaemonStatus
        )
        rows = [_explain(one, service) for one in asked]
        _show(as_json, {'daemons': rows}, '\n'.join(_spell(r) for r in rows))
        return common.EXIT_OK

    common.run(body)


def _explain(asked: operator.Asked, service: str) -> dict[str, Any]:
    page = asked.page
    if not isinstance(page, models.DaemonStatus):
        return {'address': asked.address, 'error': asked.error}
    endpoints = {one.service: one.endpoints for one in page.routes}
    left_out = [
        f'{member.host}/{target.split("/")[1]} ({member.status})'
        for member in page.members
        for target in member.targets
        if target.startswith(f'{service}/')
        and (member.status in ('dead', 'left') or target.endswith(' draining'))
    ]
    return {
        'address': asked.address,
        'host': page.host,
        'revision': page.revision,
        'in_scope': service in endpoints,
        'targets': endpoints.get(service, []),
        'left_out': left_out,
    }


def _spell(row: dict[str, Any]) -> str:
    if 'error' in row:
        return f'{row["address"]}: {row["error"]}'
    if not row['in_scope']:
        return (
            f'{row["host"]}: not in its scope of version {row["revision"]}: '
            'no such service, or internal and nothing here depends on it'
        )
    chosen = ', '.join(row['targets']) or 'no live target'
    out = (
        f'; left out: {", ".join(row["left_out"])}' if row['left_out'] else ''
    )
    return f'{row["host"]}: version {row["revision"]}, one of {chosen}{out}'


@main.command(
    epilog='Example: peridotctl timeline --daemon 10.0.0.7:8082 '
    '--request-id 5f0c --host hel-a1'
)
@daemons_option
@click.option('--request-id', default='', help='Only this request.')
@click.option('--host', default='', help='Only events of this host.')
@click.option('--revision', default=0, help='Only this version.')
@json_option
def timeline(
    daemons: tuple[str, ...],
    request_id: str,
    host: str,
    revision: int,
    as_json: bool,
) -> None:
    """Merge the events of all daemons, in the order of their clocks."""

    async def body() -> int:
        asked = await operator.ask_all(
            daemons,
            f'/v1/timeline?request_id={request_id}&revision={revision}',
            models.TimelinePage,
        )
        events = [
            event
            for one in asked
            if isinstance(one.page, models.TimelinePage)
            for event in one.page.events
            if host in ('', event.host)
        ]
        events.sort(key=lambda event: (event.at, event.host, event.number))
        for one in asked:
            if one.page is None:
                click.echo(f'{one.address}: {one.error}', err=True)
        _show(
            as_json,
            {'events': [event.model_dump() for event in events]},
            '\n'.join(
                f'{event.at:.6f} {event.host:<12} {event.kind:<18} '
                f'{event.request_id} {event.revision or ""} {event.detail}'
                for event in events
            ),
        )
        return common.EXIT_OK

    common.run(body)


if __name__ == '__main__':
    main()
