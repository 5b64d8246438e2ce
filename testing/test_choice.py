"""Target choice, judged by what callers receive."""

from collections.abc import Callable
import random

import pytest

from peridotpost.decisions import choice
from peridotpost.model import routing
from testing import routeload

Targets = Callable[[], list[routeload.FakeTarget]]


def well(count: int = 4, zone: str = 'a') -> list[routeload.FakeTarget]:
    return [
        routeload.FakeTarget(routeload.endpoint(n, zone)) for n in range(count)
    ]


def slow() -> list[routeload.FakeTarget]:
    targets = well()
    targets[0].work_s = 10 * routeload.WORK_S
    return targets


def cold() -> list[routeload.FakeTarget]:
    targets = well()
    targets[0] = routeload.FakeTarget(
        routeload.endpoint(0, cold=True), 5 * routeload.WORK_S
    )
    return targets


@pytest.mark.parametrize(
    ('make', 'least_good', 'most_to_first'),
    [
        pytest.param(well, 1.0, 0.3, id='all-well'),
        # It can run 0.1 of what the others run, and gets little more.
        pytest.param(slow, 0.99, 0.06, id='slow-target'),
        pytest.param(cold, 0.99, 0.12, id='cold-target'),
    ],
)
def test_calls_go_where_they_are_answered_in_time(
    make: Targets, least_good: float, most_to_first: float
) -> None:
    """One of four targets is slow or cold; eight daemons send to all.

    Chosen at random it gets a quarter of the calls, and what it cannot
    run is refused or late, though the others have slots free.
    """
    ours = routeload.drive(make(), routeload.Ingress)
    baseline = routeload.drive(make(), routeload.RandomIngress)
    good = ours.share(routeload.GOOD)
    assert good >= least_good
    assert good >= baseline.share(routeload.GOOD)
    assert ours.share_of(0) <= most_to_first


def test_guards_word_tells_of_calls_that_other_daemons_sent() -> None:
    """Forty daemons have a call or two outstanding each.

    By its own count alone each sees empty targets, the slow one as well.
    """
    zones = ('a',) * 40

    class Deaf(routeload.Ingress):
        def choose(
            self, endpoints: list[routing.Endpoint], now: float
        ) -> routing.Endpoint:
            self.book.reports.clear()
            return super().choose(endpoints, now)

    ours = routeload.drive(slow(), routeload.Ingress, zones=zones)
    deaf = routeload.drive(slow(), Deaf, zones=zones)
    refused = ours.share(routeload.REFUSED)
    assert refused <= deaf.share(routeload.REFUSED) / 2


def test_lying_load_page_attracts_no_calls() -> None:
    """A slow target's own page says that nothing runs there.

    Whoever believes it sends everything to the target that is worst off.
    """

    class Believer(routeload.Ingress):
        def choose(
            self, endpoints: list[routing.Endpoint], now: float
        ) -> routing.Endpoint:
            return endpoints[0]

    ours = routeload.drive(slow(), routeload.Ingress)
    fooled = routeload.drive(slow(), Believer)
    assert fooled.share(routeload.GOOD) < 0.2
    assert ours.share(routeload.GOOD) >= 0.99


@pytest.mark.parametrize(
    ('load', 'least_near', 'most_near'),
    [
        pytest.param(0.2, 0.97, 1.0, id='zone-has-room'),
        # Two of four targets are near and can run half of the calls.
        pytest.param(0.9, 0.5, 0.8, id='zone-is-full'),
    ],
)
def test_calls_stay_in_the_zone_until_it_is_full(
    load: float, least_near: float, most_near: float
) -> None:
    """All callers are in one of two zones that have two targets each."""
    targets = well(2) + [
        routeload.FakeTarget(routeload.endpoint(n, 'b')) for n in (2, 3)
    ]
    run = routeload.drive(targets, routeload.Ingress, load=load)
    assert least_near <= run.share_of(0) + run.share_of(1) <= most_near
    assert run.share(routeload.GOOD) >= 0.98


def test_warmed_target_gets_its_share_step_by_step() -> None:
    book = choice.LoadBook()
    fresh = routeload.endpoint(0, cold=True)
    warm = routeload.endpoint(0)
    book.sent(choice.key_of(fresh))
    loads = [book.load(fresh, 0.0)]
    loads += [
        book.load(warm, step * choice.WARM_UP_S / 4) for step in range(5)
    ]
    assert loads == sorted(loads, reverse=True)
    assert loads[1] == loads[0] == pytest.approx(4 * loads[-1])


def test_old_report_fades() -> None:
    book = choice.LoadBook()
    one = routeload.endpoint(0)
    book.report(choice.key_of(one), 2.0, 0.0)
    assert book.load(one, 0.0) == pytest.approx(2.0)
    half_life = choice.REPORT_HALF_LIFE_S
    assert book.load(one, half_life) == pytest.approx(1.0)
    book.forget(2 * choice.RECORD_TTL_S)
    assert not book.reports


@pytest.mark.parametrize('count', [0, 1, 2, 5])
def test_excluded_targets_are_not_chosen(
    count: int, randomness: random.Random
) -> None:
    endpoints = [routeload.endpoint(n) for n in range(count)]
    book = choice.LoadBook()
    left = {choice.key_of(one) for one in endpoints}
    excluded: set[str] = set()
    while left:
        found = choice.choose(endpoints, 'a', book, excluded, 0.0, randomness)
        assert found is not None
        left.remove(choice.key_of(found))
        excluded.add(choice.key_of(found))
    assert (
        choice.choose(endpoints, 'a', book, excluded, 0.0, randomness) is None
    )
