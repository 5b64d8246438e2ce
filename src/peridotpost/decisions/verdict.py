"""Whether a new version of a target is bad, by its runs beside the old one's.

Load pattern: a new version fails a part of its requests, or takes several
times as long for them: at once, after a while, under load, or on one route.
The old version fails some too, since calls behind it fail, and its run times
spread by a factor of five, so neither is judged by a fixed bound.  Routes are
judged apart: pooled, a route that fails half of a tenth of the requests hides
behind the others.

Each route has two cumulative sums (CUSUM: Page, "Continuous inspection
schemes", Biometrika 41, 1954), of failures and of slow runs, on the log
likelihood ratio of a share that a good version may show to one that a bad
version shows.  The sum never falls below zero, so a version that turns bad
late is found as soon as one that was bad from the start.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from peridotpost.model import release

TIME_FACTOR = 1.5
FIRST_TIME_S = 0.001
"""Run times are counted in buckets; each ends at ``TIME_FACTOR`` times the
end of the one before, the first at ``FIRST_TIME_S``."""
SLOW_BUCKETS = 3
"""Runs so many buckets above the old version's median are slow."""
LEAST_SLOW_S = 0.02
"""No run is slow that takes less: that is the time of busy processes."""
THRESHOLD = 8.0
"""Of a sum, in natural units of the likelihood ratio."""
LEAST_OLD_RUNS = 30
USUAL_FAILED = 0.02
USUAL_SLOW = 0.1
"""Shares assumed where the old version has run less often."""


@dataclasses.dataclass(frozen=True, slots=True)
class Margins:
    """Above the old version's share: what is good still, and what is bad."""

    factor: float
    good: float
    bad: float


FAILED = Margins(1.25, 0.01, 0.1)
SLOW = Margins(1.5, 0.03, 0.18)


def bucket_of(run_s: float) -> int:
    """Return the bucket that counts a run of so many seconds."""
    if run_s <= FIRST_TIME_S:
        return 0
    return math.ceil(math.log(run_s / FIRST_TIME_S) / math.log(TIME_FACTOR))


@dataclasses.dataclass(slots=True)
class _Sum:
    """One cumulative sum, and the counts that went into it."""

    value: float = 0.0
    bad: int = 0
    runs: int = 0

    def take(self, bad: int, runs: int, usual: float, by: Margins) -> None:
        """Add runs, of which `bad` were bad."""
        if runs <= 0:
            return
        self.bad += bad
        self.runs += runs
        good_share = min(0.8, usual * by.factor + by.good)
        bad_share = min(0.95, good_share + by.bad)
        sound = math.log((1 - bad_share) / (1 - good_share))
        gain = bad * math.log(bad_share / good_share)
        gain += (runs - bad) * sound
        self.value = max(0.0, self.value + gain)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Why a version is bad.

    :param measure: ``failed`` or ``slow``.
    :param share: of the new version's runs; `usual` of the old one's.
    """

    route: str
    measure: str
    share: float
    usual: float
    runs: int


class Verdict:
    """Judges one release as the reports of its targets come in."""

    def __init__(self) -> None:
        self.sums: dict[tuple[str, str], _Sum] = {}
        self.taken: dict[str, release.RouteRuns] = {}

    def judge(
        self,
        old: Mapping[str, release.RouteRuns],
        new: Mapping[str, release.RouteRuns],
    ) -> Finding | None:
        """Take all runs so far; return what is wrong, None if nothing is."""
        for route, runs in new.items():
            usual = old.get(route, release.RouteRuns())
            fresh = _since(runs, self.taken.get(route))
            self.taken[route] = _copy(runs)
            share = _failed_share(usual)
            self._sum(route, 'failed').take(
                fresh.failed, fresh.runs, share, FAILED
            )
            slow, timed, slow_share = _slow(usual, fresh)
            self._sum(route, 'slow').take(slow, timed, slow_share, SLOW)
            for measure, found in (('failed', share), ('slow', slow_share)):
                known = self._sum(route, measure)
                if known.value >= THRESHOLD:
                    part = known.bad / known.runs
                    return Finding(route, measure, part, found, known.runs)
        return None

    def _sum(self, route: str, measure: str) -> _Sum:
        return self.sums.setdefault((route, measure), _Sum())


def pooled(
    reports: Iterable[release.TargetReport],
) -> dict[str, release.RouteRuns]:
    """Add up the runs of several targets, by route."""
    total: dict[str, release.RouteRuns] = {}
    for report in reports:
        for route, runs in report.by_route.items():
            held = total.setdefault(route, release.RouteRuns())
            held.runs += runs.runs
            held.failed += runs.failed
            for bucket, count in runs.by_time.items():
                held.by_time[bucket] = held.by_time.get(bucket, 0) + count
    return total


def _copy(runs: release.RouteRuns) -> release.RouteRuns:
    return release.RouteRuns(runs.runs, runs.failed, dict(runs.by_time))


def _since(
    runs: release.RouteRuns, before: release.RouteRuns | None
) -> release.RouteRuns:
    """Return the runs that came since `before`.

    A target whose daemon restarted counts from nothing, so a difference
    may be negative; that is none.
    """
    if before is None:
        return runs
    return release.RouteRuns(
        max(0, runs.runs - before.runs),
        max(0, runs.failed - before.failed),
        {
            bucket: max(0, count - before.by_time.get(bucket, 0))
            for bucket, count in runs.by_time.items()
        },
    )


def _failed_share(usual: release.RouteRuns) -> float:
    if usual.runs < LEAST_OLD_RUNS:
        return USUAL_FAILED
    return usual.failed / usual.runs


def _slow(
    usual: release.RouteRuns, fresh: release.RouteRuns
) -> tuple[int, int, float]:
    """Return slow and timed runs, and the share that is usually slow."""
    usual_timed = sum(usual.by_time.values())
    if usual_timed < LEAST_OLD_RUNS:
        # There is no bound yet to tell slow runs by.
        return 0, 0, USUAL_SLOW
    median = _median(usual.by_time, usual_timed)
    bound = max(median + SLOW_BUCKETS, bucket_of(LEAST_SLOW_S))
    share = _above(usual.by_time, bound) / usual_timed
    timed = sum(fresh.by_time.values())
    return _above(fresh.by_time, bound), timed, share


def _median(by_time: Mapping[int, int], timed: int) -> int:
    seen = 0
    for bucket in sorted(by_time):
        seen += by_time[bucket]
        if 2 * seen >= timed:
            return bucket
    return 0


def _above(by_time: Mapping[int, int], bound: int) -> int:
    return sum(count for bucket, count in by_time.items() if bucket >= bound)
