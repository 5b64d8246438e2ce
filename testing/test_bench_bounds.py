"""Bounds on bytes, messages and store calls; never on times.

Each bound stands a little above what is measured now, so that a change
which makes the control plane heavier fails here before it reaches a
fleet.  docs/CAPACITY.md works out what each figure costs at full size.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
from typing import Any

import pytest

from bench import fleets
from bench import texts
from peridotpost.decisions import tree
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import source as sources
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.kernel import timers
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.platform import etcd
from peridotpost.platform import versions
from testing import conftest

ZONE_HOSTS = 473
LEAF = config.Interest(ingress=True)


class Ends:
    """Two replicas and the link between them, without a network."""

    def __init__(
        self, parent: replicas.Replica, child: replicas.Replica
    ) -> None:
        self.parent = parent
        self.child = child
        self.frames: list[control_pb2.Frame] = []
        self.link = links.Link('child', parent, self.write, parent.counts)
        self.child_link = links.Link('parent', child, self.drop, child.counts)
        self.idle = asyncio.Event()

    async def write(self, frame: control_pb2.Frame) -> None:
        sent = control_pb2.Frame.FromString(frame.SerializeToString())
        self.frames.append(sent)
        if sent.HasField('facts'):
            assert self.child_link.receive(sent.facts)
        if not self.link.dirty_config and not self.link.dirty_hosts:
            self.idle.set()

    async def drop(self, frame: control_pb2.Frame) -> None:
        raise AssertionError('the child has nothing to say here')

    async def until_idle(self) -> None:
        await asyncio.wait_for(self.idle.wait(), 30)
        self.idle.clear()


@contextlib.asynccontextmanager
async def joined(parent: replicas.Replica, child: replicas.Replica) -> Any:
    """Let `child` join `parent`; yield once it lacks nothing."""
    ends = Ends(parent, child)
    table = links.LinkTable(parent)
    hello = links.greeting(child, 1, 'zone-00')
    ends.frames.append(
        control_pb2.Frame(hello=links.greeting(parent, 1, 'zone-00'))
    )
    links.greet_with(ends.link, hello)
    table.links.append(ends.link)
    sending = asyncio.ensure_future(ends.link.run())
    try:
        await ends.until_idle()
        yield ends
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


def total(frames: list[control_pb2.Frame]) -> int:
    return sum(frame.ByteSize() for frame in frames)


@pytest.mark.parametrize(
    ('interest', 'delta_bytes', 'whole_bytes'),
    [
        pytest.param(config.EVERYTHING, 550, 48_000, id='relay'),
        pytest.param(LEAF, 550, 34_000, id='ingress-leaf'),
        pytest.param(
            config.Interest(hosted=frozenset({'orders-006'})),
            500,
            3_000,
            id='leaf-without-ingress',
        ),
    ],
)
async def test_text_change_costs_a_link_one_small_message(
    interest: config.Interest, delta_bytes: int, whole_bytes: int
) -> None:
    parent = fleets.full_replica('parent', config.EVERYTHING, 20)
    child = fleets.replica('child', interest)
    async with joined(parent, child) as ends:
        whole = sum(frame.facts.config.ByteSize() for frame in ends.frames)
        assert 0 < whole <= whole_bytes
        for number in range(0, len(parent.version.services), 5):
            ends.frames.clear()
            parent.offer_whole(
                fleets.changed_version(parent.version, number), 'store'
            )
            await ends.until_idle()
            assert len(ends.frames) == 1
            assert total(ends.frames) <= delta_bytes
            assert child.version.revision == parent.version.revision
        assert child.version == parent.version.scoped(interest)


async def test_member_change_costs_a_link_one_record() -> None:
    parent = fleets.full_replica('parent', config.EVERYTHING, 20)
    child = fleets.replica('child', LEAF)
    async with joined(parent, child) as ends:
        record = next(fleets.records(1, 1))
        for sequence in range(10, 20):
            ends.frames.clear()
            changed = members.MemberRecord(
                **{
                    **{
                        name: getattr(record, name)
                        for name in members.MemberRecord.__dataclass_fields__
                    },
                    'sequence': sequence,
                }
            )
            parent.offer_member(changed, 'another')
            await ends.until_idle()
            assert len(ends.frames) == 1
            assert total(ends.frames) <= 110


async def test_facts_that_come_together_leave_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A rack's loss costs each child one message.

    It is some forty records; sent one by one they would cost each of
    sixteen children forty messages.
    """
    # Long enough that a stall of a busy machine cannot part the records.
    monkeypatch.setattr(links, 'GATHER_S', 1.0)
    parent = fleets.full_replica('parent', config.EVERYTHING, 20)
    child = fleets.replica('child', LEAF)
    async with joined(parent, child) as ends:
        ends.frames.clear()
        for record in list(fleets.records(60))[20:]:
            parent.offer_member(record, 'another')
            # Each record comes with a message of its own.
            for _ in range(5):
                await asyncio.sleep(0)
        await ends.until_idle()
        assert len(ends.frames) == 1


async def test_join_of_a_fresh_daemon_is_a_dozen_messages() -> None:
    parent = fleets.full_replica('parent', config.EVERYTHING)
    child = fleets.replica('child', LEAF)
    async with joined(parent, child) as ends:
        assert len(child.fleet.records) == fleets.HOSTS
        # The parent's own greeting carries 5,200 marks, then 500 records
        # go in each message.
        assert len(ends.frames) <= 1 + 11
        assert total(ends.frames) <= 680_000


def test_digest_grows_by_a_bounded_number_of_bytes_for_a_member() -> None:
    """A digest has 24 bytes for each member of the fleet.

    It is 124 KB at 5,200 members: the largest part of the control bytes,
    see docs/CAPACITY.md.
    """
    one = fleets.full_replica('host', config.EVERYTHING, 1000)
    marks = wire.marks_to_wire(one.fleet.marks())
    digest = control_pb2.Digest(host='host', marks=marks)
    assert digest.ByteSize() <= 26 * 1000


@pytest.mark.parametrize('relays', [2, 8, 22])
async def test_accepted_version_costs_no_store_call_of_a_relay(
    relays: int, etcd_store: conftest.StoreFactory
) -> None:
    """The store feels waiting watches and the operator's calls alone."""
    text = texts.mesh_text(20, 2)
    with contextlib.ExitStack() as stack:
        async with etcd_store() as under:
            following = []
            arrived: asyncio.Queue[int] = asyncio.Queue()
            for number in range(relays):
                one = fleets.replica(f'relay-{number}', config.EVERYTHING)
                one.changed.subscribe(_tell(arrived))
                source = sources.Source(
                    _own_store(stack, under),
                    'measured',
                    one,
                    one.counts,
                    random.Random(number),
                )
                following.append(source)
                source.follow_place(tree.Place(True, True, ()))
            await _until(lambda: under.platform.counts['watching'] == relays)
            before = dict(under.platform.counts)
            head = await _accept(under.store, text, 0)
            for _ in range(relays):
                assert await arrived.get() == head
            grown = {
                name: count - before.get(name, 0)
                for name, count in under.platform.counts.items()
                if count != before.get(name, 0)
            }
            assert grown == {'kv/range': 1, 'kv/txn': 1}
            for source in following:
                assert source.watching is not None
                source.watching.cancel()


def _own_store(stack: contextlib.ExitStack, under: Any) -> Any:
    """Return an adapter of its own; each daemon has one."""
    return stack.enter_context(
        etcd.etcd_store(under.store.endpoints, 5.0, 30.0, counters.Counters())
    )


def _tell(
    arrived: 'asyncio.Queue[int]',
) -> Callable[[replicas.FactChange], None]:
    def tell(change: replicas.FactChange) -> None:
        if change.version is not None:
            arrived.put_nowait(change.version.revision)

    return tell


async def _until(holds: Callable[[], bool]) -> None:
    async def poll() -> None:
        while not holds():
            await asyncio.sleep(0.005)

    await asyncio.wait_for(poll(), 30)


async def _accept(store: Any, text: str, base: int) -> int:
    proposed = versions.Accepted(0, 0, 'w1', 'o', '', 0.0, base, text)
    won = await versions.accept(store, 'measured', proposed, asyncio.sleep)
    assert isinstance(won, versions.Won)
    return won.revision


async def test_bootstrap_record_costs_one_write_a_period(
    etcd_store: conftest.StoreFactory,
) -> None:
    hosts = [f'h{number}' for number in range(ZONE_HOSTS)]
    due = tree.seed_hosts('zone-00', hosts, seeds.SEEDS_PER_ZONE)
    assert len(due) == 8
    async with etcd_store() as under:
        record = next(fleets.records(1, 1))
        keeper = seeds.SeedKeeper(
            under.store, 'measured', 5.0, counters.Counters()
        )
        assert await keeper.tick(record, [record.host])
        before = sum(under.platform.counts.values())
        for _ in range(5):
            assert await keeper.tick(record, [record.host])
        assert sum(under.platform.counts.values()) - before == 5
        assert under.platform.counts['lease/keepalive'] == 5


class Neighbours:
    """The zone as a prober sees it."""

    def __init__(self, count: int) -> None:
        self.records = {
            record.host: record for record in fleets.records(count, 1)
        }

    def record_of(self, host: str) -> members.MemberRecord | None:
        return self.records.get(host)

    def live_in_zone(self) -> list[members.MemberRecord]:
        return list(self.records.values())

    def offer(self, record: members.MemberRecord) -> None:
        self.records[record.host] = record


class Wire:
    """Takes datagrams; answers each probe at once, or none."""

    def __init__(self, prober: probing.Prober, answers: bool) -> None:
        self.prober = prober
        self.answers = answers
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, address: probing.Address) -> None:
        self.sent.append(data)
        probe = control_pb2.Probe.FromString(data)
        if self.answers:
            ack = control_pb2.Probe(
                kind=probing.ACK, nonce=probe.nonce, source=probe.subject
            )
            self.prober.received(ack.SerializeToString(), address)


@pytest.mark.parametrize(
    ('answers', 'datagrams'),
    [
        pytest.param(True, 1, id='answered'),
        pytest.param(False, 1 + 3, id='silent-so-three-others-probe'),
    ],
)
async def test_probing_costs_the_same_in_a_zone_of_any_size(
    answers: bool, datagrams: int
) -> None:
    clock = timers.TimerService(random.Random(1))
    for hosts in (12, ZONE_HOSTS):
        prober = probing.Prober(
            'zone-00-0',
            Neighbours(hosts),
            clock,
            counters.Counters(),
            random.Random(1),
            1.0,
            0.001,
            4.0,
        )
        prober.encode = wire.member_to_wire
        prober.decode = wire.member_from_wire
        transport = Wire(prober, answers)
        prober.transport = transport  # type: ignore[assignment]
        await prober.tick()
        assert len(transport.sent) == datagrams
        assert all(len(data) <= 50 for data in transport.sent)


def test_streams_of_each_role_stay_within_their_bounds() -> None:
    """Streams at a parent or relay bound its messages for a change."""
    hosts = [f'zone-00-{number}' for number in range(ZONE_HOSTS)]
    places = {host: tree.place_of(host, 'zone-00', hosts) for host in hosts}
    children: dict[str, int] = {}
    for place in places.values():
        if place.parents:
            first = place.parents[0]
            children[first] = children.get(first, 0) + 1
    relays = [host for host, place in places.items() if place.relay]
    assert len(relays) == 2
    assert max(children.values()) <= 32
    zones = [
        tree.ZoneRelays(f'zone-{n:02d}', (f'a{n}', f'b{n}'))
        for n in range(1, fleets.ZONES)
    ]
    calls = tree.links_between_zones(relays[0], 'zone-00', zones)
    assert len(calls) == fleets.ZONES - 1


def test_delta_is_a_hundredth_of_the_whole() -> None:
    base = fleets.version()
    whole = wire.update_to_wire(
        version_rules.difference(config.NO_CONFIG, base)
    )
    after = fleets.changed_version(base, 3)
    delta = wire.update_to_wire(version_rules.difference(base, after))
    assert delta.ByteSize() * 80 < whole.ByteSize()
