"""Reads configuration versions from the store.

A relay watches the store; any daemon reads it once when it starts.
"""

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
MIN_WATCH_S = 1.0
"""A read plus watch that ends sooner counts as a failure.  Otherwise every
relay would query without a pause a store whose reads succeed but whose
watches end immediately."""


class StoreWatcher:
    """Watches the store for new versions while this daemon is a relay."""

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
        self.response_invalid = False
        self.last_rejection = ''

    def set_position(self, position: tree.TreePosition) -> None:
        """Run the watch exactly while this daemon is a relay."""
        if position.has_children:
            # The full configuration is kept even after the position
            # changes: in a partitioned zone this daemon may be the only
            # one that has it, and its successor fetches it from here.
            self.replica.set_interest(config.EVERYTHING)
        if position.relay and self.watching is None:
            self.watching = asyncio.ensure_future(self._run())
            logs.state_changed('relay', to='on')
        elif not position.relay and self.watching is not None:
            self.watching.cancel()
            self.watching = None
            logs.state_changed('relay', to='off')

    async def read_once(self) -> bool:
        """Read the current version; return whether this succeeded.

        Returns False if the store is unreachable or its response invalid.
        """
        head = await versions.read_head(self.platform, self.mesh)
        if isinstance(head, result.Err):
            self.response_invalid = isinstance(
                head.err_value, errors.StoreProtocolError
            )
            if self.response_invalid:
                self._note_rejected(head.err_value)
            self._note_unreachable(head.err_value)
            return False
        self.response_invalid = False
        self._note_reachable()
        if head.ok_value is not None:
            self._offer_version(head.ok_value)
        return True

    async def _run(self) -> None:
        while not tasks.cancelled():
            started_at = self.replica.clock.now()
            try:
                # Also watch if the head is damaged, to receive the valid
                # version that replaces it without delay.
                read = await self.read_once() or self.response_invalid
                succeeded = read and await self._watch_once()
            except Exception:
                # If a bug ended the watch, the relay would receive no
                # further version and still look healthy.
                self.counts.add('source.broken')
                eliot.write_traceback()
                succeeded = False
            if (
                succeeded
                and self.replica.clock.now() - started_at >= MIN_WATCH_S
            ):
                self.backoff.reset()
            else:
                await asyncio.sleep(self.backoff.next_delay())

    async def _watch_once(self) -> bool:
        """Run one time-limited watch; False if it failed."""
        watch = self.platform.watch(
            versions.head_key(self.mesh), self.last_revision + 1
        )
        async for item in watch:
            if isinstance(item, result.Err):
                self._note_unreachable(item.err_value)
                return False
            self._handle_write(item.ok_value)
        return True

    def _handle_write(self, kv: store.KeyValue) -> None:
        accepted = versions.decode_version(kv)
        if isinstance(accepted, result.Err):
            self._note_rejected(accepted.err_value)
            return
        self._offer_version(accepted.ok_value)

    def _offer_version(self, accepted: versions.AcceptedVersion) -> None:
        self.last_revision = max(self.last_revision, accepted.revision)
        if accepted.revision <= self.replica.version.revision:
            if not self.replica.needs_wider_scope:
                return
        compiled = versions.compile_version(accepted)
        if isinstance(compiled, result.Err):
            self._note_rejected(compiled.err_value)
            return
        self.replica.offer_full_version(compiled.ok_value, SOURCE)

    def _note_rejected(self, error: errors.StoreError) -> None:
        self.counts.add('source.rejected')
        if self.last_rejection != str(error):
            self.last_rejection = str(error)
            logs.state_changed('version-rejected', error=str(error)[:500])

    def _note_unreachable(self, error: errors.StoreError) -> None:
        if self.reachable:
            logs.state_changed('store', to='unreachable', error=str(error))
        self.reachable = False

    def _note_reachable(self) -> None:
        if not self.reachable:
            logs.state_changed('store', to='reachable')
        self.reachable = True


@contextlib.asynccontextmanager
async def following(source: StoreWatcher) -> AsyncIterator[StoreWatcher]:
    try:
        yield source
    finally:
        if source.watching is not None:
            await tasks.cancel_and_wait(source.watching)
