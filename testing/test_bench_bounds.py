"""Bounds on bytes, messages and store calls, but not on times.

Each bound is slightly above the current value, so that a change that
increases the control plane's traffic fails here before it is deployed.
docs/CAPACITY.md computes the cost of each figure at design capacity.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
from typing import Any

from grpc import aio
import pytest

from bench import documents
from bench import fleets
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import tree
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server
from peridotpost.distribution import storewatcher as sources
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
from testing import distribution_harness as nodes

ZONE_HOSTS = 473
LEAF_INTEREST = config.Interest(ingress=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Messages and bytes, summed over both directions."""

    messages: int
    size: int


def exchange_all(pipe: nodes.Pipe) -> Cost:
    """Exchange all pending frames; return their number and size."""
    before = pipe.bytes_sent
    messages = nodes.run_until_idle([pipe])
    return Cost(messages, pipe.bytes_sent - before)


def connected_nodes(
    interest: config.Interest, hosts: int = 20
) -> tuple[nodes.Pipe, nodes.Node, nodes.Node]:
    """Return an idle stream between a child and its parent, and both."""
    parent = fleets.make_full_node('parent', config.EVERYTHING, hosts)
    child = nodes.Node('child', interest)
    pipe = nodes.Pipe(child, parent)
    exchange_all(pipe)
    return pipe, child, parent


def next_sequence(record: members.MemberRecord) -> members.MemberRecord:
    return dataclasses.replace(record, sequence=record.sequence + 1)


@pytest.mark.parametrize(
    ('interest', 'delta_bytes', 'whole_bytes'),
    [
        pytest.param(config.EVERYTHING, 570, 48_000, id='relay'),
        pytest.param(LEAF_INTEREST, 570, 34_000, id='ingress-leaf'),
        pytest.param(
            config.Interest(hosted=frozenset({'orders-006'})),
            540,
            3_000,
            id='leaf-without-ingress',
        ),
    ],
)
def test_document_change_sends_a_delta_and_a_progress_report(
    interest: config.Interest, delta_bytes: int, whole_bytes: int
) -> None:
    pipe, child, parent = connected_nodes(interest)
    target = version_rules.Holding(
        parent.replica.version.narrow(interest), interest
    )
    full_update = version_rules.make_update(config.NO_CONFIG, target)
    assert wire.update_to_wire(full_update).ByteSize() <= whole_bytes
    for number in range(len(parent.replica.version.services)):
        held = parent.replica.version
        parent.offer_version(fleets.changed_version(held, number))
        cost = exchange_all(pipe)
        assert cost.messages == 2
        assert cost.size <= delta_bytes
    assert child.replica.version == parent.replica.version.narrow(interest)


def test_member_change_sends_one_record() -> None:
    pipe, child, parent = connected_nodes(LEAF_INTEREST)
    for record in fleets.member_records(20):
        parent.add_records([next_sequence(record)])
        cost = exchange_all(pipe)
        assert cost.messages == 1
        assert cost.size <= 110
    assert child.replica.fleet == parent.replica.fleet


async def test_simultaneous_changes_are_sent_in_one_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The loss of a rack must be sent to each child in one message.

    It changes about forty records; sent one by one, these would be forty
    messages to each of sixteen children.
    """
    # Long enough that a stall of a busy machine does not split the batch.
    monkeypatch.setattr(streams, 'BATCH_DELAY_S', 1.0)
    parent = fleets.make_full_node('parent', LEAF_INTEREST, 20)
    parent.replica.clock = timers.TimerService(random.Random(1))
    link = links.Link('child', parent.table, parent.counts)
    link.hello_received = link.hello_due = True
    sent: asyncio.Queue[control_pb2.Frame] = asyncio.Queue()
    closing = asyncio.Event()

    async def read() -> Any:
        await closing.wait()
        return aio.EOF

    link_task = asyncio.ensure_future(
        streams.run_link(link, read, sent.put, closing)
    )
    hello = await asyncio.wait_for(sent.get(), 30)
    assert hello.HasField('hello')
    for record in list(fleets.member_records(60))[20:]:
        parent.add_records([record])
        # Let the link task run, so that the records arrive separately.
        for _ in range(5):
            await asyncio.sleep(0)
    sent_members = 0
    fact_messages = 0
    while sent_members < 40:
        frame = await asyncio.wait_for(sent.get(), 30)
        sent_members += len(frame.facts.members)
        fact_messages += frame.HasField('facts')
    closing.set()
    await link_task
    assert fact_messages == 1


def test_join_of_a_new_daemon_sends_each_record_once() -> None:
    """The join sends 5,200 records, 500 per message, and little else."""
    parent = fleets.make_full_node('parent', config.EVERYTHING)
    child = nodes.Node('child', LEAF_INTEREST)
    cost = exchange_all(nodes.Pipe(child, parent))
    assert child.replica.fleet.records == parent.replica.fleet.records
    assert cost.messages <= 16
    assert cost.size <= 525_000


def test_join_of_an_up_to_date_daemon_sends_only_hello_messages() -> None:
    """A join must not send the version of every member record.

    When a parent fails, its sixteen children join another parent.  With the
    versions of all members in each hello message, that was 248 KB per child.
    """
    parent = fleets.make_full_node('parent', config.EVERYTHING)
    child = fleets.make_full_node('child', LEAF_INTEREST)
    cost = exchange_all(nodes.Pipe(child, parent))
    assert cost.messages <= 3
    assert cost.size <= 800


@pytest.mark.parametrize(
    ('changed', 'size'),
    [
        pytest.param(0, 900, id='same-fleet'),
        pytest.param(1, 4_500, id='one-member-differs'),
    ],
)
async def test_reconciliation_sends_checksums_and_differing_buckets(
    changed: int, size: int
) -> None:
    """Sending all record versions took 124 KB each, 24 KB/s per daemon."""
    local = fleets.make_full_node('mine', LEAF_INTEREST)
    remote = fleets.make_full_node('other', config.EVERYTHING)
    remote.add_records(
        next_sequence(record) for record in fleets.member_records(changed)
    )
    servicer = server.ControlServicer(
        remote.replica, remote.table, remote.counts
    )
    reconciler = reconcile.Reconciler(
        local.replica, local.counts, 'zone-00', random.Random(1)
    )
    async with server.serving(servicer, '127.0.0.1', 0) as port:
        assert await reconciler.fetch_facts(f'127.0.0.1:{port}')
    totals = local.counts.totals
    total_bytes = (
        totals['reconcile.sent-bytes'] + totals['reconcile.received-bytes']
    )
    assert total_bytes <= size
    assert local.replica.fleet.records == remote.replica.fleet.records


async def test_idle_stream_sends_no_message() -> None:
    """Heartbeats are datagrams; on the stream they took notable CPU time."""
    pipe, _, _ = connected_nodes(LEAF_INTEREST)
    for end in pipe.ends:
        await end.check_heartbeat()
    cost = exchange_all(pipe)
    assert cost.messages == 0


@pytest.mark.parametrize('relays', [2, 8, 22])
async def test_accepted_version_causes_no_store_calls_by_relays(
    relays: int, etcd_store: conftest.StoreFactory
) -> None:
    """The store sees only open watches and the operator's calls."""
    document = documents.generate_document(20, 2)
    with contextlib.ExitStack() as stack:
        async with etcd_store() as backend:
            watchers = []
            arrived: asyncio.Queue[int] = asyncio.Queue()
            for number in range(relays):
                replica = nodes.Node(f'relay-{number}').replica
                replica.changed.subscribe(_queue_revisions(arrived))
                source = sources.StoreWatcher(
                    _open_store(stack, backend),
                    'measured',
                    replica,
                    replica.counts,
                    random.Random(number),
                )
                watchers.append(source)
                source.set_position(tree.TreePosition(True, True, ()))
            await conditions.until(
                lambda: backend.platform.counts['watching'] == relays
            )
            before = dict(backend.platform.counts)
            head = await _accept(backend.store, document, 0)
            for _ in range(relays):
                assert await arrived.get() == head
            increases = {
                name: count - before.get(name, 0)
                for name, count in backend.platform.counts.items()
                if count != before.get(name, 0)
            }
            assert increases == {'kv/range': 1, 'kv/txn': 1}
            for source in watchers:
                assert source.watching is not None
                source.watching.cancel()


def _open_store(stack: contextlib.ExitStack, backend: Any) -> Any:
    """Open a separate store adapter, as each daemon has its own."""
    return stack.enter_context(
        etcd.etcd_store(
            backend.store.endpoints, 5.0, 30.0, counters.Counters()
        )
    )


def _queue_revisions(
    arrived: 'asyncio.Queue[int]',
) -> Callable[[replicas.FactChange], None]:
    def queue_revision(change: replicas.FactChange) -> None:
        if change.version is not None:
            arrived.put_nowait(change.version.revision)

    return queue_revision


async def _accept(store: Any, document: str, base: int) -> int:
    proposed = versions.AcceptedVersion(
        0, 0, 'w1', 'o', '', 0.0, base, document
    )
    result = await versions.accept(store, 'measured', proposed, asyncio.sleep)
    assert isinstance(result, versions.Committed)
    return result.revision


async def test_seed_record_costs_one_write_per_period(
    etcd_store: conftest.StoreFactory,
) -> None:
    hosts = [f'h{number}' for number in range(ZONE_HOSTS)]
    seed_hosts = tree.seed_hosts('zone-00', hosts, seed_rules.SEEDS_PER_ZONE)
    assert len(seed_hosts) == 8
    async with etcd_store() as backend:
        record = next(fleets.member_records(1, 1))
        keeper = seeds.SeedKeeper(
            backend.store, 'measured', 5.0, counters.Counters()
        )
        assert await keeper.tick(record, [record.host])
        before = sum(backend.platform.counts.values())
        for _ in range(5):
            assert await keeper.tick(record, [record.host])
        assert sum(backend.platform.counts.values()) - before == 5
        assert backend.platform.counts['lease/keepalive'] == 5


class FakeMemberView:
    """Member view of a prober, with all members alive."""

    def __init__(self, count: int) -> None:
        self.records = {
            record.host: record for record in fleets.member_records(count, 1)
        }

    def record_of(self, host: str) -> members.MemberRecord | None:
        return self.records.get(host)

    def live(self) -> list[members.MemberRecord]:
        return list(self.records.values())

    def offer(self, record: members.MemberRecord) -> None:
        self.records[record.host] = record


class FakeTransport:
    """Records datagrams; answers every probe at once or none."""

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
async def test_probing_cost_is_independent_of_zone_size(
    answers: bool, datagrams: int
) -> None:
    clock = timers.TimerService(random.Random(1))
    for hosts in (12, ZONE_HOSTS):
        prober = probing.Prober(
            'zone-00-0',
            'zone-00',
            FakeMemberView(hosts),
            clock,
            counters.Counters(),
            random.Random(1),
            1.0,
            0.001,
            4.0,
        )
        prober.pings.encode = wire.member_to_wire
        prober.pings.decode = wire.member_from_wire
        transport = FakeTransport(prober, answers)
        prober.pings.transport = transport  # type: ignore[assignment]
        await prober.tick()
        assert len(transport.sent) == datagrams
        assert all(len(data) <= 50 for data in transport.sent)


def test_stream_counts_of_each_role_are_bounded() -> None:
    """The streams of a parent or relay bound its messages per change."""
    hosts = [f'zone-00-{number}' for number in range(ZONE_HOSTS)]
    positions = {
        host: tree.position_of(host, 'zone-00', hosts) for host in hosts
    }
    children: dict[str, int] = {}
    for position in positions.values():
        if position.parents:
            first = position.parents[0]
            children[first] = children.get(first, 0) + 1
    relays = [host for host, place in positions.items() if place.relay]
    assert len(relays) == 2
    assert max(children.values()) <= 32
    zones = [
        tree.ZoneRelays(f'zone-{n:02d}', (f'a{n}', f'b{n}'))
        for n in range(1, fleets.ZONES)
    ]
    cross_zone_links = tree.links_between_zones(
        relays[0], 'zone-00', hosts, zones
    )
    assert len(cross_zone_links) == fleets.ZONES - 1
