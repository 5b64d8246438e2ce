"""Failures of link streams, uplinks and a relay's watch of the store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

from grpc import aio
import pytest
import result

from peridotpost.decisions import pacing
from peridotpost.distribution import grpcchannels
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server as control
from peridotpost.distribution import storewatcher as sources
from peridotpost.distribution import streams
from peridotpost.distribution import uplinks
from peridotpost.generated import control_pb2
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members
from peridotpost.store import store
from peridotpost.store import versions
from testing import distribution_harness


async def never_read() -> control_pb2.Frame:
    await asyncio.Event().wait()
    raise AssertionError


async def failing_write(frame: control_pb2.Frame) -> None:
    raise ValueError('a record that cannot be encoded')


async def discarding_write(frame: control_pb2.Frame) -> None:
    pass


def make_link(node: distribution_harness.Node) -> links.Link:
    node.replica.clock = timers.TimerService(random.Random(1))
    link = links.Link('peer', node.table, node.counts)
    link.hello_due = True
    return link


async def test_link_ends_when_its_sender_fails() -> None:
    # The sender of a link fails, by a bug or a record that cannot be
    # encoded, while its receiver still reads.  If the link stayed open, the
    # peer would receive no further version without noticing.
    node = distribution_harness.Node('here')
    link = make_link(node)
    with pytest.raises(ValueError, match='cannot be encoded'):
        await streams.run_link(
            link, never_read, failing_write, asyncio.Event()
        )
    assert node.table.links == []


async def test_link_ends_after_missed_heartbeats() -> None:
    # A peer freezes while its connection stays open.  The link must end
    # after three heartbeats of this side without a sign of life.
    node = distribution_harness.Node('here')
    link = make_link(node)
    answers = [True, False, False, True, False, False]

    async def ping(host: str) -> bool:
        return bool(answers) and answers.pop(0)

    link.ping = ping
    link_task = asyncio.ensure_future(
        streams.run_link(link, never_read, discarding_write, asyncio.Event())
    )
    await asyncio.sleep(0)
    while answers:
        await link.check_heartbeat()
        assert not link.ended.is_set()
    link.handle_frame(control_pb2.Frame(progress=control_pb2.Progress()))
    for _ in range(links.MAX_MISSED_HEARTBEATS):
        await link.check_heartbeat()
        assert not link.ended.is_set()
    await link.check_heartbeat()
    await link_task
    assert node.counts.totals['link.silent'] == 1


@contextlib.asynccontextmanager
async def silent_listener() -> AsyncIterator[str]:
    """Accept connections but send nothing, as a frozen process does."""
    server = await asyncio.start_server(
        lambda reader, writer: None, '127.0.0.1', 0
    )
    try:
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'
    finally:
        server.close()


@contextlib.asynccontextmanager
async def serve_parent(node: distribution_harness.Node) -> AsyncIterator[str]:
    node.replica.clock = timers.TimerService(random.Random(1))
    servicer = control.ControlServicer(node.replica, node.table, node.counts)
    async with control.serving(servicer, '127.0.0.1', 0) as port:
        yield f'127.0.0.1:{port}'


async def wait_for_version(
    child: distribution_harness.Node,
    candidates: tuple[str, ...],
    revision: int = 5,
    dial: grpcchannels.Dial = grpcchannels.dial,
) -> int:
    """Run an uplink to `candidates` until `revision` is received."""
    received = asyncio.Event()

    def note(change: replicas.FactChange) -> None:
        if change.version is not None and change.version.revision >= revision:
            received.set()

    child.replica.clock = timers.TimerService(random.Random(1))
    child.replica.changed.subscribe(note)
    ups = uplinks.UplinkManager(
        child.replica, child.table, child.counts, 'z1', random.Random(1)
    )
    ups.bootstrap = candidates
    ups.dial = dial
    async with uplinks.running(ups):
        await asyncio.wait_for(received.wait(), 30)
    return child.replica.version.revision


async def test_uplink_leaves_frozen_parent_for_next_candidate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The preferred parent is frozen: its kernel accepts the connection but
    # no Hello follows.  The child must give up on it and dial the next.
    monkeypatch.setattr(streams, 'HELLO_TIMEOUT_S', 0.2)
    parent = distribution_harness.Node('parent')
    parent.offer_version(distribution_harness.version(5, {'a': []}))
    child = distribution_harness.Node('child')
    async with silent_listener() as frozen, serve_parent(parent) as good:
        assert await wait_for_version(child, (frozen, good)) == 5


async def test_stream_is_reopened_after_its_channel_was_closed() -> None:
    # When the channel of a stream is closed, grpc raises CancelledError in
    # the reader, like a cancellation of the daemon's own task.  The daemon
    # must dial again, or it would never receive another version.
    parent = distribution_harness.Node('parent')
    parent.offer_version(distribution_harness.version(5, {'a': []}))
    child = distribution_harness.Node('child')
    closing: list[asyncio.Task[None]] = []

    async def close(channel: aio.Channel) -> None:
        await channel.close()
        parent.offer_version(distribution_harness.version(6, {'a': []}))

    @contextlib.asynccontextmanager
    async def dial(address: str) -> AsyncIterator[aio.Channel]:
        async with grpcchannels.dial(address) as channel:

            def in_force(change: replicas.FactChange) -> None:
                if not closing:
                    closing.append(asyncio.ensure_future(close(channel)))

            child.replica.changed.subscribe(in_force)
            yield channel

    async with serve_parent(parent) as address:
        assert await wait_for_version(child, (address,), 6, dial) == 6
    assert child.counts.totals['uplink.cancelled'] == 1


async def test_cancellation_while_a_link_ends_is_not_lost() -> None:
    # A stream ends, and while its tasks are cleaned up the uplink is
    # cancelled for a new plan.  The uplink task must end; it once kept
    # running, and a stopping daemon waited for it forever.
    node = distribution_harness.Node('here')
    link = make_link(node)

    async def slow_to_end() -> control_pb2.Frame:
        try:
            await asyncio.Event().wait()
        finally:
            link_task.cancel()
        raise AssertionError

    link_task = asyncio.ensure_future(
        streams.run_link(link, slow_to_end, discarding_write, asyncio.Event())
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    link.ended.set()
    with pytest.raises(asyncio.CancelledError):
        await link_task


async def test_uplink_leaves_full_parent_for_next_candidate() -> None:
    full = distribution_harness.Node('full')
    parent = distribution_harness.Node('parent')
    parent.offer_version(distribution_harness.version(5, {'a': []}))
    child = distribution_harness.Node('child')
    async with (
        serve_parent(full) as first,
        serve_parent(parent) as second,
    ):
        full.replica.clock.now = lambda: 0.0  # type: ignore[method-assign]
        for _ in range(2 * pacing.JOIN_BURST):
            await open_and_end_stream(first)
        assert await wait_for_version(child, (first, second)) == 5
    assert full.counts.totals['link.refused'] > 0
    assert child.counts.totals['uplink.refused'] == 1


@pytest.mark.parametrize(
    ('held', 'revision'),
    [(distribution_harness.version(5, {'a': []}), 5), (None, 0)],
    ids=['has-a-version', 'has-no-version'],
)
async def test_reconciliation_returns_the_revision_of_the_peer(
    held: config.ConfigVersion | None, revision: int
) -> None:
    # Many daemons restart while the platform is unavailable and query each
    # other.  A response from a peer without a version must not count as
    # the fleet's version, or they would serve without a configuration.
    parent = distribution_harness.Node('parent')
    fresh = distribution_harness.Node('fresh')
    if held is not None:
        parent.offer_version(held)
    reconciler = reconcile.Reconciler(
        fresh.replica, fresh.counts, 'z1', random.Random(1)
    )
    async with serve_parent(parent) as address:
        assert await reconciler.fetch_facts(address) == revision
    assert await reconciler.fetch_facts(address) is None
    assert fresh.replica.version.revision == revision


async def open_and_end_stream(address: str) -> None:
    """Open a stream to `address` and end it, whether accepted or refused."""
    node = distribution_harness.Node('guest')
    node.replica.clock = timers.TimerService(random.Random(1))
    ups = uplinks.UplinkManager(
        node.replica, node.table, node.counts, 'z1', random.Random(1)
    )
    ups.closing.set()
    await ups._try_peer('parent', address)


@pytest.mark.parametrize(
    ('status', 'index'),
    [
        pytest.param(members.Status.ALIVE, 0, id='alive'),
        pytest.param(members.Status.SUSPECT, -1, id='suspected'),
        pytest.param(members.Status.DEAD, None, id='dead'),
        pytest.param(members.Status.LEFT, None, id='left'),
    ],
)
async def test_uplink_follows_status_of_its_parent(
    status: members.Status, index: int | None
) -> None:
    # A daemon's parent is suspected, dies or leaves the fleet.  The uplink
    # must move to another parent even if nobody closes the stream.
    child = distribution_harness.Node('child')
    child.replica.clock = timers.TimerService(random.Random(1))
    ups = uplinks.UplinkManager(
        child.replica, child.table, child.counts, 'z1', random.Random(1)
    )
    ups.dial = never_connecting_dial
    child.add_records(
        distribution_harness.member(f'host-{number}') for number in range(60)
    )
    child.add_records([distribution_harness.member('child')])
    async with uplinks.running(ups):
        await asyncio.sleep(0)
        before = ups.by_name['parent']
        parent = before.candidates[0]
        assert before.peer == parent
        child.add_records([distribution_harness.member(parent, status=status)])
        ups.plan()
        after = ups.by_name['parent']
        if index is None:
            assert parent not in after.candidates
        else:
            assert after.candidates[index] == parent
        assert bool(before.task.cancelling()) is (index != 0)


async def test_stop_before_uplinks_run_leaves_no_plan(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a watch of the store that starts after a stop."""
    monkeypatch.setattr(uplinks, 'REPLAN_DELAY_S', 0.0)
    node = distribution_harness.Node('host')
    ups = uplinks.UplinkManager(
        node.replica, node.table, node.counts, 'z1', random.Random(1)
    )
    ups.dial = never_connecting_dial
    planned = asyncio.Event()
    ups.position_listeners.append(lambda position: planned.set())
    node.add_records([distribution_harness.member('host')])
    ups.close()
    node.add_records([distribution_harness.member('other')])
    for _ in range(3):
        await asyncio.sleep(0)
    assert not planned.is_set()


@contextlib.asynccontextmanager
async def never_connecting_dial(address: str) -> AsyncIterator[aio.Channel]:
    await asyncio.Event().wait()
    yield aio.insecure_channel(address)


class RecordingBackoff:
    """Returns no delay; sets `enough` after eight failures in a row."""

    def __init__(self, enough: asyncio.Event) -> None:
        self.failures = 0
        self.enough = enough

    def next_delay(self) -> float:
        self.failures += 1
        if self.failures == 8:
            self.enough.set()
        return 0.0

    def reset(self) -> None:
        self.failures = 0


class FailingWatchStore:
    """A store whose reads succeed and whose watches fail or end at once."""

    def __init__(self, fails: bool) -> None:
        self.fails = fails
        self.reads = 0
        self.items: list[result.Result[store.KeyValue, errors.StoreError]] = []

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        self.reads += 1
        return result.Ok(None)

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[result.Result[store.KeyValue, errors.StoreError]]:
        if self.fails:
            raise RuntimeError('a bug')
        for item in self.items:
            yield item


@pytest.mark.parametrize('fails', [False, True], ids=['ends', 'raises'])
async def test_watches_that_end_at_once_are_retried_with_backoff(
    fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Reads succeed while each watch ends at once or raises.  If the 22
    # relays retried without a pause, they would use up the store's quota
    # of 2,000 reads/s; if they stopped, they would miss new versions.
    node = distribution_harness.Node('relay')
    platform = FailingWatchStore(fails)
    source = sources.StoreWatcher(
        platform,  # type: ignore[arg-type]
        'mesh',
        node.replica,
        node.counts,
        random.Random(1),
    )
    enough = asyncio.Event()
    backoff = RecordingBackoff(enough)
    monkeypatch.setattr(source, 'backoff', backoff)
    watching = asyncio.ensure_future(source._run())
    await asyncio.wait_for(enough.wait(), 30)
    watching.cancel()
    assert platform.reads == backoff.failures


class DamagedHeadStore(FailingWatchStore):
    """A store whose head is invalid and whose watch yields `items`."""

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        return result.Ok(store.KeyValue(key, b'damaged', 4))


async def test_valid_version_after_a_damaged_head_is_received(
    mesh_text: str,
) -> None:
    # Another client has overwritten the head, and an operator repairs it.
    # A relay that only polled the head would be seconds late.
    node = distribution_harness.Node('relay')
    platform = DamagedHeadStore(False)
    source = sources.StoreWatcher(
        platform,  # type: ignore[arg-type]
        'mesh',
        node.replica,
        node.counts,
        random.Random(1),
    )
    accepted = versions.AcceptedVersion(5, 1, 'id', 'a', '', 0.0, 4, mesh_text)
    valid = store.KeyValue('head', versions.encode_version(accepted), 5)
    platform.items = [result.Ok(valid)]
    assert not await source.read_once()
    changed = asyncio.Event()
    node.replica.changed.subscribe(lambda _: changed.set())
    watching = asyncio.ensure_future(source._run())
    await asyncio.wait_for(changed.wait(), 30)
    watching.cancel()
    assert node.replica.version.revision == 5
    assert node.counts.totals['source.rejected'] >= 2
