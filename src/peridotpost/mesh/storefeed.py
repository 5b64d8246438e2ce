"""Reads the configuration and host records from the store.

The configuration is watched, the records are polled.  The store may be slow,
down or cut off, reject only this host, lose answers or compact its history.
In each case the loops read everything again and continue, and what was known
stays in force meanwhile.
"""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import random
from typing import Any
from typing import Protocol

from peridotpost.decisions import following
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import versions as version_feed
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.model import release
from peridotpost.proxy import deadlines

MIN_RETRY_PAUSE_S = 0.25
MAX_RETRY_PAUSE_S = 0.8
"""Bounds of the pause between retries.  Records that lapsed during an outage
have to be written again within two seconds of the store's return."""
MAX_SLOW_LINK_RETRY_PAUSE_S = 3.2
"""The same for a host with a slow link: the hosts of its zone that follow the
store notify it when the store is back."""
MAX_OUTAGE_WAIT_S = 2.5
"""How long reads wait for a lease renewal to succeed; limits the delay if the
store rejects only the renewals."""
BATCH_PAUSE_S = 0.4
"""Pause after a change, so that the next watch returns several at once."""
MIN_POLL_INTERVAL_S = 2.5
MAX_POLL_INTERVAL_S = 10.0
"""Bounds of the pause between stale reads of the records.  It doubles while
no read fails, since hosts that join dial the others anyway."""
MIN_OWN_RECORD_AGE_S = 8.0
"""A stale read that lacks the own record is ignored until the record was
written this long ago."""
LEASE_TTL_S = 15.0
RENEW_INTERVAL_S = 5.0
"""A third of the lease's TTL: two renewals may fail before it lapses."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRead:
    """A configuration and release orders, as read from the store.

    :param raw: None if there is none, or no new one since the last read.
    :param revision: store revision from which a watch continues.
    :param orders: release orders that changed.
    :param order_errors: messages about release orders that are invalid.
    """

    raw: bytes | None
    revision: int
    orders: tuple[release.ReleaseOrder, ...] = ()
    order_errors: tuple[str, ...] = ()


class Feed(Protocol):
    """The platform's store; each call may raise ``StoreError``."""

    async def read_config(self) -> ConfigRead:
        """Return the current configuration."""

    async def next_config(self, revision: int, wait_s: float) -> ConfigRead:
        """Return the changes after `revision`; wait for one up to `wait_s`.

        The result has neither a configuration nor orders if none came.
        """

    async def read_records(
        self, stale: bool
    ) -> Sequence[instances.HostRecord]:
        """Return the records of all hosts.

        :param stale: whether an answer may be seconds old.
        """

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        """Write this host's record under the lease."""

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""

    async def end_lease(self, lease: int) -> None:
        """End a lease; the store deletes its keys."""

    async def read_departures(self, host: str) -> instances.StoredDepartures:
        """Return the departures of a host's targets."""

    async def write_departures(
        self, host: str, entry: instances.StoredDepartures, lease: int
    ) -> int | None:
        """Replace a host's departures if `entry.revision` is the current one.

        Returns the new revision, or None if another one is current.
        """

    async def claim(self, service: str, host: str, lease: int) -> int | None:
        """Make this host the coordinator of a service's release.

        Returns the epoch, or None if another host is the coordinator.
        """

    async def read_status(self, service: str) -> release.ReleaseStatus:
        """Return the status of a service's last release."""

    async def write_status(
        self, order: release.ReleaseOrder, epoch: int, stage: release.Stage
    ) -> bool:
        """Write a status; return False if the epoch has ended."""


class StoreFeed:
    """Watches the configuration, polls records and keeps the own record."""

    def __init__(
        self,
        feed: Feed,
        own: instances.HostRecord,
        directory: directories.Directory,
        versions: version_feed.Versions,
        randomness: random.Random,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.feed = feed
        self.own_record = own
        self.directory = directory
        self.versions = versions
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.lease = 0
        self.record_written = False
        self.record_written_at = 0.0
        self.call_due = asyncio.Event()
        self.store_returned = asyncio.Event()
        self.registered = asyncio.Event()
        self.calls_failing = False
        self.renewed = False
        self.release_ordered: hooks.Hook[release.ReleaseOrder] = hooks.Hook(
            'ordered'
        )
        versions.followed_again.subscribe(self._handle_followed_again)

    @property
    def reachable(self) -> bool | None:
        """Whether the store answers; None before the first call."""
        return self.versions.read_policy.store_reachable

    async def watch(self) -> None:
        """Follow the configuration in the store until cancelled."""
        pause_s = MIN_RETRY_PAUSE_S
        revision = 0
        while not tasks.cancelled():
            try:
                if not revision:
                    read = await self._read_config()
                else:
                    changes = await self._next_config(revision)
                    if changes is None:
                        continue
                    read = changes
                revision = read.revision
                pause_s = MIN_RETRY_PAUSE_S
                self._set_reachable(True, '')
                self._handle_orders(read)
                if read.raw is not None:
                    self.versions.offer(read.raw, 'store')
                self.versions.confirm()
                if read.raw is not None:
                    await asyncio.sleep(BATCH_PAUSE_S)
            except errors.StoreCompacted:
                # The missed changes are gone; read everything at once.
                self.counts.add('store.compacted')
                revision = 0
            except errors.StoreError as error:
                self._set_reachable(False, str(error))
                self.probe_store()
                # A store that compacts its history may leave watches
                # unanswered.  A version written meanwhile is missing from a
                # watch from the same revision, but a read returns it.
                revision = 0
                await self.wait_after_failure(pause_s)
                pause_s = min(MAX_RETRY_PAUSE_S, 1.5 * pause_s)

    async def _next_config(self, revision: int) -> ConfigRead | None:
        """Wait for a change; return None if the watch has to be renewed.

        Until its timeout, a watch that is lost looks like one without
        changes, and a version written meanwhile would be in force seconds
        late on all hosts.  It is also renewed if no leader has confirmed the
        version in time.

        :raises StoreError: if the watch fails.
        """
        watch = self.feed.next_config(revision, self._watch_wait_s())
        if self.renewed:
            changes = await self._answer(watch)
        else:
            changes = await self._answer(watch, self._unconfirmed())
        self.renewed = changes is None
        if changes is None:
            self.counts.add('store.watch-renewed')
        return changes

    async def _read_config(self) -> ConfigRead:
        """Read the configuration, again if the store lost the first read.

        :raises StoreError: if a read fails.
        """
        while True:
            read = await self._answer(self.feed.read_config())
            if read is not None:
                return read
            self.counts.add('store.read-repeated')

    async def _answer(
        self,
        call: Coroutine[Any, Any, ConfigRead],
        *renewals: Coroutine[Any, Any, None],
    ) -> ConfigRead | None:
        """Return the answer to a call; None if the call has to be repeated.

        A call sent while the store was silent was never received.  It is to be
        repeated when other calls show that the store answers again.

        :param renewals: return when it is to be repeated for other reasons.
        :raises StoreError: if the call fails.
        """
        answer = asyncio.ensure_future(call)
        waits: list[asyncio.Future[Any]] = [
            answer,
            asyncio.ensure_future(self.store_returned.wait()),
            *map(asyncio.ensure_future, renewals),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            return answer.result() if answer.done() else None
        finally:
            await tasks.cancel_and_wait(*waits)

    def _watch_wait_s(self) -> float:
        """Return how long the next watch waits in the store."""
        if self.renewed:
            return following.RENEWED_WATCH_S
        if not self.versions.leads():
            return following.WATCH_S
        # The pause after a version is a part of the interval between answers.
        age_s = self.versions.read_policy.confirmed_age_s(deadlines.now())
        return max(
            following.RENEWED_WATCH_S,
            following.LEADER_WATCH_S - min(age_s, BATCH_PAUSE_S),
        )

    async def _unconfirmed(self) -> None:
        """Return when nothing has confirmed the version in time."""
        policy = self.versions.read_policy
        limit_s = self.randomness.uniform(*following.RENEW_WATCH_AFTER_S)
        while True:
            left_s = limit_s - policy.confirmed_age_s(deadlines.now())
            if left_s <= 0:
                break
            await asyncio.sleep(left_s)
        self.versions.note_unconfirmed()
        self.log.state('watch', to='renewed', unconfirmed_s=round(limit_s, 2))

    def _note_call_result(self, answered: bool) -> None:
        """Record whether calls other than the watch are answered."""
        if answered and self.calls_failing:
            # Wakes current waiters only; later ones wait for the next return.
            self.store_returned.set()
            self.store_returned.clear()
        self.calls_failing = not answered

    async def wait_after_failure(self, pause_s: float) -> None:
        """Wait after a read that failed.

        During an outage only the lease renewals probe the store.
        """
        if not self.calls_failing:
            await asyncio.sleep(pause_s * self._jitter())
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_OUTAGE_WAIT_S * self._jitter()):
                await self.store_returned.wait()

    async def poll_records(self) -> None:
        """Poll the hosts' records until cancelled.

        The first, stale read finds the hosts that registered a while ago.
        The read after this host's registration is a current one: of two
        hosts that start together, at least one then sees the other's record
        and dials it.  The stale reads that follow find hosts that were cut
        off.
        """
        await self._read_records(stale=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_OUTAGE_WAIT_S):
                await self.registered.wait()
        while not await self._read_records(stale=False):
            await self.wait_after_failure(MAX_RETRY_PAUSE_S)
        pause_s = MIN_POLL_INTERVAL_S
        while not tasks.cancelled():
            await asyncio.sleep(pause_s * self._jitter())
            pause_s = min(MAX_POLL_INTERVAL_S, 2 * pause_s)
            while not await self._read_records(stale=True):
                await self.wait_after_failure(MAX_RETRY_PAUSE_S)
                pause_s = MIN_POLL_INTERVAL_S

    async def _read_records(self, stale: bool) -> bool:
        """Read and apply all hosts' records; return False on an error."""
        try:
            records = await self.feed.read_records(stale)
        except errors.StoreError as error:
            self.counts.add('store.records-failed')
            self._set_reachable_by_poll(False, str(error))
            self.probe_store()
            return False
        self._handle_records(records)
        self._set_reachable_by_poll(True, '')
        self._note_call_result(True)
        return True

    async def read_if_due(self) -> None:
        """Read the configuration if no host announces that it follows it."""
        if not self.versions.read_policy.should_read(deadlines.now()):
            return
        self.counts.add('config.read')
        self.versions.announce_reading()
        try:
            read = await self._read_config()
        except errors.StoreError as error:
            self._set_reachable(False, str(error))
            return
        self._handle_orders(read)
        if read.raw is not None:
            self.versions.offer(read.raw, 'store')
        self.versions.read_policy.note_read_ended(deadlines.now())

    def _handle_orders(self, read: ConfigRead) -> None:
        for problem in read.order_errors:
            self.log.state('release', to='rejected', error=problem)
        for order in read.orders:
            self.release_ordered.fire(order)

    async def keep_record(self) -> None:
        """Keep this host's record in the store until cancelled."""
        pause_s = MIN_RETRY_PAUSE_S
        while not tasks.cancelled():
            try:
                if self.record_written and not self.calls_failing:
                    await self._wait_for_next_call(
                        RENEW_INTERVAL_S * (0.9 + 0.1 * self._jitter())
                    )
                await self._renew_or_register()
                pause_s = MIN_RETRY_PAUSE_S
                self._note_call_result(True)
            except errors.LeaseExpired:
                self._handle_lapsed_lease()
            except errors.StoreError as error:
                self.counts.add('store.record-failed')
                self._set_reachable(False, str(error))
                self._note_call_result(False)
                await self._wait_for_next_call(pause_s * self._jitter())
                pause_s = min(self._max_retry_s, 1.5 * pause_s)

    @property
    def _max_retry_s(self) -> float:
        slow = self.versions.read_policy.has_slow_link
        return MAX_SLOW_LINK_RETRY_PAUSE_S if slow else MAX_RETRY_PAUSE_S

    def _handle_followed_again(self, host: str) -> None:
        """Retry at once, since a host of the zone reaches the store again."""
        if self.calls_failing:
            self.call_due.set()

    async def _renew_or_register(self) -> None:
        """Renew the record's lease, or write the record if it is missing."""
        if self.record_written:
            if not await self.feed.renew_lease(self.lease):
                self._handle_lapsed_lease()
            return
        if not self.lease:
            self.lease = await self.feed.grant_lease(LEASE_TTL_S)
        await self.feed.register(self.own_record, self.lease)
        self.record_written = True
        self.record_written_at = deadlines.now()
        self.registered.set()
        self.log.state('record', to='written', lease=self.lease)

    def _handle_lapsed_lease(self) -> None:
        self.log.state('record', to='lapsed', lease=self.lease)
        self.lease = 0
        self.record_written = False

    def probe_store(self) -> None:
        """Renew the lease at once, to find out whether the store answers.

        As long as it does not, the renewals continue and all other calls
        wait.  A renewal is the cheapest call of the store.
        """
        if self.lease and not self.calls_failing:
            self.call_due.set()

    def rewrite_record(self) -> None:
        """Write this host's record again at once; the store dropped it."""
        self.record_written = False
        self.call_due.set()

    async def withdraw(self) -> None:
        """Remove this host's record from the store."""
        if not self.lease:
            return
        try:
            await self.feed.end_lease(self.lease)
        except errors.StoreError as error:
            self.log.state('record', to='left-to-lapse', error=str(error))

    async def _wait_for_next_call(self, seconds: float) -> None:
        """Sleep, or return early if a call becomes due."""
        self.call_due.clear()
        try:
            async with asyncio.timeout(seconds):
                await self.call_due.wait()
        except TimeoutError:
            return

    def _jitter(self) -> float:
        return 0.75 + 0.5 * self.randomness.random()

    def _set_reachable(self, reachable: bool, error: str) -> None:
        if reachable == self.reachable:
            return
        self.versions.note_store_state(reachable)
        to = 'reachable' if reachable else 'unreachable'
        self.log.state('store', to=to, error=error)

    def _set_reachable_by_poll(self, reachable: bool, error: str) -> None:
        """Derive the store's state from the polls if there is no watch."""
        if self.versions.read_policy.has_slow_link:
            self._set_reachable(reachable, error)

    def _handle_records(self, records: Sequence[instances.HostRecord]) -> None:
        self.directory.update_records(records)
        own = {record.host: record for record in records}.get(
            self.own_record.host
        )
        if own is not None and own.incarnation == self.own_record.incarnation:
            return
        # The store dropped the record although its lease is alive, or applied
        # a late write of an earlier process.  A stale read can't contain a
        # record that was just written.
        if (
            self.record_written
            and deadlines.now() - self.record_written_at > MIN_OWN_RECORD_AGE_S
        ):
            self.rewrite_record()
