"""Random runs of two versions of a service's targets."""

import dataclasses
import math
import random

from peridotpost.decisions import verdict
from peridotpost.model import release

LOG_TIME_SIGMA = 0.7
"""Standard deviation of the logarithm of a run's time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """The behaviour of a version on one route.

    :param failing: share of its runs that fail.
    :param slow: share of its runs that take `slow_factor` times as long.
    :param bad_from_s: when the fault begins; until then,
        `baseline_failing` of the runs fail.
    :param under_load: whether the fault only shows on a busy target.
    """

    work_s: float = 0.2
    baseline_failing: float = 0.02
    failing: float = 0.02
    slow: float = 0.0
    slow_factor: float = 4.0
    bad_from_s: float = 0.0
    under_load: bool = False

    def is_bad(self, at_s: float, busy: bool) -> bool:
        """Whether the version's fault shows."""
        return at_s >= self.bad_from_s and (busy or not self.under_load)


def run(
    into: release.RouteRunCounts,
    behaviour: Behaviour,
    at_s: float,
    busy: bool,
    randomness: random.Random,
) -> bool:
    """Add a random run; return whether it failed or was slowed."""
    bad = behaviour.is_bad(at_s, busy)
    failing = behaviour.failing if bad else behaviour.baseline_failing
    work_s = behaviour.work_s * math.exp(randomness.gauss(0.0, LOG_TIME_SIGMA))
    slowed = bad and randomness.random() < behaviour.slow
    if slowed:
        work_s *= behaviour.slow_factor
    failed = randomness.random() < failing
    into.runs += 1
    into.failed += failed
    bucket = verdict.bucket_of(work_s)
    into.by_run_time[bucket] = into.by_run_time.get(bucket, 0) + 1
    return failed or slowed
