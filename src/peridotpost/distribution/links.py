"""State of the long-lived exchange of facts between two daemons.

A link queues no messages.  It tracks which facts the peer may lack and
sends their current state when the peer can receive more, so a slow peer
takes bounded memory and skips superseded versions.

A :class:`Link` does no I/O: `next_frame` returns what to send and
`handle_frame` processes what was received.  So tests can delay, reorder,
repeat and corrupt frames without a network.  ``streams`` does the I/O.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator

from peridotpost.decisions import progress
from peridotpost.decisions import versions
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.model import members

MEMBERS_PER_MESSAGE = 500
Ping = Callable[[str], Awaitable[bool]]
"""Probes a host by name; returns whether it responded."""
MAX_MISSED_HEARTBEATS = 3
"""Heartbeats without a sign of life from the peer that end a link.
Heartbeats of this process are counted instead of seconds, so that a
process which was paused does not consider its peers silent."""


class LinkTable:
    """All links of this daemon; forwards each new fact to them."""

    def __init__(
        self,
        replica: replicas.Replica,
        incarnation: int = 0,
        zone: str = '',
    ) -> None:
        self.replica = replica
        self.incarnation = incarnation
        self.zone = zone
        self.links: list[Link] = []
        replica.changed.subscribe(self.forward)
        replica.interest_changed.subscribe(lambda _: self.resend_hello())

    @property
    def progress(self) -> progress.Progress:
        """Lowest revision in force here and in the subtrees reported here."""
        subtrees = [link.subtree_progress for link in self.links]
        revision = self.replica.version.revision
        return progress.combine(self.replica.host, revision, subtrees)

    def attach(self, link: 'Link') -> None:
        self.links.append(link)
        self.report_progress()

    def detach(self, link: 'Link') -> None:
        self.links.remove(link)
        self.report_progress()

    def forward(self, change: replicas.FactChange) -> None:
        """Mark a changed fact for sending on every link."""
        for link in self.links:
            link.mark_changed(change)
        if change.version is not None:
            self.report_progress()

    def report_progress(self) -> None:
        """Report the progress of this subtree to the parent if it changed."""
        for link in self.links:
            if (
                link.reports_progress
                and link.reported_progress != self.progress
            ):
                link.wake.set()

    def resend_hello(self) -> None:
        """Send every peer a Hello with the changed interest."""
        for link in self.links:
            link.hello_due = True
            link.wake.set()


class Link:
    """What one peer is known to hold and which facts it has yet to receive.

    :param dialled: this side opened the stream; the other side sends the
        checksums of its member buckets.
    :param reports_progress: progress is reported to the peer, which is this
        daemon's parent in the tree or the first relay of its zone.
    """

    def __init__(
        self,
        peer: str,
        table: LinkTable,
        counts: counters.Counters,
        *,
        dialled: bool = False,
        reports_progress: bool = False,
    ) -> None:
        self.peer = peer
        self.table = table
        self.replica = table.replica
        self.counts = counts
        self.dialled = dialled
        self.reports_progress = reports_progress
        self.interest = config.Interest()
        self.peer_version = config.NO_CONFIG
        self.hello_received = False
        self.dirty_hosts: set[str] = set()
        self.dirty_config = False
        self.dirty_buckets: frozenset[int] = frozenset()
        self.hosts_to_request: set[str] = set()
        self.hello_due = False
        self.need_whole_due = False
        self.ping: Ping | None = None
        self.reported_progress: progress.Progress | None = None
        self.subtree_progress = progress.NO_PROGRESS
        self.heard_since_heartbeat = True
        self.missed_heartbeats = 0
        self.wake = asyncio.Event()
        self.ended = asyncio.Event()

    def mark_changed(self, change: replicas.FactChange) -> None:
        """Mark a changed fact for sending unless it came from this peer."""
        if change.source == self.peer:
            return
        if change.member is not None:
            self.dirty_hosts.add(change.member.host)
        if change.version is not None:
            self.dirty_config = True
        self.wake.set()

    async def check_heartbeat(self) -> None:
        """Probe the peer and end the link after too many missed heartbeats.

        This detects a peer that hangs or is partitioned while its
        connection stays open.  Neither side would notice, and this daemon
        would receive no further version; TCP alone takes minutes.
        """
        if self.ping is not None and await self.ping(self.peer):
            self.heard_since_heartbeat = True
        self.missed_heartbeats = (
            0 if self.heard_since_heartbeat else self.missed_heartbeats + 1
        )
        self.heard_since_heartbeat = False
        if self.missed_heartbeats >= MAX_MISSED_HEARTBEATS:
            self.counts.add('link.silent')
            self.ended.set()

    def next_frame(self) -> control_pb2.Frame | None:
        """Return the next frame to send; None if there is nothing to send."""
        if self.hello_due:
            self.hello_due = False
            return control_pb2.Frame(hello=hello_message(self))
        if not self.hello_received:
            return None
        if self.need_whole_due:
            self.need_whole_due = False
            revision = self.replica.version.revision
            need = control_pb2.NeedWhole(revision=revision)
            return control_pb2.Frame(need_whole=need)
        return (
            self._member_sync_frame()
            or self._facts_frame()
            or self._progress_frame()
        )

    def _member_sync_frame(self) -> control_pb2.Frame | None:
        if self.dirty_buckets:
            buckets, self.dirty_buckets = self.dirty_buckets, frozenset()
            marks = self.replica.fleet.marks(buckets)
            return control_pb2.Frame(
                marks=wire.bucket_marks_to_wire(buckets, marks)
            )
        if self.hosts_to_request:
            hosts, self.hosts_to_request = sorted(self.hosts_to_request), set()
            request = control_pb2.MemberRequest(hosts=hosts)
            return control_pb2.Frame(member_request=request)
        return None

    def _progress_frame(self) -> control_pb2.Frame | None:
        current = self.table.progress
        if not self.reports_progress or current == self.reported_progress:
            return None
        self.reported_progress = current
        return control_pb2.Frame(
            progress=control_pb2.Progress(
                lowest_revision=current.lowest_revision,
                daemons=current.daemons,
                hosts_sum=current.hosts_sum,
            )
        )

    def _facts_frame(self) -> control_pb2.Frame | None:
        while self.dirty_config or self.dirty_hosts:
            update = self._next_config_update()
            hosts = sorted(self.dirty_hosts)[:MEMBERS_PER_MESSAGE]
            self.dirty_hosts.difference_update(hosts)
            records = self.replica.fleet.records
            changed_records = [
                records[host] for host in hosts if host in records
            ]
            if update is None and not changed_records:
                continue
            return control_pb2.Frame(
                facts=control_pb2.Facts(
                    config=update,
                    members=[
                        wire.member_to_wire(record)
                        for record in changed_records
                    ],
                )
            )
        return None

    def _next_config_update(self) -> control_pb2.Config | None:
        if not self.dirty_config:
            return None
        self.dirty_config = False
        held = self.replica.version
        if held.revision == 0 or held.revision < self.peer_version.revision:
            return None
        if not versions.covers(self.replica.scope, self.interest):
            # A peer with a wider interest than the scope held here would
            # mistake this partial version for a complete one.  Comparing
            # with this daemon's own interest is not enough: a daemon that
            # has just become a parent is interested in everything but
            # still holds its former part.
            return None
        scoped = held.narrow(self.interest)
        if scoped == self.peer_version:
            return None
        base = self.peer_version
        if base.revision == scoped.revision:
            base = config.NO_CONFIG
        self.peer_version = scoped
        target = versions.Holding(scoped, self.interest)
        return wire.update_to_wire(versions.make_update(base, target))

    def handle_frame(self, frame: control_pb2.Frame) -> None:
        """Process one frame from the peer.

        :raises errors.CodecError: the frame is invalid; nothing of it was
            applied, and the link must end.
        """
        self.heard_since_heartbeat = True
        kind = frame.WhichOneof('body')
        if kind == 'hello':
            self._handle_hello(frame.hello)
        elif kind == 'facts':
            self._handle_facts(frame.facts)
        elif kind == 'need_whole':
            self.peer_version = config.NO_CONFIG
            self.dirty_config = True
        elif kind == 'marks':
            self._handle_marks(frame.marks)
        elif kind == 'member_request':
            self.dirty_hosts.update(frame.member_request.hosts)
        elif kind == 'progress':
            self._handle_progress(frame.progress)
            return
        self.wake.set()

    def _handle_hello(self, hello: control_pb2.Hello) -> None:
        """Record what the peer holds and mark what it lacks."""
        if not hello.host:
            raise errors.CodecError(
                'Hello without a host', step='link.greet', peer=self.peer
            )
        self.peer = hello.host
        self.interest = wire.interest_from_wire(hello.interest)
        scoped = self.replica.version.narrow(self.interest)
        holding = versions.Holding(scoped, self.interest)
        holds_same = (
            scoped.revision == hello.revision
            and holding.digest == hello.config_digest
        )
        self.peer_version = scoped if holds_same else config.NO_CONFIG
        self.dirty_config = (
            hello.revision <= scoped.revision and not holds_same
        )
        if len(hello.member_sums) not in (
            0,
            len(self.replica.fleet.bucket_sums),
        ):
            raise errors.CodecError(
                'unexpected number of member sums',
                step='link.greet',
                peer=self.peer,
            )
        if self.dialled and hello.member_sums:
            differing = self.replica.fleet.differing(hello.member_sums)
            self.dirty_buckets |= differing
        self.hello_received = True

    def _handle_marks(self, message: control_pb2.MemberMarks) -> None:
        """Mark records that are newer here, and request those newer there."""
        buckets, marks = wire.bucket_marks_from_wire(message)
        fleet = self.replica.fleet
        newer = fleet.newer_than(marks, buckets)
        self.dirty_hosts.update(record.host for record in newer)
        self.hosts_to_request.update(fleet.older_than(marks))

    def _handle_facts(self, facts: control_pb2.Facts) -> None:
        """Offer the peer's facts to the replica."""
        records = [wire.member_from_wire(member) for member in facts.members]
        if facts.HasField('config'):
            update = wire.update_from_wire(facts.config)
            self._handle_verdict(self.replica.offer_config(update, self.peer))
        for record in records:
            self._offer_member(record)

    def _offer_member(self, record: members.MemberRecord) -> None:
        """Merge the peer's record, or reply with the newer one held here.

        Otherwise a peer that learns from elsewhere that a member is alive,
        after it was found dead here, would keep it as alive until the next
        reconciliation.
        """
        if self.replica.offer_member(record, self.peer):
            return
        if self.replica.fleet.records[record.host].mark > record.mark:
            self.dirty_hosts.add(record.host)

    def _handle_verdict(self, verdict: versions.Verdict) -> None:
        if verdict is versions.Verdict.DAMAGED:
            raise errors.CodecError(
                'a complete version does not match its digest',
                step='link.receive',
                peer=self.peer,
            )
        if verdict is versions.Verdict.NEED_WHOLE:
            self.need_whole_due = True
        elif verdict is versions.Verdict.APPLIED:
            if versions.covers(self.replica.scope, self.interest):
                held = self.replica.version
                self.peer_version = held.narrow(self.interest)

    def _handle_progress(self, message: control_pb2.Progress) -> None:
        received = progress.Progress(
            message.lowest_revision, message.daemons, message.hosts_sum
        )
        if received != self.subtree_progress:
            self.subtree_progress = received
            self.table.report_progress()


def hello_message(link: Link) -> control_pb2.Hello:
    """Return the first frame to the peer: what this daemon holds."""
    replica = link.replica
    return control_pb2.Hello(
        host=replica.host,
        availability_zone=link.table.zone,
        incarnation=link.table.incarnation,
        revision=replica.version.revision,
        config_digest=replica.digest,
        interest=wire.interest_to_wire(replica.interest),
        member_sums=[] if link.dialled else replica.fleet.bucket_sums,
    )


def pending_frames(link: Link) -> Iterator[control_pb2.Frame]:
    """Yield all frames that are due to the peer."""
    while (frame := link.next_frame()) is not None:
        yield frame
