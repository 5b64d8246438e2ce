"""Which request runs on a target now, which waits, which is refused.

Load pattern: a burst or a surge brings more requests than a target has
slots, each with its own deadline.  Without a bound the queue grows until
every answer comes after its caller has given up, and the target spends
all its slots on answers that nobody waits for.

A request waits only if, at the present service time, its turn comes
before its deadline; else it is refused at once and told when to come
back.  The estimate is a moving average of the time that a slot was held,
with a weight of 1/8 as in TCP's round-trip estimate: eight answers move
it most of the way to a new level.
"""

import dataclasses

SERVICE_TIME_WEIGHT = 1 / 8
FIRST_SERVICE_MS = 20.0
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000


@dataclasses.dataclass(slots=True)
class Gate:
    """Slots and queue of one target.

    :param slots: requests that the target runs at once.
    :param queue: requests that may wait for a slot.
    """

    slots: int
    queue: int
    running: int = 0
    waiting: int = 0
    service_ms: float = FIRST_SERVICE_MS

    def expected_wait_ms(self) -> float:
        """Return how long a request that joins the queue now waits."""
        if self.running < self.slots:
            return 0.0
        return (self.waiting + 1) * self.service_ms / max(1, self.slots)

    def admits(self, budget_ms: float) -> bool:
        """Whether a request with that much time left may run or wait."""
        if self.running < self.slots:
            return True
        if self.waiting >= self.queue:
            return False
        return self.expected_wait_ms() + self.service_ms <= budget_ms

    def retry_after_ms(self) -> int:
        """Return when a refused caller finds the queue drained."""
        drained = (self.waiting + 1) * self.service_ms / max(1, self.slots)
        return round(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, drained)))

    def started(self) -> None:
        self.running += 1

    def finished(self, held_ms: float) -> None:
        """Give a slot back after `held_ms`."""
        self.running -= 1
        self.service_ms += SERVICE_TIME_WEIGHT * (held_ms - self.service_ms)
