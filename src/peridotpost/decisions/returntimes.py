"""Times at which the callers that one full target refused return to it.

Load pattern: a target is full for some seconds and refuses hundreds of
callers.  Each is told the wait of a request that arrives now, which is the
same for all, so they return together as the next burst and are refused again.

- Each refused caller gets a later time than the one before it.  The distance
  is the part of a run that the target's slots need for one request, times
  ``SPACING``.
- Times of the past leave no gap: the next caller is told the usual wait.
"""

SPACING = 1.0
"""0 turns spacing off.  A quarter serves hardly fewer callers."""


class ReturnTimes:
    """Time at which the next refused caller of one target may return."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def next_s(self, wait_s: float, run_s: float, now: float) -> float:
        """Return the seconds after which a refused caller may return.

        :param wait_s: expected wait of a request that arrives now.
        :param run_s: mean run time divided by the number of slots.
        """
        at = max(now + wait_s, self.next_at)
        self.next_at = at + SPACING * run_s
        return at - now
