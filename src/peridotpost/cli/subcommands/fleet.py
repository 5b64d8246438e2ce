"""Commands that ask daemons: status, explain, timeline."""

import asyncio
import collections
import pathlib
import time
from typing import Any
import urllib.parse

import click

from peridotpost.admin import models
from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.cli.subcommands import fleetlogs
from peridotpost.cli.subcommands import options
from peridotpost.cli.subcommands import output

POLL_S = 0.02


@click.command(
    epilog='Example: peridotctl status --daemon 10.0.0.7:8082 '
    '--wait-revision 41 --within-s 4'
)
@options.daemons_option
@options.wait_option
@options.within_option
@options.json_option
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
            waiting = behind and wait_revision
            if not waiting or time.monotonic() > until:
                break
            await asyncio.sleep(POLL_S)
        output.show(
            as_json,
            {'daemons': [_status_row(one) for one in asked]},
            '\n'.join(_status_line(one) for one in asked),
        )
        if behind and wait_revision:
            return common.EXIT_REFUSED
        return common.EXIT_FAILED if behind else common.EXIT_OK

    output.run(body, as_json)


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


@click.command(
    epilog='Example: peridotctl explain --daemon 10.0.0.7:8082 bond-issue; '
    'peridotctl explain --logs logs/ 5f0c'
)
@click.argument('subject')
@options.some_daemons_option
@options.logs_option
@options.json_option
def explain(
    subject: str,
    daemons: tuple[str, ...],
    logs: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Tell where calls go, or what became of one.

    With --daemon, SUBJECT is a service: where each daemon would send a
    call to it, and why.  With --logs, SUBJECT is a request's id: what each
    daemon decided on it, and what changed around it.
    """
    _either(daemons, logs)

    async def from_daemons() -> int:
        asked = await operator.ask_all(
            daemons, '/v1/status', models.DaemonStatus
        )
        rows = [_explain(one, subject) for one in asked]
        plain = '\n'.join(_spell(row) for row in rows)
        output.show(as_json, {'daemons': rows}, plain)
        return _heard(asked)

    async def from_logs() -> int:
        assert logs is not None
        return fleetlogs.explain(logs, subject, as_json)

    output.run(from_logs if logs is not None else from_daemons, as_json)


def _either(daemons: tuple[str, ...], logs: pathlib.Path | None) -> None:
    """Refuse a command that names no source, or two."""
    if bool(daemons) == (logs is not None):
        raise click.UsageError('give either --daemon or --logs')


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


@click.command(
    epilog='Example: peridotctl timeline --daemon 10.0.0.7:8082 '
    '--request-id 5f0c --host hel-a1; peridotctl timeline --logs logs/'
)
@options.some_daemons_option
@options.logs_option
@click.option('--request-id', default='', help='Only this request.')
@click.option('--host', default='', help='Only events of this host.')
@click.option('--revision', default=0, help='Only this version.')
@options.json_option
def timeline(
    daemons: tuple[str, ...],
    logs: pathlib.Path | None,
    request_id: str,
    host: str,
    revision: int,
    as_json: bool,
) -> None:
    """Merge the events of all daemons, in the order of their clocks."""
    _either(daemons, logs)

    async def body() -> int:
        query = {'request_id': request_id, 'revision': revision}
        asked = await operator.ask_all(
            daemons,
            f'/v1/timeline?{urllib.parse.urlencode(query)}',
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
        output.show(
            as_json,
            {'events': [event.model_dump() for event in events]},
            '\n'.join(
                f'{event.at:.6f} {event.host:<12} {event.kind:<18} '
                f'{event.request_id} {event.revision or ""} {event.detail}'
                for event in events
            ),
        )
        return _heard(asked)

    async def from_logs() -> int:
        assert logs is not None
        chosen = fleetlogs.Chosen(request_id, host, revision)
        return fleetlogs.timeline(logs, chosen, as_json)

    output.run(from_logs if logs is not None else body, as_json)


def _heard(asked: list[operator.Asked]) -> int:
    """Return the exit code: failed where no daemon gave its page."""
    if any(one.page is not None for one in asked):
        return common.EXIT_OK
    return common.EXIT_FAILED
