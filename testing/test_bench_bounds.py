"""Bounds on bytes, messages and store calls; never on times.

Each bound stands a little above what is measured now, so that a change
which makes the control plane heavier fails here before it reaches a
fleet.  docs/CAPACITY.md works out what each figure costs at full size.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
from typing import Any

from grpc import aio
import pytest

from bench import fleets
from bench import texts
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import tree
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server
from peridotpost.distribution import source as sources
from peridotpost.distribution import streams
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.kernel import timers
from peridotpost.membership import pings
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.store import etcd
from peridotpost.store import versions
from testing import conditions
from testing import conftest
from testing import fleets as nodes

ZONE_HOSTS = 473
LEAF = config.Interest(ingress=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Messages and bytes, both directions together."""

    messages: int
    size: int


def exchange(pipe: nodes.Pipe) -> Cost:
    """Let both ends tell each other all they owe; return what it cost."""
    before = pipe.bytes_sent
    messages = nodes.run_until_quiet([pipe])
    return Cost(messages, pipe.bytes_sent - before)


def joined(
    interest: config.Interest, hosts: int = 20
) -> tuple[nodes.Pipe, nodes.Node, nodes.Node]:
    """Return a stream, quiet by now, from a child to its parent."""
    parent = fleets.full_node('parent', config.EVERYTHING, hosts)
    child = nodes.Node('child', interest)
    pipe = nodes.Pipe(child, parent)
    exchange(pipe)
    return pipe, child, parent


def later(record: members.MemberRecord) -> members.MemberRecord:
    return dataclasses.replace(record, sequence=record.sequence + 1)


@pytest.mark.parametrize(
    ('interest', 'delta_bytes', 'whole_bytes'),
    [
        pytest.param(config.EVERYTHING, 570, 48_000, id='relay'),
        pytest.param(LEAF, 570, 34_000, id='ingress-leaf'),
        pytest.param(
            config.Interest(hosted=frozenset({'orders-006'})),
            540,
            3_000,
            id='leaf-without-ingress',
        ),
    ],
)
def test_text_change_costs_a_link_its_delta_and_a_word_of_progress(
    interest: config.Interest, delta_bytes: int, whole_bytes: int
) -> None:
    pipe, child, parent = joined(interest)
    target = version_rules.Holding(
        parent.replica.version.scoped(interest), interest
    )
    whole = version_rules.difference(config.NO_CONFIG, target)
    assert wire.update_to_wire(whole).ByteSize() <= whole_bytes
    for number in range(len(parent.replica.version.services)):
        held = parent.replica.version
        parent.hold(fleets.changed_version(held, number))
        cost = exchange(pipe)
        assert cost.messages == 2
        assert cost.size <= delta_bytes
    assert child.replica.version == parent.replica.version.scoped(interest)


def test_member_change_costs_a_link_one_record() -> None:
    pipe, child, parent = joined(LEAF)
    for record in fleets.records(20):
        parent.learn([later(record)])
        cost = exchange(pipe)
        assert cost.messages == 1
        assert cost.size <= 110
    assert child.replica.fleet == parent.replica.fleet


async def test_facts_that_come_together_leave_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A rack's loss costs each child one message.

    It is some forty records; sent one by one they would cost each of
    sixteen children forty messages.
    """
    # Long enough that a stall of a busy machine cannot part the records.
    monkeypatch.setattr(streams, 'GATHER_S', 1.0)
    parent = fleets.full_node('parent', LEAF, 20)
    parent.replica.clock = timers.TimerService(random.Random(1))
    link = links.Link('child', parent.table, parent.counts)
    link.greeted = link.owes_greeting = True
    sent: asyncio.Queue[control_pb2.Frame] = asyncio.Queue()
    closing = asyncio.Event()

    async def read() -> Any:
        await closing.wait()
        return aio.EOF

    conversing = asyncio.ensure_future(
        streams.converse(link, read, sent.put, closing)
    )
    greeting = await asyncio.wait_for(sent.get(), 30)
    assert greeting.HasField('hello')
    for record in list(fleets.records(60))[20:]:
        parent.learn([record])
        # Each record comes with a message of its own.
        for _ in range(5):
            await asyncio.sleep(0)
    told = 0
    facts = 0
    while told < 40:
        frame = await asyncio.wait_for(sent.get(), 30)
        told += len(frame.facts.members)
        facts += frame.HasField('facts')
    closing.set()
    await conversing
    assert facts == 1


def test_join_of_a_fresh_daemon_costs_what_it_lacks() -> None:
    """5,200 records, 500 in a message, and little else."""
    parent = fleets.full_node('parent', config.EVERYTHING)
    child = nodes.Node('child', LEAF)
    cost = exchange(nodes.Pipe(child, parent))
    assert child.replica.fleet.records == parent.replica.fleet.records
    assert cost.messages <= 16
    assert cost.size <= 525_000


def test_join_of_a_daemon_that_lacks_nothing_costs_greetings() -> None:
    """A parent's death moves sixteen children.

    With the marks of all members in each greeting that was 248 KB a
    child.
    """
    parent = fleets.full_node('parent', config.EVERYTHING)
    child = fleets.full_node('child', LEAF)
    cost = exchange(nodes.Pipe(child, parent))
    assert cost.messages <= 3
    assert cost.size <= 800


@pytest.mark.parametrize(
    ('changed', 'size'),
    [
        pytest.param(0, 900, id='same-fleet'),
        pytest.param(1, 4_500, id='one-member-differs'),
    ],
)
async def test_reconciliation_costs_sums_and_the_buckets_that_differ(
    changed: int, size: int
) -> None:
    """With all members' marks it was 124 KB each, 24 KB/s a daemon."""
    mine = fleets.full_node('mine', LEAF)
    other = fleets.full_node('other', config.EVERYTHING)
    other.learn(later(record) for record in fleets.records(changed))
    servicer = server.ControlServicer(other.replica, other.table, other.counts)
    asker = reconcile.Reconciler(
        mine.replica, mine.counts, 'zone-00', random.Random(1)
    )
    async with server.serving(servicer, '127.0.0.1', 0) as port:
        assert await asker.ask(f'127.0.0.1:{port}')
    totals = mine.counts.totals
    spent = totals['reconcile.sent-bytes'] + totals['reconcile.received-bytes']
    assert spent <= size
    assert mine.replica.fleet.records == other.replica.fleet.records


async def test_idle_stream_costs_no_message() -> None:
    """A sign of life is a datagram; on the stream it took a core's share."""
    pipe, _, _ = joined(LEAF)
    for end in pipe.ends:
        await end.beat()
    cost = exchange(pipe)
    assert cost.messages == 0


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
                one = nodes.Node(f'relay-{number}').replica
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
            await conditions.until(
                lambda: under.platform.counts['watching'] == relays
            )
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


async def _accept(store: Any, text: str, base: int) -> int:
    proposed = versions.Accepted(0, 0, 'w1', 'o', '', 0.0, base, text)
    won = await versions.accept(store, 'measured', proposed, asyncio.sleep)
    assert isinstance(won, versions.Won)
    return won.revision


async def test_bootstrap_record_costs_one_write_a_period(
    etcd_store: conftest.StoreFactory,
) -> None:
    hosts = [f'h{number}' for number in range(ZONE_HOSTS)]
    due = tree.seed_hosts('zone-00', hosts, seed_rules.SEEDS_PER_ZONE)
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

    def live(self) -> list[members.MemberRecord]:
        return list(self.records.values())

    def offer(self, record: members.MemberRecord) -> None:
        self.records[record.host] = record


class Wire:
    """Takes datagrams; answers each probe at once, or none."""

    def __init__(self, prober: probing.Prober, answers: bool) -> None:
        self.prober = prober
        self.answers = answers
        self.sent: list[bytes] = []

    def sendto(self, data: bytes, address: pings.Address) -> None:
        self.sent.append(data)
        probe = control_pb2.Probe.FromString(data)
        if self.answers:
            ack = control_pb2.Probe(
                kind=pings.ACK,
                nonce=probe.nonce,
                source=probe.subject,
                subject=probe.subject,
            )
            self.prober.pings.received(ack.SerializeToString(), address)


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
            'zone-00',
            Neighbours(hosts),
            clock,
            counters.Counters(),
            random.Random(1),
            1.0,
            0.001,
            4.0,
        )
        prober.pings.encode = wire.member_to_wire
        prober.pings.decode = wire.member_from_wire
        transport = Wire(prober, answers)
        prober.pings.transport = transport  # type: ignore[assignment]
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
    calls = tree.links_between_zones(relays[0], 'zone-00', hosts, zones)
    assert len(calls) == fleets.ZONES - 1
