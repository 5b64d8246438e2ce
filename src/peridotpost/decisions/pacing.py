"""How fast a daemon tries again, and how many may come at once.

Load pattern: a herd of daemons dies together and reconnects together, or
the store comes back after an outage with all relays waiting.  Without
spread the survivors would get every reconnect within one round trip, fail
again, and meet the next synchronous wave.

Full jitter (uniform between nothing and the exponential bound) spreads a
wave over the whole bound; the grounds are the usual ones: it is the only
one of the common variants whose waves flatten on the first retry.
"""

import dataclasses
import random

BASE_S = 0.1
CAP_S = 5.0
JOINS_PER_S = 40
JOIN_BURST = 16


@dataclasses.dataclass(slots=True)
class Backoff:
    """Exponential back-off with full jitter; `base_s` and `cap_s` bound it."""

    randomness: random.Random
    base_s: float = BASE_S
    cap_s: float = CAP_S
    failures: int = 0

    def next_delay(self) -> float:
        """Return the seconds to wait after one more failure."""
        bound = min(self.cap_s, self.base_s * 2 ** min(self.failures, 16))
        self.failures += 1
        return self.randomness.uniform(0, bound)

    def reset(self) -> None:
        self.failures = 0


@dataclasses.dataclass(slots=True)
class JoinLimit:
    """Token bucket for new streams at a parent.

    A join costs the parent a whole configuration to encode, some
    milliseconds; 40 a second keep that under a fifth of a core during a
    storm while 16 children are taken in at once.
    """

    now: float
    rate: float = JOINS_PER_S
    burst: float = JOIN_BURST
    tokens: float = JOIN_BURST

    def admit(self, now: float) -> float:
        """Return 0 to admit, else the seconds after which to come back."""
        gained = (now - self.now) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.now = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / self.rate
