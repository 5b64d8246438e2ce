"""One standing exchange of facts between two daemons, on either side.

A link keeps no queue of messages: only which facts its peer may lack.
When the peer can take more, the present state of those facts is sent, so
a slow peer costs a bounded memory and skips versions that were overtaken.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping

from peridotpost.decisions import versions
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members

GATHER_S = 0.02
"""Facts that arrive within this time leave in one message: a rack's loss
is some forty records, and each hop of the tree adds this once."""
MEMBERS_PER_MESSAGE = 500

Send = Callable[[control_pb2.Frame], Awaitable[None]]


class Link:
    """The sending half of a link and what its peer is known to hold."""

    def __init__(
        self,
        peer: str,
        replica: replicas.Replica,
        write: Send,
        counts: counters.Counters,
    ) -> None:
        self.peer = peer
        self.replica = replica
        self.write = write
        self.writing = asyncio.Lock()
        self.counts = counts
        self.interest = config.Interest()
        self.peer_version = config.NO_CONFIG
        self.dirty_hosts: set[str] = set()
        self.dirty_config = False
        self.wake = asyncio.Event()

    async def send(self, frame: control_pb2.Frame) -> None:
        """Send one frame; gRPC allows one write at a time on a stream."""
        async with self.writing:
            await self.write(frame)

    def greet(
        self,
        interest: config.Interest,
        revision: int,
        digest: bytes,
        marks: Mapping[str, members.MemberMark],
    ) -> None:
        """Take in what the peer says it holds; mark what it lacks."""
        self.interest = interest
        scoped = self.replica.version.scoped(interest)
        same = scoped.revision == revision and scoped.digest == digest
        self.peer_version = scoped if same else config.NO_CONFIG
        self.dirty_config = revision <= scoped.revision and not same
        self.dirty_hosts.update(
            one.host for one in self.replica.fleet.newer_than(marks)
        )
        self.wake.set()

    def note(self, change: replicas.FactChange) -> None:
        """Mark a fact that is new here, unless this peer brought it."""
        if change.source == self.peer:
            return
        if change.member is not None:
            self.dirty_hosts.add(change.member.host)
        if change.version is not None:
            self.dirty_config = True
        self.wake.set()

    def ask_whole(self) -> None:
        """Forget what the peer holds, as it asked for the whole."""
        self.peer_version = config.NO_CONFIG
        self.dirty_config = True
        self.wake.set()

    async def run(self) -> None:
        """Send what the peer lacks, for as long as the link stands."""
        while True:
            await self.wake.wait()
            await asyncio.sleep(GATHER_S)
            self.wake.clear()
            while self.dirty_config or self.dirty_hosts:
                facts = self._take_facts()
                if facts is None:
                    break
                self.counts.add('link.sent-bytes', facts.ByteSize())
                self.counts.add('link.sent-messages')
                await self.send(control_pb2.Frame(facts=facts))

    def _take_facts(self) -> control_pb2.Facts | None:
        update = self._take_config()
        hosts = sorted(self.dirty_hosts)[:MEMBERS_PER_MESSAGE]
        self.dirty_hosts.difference_update(hosts)
        records = self.replica.fleet.records
        found = [records[host] for host in hosts if host in records]
        if update is None and not found:
            return None
        return control_pb2.Facts(
            config=update,
            members=[wire.member_to_wire(record) for record in found],
        )

    def _take_config(self) -> control_pb2.Config | None:
        if not self.dirty_config:
            return None
        self.dirty_config = False
        held = self.replica.version
        if held.revision == 0 or held.revision < self.peer_version.revision:
            return None
        if not holds(self.replica.interest, self.interest):
            # A peer with a wider scope than ours would take our part of
            # a version for the whole.
            return None
        scoped = held.scoped(self.interest)
        if scoped == self.peer_version:
            return None
        base = self.peer_version
        if base.revision == scoped.revision:
            base = config.NO_CONFIG
        self.peer_version = scoped
        return wire.update_to_wire(versions.difference(base, scoped))

    def receive(self, facts: control_pb2.Facts) -> bool:
        """Take in the peer's facts; False when the whole is needed.

        :raises errors.CodecError: they cannot be read; nothing is kept.
        """
        self.counts.add('link.received-bytes', facts.ByteSize())
        self.counts.add('link.received-messages')
        records = [wire.member_from_wire(one) for one in facts.members]
        verdict = versions.Verdict.STALE
        if facts.HasField('config'):
            update = wire.update_from_wire(facts.config)
            verdict = self.replica.offer_config(update, self.peer)
        for record in records:
            self.replica.offer_member(record, self.peer)
        if verdict is versions.Verdict.APPLIED:
            held = self.replica.version
            if holds(self.replica.interest, self.interest):
                self.peer_version = held.scoped(self.interest)
        return verdict is not versions.Verdict.NEED_WHOLE


def holds(mine: config.Interest, other: config.Interest) -> bool:
    """Whether a holder of `mine` holds all that `other` needs."""
    if mine.everything:
        return True
    if other.everything or (other.ingress and not mine.ingress):
        return False
    return other.hosted <= mine.hosted


class LinkTable:
    """Every link of this daemon; passes on each fact that is new."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.links: list[Link] = []
        replica.changed.subscribe(self.spread)

    def spread(self, change: replicas.FactChange) -> None:
        for link in self.links:
            link.note(change)


def greeting(
    replica: replicas.Replica, incarnation: int, zone: str
) -> control_pb2.Hello:
    """Return what this daemon says of itself when a link begins."""
    return control_pb2.Hello(
        host=replica.host,
        availability_zone=zone,
        incarnation=incarnation,
        revision=replica.version.revision,
        config_digest=replica.version.digest,
        interest=wire.interest_to_wire(replica.interest),
        marks=wire.marks_to_wire(replica.fleet.marks()),
    )


def greet_with(link: Link, hello: control_pb2.Hello) -> None:
    """Apply the peer's greeting to `link`.

    :raises errors.CodecError: the greeting cannot be read.
    """
    if not hello.host:
        raise errors.CodecError(
            'the greeting names no host', step='link.greet', peer=link.peer
        )
    link.greet(
        wire.interest_from_wire(hello.interest),
        hello.revision,
        hello.config_digest,
        wire.marks_from_wire(hello.marks),
    )
