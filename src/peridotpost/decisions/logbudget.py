"""Which lines about requests are written, and which only counted.

Load pattern: under overload each daemon refuses hundreds of requests a
second, after asking up to four guards for each.  Written out, these lines
cost more than the requests; cut off by a plain limit, the guards' lines
push out those that tell what callers received.

- All share one bucket.  What a caller received unless it was served may
  empty it; steps on the way only use the upper half of it, so that the
  lower half is left for the endings.
- Of the requests that were served, one in ``SERVED_EVERY_S`` is told: an
  example to compare with.

Grounds: 20 lines of some 250 bytes are the 5 KB a second that an ordinary
collector takes from a process; a bucket of five seconds holds the first
lines of a burst, which show its cause best.
"""

import enum

LINES_PER_S = 20.0
BURST_LINES = 100.0
SERVED_SAMPLE_INTERVAL_S = 1.0


class Weight(enum.Enum):
    """What a line tells of, and how full the bucket has to be for it."""

    ENDING = 0.0
    STEP = 0.5


class LineBudget:
    """A token bucket with a reserve for what matters most."""

    def __init__(self) -> None:
        self.tokens = BURST_LINES
        self.filled_at = 0.0
        self.next_served_at = 0.0

    def takes(self, weight: Weight, now: float) -> bool:
        """Whether a line may be written.

        :param now: seconds of a clock that may jump; a step back adds
            nothing.
        """
        grown = self.tokens + max(0.0, now - self.filled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, grown)
        self.filled_at = now
        if self.tokens < max(1.0, weight.value * BURST_LINES):
            return False
        self.tokens -= 1.0
        return True

    def takes_served(self, now: float) -> bool:
        """Whether this served request is the example of its second.

        :param now: seconds of a steady clock.
        """
        if now < self.next_served_at:
            return False
        self.next_served_at = now + SERVED_SAMPLE_INTERVAL_S
        return True
