"""How many requests may be sent once more, over the whole fleet.

Load pattern: targets lose or fail answers under a surge.  Without a bound
each ingress sends every such request again and so adds the load that
makes the next ones fail; a bound that each ingress keeps for itself adds
up to many times the bound with the size of the fleet.

Within any window, a service gets at most ``ratio`` of its requests, and
``extra`` besides, as repeats from all ingresses together.  An ingress
earns by its own requests, which add up by themselves; of `extra` it takes
the part of one live member.  ``SHARE`` of both is used: calls that a
repeated run makes of its own are repeats as well at the service they go
to, and nobody can tell them from others.
"""

import collections
import dataclasses

SHARE = 0.5
SLICES = 10
"""Parts of the window; counts leave a tenth of a window late."""


@dataclasses.dataclass(slots=True)
class Slice:
    """Counts of one part of the window."""

    number: int
    requests: int = 0
    repeats: int = 0


class RetryBudget:
    """What one ingress may send again.

    :param ratio: repeats for each request, over the fleet.
    :param extra: repeats in a window besides, over the fleet.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self.ratio = ratio
        self.extra = extra
        self.slice_s = window_s / SLICES
        self.services: dict[str, collections.deque[Slice]] = {}

    def request(self, service: str, now: float) -> None:
        """Count the first dispatch of a request."""
        self._current(service, now).requests += 1

    def spend(self, service: str, members: int, now: float) -> bool:
        """Take one repeat; False when there is none left."""
        if not self.has_room(service, members, now):
            return False
        self._current(service, now).repeats += 1
        return True

    def has_room(self, service: str, members: int, now: float) -> bool:
        """Whether a repeat could be taken now."""
        self._current(service, now)
        held = self.services[service]
        requests = sum(one.requests for one in held)
        repeats = sum(one.repeats for one in held)
        allowed = self.ratio * requests + self.extra / max(1, members)
        return repeats + 1 <= SHARE * allowed

    def _current(self, service: str, now: float) -> Slice:
        number = int(now / self.slice_s)
        held = self.services.setdefault(service, collections.deque())
        if not held or held[-1].number != number:
            held.append(Slice(number))
            while held[0].number <= number - SLICES - 1:
                held.popleft()
        return held[-1]
