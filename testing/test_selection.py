"""Where requests go, under uneven speeds, zones and failures."""

import collections
import random

import pytest

from peridotpost.decisions import selection
from peridotpost.decisions import targetstate


def target(
    host: str, zone: str = 'own', run_s: float = 0.06, load: float = 0.0
) -> targetstate.Candidate:
    found = targetstate.Candidate(host, zone, ready=True, slots=12)
    found.report(load, 0.0)
    found.report_run('r', run_s)
    found.run_s = run_s
    return found


def shares(
    candidates: list[targetstate.Candidate],
    randomness: random.Random,
    objective_s: float = 0.2,
    draws: int = 2000,
) -> collections.Counter[str]:
    selector = selection.Selector('own', randomness)
    found: collections.Counter[str] = collections.Counter()
    for _ in range(draws):
        chosen = selector.choose(candidates, 'r', (), objective_s, 0.0)
        assert chosen is not None
        found[chosen.host] += 1
    return found


def test_the_own_zone_serves_what_it_can(randomness: random.Random) -> None:
    found = shares([target('a'), target('b', 'far', 0.03)], randomness)
    assert found['a'] == 2000


def test_a_full_zone_spills(randomness: random.Random) -> None:
    full = target('a', load=5.0)
    found = shares([full, target('b', 'far')], randomness)
    assert found['b'] > 1500


def test_a_free_slot_of_a_slow_target_goes_before_a_fast_queue(
    randomness: random.Random,
) -> None:
    """Fast targets had queues while slots of slow ones stayed free.

    Each ingress looked for the shortest time, and runs that waited for
    calls behind those queues filled the calling service as well.
    """
    fast = target('a', run_s=0.1, load=1.8)
    slow = target('b', run_s=0.22, load=0.5)
    assert shares([fast, slow], randomness, objective_s=0.9)['b'] > 1000


def test_the_own_zone_serves_while_it_has_a_free_slot(
    randomness: random.Random,
) -> None:
    """Idle targets of other zones look better at any load, and cost bytes."""
    near = target('a', run_s=0.1, load=0.8)
    far = target('b', 'far', run_s=0.05)
    assert shares([near, far], randomness, objective_s=0.3)['a'] == 2000


@pytest.mark.parametrize(
    ('far_load', 'crosses'),
    [
        pytest.param(0.4, True, id='a free slot elsewhere'),
        pytest.param(1.0, False, id='none elsewhere'),
    ],
)
def test_a_zone_short_of_slots_uses_those_of_others(
    far_load: float, crosses: bool, randomness: random.Random
) -> None:
    """One zone has three targets of a service, another two of nine.

    Kept within nine tenths of the objective, the second refused while the
    first had slots to spare, a millisecond away.
    """
    near = target('a', run_s=0.1, load=1.5)
    far = target('b', 'far', run_s=0.1, load=far_load)
    found = shares([near, far], randomness, objective_s=0.9)
    assert (found['b'] > 1500) is crosses


def test_a_zone_does_not_spill_to_one_as_full(
    randomness: random.Random,
) -> None:
    # Bytes between zones are paid for, and buy nothing here.
    full = [target('a', load=5.0), target('b', 'far', load=5.0)]
    assert shares(full, randomness)['a'] == 2000


def test_a_slow_target_gets_less_and_never_nothing(
    randomness: random.Random,
) -> None:
    # With the fastest taken each time, a target that just joined, slow
    # until it is warm, would get nothing as long as there is room.
    found = shares([target('a'), target('b', run_s=0.12)], randomness)
    assert 100 < found['b'] < 500


def test_a_target_that_fails_its_requests_is_put_back(
    randomness: random.Random,
) -> None:
    failing = target('a')
    for _ in range(10):
        failing.note(True, 0.0)
    found = shares([failing, target('b')], randomness)
    assert 0 < found['a'] < 100


def test_writes_avoid_targets_that_lose_answers(
    randomness: random.Random,
) -> None:
    """Most targets lose two answers in five; a lost write stays lost."""
    known = [target(f'lossy-{number}') for number in range(6)]
    for one in known:
        one.report_failures(0.4, 0.0)
    known += [target(f'sound-{number}') for number in range(4)]
    selector = selection.Selector('own', randomness)
    for idempotent, least, most in ((False, 0.97, 1.0), (True, 0.4, 0.97)):
        chosen = [
            selector.choose(known, 'r', (), 1.5, 0.0, idempotent)
            for _ in range(1000)
        ]
        sound = sum(
            one is not None and one.host.startswith('sound') for one in chosen
        )
        assert least <= sound / 1000 <= most


def test_what_all_targets_fail_moves_nothing(
    randomness: random.Random,
) -> None:
    """All calls of a service fail, and with them the runs of all targets."""
    known = [target(f't{number}', load=0.5) for number in range(10)]
    for one in known:
        one.report_failures(0.5, 0.0)
    found = shares(known, randomness)
    assert min(found.values()) > 100


def test_a_target_that_recovered_is_used_again(
    randomness: random.Random,
) -> None:
    failing = target('a')
    for _ in range(10):
        failing.note(True, 0.0)
    for _ in range(40):
        failing.note(False, 0.0)
    found = shares([failing, target('b')], randomness)
    assert found['a'] > 700


def test_nobody_tried_is_tried_again(randomness: random.Random) -> None:
    selector = selection.Selector('own', randomness)
    both = [target('a'), target('b')]
    chosen = selector.choose(both, 'r', {'a'}, 0.2, 0.0)
    assert chosen is not None and chosen.host == 'b'
    assert selector.choose(both, 'r', {'a', 'b'}, 0.2, 0.0) is None


def test_a_short_route_does_not_cross_for_the_sake_of_a_long_one(
    randomness: random.Random,
) -> None:
    """A service answers one route in a fifth of another's time.

    Judged by the mean of both, the short one was sent to another zone all
    the time, as its objective is as short as it is.
    """
    near, far = target('a', run_s=0.12), target('b', 'far', run_s=0.06)
    near.report_run('r', 0.03)
    far.report_run('r', 0.02)
    assert shares([near, far], randomness, objective_s=0.1)['a'] == 2000


def test_a_target_that_joins_gets_requests_of_a_short_route(
    randomness: random.Random,
) -> None:
    """A target joined a service whose calls take 15 ms and got nothing.

    Nothing was known of its run times, so it was judged by a mean over
    all routes and taken for eight times slower than its neighbour.
    """
    old, new = target('a', run_s=0.015), target('b')
    new.run_by_route.clear()
    assert shares([old, new], randomness)['b'] > 100


def test_no_other_zone_is_asked_when_all_are_known_to_be_full(
    randomness: random.Random,
) -> None:
    """In a surge every request asked three full targets in other zones.

    The questions found nothing and were most of the bytes between zones.
    """
    selector = selection.Selector('own', randomness)
    full = [target('a', load=3.0), target('b', 'far', load=3.0)]
    assert selector.choose(full, 'r', {'a'}, 0.2, 0.0) is None
    found = selector.last_resort(full, 'r', 0.0)
    assert found is not None and found.host == 'a'


def test_an_own_target_that_is_replaced_starts_without_a_past() -> None:
    one = target('a')
    one.stands('register', 'i-1', 4, True)
    for _ in range(10):
        one.note(True, 0.0)
    one.stands('register', 'i-2', 4, True)
    assert not one.failure_rate(0.0)
    assert not one.run_by_route
