"""Token bucket of one target that limits its request rate.

Load pattern: a target in need takes a few requests a second, while it has
free slots and its service receives ten times as many from all hosts together.
By its slots alone it would get most of them.

- The guard of the target is its only sender, so its bucket holds for the sum
  over all hosts, whatever their number.
- Unused tokens are kept for ``BURST_S``: arrivals are uneven, and a target
  that is offered its limit on average would get less otherwise.
- A bucket starts empty: before the target named a limit it got more.
- A target gets ``MIN_RATE_PER_S`` even if its limit is lower.  Only responses
  tell that a limit has ended.
"""

BURST_S = 0.25
MIN_BURST = 1.0
MIN_RATE_PER_S = 0.5
ROUNDING = 1e-6
"""Tokens that may be missing, so that a request is admitted at the very time
that `RateLimit.wait_s` returned."""


class RateLimit:
    """Rate limit of a target.

    :ivar per_s: requests per second as the target stated; None if it has no
        limit.
    :ivar tokens: requests that may start, as of `refilled_at`.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.tokens = 0.0
        self.refilled_at = 0.0

    @property
    def rate_per_s(self) -> float:
        """Rate of the bucket, in requests per second."""
        return max(MIN_RATE_PER_S, self.per_s or 0.0)

    def set(self, per_s: float | None, now: float) -> None:
        """Replace the limit; tokens beyond the new burst are lost."""
        if per_s == self.per_s:
            return
        if self.per_s is None:
            self.tokens = 0.0
        else:
            self._refill(now)
        self.refilled_at = now
        self.per_s = per_s
        self.tokens = min(self.tokens, self._burst())

    def admits(self, now: float) -> bool:
        """Whether a request may start now."""
        if self.per_s is None:
            return True
        self._refill(now)
        return self.tokens >= 1.0 - ROUNDING

    def take(self, now: float) -> None:
        """Count a request that starts now."""
        if self.per_s is not None:
            self._refill(now)
            self.tokens -= 1.0

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until a request may start.

        :param ahead: requests that start before it.
        """
        if self.per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, ahead + 1.0 - self.tokens) / self.rate_per_s

    def _burst(self) -> float:
        return max(MIN_BURST, BURST_S * self.rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        refilled = self.tokens + elapsed_s * self.rate_per_s
        self.tokens = min(self._burst(), refilled)
