"""Simulates releases of good and bad versions with two statistical tests.

    python -m bench.releases 100

simulates 100 releases of each kind with the product's decision modules.  For
each test it prints the versions rolled back, the releases that sent a bad
version more requests than the exposure bound, the longest time from a
version's fiftieth bad request to its last request, and the releases completed.
"""

from collections.abc import Mapping
import dataclasses
import math
import random
import sys
from typing import Protocol

from peridotpost.decisions import releaseplan
from peridotpost.decisions import releasesplit
from peridotpost.decisions import verdict
from peridotpost.model import release
from testing import releaseload

REQUESTS_PER_S = 440
"""For the whole service."""
ROUTES = {'look-up': 0.6, 'issue': 0.3, 'call': 0.1}
INGRESSES = 70
DURATION_S = 12.0
EXPOSURE = 0.1
EXPOSURE_SLACK_REQUESTS = 50
"""Allowed beyond the exposure bound."""
BAD_REQUEST_THRESHOLD = 50
TICK_S = 0.1
REPORT_TICKS = 3
"""Ticks between a guard's reports, and so the maximum age of a report."""
DRAIN_RUN_S = 0.6
"""Time that running requests of the old version need to finish in a drain."""
ORDER = release.ReleaseOrder('bonds', 'v2', DURATION_S, 1)
GOOD = releaseload.Behaviour()


def _on_all_routes(
    **behaviour: float | bool,
) -> dict[str, releaseload.Behaviour]:
    return {
        route: releaseload.Behaviour(**behaviour)  # type: ignore[arg-type]
        for route in ROUTES
    }


VERSION_KINDS = {
    'good': _on_all_routes(),
    'good, fails no more': _on_all_routes(failing=0.0),
    'half fail': _on_all_routes(failing=0.5),
    'a fifth fail': _on_all_routes(failing=0.2),
    'half are slow': _on_all_routes(slow=0.5),
    'half fail after 5 s': _on_all_routes(failing=0.5, bad_from_s=5.0),
    'half fail after 9 s': _on_all_routes(failing=0.5, bad_from_s=9.0),
    'half fail when busy': _on_all_routes(failing=0.5, under_load=True),
    'one route fails': {
        **_on_all_routes(),
        'issue': releaseload.Behaviour(failing=0.5),
    },
    'the rarest route fails': {
        **_on_all_routes(),
        'call': releaseload.Behaviour(failing=0.5),
    },
}


class VersionTest(Protocol):
    """A statistical test that detects bad versions."""

    def judge(
        self,
        old: Mapping[str, release.RouteRunCounts],
        new: Mapping[str, release.RouteRunCounts],
    ) -> verdict.Finding | None:
        """Evaluate all runs so far; return a finding if the version is bad."""


class ZTest:
    """Compares the failure rates of all runs so far by a z-test per route."""

    Z_THRESHOLD = 4.0
    MIN_RUNS = 20

    def judge(
        self,
        old: Mapping[str, release.RouteRunCounts],
        new: Mapping[str, release.RouteRunCounts],
    ) -> verdict.Finding | None:
        for route, runs in new.items():
            baseline = old.get(route)
            if baseline is None or runs.runs < self.MIN_RUNS:
                continue
            pooled_rate = (runs.failed + baseline.failed) / (
                runs.runs + baseline.runs
            )
            variance = (
                pooled_rate
                * (1 - pooled_rate)
                * (1 / runs.runs + 1 / baseline.runs)
            )
            failure_rate = runs.failed / runs.runs
            excess = failure_rate - baseline.failed / max(1, baseline.runs)
            if variance and excess / math.sqrt(variance) > self.Z_THRESHOLD:
                return verdict.Finding(
                    route, 'failed', failure_rate, pooled_rate, runs.runs
                )
        return None


@dataclasses.dataclass(slots=True)
class ReleaseOutcome:
    """Result of one simulated release."""

    stage: release.Stage
    total_requests: int = 0
    new_version_requests: int = 0
    bad_requests: int = 0
    threshold_reached_at: float = 0.0
    last_new_request_at: float = 0.0

    @property
    def exceeds_exposure_bound(self) -> bool:
        return (
            self.new_version_requests
            > EXPOSURE * self.total_requests + EXPOSURE_SLACK_REQUESTS
        )

    @property
    def seconds_after_threshold(self) -> float:
        if self.bad_requests < BAD_REQUEST_THRESHOLD:
            return 0.0
        return max(0.0, self.last_new_request_at - self.threshold_reached_at)


def simulate_release(
    behaviours: Mapping[str, releaseload.Behaviour],
    test: VersionTest,
    randomness: random.Random,
) -> ReleaseOutcome:
    """Simulate one release until some seconds after its deadline."""
    plan = releaseplan.ReleasePlan(ORDER, EXPOSURE, 0.0, 0.0)
    plan.judge = test  # type: ignore[assignment]
    ingresses = [releasesplit.ReleaseSplit() for _ in range(INGRESSES)]
    old = {route: release.RouteRunCounts() for route in ROUTES}
    new = {route: release.RouteRunCounts() for route in ROUTES}
    outcome = ReleaseOutcome(release.Stage.CANARY)
    for tick in range(round((DURATION_S + 3) / TICK_S)):
        now = tick * TICK_S
        if tick % REPORT_TICKS == 0:
            _step_plan(plan, ingresses, old, new, tick, now)
        if plan.stage.is_final and outcome.stage != plan.stage:
            outcome.stage = plan.stage
        for _ in range(round(REQUESTS_PER_S * TICK_S)):
            _simulate_request(
                behaviours, ingresses, old, new, outcome, now, randomness
            )
    return outcome


def _step_plan(
    plan: releaseplan.ReleasePlan,
    ingresses: list[releasesplit.ReleaseSplit],
    old: dict[str, release.RouteRunCounts],
    new: dict[str, release.RouteRunCounts],
    tick: int,
    now: float,
) -> None:
    is_draining = plan.stage is release.Stage.DRAIN
    drained = is_draining and now - plan.stage_entered_at >= DRAIN_RUN_S
    reports = [
        release.TargetReport('a', 'v1', drained, old),
        release.TargetReport('b', 'v2', False, new),
    ]
    view = releaseplan.FleetView(reports, ('b', 'c'), ('a',), True)
    plan.step(view, now)
    if plan.is_drained(view):
        plan.complete(now)
    state = release.ReleaseState(
        ORDER, 1, tick + 1, plan.stage, plan.share(now), 'b', now, 'a'
    )
    for ingress in ingresses:
        ingress.offer(state, now)


def _simulate_request(
    behaviours: Mapping[str, releaseload.Behaviour],
    ingresses: list[releasesplit.ReleaseSplit],
    old: dict[str, release.RouteRunCounts],
    new: dict[str, release.RouteRunCounts],
    outcome: ReleaseOutcome,
    now: float,
    randomness: random.Random,
) -> None:
    ingress = randomness.choice(ingresses)
    route = randomness.choices(list(ROUTES), list(ROUTES.values()))[0]
    state = ingress.state('bonds')
    is_completed = state is not None and state.stage is release.Stage.COMPLETED
    to_new = is_completed or ingress.spend_canary_credit('bonds', now)
    before_deadline = now < DURATION_S
    outcome.total_requests += before_deadline
    if not to_new:
        releaseload.run(old[route], GOOD, now, True, randomness)
        ingress.record_run('bonds', 'v1')
        return
    ingress.record_run('bonds', 'v2')
    outcome.new_version_requests += before_deadline
    outcome.last_new_request_at = now
    # All canary requests go to one target, so that target is busy.
    is_bad = releaseload.run(
        new[route], behaviours[route], now, True, randomness
    )
    outcome.bad_requests += is_bad
    if outcome.bad_requests == BAD_REQUEST_THRESHOLD and is_bad:
        outcome.threshold_reached_at = now


def main(trials: int) -> None:
    """Simulate `trials` releases of each kind; print a table per test."""
    for name, make_test in (('cusum', verdict.CanaryJudge), ('z-test', ZTest)):
        print(f'{name:24} back  over bound  after 50th s  in time')
        for kind, behaviours in VERSION_KINDS.items():
            outcomes = [
                simulate_release(behaviours, make_test(), random.Random(seed))
                for seed in range(trials)
            ]
            rolled_back = sum(
                outcome.stage is release.Stage.ROLLED_BACK
                for outcome in outcomes
            )
            over_bound = sum(
                outcome.exceeds_exposure_bound for outcome in outcomes
            )
            delay_s = max(
                outcome.seconds_after_threshold for outcome in outcomes
            )
            completed = sum(
                outcome.stage is release.Stage.COMPLETED
                for outcome in outcomes
            )
            is_good = kind.startswith('good')
            over_bound_text = '-' if is_good else f'{over_bound}'
            print(
                f'  {kind:22} {rolled_back:4}  {over_bound_text:>10}  '
                f'{"-" if is_good else f"{delay_s:.1f}":>12}  {completed:7}'
            )


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 100)
