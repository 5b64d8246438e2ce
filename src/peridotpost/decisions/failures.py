"""What part of its requests a target fails.

Load pattern: some targets of a service turn requests away, fail them or lose
their answers for seconds while the others are sound.  A moving average
follows within some requests, and fades, so that a target that gets no work
any more is used again.
"""

import dataclasses

EWMA_WEIGHT = 1 / 8
HALF_LIFE_S = 3.0
NEGLIGIBLE_RATE = 0.01


@dataclasses.dataclass(slots=True)
class FailureShare:
    """A moving average of failures, 0 to 1.

    :param at: when `share` was last right, seconds.
    """

    share: float = 0.0
    at: float = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Take the outcome of one request."""
        faded = self.value(now)
        self.report(faded + EWMA_WEIGHT * (float(failed) - faded), now)

    def report(self, share: float, now: float) -> None:
        """Take another one's figure."""
        self.share = share
        self.at = now

    def value(self, now: float) -> float:
        """Return the share as it has faded by now."""
        if self.share < NEGLIGIBLE_RATE:
            return 0.0
        age_s = max(0.0, now - self.at)
        return float(self.share * 0.5 ** (age_s / HALF_LIFE_S))
