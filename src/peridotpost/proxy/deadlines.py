"""Coarse timer for many deadlines that rarely expire.

Nearly every request ends long before its deadline, so a timer for each would
be set and cancelled for nothing.  Deadlines are grouped into time slots of
``SLOT_S``, and a single timer is armed for the earliest slot in use.
"""

import asyncio
from collections.abc import Callable
import heapq
import time

SLOT_S = 0.01
"""Width of a time slot, which bounds how late an expiry is noticed; a fiftieth
of the shortest timeouts that operators set."""


def now() -> float:
    """Return seconds since boot, including time spent suspended.

    ``CLOCK_MONOTONIC`` stops while the machine is suspended.  With it, a
    process that resumes would treat requests whose callers gave up meanwhile
    as still within their deadlines.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class DeadlineTimer:
    """Calls the callback of each key at its deadline, unless discarded.

    Deadlines are in seconds since boot, as `now` returns them.
    """

    def __init__(self) -> None:
        self.callbacks_by_slot: dict[
            int, dict[object, Callable[[], None]]
        ] = {}
        self.slot_heap: list[int] = []
        self.handle: asyncio.TimerHandle | None = None
        self.armed_slot = 0

    def add(
        self, deadline: float, key: object, on_expiry: Callable[[], None]
    ) -> int:
        """Register `key` and return its time slot, to pass to `discard`."""
        slot = int(deadline / SLOT_S) + 1
        callbacks = self.callbacks_by_slot.get(slot)
        if callbacks is not None:
            callbacks[key] = on_expiry
            return slot
        self.callbacks_by_slot[slot] = {key: on_expiry}
        heapq.heappush(self.slot_heap, slot)
        if self.handle is None or slot < self.armed_slot:
            self._arm()
        return slot

    def discard(self, slot: int, key: object) -> None:
        callbacks = self.callbacks_by_slot.get(slot)
        if callbacks is not None:
            callbacks.pop(key, None)

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()

    def _arm(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        while self.slot_heap and not self.callbacks_by_slot[self.slot_heap[0]]:
            del self.callbacks_by_slot[heapq.heappop(self.slot_heap)]
        if not self.slot_heap:
            return
        self.armed_slot = self.slot_heap[0]
        delay = max(0.0, self.armed_slot * SLOT_S - now())
        loop = asyncio.get_running_loop()
        self.handle = loop.call_later(delay, self._expire_due)

    def _expire_due(self) -> None:
        self.handle = None
        current_slot = int(now() / SLOT_S)
        while self.slot_heap and self.slot_heap[0] <= current_slot:
            callbacks = self.callbacks_by_slot.pop(
                heapq.heappop(self.slot_heap)
            )
            for on_expiry in callbacks.values():
                on_expiry()
        self._arm()
