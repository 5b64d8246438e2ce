"""From a request's id to its cause, by the logs of real proxies."""

import asyncio
import json
import pathlib
from typing import Any

from click import testing as click_testing
import pytest

from peridotpost.border import loglines
from peridotpost.cli import peridotctl
from peridotpost.reports import story
from testing import proxies


def ctl(*arguments: str) -> click_testing.Result:
    runner = click_testing.CliRunner()
    return runner.invoke(peridotctl.main, arguments)


async def full_host(logs: pathlib.Path) -> int:
    """Have a request refused by a full target; return its status."""
    async with proxies.full(logs) as host:
        short = {'X_Deadline_Remaining_Ms': '40'}
        answer = await host.ask('/read/ok', attempt='late', **short)
    return answer.status


async def lost_answer(logs: pathlib.Path) -> int:
    """Have a target reset the connection of a request that may not repeat."""
    async with proxies.running() as mesh:
        mesh.logs = logs
        await mesh.kv.configure(proxies.config())
        first = await mesh.add('a')
        await mesh.add('b', service='vault')
        await first.announce()
        await mesh.ready()
        taker = mesh.hosts['b']
        answer = await taker.ask(
            '/write/reset', method='POST', attempt='gone', body=b'x'
        )
    return answer.status


def test_a_refusal_is_explained_by_the_guard_that_made_it(
    tmp_path: pathlib.Path,
) -> None:
    assert asyncio.run(full_host(tmp_path)) == 503
    result = ctl('explain', '--logs', str(tmp_path), 'late')
    assert result.exit_code == 0, result.stdout
    assert 'refused, not run' in result.stdout
    assert '1 of 1 slots were taken' in result.stdout
    assert 'version 1 in force' in result.stdout


def test_a_lost_answer_is_explained_across_two_hosts(
    tmp_path: pathlib.Path,
) -> None:
    assert asyncio.run(lost_answer(tmp_path)) == 502
    result = ctl('explain', '--logs', str(tmp_path), '--json', 'gone')
    told: dict[str, Any] = json.loads(result.stdout)
    assert 'its answer was lost' in told['cause']
    assert [one['event'] for one in told['steps']] == ['lost', 'unknown']
    assert told['steps'][0]['target'] == 'a'
    assert any(
        one['event'] == 'target' and one['host'] == 'a'
        for one in told['around']
    )


def test_an_id_that_is_nowhere_says_why_that_may_be(
    tmp_path: pathlib.Path,
) -> None:
    line = {'at': 1.0, 'host': 'a', 'event': 'start', 'left_out': 7}
    (tmp_path / 'a.log').write_text(json.dumps(line) + '\nno line\n')
    result = ctl('explain', '--logs', str(tmp_path), 'unknown')
    assert result.exit_code == 1
    assert 'among the 7 that were left out' in result.stdout
    assert '1 are no log lines' in result.stderr


def test_a_folder_without_logs_is_an_error_that_says_what_to_do(
    tmp_path: pathlib.Path,
) -> None:
    result = ctl('explain', '--logs', str(tmp_path), 'any')
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
def test_one_source_has_to_be_named(arguments: tuple[str, ...]) -> None:
    result = ctl(*arguments)
    assert result.exit_code == 2
    assert 'either --daemon or --logs' in result.stderr


def test_a_timeline_merges_hosts_and_narrows(tmp_path: pathlib.Path) -> None:
    for host, at in (('a', 2.0), ('b', 1.0)):
        line = {'at': at, 'host': host, 'event': 'config', 'version': 4}
        path = tmp_path / f'{host}.log'
        path.write_text(f'12.5 {host} | {json.dumps(line)}\n')
    every = ctl('timeline', '--logs', str(tmp_path)).stdout.splitlines()
    assert [line.split()[1] for line in every] == ['b', 'a']
    one = ctl('timeline', '--logs', str(tmp_path), '--host', 'a', '--json')
    assert [row['at'] for row in json.loads(one.stdout)['events']] == [2.0]
    none = ctl('timeline', '--logs', str(tmp_path), '--revision', '9')
    assert none.exit_code == 1


@pytest.mark.parametrize(
    ('event', 'detail', 'words'),
    [
        pytest.param('refused', 'no-target', 'no target', id='no target'),
        pytest.param('refused', 'poison', 'crashed targets', id='poison'),
        pytest.param('timeout', 'no answer', 'may have run', id='timeout'),
        pytest.param('failed', '500', "target's own", id='failed'),
        pytest.param('served', '200', 'was served', id='served'),
    ],
)
def test_each_ending_has_its_sentence(
    event: str, detail: str, words: str
) -> None:
    line = loglines.LogLine(5.0, 'a', event, request='r', detail=detail)
    told = story.tell(loglines.Logs([line], 0), 'r')
    assert words in told.cause


def test_changes_long_before_or_elsewhere_are_left_out() -> None:
    def state(at: float, host: str, peer: str = '') -> loglines.LogLine:
        return loglines.LogLine(at, host, 'member', peer=peer, to='cut-off')

    end = loglines.LogLine(
        100.0, 'a', 'timeout', request='r', target='b', tried=['b']
    )
    near, named = state(99.0, 'b'), state(98.0, 'c', peer='b')
    lines = [state(80.0, 'b'), named, near, end, state(99.5, 'd')]
    told = story.tell(loglines.Logs(lines, 0), 'r')
    assert told.around == [named, near]
