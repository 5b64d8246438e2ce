"""Which log lines about requests are written, and which are only counted.

Under overload each daemon refuses hundreds of requests a second, after
asking up to four guards for each.  Writing all these lines would cost more
than the requests; with a plain rate limit the lines of the guards would
displace those that show what callers received.

- All lines share one token bucket.  Lines about the outcome of a request
  that was not served may empty it; lines about intermediate steps use only
  the upper half.
- Of the served requests one in ``SERVED_SAMPLE_INTERVAL_S`` is logged, as a
  sample for comparison.

20 lines of about 250 bytes are the 5 KB/s that an ordinary collector takes
from a process.  A bucket of five seconds holds the first lines of a burst,
which show its cause best.
"""

import enum

LINES_PER_S = 20.0
BURST_LINES = 100.0
SERVED_SAMPLE_INTERVAL_S = 1.0


class LinePriority(enum.Enum):
    """Kinds of lines.

    The value is the share of the bucket that must be full to write one.
    """

    OUTCOME = 0.0
    STEP = 0.5


class LineBudget:
    """A token bucket with a reserve for lines about outcomes."""

    def __init__(self) -> None:
        self.tokens = BURST_LINES
        self.filled_at = 0.0
        self.next_served_at = 0.0

    def try_take(self, priority: LinePriority, now: float) -> bool:
        """Take a token for a line; return whether it may be written.

        :param now: seconds of a clock that may jump; a step back adds no
            tokens.
        """
        refilled = self.tokens + max(0.0, now - self.filled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, refilled)
        self.filled_at = now
        if self.tokens < max(1.0, priority.value * BURST_LINES):
            return False
        self.tokens -= 1.0
        return True

    def try_take_served(self, now: float) -> bool:
        """Whether this served request is logged as a sample.

        :param now: seconds of a monotonic clock.
        """
        if now < self.next_served_at:
            return False
        self.next_served_at = now + SERVED_SAMPLE_INTERVAL_S
        return True
