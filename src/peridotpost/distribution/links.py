"""One standing exchange of facts between two daemons, on either side.

A link keeps no queue of messages: only which facts its peer may lack.
When the peer can take more, the present state of those facts is sent, so
a slow peer costs a bounded memory and skips versions that were overtaken.

A :class:`Link` reads and writes nothing itself: `next_frame` says what to
send and `take` what to do with what came, so that tests can delay, cross,
repeat and damage frames without a network.  ``streams`` carries them.
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
"""Whether the host of that name answers just now."""
SILENT_BEATS = 3
"""Own beats without a word from the peer after which a link is given up.
Counted by own beats, not by the clock, so that a process which was paused
itself does not blame its peers."""


class LinkTable:
    """Every link of this daemon; passes on each fact that is new."""

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
        replica.changed.subscribe(self.spread)
        replica.interest_changed.subscribe(lambda _: self.greet_again())

    @property
    def progress(self) -> progress.Progress:
        """Lowest revision in force here and at all that report to here."""
        below = [link.below for link in self.links]
        revision = self.replica.version.revision
        return progress.combine(self.replica.host, revision, below)

    def attach(self, link: 'Link') -> None:
        self.links.append(link)
        self.note_progress()

    def detach(self, link: 'Link') -> None:
        self.links.remove(link)
        self.note_progress()

    def spread(self, change: replicas.FactChange) -> None:
        for link in self.links:
            link.note(change)
        if change.version is not None:
            self.note_progress()

    def note_progress(self) -> None:
        """Let the parent know if the word on this part of the tree moved."""
        for link in self.links:
            if link.reports and link.told != self.progress:
                link.wake.set()

    def greet_again(self) -> None:
        """Tell every peer of the new scope."""
        for link in self.links:
            link.owes_greeting = True
            link.wake.set()


class Link:
    """What one peer is known to hold and what it is still to be told.

    :param dialled: this side opened the stream; the other one, which took
        it, sends the sums over its members.
    :param reports: the peer is this daemon's parent in the tree.
    """

    def __init__(
        self,
        peer: str,
        table: LinkTable,
        counts: counters.Counters,
        *,
        dialled: bool = False,
        reports: bool = False,
    ) -> None:
        self.peer = peer
        self.table = table
        self.replica = table.replica
        self.counts = counts
        self.dialled = dialled
        self.reports = reports
        self.interest = config.Interest()
        self.peer_version = config.NO_CONFIG
        self.greeted = False
        self.dirty_hosts: set[str] = set()
        self.dirty_config = False
        self.dirty_buckets: frozenset[int] = frozenset()
        self.wanted_hosts: set[str] = set()
        self.owes_greeting = False
        self.owes_whole_request = False
        self.ping: Ping | None = None
        self.told: progress.Progress | None = None
        self.below = progress.NOTHING_TOLD
        self.heard = True
        self.silent_beats = 0
        self.wake = asyncio.Event()
        self.over = asyncio.Event()

    def note(self, change: replicas.FactChange) -> None:
        """Mark a fact that is new here, unless this peer brought it."""
        if change.source == self.peer:
            return
        if change.member is not None:
            self.dirty_hosts.add(change.member.host)
        if change.version is not None:
            self.dirty_config = True
        self.wake.set()

    async def beat(self) -> None:
        """Ask the peer for a sign of life; end the link if it gives none.

        Guards against a peer that hangs or is cut off without a word:
        its connection stands, so that neither side would notice, and this
        daemon would hear of no version.  TCP alone takes minutes.
        """
        if self.ping is not None and await self.ping(self.peer):
            self.heard = True
        self.silent_beats = 0 if self.heard else self.silent_beats + 1
        self.heard = False
        if self.silent_beats >= SILENT_BEATS:
            self.counts.add('link.silent')
            self.over.set()

    def next_frame(self) -> control_pb2.Frame | None:
        """Return what to send next; None while the peer lacks nothing."""
        if self.owes_greeting:
            self.owes_greeting = False
            return control_pb2.Frame(hello=greeting(self))
        if not self.greeted:
            return None
        if self.owes_whole_request:
            self.owes_whole_request = False
            held = self.replica.version.revision
            need = control_pb2.NeedWhole(revision=held)
            return control_pb2.Frame(need_whole=need)
        return self._member_talk() or self._facts() or self._progress()

    def _member_talk(self) -> control_pb2.Frame | None:
        if self.dirty_buckets:
            buckets, self.dirty_buckets = self.dirty_buckets, frozenset()
            marks = self.replica.fleet.marks(buckets)
            return control_pb2.Frame(marks=wire.bucket_marks(buckets, marks))
        if self.wanted_hosts:
            hosts, self.wanted_hosts = sorted(self.wanted_hosts), set()
            request = control_pb2.MemberRequest(hosts=hosts)
            return control_pb2.Frame(member_request=request)
        return None

    def _progress(self) -> control_pb2.Frame | None:
        now = self.table.progress
        if not self.reports or now == self.told:
            return None
        self.told = now
        return control_pb2.Frame(
            progress=control_pb2.Progress(
                lowest_revision=now.lowest_revision,
                daemons=now.daemons,
                hosts_sum=now.hosts_sum,
            )
        )

    def _facts(self) -> control_pb2.Frame | None:
        while self.dirty_config or self.dirty_hosts:
            update = self._take_config()
            hosts = sorted(self.dirty_hosts)[:MEMBERS_PER_MESSAGE]
            self.dirty_hosts.difference_update(hosts)
            records = self.replica.fleet.records
            found = [records[host] for host in hosts if host in records]
            if update is None and not found:
                continue
            return control_pb2.Frame(
                facts=control_pb2.Facts(
                    config=update,
                    members=[wire.member_to_wire(one) for one in found],
                )
            )
        return None

    def _take_config(self) -> control_pb2.Config | None:
        if not self.dirty_config:
            return None
        self.dirty_config = False
        held = self.replica.version
        if held.revision == 0 or held.revision < self.peer_version.revision:
            return None
        if not versions.covers(self.replica.scope, self.interest):
            # A peer with a wider scope than what is held here would take
            # our part of a version for the whole.  Asking what is wanted
            # here is not enough: a daemon that has just become a parent
            # wants everything and still holds its old part.
            return None
        scoped = held.scoped(self.interest)
        if scoped == self.peer_version:
            return None
        base = self.peer_version
        if base.revision == scoped.revision:
            base = config.NO_CONFIG
        self.peer_version = scoped
        target = versions.Holding(scoped, self.interest)
        return wire.update_to_wire(versions.difference(base, target))

    def take(self, frame: control_pb2.Frame) -> None:
        """Act on one frame of the peer.

        :raises errors.CodecError: it cannot be read; nothing of it is
            kept, and the link must end.
        """
        self.heard = True
        kind = frame.WhichOneof('body')
        if kind == 'hello':
            self._greet(frame.hello)
        elif kind == 'facts':
            self._receive(frame.facts)
        elif kind == 'need_whole':
            self.peer_version = config.NO_CONFIG
            self.dirty_config = True
        elif kind == 'marks':
            self._compare(frame.marks)
        elif kind == 'member_request':
            self.dirty_hosts.update(frame.member_request.hosts)
        elif kind == 'progress':
            self._note_below(frame.progress)
            return
        self.wake.set()

    def _greet(self, hello: control_pb2.Hello) -> None:
        """Take in what the peer says it holds; mark what it lacks."""
        if not hello.host:
            raise errors.CodecError(
                'the greeting names no host', step='link.greet', peer=self.peer
            )
        self.peer = hello.host
        self.interest = wire.interest_from_wire(hello.interest)
        scoped = self.replica.version.scoped(self.interest)
        holding = versions.Holding(scoped, self.interest)
        same = (
            scoped.revision == hello.revision
            and holding.digest == hello.config_digest
        )
        self.peer_version = scoped if same else config.NO_CONFIG
        self.dirty_config = hello.revision <= scoped.revision and not same
        if len(hello.member_sums) not in (0, len(self.replica.fleet.sums)):
            raise errors.CodecError(
                'another count of member sums',
                step='link.greet',
                peer=self.peer,
            )
        if self.dialled and hello.member_sums:
            differing = self.replica.fleet.differing(hello.member_sums)
            self.dirty_buckets |= differing
        self.greeted = True

    def _compare(self, message: control_pb2.MemberMarks) -> None:
        """Find who of two knows more of each member in the buckets."""
        buckets, marks = wire.read_bucket_marks(message)
        fleet = self.replica.fleet
        newer = fleet.newer_than(marks, buckets)
        self.dirty_hosts.update(one.host for one in newer)
        self.wanted_hosts.update(fleet.older_than(marks))

    def _receive(self, facts: control_pb2.Facts) -> None:
        """Offer the peer's facts to the replica."""
        records = [wire.member_from_wire(one) for one in facts.members]
        if facts.HasField('config'):
            update = wire.update_from_wire(facts.config)
            self._judge(self.replica.offer_config(update, self.peer))
        for record in records:
            self._offer_member(record)

    def _offer_member(self, record: members.MemberRecord) -> None:
        """Merge the peer's record, or answer it with the later one held.

        A peer that hears from elsewhere of a member as alive, whose death
        was known here before, would otherwise hold it as alive until the
        next reconciliation.
        """
        if self.replica.offer_member(record, self.peer):
            return
        if self.replica.fleet.records[record.host].mark > record.mark:
            self.dirty_hosts.add(record.host)

    def _judge(self, verdict: versions.Verdict) -> None:
        if verdict is versions.Verdict.DAMAGED:
            raise errors.CodecError(
                'a whole version does not match its seal',
                step='link.receive',
                peer=self.peer,
            )
        if verdict is versions.Verdict.NEED_WHOLE:
            self.owes_whole_request = True
        elif verdict is versions.Verdict.APPLIED:
            if versions.covers(self.replica.scope, self.interest):
                held = self.replica.version
                self.peer_version = held.scoped(self.interest)

    def _note_below(self, message: control_pb2.Progress) -> None:
        told = progress.Progress(
            message.lowest_revision, message.daemons, message.hosts_sum
        )
        if told != self.below:
            self.below = told
            self.table.note_progress()


def greeting(link: Link) -> control_pb2.Hello:
    """Return what this daemon says of itself when a link begins."""
    replica = link.replica
    return control_pb2.Hello(
        host=replica.host,
        availability_zone=link.table.zone,
        incarnation=link.table.incarnation,
        revision=replica.version.revision,
        config_digest=replica.digest,
        interest=wire.interest_to_wire(replica.interest),
        member_sums=[] if link.dialled else replica.fleet.sums,
    )


def frames(link: Link) -> Iterator[control_pb2.Frame]:
    """Yield all that the link owes its peer now."""
    while (frame := link.next_frame()) is not None:
        yield frame
