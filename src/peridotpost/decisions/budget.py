"""Retry budget of one target.

Load pattern: under a surge, targets refuse requests, fail them or lose their
answers.  Ingresses retry these and add to the load that makes the next ones
fail.  A limit that each ingress keeps for itself is far from used up if
failures are uneven, and grows with the size of the fleet if they are even.

Over the whole fleet and in any window, a service gets at most ``ratio`` of its
requests, plus ``extra``, as retries.  All retries to a service arrive at the
guards of its targets.  Each guard therefore enforces its part: ``GUARD_SHARE``
of the sum of `ratio` times its own first arrivals and one target's part of
`extra`.

- A guard that restarts has lost its counts.  In its first window it is granted
  only what is left beside `GUARD_SHARE`, and by its running time, so that any
  number of restarts in a window use that part of `extra` once.
- A retry after an answer that reports a failure uses at most
  ``FAILURE_RETRY_SHARE``: most of these failures stem from calls that the run
  made, and a retry makes all of those calls again.
- Calls made by a retried run are retries for the service that they go to.
  They can't be told from other requests of their host, so each request counts
  as the share of retries among the runs of its host's target.
"""

import collections
import dataclasses
import math

from peridotpost.model import forwarding

GUARD_SHARE = 0.7
"""The rest is for guards that restarted and lost their counts."""
FAILURE_RETRY_SHARE = 0.2
WINDOW_SLICES = 10
"""Slices of the sliding window; counts expire up to one slice late."""


@dataclasses.dataclass(slots=True)
class WindowSlice:
    """Counts of one slice of the window.

    :param first_arrivals: requests that are not retries.
    :param retries: retries, including the inherited share of first arrivals.
    :param retries_after_failure: retries after an answer that reported a
        failure.
    :param targets: largest known number of targets of the service; 0 if none
        is known.
    """

    number: int
    first_arrivals: int = 0
    retries: float = 0.0
    retries_after_failure: int = 0
    targets: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetUse:
    """State of a retry budget, for logs and metrics.

    :param limit: retries that the target accepts in the window.
    """

    retries: float
    first_arrivals: int
    targets: int
    limit: float


class RetryBudget:
    """Limits the retries that one target accepts.

    :param ratio: retries per request, over the fleet.
    :param extra: additional retries per window, over the fleet.
    :param started_at: when this guard began to count.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        started_at: float = -math.inf,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.slice_s = window_s / WINDOW_SLICES
        self.started_at = started_at
        self.slices: collections.deque[WindowSlice] = collections.deque()

    def admits(
        self,
        retry_cause: forwarding.RetryCause,
        targets: int | None,
        now: float,
    ) -> bool:
        """Whether a request may be sent to the target now.

        :param targets: number of known targets of the service; None if it is
            unknown, so that no part of `extra` is granted.
        """
        if retry_cause is forwarding.RetryCause.NONE:
            return True
        current = self._current_slice(now)
        # A host that forgets others that are cut off keeps its part.
        current.targets = max(current.targets, targets or 0)
        use = self.use(now)
        if retry_cause is forwarding.RetryCause.AFTER_FAILURE:
            after_failure = sum(
                one.retries_after_failure for one in self.slices
            )
            failure_limit = use.limit * FAILURE_RETRY_SHARE / GUARD_SHARE
            if after_failure + 1 > failure_limit:
                return False
        return use.retries + 1 <= use.limit

    def use(self, now: float) -> BudgetUse:
        """Return what the window that ends now has used of its limit."""
        self._current_slice(now)
        first_arrivals = sum(one.first_arrivals for one in self.slices)
        most_targets = max(one.targets for one in self.slices)
        extra = 0.0
        if most_targets:
            extra = self._extra_share(now) * self.extra / most_targets
        return BudgetUse(
            sum(one.retries for one in self.slices),
            first_arrivals,
            most_targets,
            GUARD_SHARE * self.ratio * first_arrivals + extra,
        )

    def _extra_share(self, now: float) -> float:
        """Return the share of one target's part of `extra` that is granted.

        Processes that ran before on this host may have used `GUARD_SHARE` of
        it in the same window, and any number of them share the rest.
        """
        up_s = now - self.started_at
        if up_s >= self.window_s:
            return GUARD_SHARE
        return (1 - GUARD_SHARE) * up_s / self.window_s

    def sent(
        self,
        retry_cause: forwarding.RetryCause,
        inherited_weight: float,
        now: float,
    ) -> None:
        """Count a request that is sent to the target.

        :param inherited_weight: share of a retry that a first arrival counts
            as, 0 to 1.
        """
        current = self._current_slice(now)
        if retry_cause is forwarding.RetryCause.NONE:
            current.first_arrivals += 1
            current.retries += inherited_weight
            return
        current.retries += 1
        current.retries_after_failure += (
            retry_cause is forwarding.RetryCause.AFTER_FAILURE
        )

    def _current_slice(self, now: float) -> WindowSlice:
        number = int(now / self.slice_s)
        slices = self.slices
        if not slices or slices[-1].number != number:
            slices.append(WindowSlice(number))
            while slices[0].number <= number - WINDOW_SLICES - 1:
                slices.popleft()
        return slices[-1]
