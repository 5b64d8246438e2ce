"""Ejection by outcomes of calls, judged by what callers receive."""

import asyncio
import random

import pytest

from peridotpost.decisions import ejection
from peridotpost.model import calls
from testing import callpath
from testing import routeload

UNREACHABLE = ejection.CallSignal.UNREACHABLE
LOST = ejection.CallSignal.LOST
FAILED = ejection.CallSignal.FAILED
GOOD = ejection.CallSignal.GOOD
NEUTRAL = ejection.CallSignal.NEUTRAL


def targets(count: int = 4, zone: str = 'a') -> list[routeload.FakeTarget]:
    return [
        routeload.FakeTarget(routeload.endpoint(n, zone)) for n in range(count)
    ]


def failing_fast() -> list[routeload.FakeTarget]:
    service = targets()
    service[0].fails_after_s = 0.001
    return service


def unreachable() -> list[routeload.FakeTarget]:
    service = targets()
    service[0].unreachable = True
    return service


def unreachable_zone() -> list[routeload.FakeTarget]:
    service = targets(2) + targets(8, 'b')[2:8]
    for target in service[-2:]:
        target.endpoint = routeload.endpoint(
            int(target.endpoint.host[1:]), 'c'
        )
        target.unreachable = True
    return service


@pytest.mark.parametrize(
    ('make', 'load', 'most_failed'),
    [
        pytest.param(failing_fast, 0.6, 0.02, id='black-hole'),
        pytest.param(unreachable, 0.6, 0.02, id='unreachable-target'),
        pytest.param(unreachable_zone, 0.5, 0.02, id='unreachable-zone'),
    ],
)
def test_failing_target_causes_few_failed_calls(
    make: object, load: float, most_failed: float
) -> None:
    """Guards against the "black hole".

    A target that fails each call at once, or can't be reached, always looks
    idle, so load balancing alone sends it more and more calls.
    """
    assert callable(make)
    ejecting = routeload.drive(make(), routeload.Ingress, load=load)
    by_load = routeload.drive(make(), routeload.NoEjection, load=load)
    assert ejecting.share(routeload.FAILED) <= most_failed
    assert (
        ejecting.share(routeload.FAILED) <= by_load.share(routeload.FAILED) / 5
    )


def test_recovered_target_comes_back_by_a_trial() -> None:
    service = failing_fast()
    service[0].recovers_at = 1.0
    run = routeload.drive(service, routeload.Ingress, seconds=12.0)
    assert run.second_half_calls['h0'] / run.second_half_calls.total() >= 0.2


SERVICE = [
    ejection.TargetId(f'h{n}/t', f'h{n}', 'b' if n >= 4 else 'a')
    for n in range(6)
]
OTHERS = [one.key for one in SERVICE[1:]]


@pytest.mark.parametrize(
    ('signals', 'ejected'),
    [
        pytest.param([GOOD] * 100, False, id='good'),
        pytest.param([LOST] * 3, True, id='lost-in-a-row'),
        pytest.param([LOST, LOST, GOOD] * 2, False, id='lost-then-good'),
        pytest.param([FAILED] * 3, False, id='few-errors'),
        pytest.param([FAILED] * 6, True, id='errors'),
        pytest.param([FAILED, GOOD, GOOD, GOOD] * 50, False, id='some-errors'),
        # Being full, draining and shedding are not faults.
        pytest.param([NEUTRAL] * 100, False, id='refusals'),
        pytest.param([LOST, NEUTRAL] * 3, True, id='lost-among-refusals'),
    ],
)
def test_signals_that_eject_a_target(
    signals: list[ejection.CallSignal], ejected: bool
) -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    for signal in signals:
        ejector.note(SERVICE[0], signal, OTHERS, 0.0)
    assert bool(ejector.excluded(SERVICE, 0.5)) is ejected


@pytest.mark.parametrize(
    ('outcome', 'signal'),
    [
        pytest.param(calls.Answer(200, '', (), b''), GOOD, id='200'),
        pytest.param(calls.Answer(404, '', (), b''), GOOD, id='404'),
        pytest.param(calls.Answer(500, '', (), b''), FAILED, id='500'),
        pytest.param(calls.OutcomeUnknown(''), LOST, id='unknown'),
        *(
            pytest.param(
                calls.NotRun(reason, ''),
                {
                    calls.NotRunReason.UNREACHABLE: UNREACHABLE,
                    calls.NotRunReason.TARGET_GONE: LOST,
                }.get(reason, NEUTRAL),
                id=reason.value,
            )
            for reason in calls.NotRunReason
        ),
    ],
)
def test_signal_of_an_outcome(
    outcome: calls.Outcome, signal: ejection.CallSignal
) -> None:
    assert ejection.classify(outcome) is signal


def test_none_is_ejected_where_all_fail_alike() -> None:
    """Guards against ejection for a fault that all targets share.

    All targets answer 500 because a service that they depend on is down.
    Ejecting half of them would only double the load of the rest.
    """
    ejector = ejection.Ejector('a', random.Random(1))
    for _ in range(50):
        for target in SERVICE:
            others = [other.key for other in SERVICE if other is not target]
            ejector.note(target, FAILED, others, 0.0)
    assert ejector.excluded(SERVICE, 0.5) == set()


@pytest.mark.parametrize('lost', range(7))
def test_at_most_half_are_ejected(lost: int) -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    for at, target in enumerate(SERVICE[:lost]):
        for _ in range(3):
            ejector.note(target, LOST, OTHERS, at / 100)
    first = {target.key for target in SERVICE[: min(lost, 3)]}
    assert ejector.excluded(SERVICE, 0.5) == first


def test_one_trial_at_a_time_and_longer_pauses_in_between() -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    target = SERVICE[0]
    for _ in range(3):
        ejector.note(target, LOST, OTHERS, 0.0)
    now = 0.0
    pauses_s = []
    for _ in range(4):
        ejected_at = now
        while ejector.excluded(SERVICE, now):
            now += 0.01
        pauses_s.append(now - ejected_at)
        ejector.note_attempt(target.key, now)
        assert ejector.excluded(SERVICE, now) == {target.key}
        ejector.note(target, LOST, OTHERS, now + 0.001)
        now += 0.001
    assert all(a < b for a, b in zip(pauses_s, pauses_s[1:], strict=False))
    now += 100.0
    ejector.note_attempt(target.key, now)
    ejector.note(target, GOOD, OTHERS, now)
    assert ejector.excluded(SERVICE, now) == set()


def test_trial_without_an_outcome_does_not_block_later_ones() -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    for _ in range(3):
        ejector.note(SERVICE[0], LOST, OTHERS, 0.0)
    ejector.note_attempt(SERVICE[0].key, 2.0)
    assert ejector.excluded(SERVICE, 2.0 + ejection.TRIAL_TIMEOUT_S - 0.1)
    assert not ejector.excluded(SERVICE, 2.0 + ejection.TRIAL_TIMEOUT_S + 0.1)


def test_zone_is_excluded_after_two_of_its_hosts_were_unreachable() -> None:
    """Guards against a connection timeout for each call into a cut-off zone.

    Two unreachable hosts exclude the whole zone; a call that reaches one of
    its hosts includes it again.
    """
    remote = SERVICE[4:]
    ejector = ejection.Ejector('a', random.Random(1))
    ejector.note(remote[0], UNREACHABLE, OTHERS, 0.0)
    assert ejector.excluded(SERVICE, 0.1) == set()
    ejector.note(remote[1], UNREACHABLE, OTHERS, 0.1)
    assert ejector.excluded(SERVICE, 0.2) == {one.key for one in remote}
    ejector.note(remote[1], NEUTRAL, OTHERS, 0.3)
    assert ejector.excluded(SERVICE, 0.4) == set()
    # Targets that are gone from reachable hosts don't indicate a lost zone.
    for target in remote:
        ejector.note(target, LOST, OTHERS, 0.5)
    assert ejector.excluded(SERVICE, 0.6) == set()


def test_own_zone_is_never_excluded_as_a_whole() -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    for target in SERVICE[:4]:
        ejector.note(target, UNREACHABLE, OTHERS, 0.0)
    assert ejector.excluded(SERVICE, 0.1) == set()


def test_old_records_are_dropped() -> None:
    ejector = ejection.Ejector('a', random.Random(1))
    ejector.note(SERVICE[0], LOST, OTHERS, 0.0)
    ejector.forget(2 * ejection.RECORD_TTL_S)
    assert not ejector.records


async def test_router_leaves_out_a_target_that_fails_fast() -> None:
    """Guards against the "black hole" on real sockets.

    One of two targets answers each call at once with an error.
    """

    async def fails(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            await state.read_request(reader)
            writer.write(b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n')

    async with (
        callpath.node('front') as front,
        callpath.node('good') as good,
        callpath.scripted_server(fails) as bad,
        callpath.standin_target('read') as target,
        callpath.caller(front.port) as caller,
    ):
        front.announce('read', bad.port)
        good.announce('read', target.settings.port)
        front.add_members(good)
        statuses = [(await caller.ask('read')).status for _ in range(100)]
        assert set(statuses) == {200, 500}
        # Six consecutive errors eject it; on a slow machine one or two trials
        # may follow, at growing intervals of at least a second.
        assert 6 <= len(bad.requests) <= 10
