"""Releases of good and bad versions, played against two tests of a version.

    python -m bench.releases 100

plays so many releases of each kind with the decision modules of the product
and prints, for each test: versions rolled back, releases that gave a bad
version more than the bound, the time until the last request of a version that
had spoiled fifty, and releases that missed their deadline.
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

RATE = 440
"""Requests of the service in a second."""
ROUTES = {'look-up': 0.6, 'issue': 0.3, 'call': 0.1}
INGRESSES = 70
DURATION_S = 12.0
EXPOSURE = 0.1
SLACK = 50
SPOILED = 50
TICK_S = 0.1
REPORT_TICKS = 3
"""How old a guard's report is at most."""
RUN_S = 0.6
"""What the runs of the old version need to end, in a drain."""
ORDER = release.ReleaseOrder('bonds', 'v2', DURATION_S, 1)
GOOD = releaseload.Behaviour()


def _all(**given: float | bool) -> dict[str, releaseload.Behaviour]:
    return {
        route: releaseload.Behaviour(**given)  # type: ignore[arg-type]
        for route in ROUTES
    }


KINDS = {
    'good': _all(),
    'good, fails no more': _all(failing=0.0),
    'half fail': _all(failing=0.5),
    'a fifth fail': _all(failing=0.2),
    'half are slow': _all(slow=0.5),
    'half fail after 5 s': _all(failing=0.5, bad_from_s=5.0),
    'half fail after 9 s': _all(failing=0.5, bad_from_s=9.0),
    'half fail when busy': _all(failing=0.5, under_load=True),
    'one route fails': {
        **_all(),
        'issue': releaseload.Behaviour(failing=0.5),
    },
    'the rarest route fails': {
        **_all(),
        'call': releaseload.Behaviour(failing=0.5),
    },
}


class Test(Protocol):
    """Tells good versions from bad ones."""

    def judge(
        self,
        old: Mapping[str, release.RouteRuns],
        new: Mapping[str, release.RouteRuns],
    ) -> verdict.Finding | None:
        """Take all runs so far; return what is wrong, None if nothing is."""


class TwoShares:
    """Compares the failed shares of all runs so far (z-test, each route)."""

    Z = 4.0
    LEAST_RUNS = 20

    def judge(
        self,
        old: Mapping[str, release.RouteRuns],
        new: Mapping[str, release.RouteRuns],
    ) -> verdict.Finding | None:
        for route, runs in new.items():
            usual = old.get(route)
            if usual is None or runs.runs < self.LEAST_RUNS:
                continue
            both = (runs.failed + usual.failed) / (runs.runs + usual.runs)
            spread = both * (1 - both) * (1 / runs.runs + 1 / usual.runs)
            share = runs.failed / runs.runs
            excess = share - usual.failed / max(1, usual.runs)
            if spread and excess / math.sqrt(spread) > self.Z:
                return verdict.Finding(route, 'failed', share, both, runs.runs)
        return None


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one release came to."""

    stage: release.Stage
    total: int = 0
    new: int = 0
    spoiled: int = 0
    fiftieth_at: float = 0.0
    last_new_at: float = 0.0

    @property
    def is_over_bound(self) -> bool:
        return self.new > EXPOSURE * self.total + SLACK

    @property
    def after_fiftieth_s(self) -> float:
        if self.spoiled < SPOILED:
            return 0.0
        return max(0.0, self.last_new_at - self.fiftieth_at)


def play(
    kind: Mapping[str, releaseload.Behaviour],
    test: Test,
    randomness: random.Random,
) -> Outcome:
    """Play one release up to some seconds after its deadline."""
    plan = releaseplan.ReleasePlan(ORDER, EXPOSURE, 0.0, 0.0)
    plan.verdict = test  # type: ignore[assignment]
    ingresses = [releasesplit.ReleaseSplit() for _ in range(INGRESSES)]
    old = {route: release.RouteRuns() for route in ROUTES}
    new = {route: release.RouteRuns() for route in ROUTES}
    outcome = Outcome(release.Stage.CANARY)
    for tick in range(round((DURATION_S + 3) / TICK_S)):
        now = tick * TICK_S
        if tick % REPORT_TICKS == 0:
            _decide(plan, ingresses, old, new, tick, now)
        if plan.stage.is_final and outcome.stage != plan.stage:
            outcome.stage = plan.stage
        for _ in range(round(RATE * TICK_S)):
            _request(kind, ingresses, old, new, outcome, now, randomness)
    return outcome


def _decide(
    plan: releaseplan.ReleasePlan,
    ingresses: list[releasesplit.ReleaseSplit],
    old: dict[str, release.RouteRuns],
    new: dict[str, release.RouteRuns],
    tick: int,
    now: float,
) -> None:
    is_over = plan.stage is release.Stage.DRAIN
    drained = is_over and now - plan.stage_at >= RUN_S
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
    for one in ingresses:
        one.offer(state, now)


def _request(
    kind: Mapping[str, releaseload.Behaviour],
    ingresses: list[releasesplit.ReleaseSplit],
    old: dict[str, release.RouteRuns],
    new: dict[str, release.RouteRuns],
    outcome: Outcome,
    now: float,
    randomness: random.Random,
) -> None:
    ingress = randomness.choice(ingresses)
    route = randomness.choices(list(ROUTES), list(ROUTES.values()))[0]
    state = ingress.state('bonds')
    done = state is not None and state.stage is release.Stage.COMPLETED
    to_new = done or ingress.takes_canary('bonds', now)
    counted = now < DURATION_S
    outcome.total += counted
    if not to_new:
        releaseload.run(old[route], GOOD, now, True, randomness)
        ingress.ran('bonds', 'v1')
        return
    ingress.ran('bonds', 'v2')
    outcome.new += counted
    outcome.last_new_at = now
    # The canary share goes to one target, so that target is busy.
    spoils = releaseload.run(new[route], kind[route], now, True, randomness)
    outcome.spoiled += spoils
    if outcome.spoiled == SPOILED and spoils:
        outcome.fiftieth_at = now


def main(trials: int) -> None:
    """Play `trials` releases of each kind; print a table a test."""
    for name, make in (('cusum', verdict.Verdict), ('z-test', TwoShares)):
        print(f'{name:24} back  over bound  after 50th s  in time')
        for kind, behaviours in KINDS.items():
            found = [
                play(behaviours, make(), random.Random(seed))
                for seed in range(trials)
            ]
            back = sum(one.stage is release.Stage.ROLLED_BACK for one in found)
            over = sum(one.is_over_bound for one in found)
            late = max(one.after_fiftieth_s for one in found)
            good = sum(one.stage is release.Stage.COMPLETED for one in found)
            is_good = kind.startswith('good')
            told = '-' if is_good else f'{over}'
            print(
                f'  {kind:22} {back:4}  {told:>10}  '
                f'{"-" if is_good else f"{late:.1f}":>12}  {good:7}'
            )


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 100)
