"""Explanations of requests and timelines from the logs of real proxies."""

import asyncio
import json
import pathlib
from typing import Any

from click import testing as click_testing
import msgspec
import pytest

from peridotpost.border import loglines
from peridotpost.cli import peridotctl
from peridotpost.mesh import customerreport
from peridotpost.proxy import customerusage
from peridotpost.reports import customeruse
from peridotpost.reports import explanation
from testing import conditions
from testing import proxies
from testing import test_customers


def run_peridotctl(*arguments: str) -> click_testing.Result:
    runner = click_testing.CliRunner()
    return runner.invoke(peridotctl.main, arguments)


async def refuse_request(logs: pathlib.Path) -> int:
    """Have a request refused by a full target; return the status code."""
    async with proxies.saturated_host(logs) as host:
        short = {'X_Deadline_Remaining_Ms': '40'}
        answer = await host.ask('/read/ok', attempt='late', **short)
    return answer.status


async def lose_answer(logs: pathlib.Path) -> int:
    """Have a target reset the connection of a non-idempotent request."""
    async with proxies.running() as mesh:
        mesh.logs = logs
        await mesh.kv.configure(proxies.config())
        first = await mesh.add('a')
        await mesh.add('b', service='vault')
        await first.announce()
        await mesh.wait_ready()
        caller = mesh.hosts['b']
        answer = await caller.ask(
            '/write/reset', method='POST', attempt='gone', body=b'x'
        )
    return answer.status


def test_refusal_is_explained_by_the_guard_that_made_it(
    tmp_path: pathlib.Path,
) -> None:
    assert asyncio.run(refuse_request(tmp_path)) == 503
    result = run_peridotctl('explain', '--logs', str(tmp_path), 'late')
    assert result.exit_code == 0, result.stdout
    assert 'refused, not run' in result.stdout
    assert '1 of 1 slots were taken' in result.stdout
    assert 'version 1 in force' in result.stdout


def test_lost_answer_is_explained_across_two_hosts(
    tmp_path: pathlib.Path,
) -> None:
    assert asyncio.run(lose_answer(tmp_path)) == 502
    result = run_peridotctl(
        'explain', '--logs', str(tmp_path), '--json', 'gone'
    )
    explained: dict[str, Any] = json.loads(result.stdout)
    assert 'its answer was lost' in explained['cause']
    assert [one['event'] for one in explained['steps']] == [
        'lost',
        'unknown',
    ]
    assert explained['steps'][0]['target'] == 'a'
    assert any(
        one['event'] == 'target' and one['host'] == 'a'
        for one in explained['around']
    )


def test_unknown_id_lists_possible_reasons(
    tmp_path: pathlib.Path,
) -> None:
    line = {'at': 1.0, 'host': 'a', 'event': 'start', 'left_out': 7}
    (tmp_path / 'a.log').write_text(json.dumps(line) + '\nno line\n')
    result = run_peridotctl('explain', '--logs', str(tmp_path), 'unknown')
    assert result.exit_code == 1
    assert 'among the 7 that were left out' in result.stdout
    assert '1 are no log lines' in result.stderr


def test_directory_without_logs_is_an_error(
    tmp_path: pathlib.Path,
) -> None:
    result = run_peridotctl('explain', '--logs', str(tmp_path), 'any')
    assert result.exit_code == 1
    assert 'standard output of each daemon' in result.stderr


@pytest.mark.parametrize(
    'arguments',
    [
        pytest.param(('explain', 'x'), id='no source'),
        pytest.param(
            ('timeline', '--daemon', 'h:1', '--logs', '.'), id='two sources'
        ),
    ],
)
def test_exactly_one_source_is_required(arguments: tuple[str, ...]) -> None:
    result = run_peridotctl(*arguments)
    assert result.exit_code == 2
    assert 'either --daemon or --logs' in result.stderr


def test_timeline_merges_hosts_and_filters(tmp_path: pathlib.Path) -> None:
    for host, at in (('a', 2.0), ('b', 1.0)):
        line = {'at': at, 'host': host, 'event': 'config', 'version': 4}
        path = tmp_path / f'{host}.log'
        path.write_text(f'12.5 {host} | {json.dumps(line)}\n')
    merged = run_peridotctl(
        'timeline', '--logs', str(tmp_path)
    ).stdout.splitlines()
    assert [line.split()[1] for line in merged] == ['b', 'a']
    filtered = run_peridotctl(
        'timeline', '--logs', str(tmp_path), '--host', 'a', '--json'
    )
    assert [row['at'] for row in json.loads(filtered.stdout)['events']] == [
        2.0
    ]
    empty = run_peridotctl(
        'timeline', '--logs', str(tmp_path), '--revision', '9'
    )
    assert empty.exit_code == 1


@pytest.mark.parametrize(
    ('event', 'detail', 'text'),
    [
        pytest.param('refused', 'no-target', 'no target', id='no target'),
        pytest.param('refused', 'poison', 'crashed targets', id='poison'),
        pytest.param('timeout', 'no answer', 'may have run', id='timeout'),
        pytest.param('failed', '500', "target's own", id='failed'),
        pytest.param('served', '200', 'was served', id='served'),
    ],
)
def test_each_outcome_is_described(event: str, detail: str, text: str) -> None:
    line = loglines.LogLine(5.0, 'a', event, request='r', detail=detail)
    explained = explanation.explain_request(loglines.Logs([line], 0), 'r')
    assert text in explained.cause


def test_state_changes_long_before_or_elsewhere_are_omitted() -> None:
    def state_change(at: float, host: str, peer: str = '') -> loglines.LogLine:
        return loglines.LogLine(at, host, 'member', peer=peer, to='cut-off')

    outcome = loglines.LogLine(
        100.0, 'a', 'timeout', request='r', target='b', tried=['b']
    )
    near, of_peer = state_change(99.0, 'b'), state_change(98.0, 'c', peer='b')
    lines = [
        state_change(80.0, 'b'),
        of_peer,
        near,
        outcome,
        state_change(99.5, 'd'),
    ]
    explained = explanation.explain_request(loglines.Logs(lines, 0), 'r')
    assert explained.around == [of_peer, near]


@pytest.mark.parametrize(
    ('reason', 'texts'),
    [
        ('no-credentials', ['must send its key', 'version 3']),
        ('unknown-credentials', ['compare the key', 'version 3']),
        ('config-not-current', ['store lines', 'retry after 1250 ms']),
        (
            'over-quota',
            [
                'retry after 1250 ms',
                'customer acme, quota 45 per second',
                'might admit 40%, as told 200 ms before',
            ],
        ),
    ],
)
def test_denial_leads_to_cause_and_remedy(
    reason: str, texts: list[str]
) -> None:
    """Guards against an explanation that lists guards never asked."""
    line = loglines.LogLine(5.0, 'a', 'refused', 'r', 'read', reason=reason)
    fields: dict[str, Any] = {'version': 3, 'retry_after_ms': 1250}
    if reason == 'over-quota':
        fields |= {'customer': 'acme', 'quota_per_s': 45.0}
        fields |= {'share': 0.4, 'share_age_ms': 200}
    line = msgspec.structs.replace(line, **fields)
    explained = explanation.explain_request(loglines.Logs([line], 0), 'r')
    for text in [*texts, 'not run', 'route read']:
        assert text in explained.cause
    assert 'guards asked' not in explained.cause


async def test_use_and_refusals_of_customers_are_shown(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against figures of one host only, and keys in any output."""
    key = 'k-secret-1'
    tenant = {'name': 'acme', 'apiKeys': [key], 'ratePerS': 7}
    gate = test_customers.Gate()
    usage = customeruse.FleetUsage()
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config(tenants=[tenant]))
        hosts = [await mesh.add('a'), await mesh.add('b')]
        for host in hosts:
            await host.announce()
        await mesh.wait_ready()
        for host in hosts:
            identification = host.proxy.forwarder.identification
            identification.quotas = gate
            identification.usage.allowance = lambda name: (
                customerusage.Allowance(0.4, 0.2) if name == 'acme' else None
            )
            before = host.proxy.metrics.render().decode()
            for gate.wait_s, attempt, sent in (
                (None, 'r', key),
                (2.5, 'over', key),
                (None, 'unknown', f'{key}x'),
            ):
                await host.ask(
                    '/read/ok', attempt=attempt, Authorization=f'Token {sent}'
                )
            page = host.proxy.metrics.render().decode()
            usage.add_pages(before, page, 0.5)
            assert 'denied_total{reason="unknown-credentials"} 1.0' in page
            fields = host.proxy.customers.log_fields()
            host.proxy.log.state('customers', **fields)
            assert not host.proxy.customers.log_fields()
        address = hosts[0].settings.listen.metrics
        from_pages = await asyncio.to_thread(
            run_peridotctl,
            *('customers', '--interval-s', '0.01', '--json'),
            *('--metrics', address, '--metrics', '127.0.0.1:1'),
        )
    (use,) = usage.rows()
    assert use == customeruse.FleetUse('acme', 4.0, 4.0, 7.0, 0.4, 2)
    assert '127.0.0.1:1: ' in from_pages.stderr
    (row,) = json.loads(from_pages.stdout)['customers']
    assert (row['customer'], row['hosts']) == ('acme', 1)
    from_logs = await asyncio.to_thread(
        run_peridotctl, 'customers', '--logs', str(tmp_path)
    )
    assert '0.2 refused for quota, lowest admission share 40%, on 2 hosts' in (
        from_logs.stdout
    )
    explained = await asyncio.to_thread(
        run_peridotctl, 'explain', '--logs', str(tmp_path), 'over'
    )
    assert 'retry after 2500 ms; customer acme' in explained.stdout
    for text in (page, *(log.read_text() for log in tmp_path.iterdir())):
        assert key not in text


def test_customers_beyond_the_bound_are_counted_together() -> None:
    """Guards against metrics that grow with the names of customers."""
    usage = customerusage.CustomerUsage()
    for number in range(customerusage.MAX_NAMES + 30):
        usage.count_admitted(f'c{number}')
        usage.count_over_quota(f'c{number}')
    assert len(usage.admitted) == customerusage.MAX_NAMES + 1
    assert usage.over_quota[customerusage.OTHER] == 30
    report = customerreport.CustomerReport(usage, lambda: None)
    fields = report.log_fields()
    assert fields['usage'][0]['customer'] == customerusage.OTHER
    assert len(fields['usage']) == customerreport.MAX_LOGGED


async def test_state_lines_keep_all_their_fields(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against logs of which the reports leave a part out."""
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        host = await mesh.add('a')
        assert await host.announce(state='unheard of') == 400
        await conditions.until(lambda: host.proxy.feed.record_written)
    lines = loglines.read_directory(tmp_path).lines
    (refused,) = (one for one in lines if one.event == 'announcement')
    assert 'unheard of' in refused.reason
    (record,) = (one for one in lines if one.event == 'record')
    assert record.lease > 0
