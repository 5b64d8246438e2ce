"""Retry budgets over a whole service, and weights of traffic splits."""

import collections

import pytest

from peridotpost.decisions import budget
from peridotpost.decisions import split
from peridotpost.model import forwarding
from peridotpost.model import mesh

RATIO = 0.2
EXTRA = 60.0
WINDOW_S = 10.0
AGAIN = forwarding.RetryCause.REFUSED_OR_LOST
AFTER_FAILURE = forwarding.RetryCause.AFTER_FAILURE
NONE = forwarding.RetryCause.NONE


def guards(count: int, extra: float = EXTRA) -> list[budget.RetryBudget]:
    return [budget.RetryBudget(RATIO, extra, WINDOW_S) for _ in range(count)]


def max_in_a_window(times: list[float]) -> int:
    """Return the highest count of any window that starts at a full second."""
    return max(
        sum(start <= at < start + WINDOW_S for at in times)
        for start in range(0, 20)
    )


@pytest.mark.parametrize('targets', [1, 13, 60])
def test_retries_of_a_whole_service_stay_within_the_limit(
    targets: int,
) -> None:
    """Guards against limits that hold for each guard but not for the sum."""
    service = guards(targets)
    admitted: list[float] = []
    for step in range(30_000):
        now = step / 1000
        guard = service[step % targets]
        guard.sent(NONE, 0.0, now)
        for _ in range(2):
            if guard.admits(AGAIN, targets, now):
                guard.sent(AGAIN, 0.0, now)
                admitted.append(now)
    assert max_in_a_window(admitted) <= RATIO * 10_000 + EXTRA
    # Most of the budget must be usable.
    assert len(admitted) > 0.1 * 30_000


def test_calls_of_retried_runs_stay_within_the_limit_of_their_service() -> (
    None
):
    """Guards against retries that multiply over two call levels.

    Half of all calls fail, and so do the runs that made them.  Each retried
    run makes two calls, and refused calls are retried as well, which led to
    407 retries of calls where 380 are allowed.
    """
    callers, called = guards(18, extra=31.0), guards(6, extra=31.0)
    retries: list[float] = []
    share = 0.0
    for step in range(30_000):
        now = step / 1000
        runs = [NONE]
        caller = callers[step % 18]
        caller.sent(NONE, 0.0, now)
        if step % 2 and caller.admits(AFTER_FAILURE, 18, now):
            caller.sent(AFTER_FAILURE, 0.0, now)
            runs.append(AFTER_FAILURE)
        share += 0.02 * ((len(runs) - 1) / len(runs) - share)
        for run in runs:
            for call in range(2):
                guard = called[(step + call) % 6]
                guard.sent(NONE, share, now)
                if run is not NONE:
                    retries.append(now)
                if call and guard.admits(AGAIN, 6, now):
                    guard.sent(AGAIN, 0.0, now)
                    retries.append(now)
    assert max_in_a_window(retries) <= RATIO * 20_000 + 31.0
    assert len(retries) > 0.3 * RATIO * 60_000


def test_one_guard_admits_the_retries_of_all_ingresses() -> None:
    """Guards against a budget that is split over the ingresses.

    Each of 195 ingresses had a budget of three retries, and most used none.
    """
    (guard,) = guards(1)
    for step in range(100):
        guard.sent(NONE, 0.0, step / 100)
    admitted = 0
    while guard.admits(AGAIN, 20, 1.0):
        guard.sent(AGAIN, 0.0, 1.0)
        admitted += 1
    assert admitted >= 0.6 * (RATIO * 100 + EXTRA / 20)


def test_idle_target_admits_a_retry() -> None:
    (guard,) = guards(1)
    assert guard.admits(AGAIN, 13, 0.0)


def test_partitioned_guard_keeps_its_part_of_the_limit() -> None:
    (guard,) = guards(1)
    assert guard.admits(AGAIN, 20, 0.0)
    admitted = 0
    while guard.admits(AGAIN, 1, 1.0):
        guard.sent(AGAIN, 0.0, 1.0)
        admitted += 1
    assert admitted <= EXTRA / 20


@pytest.mark.parametrize(
    'weights',
    [
        pytest.param([90, 10], id='nine to one'),
        pytest.param([1, 1, 1], id='thirds'),
        pytest.param([0.25, 99.75], id='a small share'),
    ],
)
def test_shares_hold_over_any_sequence(weights: list[float]) -> None:
    shares = tuple(
        mesh.WeightedService(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    splitter = split.Splitter()
    picked = [splitter.pick('r', shares) for _ in range(1000)]
    for start in (0, 137, 700):
        counts = collections.Counter(picked[start : start + 300])
        for share in shares:
            expected = 300 * share.weight / sum(weights)
            assert abs(counts[share.service] - expected) <= 2


def test_new_weights_reset_the_state() -> None:
    splitter = split.Splitter()
    old = (mesh.WeightedService('a', 1), mesh.WeightedService('b', 1))
    new = (mesh.WeightedService('a', 1), mesh.WeightedService('b', 3))
    splitter.pick('r', old)
    picked = [splitter.pick('r', new) for _ in range(100)]
    assert picked.count('b') == 75
    assert len(splitter.credits) == 1
