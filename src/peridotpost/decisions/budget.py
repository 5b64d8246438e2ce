"""How many repeated requests one target takes.

Load pattern: targets turn requests away, fail them or lose their answers
under a surge.  Ingresses send such requests again and so add the load that
makes the next ones fail; a bound that each of them keeps for itself is far
from used up where failures are uneven, and adds up with the fleet's size
where they are not.

Over the whole fleet and in any window, a service gets at most ``ratio`` of
its requests, and ``extra`` besides, as repeats.  All repeats for a service
arrive at the guards of its targets, so each guard keeps its part: ``SHARE``
of ``ratio`` by its own first arrivals, and of one target's part of `extra`.

- A repeat after an answer that tells of a failure takes at most
  ``FAILED_SHARE``: most of these failures are of calls that the run made,
  and a repeat makes them all again.
- Calls of a run that is a repeat are repeats at the service they go to.
  Nothing tells them from other requests of their host, so each request
  counts by the share of repeats among the runs of its host's target.
"""

import collections
import dataclasses

from peridotpost.model import forwarding

GUARD_SHARE = 0.7
"""The rest covers targets whose guards restart and forget what they took."""
FAILURE_RETRY_SHARE = 0.2
WINDOW_SLICES = 10
"""Parts of the window; counts leave a tenth of a window late."""


@dataclasses.dataclass(slots=True)
class WindowSlice:
    """Counts of one part of the window.

    :param firsts: arrivals that are no repeats.
    :param repeats: arrivals that are, and what first arrivals count for.
    :param failed: repeats after an answer that told of a failure.
    :param targets: most targets known of the service.
    """

    number: int
    first_arrivals: int = 0
    repeats: float = 0.0
    failed: int = 0
    targets: int = 1


class RetryBudget:
    """The repeats that one target takes.

    :param ratio: repeats for each request, over the fleet.
    :param extra: repeats in a window besides, over the fleet.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.slice_s = window_s / WINDOW_SLICES
        self.slices: collections.deque[WindowSlice] = collections.deque()

    def admits(
        self, repeat: forwarding.Repeat, targets: int, now: float
    ) -> bool:
        """Whether a request may be sent to the target now.

        :param targets: of the service, as far as they are known.
        """
        if repeat is forwarding.Repeat.NONE:
            return True
        current = self._current_slice(now)
        # A host that is cut off knows few; its part must not grow by that.
        current.targets = max(current.targets, targets)
        firsts = sum(one.first_arrivals for one in self.slices)
        most_targets = max(one.targets for one in self.slices)
        allowed = self.ratio * firsts + self.extra / most_targets
        if repeat is forwarding.Repeat.AFTER_FAILURE:
            failed = sum(one.failed for one in self.slices)
            if failed + 1 > FAILURE_RETRY_SHARE * allowed:
                return False
        return sum(one.repeats for one in self.slices) + 1 <= GUARD_SHARE * allowed

    def sent(
        self, repeat: forwarding.Repeat, inherited: float, now: float
    ) -> None:
        """Count a request that goes to the target.

        :param inherited: what a first arrival counts for, 0 to 1.
        """
        current = self._current_slice(now)
        if repeat is forwarding.Repeat.NONE:
            current.first_arrivals += 1
            current.repeats += inherited
            return
        current.repeats += 1
        current.failed += repeat is forwarding.Repeat.AFTER_FAILURE

    def _current_slice(self, now: float) -> WindowSlice:
        number = int(now / self.slice_s)
        held = self.slices
        if not held or held[-1].number != number:
            held.append(WindowSlice(number))
            while held[0].number <= number - WINDOW_SLICES - 1:
                held.popleft()
        return held[-1]
