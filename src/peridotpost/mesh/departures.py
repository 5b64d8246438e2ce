"""Keeps the departures of this host's targets in the platform's store.

Processes keep them in memory only, and all processes may be killed at once.
An announcement of leaving takes effect at once and is acknowledged when the
store has it; see ``decisions.departures``.
"""

import asyncio
from collections.abc import Callable
import random
import time

from peridotpost.decisions import departures
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import storefeed
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.proxy import guard as guards
from peridotpost.proxy import peers

LIFETIME_S = 600.0
"""How long the store keeps the entry after its last change: longer than a
target serves after its departure, and than an announcement is held up."""
ANSWER_TIMEOUT_S = 0.8
"""Time after which an announcement is answered anyway.  Targets wait 1 s."""


class Departures:
    """The departures of this host's targets, here and in the store."""

    def __init__(
        self,
        feed: storefeed.Feed,
        store: storefeed.StoreFeed,
        guard: guards.Guard,
        directory: directories.Directory,
        randomness: random.Random,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.feed = feed
        self.store = store
        self.guard = guard
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.own_record = directory.own_record
        self.departures = departures.DepartureLog()
        self.lease = 0
        self.changed = asyncio.Event()
        self.waiting: set[asyncio.Future[None]] = set()
        guard.withhold(guards.Withholding.DEPARTURES, True)
        guard.adverts.leaving_stated.subscribe(self.record)
        directory.stream_greeted.subscribe(self._handle_greeting)

    @property
    def is_known(self) -> bool:
        """Whether it is known which targets left before the start."""
        return self.departures.is_known

    def incarnation_of(
        self, instance: str, started_ms: int
    ) -> instances.Incarnation:
        """Return the incarnation that a notice of leaving concerns.

        :param started_ms: 0 if the notice does not state it.
        """
        if not started_ms:
            current = self.guard.instances.current
            if current is not None and current.instance == instance:
                return current.incarnation
            started_ms = self.departures.announced.get(
                instance, time.time_ns() // 1_000_000
            )
        return instances.Incarnation(instance, started_ms)

    def record(self, incarnation: instances.Incarnation) -> None:
        """Have a departure written to the store."""
        if not self.departures.has_stored(incarnation):
            self.departures.announce(incarnation)
            self.changed.set()

    async def wait_stored(self, incarnation: instances.Incarnation) -> bool:
        """Wait until the store has a departure; return False if it has not.

        It is written even if this returns False, so a later call succeeds.
        """
        self.record(incarnation)
        return await self._wait(
            lambda: self.departures.has_stored(incarnation)
        )

    async def wait_known(self) -> bool:
        """Wait until `is_known`; return False if it is not in time."""
        return await self._wait(lambda: self.is_known)

    async def run(self) -> None:
        """Read the entry of this host, then write each change, for ever."""
        pause_s = storefeed.MIN_RETRY_PAUSE_S
        while not tasks.cancelled():
            try:
                if self.departures.revision is None:
                    await self._read()
                elif not self.departures.is_complete:
                    await self._write()
                else:
                    self.changed.clear()
                    await self.changed.wait()
                pause_s = storefeed.MIN_RETRY_PAUSE_S
            except errors.LeaseExpired:
                self.lease = 0
            except errors.StoreError as error:
                self.counts.add('store.departures-failed')
                self.log.state('departures', to='failed', error=str(error))
                self.departures.read_failed = True
                self._apply()
                self.store.probe_store()
                await self.store.wait_after_failure(pause_s)
                pause_s = min(storefeed.MAX_RETRY_PAUSE_S, 1.5 * pause_s)

    async def _read(self) -> None:
        entry = await self.feed.read_departures(self.own_record.host)
        for incarnation in self.departures.note_read(entry):
            self.guard.handle_departure(incarnation)
        self._apply()

    async def _write(self) -> None:
        """Write the entry, or have it read again if it has changed."""
        if not self.lease:
            self.lease = await self.feed.grant_lease(LIFETIME_S)
        written = dict(self.departures.announced)
        assert self.departures.revision is not None
        revision = await self.feed.write_departures(
            self.own_record.host,
            instances.StoredDepartures(written, self.departures.revision),
            self.lease,
        )
        # The lifetime of the next entry begins with its own lease.
        self.lease = 0
        if revision is None:
            # A write of which the answer was lost, one of an earlier process,
            # or the end of its lease.
            self.departures.revision = None
            return
        self.departures.note_written(written, revision)
        self.log.state('departures', to='stored', instances=[*written])
        self._apply()

    def _apply(self) -> None:
        """Apply what is known now to the guard and to those that wait."""
        self.guard.withhold(
            guards.Withholding.DEPARTURES, not self.departures.is_known
        )
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)

    async def _wait(self, done: Callable[[], bool]) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not done():
                    waiter = loop.create_future()
                    self.waiting.add(waiter)
                    try:
                        await waiter
                    finally:
                        self.waiting.discard(waiter)
        except TimeoutError:
            return False
        return True

    def _handle_greeting(self, stream: peers.PeerStream) -> None:
        """Note whether a peer followed the previous process of this host."""
        if stream.known_incarnation not in (0, self.own_record.incarnation):
            self.departures.vouched = True
            self._apply()
