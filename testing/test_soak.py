"""The soak: what it draws, what it finds, and short runs of its seeds."""

import asyncio
import dataclasses
import pathlib

import pytest

from testing.soak import plan
from testing.soak import promises
from testing.soak import records
from testing.soak import run as runs

HOST = 'h1'
WORKER = 'i-h1-1'
DIGEST = 'd'


def asked(**changes: object) -> records.Asked:
    """Return a request that was served, with changes."""
    one = records.Asked(
        attempt='a',
        host=HOST,
        kind=records.Kind.ONCE,
        method='POST',
        target='/write/work?ms=1',
        digest=DIGEST,
        sent=100.0,
        deadline_s=1.0,
        ended=100.1,
        ending=records.Ending.ANSWERED,
        status=200,
        proof=WORKER,
        body=b'made',
    )
    return dataclasses.replace(one, **changes)  # type: ignore[arg-type]


def ran(**changes: object) -> records.Ran:
    """Return the run of that request, with changes."""
    one = records.Ran(
        at=100.05,
        host=HOST,
        instance=WORKER,
        service='register',
        attempt='a',
        method='POST',
        target='/write/work?ms=1',
        digest=DIGEST,
        told_ms=900,
        answer='made',
    )
    return dataclasses.replace(one, **changes)  # type: ignore[arg-type]


def seen(
    requests: list[records.Asked],
    arrivals: list[records.Ran],
    *disruptions: records.Disruption,
) -> records.Records:
    """Return records of a run that ended served."""
    served = [
        asked(attempt=f'late-{number}', sent=200.0 + number, ended=200.1)
        for number in range(20)
    ]
    runs_of_served = [ran(attempt=one.attempt, at=one.sent) for one in served]
    return records.Records(
        asked=[*requests, *served],
        ran=[*arrivals, *runs_of_served],
        disruptions=list(disruptions),
        calm_from=150.0,
    )


def test_a_run_in_which_all_was_kept_finds_nothing() -> None:
    assert promises.check(seen([asked()], [ran()])) == []


@pytest.mark.parametrize(
    ('request_', 'arrivals', 'promise'),
    [
        pytest.param(
            asked(body=b'other'), [ran()], 'whole', id='body of another'
        ),
        pytest.param(asked(proof=''), [ran()], 'whole', id='no proof'),
        pytest.param(
            asked(target='/write/failed?ms=1'),
            [ran(target='/write/failed?ms=1')],
            'whole',
            id='failure told as success',
        ),
        pytest.param(
            asked(), [ran(), ran(digest='x')], 'what callers', id='changed'
        ),
        pytest.param(
            asked(), [ran(), ran(attempt='z')], 'what callers', id='unasked'
        ),
        pytest.param(
            asked(), [ran(service='vault')], 'its service', id='wrong service'
        ),
        pytest.param(asked(), [ran(), ran()], 'no more often', id='ran twice'),
        pytest.param(
            asked(status=503, proof=''),
            [ran()],
            'refused has not run',
            id='refused and ran',
        ),
        pytest.param(
            asked(), [ran(told_ms=1600)], 'time than is left', id='too much'
        ),
        pytest.param(
            asked(), [ran(told_ms=-1)], 'time than is left', id='not told'
        ),
        pytest.param(
            asked(ending=records.Ending.CLOSED, status=0),
            [ran()],
            'ran is answered',
            id='closed',
        ),
        pytest.param(
            asked(ending=records.Ending.SILENT, ended=103.0, status=0),
            [ran()],
            'by its deadline',
            id='silent',
        ),
    ],
)
def test_a_broken_promise_is_found(
    request_: records.Asked, arrivals: list[records.Ran], promise: str
) -> None:
    found = promises.check(seen([request_], arrivals))
    assert any(promise in one.promise for one in found)


def test_a_request_after_the_leave_was_acknowledged_is_found() -> None:
    history = seen(
        [asked(proof='i-old', body=b'made')], [ran(instance='i-old')]
    )
    history.left.append(records.Left(98.0, HOST, 'i-old'))
    (found,) = promises.check(history)
    assert 'leaves' in found.promise


def test_a_route_that_is_not_there_in_time_is_found() -> None:
    late = asked(
        kind=records.Kind.IDEMPOTENT,
        target='/v7/work?ms=1',
        status=404,
        proof='',
        route_version=7,
    )
    history = seen([late], [])
    history.versions[7] = 97.0
    (found,) = promises.check(history)
    assert 'in force' in found.promise
    history.versions[7] = 99.0
    assert promises.check(history) == []


def test_a_disruption_excuses_what_it_may_cause_and_nothing_else() -> None:
    """A host's daemon is killed: its callers' connections end.

    That excuses the closed connection, and never a second run.
    """
    kill = records.Disruption(99.9, 100.5, HOST, 'kill')
    closed = asked(ending=records.Ending.CLOSED, status=0, proof='', body=b'')
    assert promises.check(seen([closed], [ran()], kill)) == []
    (found,) = promises.check(seen([closed], [ran(), ran()], kill))
    assert 'no more often' in found.promise


def test_a_stop_that_was_asked_for_is_no_excuse() -> None:
    stop = records.Disruption(99.9, 100.5, HOST, 'stop', planned=True)
    closed = asked(ending=records.Ending.CLOSED, status=0)
    assert promises.check(seen([closed], [ran()], stop))


def test_a_fleet_that_does_not_come_back_is_found() -> None:
    history = seen([], [])
    for one in history.asked:
        one.status = 503
        one.proof = ''
    found = promises.check(history)
    assert 'as before' in found[-1].promise or 'as before' in found[0].promise


def test_a_seed_draws_the_same_faults_each_time() -> None:
    hosts = ['h1', 'h2']
    assert plan.draw(5, 20.0, hosts) == plan.draw(5, 20.0, hosts)
    assert plan.draw(5, 20.0, hosts) != plan.draw(6, 20.0, hosts)
    assert plan.draw_fleet(5, 20.0, hosts) == plan.draw_fleet(5, 20.0, hosts)
    assert plan.draw_fleet(5, 20.0, hosts) != plan.draw_fleet(6, 20.0, hosts)


@pytest.mark.processes
@pytest.mark.parametrize(
    ('seed', 'seconds', 'fleet_faults'),
    [
        pytest.param(1, 6.0, False, id='any'),
        pytest.param(4, 8.0, True, id='many hosts at once'),
        # The store fell silent; the watches sent meanwhile were lost, and
        # new versions were in force seconds late on all hosts.
        pytest.param(382471730, 20.0, False, id='watches lost in an outage'),
        # A daemon was told to reload while it started, and ended.
        pytest.param(180368104, 20.0, False, id='reload during a start'),
    ],
)
def test_the_programs_keep_their_promises_under_faults(
    seed: int, seconds: float, fleet_faults: bool, tmp_path: pathlib.Path
) -> None:
    """The real programs under the faults of a seed.

    The third seed and those after it broke a promise once; the line at
    each says what callers saw, and why.
    """
    verdict = asyncio.run(runs.run(seed, seconds, tmp_path, fleet_faults))
    assert verdict.broken == []
    assert verdict.served
