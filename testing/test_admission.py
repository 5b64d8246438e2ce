"""Admission control of one target, judged by what callers receive."""

import dataclasses
import random

import pytest

from peridotpost.decisions import admission
from peridotpost.decisions import fairness
from testing import gateload

SLOTS = 12
WORK_S = 0.02
CAPACITY = SLOTS / WORK_S
"""Requests per second that the tested target can run."""


def gate(queue: int = 64) -> admission.Gate:
    return admission.Gate(SLOTS, queue, random.Random(1))


def surge(factor: float, seconds: float = 4.0) -> list[gateload.Request]:
    return gateload.poisson(
        factor * CAPACITY, seconds, 1, work_s=WORK_S, deadline_s=1.0
    )


def slow_target() -> list[gateload.Request]:
    """Load of 80% of the capacity; after 1 s runs take ten times as long."""
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
        # The safety factor of estimates costs 5% of an excessive burst.  In
        # return, requests that would be late are refused at once.
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
    """Guards against late answers when a surge hits twelve slots.

    First come, first served, the queue grows until its head has waited for
    its whole deadline.  From then on all answers are late although the target
    is fully used.
    """
    fifo = gateload.drive(gateload.PlainFifo(SLOTS), requests)
    gated = gateload.drive(gate(queue=512), requests)
    in_time = gateload.share(gated, gateload.IN_TIME)
    assert in_time >= least_in_time
    assert in_time >= gateload.share(fifo, gateload.IN_TIME) + least_gain
    late = gateload.share(gated, gateload.LATE)
    assert late <= gateload.share(fifo, gateload.LATE) / 50
    # A fifth of the deadline; most requests are refused on arrival.
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
    """Guards against an estimate that locks out all requests.

    A target was slow for a while, or was never measured, so by the estimate
    no call can be in time.  If none were run, the estimate would never change
    and the service would stay down.
    """
    slow = [
        gateload.Request(at / 10, work_s, 10.0 if work_s > 1 else deadline_s)
        for at in range(50)
    ]
    fast = gateload.poisson(200, 10, 1, work_s=0.001, deadline_s=deadline_s)
    fast = [dataclasses.replace(one, at=20 + one.at) for one in fast]
    received = gateload.drive(gate(), [*slow, *fast])
    last = [one for one in received if one.request.at > 25]
    assert gateload.share(last, gateload.IN_TIME) >= 0.99


def test_newest_first_keeps_answers_fresh_under_overload(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against long waits under sustained overload.

    Served in order, each request has waited in a queue that is always full.
    Newest first, half of the answers take no longer than the work itself, and
    as many answers are in time.
    """
    requests = surge(2)
    newest_first = gateload.drive(gate(), requests)
    monkeypatch.setattr(admission, 'OVERLOAD_AFTER_S', 1e9)
    in_order = gateload.drive(gate(), requests)
    for outcome, q in ((gateload.IN_TIME, 0.5), (gateload.IN_TIME, 0.99)):
        time_s = gateload.quantile(newest_first, outcome, q)
        assert time_s < gateload.quantile(in_order, outcome, q) / 2
    # In order, what is queued when the arrivals end is still served.
    assert gateload.share(
        newest_first, gateload.IN_TIME
    ) >= 0.97 * gateload.share(in_order, gateload.IN_TIME)


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
        # Long jobs that need 20 of 12 slots get nine slots.
        pytest.param(jobs(4, 5.0), reads(60), 0.5, 0.98, id='jobs-surge'),
        # With reads at 1.7 times the capacity, jobs keep their quarter.
        pytest.param(jobs(1, 2.0), reads(1000), 0.98, 0.45, id='reads-surge'),
    ],
)
def test_neither_class_starves_the_other(
    long: list[gateload.Request],
    short: list[gateload.Request],
    least_long: float,
    least_short: float,
) -> None:
    """Guards against one work class taking all slots from the other.

    Jobs of seconds share a target with reads of milliseconds.  Without
    reserved slots the jobs occupy all of them and the reads miss their
    deadlines.  Ordered by urgency alone, a surge of reads starves the jobs.
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
    tested = gate()
    tickets = [
        fairness.Ticket('a', str(i), gateload.LONG, 0.0, 60.0)
        for i in range(SLOTS)
    ]
    assert all(tested.submit(ticket, 0.0).started for ticket in tickets)


def test_refused_callers_retry_at_the_drain_rate() -> None:
    """Guards against a synchronized return of refused callers.

    Six hundred callers are refused at once.  With the same retry time for all
    they would return together and be refused again.
    """
    tested = gate(queue=0)
    times_ms = [tested.retry_after_ms(0.0) for _ in range(600)]
    drain_ms = 1000 * 600 / CAPACITY
    windows = [0] * 40
    for time_ms in times_ms:
        windows[min(39, int(time_ms // (drain_ms / 10)))] += 1
    assert max(windows) <= 2 * 600 / 10
    assert max(times_ms) >= drain_ms


@pytest.mark.parametrize(
    'requests',
    [
        pytest.param(burst(600), id='burst'),
        pytest.param(surge(2, 2.0), id='overload-2x-for-two-seconds'),
        pytest.param(surge(5, 2.0), id='overload-5x-for-two-seconds'),
    ],
)
def test_callers_that_honour_retry_after_get_few_refusals(
    requests: list[gateload.Request],
) -> None:
    """Checks that the retry time given to refused callers pays off.

    Refused callers make up to ten attempts.  If they wait as long as the
    refusal says, all are served after about one refusal each.  With a retry
    every 50 ms they are refused many times, and many give up unserved.
    """
    tested = gate()
    after_retry_time = gateload.drive(
        tested, requests, lambda now: tested.retry_after_ms(now) / 1000
    )
    every_50_ms = gateload.drive(gate(), requests, lambda now: 0.05)

    def served(received: list[gateload.Received]) -> int:
        return sum(one.outcome == gateload.IN_TIME for one in received)

    def refused(received: list[gateload.Received]) -> int:
        return sum(one.outcome == gateload.REFUSED for one in received)

    assert served(after_retry_time) >= 0.99 * len(requests)
    assert served(after_retry_time) >= served(every_50_ms)
    assert refused(after_retry_time) <= refused(every_50_ms) / 2


def test_queued_request_is_refused_once_it_would_be_late() -> None:
    """A queued request is refused before its deadline if it can't meet it.

    The target becomes slow while the request is queued, which the end of the
    next run shows.
    """
    tested = admission.Gate(1, 8, random.Random(1))
    first = fairness.Ticket('a', '1', gateload.SHORT, 0.0, 100.0)
    second = fairness.Ticket('a', '2', gateload.SHORT, 0.0, 1.0)
    assert tested.submit(first, 0.0).started == (first,)
    assert tested.submit(second, 0.0) == admission.Decision()
    assert tested.finish(first, 0.95).refused == (second,)
    assert tested.running == tested.waiting == 0


@pytest.mark.parametrize('seed', range(5))
def test_gate_never_exceeds_its_slots_and_tracks_requests(seed: int) -> None:
    """Arrivals, ends and withdrawals in random order are all accounted for."""
    randomness = random.Random(seed)
    tested = admission.Gate(3, 4, randomness)
    waiting: set[fairness.Ticket] = set()
    running: set[fairness.Ticket] = set()
    now = 0.0
    for number in range(2000):
        now += randomness.expovariate(100)
        decision = admission.Decision()
        event = randomness.random()
        if event < 0.5:
            ticket = fairness.Ticket(
                randomness.choice('abc'),
                randomness.choice('xyz'),
                randomness.choice([gateload.SHORT, gateload.LONG]),
                now,
                now + randomness.uniform(0, 0.5),
            )
            waiting.add(ticket)
            decision = tested.submit(ticket, now)
        elif event < 0.9 and running:
            ended = min(running, key=lambda one: one.arrived)
            running.remove(ended)
            decision = tested.finish(ended, now)
        elif waiting:
            withdrawn = max(waiting, key=lambda one: one.arrived)
            waiting.remove(withdrawn)
            tested.withdraw(withdrawn)
        assert waiting.issuperset(decision.started)
        assert waiting.issuperset(decision.refused)
        waiting.difference_update(decision.started, decision.refused)
        running.update(decision.started)
        assert len(running) == tested.running <= 3
        assert len(waiting) == tested.waiting <= 8, number
