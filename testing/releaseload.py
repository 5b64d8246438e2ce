"""Runs of two versions of a service's targets, drawn at random."""

import dataclasses
import math
import random

from peridotpost.decisions import verdict
from peridotpost.model import release

SPREAD = 0.7
"""Of the logarithm of a run's time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How a version runs one route.

    :param failing: share of its runs that fail.
    :param slow: share of its runs that take `slow_factor` times as long.
    :param bad_from_s: when that begins; before, `usual_failing` fail.
    :param under_load: it only shows when the target is busy.
    """

    work_s: float = 0.2
    usual_failing: float = 0.02
    failing: float = 0.02
    slow: float = 0.0
    slow_factor: float = 4.0
    bad_from_s: float = 0.0
    under_load: bool = False

    def is_bad(self, at_s: float, busy: bool) -> bool:
        """Whether what is wrong with the version shows."""
        return at_s >= self.bad_from_s and (busy or not self.under_load)


def run(
    into: release.RouteRuns,
    how: Behaviour,
    at_s: float,
    busy: bool,
    randomness: random.Random,
) -> bool:
    """Count one run; return whether it was failed or slowed by its version."""
    bad = how.is_bad(at_s, busy)
    failing = how.failing if bad else how.usual_failing
    work_s = how.work_s * math.exp(randomness.gauss(0.0, SPREAD))
    slowed = bad and randomness.random() < how.slow
    if slowed:
        work_s *= how.slow_factor
    failed = randomness.random() < failing
    into.runs += 1
    into.failed += failed
    bucket = verdict.bucket_of(work_s)
    into.by_time[bucket] = into.by_time.get(bucket, 0) + 1
    return failed or slowed
