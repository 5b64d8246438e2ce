"""What carries a link, and a relay's watch, when they fail half-way."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

from grpc import aio
import pytest
import result

from peridotpost.decisions import pacing
from peridotpost.distribution import dialling
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server as control
from peridotpost.distribution import source as sources
from peridotpost.distribution import streams
from peridotpost.distribution import uplinks
from peridotpost.generated import control_pb2
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members
from peridotpost.store import store
from peridotpost.store import versions
from testing import fleets


async def never_read() -> control_pb2.Frame:
    await asyncio.Event().wait()
    raise AssertionError


async def failing_write(frame: control_pb2.Frame) -> None:
    raise ValueError('a record that cannot be encoded')


async def taking_write(frame: control_pb2.Frame) -> None:
    pass


def link_of(node: fleets.Node) -> links.Link:
    node.replica.clock = timers.TimerService(random.Random(1))
    link = links.Link('peer', node.table, node.counts)
    link.owes_greeting = True
    return link


async def test_link_ends_when_its_sender_dies() -> None:
    # The sender of a link fails, by a mistake of ours or a record that
    # cannot be encoded, while its receiver still reads.  Left so, the
    # peer would hear of no further version and never know.
    node = fleets.Node('here')
    link = link_of(node)
    with pytest.raises(ValueError, match='cannot be encoded'):
        await streams.converse(
            link, never_read, failing_write, asyncio.Event()
        )
    assert node.table.links == []


async def test_link_ends_when_its_peer_falls_silent() -> None:
    # A peer freezes; its connection stands.  After three beats of our
    # own without a word from it the link ends, and another is dialled.
    node = fleets.Node('here')
    link = link_of(node)
    answers = [True, False, False, True, False, False]

    async def ping(host: str) -> bool:
        return bool(answers) and answers.pop(0)

    link.ping = ping
    conversing = asyncio.ensure_future(
        streams.converse(link, never_read, taking_write, asyncio.Event())
    )
    await asyncio.sleep(0)
    while answers:
        await link.beat()
        assert not link.over.is_set()
    link.take(control_pb2.Frame(progress=control_pb2.Progress()))
    for _ in range(links.SILENT_BEATS):
        await link.beat()
        assert not link.over.is_set()
    await link.beat()
    await conversing
    assert node.counts.totals['link.silent'] == 1


@contextlib.asynccontextmanager
async def silent_listener() -> AsyncIterator[str]:
    """Take connections and say nothing, as a frozen process does."""
    server = await asyncio.start_server(
        lambda reader, writer: None, '127.0.0.1', 0
    )
    try:
        port = server.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'
    finally:
        server.close()


@contextlib.asynccontextmanager
async def parent_serving(node: fleets.Node) -> AsyncIterator[str]:
    node.replica.clock = timers.TimerService(random.Random(1))
    servicer = control.ControlServicer(node.replica, node.table, node.counts)
    async with control.serving(servicer, '127.0.0.1', 0) as port:
        yield f'127.0.0.1:{port}'


async def held_version(
    child: fleets.Node,
    candidates: tuple[str, ...],
    revision: int = 5,
    dial: dialling.Dial = dialling.dial,
) -> int:
    """Hold an uplink to `candidates` until `revision` comes by it."""
    came = asyncio.Event()

    def note(change: replicas.FactChange) -> None:
        if change.version is not None and change.version.revision >= revision:
            came.set()

    child.replica.clock = timers.TimerService(random.Random(1))
    child.replica.changed.subscribe(note)
    ups = uplinks.Uplinks(
        child.replica, child.table, child.counts, 'z1', random.Random(1)
    )
    ups.bootstrap = candidates
    ups.dial = dial
    async with uplinks.holding(ups):
        await asyncio.wait_for(came.wait(), 30)
    return child.replica.version.revision


async def test_frozen_parent_is_left_for_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The preferred parent is frozen: its host takes the connection, and
    # nobody greets.  The child must give up on it and dial the next.
    monkeypatch.setattr(streams, 'GREETING_S', 0.2)
    parent = fleets.Node('parent')
    parent.hold(fleets.version(5, {'a': []}))
    child = fleets.Node('child')
    async with silent_listener() as frozen, parent_serving(parent) as good:
        assert await held_version(child, (frozen, good)) == 5


async def test_stream_whose_channel_is_closed_is_opened_again() -> None:
    # The channel under a stream is closed, which the library raises in
    # the reader like a cancellation of the daemon's own task.  The daemon
    # must dial again, or it would never hear of another version.
    parent = fleets.Node('parent')
    parent.hold(fleets.version(5, {'a': []}))
    child = fleets.Node('child')
    closing: list[asyncio.Task[None]] = []

    async def close(channel: aio.Channel) -> None:
        await channel.close()
        parent.hold(fleets.version(6, {'a': []}))

    @contextlib.asynccontextmanager
    async def dial(address: str) -> AsyncIterator[aio.Channel]:
        async with dialling.dial(address) as channel:

            def in_force(change: replicas.FactChange) -> None:
                if not closing:
                    closing.append(asyncio.ensure_future(close(channel)))

            child.replica.changed.subscribe(in_force)
            yield channel

    async with parent_serving(parent) as address:
        assert await held_version(child, (address,), 6, dial) == 6
    assert child.counts.totals['uplink.cancelled'] == 1


async def test_cancellation_while_a_link_ends_is_not_lost() -> None:
    # A stream ends by itself, and while its tasks are cleared away the
    # daemon plans another.  The old dialler must end; it was seen to go
    # on, and a daemon that stopped waited for it for ever.
    node = fleets.Node('here')
    link = link_of(node)

    async def slow_to_end() -> control_pb2.Frame:
        try:
            await asyncio.Event().wait()
        finally:
            conversing.cancel()
        raise AssertionError

    conversing = asyncio.ensure_future(
        streams.converse(link, slow_to_end, taking_write, asyncio.Event())
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    link.over.set()
    with pytest.raises(asyncio.CancelledError):
        await conversing


async def test_full_parent_is_left_for_the_next() -> None:
    full = fleets.Node('full')
    parent = fleets.Node('parent')
    parent.hold(fleets.version(5, {'a': []}))
    child = fleets.Node('child')
    async with (
        parent_serving(full) as first,
        parent_serving(parent) as second,
    ):
        full.replica.clock.now = lambda: 0.0  # type: ignore[method-assign]
        for _ in range(2 * pacing.JOIN_BURST):
            await refused_or_taken(first)
        assert await held_version(child, (first, second)) == 5
    assert full.counts.totals['link.refused'] > 0
    assert child.counts.totals['uplink.refused'] == 1


@pytest.mark.parametrize(
    ('held', 'told'),
    [(fleets.version(5, {'a': []}), 5), (None, 0)],
    ids=['holds-a-version', 'fresh-itself'],
)
async def test_asked_peer_tells_what_it_holds(
    held: config.ConfigVersion | None, told: int
) -> None:
    # A herd returns while the platform is out, and its members ask each
    # other.  An answer from one that holds nothing must not pass for the
    # fleet's word, or the herd would serve without a configuration.
    parent = fleets.Node('parent')
    fresh = fleets.Node('fresh')
    if held is not None:
        parent.hold(held)
    asking = reconcile.Reconciler(
        fresh.replica, fresh.counts, 'z1', random.Random(1)
    )
    async with parent_serving(parent) as address:
        assert await asking.ask(address) == told
    assert await asking.ask(address) is None
    assert fresh.replica.version.revision == told


async def refused_or_taken(address: str) -> None:
    """Open a stream at `address` and end it, whatever the answer."""
    node = fleets.Node('guest')
    node.replica.clock = timers.TimerService(random.Random(1))
    ups = uplinks.Uplinks(
        node.replica, node.table, node.counts, 'z1', random.Random(1)
    )
    ups.closing.set()
    await ups._try('parent', address)


@pytest.mark.parametrize(
    ('status', 'place'),
    [
        pytest.param(members.Status.ALIVE, 0, id='alive'),
        pytest.param(members.Status.SUSPECT, -1, id='suspected'),
        pytest.param(members.Status.DEAD, None, id='dead'),
        pytest.param(members.Status.LEFT, None, id='left'),
    ],
)
async def test_uplink_follows_what_became_of_its_parent(
    status: members.Status, place: int | None
) -> None:
    # The parent of a daemon is suspected, dies or leaves the fleet.  Its
    # stream must be taken to another, also where nobody closes it.
    child = fleets.Node('child')
    child.replica.clock = timers.TimerService(random.Random(1))
    ups = uplinks.Uplinks(
        child.replica, child.table, child.counts, 'z1', random.Random(1)
    )
    ups.dial = dial_for_ever
    child.learn(fleets.member(f'host-{number}') for number in range(60))
    child.learn([fleets.member('child')])
    async with uplinks.holding(ups):
        await asyncio.sleep(0)
        before = ups.wanted['parent']
        parent = before.candidates[0]
        assert before.peer == parent
        child.learn([fleets.member(parent, status=status)])
        ups.plan()
        after = ups.wanted['parent']
        if place is None:
            assert parent not in after.candidates
        else:
            assert after.candidates[place] == parent
        assert bool(before.task.cancelling()) is (place != 0)


@contextlib.asynccontextmanager
async def dial_for_ever(address: str) -> AsyncIterator[aio.Channel]:
    await asyncio.Event().wait()
    yield aio.insecure_channel(address)


class RecordingBackoff:
    """Waits for nothing and tells when it was asked eight times on end."""

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


class EndlessStore:
    """A store that reads well and whose watches fail or end at once."""

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
            raise RuntimeError('a mistake of ours')
        for item in self.items:
            yield item


@pytest.mark.parametrize('fails', [False, True], ids=['ends', 'raises'])
async def test_store_whose_watches_end_at_once_is_asked_ever_less(
    fails: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The store answers reads while each watch ends at once, or makes the
    # relay stumble.  22 relays that ask again without a pause would use
    # up its 2,000 reads a second; one that stops asking goes blind.
    node = fleets.Node('relay')
    platform = EndlessStore(fails)
    source = sources.Source(
        platform,  # type: ignore[arg-type]
        'mesh',
        node.replica,
        node.counts,
        random.Random(1),
    )
    enough = asyncio.Event()
    backoff = RecordingBackoff(enough)
    monkeypatch.setattr(source, 'backoff', backoff)
    watching = asyncio.ensure_future(source._watch())
    await asyncio.wait_for(enough.wait(), 30)
    watching.cancel()
    assert platform.reads == backoff.failures


class DamagedHeadStore(EndlessStore):
    """A store whose head is damaged, and whose watch brings a good one."""

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        return result.Ok(store.KeyValue(key, b'damaged', 4))


async def test_good_version_behind_a_damaged_head_comes_by_the_watch(
    mesh_text: str,
) -> None:
    # Another client has written over the head, and an operator mends it.
    # A relay that only read again from time to time would be seconds late.
    node = fleets.Node('relay')
    platform = DamagedHeadStore(False)
    source = sources.Source(
        platform,  # type: ignore[arg-type]
        'mesh',
        node.replica,
        node.counts,
        random.Random(1),
    )
    accepted = versions.Accepted(5, 1, 'id', 'a', '', 0.0, 4, mesh_text)
    good = store.KeyValue('head', versions.to_value(accepted), 5)
    platform.items = [result.Ok(good)]
    assert not await source.read_once()
    came = asyncio.Event()
    node.replica.changed.subscribe(lambda _: came.set())
    watching = asyncio.ensure_future(source._watch())
    await asyncio.wait_for(came.wait(), 30)
    watching.cancel()
    assert node.replica.version.revision == 5
    assert node.counts.totals['source.rejected'] >= 2
