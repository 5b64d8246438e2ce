"""Slots and queue of a target under load, judged by what callers get."""

import heapq
import random

import pytest

from peridotpost.decisions import slots
from peridotpost.model import forwarding
from testing import orders


def test_the_more_urgent_is_served_first(randomness: random.Random) -> None:
    queue = slots.SlotQueue(1, randomness)
    first = orders.order(0)
    queue.arrive(first, 0.0)
    for number, rank in enumerate([2, 0, 1, -1], start=1):
        queue.arrive(orders.order(number, rank=rank, last=True), 0.0)
    served = []
    running = first
    for turn in range(4):
        (running,) = queue.finish(running, 0.01 * turn).started
        served.append(running.rank)
    assert served == [-1, 0, 1, 2]


@pytest.mark.parametrize(
    ('waiting', 'last', 'taken'),
    [
        pytest.param(0, False, True, id='a slot soon'),
        pytest.param(6, False, False, id='objective missed, ask another'),
        pytest.param(3, True, True, id='late, but nobody else to ask'),
        pytest.param(4, True, False, id='late, and another is already'),
        pytest.param(6, True, False, id='late, and others are already'),
        pytest.param(40, True, False, id='no answer before the deadline'),
    ],
)
def test_a_request_waits_only_where_that_helps(
    waiting: int, last: bool, taken: bool, randomness: random.Random
) -> None:
    queue = slots.SlotQueue(2, randomness)
    for number in range(2 + waiting):
        queue.arrive(orders.order(number, deadline_s=60, last=True), 0.0)
    asked = orders.order(99, last=last)
    refused = queue.arrive(asked, 0.0).refused
    assert (refused == []) is taken


def test_what_can_not_end_in_time_is_refused_when_a_slot_frees(
    randomness: random.Random,
) -> None:
    queue = slots.SlotQueue(1, randomness)
    first = orders.order(0)
    queue.arrive(first, 0.0)
    late = orders.order(1, deadline_s=0.3, last=True)
    queue.arrive(late, 0.0)
    verdict = queue.finish(first, 0.29)
    assert verdict.refused == [late]
    assert verdict.started == []


def test_return_times_are_spread(randomness: random.Random) -> None:
    queue = slots.SlotQueue(1, randomness)
    for number in range(20):
        queue.arrive(orders.order(number, deadline_s=60, last=True), 0.0)
    asked = orders.order(99, deadline_s=60, last=True)
    told = [queue.return_s(asked, 0.0) for _ in range(50)]
    expected = queue.expected_wait_s(asked, 0.0)
    assert len(set(told)) > 40
    assert min(told) >= expected
    assert max(told) <= slots.MAX_RETRY_AFTER_S


class Result:
    """What callers of one run of a load received, by rank."""

    def __init__(self) -> None:
        self.in_time = {0: 0, 1: 0, 2: 0}
        self.asked = {0: 0, 1: 0, 2: 0}

    def share(self, rank: int) -> float:
        return self.in_time[rank] / self.asked[rank]


def overload(queue: slots.SlotQueue, seed: int, factor: float) -> Result:
    """Play ten seconds of `factor` times what the slots can run."""
    source = random.Random(seed)
    result = Result()
    run_s = 0.06
    rate = factor * queue.slots / run_s
    ends: list[tuple[float, int, forwarding.Order]] = []
    now, number = 0.0, 0

    def started(taken: list[forwarding.Order]) -> None:
        for one in taken:
            duration = run_s * source.lognormvariate(-0.3, 0.8)
            heapq.heappush(ends, (now + duration, one.number, one))

    while now < 10.0:
        arrival = now + source.expovariate(rate)
        while ends and ends[0][0] <= arrival:
            now, _, done = heapq.heappop(ends)
            result.in_time[done.rank] += now <= done.objective
            started(queue.finish(done, now).started)
        now = arrival
        number += 1
        rank = source.choice([0, 1, 1, 2, 2, 2])
        result.asked[rank] += 1
        asked = orders.order(number, now, rank=rank, objective_s=0.25)
        started(queue.arrive(asked, now).started)
    return result


class InOneLine(slots.SlotQueue):
    """The same without ranks and refusals: first come, first served."""

    def arrive(self, asked: forwarding.Order, now: float) -> slots.Verdict:
        self.line = [*getattr(self, 'line', []), asked]
        return self.fill(now)

    def fill(self, now: float) -> slots.Verdict:
        started = []
        while self.line and self.running < self.slots:
            started.append(self.line.pop(0))
            self.running += 1
        return slots.Verdict(started, [])


def test_at_twice_the_load_the_urgent_are_served() -> None:
    # In one line everybody waits longer than the objective; with ranks
    # and refusals the urgent do not notice.
    ruled = overload(slots.SlotQueue(12, random.Random(1)), 7, 2.0)
    in_line = overload(InOneLine(12, random.Random(1)), 7, 2.0)
    assert ruled.share(0) > 0.95
    assert ruled.share(0) >= ruled.share(1) >= ruled.share(2)
    assert sum(ruled.in_time.values()) > 3 * sum(in_line.in_time.values())


def test_those_who_will_be_late_do_not_make_others_late(
    randomness: random.Random,
) -> None:
    """A queue longer than the objective makes everybody late for ever.

    A request that nobody else takes waits though it will be late; one
    that comes later and can make its objective goes before it.
    """
    queue = slots.SlotQueue(1, randomness)
    first = orders.order(0)
    queue.arrive(first, 0.0)
    for number in range(1, 9):
        queue.arrive(orders.order(number, last=True), 0.0)
    assert sum(one.late for one in queue.waiting) == 1
    (second,) = queue.finish(first, 0.06).started
    fresh = orders.order(99, now=0.07)
    assert queue.arrive(fresh, 0.07) == slots.Verdict([], [])
    started = [second]
    now = 0.07
    while fresh not in started:
        now += 0.05
        started += queue.finish(started[-1], now).started
    assert now < fresh.objective


def test_below_the_load_nothing_is_refused() -> None:
    ruled = overload(slots.SlotQueue(12, random.Random(1)), 7, 0.6)
    assert all(ruled.share(rank) > 0.95 for rank in (0, 1, 2))
