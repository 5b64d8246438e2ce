"""Tests of the stages and shares of a release."""

import pytest

from peridotpost.decisions import releaseplan
from peridotpost.model import release

ORDER = release.ReleaseOrder('bonds', 'v2', 12.0, 10)
OLD_HOSTS = ('a', 'b')
NEW_HOSTS = ('c', 'd')
TICK_S = 0.1


def runs(count: int, failed: int = 0) -> dict[str, release.RouteRunCounts]:
    return {'r': release.RouteRunCounts(count, failed, {10: count})}


def view(
    new_runs: int = 100,
    failed: int = 0,
    drained: tuple[str, ...] = (),
    store: bool = True,
    new_hosts: tuple[str, ...] = NEW_HOSTS,
    old_hosts: tuple[str, ...] = OLD_HOSTS,
) -> releaseplan.FleetView:
    reports = [
        release.TargetReport(host, 'v1', host in drained, runs(1000))
        for host in OLD_HOSTS
    ]
    reports.append(
        release.TargetReport('c', 'v2', False, runs(new_runs, failed))
    )
    return releaseplan.FleetView(reports, new_hosts, old_hosts, store)


def plan_at(
    seconds: float, fleet_view: releaseplan.FleetView, duration_s: float = 12.0
) -> releaseplan.ReleasePlan:
    """Return a plan that saw the same view of the fleet for `seconds`."""
    order = release.ReleaseOrder('bonds', 'v2', duration_s, 10)
    plan = releaseplan.ReleasePlan(order, 0.1, 0.0, 0.0)
    ticks = round(seconds / TICK_S)
    for tick in range(ticks + 1):
        plan.step(fleet_view, tick * TICK_S)
    return plan


@pytest.mark.parametrize(
    ('seconds', 'stage', 'share'),
    [
        pytest.param(0.0, release.Stage.CANARY, 0.05, id='begin'),
        pytest.param(8.8, release.Stage.CANARY, 0.05, id='before the shift'),
        pytest.param(9.1, release.Stage.SHIFT, 0.25, id='first step'),
        pytest.param(9.7, release.Stage.SHIFT, 0.5, id='second step'),
        pytest.param(10.2, release.Stage.DRAIN, 1.0, id='drain'),
    ],
)
def test_healthy_version_gets_all_requests_before_the_deadline(
    seconds: float, stage: release.Stage, share: float
) -> None:
    plan = plan_at(seconds, view())
    assert plan.stage is stage
    assert plan.share(seconds) == pytest.approx(share)


@pytest.mark.parametrize(
    ('fleet_view', 'stage'),
    [
        pytest.param(
            view(new_runs=5), release.Stage.CANARY, id='too few runs'
        ),
        pytest.param(
            view(store=False), release.Stage.CANARY, id='store unavailable'
        ),
        pytest.param(
            view(new_hosts=()), release.Stage.CANARY, id='no target yet'
        ),
        pytest.param(
            view(failed=40), release.Stage.ROLLED_BACK, id='new version fails'
        ),
    ],
)
def test_conditions_that_delay_or_roll_back_a_release(
    fleet_view: releaseplan.FleetView, stage: release.Stage
) -> None:
    assert plan_at(14.0, fleet_view).stage is stage


def test_version_without_a_target_is_rolled_back() -> None:
    fleet_view = view(new_hosts=(), new_runs=0)
    assert plan_at(23.0, fleet_view).stage is release.Stage.ROLLED_BACK


@pytest.mark.parametrize('seconds', [5.0, 9.3, 10.5])
def test_version_that_turns_bad_is_rolled_back_in_any_stage(
    seconds: float,
) -> None:
    plan = plan_at(seconds, view())
    assert not plan.stage.is_final
    plan.step(view(new_runs=130, failed=25), seconds + TICK_S)
    assert plan.stage is release.Stage.ROLLED_BACK
    assert plan.share(seconds) == 0.0


def test_release_exceeds_a_deadline_too_short_for_a_verdict() -> None:
    """Completing late costs less than a bad version serving all requests."""
    assert plan_at(2.0, view(), 1.0).stage is release.Stage.CANARY
    assert plan_at(3.1, view(), 1.0).stage is release.Stage.SHIFT


@pytest.mark.parametrize(
    ('fleet_view', 'is_drained'),
    [
        pytest.param(view(drained=('a', 'b')), True, id='all drained'),
        pytest.param(
            view(drained=('a',)), False, id='one still runs requests'
        ),
        pytest.param(
            view(drained=('a', 'b'), old_hosts=('a', 'b', 'x')),
            False,
            id='one without a report',
        ),
        pytest.param(
            view(drained=('a', 'b'), store=False),
            False,
            id='store unavailable',
        ),
    ],
)
def test_drain_ends_when_nothing_runs_on_the_old_version(
    fleet_view: releaseplan.FleetView, is_drained: bool
) -> None:
    assert plan_at(11.0, view()).is_drained(fleet_view) is is_drained
    assert not plan_at(5.0, view()).is_drained(fleet_view)


def test_new_coordinator_learns_the_targets_before_completing() -> None:
    """At first it knows no targets, while old ones still run requests."""
    plan = releaseplan.ReleasePlan(ORDER, 0.1, 0.0, 11.0, release.Stage.DRAIN)
    empty = releaseplan.FleetView((), (), (), True)
    plan.step(empty, 11.1)
    assert not plan.is_drained(empty)
    plan.step(empty, 14.1)
    assert plan.is_drained(empty)


def test_canary_targets_take_turns() -> None:
    plan = plan_at(0.0, view())
    focused_hosts = [plan.canary_host(view(), now) for now in (0.5, 1.5, 2.5)]
    assert focused_hosts == ['c', 'd', 'c']
