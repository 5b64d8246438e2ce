"""Repeats over the whole fleet, and weights of splits."""

import collections

import pytest

from peridotpost.decisions import budget
from peridotpost.decisions import split
from peridotpost.model import mesh


@pytest.mark.parametrize('members', [1, 13, 60])
def test_repeats_of_a_whole_fleet_stay_within_the_bound(members: int) -> None:
    """Every failure is a reason to send again, at every ingress.

    All targets of a service fail all requests for a while; each ingress
    alone keeps within the bound, and together they would break it.
    """
    fleet = [budget.RetryBudget(0.2, 60, 10) for _ in range(members)]
    events: list[tuple[float, bool]] = []
    for step in range(30_000):
        now = step / 1000
        one = fleet[step % members]
        one.request('register', now)
        for _ in range(2):
            if one.spend('register', members, now):
                events.append((now, True))
    for start in range(0, 20):
        repeats = sum(start <= at < start + 10 for at, _ in events)
        assert repeats <= 0.2 * 10_000 + 60
    # It is a budget, not a ban.
    assert len(events) > 0.05 * 30_000


def test_a_quiet_service_may_still_repeat() -> None:
    one = budget.RetryBudget(0.2, 60, 10)
    one.request('register', 0.0)
    assert one.spend('register', 13, 0.0)


def test_one_service_does_not_spend_for_another() -> None:
    one = budget.RetryBudget(0.2, 0, 10)
    for _ in range(100):
        one.request('busy', 0.0)
    assert not one.spend('quiet', 1, 0.0)


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
