"""The known daemons, the streams to them, and the state of their targets.

Each daemon dials every other one, and the dialled side sends the status of
its target.  A change at a target is therefore known after one network
transit, without the store, and a daemon that can't reach the store is still
found by the daemons that know it.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import functools
import random
from typing import TypeGuard

from peridotpost.decisions import statementmemory
from peridotpost.decisions import targetstate
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import deadlines
from peridotpost.proxy import frameconversion
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import peers

MIN_DIAL_PAUSE_S = 0.1
MAX_DIAL_PAUSE_S = 1.0
"""Bounds of the pause between two attempts to dial a peer."""
REPLACED_STREAM_GRACE_S = 1.0
"""Time for a peer to close a stream that it opened by mistake."""
FORGET_AFTER_S = 2.5
"""How long a host without a record and without a stream is still dialled.
Records that lapsed during an outage of the store are written again within
two seconds if their daemons are alive."""


@dataclasses.dataclass(eq=False, slots=True)
class Peer:
    """One other daemon.

    :param has_record: whether the store has its record.
    :param status_known: whether it has sent the status of its target.
    :param status_incarnation: the process that did so last; 0 if none.
    """

    record: instances.HostRecord
    candidate: targetstate.Candidate
    stream: peers.PeerStream | None = None
    dialling: asyncio.Task[None] | None = None
    next_dial_at: float = 0.0
    dial_pause_s: float = MIN_DIAL_PAUSE_S
    has_record: bool = False
    status_known: bool = False
    status_incarnation: int = 0
    record_missing_since: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame that the directory doesn't handle itself, and its stream."""

    stream: peers.PeerStream
    frame: frames.Frame


class Directory:
    """Implements ``peers.StreamOwner`` and ``forwarder.Backends``."""

    def __init__(
        self,
        own: instances.HostRecord,
        guard: guards.Guard,
        randomness: random.Random,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.own_record = own
        self.guard = guard
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.peers: dict[str, Peer] = {}
        self.accepted_streams: set[peers.PeerStream] = set()
        self.version = 0
        self.has_slow_link = False
        self.records_read = False
        self.leaving = False
        self.frame_received: hooks.Hook[ReceivedFrame] = hooks.Hook('notice')
        self.stream_greeted: hooks.Hook[peers.PeerStream] = hooks.Hook('met')
        self.own_candidate = targetstate.Candidate(
            own.host, own.availability_zone
        )
        self.statements = statementmemory.StatementMemory()
        self.latest_by_address = {_address_of(own): own}
        self.closed = False
        guard.target_count = self.service_target_count
        guard.status_changed.subscribe(self._own_target_changed)

    # Queries of the ingress.

    def candidates(self, service: str) -> Iterable[targetstate.Candidate]:
        own = self.own_candidate
        if own.service == service:
            queue = self.guard.queue
            now = deadlines.now()
            own.report_load(queue.load(now), now)
            own.report_failures(self.guard.failures.value(now), now)
            own.limit_per_s = queue.limit_per_s
            own.run_s = queue.times.mean_s
            own.run_by_route = queue.times.mean_by_route
            yield own
        for peer in self.peers.values():
            stream = peer.stream
            if peer.candidate.service != service or stream is None:
                continue
            if not stream.suspect:
                yield peer.candidate

    def known_targets(
        self,
    ) -> Iterable[tuple[str, targetstate.Candidate, bool]]:
        """Yield all known hosts, whether they are connected or not.

        The last element is whether the host has sent a status, which may
        also say that it has no target.
        """
        yield self.own_record.host, self.own_candidate, True
        for host, peer in self.peers.items():
            yield host, peer.candidate, peer.status_known

    def send_frame(self, host: str, frame: frames.Frame) -> None:
        """Send a frame to one daemon if it is connected."""
        peer = self.peers.get(host)
        if peer is not None and peer.stream is not None:
            peer.stream.send(frame)

    def send(self, host: str, order: forwarding.Order) -> bool:
        if host == self.own_record.host:
            self.guard.submit(order)
            return True
        peer = self.peers.get(host)
        if peer is None or peer.stream is None:
            return False
        return peer.stream.dispatch(order)

    def withdraw(self, host: str, order: forwarding.Order) -> None:
        if host == self.own_record.host:
            self.guard.cancel(order)
            return
        peer = self.peers.get(host)
        if peer is not None and peer.stream is not None:
            peer.stream.withdraw(order)

    def retry_share(self) -> float:
        return self.guard.retry_share()

    def running_order(self, attempt_id: bytes) -> forwarding.Order | None:
        return self.guard.running_by_attempt.get(attempt_id)

    def service_target_count(self) -> int | None:
        """Return the number of targets of the own target's service.

        It includes hosts that are cut off, which may still serve, and those
        that have not sent their service yet.  None if no member of the fleet
        is known: the others may be cut off since this daemon started.
        """
        if not self.peers and not self.records_read:
            return None
        service = self.own_candidate.service
        others = sum(
            peer.candidate.service == service or not peer.status_known
            for peer in self.peers.values()
        )
        return 1 + others

    def member_count(self) -> int:
        """Return the number of connected daemons, including this one."""
        live = sum(peer.stream is not None for peer in self.peers.values())
        return 1 + live

    def delivering_count(self) -> int:
        """Return the number of daemons that have not taken all responses."""
        return sum(stream.delivers for stream in self.accepted_streams)

    def followers(self) -> list[str]:
        """Return the connected hosts with fast links."""
        return [
            host
            for host, peer in self.peers.items()
            if peer.stream is not None
            and peer.stream.incarnation
            and not peer.stream.has_slow_link
        ]

    # Host records.

    def update_records(self, records: Iterable[instances.HostRecord]) -> None:
        """Update the peers from the complete list of records."""
        self.records_read = True
        recorded_hosts = {entry.host for entry in records}
        now = deadlines.now()
        for host, peer in self.peers.items():
            if host not in recorded_hosts and peer.has_record:
                peer.has_record = False
                peer.record_missing_since = now
        for record in records:
            self.add_record(record, from_store=True)

    def add_record(
        self, record: instances.HostRecord, from_store: bool = False
    ) -> None:
        """Add or update a daemon's record.

        :param from_store: whether it was read from the store; otherwise a
            peer sent it.
        """
        if record.host == self.own_record.host:
            return
        self._note_address(record)
        peer = self.peers.get(record.host)
        if peer is None:
            candidate = targetstate.Candidate(
                record.host, record.availability_zone
            )
            peer = self.peers[record.host] = Peer(record, candidate)
            peer.record_missing_since = deadlines.now()
            self.log.state(
                'member', peer=record.host, to='known', address=record.address
            )
        elif record.incarnation > peer.record.incarnation:
            peer.record = record
            peer.next_dial_at = 0.0
            peer.dial_pause_s = MIN_DIAL_PAUSE_S
            if _is_to_earlier_process(peer.stream, record):
                # A host that lost power never closes the old stream; a
                # newer incarnation shows that the stream is dead.
                peer.stream.close()
        if from_store and record.incarnation >= peer.record.incarnation:
            peer.has_record = True
        if peer.stream is None:
            self._dial_if_due(peer, deadlines.now())

    def known_hosts(self) -> list[frames.Hello]:
        """Return the other known daemons, for a `Known` frame."""
        return [
            frameconversion.hello_frame(peer.record, 0)
            for peer in self.peers.values()
            if not self._address_is_reused(peer.record)
        ]

    def _note_address(self, record: instances.HostRecord) -> None:
        address = _address_of(record)
        latest = self.latest_by_address.get(address, record)
        if record.incarnation >= latest.incarnation:
            self.latest_by_address[address] = record

    def _address_is_reused(self, record: instances.HostRecord) -> bool:
        """Whether a host that started later uses the same address."""
        latest = self.latest_by_address.get(_address_of(record), record)
        return latest.host != record.host

    # Streams.

    def hello(self, compressed: bool, host: str) -> frames.Hello:
        hello = frameconversion.hello_frame(self.own_record, self.version)
        hello.compressed = compressed
        hello.heard = frameconversion.statement_frame(
            self.statements.get(host)
        )
        hello.has_slow_link = self.has_slow_link
        hello.takes_parts = True
        peer = self.peers.get(host)
        if peer is not None:
            hello.known_incarnation = peer.status_incarnation
        return hello

    def is_remote_zone(self, availability_zone: str) -> bool:
        return availability_zone != self.own_record.availability_zone

    def handle_hello(
        self, stream: peers.PeerStream, hello: frames.Hello
    ) -> None:
        if stream.dialled:
            peer = self.peers.get(hello.host)
            if peer is None or peer.stream is not stream:
                # Another daemon uses the address now.
                stream.close()
                return
            if hello.incarnation > peer.record.incarnation:
                peer.record = frameconversion.record_from_hello(hello)
                self._note_address(peer.record)
            stream.send(frames.HelloReceived())
        heard = frameconversion.statement_from_frame(hello.heard)
        if heard is not None:
            self.guard.restore_statement(heard)
        if not stream.dialled:
            self._replace_older(stream, hello.host)
            self.accepted_streams.add(stream)
            stream.send(self._own_status())
            self.add_record(frameconversion.record_from_hello(hello))
        self.stream_greeted.fire(stream)

    def _replace_older(self, stream: peers.PeerStream, host: str) -> None:
        """Close the streams that a host opened before this one.

        Streams of an earlier process are closed at once.  A stream of the
        same process may be valid and the new one a mistake: a host that took
        over an address is still dialled under the name of its predecessor.
        The peer closes such a stream when it receives the hello.
        """
        for older in [
            known for known in self.accepted_streams if known.host == host
        ]:
            if older.incarnation != stream.incarnation:
                older.close()
            else:
                asyncio.get_running_loop().call_later(
                    REPLACED_STREAM_GRACE_S, _close_replaced, older, stream
                )

    def handle_frame(
        self, stream: peers.PeerStream, frame: frames.Frame
    ) -> None:
        if isinstance(frame, frames.Status):
            self._update_peer_status(stream, frame)
        elif isinstance(frame, frames.Known):
            self._handle_known_hosts(stream, frame)
        else:
            self.frame_received.fire(ReceivedFrame(stream, frame))

    def stream_lost(self, stream: peers.PeerStream) -> None:
        self.accepted_streams.discard(stream)
        if not stream.dialled:
            return
        for peer in self.peers.values():
            if peer.stream is stream:
                peer.stream = None
                peer.candidate.ready = False
                peer.next_dial_at = deadlines.now() + MIN_DIAL_PAUSE_S
                self.log.state('member', peer=peer.record.host, to='cut-off')

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a frame to every daemon that has a stream to this one."""
        for stream in self.accepted_streams:
            stream.send(frame)

    def broadcast_to_zone(
        self, frame: frames.Frame, slow_only: bool = False
    ) -> None:
        """Send a frame to the daemons of the own zone.

        :param slow_only: only to daemons with a slow link.
        """
        for stream in self.accepted_streams:
            if (
                self.is_remote_zone(stream.zone)
                or slow_only > stream.has_slow_link
            ):
                continue
            stream.send(frame)

    def streams(self) -> list[peers.PeerStream]:
        """Return all streams, whichever side opened them."""
        streams = list(self.accepted_streams)
        streams += [peer.stream for peer in self.peers.values() if peer.stream]
        return streams

    def sweep(self) -> None:
        """Dial peers that are due, check streams, drop peers that are gone."""
        now = deadlines.now()
        for host, peer in list(self.peers.items()):
            if peer.stream is not None:
                peer.stream.check_liveness(now)
                continue
            gone = not peer.has_record and (
                now - peer.record_missing_since > FORGET_AFTER_S
            )
            if gone:
                self._forget(host, peer)
            else:
                self._dial_if_due(peer, now)

    def close(self) -> None:
        self.closed = True
        for peer in self.peers.values():
            if peer.dialling is not None:
                peer.dialling.cancel()
        for stream in self.streams():
            stream.close()

    def accept(self) -> peers.PeerStream:
        """Return the protocol for a stream that another daemon opens."""
        return peers.PeerStream(self, self.guard)

    def _forget(self, host: str, peer: Peer) -> None:
        if peer.dialling is not None:
            peer.dialling.cancel()
        del self.peers[host]
        address = _address_of(peer.record)
        latest = self.latest_by_address.get(address)
        if latest is not None and latest.host == host:
            del self.latest_by_address[address]
        self.log.state('member', peer=host, to='forgotten')

    def _dial_if_due(self, peer: Peer, now: float) -> None:
        if peer.dialling is not None or now < peer.next_dial_at or self.closed:
            return
        if not self._address_is_reused(peer.record):
            peer.dialling = asyncio.ensure_future(self._dial(peer))

    async def _dial(self, peer: Peer) -> None:
        record = peer.record
        try:
            stream = await peers.dial(self, self.guard, record)
        except OSError:
            self.counts.add('peers.dial-failed')
            spread = 0.5 + self.randomness.random()
            peer.next_dial_at = deadlines.now() + peer.dial_pause_s * spread
            peer.dial_pause_s = min(MAX_DIAL_PAUSE_S, 2 * peer.dial_pause_s)
            return
        finally:
            peer.dialling = None
        candidate = peer.candidate
        stream.on_load = functools.partial(_update_load, candidate)
        stream.on_run = candidate.report_run
        stream.on_statement = functools.partial(
            self._note_statement, record.host
        )
        peer.stream = stream
        peer.dial_pause_s = MIN_DIAL_PAUSE_S
        self.counts.add('peers.dialled')

    def _own_status(self) -> frames.Status:
        now = deadlines.now()
        load = int(self.guard.queue.load(now) * 100)
        failing = int(self.guard.failures.value(now) * 100)
        return frameconversion.status_frame(self.guard.status(), load, failing)

    def _own_target_changed(self, status: instances.TargetStatus) -> None:
        self.own_candidate.update_state(
            status.service,
            status.instance,
            status.slots,
            status.ready,
            status.version,
        )
        self.broadcast(self._own_status())

    def _update_peer_status(
        self, stream: peers.PeerStream, status: frames.Status
    ) -> None:
        peer = self.peers.get(stream.host)
        if peer is None or peer.stream is not stream:
            return
        peer.status_known = True
        peer.status_incarnation = stream.incarnation
        peer.candidate.update_state(
            status.service,
            status.instance,
            status.slots,
            status.ready,
            status.version,
        )
        _update_load(peer.candidate, status.load / 100, status.failing / 100)
        stated = frameconversion.statement_from_frame(status.stated)
        self._note_statement(stream.host, stated, answered=False)

    def _note_statement(
        self,
        host: str,
        stated: instances.TargetStatement | None,
        answered: bool,
    ) -> None:
        """Remember what the target of a peer stated.

        :param answered: whether it came with an answer of the target, so that
            a limit that is not mentioned has ended.
        """
        peer = self.peers.get(host)
        if peer is not None:
            peer.candidate.limit_per_s = (
                stated.limit_per_s if stated is not None else None
            )
        if stated is not None:
            self.statements.note(host, stated)
        elif answered:
            self.statements.answered_without(host)

    def _handle_known_hosts(
        self, stream: peers.PeerStream, frame: frames.Known
    ) -> None:
        if not frame.hosts:
            own = frameconversion.hello_frame(self.own_record, self.version)
            stream.send(frames.Known([own, *self.known_hosts()]))
            return
        for hello in frame.hosts:
            self.add_record(frameconversion.record_from_hello(hello))


def _address_of(record: instances.HostRecord) -> str:
    return f'{record.address}:{record.port}'


def _close_replaced(older: peers.PeerStream, newer: peers.PeerStream) -> None:
    if not newer.closed:
        older.close()


def _update_load(
    candidate: targetstate.Candidate, load: float, failing: float
) -> None:
    """Update a candidate with the load and failures its guard reported."""
    now = deadlines.now()
    candidate.report_load(load, now)
    candidate.report_failures(failing, now)


def _is_to_earlier_process(
    stream: peers.PeerStream | None, record: instances.HostRecord
) -> TypeGuard[peers.PeerStream]:
    """Whether a stream leads to an earlier process than that of `record`.

    A restarted daemon is often dialled before its record arrives; closing
    that stream because of the record would lose frames just sent on it.  A
    stream whose other side has not sent its hello has no incarnation yet; if
    it stays silent it times out.
    """
    return stream is not None and 0 < stream.incarnation < record.incarnation
