"""Admission at a target's gate, judged by what callers receive."""

import dataclasses
import random

import pytest

from peridotpost.decisions import admission
from peridotpost.decisions import fairness
from testing import gateload

SLOTS = 12
WORK_S = 0.02
CAPACITY = SLOTS / WORK_S
"""Requests a second that the target of these tests can run."""


def gate(queue: int = 64) -> admission.Gate:
    return admission.Gate(SLOTS, queue, random.Random(1))


def surge(factor: float, seconds: float = 4.0) -> list[gateload.Request]:
    return gateload.poisson(
        factor * CAPACITY, seconds, 1, work_s=WORK_S, deadline_s=1.0
    )


def slow_target() -> list[gateload.Request]:
    """Four fifths of the capacity, until each run takes ten times as long."""
    return [
        dataclasses.replace(one, work_s=WORK_S if one.at < 1 else 0.2)
        for one in surge(0.8)
    ]


def burst(count: int) -> list[gateload.Request]:
    return [gateload.Request(0.0, WORK_S, 0.5) for _ in range(count)]


@pytest.mark.parametrize(
    ('requests', 'least_in_time', 'least_gain'),
    [
        pytest.param(burst(60), 1.0, 0.0, id='burst-that-fits'),
        # The margin on estimates costs a twentieth of a burst too large;
        # in exchange those that will be late hear of it at once.
        pytest.param(burst(600), 0.45, -0.05, id='burst-too-large'),
        pytest.param(surge(0.8), 1.0, 0.0, id='below-capacity'),
        pytest.param(surge(2), 0.48, 0.2, id='overload-2x'),
        pytest.param(surge(5), 0.19, 0.1, id='overload-5x'),
        pytest.param(slow_target(), 0.3, 0.0, id='slow-target'),
    ],
)
def test_gate_answers_in_time_and_never_late(
    requests: list[gateload.Request],
    least_in_time: float,
    least_gain: float,
) -> None:
    """A surge arrives at a target that has twelve slots.

    First come, first served, the queue grows until its head has waited a
    whole deadline; from then on every caller gets a late answer, though
    the target works all the time.
    """
    fifo = gateload.drive(gateload.PlainFifo(SLOTS), requests)
    gated = gateload.drive(gate(queue=512), requests)
    in_time = gateload.share(gated, gateload.IN_TIME)
    assert in_time >= least_in_time
    assert in_time >= gateload.share(fifo, gateload.IN_TIME) + least_gain
    late = gateload.share(gated, gateload.LATE)
    assert late <= gateload.share(fifo, gateload.LATE) / 50
    # A fifth of the deadline; most are refused in the instant they ask.
    assert gateload.quantile(gated, gateload.REFUSED, 0.99) <= 0.2


@pytest.mark.parametrize(
    ('work_s', 'deadline_s'),
    [
        pytest.param(3.0, 1.0, id='was-slower-than-the-deadline'),
        pytest.param(0.001, 0.01, id='deadline-below-the-first-guess'),
    ],
)
def test_target_that_looked_too_slow_is_tried_again(
    work_s: float, deadline_s: float
) -> None:
    """A target was slow for a while, or was never measured.

    By the estimate no call can be in time; if none were run, the estimate
    would stay as it is, and the service be down for good.
    """
    slow = [
        gateload.Request(at / 10, work_s, 10.0 if work_s > 1 else deadline_s)
        for at in range(50)
    ]
    later = gateload.poisson(200, 10, 1, work_s=0.001, deadline_s=deadline_s)
    later = [dataclasses.replace(one, at=20 + one.at) for one in later]
    received = gateload.drive(gate(), [*slow, *later])
    last = [one for one in received if one.request.at > 25]
    assert gateload.share(last, gateload.IN_TIME) >= 0.99


def test_newest_first_keeps_answers_fresh_under_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Overload lasts, and the queue with it.

    In order, whoever is served has waited in a queue that is always full;
    newest first, half of the answers need no more than the work itself,
    and as many are in time.
    """
    requests = surge(2)
    fresh = gateload.drive(gate(), requests)
    monkeypatch.setattr(admission, 'OVERLOAD_AFTER_S', 1e9)
    in_order = gateload.drive(gate(), requests)
    for word, q in ((gateload.IN_TIME, 0.5), (gateload.IN_TIME, 0.99)):
        ours = gateload.quantile(fresh, word, q)
        assert ours < gateload.quantile(in_order, word, q) / 2
    # In order, the queue that stands at the end is served after it.
    assert gateload.share(fresh, gateload.IN_TIME) >= 0.97 * gateload.share(
        in_order, gateload.IN_TIME
    )


def jobs(rate: float, work_s: float) -> list[gateload.Request]:
    return gateload.poisson(
        rate,
        20,
        1,
        work_s=work_s,
        deadline_s=20.0,
        work_class=gateload.LONG,
    )


def reads(rate: float) -> list[gateload.Request]:
    return gateload.poisson(rate, 20, 2, work_s=WORK_S, deadline_s=1.0)


@pytest.mark.parametrize(
    ('long', 'short', 'least_long', 'least_short'),
    [
        # 20 slots' worth of long jobs on 12: they get their nine slots.
        pytest.param(jobs(4, 5.0), reads(60), 0.5, 0.98, id='jobs-surge'),
        # 1.7 times the capacity in reads: the jobs keep their quarter.
        pytest.param(jobs(1, 2.0), reads(1000), 0.98, 0.45, id='reads-surge'),
    ],
)
def test_neither_class_starves_the_other(
    long: list[gateload.Request],
    short: list[gateload.Request],
    least_long: float,
    least_short: float,
) -> None:
    """Jobs of seconds share a target with reads of milliseconds.

    Without a reserve the jobs hold every slot and the reads' deadlines
    pass; served by urgency alone, a flood of reads shuts the jobs out.
    """
    requests = [*long, *short]
    fifo = gateload.drive(gateload.PlainFifo(SLOTS), requests)
    gated = gateload.drive(gate(), requests)
    for work_class, least in (
        (gateload.LONG, least_long),
        (gateload.SHORT, least_short),
    ):
        of = {'work_class': work_class}
        assert gateload.share(gated, gateload.IN_TIME, **of) >= least
        assert gateload.share(gated, gateload.LATE, **of) == 0
    assert gateload.share(fifo, gateload.IN_TIME, work_class='short') < 0.3


def test_long_jobs_take_every_slot_where_no_reads_come() -> None:
    one = gate()
    tickets = [
        fairness.Ticket('a', str(i), gateload.LONG, 0.0, 60.0)
        for i in range(SLOTS)
    ]
    assert all(one.arrive(ticket, 0.0).started for ticket in tickets)


def test_refused_callers_come_back_at_the_drain_rate() -> None:
    """Six hundred callers are refused in one instant.

    Told the same time, they would return together and be refused again.
    """
    one = gate(queue=0)
    times = [one.retry_after_ms(0.0) for _ in range(600)]
    drain_ms = 1000 * 600 / CAPACITY
    windows = [0] * 40
    for time in times:
        windows[min(39, int(time // (drain_ms / 10)))] += 1
    assert max(windows) <= 2 * 600 / 10
    assert max(times) >= drain_ms


@pytest.mark.parametrize(
    'requests',
    [
        pytest.param(burst(600), id='burst'),
        pytest.param(surge(2, 2.0), id='overload-2x-for-two-seconds'),
        pytest.param(surge(5, 2.0), id='overload-5x-for-two-seconds'),
    ],
)
def test_callers_who_come_back_when_told_are_served_with_few_refusals(
    requests: list[gateload.Request],
) -> None:
    """Refused callers send again, up to ten times.

    Told when, all are served, each refused about once; coming back every
    50 ms they are refused in heaps, and many give up unserved.
    """
    told = gate()
    by_us = gateload.drive(
        told, requests, lambda now: told.retry_after_ms(now) / 1000
    )
    own = gateload.drive(gate(), requests, lambda now: 0.05)

    def served(received: list[gateload.Received]) -> int:
        return sum(one.outcome == gateload.IN_TIME for one in received)

    def refused(received: list[gateload.Received]) -> int:
        return sum(one.outcome == gateload.REFUSED for one in received)

    assert served(by_us) >= 0.99 * len(requests)
    assert served(by_us) >= served(own)
    assert refused(by_us) <= refused(own) / 2


def test_waiting_request_is_refused_once_it_cannot_make_it() -> None:
    """The target turns slow while a request waits.

    The next end of a run shows it: the request is refused then, not at
    its deadline.
    """
    one = admission.Gate(1, 8, random.Random(1))
    first = fairness.Ticket('a', '1', gateload.SHORT, 0.0, 100.0)
    second = fairness.Ticket('a', '2', gateload.SHORT, 0.0, 1.0)
    assert one.arrive(first, 0.0).started == (first,)
    assert one.arrive(second, 0.0) == admission.Step()
    assert one.finish(first, 0.95).refused == (second,)
    assert one.running == one.waiting == 0


@pytest.mark.parametrize('events', range(5))
def test_gate_never_exceeds_its_slots_and_forgets_nobody(events: int) -> None:
    """Arrivals, ends and departures in random order, all accounted for."""
    randomness = random.Random(events)
    one = admission.Gate(3, 4, randomness)
    waiting: set[fairness.Ticket] = set()
    running: set[fairness.Ticket] = set()
    now = 0.0
    for number in range(2000):
        now += randomness.expovariate(100)
        step = admission.Step()
        act = randomness.random()
        if act < 0.5:
            ticket = fairness.Ticket(
                randomness.choice('abc'),
                randomness.choice('xyz'),
                randomness.choice([gateload.SHORT, gateload.LONG]),
                now,
                now + randomness.uniform(0, 0.5),
            )
            waiting.add(ticket)
            step = one.arrive(ticket, now)
        elif act < 0.9 and running:
            ended = min(running, key=lambda it: it.arrived)
            running.remove(ended)
            step = one.finish(ended, now)
        elif waiting:
            gone = max(waiting, key=lambda it: it.arrived)
            waiting.remove(gone)
            one.withdraw(gone)
        assert waiting.issuperset(step.started)
        assert waiting.issuperset(step.refused)
        waiting.difference_update(step.started, step.refused)
        running.update(step.started)
        assert len(running) == one.running <= 3
        assert len(waiting) == one.waiting <= 8, number
