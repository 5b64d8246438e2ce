"""A relay's watch on the store, and the read with which a daemon starts."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

import eliot
import result

from peridotpost.decisions import pacing
from peridotpost.decisions import tree
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.kernel import tasks
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.store import store
from peridotpost.store import versions

SOURCE = 'store'
SHORT_WATCH_S = 1.0
"""A read and a watch that together ended sooner count as a failure: a
store that reads well but ends each watch at once would otherwise be asked
without a pause by every relay."""


class Source:
    """Brings accepted versions from the store while this is a relay."""

    def __init__(
        self,
        platform: store.Store,
        mesh: str,
        replica: replicas.Replica,
        counts: counters.Counters,
        randomness: random.Random,
    ) -> None:
        self.platform = platform
        self.mesh = mesh
        self.replica = replica
        self.counts = counts
        self.backoff = pacing.Backoff(randomness)
        self.watching: asyncio.Task[None] | None = None
        self.last_revision = 0
        self.reachable = True
        self.garbage = False
        self.rejection = ''

    def follow_place(self, place: tree.Place) -> None:
        """Watch exactly while this daemon is a relay."""
        if place.parent_of_others:
            # It goes on holding the whole when its place moves on: in a
            # zone that is cut off it may be the only one that does, and
            # the one that takes its place has to fetch it from here.
            self.replica.set_interest(config.EVERYTHING)
        if place.relay and self.watching is None:
            self.watching = asyncio.ensure_future(self._watch())
            logs.state_changed('relay', to='on')
        elif not place.relay and self.watching is not None:
            self.watching.cancel()
            self.watching = None
            logs.state_changed('relay', to='off')

    async def read_once(self) -> bool:
        """Read the head; False when the store gave no usable answer."""
        head = await versions.read_head(self.platform, self.mesh)
        if isinstance(head, result.Err):
            self.garbage = isinstance(head.err_value, errors.StoreGarbage)
            if self.garbage:
                self._rejected(head.err_value)
            self._failed(head.err_value)
            return False
        self.garbage = False
        self._recovered()
        if head.ok_value is not None:
            self._offer(head.ok_value)
        return True

    async def _watch(self) -> None:
        while not tasks.cancelled():
            began = self.replica.clock.now()
            try:
                # Behind a damaged head the watch still tells of the good
                # version that takes its place, at once.
                read = await self.read_once() or self.garbage
                good = read and await self._watch_once()
            except Exception:
                # A relay whose watch dies by a mistake of ours would hear
                # of no version and look healthy.
                self.counts.add('source.broken')
                eliot.write_traceback()
                good = False
            if good and self.replica.clock.now() - began >= SHORT_WATCH_S:
                self.backoff.reset()
            else:
                await asyncio.sleep(self.backoff.next_delay())

    async def _watch_once(self) -> bool:
        """Follow one bounded watch to its end; False when it failed."""
        watch = self.platform.watch(
            versions.head_key(self.mesh), self.last_revision + 1
        )
        async for item in watch:
            if isinstance(item, result.Err):
                self._failed(item.err_value)
                return False
            self._take(item.ok_value)
        return True

    def _take(self, kv: store.KeyValue) -> None:
        accepted = versions.decode_version(kv)
        if isinstance(accepted, result.Err):
            self._rejected(accepted.err_value)
            return
        self._offer(accepted.ok_value)

    def _offer(self, accepted: versions.Accepted) -> None:
        self.last_revision = max(self.last_revision, accepted.revision)
        if accepted.revision <= self.replica.version.revision:
            if not self.replica.lacks_scope:
                return
        compiled = versions.compile_version(accepted)
        if isinstance(compiled, result.Err):
            self._rejected(compiled.err_value)
            return
        self.replica.offer_whole(compiled.ok_value, SOURCE)

    def _rejected(self, error: errors.StoreError) -> None:
        self.counts.add('source.rejected')
        if self.rejection != str(error):
            self.rejection = str(error)
            logs.state_changed('version-rejected', error=str(error)[:500])

    def _failed(self, error: errors.StoreError) -> None:
        if self.reachable:
            logs.state_changed('store', to='unreachable', error=str(error))
        self.reachable = False

    def _recovered(self) -> None:
        if not self.reachable:
            logs.state_changed('store', to='reachable')
        self.reachable = True


@contextlib.asynccontextmanager
async def following(source: Source) -> AsyncIterator[Source]:
    try:
        yield source
    finally:
        if source.watching is not None:
            await tasks.end(source.watching)
