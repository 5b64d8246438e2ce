"""Ejection by outcomes, judged by what callers receive."""

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
SILENT = ejection.CallSignal.NEUTRAL


def targets(count: int = 4, zone: str = 'a') -> list[routeload.FakeTarget]:
    return [
        routeload.FakeTarget(routeload.endpoint(n, zone)) for n in range(count)
    ]


def failing_fast() -> list[routeload.FakeTarget]:
    held = targets()
    held[0].fails_after_s = 0.001
    return held


def unreachable() -> list[routeload.FakeTarget]:
    held = targets()
    held[0].unreachable = True
    return held


def lost_zone() -> list[routeload.FakeTarget]:
    held = targets(2) + targets(8, 'b')[2:8]
    for one in held[-2:]:
        one.endpoint = routeload.endpoint(int(one.endpoint.host[1:]), 'c')
        one.unreachable = True
    return held


@pytest.mark.parametrize(
    ('held', 'load', 'most_failed'),
    [
        pytest.param(failing_fast, 0.6, 0.02, id='black-hole'),
        pytest.param(unreachable, 0.6, 0.02, id='unreachable-target'),
        pytest.param(lost_zone, 0.5, 0.02, id='unreachable-zone'),
    ],
)
def test_callers_do_not_feel_a_bad_target_for_long(
    held: object, load: float, most_failed: float
) -> None:
    """A target fails each call at once, or cannot be reached.

    It always looks idle, so that a choice by load alone sends it more and
    more: the black hole.
    """
    assert callable(held)
    ours = routeload.drive(held(), routeload.Ingress, load=load)
    by_load = routeload.drive(held(), routeload.NoEjection, load=load)
    assert ours.share(routeload.FAILED) <= most_failed
    assert ours.share(routeload.FAILED) <= by_load.share(routeload.FAILED) / 5


def test_mended_target_comes_back_by_a_trial() -> None:
    held = failing_fast()
    held[0].recovers_at = 1.0
    run = routeload.drive(held, routeload.Ingress, seconds=12.0)
    assert run.latest['h0'] / run.latest.total() >= 0.2


SERVICE = [
    ejection.Subject(f'h{n}/t', f'h{n}', 'b' if n >= 4 else 'a')
    for n in range(6)
]
OTHERS = [one.key for one in SERVICE[1:]]


@pytest.mark.parametrize(
    ('verdicts', 'ejected'),
    [
        pytest.param([GOOD] * 100, False, id='good'),
        pytest.param([LOST] * 3, True, id='lost-in-a-row'),
        pytest.param([LOST, LOST, GOOD] * 2, False, id='lost-and-found'),
        pytest.param([FAILED] * 3, False, id='few-errors'),
        pytest.param([FAILED] * 6, True, id='errors'),
        pytest.param([FAILED, GOOD, GOOD, GOOD] * 50, False, id='some-errors'),
        # Full, draining and shedding are reasons, not faults.
        pytest.param([SILENT] * 100, False, id='refusals'),
        pytest.param([LOST, SILENT] * 3, True, id='lost-among-refusals'),
    ],
)
def test_what_ejects(
    verdicts: list[ejection.CallSignal], ejected: bool
) -> None:
    one = ejection.Ejector('a', random.Random(1))
    for verdict in verdicts:
        one.note(SERVICE[0], verdict, OTHERS, 0.0)
    assert bool(one.excluded(SERVICE, 0.5)) is ejected


@pytest.mark.parametrize(
    ('outcome', 'verdict'),
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
                }.get(reason, SILENT),
                id=reason.value,
            )
            for reason in calls.NotRunReason
        ),
    ],
)
def test_what_an_outcome_says_of_its_target(
    outcome: calls.Outcome, verdict: ejection.CallSignal
) -> None:
    assert ejection.verdict_of(outcome) is verdict


def test_none_is_ejected_where_all_fail_alike() -> None:
    """The service behind all targets is down, and all answer 500.

    To eject half of them would double the load of the rest for nothing.
    """
    one = ejection.Ejector('a', random.Random(1))
    for _ in range(50):
        for subject in SERVICE:
            others = [it.key for it in SERVICE if it is not subject]
            one.note(subject, FAILED, others, 0.0)
    assert one.excluded(SERVICE, 0.5) == set()


@pytest.mark.parametrize('lost', range(7))
def test_at_most_half_are_ejected(lost: int) -> None:
    one = ejection.Ejector('a', random.Random(1))
    for at, subject in enumerate(SERVICE[:lost]):
        for _ in range(3):
            one.note(subject, LOST, OTHERS, at / 100)
    first = {subject.key for subject in SERVICE[: min(lost, 3)]}
    assert one.excluded(SERVICE, 0.5) == first


def test_one_trial_at_a_time_and_longer_pauses_in_between() -> None:
    one = ejection.Ejector('a', random.Random(1))
    subject = SERVICE[0]
    for _ in range(3):
        one.note(subject, LOST, OTHERS, 0.0)
    now = 0.0
    pauses = []
    for _ in range(4):
        began = now
        while one.excluded(SERVICE, now):
            now += 0.01
        pauses.append(now - began)
        one.trying(subject.key, now)
        assert one.excluded(SERVICE, now) == {subject.key}
        one.note(subject, LOST, OTHERS, now + 0.001)
        now += 0.001
    assert all(a < b for a, b in zip(pauses, pauses[1:], strict=False))
    now += 100.0
    one.trying(subject.key, now)
    one.note(subject, GOOD, OTHERS, now)
    assert one.excluded(SERVICE, now) == set()


def test_trial_that_is_never_heard_of_again_blocks_no_later_one() -> None:
    one = ejection.Ejector('a', random.Random(1))
    for _ in range(3):
        one.note(SERVICE[0], LOST, OTHERS, 0.0)
    one.trying(SERVICE[0].key, 2.0)
    assert one.excluded(SERVICE, 2.0 + ejection.TRIAL_TIMEOUT_S - 0.1)
    assert not one.excluded(SERVICE, 2.0 + ejection.TRIAL_TIMEOUT_S + 0.1)


def test_zone_is_left_alone_after_two_of_its_hosts_were_unreachable() -> None:
    """A zone is cut off; each call into it costs a connection timeout.

    Two lost calls tell of all its hosts; one that gets through clears it.
    """
    far = SERVICE[4:]
    one = ejection.Ejector('a', random.Random(1))
    one.note(far[0], UNREACHABLE, OTHERS, 0.0)
    assert one.excluded(SERVICE, 0.1) == set()
    one.note(far[1], UNREACHABLE, OTHERS, 0.1)
    assert one.excluded(SERVICE, 0.2) == {it.key for it in far}
    one.note(far[1], SILENT, OTHERS, 0.3)
    assert one.excluded(SERVICE, 0.4) == set()
    # Targets that are gone from reachable hosts say nothing of a zone.
    for subject in far:
        one.note(subject, LOST, OTHERS, 0.5)
    assert one.excluded(SERVICE, 0.6) == set()


def test_own_zone_is_never_given_up_as_a_whole() -> None:
    one = ejection.Ejector('a', random.Random(1))
    for subject in SERVICE[:4]:
        one.note(subject, UNREACHABLE, OTHERS, 0.0)
    assert one.excluded(SERVICE, 0.1) == set()


def test_records_of_targets_long_gone_are_dropped() -> None:
    one = ejection.Ejector('a', random.Random(1))
    one.note(SERVICE[0], LOST, OTHERS, 0.0)
    one.forget(2 * ejection.RECORD_TTL_S)
    assert not one.records


async def test_router_leaves_out_a_target_that_fails_fast() -> None:
    """The black hole on real sockets: errors at once from one of two."""

    async def fails(
        state: callpath.Scripted,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            await state.read_request(reader)
            writer.write(b'HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n')

    async with (
        callpath.node('front') as front,
        callpath.node('good') as good,
        callpath.scripted(fails) as bad,
        callpath.standin_target('read') as target,
        callpath.caller(front.port) as caller,
    ):
        front.announce('read', bad.port)
        good.announce('read', target.settings.port)
        front.meet(good)
        statuses = [(await caller.ask('read')).status for _ in range(100)]
        assert set(statuses) == {200, 500}
        # Six errors in a row eject it; a slow machine may see a trial or
        # two, a second apart and ever rarer.
        assert 6 <= len(bad.requests) <= 10
