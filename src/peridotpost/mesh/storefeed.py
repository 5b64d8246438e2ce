"""What the store brings: configurations, and records of other daemons.

One watch covers both.  The store may be slow, down, cut off, refuse just
this host, lose answers or drop its history; whatever happens, the loop
reads all again and goes on, and what was known stays in force meanwhile.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from peridotpost.kernel import counters
from peridotpost.kernel import lines
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import versions as version_feed
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.proxy import deadlines

RETRY_S = 0.25
MAX_RETRY_S = 0.8
"""Pauses while the store is out.  Records that lapsed meanwhile have to be
back within two seconds of its return, so the longest is under half that;
at 5,200 daemons it is 6,500 refused calls a second for the store."""
GATHER_S = 0.4
"""Pause after changes came, in which more gather for the next watch.  The
store is asked at most so often by each daemon while versions come several
a second or a whole fleet registers, and a version still is in force well
within the two seconds that operators count on."""
LEASE_TTL_S = 5.0
RENEW_S = 1.6
"""A third of the lease: two renewals may fail before it lapses."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A key as it was written, or its end (`value` is None)."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Changes in order, and the revision to go on from."""

    changes: Sequence[Change]
    revision: int


class Feed(Protocol):
    """What this loop needs of the platform; each call raises StoreError."""

    async def read_config(self) -> Change | None:
        """Return the configuration as it stands, None without one."""

    async def snapshot(self, with_config: bool) -> Batch:
        """Return all records, and the configuration, as they stand."""

    async def changes(self, revision: int, with_config: bool) -> Batch:
        """Wait for changes after `revision`; may return none."""

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        """Write this host's record under the lease."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""

    async def renew(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    async def end(self, lease: int) -> None:
        """End a lease; its keys go."""

    def record_of(self, change: Change) -> instances.HostRecord | None:
        """Decode a host's record, None if it can't be used."""

    def host_of(self, key: str) -> str | None:
        """Return the host whose record `key` is, None for other keys."""

    def is_config(self, key: str) -> bool:
        """Whether `key` holds the configuration."""


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
        self.reachable: bool | None = None
        self.lease = 0
        self.written = False
        self.wake = asyncio.Event()

    async def watch(self) -> None:
        """Follow the store until cancelled."""
        pause_s = RETRY_S
        revision = 0
        slow = self.versions.following.slow
        while not tasks.cancelled():
            try:
                if not revision:
                    written = self.written
                    batch = await self.feed.snapshot(not slow)
                    self._take_snapshot(batch, written)
                else:
                    batch = await self.feed.changes(revision, not slow)
                    self._take_changes(batch)
                revision = batch.revision
                pause_s = RETRY_S
                self._note(True, '')
                if batch.changes:
                    await asyncio.sleep(GATHER_S)
            except errors.StoreCompacted:
                # What was missed is not kept; read all again at once.
                self.counts.add('store.compacted')
                revision = 0
            except errors.StoreError as error:
                self._note(False, str(error))
                # A watch that broke may have missed nothing; one that was
                # refused costs only the call that is tried again.
                await asyncio.sleep(pause_s * self._spread())
                pause_s = min(MAX_RETRY_S, 1.5 * pause_s)

    async def read_if_unheard(self) -> None:
        """Read the configuration if those who follow it are not heard of."""
        if not self.versions.following.reads_now(deadlines.now()):
            return
        self.counts.add('config.read')
        try:
            found = await self.feed.read_config()
        except errors.StoreError as error:
            self._note(False, str(error))
            return
        if found is not None and found.value is not None:
            self.versions.offer(found.value, 'store')

    async def keep_record(self) -> None:
        """Keep this host's record in the store until cancelled."""
        pause_s = RETRY_S
        while not tasks.cancelled():
            try:
                if not self.lease:
                    self.lease = await self.feed.grant_lease(LEASE_TTL_S)
                    self.written = False
                if not self.written:
                    await self.feed.register(self.own, self.lease)
                    self.written = True
                    self.log.state('record', to='written', lease=self.lease)
                await self._rest(RENEW_S * (0.9 + 0.1 * self._spread()))
                if not self.written:
                    continue
                if not await self.feed.renew(self.lease):
                    self.log.state('record', to='lapsed', lease=self.lease)
                    self.lease = 0
                pause_s = RETRY_S
            except errors.LeaseLapsed:
                self.lease = 0
            except errors.StoreError as error:
                self.counts.add('store.record-failed')
                self._note(False, str(error))
                await asyncio.sleep(pause_s * self._spread())
                pause_s = min(MAX_RETRY_S, 1.5 * pause_s)

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
        """Sleep, unless the record is lost meanwhile."""
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
        self.reachable = reachable
        self.versions.follows = reachable and not self.versions.following.slow
        to = 'reachable' if reachable else 'unreachable'
        self.log.state('store', to=to, error=error)

    def _take_snapshot(self, batch: Batch, written: bool) -> None:
        """Take all; `written` is whether the own record has to be in it."""
        records = []
        for change in batch.changes:
            if self.feed.is_config(change.key):
                if change.value is not None:
                    self.versions.offer(change.value, 'store')
                continue
            record = self.feed.record_of(change)
            if record is not None:
                records.append(record)
        self.directory.recorded(records)
        if written and self.own.host not in {one.host for one in records}:
            self.record_lost()

    def _take_changes(self, batch: Batch) -> None:
        newest: Change | None = None
        for change in batch.changes:
            if self.feed.is_config(change.key):
                newest = change
                continue
            host = self.feed.host_of(change.key)
            if host is None:
                continue
            if change.value is None:
                self._record_gone(host)
                continue
            record = self.feed.record_of(change)
            if record is None:
                continue
            if record.host == self.own.host:
                self._own_record_written(record)
            else:
                self.directory.learn(record, recorded=True)
        if newest is not None and newest.value is not None:
            self.versions.offer(newest.value, 'store')

    def _own_record_written(self, record: instances.HostRecord) -> None:
        if record.incarnation != self.own.incarnation:
            # A write of the process before was carried out late.
            self.record_lost()

    def _record_gone(self, host: str) -> None:
        if host == self.own.host:
            self.record_lost()
        else:
            self.directory.record_gone(host)
