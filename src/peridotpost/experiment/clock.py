"""Simulated time: an event queue that runs without real waiting."""

from collections.abc import Callable
import heapq
import itertools


class SimulatedClock:
    """Runs callbacks at simulated times, in seconds.

    Callbacks of the same time run in the order in which they were added;
    `callbacks_run` counts the callbacks that have run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.callbacks_run = 0

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        entry = (self.now + seconds, next(self.sequence), callback)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Run until no event is left."""
        while self.events:
            self.now, _, callback = heapq.heappop(self.events)
            self.callbacks_run += 1
            callback()
