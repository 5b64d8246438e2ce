"""Timer service: the only source of time and periodic calls in a process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import time

import eliot

Tick = Callable[[], Awaitable[None] | None]


@dataclasses.dataclass(slots=True)
class Subscription:
    """A periodic callback.

    :param period_s: mean interval between two ticks.
    :param jitter: fraction of the period by which each interval may vary.
    """

    name: str
    period_s: float
    jitter: float
    tick: Tick
    timer: asyncio.TimerHandle | None = None
    running: asyncio.Task[None] | None = None
    cancelled: bool = False


class TimerService:
    """Provides clocks and periodic callbacks.

    The ticks of one subscription never overlap.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.subscriptions: list[Subscription] = []

    def now(self) -> float:
        """Return the seconds of a monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time; it may jump and differs between hosts."""
        return time.time()

    def subscribe(
        self, name: str, period_s: float, tick: Tick, jitter: float = 0.1
    ) -> Subscription:
        """Call `tick` about every `period_s` seconds until cancelled."""
        subscription = Subscription(name, period_s, jitter, tick)
        self.subscriptions.append(subscription)
        self._arm(subscription)
        return subscription

    def cancel(self, subscription: Subscription) -> None:
        subscription.cancelled = True
        if subscription.timer is not None:
            subscription.timer.cancel()
        if subscription.running is not None:
            subscription.running.cancel()
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)

    def close(self) -> None:
        for subscription in tuple(self.subscriptions):
            self.cancel(subscription)

    def _arm(self, subscription: Subscription) -> None:
        spread = subscription.jitter * (2 * self.randomness.random() - 1)
        delay = subscription.period_s * (1 + spread)
        loop = asyncio.get_running_loop()
        subscription.timer = loop.call_later(delay, self._fire, subscription)

    def _fire(self, subscription: Subscription) -> None:
        subscription.running = asyncio.ensure_future(self._run(subscription))

    async def _run(self, subscription: Subscription) -> None:
        try:
            result = subscription.tick()
            if result is not None:
                await result
        except Exception:
            # A failed tick must not end the subscription: a daemon that
            # stopped probing after one malformed datagram would never
            # again detect a dead peer.
            eliot.write_traceback()
        finally:
            subscription.running = None
            if not subscription.cancelled:
                self._arm(subscription)


@contextlib.contextmanager
def timer_service(randomness: random.Random) -> Iterator[TimerService]:
    timers = TimerService(randomness)
    try:
        yield timers
    finally:
        timers.close()
