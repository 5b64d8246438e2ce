"""Waves of joining daemons and retries, with a simulated clock."""

import heapq
import random

import pytest

from peridotpost.decisions import pacing
from peridotpost.decisions import tree
from testing import conftest


def test_simultaneous_joins_are_admitted_at_the_parents_rate() -> None:
    # A zone loses power and 470 daemons return to one parent within a tenth
    # of a second.  The parent must admit 40 a second, and those it refuses
    # must not all return at the same moment.
    randomness = random.Random(conftest.SEED)
    limit = pacing.JoinLimiter(0.0)
    coming = [(randomness.uniform(0, 0.1), host) for host in range(470)]
    heapq.heapify(coming)
    admitted: list[float] = []
    asked = 0
    while coming:
        now, host = heapq.heappop(coming)
        asked += 1
        wait_s = limit.admit(now)
        if wait_s:
            later = now + wait_s * randomness.uniform(1, 1.25)
            heapq.heappush(coming, (later, host))
        else:
            admitted.append(now)
    for second in range(int(max(admitted)) + 1):
        within = [at for at in admitted if second <= at < second + 1]
        assert len(within) <= pacing.JOINS_PER_S + pacing.JOIN_BURST
    assert max(admitted) < 2 * 470 / pacing.JOINS_PER_S
    assert asked < 4 * 470


def test_retry_times_of_simultaneous_joins_are_spread() -> None:
    limit = pacing.JoinLimiter(0.0)
    waits = [limit.admit(0.0) for _ in range(400)]
    refused = [wait for wait in waits if wait]
    assert len(refused) == 400 - pacing.JOIN_BURST
    assert len(set(refused)) == len(refused)
    gaps = [b - a for a, b in zip(refused, refused[1:], strict=False)]
    assert min(gaps) == pytest.approx(1 / pacing.JOINS_PER_S)


def test_retry_times_of_very_many_joins_are_bounded() -> None:
    limit = pacing.JoinLimiter(0.0)
    waits = [limit.admit(0.0) for _ in range(5200)]
    assert max(waits) <= pacing.MAX_RETRY_AFTER_S + 1 / pacing.JOINS_PER_S


@pytest.mark.parametrize(
    ('failures', 'bound'),
    [(0, 0.1), (1, 0.2), (4, 1.6), (6, 5.0), (500, 5.0)],
    ids=['first', 'second', 'fifth', 'capped', 'for-ever'],
)
def test_backoff_spreads_over_its_whole_bound(
    failures: int, bound: float, randomness: random.Random
) -> None:
    delays = [
        pacing.Backoff(randomness, failures=failures).next_delay()
        for _ in range(2000)
    ]
    assert max(delays) <= bound
    for quarter in range(4):
        low, high = quarter * bound / 4, (quarter + 1) * bound / 4
        assert 400 <= sum(low <= one < high for one in delays) <= 600


def test_refused_child_tries_the_next_parent_and_honours_the_delay(
    randomness: random.Random,
) -> None:
    # The preferred parent is full and says when to retry.  The child must
    # dial the next one at once.  If all are full it must wait for the one
    # with the earliest retry time, and no less than that.
    choice = pacing.ParentSelector(randomness)
    assert choice.choose(('a', 'b'), 10.0) == ('a', 0.0)
    choice.refused('a', 10.0, 5.0)
    assert choice.choose(('a', 'b'), 10.0) == ('b', 0.0)
    choice.refused('b', 10.0, 2.0)
    peer, wait_s = choice.choose(('a', 'b'), 10.0)
    assert peer == 'b'
    assert 2.0 <= wait_s <= 2.5
    assert choice.choose(('a', 'b'), 10.0 + wait_s) == ('b', 0.0)


def dials_in(choice: pacing.ParentSelector, stood_s: float) -> int:
    """Count the dials in a minute to a parent that drops every stream."""
    now, dials = 0.0, 0
    while now < 60:
        peer, wait_s = choice.choose(('a',), now)
        now += wait_s + stood_s
        dials += 1
        choice.record_end(peer, now, stood_s)
    return dials


def test_parent_that_drops_streams_is_not_dialled_in_a_loop(
    randomness: random.Random,
) -> None:
    # A parent answers the hello and fails right after.  A child that
    # treated the answer as success would dial it twenty times a second.
    assert dials_in(pacing.ParentSelector(randomness), 0.001) < 60


def test_stable_stream_is_reopened_at_once(
    randomness: random.Random,
) -> None:
    choice = pacing.ParentSelector(randomness)
    for _ in range(20):
        choice.record_end('a', 0.0, 0.001)
    choice.record_end('a', 100.0, pacing.STABLE_STREAM_S)
    _, wait_s = choice.choose(('a',), 100.0)
    assert wait_s <= pacing.BASE_DELAY_S


def test_children_of_a_lost_parent_spread_over_many_others() -> None:
    # An intermediate parent with 16 children dies.  If all of them took the
    # next parent in a common order, that one would be full at once.
    hosts = [f'host-{number}' for number in range(473)]
    places = {host: tree.position_of(host, 'z', hosts) for host in hosts}
    first = {h: p.parents for h, p in places.items() if len(p.parents) > 2}
    lost = next(iter(first.values()))[0]
    second = [parents[1] for parents in first.values() if parents[0] == lost]
    assert len(set(second)) >= len(second) // 2
