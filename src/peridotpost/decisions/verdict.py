"""Detects a bad version by comparing its runs with those of the old one.

Load pattern: a new version fails part of its requests, or takes several times
as long for them: from the start, after a while, under load, or on one route
only.  The old version fails some requests too, since downstream calls fail,
and its run times vary by a factor of five, so fixed bounds don't work for
either.  Routes are evaluated separately: in a pooled count, a route with a
tenth of the requests that fails half of them is masked by the others.

Each route has two cumulative sums (CUSUM: Page, "Continuous inspection
schemes", Biometrika 41, 1954), one of failures and one of slow runs, of the
log likelihood ratio between the share of a bad version and the share that a
good version may have.  A sum never falls below zero, so a version that turns
bad late is detected as quickly as one that is bad from the start.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from peridotpost.model import release

BUCKET_GROWTH_FACTOR = 1.5
FIRST_BUCKET_END_S = 0.001
"""Run times are counted in buckets.  The first ends at ``FIRST_BUCKET_END_S``,
each other one at ``BUCKET_GROWTH_FACTOR`` times the end of its predecessor."""
SLOW_BUCKETS_ABOVE_MEDIAN = 3
"""Runs this many buckets or more above the old version's median are slow."""
MIN_SLOW_S = 0.02
"""Shorter runs never count as slow: busy processes alone take that long."""
CUSUM_THRESHOLD = 8.0
"""Bound on a cumulative sum, in nats of the log likelihood ratio."""
MIN_OLD_RUNS = 30
DEFAULT_FAILED_SHARE = 0.02
DEFAULT_SLOW_SHARE = 0.1
"""Shares assumed if the old version has fewer than ``MIN_OLD_RUNS`` runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Margins:
    """Bounds on a version's share, relative to the old version's share.

    A good version stays below ``factor`` times the old share plus ``good``;
    a bad one exceeds that by ``bad``.
    """

    factor: float
    good: float
    bad: float


FAILED_MARGINS = Margins(1.25, 0.01, 0.1)
SLOW_MARGINS = Margins(1.5, 0.03, 0.18)


def bucket_of(run_s: float) -> int:
    """Return the bucket of a run that takes `run_s`."""
    if run_s <= FIRST_BUCKET_END_S:
        return 0
    return math.ceil(
        math.log(run_s / FIRST_BUCKET_END_S) / math.log(BUCKET_GROWTH_FACTOR)
    )


@dataclasses.dataclass(slots=True)
class _Cusum:
    """A cumulative sum, and the counts that were added to it."""

    value: float = 0.0
    bad: int = 0
    runs: int = 0

    def add(
        self, bad: int, runs: int, baseline_share: float, margins: Margins
    ) -> None:
        """Add runs, of which `bad` were bad."""
        if runs <= 0:
            return
        self.bad += bad
        self.runs += runs
        # Capped below 1, where the logarithms would be infinite.
        good_share = min(0.8, baseline_share * margins.factor + margins.good)
        bad_share = min(0.95, good_share + margins.bad)
        good_gain = math.log((1 - bad_share) / (1 - good_share))
        gain = bad * math.log(bad_share / good_share)
        gain += (runs - bad) * good_gain
        self.value = max(0.0, self.value + gain)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Why a version is bad.

    :param measure: ``failed`` or ``slow``.
    :param share: share of such runs in the new version.
    :param usual: the same share in the old version.
    """

    route: str
    measure: str
    share: float
    usual: float
    runs: int


class CanaryJudge:
    """Evaluates the new version of one release as its runs are reported."""

    def __init__(self) -> None:
        self.cusums: dict[tuple[str, str], _Cusum] = {}
        self.counted_by_route: dict[str, release.RouteRunCounts] = {}

    def judge(
        self,
        old: Mapping[str, release.RouteRunCounts],
        new: Mapping[str, release.RouteRunCounts],
    ) -> Finding | None:
        """Evaluate all runs so far; return a finding if they are bad."""
        for route, runs in new.items():
            baseline = old.get(route, release.RouteRunCounts())
            new_runs = _runs_since(runs, self.counted_by_route.get(route))
            self.counted_by_route[route] = _copy_runs(runs)
            failed_share = _failed_share(baseline)
            self._cusum(route, 'failed').add(
                new_runs.failed, new_runs.runs, failed_share, FAILED_MARGINS
            )
            slow, timed, slow_share = _count_slow(baseline, new_runs)
            self._cusum(route, 'slow').add(
                slow, timed, slow_share, SLOW_MARGINS
            )
            for measure, baseline_share in (
                ('failed', failed_share),
                ('slow', slow_share),
            ):
                cusum = self._cusum(route, measure)
                if cusum.value >= CUSUM_THRESHOLD:
                    bad_share = cusum.bad / cusum.runs
                    return Finding(
                        route, measure, bad_share, baseline_share, cusum.runs
                    )
        return None

    def _cusum(self, route: str, measure: str) -> _Cusum:
        return self.cusums.setdefault((route, measure), _Cusum())


def runs_by_route(
    reports: Iterable[release.TargetReport],
) -> dict[str, release.RouteRunCounts]:
    """Add up the runs of several targets, by route."""
    total: dict[str, release.RouteRunCounts] = {}
    for report in reports:
        for route, runs in report.by_route.items():
            route_total = total.setdefault(route, release.RouteRunCounts())
            route_total.runs += runs.runs
            route_total.failed += runs.failed
            for bucket, count in runs.by_run_time.items():
                route_total.by_run_time[bucket] = (
                    route_total.by_run_time.get(bucket, 0) + count
                )
    return total


def _copy_runs(runs: release.RouteRunCounts) -> release.RouteRunCounts:
    return release.RouteRunCounts(
        runs.runs, runs.failed, dict(runs.by_run_time)
    )


def _runs_since(
    runs: release.RouteRunCounts, before: release.RouteRunCounts | None
) -> release.RouteRunCounts:
    """Return the runs added since `before`.

    A daemon that restarted counts from zero again, so a difference may be
    negative; it counts as zero.
    """
    if before is None:
        return runs
    return release.RouteRunCounts(
        max(0, runs.runs - before.runs),
        max(0, runs.failed - before.failed),
        {
            bucket: max(0, count - before.by_run_time.get(bucket, 0))
            for bucket, count in runs.by_run_time.items()
        },
    )


def _failed_share(baseline: release.RouteRunCounts) -> float:
    if baseline.runs < MIN_OLD_RUNS:
        return DEFAULT_FAILED_SHARE
    return baseline.failed / baseline.runs


def _count_slow(
    baseline: release.RouteRunCounts, new_runs: release.RouteRunCounts
) -> tuple[int, int, float]:
    """Return the slow and the timed runs, and the baseline's slow share."""
    baseline_timed = sum(baseline.by_run_time.values())
    if baseline_timed < MIN_OLD_RUNS:
        # The old version has too few runs to derive a bound.
        return 0, 0, DEFAULT_SLOW_SHARE
    median_bucket = _median(baseline.by_run_time, baseline_timed)
    first_slow_bucket = max(
        median_bucket + SLOW_BUCKETS_ABOVE_MEDIAN, bucket_of(MIN_SLOW_S)
    )
    share = (
        _count_from(baseline.by_run_time, first_slow_bucket) / baseline_timed
    )
    timed = sum(new_runs.by_run_time.values())
    return _count_from(new_runs.by_run_time, first_slow_bucket), timed, share


def _median(by_run_time: Mapping[int, int], timed: int) -> int:
    seen = 0
    for bucket in sorted(by_run_time):
        seen += by_run_time[bucket]
        if 2 * seen >= timed:
            return bucket
    return 0


def _count_from(by_run_time: Mapping[int, int], first_slow_bucket: int) -> int:
    return sum(
        count
        for bucket, count in by_run_time.items()
        if bucket >= first_slow_bucket
    )
