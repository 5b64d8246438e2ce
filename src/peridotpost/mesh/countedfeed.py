"""Counts the calls to the platform's store, by kind.

The store's capacity is shared by the fleet, so operators need to see which
calls a daemon makes and how often.
"""

from collections.abc import Sequence

from peridotpost.kernel import counters
from peridotpost.mesh import storefeed
from peridotpost.model import instances
from peridotpost.model import release

COUNTER_PREFIX = 'store.calls.'


class CountedFeed:
    """A ``storefeed.Feed`` that counts each call in ``store.calls.KIND``."""

    def __init__(
        self, feed: storefeed.Feed, counts: counters.Counters
    ) -> None:
        self.feed = feed
        self.counts = counts

    async def read_config(self) -> storefeed.ConfigRead:
        self._count('read-config')
        return await self.feed.read_config()

    async def next_config(
        self, revision: int, wait_s: float
    ) -> storefeed.ConfigRead:
        self._count('watch')
        return await self.feed.next_config(revision, wait_s)

    async def read_records(
        self, stale: bool
    ) -> Sequence[instances.HostRecord]:
        self._count('read-records-stale' if stale else 'read-records')
        return await self.feed.read_records(stale)

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        self._count('register')
        await self.feed.register(record, lease)

    async def grant_lease(self, ttl_s: float) -> int:
        self._count('grant-lease')
        return await self.feed.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> bool:
        self._count('renew-lease')
        return await self.feed.renew_lease(lease)

    async def end_lease(self, lease: int) -> None:
        self._count('end-lease')
        await self.feed.end_lease(lease)

    async def read_departures(self, host: str) -> instances.StoredDepartures:
        self._count('read-departures')
        return await self.feed.read_departures(host)

    async def write_departures(
        self, host: str, entry: instances.StoredDepartures, lease: int
    ) -> int | None:
        self._count('write-departures')
        return await self.feed.write_departures(host, entry, lease)

    async def claim(self, service: str, host: str, lease: int) -> int | None:
        self._count('claim')
        return await self.feed.claim(service, host, lease)

    async def read_status(self, service: str) -> release.ReleaseStatus:
        self._count('read-status')
        return await self.feed.read_status(service)

    async def write_status(
        self, order: release.ReleaseOrder, epoch: int, stage: release.Stage
    ) -> bool:
        self._count('write-status')
        return await self.feed.write_status(order, epoch, stage)

    def _count(self, kind: str) -> None:
        self.counts.add(COUNTER_PREFIX + kind)
