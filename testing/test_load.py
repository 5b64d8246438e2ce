"""The load generator: its counts must match what callers received."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import random
from typing import Any

from click import testing as click_testing
import hypothesis
from hypothesis import strategies
import pytest
from tornado import httpserver
from tornado import netutil
from tornado import web

from peridotpost.cli import load
from peridotpost.load import arrivals
from peridotpost.load import client
from peridotpost.load import histogram
from peridotpost.load import report
from peridotpost.load import runner
from peridotpost.standins import target as targets


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    strategies.lists(
        strategies.floats(min_value=2e-6, max_value=1e4), min_size=1
    ),
    strategies.sampled_from([0.0, 0.5, 0.9, 0.99, 1.0]),
)
def test_quantile_is_accurate_to_its_bucket(
    sample: list[float], share: float
) -> None:
    durations = histogram.Histogram()
    for seconds in sample:
        durations.add(seconds)
    ordered = sorted(sample)
    rank = max(1, -(-int(share * 1000) * len(sample) // 1000))
    exact = ordered[rank - 1]
    assert durations.quantile(share) == pytest.approx(exact, rel=0.021)


def test_merged_histogram_counts_both() -> None:
    first, second = histogram.Histogram(), histogram.Histogram()
    first.add(0.001)
    second.add(1.0)
    first.merge(second)
    assert first.count == 2
    assert first.highest_s == 1.0
    assert first.quantile(0.5) == pytest.approx(0.001, rel=0.02)


@pytest.mark.parametrize('pattern', list(arrivals.Pattern))
def test_arrivals_follow_rate_and_seed(pattern: arrivals.Pattern) -> None:
    def times(seed: int) -> list[float]:
        source = random.Random(seed)
        return list(arrivals.arrivals(pattern, 100, 20, source))

    assert times(1) == times(1)
    assert len(times(1)) == pytest.approx(2000, rel=0.1)
    same = pattern is arrivals.Pattern.CONSTANT
    assert (times(1) == times(2)) is same


class ScriptedHandler(web.RequestHandler):
    """Answers as the path requests."""

    async def get(self, page: str) -> None:
        if page == 'cut':
            self.detach().close()
            raise web.Finish
        if page == 'not-run':
            self.set_status(503)
            self.set_header('Peridot-Outcome', 'not-run')
        if page == 'never':
            await asyncio.Event().wait()
        if page == 'close':
            self.set_header('Connection', 'close')
        self.finish(b'x' * 10)


@contextlib.asynccontextmanager
async def scripted_server() -> AsyncIterator[int]:
    server = httpserver.HTTPServer(
        web.Application([(r'/(.*)', ScriptedHandler)])
    )
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()


@pytest.mark.parametrize(
    ('path', 'outcome'),
    [
        pytest.param('/ok', '200 answered', id='answer'),
        pytest.param('/close', '200 answered', id='answer-then-close'),
        pytest.param('/not-run', '503 not-run', id='refusal'),
        pytest.param('/cut', 'lost', id='connection-cut'),
        pytest.param('/never', 'timeout', id='no-answer'),
    ],
)
async def test_each_call_is_counted_with_its_outcome(
    path: str, outcome: str
) -> None:
    async with scripted_server() as port:
        plan = runner.Plan(
            daemons=(f'127.0.0.1:{port}',),
            services=('any',),
            path=path,
            rate=200,
            seconds=0.05,
            timeout_s=0.2 if path == '/never' else 30,
        )
        result = await runner.Runner(plan).run()
    assert set(result.outcomes) == {outcome}
    assert result.outcomes[outcome].count == result.sent > 0


async def test_refused_connection_is_an_outcome() -> None:
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    port = sockets[0].getsockname()[1]
    sockets[0].close()
    plan = runner.Plan((f'127.0.0.1:{port}',), ('any',), rate=100, seconds=0.1)
    result = await runner.Runner(plan).run()
    assert set(result.outcomes) == {'no-connection'}


async def test_connection_is_reused_for_the_next_call() -> None:
    async with scripted_server() as port:
        pool = client.Client('127.0.0.1', port)
        for path in ('/ok', '/ok', '/close', '/ok'):
            request = client.Request('GET', path, (('Host', 'any'),))
            assert (await pool.send(request)).size == 10
        pool.close()
    assert pool.opened == 2


async def test_calls_during_a_stall_are_sent_and_counted() -> None:
    """A closed loop, which waits for each answer, would hide a stall.

    It would count one slow call and report lower latencies than callers of
    an open loop see.
    """
    settings = targets.TargetSettings(
        service='s', name='t', slots=1000, work_s=0.2
    )
    target = targets.Target(settings)
    async with targets.serving(target) as port:
        plan = runner.Plan(
            (f'127.0.0.1:{port}',), ('s',), rate=100, seconds=0.3
        )
        result = await runner.Runner(plan).run()
    assert target.counts['ran'] == result.sent
    assert result.connections_opened > 5


@pytest.mark.parametrize(
    ('ran', 'outcome', 'expected'),
    [
        pytest.param(1, '200 answered', (0, 0, 0), id='ran-once'),
        pytest.param(2, '200 answered', (1, 0, 0), id='doubled'),
        pytest.param(1, '503 not-run', (0, 1, 0), id='ran-though-not-run'),
        pytest.param(0, '503 not-run', (0, 0, 0), id='not-run'),
        pytest.param(0, '200 answered', (0, 0, 1), id='answered-without-run'),
    ],
)
async def test_outcomes_are_checked_against_the_runs_of_targets(
    ran: int, outcome: str, expected: tuple[int, int, int]
) -> None:
    target = targets.Target(targets.TargetSettings(service='s', name='t'))
    target.ran['k'] = ran
    async with targets.serving(target) as port:
        plan = runner.Plan((f'127.0.0.1:{port}',), ('s',))
        load_runner = runner.Runner(plan)
        load_runner.outcome_by_key['k'] = outcome
        await load_runner.check_runs([f'http://127.0.0.1:{port}'])
    result = load_runner.result
    assert expected == (
        result.doubled_runs,
        result.false_not_run,
        result.answered_unrun,
    )


async def test_keyed_calls_run_once_each() -> None:
    # One slot per call: on a busy machine all calls may run at once, and a
    # target without free slots would refuse some of them.
    target = targets.Target(
        targets.TargetSettings(service='s', name='t', slots=100)
    )
    async with targets.serving(target) as port:
        plan = runner.Plan(
            (f'127.0.0.1:{port}',),
            ('s',),
            method='POST',
            body_bytes=10,
            keyed=True,
            rate=200,
            seconds=0.2,
        )
        load_runner = runner.Runner(plan)
        result = await load_runner.run()
        await load_runner.check_runs([f'http://127.0.0.1:{port}'])
    assert len(target.ran) == result.sent
    assert result.to_json()['runs'] == {
        'doubled_runs': 0,
        'false_not_run': 0,
        'answered_unrun': 0,
    }


def write_result(path: pathlib.Path, name: str, seconds: float) -> str:
    result = report.Result(plan={'rate': 1})
    result.record('200 answered', seconds)
    file = path / name
    file.write_text(json.dumps(result.to_json()))
    return str(file)


def invoke(*arguments: str) -> Any:
    return click_testing.CliRunner().invoke(load.main, list(arguments))


def test_compare_prints_both_values_and_their_ratio(
    tmp_path: pathlib.Path,
) -> None:
    done = invoke(
        'compare',
        write_result(tmp_path, 'a.json', 0.01),
        write_result(tmp_path, 'b.json', 0.02),
    )
    assert done.exit_code == 0
    line = next(
        line
        for line in done.output.splitlines()
        if line.startswith('all: highest_ms')
    )
    assert line.split()[-3:] == ['10', '20', '2.000']


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        pytest.param(
            ('run', '--daemon', 'h', '--service', 's'),
            'write ADDRESS:PORT',
            id='daemon-without-port',
        ),
        pytest.param(
            ('run', '--daemon', 'h:1', '--service', 's', '--header', 'x'),
            'write NAME:VALUE',
            id='header-without-colon',
        ),
        pytest.param(
            ('run', '--daemon', 'h:1', '--service', 's', '--rate', '0'),
            'range',
            id='no-rate',
        ),
        pytest.param(
            ('compare', 'missing.json', 'missing.json'),
            'that --json wrote',
            id='no-file',
        ),
    ],
)
def test_invalid_arguments_are_explained(
    arguments: tuple[str, ...], message: str
) -> None:
    done = invoke(*arguments)
    assert done.exit_code != 0
    assert message in done.output
