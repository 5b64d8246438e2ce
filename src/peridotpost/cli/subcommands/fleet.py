"""Commands that query daemons or their logs: status, explain, timeline."""

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

POLL_INTERVAL_S = 0.02


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
    """Show the version in force on each daemon."""

    async def body() -> int:
        deadline = time.monotonic() + within_s
        while True:
            replies = await operator.fetch_pages(
                daemons, '/v1/status', models.DaemonStatus
            )
            behind = [
                reply for reply in replies if _is_behind(reply, wait_revision)
            ]
            waiting = behind and wait_revision
            if not waiting or time.monotonic() > deadline:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        output.print_result(
            as_json,
            {'daemons': [_status_row(reply) for reply in replies]},
            '\n'.join(_status_line(reply) for reply in replies),
        )
        if behind and wait_revision:
            return common.EXIT_REFUSED
        return common.EXIT_FAILED if behind else common.EXIT_OK

    output.run(body, as_json)


def _is_behind(reply: operator.DaemonReply, revision: int) -> bool:
    page = reply.page
    if not isinstance(page, models.DaemonStatus):
        return True
    return page.revision < revision


def _status_row(reply: operator.DaemonReply) -> dict[str, Any]:
    if reply.page is None:
        return {'address': reply.address, 'error': reply.error}
    return {'address': reply.address, **reply.page.model_dump()}


def _status_line(reply: operator.DaemonReply) -> str:
    page = reply.page
    if not isinstance(page, models.DaemonStatus):
        return f'{reply.address}: {reply.error}'
    status_counts = collections.Counter(
        member.status for member in page.members
    )
    role = 'relay' if page.relay else 'member'
    return (
        f'{page.host} ({page.availability_zone}) {page.stage} {role}: '
        f'version {page.revision}, {len(page.routes)} routes, '
        f'{status_counts["alive"]} of {len(page.members)} members alive, '
        f'{page.resident_kib // 1024} MB'
    )


@click.command(
    epilog='Example: peridotctl explain --daemon 10.0.0.7:8082 bond-issue; '
    'peridotctl explain --logs logs/ 5f0c'
)
@click.argument('subject')
@options.optional_daemons_option
@options.logs_option
@options.json_option
def explain(
    subject: str,
    daemons: tuple[str, ...],
    logs: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Explain the routing of a service, or the handling of a request.

    With --daemon, SUBJECT is a service: lists the targets to which each
    daemon would send a call, and those left out.  With --logs, SUBJECT is a
    request ID: lists the decisions of each daemon on the request, and the
    state changes around that time.
    """
    _require_one_source(daemons, logs)

    async def from_daemons() -> int:
        replies = await operator.fetch_pages(
            daemons, '/v1/status', models.DaemonStatus
        )
        rows = [_explain_row(reply, subject) for reply in replies]
        text = '\n'.join(_format_explanation(row) for row in rows)
        output.print_result(as_json, {'daemons': rows}, text)
        return _exit_code(replies)

    async def from_logs() -> int:
        assert logs is not None
        return fleetlogs.explain(logs, subject, as_json)

    output.run(from_logs if logs is not None else from_daemons, as_json)


def _require_one_source(
    daemons: tuple[str, ...], logs: pathlib.Path | None
) -> None:
    """Require exactly one source of information."""
    if bool(daemons) == (logs is not None):
        raise click.UsageError('give either --daemon or --logs')


def _explain_row(reply: operator.DaemonReply, service: str) -> dict[str, Any]:
    page = reply.page
    if not isinstance(page, models.DaemonStatus):
        return {'address': reply.address, 'error': reply.error}
    endpoints = {route.service: route.endpoints for route in page.routes}
    left_out = [
        f'{member.host}/{target.split("/")[1]} ({member.status})'
        for member in page.members
        for target in member.targets
        if target.startswith(f'{service}/')
        and (member.status in ('dead', 'left') or target.endswith(' draining'))
    ]
    return {
        'address': reply.address,
        'host': page.host,
        'revision': page.revision,
        'in_scope': service in endpoints,
        'targets': endpoints.get(service, []),
        'left_out': left_out,
    }


def _format_explanation(row: dict[str, Any]) -> str:
    if 'error' in row:
        return f'{row["address"]}: {row["error"]}'
    if not row['in_scope']:
        return (
            f'{row["host"]}: not in its scope of version {row["revision"]}: '
            'no such service, or internal and nothing here depends on it'
        )
    targets = ', '.join(row['targets']) or 'no live target'
    left_out_note = (
        f'; left out: {", ".join(row["left_out"])}' if row['left_out'] else ''
    )
    return (
        f'{row["host"]}: version {row["revision"]}, '
        f'one of {targets}{left_out_note}'
    )


@click.command(
    epilog='Example: peridotctl timeline --daemon 10.0.0.7:8082 '
    '--request-id 5f0c --host hel-a1; peridotctl timeline --logs logs/'
)
@options.optional_daemons_option
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
    """Merge the events of all daemons, ordered by their timestamps."""
    _require_one_source(daemons, logs)

    async def body() -> int:
        query = {'request_id': request_id, 'revision': revision}
        replies = await operator.fetch_pages(
            daemons,
            f'/v1/timeline?{urllib.parse.urlencode(query)}',
            models.TimelineResponse,
        )
        events = [
            event
            for reply in replies
            if isinstance(reply.page, models.TimelineResponse)
            for event in reply.page.events
            if host in ('', event.host)
        ]
        events.sort(key=lambda event: (event.at, event.host, event.number))
        for reply in replies:
            if reply.page is None:
                click.echo(f'{reply.address}: {reply.error}', err=True)
        output.print_result(
            as_json,
            {'events': [event.model_dump() for event in events]},
            '\n'.join(
                f'{event.at:.6f} {event.host:<12} {event.kind:<18} '
                f'{event.request_id} {event.revision or ""} {event.detail}'
                for event in events
            ),
        )
        return _exit_code(replies)

    async def from_logs() -> int:
        assert logs is not None
        line_filter = fleetlogs.LineFilter(request_id, host, revision)
        return fleetlogs.timeline(logs, line_filter, as_json)

    output.run(from_logs if logs is not None else body, as_json)


def _exit_code(replies: list[operator.DaemonReply]) -> int:
    """Return the exit code: failure if no daemon returned its page."""
    if any(reply.page is not None for reply in replies):
        return common.EXIT_OK
    return common.EXIT_FAILED
