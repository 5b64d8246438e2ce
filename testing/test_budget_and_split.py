"""Repeats over the whole fleet, and weights of splits."""

import collections

import pytest

from peridotpost.decisions import budget
from peridotpost.decisions import split
from peridotpost.model import forwarding
from peridotpost.model import mesh

RATIO = 0.2
EXTRA = 60.0
WINDOW_S = 10.0
AGAIN = forwarding.Repeat.AGAIN
AFTER_FAILURE = forwarding.Repeat.AFTER_FAILURE
NONE = forwarding.Repeat.NONE


def guards(count: int, extra: float = EXTRA) -> list[budget.RetryBudget]:
    return [budget.RetryBudget(RATIO, extra, WINDOW_S) for _ in range(count)]


def most_in_a_window(times: list[float]) -> int:
    """Return the most events in any window, looked at each second."""
    return max(
        sum(start <= at < start + WINDOW_S for at in times)
        for start in range(0, 20)
    )


@pytest.mark.parametrize('targets', [1, 13, 60])
def test_repeats_of_a_whole_service_stay_within_the_bound(
    targets: int,
) -> None:
    """Each guard keeps within the bound, and together they break it."""
    fleet = guards(targets)
    taken: list[float] = []
    for step in range(30_000):
        now = step / 1000
        one = fleet[step % targets]
        one.sent(NONE, 0.0, now)
        for _ in range(2):
            if one.admits(AGAIN, targets, now):
                one.sent(AGAIN, 0.0, now)
                taken.append(now)
    assert most_in_a_window(taken) <= RATIO * 10_000 + EXTRA
    # It is a budget, not a ban.
    assert len(taken) > 0.1 * 30_000


def test_calls_of_repeated_runs_stay_within_the_bound_of_their_service() -> (
    None
):
    """Half of all calls fail, and so do the runs that made them.

    Runs are repeated, each repeat makes two calls, and the calls that are
    turned away are repeated too: 407 repeats of calls where 380 are allowed.
    """
    callers, called = guards(18, extra=31.0), guards(6, extra=31.0)
    repeats: list[float] = []
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
                one = called[(step + call) % 6]
                one.sent(NONE, share, now)
                if run is not NONE:
                    repeats.append(now)
                if call and one.admits(AGAIN, 6, now):
                    one.sent(AGAIN, 0.0, now)
                    repeats.append(now)
    assert most_in_a_window(repeats) <= RATIO * 20_000 + 31.0
    assert len(repeats) > 0.3 * RATIO * 60_000


def test_one_guard_takes_repeats_for_ingresses_that_sent_it_little() -> None:
    """Each of 195 ingresses had a budget of three and most used none."""
    (one,) = guards(1)
    for step in range(100):
        one.sent(NONE, 0.0, step / 100)
    taken = 0
    while one.admits(AGAIN, 20, 1.0):
        one.sent(AGAIN, 0.0, 1.0)
        taken += 1
    assert taken >= 0.6 * (RATIO * 100 + EXTRA / 20)


def test_a_quiet_target_may_still_take_a_repeat() -> None:
    (one,) = guards(1)
    assert one.admits(AGAIN, 13, 0.0)


def test_a_guard_that_is_cut_off_keeps_its_part_of_the_bound() -> None:
    (one,) = guards(1)
    assert one.admits(AGAIN, 20, 0.0)
    taken = 0
    while one.admits(AGAIN, 1, 1.0):
        one.sent(AGAIN, 0.0, 1.0)
        taken += 1
    assert taken <= EXTRA / 20


@pytest.mark.parametrize(
    'weights',
    [
        pytest.param([90, 10], id='nine to one'),
        pytest.param([1, 1, 1], id='thirds'),
        pytest.param([0.25, 99.75], id='a trickle'),
    ],
)
def test_shares_hold_over_any_stretch(weights: list[float]) -> None:
    shares = tuple(
        mesh.Share(f's{index}', weight) for index, weight in enumerate(weights)
    )
    splitter = split.Splitter()
    picked = [splitter.pick('r', shares) for _ in range(1000)]
    for start in (0, 137, 700):
        found = collections.Counter(picked[start : start + 300])
        for share in shares:
            wanted = 300 * share.weight / sum(weights)
            assert abs(found[share.service] - wanted) <= 2


def test_new_weights_start_fresh() -> None:
    splitter = split.Splitter()
    old = (mesh.Share('a', 1), mesh.Share('b', 1))
    new = (mesh.Share('a', 1), mesh.Share('b', 3))
    splitter.pick('r', old)
    picked = [splitter.pick('r', new) for _ in range(100)]
    assert picked.count('b') == 75
    assert len(splitter.credits) == 1
