"""Load balancing of calls, judged by what callers receive."""

from collections.abc import Callable
import random

import pytest

from peridotpost.decisions import loadbalancing
from peridotpost.model import routing
from testing import routeload

Targets = Callable[[], list[routeload.FakeTarget]]


def healthy(count: int = 4, zone: str = 'a') -> list[routeload.FakeTarget]:
    return [
        routeload.FakeTarget(routeload.endpoint(n, zone)) for n in range(count)
    ]


def slow() -> list[routeload.FakeTarget]:
    targets = healthy()
    targets[0].work_s = 10 * routeload.WORK_S
    return targets


def cold() -> list[routeload.FakeTarget]:
    targets = healthy()
    targets[0] = routeload.FakeTarget(
        routeload.endpoint(0, cold=True), 5 * routeload.WORK_S
    )
    return targets


@pytest.mark.parametrize(
    ('make', 'least_good', 'most_to_first'),
    [
        pytest.param(healthy, 1.0, 0.3, id='all-healthy'),
        # It has a tenth of the others' capacity and gets little more calls.
        pytest.param(slow, 0.99, 0.06, id='slow-target'),
        pytest.param(cold, 0.99, 0.12, id='cold-target'),
    ],
)
def test_calls_go_where_they_are_answered_in_time(
    make: Targets, least_good: float, most_to_first: float
) -> None:
    """Guards against excess calls to a slow or cold target.

    Eight daemons send to four targets.  With random targets a quarter of the
    calls goes to the slow one; what it can't run is refused or late although
    the others have free slots.
    """
    balanced = routeload.drive(make(), routeload.Ingress)
    baseline = routeload.drive(make(), routeload.RandomIngress)
    good = balanced.share(routeload.GOOD)
    assert good >= least_good
    assert good >= baseline.share(routeload.GOOD)
    assert balanced.call_share(0) <= most_to_first


def test_load_report_covers_calls_of_other_daemons() -> None:
    """Guards against load balancing by local counts alone.

    Each of forty daemons has one or two outstanding calls, so by its own count
    all targets look idle, including the slow one.
    """
    zones = ('a',) * 40

    class WithoutReports(routeload.Ingress):
        def choose(
            self, endpoints: list[routing.Endpoint], now: float
        ) -> routing.Endpoint:
            self.loads.reports.clear()
            return super().choose(endpoints, now)

    with_reports = routeload.drive(slow(), routeload.Ingress, zones=zones)
    without = routeload.drive(slow(), WithoutReports, zones=zones)
    refused = with_reports.share(routeload.REFUSED)
    assert refused <= without.share(routeload.REFUSED) / 2


def test_wrong_load_page_attracts_no_calls() -> None:
    """Guards against trusting a load page that shows a slow target as idle.

    An ingress that reads the page sends all calls to the slowest target.
    """

    class TrustsLoadPage(routeload.Ingress):
        def choose(
            self, endpoints: list[routing.Endpoint], now: float
        ) -> routing.Endpoint:
            return endpoints[0]

    balanced = routeload.drive(slow(), routeload.Ingress)
    misled = routeload.drive(slow(), TrustsLoadPage)
    assert misled.share(routeload.GOOD) < 0.2
    assert balanced.share(routeload.GOOD) >= 0.99


@pytest.mark.parametrize(
    ('load', 'least_local', 'most_local'),
    [
        pytest.param(0.2, 0.97, 1.0, id='zone-has-room'),
        # Two of four targets are local and can run half of the calls.
        pytest.param(0.9, 0.5, 0.8, id='zone-is-full'),
    ],
)
def test_calls_stay_in_the_zone_until_it_is_full(
    load: float, least_local: float, most_local: float
) -> None:
    """All callers are in one of two zones with two targets each."""
    targets = healthy(2) + [
        routeload.FakeTarget(routeload.endpoint(n, 'b')) for n in (2, 3)
    ]
    run = routeload.drive(targets, routeload.Ingress, load=load)
    assert least_local <= run.call_share(0) + run.call_share(1) <= most_local
    assert run.share(routeload.GOOD) >= 0.98


def test_capacity_of_a_warmed_target_rises_gradually() -> None:
    tracker = loadbalancing.LoadTracker()
    cold = routeload.endpoint(0, cold=True)
    warm = routeload.endpoint(0)
    tracker.sent(loadbalancing.target_key(cold))
    loads = [tracker.load(cold, 0.0)]
    loads += [
        tracker.load(warm, step * loadbalancing.WARM_UP_S / 4)
        for step in range(5)
    ]
    assert loads == sorted(loads, reverse=True)
    assert loads[1] == loads[0] == pytest.approx(4 * loads[-1])


def test_load_report_decays() -> None:
    tracker = loadbalancing.LoadTracker()
    endpoint = routeload.endpoint(0)
    tracker.report(loadbalancing.target_key(endpoint), 2.0, 0.0)
    assert tracker.load(endpoint, 0.0) == pytest.approx(2.0)
    half_life_s = loadbalancing.REPORT_HALF_LIFE_S
    assert tracker.load(endpoint, half_life_s) == pytest.approx(1.0)
    tracker.forget(2 * loadbalancing.RECORD_TTL_S)
    assert not tracker.reports


@pytest.mark.parametrize('count', [0, 1, 2, 5])
def test_excluded_targets_are_not_chosen(
    count: int, randomness: random.Random
) -> None:
    endpoints = [routeload.endpoint(n) for n in range(count)]
    tracker = loadbalancing.LoadTracker()
    remaining = {loadbalancing.target_key(endpoint) for endpoint in endpoints}
    excluded: set[str] = set()
    while remaining:
        chosen = loadbalancing.choose(
            endpoints, 'a', tracker, excluded, 0.0, randomness
        )
        assert chosen is not None
        remaining.remove(loadbalancing.target_key(chosen))
        excluded.add(loadbalancing.target_key(chosen))
    assert (
        loadbalancing.choose(
            endpoints, 'a', tracker, excluded, 0.0, randomness
        )
        is None
    )
