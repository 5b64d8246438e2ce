"""Replicas whose frames are delayed, reordered, repeated, damaged or lost.

A state machine drives a few daemons of one distribution tree: versions are
accepted and read late, scopes change, processes restart, members join, are
suspected and die, while frames wait, repeat or are damaged, and streams
break and lose the frames in flight.  After each step no replica has gone
back to an older revision, holds an incomplete version or has a route without
a target; once all faults are repaired, all replicas agree.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from peridotpost.decisions import versions
from peridotpost.generated import control_pb2
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members
from peridotpost.model import routing
from testing import distribution_harness

SERVICES = ('a', 'b', 'c', 'd')
HOSTS = ('relay', 'middle', 'leaf-1', 'leaf-2')
PARENTS = {'middle': 'relay', 'leaf-1': 'middle', 'leaf-2': 'relay'}
LEAVES = ('leaf-1', 'leaf-2')
DAMAGE_KINDS = (
    'revision',
    'base',
    'service',
    'removed',
    'scope',
    'digest',
    'zones',
    'write',
    'body',
)
hosts = st.sampled_from(HOSTS)
children = st.sampled_from(sorted(PARENTS))
sides = st.integers(0, 1)
texts = st.dictionaries(
    st.sampled_from(SERVICES), st.sets(st.sampled_from(SERVICES)), max_size=4
)


def damage(update: control_pb2.Config, damage_kind: str) -> None:
    """Change one field of an update, as a faulty peer might."""
    if damage_kind == 'revision':
        update.revision += 1
    elif damage_kind == 'base':
        update.base_revision = 0 if update.base_revision else 1
    elif damage_kind == 'service' and update.services:
        del update.services[0]
    elif damage_kind == 'removed':
        update.removed.append(SERVICES[0])
    elif damage_kind == 'scope':
        update.scope.everything = not update.scope.everything
    elif damage_kind == 'digest':
        update.digest = bytes(32)
    elif damage_kind == 'zones':
        update.availability_zones.append('z9')
    elif damage_kind == 'write':
        update.write_id += '!'
    elif damage_kind == 'body' and update.services:
        update.services[0].body = b'{"name": "a"}'


class ReplicaMachine(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.accepted = {0: config.NO_CONFIG}
        self.nodes = {host: self.new_node(host) for host in HOSTS}
        self.pipes: dict[str, distribution_harness.Pipe] = {}
        self.highest_revision: dict[str, int] = dict.fromkeys(HOSTS, 0)
        for child in PARENTS:
            self.connect(child)
        self.accept({'a': {'b'}, 'c': {'d'}}, read=True)
        distribution_harness.run_until_idle(list(self.pipes.values()))

    def new_node(self, host: str) -> distribution_harness.Node:
        scope = (
            distribution_harness.hosting_interest('a')
            if host in LEAVES
            else config.EVERYTHING
        )
        node = distribution_harness.Node(host, scope)
        node.add_records([distribution_harness.member(host, service='a')])
        return node

    def connect(self, child: str) -> None:
        parent = self.nodes[PARENTS[child]]
        self.pipes[child] = distribution_harness.Pipe(
            self.nodes[child], parent
        )

    @stateful.rule(text=texts, read=st.booleans())
    def accept(self, text: dict[str, set[str]], read: bool) -> None:
        all_services = set(text).union(*text.values())
        services = {name: sorted(text.get(name, ())) for name in all_services}
        revision = max(self.accepted) + 3
        self.accepted[revision] = distribution_harness.version(
            revision, services
        )
        if read:
            self.nodes['relay'].offer_version(self.accepted[revision])

    @stateful.rule(late=st.integers(0, 3))
    def read_store(self, late: int) -> None:
        newest_first = sorted(self.accepted, reverse=True)
        revision = newest_first[min(late, len(newest_first) - 1)]
        self.nodes['relay'].offer_version(self.accepted[revision])

    @stateful.rule(child=children, side=sides)
    def send(self, child: str, side: int) -> None:
        self.pipes[child].send(side)

    @stateful.rule(child=children, side=sides, count=st.integers(1, 3))
    def deliver(self, child: str, side: int, count: int) -> None:
        for _ in range(count):
            self.pipes[child].deliver(side)

    @stateful.rule(child=children)
    def exchange(self, child: str) -> None:
        distribution_harness.run_until_idle([self.pipes[child]])

    @stateful.rule(child=children, side=sides)
    def repeat(self, child: str, side: int) -> None:
        waiting = self.pipes[child].undelivered[side]
        if waiting:
            waiting.append(waiting[0])

    @stateful.rule(
        child=children, side=sides, damage_kind=st.sampled_from(DAMAGE_KINDS)
    )
    def damage_next(self, child: str, side: int, damage_kind: str) -> None:
        """Damage and deliver the next pending configuration, if any."""
        self.pipes[child].send(side)
        waiting = self.pipes[child].undelivered[side]
        frame = control_pb2.Frame()
        for position, data in enumerate(waiting):
            frame.ParseFromString(data)
            if not frame.facts.HasField('config'):
                continue
            damage(frame.facts.config, damage_kind)
            waiting[position] = frame.SerializeToString()
            self.deliver_or_break(child, side, position + 1)
            return

    def deliver_or_break(self, child: str, side: int, count: int) -> None:
        """Deliver frames; one that can't be decoded closes the stream."""
        try:
            self.deliver(child, side, count)
        except errors.CodecError:
            self.break_stream(child)

    @stateful.rule(child=children)
    def break_stream(self, child: str) -> None:
        self.pipes[child].close()
        self.connect(child)

    @stateful.rule(host=hosts)
    def restart(self, host: str) -> None:
        self.nodes[host] = self.new_node(host)
        self.highest_revision[host] = 0
        for child, parent in PARENTS.items():
            if host in (child, parent):
                self.break_stream(child)

    @stateful.rule(
        host=st.sampled_from(LEAVES),
        hosted=st.sets(st.sampled_from(SERVICES)),
    )
    def change_scope(self, host: str, hosted: set[str]) -> None:
        replica = self.nodes[host].replica
        replica.set_interest(distribution_harness.hosting_interest(*hosted))

    @stateful.rule(is_parent=st.booleans())
    def change_position(self, is_parent: bool) -> None:
        scope = (
            config.EVERYTHING
            if is_parent
            else distribution_harness.hosting_interest('a')
        )
        self.nodes['middle'].replica.set_interest(scope)

    @stateful.rule(
        at=hosts,
        host=st.sampled_from((*HOSTS, 'other')),
        status=st.sampled_from(members.Status),
        incarnation_increment=st.integers(0, 1),
        service=st.sampled_from(SERVICES),
    )
    def learn_member(
        self,
        at: str,
        host: str,
        status: members.Status,
        incarnation_increment: int,
        service: str,
    ) -> None:
        held = self.nodes[at].replica.fleet.records.get(host)
        record = held or distribution_harness.member(host, service=service)
        updated = dataclasses.replace(
            record,
            status=status,
            incarnation=record.incarnation + incarnation_increment,
        )
        self.nodes[at].add_records([updated])

    @stateful.invariant()
    def revision_never_decreases(self) -> None:
        for host, node in self.nodes.items():
            revision = node.replica.version.revision
            assert revision >= self.highest_revision[host]
            self.highest_revision[host] = revision

    @stateful.invariant()
    def held_version_is_complete(self) -> None:
        for node in self.nodes.values():
            held = node.replica.holding
            assert held.version.revision in self.accepted
            whole = self.accepted[held.version.revision]
            assert held.version == whole.narrow(held.scope)

    @stateful.invariant()
    def no_dangling_routes(self) -> None:
        for node in self.nodes.values():
            replica = node.replica
            live = {one.host for one in replica.fleet.live()}
            table = replica.table
            assert table.revision == replica.version.revision
            routing.check_no_dangling(table, replica.version, live)

    def teardown(self) -> None:
        """Reopen streams, read the newest version and exchange all frames."""
        self.change_position(True)
        for child in PARENTS:
            self.break_stream(child)
        newest = max(self.accepted)
        self.nodes['relay'].offer_version(self.accepted[newest])
        distribution_harness.run_until_idle(list(self.pipes.values()))
        sums = {
            tuple(n.replica.fleet.bucket_sums) for n in self.nodes.values()
        }
        assert len(sums) == 1
        for node in self.nodes.values():
            assert node.replica.version.revision == newest
            if newest:
                assert node.replica.scope == node.replica.interest
        progress = self.nodes['relay'].table.progress
        assert (progress.lowest_revision, progress.daemons) == (
            newest,
            len(HOSTS),
        )
        self.revision_never_decreases()
        self.held_version_is_complete()
        self.no_dangling_routes()


def test_replicas_converge_under_faults() -> None:
    stateful.run_state_machine_as_test(
        ReplicaMachine,
        settings=hypothesis.settings(
            max_examples=100,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_scope_digest_differs_even_where_services_match() -> None:
    # Two scopes select the same services of one version and different ones
    # of the next.  With equal scope digests, a parent would confuse their
    # children and send an update that misses services.
    held = distribution_harness.version(3, {'a': ['b'], 'b': []})
    one = distribution_harness.hosting_interest('a')
    other = distribution_harness.hosting_interest('a', 'b')
    assert held.narrow(one) == held.narrow(other)
    assert versions.scope_digest(held, one) != versions.scope_digest(
        held, other
    )
