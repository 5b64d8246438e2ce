"""Probes over UDP: sending, relaying and answering them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
from typing import Any
from typing import Protocol

from google.protobuf import message as protobuf_message

from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.model import members

PING = 1
ACK = 2
PING_REQUEST = 3
REQUEST_ACK = 4
"""A helper's confirmation that it was asked, independent of the subject's
answer: it shows that the prober's own datagrams arrive."""
NONCE_BITS = 64
TIMEOUTS_PER_PROBE = 3
"""One for the direct probe and two for the helpers, whose own probe takes
one."""
MAX_RELAYED_PROBES = 64
"""Concurrent probes on behalf of others.  More are refused, which bounds the
datagrams sent per timeout during a flood of requests."""
Address = tuple[str, int]


class MemberRecords(Protocol):
    """The part of the replica that probes need."""

    def record_of(self, host: str) -> members.MemberRecord | None: ...

    def offer(self, record: members.MemberRecord) -> None: ...


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe waiting for its answer.

    :param hosts_by_address: the only senders whose answers are accepted.
    :param heard: hosts that answered or confirmed the request.
    """

    subject: str
    hosts_by_address: dict[Address, str]
    answered: asyncio.Future[None]
    heard: set[str] = dataclasses.field(default_factory=set)

    def accepts(self, probe: control_pb2.Probe, address: Address) -> bool:
        """Whether an answer has the expected sender and subject."""
        source = self.hosts_by_address.get(address)
        return source == probe.source and probe.subject == self.subject


class ProbeEndpoint:
    """Sends and answers probes; draws no conclusions from them."""

    encode: Callable[[members.MemberRecord], control_pb2.Member]
    decode: Callable[[control_pb2.Member], members.MemberRecord]

    def __init__(
        self,
        host: str,
        fleet: MemberRecords,
        counts: counters.Counters,
        randomness: random.Random,
        timeout_s: float,
    ) -> None:
        self.host = host
        self.fleet = fleet
        self.counts = counts
        self.randomness = randomness
        self.timeout_s = timeout_s
        self.transport: asyncio.DatagramTransport | None = None
        self.pending_probes: dict[int, PendingProbe] = {}
        self.relay_tasks: set[asyncio.Task[None]] = set()

    async def ping(self, record: members.MemberRecord) -> bool:
        """Whether a member answers a probe now."""
        facts = []
        if record.status is members.Status.SUSPECT:
            # The probe itself carries the suspicion, so that the suspect
            # can refute it even if its streams are broken.
            facts = [record]
        with self._pending(record.host, [record]) as (nonce, pending):
            self._send(PING, nonce, record.host, record, facts)
            return await self._wait_for_answer(pending, self.timeout_s)

    async def ping_via(
        self, record: members.MemberRecord, helpers: list[str]
    ) -> tuple[bool, int]:
        """Probe through `helpers`.

        Returns whether one of them got an answer, and how many confirmed
        the request.
        """
        found = [self.fleet.record_of(host) for host in helpers]
        asked = [one for one in found if one is not None]
        with self._pending(record.host, asked) as (nonce, pending):
            for helper in asked:
                self._send(PING_REQUEST, nonce, record.host, helper, [])
            answered = await self._wait_for_answer(
                pending, (TIMEOUTS_PER_PROBE - 1) * self.timeout_s
            )
            return answered, len(pending.heard)

    @contextlib.contextmanager
    def _pending(
        self, subject: str, answerers: list[members.MemberRecord]
    ) -> Iterator[tuple[int, PendingProbe]]:
        # With a guessable nonce a stray or late datagram could count as the
        # answer of a dead member.
        nonce = self.randomness.getrandbits(NONCE_BITS)
        answered = asyncio.get_running_loop().create_future()
        pending = PendingProbe(
            subject,
            {(one.address, one.probe_port): one.host for one in answerers},
            answered,
        )
        self.pending_probes[nonce] = pending
        try:
            yield nonce, pending
        finally:
            del self.pending_probes[nonce]

    async def _wait_for_answer(
        self, pending: PendingProbe, timeout_s: float
    ) -> bool:
        try:
            await asyncio.wait_for(pending.answered, timeout_s)
        except TimeoutError:
            self.counts.add('probe.unanswered')
            return False
        return True

    def _send(
        self,
        kind: int,
        nonce: int,
        subject: str,
        to: members.MemberRecord,
        facts: list[members.MemberRecord],
    ) -> None:
        self._send_to(kind, nonce, subject, (to.address, to.probe_port), facts)

    def _send_to(
        self,
        kind: int,
        nonce: int,
        subject: str,
        address: Address,
        facts: list[members.MemberRecord],
    ) -> None:
        if self.transport is None:
            return
        probe = control_pb2.Probe(
            kind=kind,
            nonce=nonce,
            source=self.host,
            subject=subject,
            facts=[self.encode(one) for one in facts],
        )
        data = probe.SerializeToString()
        self.counts.add('probe.sent-bytes', len(data))
        self.counts.add('probe.sent-messages')
        self.transport.sendto(data, address)

    def received(self, data: bytes, address: Address) -> None:
        """Process one datagram; unusable ones are counted and dropped."""
        self.counts.add('probe.received-bytes', len(data))
        self.counts.add('probe.received-messages')
        probe = control_pb2.Probe()
        try:
            probe.ParseFromString(data)
            facts = [self.decode(one) for one in probe.facts]
        except (protobuf_message.DecodeError, errors.CodecError):
            self.counts.add('probe.unreadable')
            return
        if probe.kind == PING:
            self._handle_ping(probe, facts, address)
        elif probe.kind == PING_REQUEST:
            self._handle_request(probe, address)
        elif probe.kind in (ACK, REQUEST_ACK):
            self._handle_answer(probe, facts, address)
        else:
            self.counts.add('probe.unreadable')

    def _handle_ping(
        self,
        probe: control_pb2.Probe,
        facts: list[members.MemberRecord],
        address: Address,
    ) -> None:
        if probe.subject != self.host:
            # A new daemon on the address of a dead one must not answer for
            # it, nor process the records that were meant for it.
            self.counts.add('probe.misdirected')
            return
        self._offer(facts)
        own_record = self.fleet.record_of(self.host)
        answer_facts = [own_record] if facts and own_record is not None else []
        self._send_to(ACK, probe.nonce, self.host, address, answer_facts)

    def _handle_request(
        self, probe: control_pb2.Probe, address: Address
    ) -> None:
        record = self.fleet.record_of(probe.subject)
        if record is None or probe.subject == self.host:
            self.counts.add('probe.misdirected')
            return
        if len(self.relay_tasks) >= MAX_RELAYED_PROBES:
            self.counts.add('probe.relay-refused')
            return
        self._send_to(REQUEST_ACK, probe.nonce, probe.subject, address, [])
        task = asyncio.ensure_future(
            self._probe_for(record, probe.nonce, address)
        )
        self.relay_tasks.add(task)
        task.add_done_callback(self.relay_tasks.discard)

    async def _probe_for(
        self, record: members.MemberRecord, nonce: int, address: Address
    ) -> None:
        if await self.ping(record):
            latest = self.fleet.record_of(record.host)
            facts = [latest] if latest is not None else []
            self._send_to(ACK, nonce, record.host, address, facts)

    def _handle_answer(
        self,
        probe: control_pb2.Probe,
        facts: list[members.MemberRecord],
        address: Address,
    ) -> None:
        pending = self.pending_probes.get(probe.nonce)
        if pending is None:
            self.counts.add('probe.stale')
            return
        if not pending.accepts(probe, address):
            self.counts.add('probe.wrong-source')
            return
        pending.heard.add(probe.source)
        if probe.kind == ACK:
            self._offer(facts)
            if not pending.answered.done():
                pending.answered.set_result(None)

    def _offer(self, facts: list[members.MemberRecord]) -> None:
        for one in facts:
            self.fleet.offer(one)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, pings: ProbeEndpoint) -> None:
        self.pings = pings

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.pings.received(data, addr)

    def error_received(self, exc: Exception) -> None:
        self.pings.counts.add('probe.send-failed')


@contextlib.asynccontextmanager
async def listening(
    pings: ProbeEndpoint, address: str, port: int
) -> AsyncIterator[int]:
    """Open the probe port and yield the one in use.

    :raises errors.PeridotError: the port is taken.
    """
    loop = asyncio.get_running_loop()
    try:
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(pings), local_addr=(address, port)
        )
    except OSError as error:
        raise errors.PeridotError(
            f'the probe port cannot be opened ({error.strerror}); set '
            'listen.probe_port to a free one',
            step='probe.listen',
            peer=f'{address}:{port}',
        ) from error
    pings.transport = transport
    try:
        yield transport.get_extra_info('sockname')[1]
    finally:
        pings.transport = None
        transport.close()
