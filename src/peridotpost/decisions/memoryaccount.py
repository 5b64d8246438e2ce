"""Which messages may be held in memory, and which wait for room.

Load pattern: callers send large bodies faster than targets take them, or
read large responses more slowly than targets produce them.

Guarantees: what is charged never exceeds the capacity.  Each kind of message
may fill the account only up to its own limit, so small messages find room
while large ones wait, and responses, whose end frees a request as well, find
room while further requests wait.  Messages of one kind get room in the order
in which they asked.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum


class Kind(enum.Enum):
    """What a charge is for; the value is the share that it may fill."""

    SMALL = 1.0
    RESPONSE = 0.9
    REQUEST = 0.7


GRANT_ORDER = (Kind.RESPONSE, Kind.REQUEST)
MAX_WAITING = 64
"""Number of claims that may wait.  Each one's connection has already read a
buffer that is not charged."""


@dataclasses.dataclass(eq=False, slots=True)
class Claim:
    """A claim that waits for room.

    :param granted: called once when the bytes are charged.
    """

    kind: Kind
    size: int
    granted: Callable[[], None]


class MemoryAccount:
    """The bytes of messages that a process holds.

    :param defer: calls a function soon; memory may be returned while its
        last holder is in the middle of something else.
    :ivar used: bytes that are charged.
    :ivar peak: the most that were ever charged.
    """

    def __init__(
        self, capacity: int, defer: Callable[[Callable[[], None]], object]
    ) -> None:
        self.capacity = capacity
        self.defer = defer
        self.used = 0
        self.peak = 0
        self.limits = {
            Kind.SMALL: capacity,
            Kind.RESPONSE: int(capacity * Kind.RESPONSE.value),
            Kind.REQUEST: int(capacity * Kind.REQUEST.value),
        }
        self.waiting: dict[Kind, collections.deque[Claim]] = {
            kind: collections.deque() for kind in GRANT_ORDER
        }

    @property
    def waiting_count(self) -> int:
        """Number of claims that wait for room."""
        return sum(map(len, self.waiting.values()))

    def take(self, kind: Kind, size: int) -> bool:
        """Charge `size` bytes if there is room; return whether there was.

        A claim does not overtake those of its kind that wait.
        """
        if self.used + size > self.limits[kind]:
            return False
        if kind is not Kind.SMALL and self.waiting[kind]:
            return False
        self._charge(size)
        return True

    def wait(
        self, kind: Kind, size: int, granted: Callable[[], None]
    ) -> Claim | None:
        """Wait for room; None if it will never be there or too many wait."""
        if size > self.limits[kind] or self.waiting_count >= MAX_WAITING:
            return None
        claim = Claim(kind, size, granted)
        self.waiting[kind].append(claim)
        return claim

    def withdraw(self, claim: Claim) -> None:
        """Give up a claim; one that was granted is left as it is."""
        if claim in self.waiting[claim.kind]:
            self.waiting[claim.kind].remove(claim)
            self._grant_soon()

    def give_back(self, size: int) -> None:
        """Return charged bytes; claims that now fit are granted soon."""
        self.used -= size
        self._grant_soon()

    def _charge(self, size: int) -> None:
        self.used += size
        self.peak = max(self.peak, self.used)

    def _grant_soon(self) -> None:
        if self.waiting_count:
            self.defer(self.grant)

    def grant(self) -> None:
        """Grant the waiting claims that fit."""
        for kind in GRANT_ORDER:
            claims = self.waiting[kind]
            while claims and self.used + claims[0].size <= self.limits[kind]:
                claim = claims.popleft()
                self._charge(claim.size)
                claim.granted()
