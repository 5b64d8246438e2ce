"""Deadlines that cost next to nothing while they are met.

Nearly every request ends long before its deadline, so a timer each would
be set and cancelled for nothing.  Here deadlines fall into slots of
``SLOT_S``; one timer wakes for the next slot that is not empty.
"""

import asyncio
from collections.abc import Callable
import heapq
import time

SLOT_S = 0.01
"""How late an expiry may be noticed; a fiftieth of the shortest timeouts
that operators set."""


def now() -> float:
    """Return seconds since boot, suspended time included.

    The steady clock stands still while a machine is suspended.  A process
    that wakes would take requests whose callers gave up for fresh ones.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Deadlines:
    """Calls back for what is still registered when its time has come."""

    def __init__(self) -> None:
        self.slots: dict[int, dict[object, Callable[[], None]]] = {}
        self.order: list[int] = []
        self.handle: asyncio.TimerHandle | None = None
        self.armed = 0

    def add(self, at: float, key: object, expired: Callable[[], None]) -> int:
        """Register `key`; return the slot, which `discard` wants back."""
        slot = int(at / SLOT_S) + 1
        held = self.slots.get(slot)
        if held is not None:
            held[key] = expired
            return slot
        self.slots[slot] = {key: expired}
        heapq.heappush(self.order, slot)
        if self.handle is None or slot < self.armed:
            self._arm()
        return slot

    def discard(self, slot: int, key: object) -> None:
        held = self.slots.get(slot)
        if held is not None:
            held.pop(key, None)

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()

    def _arm(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        while self.order and not self.slots[self.order[0]]:
            del self.slots[heapq.heappop(self.order)]
        if not self.order:
            return
        self.armed = self.order[0]
        delay = max(0.0, self.armed * SLOT_S - now())
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(delay, self._sweep)

    def _sweep(self) -> None:
        self.handle = None
        due = int(now() / SLOT_S)
        while self.order and self.order[0] <= due:
            held = self.slots.pop(heapq.heappop(self.order))
            for expired in held.values():
                expired()
        self._arm()
