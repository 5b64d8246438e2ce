"""Failure rate of a target.

Load pattern: some targets of a service refuse requests, fail them or lose
their answers for seconds while the others are healthy.  A moving average
follows within a few requests.  It also decays over time, so that a target that
gets no more requests is used again.
"""

import dataclasses

EWMA_WEIGHT = 1 / 8
HALF_LIFE_S = 3.0
NEGLIGIBLE_RATE = 0.01
"""A rate below this counts as 0."""


@dataclasses.dataclass(slots=True)
class FailureRate:
    """A decaying moving average of failures, 0 to 1.

    :param rate: the rate at the time `at`, in seconds.
    """

    rate: float = 0.0
    at: float = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Record the outcome of one request."""
        decayed = self.value(now)
        self.report(decayed + EWMA_WEIGHT * (float(failed) - decayed), now)

    def report(self, rate: float, now: float) -> None:
        """Replace the rate by one that was measured elsewhere."""
        self.rate = rate
        self.at = now

    def value(self, now: float) -> float:
        """Return the rate after decay."""
        if self.rate < NEGLIGIBLE_RATE:
            return 0.0
        age_s = max(0.0, now - self.at)
        return float(self.rate * 0.5 ** (age_s / HALF_LIFE_S))
