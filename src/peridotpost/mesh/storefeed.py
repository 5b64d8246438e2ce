"""What the store brings: configurations, and records of other daemons.

The configuration is watched, records are polled.  The store may be slow,
down, cut off, refuse just this host, lose answers or drop its history;
whatever happens, the loops read all again and go on, and what was known
stays in force meanwhile.
"""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses
import random
from typing import Protocol

from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import lines
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import versions as version_feed
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.model import release
from peridotpost.proxy import deadlines

RETRY_S = 0.25
MAX_RETRY_S = 0.8
"""Pauses between retries; records that lapsed in an outage have to be back
within two seconds of the store's return."""
MAX_SLOW_RETRY_S = 3.2
"""The same for a host with a slow link: those of its zone that follow the
store tell it when the store is back."""
OUT_S = 2.5
"""How long the reads wait for the renewals to come through; bounds the
damage if these alone are refused."""
GATHER_S = 0.4
"""Pause after a change, in which more gather for the next watch."""
POLL_S = 2.5
MAX_POLL_S = 10.0
"""Pauses between stale reads of the records; they double while nothing
fails, as hosts that join dial the others."""
SETTLED_S = 8.0
"""Age of an own record from which a stale read without it counts."""
LEASE_TTL_S = 15.0
RENEW_S = 5.0
"""A third of the lease: two renewals may fail before it lapses."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRead:
    """The configuration as the store holds it.

    :param raw: None where there is none, or none since the last read.
    :param revision: of the store; a watch goes on from it.
    :param orders: to release a version, those that changed.
    :param unusable: what is wrong with orders that can't be used.
    """

    raw: bytes | None
    revision: int
    orders: tuple[release.ReleaseOrder, ...] = ()
    unusable: tuple[str, ...] = ()


class Feed(Protocol):
    """What is needed of the platform; each call raises ``StoreError``."""

    async def read_config(self) -> ConfigRead:
        """Return the configuration as it stands."""

    async def next_config(self, revision: int) -> ConfigRead:
        """Wait for a change after `revision`, for some seconds at most."""

    async def read_records(
        self, stale: bool
    ) -> Sequence[instances.HostRecord]:
        """Return the records of all hosts.

        :param stale: an answer that is seconds old will do.
        """

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        """Write this host's record under the lease."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    async def end(self, lease: int) -> None:
        """End a lease; its keys go."""

    async def claim(self, service: str, host: str, lease: int) -> int | None:
        """Make this host coordinator of a service's release.

        Returns the epoch, None where another host is coordinator.
        """

    async def read_status(self, service: str) -> release.ReleaseStatus:
        """Return the status of a service's last release."""

    async def write_status(
        self, order: release.ReleaseOrder, epoch: int, stage: release.Stage
    ) -> bool:
        """Write a status; False where the epoch is over."""


class StoreFeed:
    """Runs the watch and keeps this host's record."""

    def __init__(
        self,
        feed: Feed,
        own: instances.HostRecord,
        directory: directories.Directory,
        versions: version_feed.Versions,
        randomness: random.Random,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.feed = feed
        self.own = own
        self.directory = directory
        self.versions = versions
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.lease = 0
        self.written = False
        self.written_at = 0.0
        self.wake = asyncio.Event()
        self.back = asyncio.Event()
        self.registered = asyncio.Event()
        self.calls_fail = False
        self.ordered: hooks.Hook[release.ReleaseOrder] = hooks.Hook('ordered')
        versions.followed_again.subscribe(self._followed_again)

    @property
    def reachable(self) -> bool | None:
        """Whether the store answers; None until it was asked."""
        return self.versions.following.answers

    async def watch(self) -> None:
        """Follow the configuration in the store until cancelled."""
        pause_s = RETRY_S
        revision = 0
        while not tasks.cancelled():
            try:
                if not revision:
                    read = await self.feed.read_config()
                else:
                    read = await self._next_config(revision)
                revision = read.revision
                pause_s = RETRY_S
                self._note(True, '')
                self._take_orders(read)
                if read.raw is not None:
                    self.versions.offer(read.raw, 'store')
                    await asyncio.sleep(GATHER_S)
            except errors.StoreCompacted:
                # What was missed is not kept; read all again at once.
                self.counts.add('store.compacted')
                revision = 0
            except errors.StoreError as error:
                self._note(False, str(error))
                self._check_store()
                # A store that forgets its history may leave watches without
                # an answer; a version that came in that time shows in no
                # watch from the same revision, but in a read.
                revision = 0
                await self._pause(pause_s)
                pause_s = min(MAX_RETRY_S, 1.5 * pause_s)

    async def _next_config(self, revision: int) -> ConfigRead:
        """Wait for a change; ask again at once when the store is back.

        A watch that was sent while the store was silent was never
        received.  It looks like one at which nothing changes, until its
        timeout, and a version that comes meanwhile would be in force
        seconds late on all hosts.  The other calls are short and show
        when the store answers again.

        :raises StoreError: as the watch.
        """
        watch = asyncio.ensure_future(self.feed.next_config(revision))
        back = asyncio.ensure_future(self.back.wait())
        try:
            await asyncio.wait(
                {watch, back}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
            self.counts.add('store.watch-renewed')
            return ConfigRead(None, revision)
        finally:
            await tasks.end(watch, back)

    def _calls_answered(self, answered: bool) -> None:
        """Note whether the calls beside the watch are answered."""
        if answered and self.calls_fail:
            # Wakes who waits now; later ones wait for the next return.
            self.back.set()
            self.back.clear()
        self.calls_fail = not answered

    async def _pause(self, pause_s: float) -> None:
        """Rest after a read that failed.

        While the store is out, only the renewals find out when it is back.
        """
        if not self.calls_fail:
            await asyncio.sleep(pause_s * self._spread())
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OUT_S * self._spread()):
                await self.back.wait()

    async def poll_records(self) -> None:
        """Read the hosts' records now and then, until cancelled.

        A stale read finds the hosts that have been there for a while.  The
        read after this host's registration is current: of two hosts that
        start together at least one registers before the other reads, and
        dials it.  Stale reads that follow find hosts that were cut off.
        """
        await self._read_records(stale=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(OUT_S):
                await self.registered.wait()
        while not await self._read_records(stale=False):
            await self._pause(MAX_RETRY_S)
        pause_s = POLL_S
        while not tasks.cancelled():
            await asyncio.sleep(pause_s * self._spread())
            pause_s = min(MAX_POLL_S, 2 * pause_s)
            while not await self._read_records(stale=True):
                await self._pause(MAX_RETRY_S)
                pause_s = POLL_S

    async def _read_records(self, stale: bool) -> bool:
        """Take the records of all hosts; False where the store gave none."""
        try:
            records = await self.feed.read_records(stale)
        except errors.StoreError as error:
            self.counts.add('store.records-failed')
            self._note_reads(False, str(error))
            self._check_store()
            return False
        self._take_records(records)
        self._note_reads(True, '')
        self._calls_answered(True)
        return True

    async def read_if_unheard(self) -> None:
        """Read the configuration if those who follow it are not heard of."""
        if not self.versions.following.reads_now(deadlines.now()):
            return
        self.counts.add('config.read')
        self.versions.tell_reading()
        try:
            found = await self.feed.read_config()
        except errors.StoreError as error:
            self._note(False, str(error))
            return
        self._take_orders(found)
        if found.raw is not None:
            self.versions.offer(found.raw, 'store')

    def _take_orders(self, read: ConfigRead) -> None:
        for problem in read.unusable:
            self.log.state('release', to='rejected', error=problem)
        for order in read.orders:
            self.ordered.fire(order)

    async def keep_record(self) -> None:
        """Keep this host's record in the store until cancelled."""
        pause_s = RETRY_S
        while not tasks.cancelled():
            try:
                if self.written and not self.calls_fail:
                    await self._rest(RENEW_S * (0.9 + 0.1 * self._spread()))
                await self._renew_or_register()
                pause_s = RETRY_S
                self._calls_answered(True)
            except errors.LeaseLapsed:
                self._lapsed()
            except errors.StoreError as error:
                self.counts.add('store.record-failed')
                self._note(False, str(error))
                self._calls_answered(False)
                await self._rest(pause_s * self._spread())
                pause_s = min(self._max_retry_s, 1.5 * pause_s)

    @property
    def _max_retry_s(self) -> float:
        slow = self.versions.following.slow
        return MAX_SLOW_RETRY_S if slow else MAX_RETRY_S

    def _followed_again(self, host: str) -> None:
        """A host of the zone reaches the store again; see at once."""
        if self.calls_fail:
            self.wake.set()

    async def _renew_or_register(self) -> None:
        """Renew the lease of a record that stands, else write the record."""
        if self.written:
            if not await self.feed.renew(self.lease):
                self._lapsed()
            return
        if not self.lease:
            self.lease = await self.feed.grant_lease(LEASE_TTL_S)
        await self.feed.register(self.own, self.lease)
        self.written = True
        self.written_at = deadlines.now()
        self.registered.set()
        self.log.state('record', to='written', lease=self.lease)

    def _lapsed(self) -> None:
        self.log.state('record', to='lapsed', lease=self.lease)
        self.lease = 0
        self.written = False

    def _check_store(self) -> None:
        """Renew the lease at once, to see whether the store answers.

        While it does not, the renewals go on and all other calls wait.  A
        renewal is the cheapest call that the store has.
        """
        if self.lease and not self.calls_fail:
            self.wake.set()

    def record_lost(self) -> None:
        """The store dropped this host's record; write it again at once."""
        self.written = False
        self.wake.set()

    async def withdraw(self) -> None:
        """Take this host's record out of the store."""
        if not self.lease:
            return
        try:
            await self.feed.end(self.lease)
        except errors.StoreError as error:
            self.log.state('record', to='left-to-lapse', error=str(error))

    async def _rest(self, seconds: float) -> None:
        """Sleep, unless the next call is due sooner."""
        self.wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            return

    def _spread(self) -> float:
        return 0.75 + 0.5 * self.randomness.random()

    def _note(self, reachable: bool, error: str) -> None:
        if reachable == self.reachable:
            return
        self.versions.store_answers(reachable)
        to = 'reachable' if reachable else 'unreachable'
        self.log.state('store', to=to, error=error)

    def _note_reads(self, reachable: bool, error: str) -> None:
        """Tell the store's state by the polls where nothing is watched."""
        if self.versions.following.slow:
            self._note(reachable, error)

    def _take_records(self, records: Sequence[instances.HostRecord]) -> None:
        self.directory.recorded(records)
        found = {one.host: one for one in records}.get(self.own.host)
        if found is not None and found.incarnation == self.own.incarnation:
            return
        # The store dropped the record though its lease lives, or carried
        # out a write of the process before late.  A read that is seconds
        # old says nothing of a record that was just written.
        if self.written and deadlines.now() - self.written_at > SETTLED_S:
            self.record_lost()
