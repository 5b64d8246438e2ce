"""Probes over UDP by the rules of ``decisions.suspicion``."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import random
from typing import Any
from typing import Protocol

from google.protobuf import message as protobuf_message

from peridotpost.decisions import suspicion
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.kernel import timers
from peridotpost.model import errors
from peridotpost.model import members

PING = 1
ACK = 2
PING_REQUEST = 3
Address = tuple[str, int]


class Members(Protocol):
    """What probing needs of the replica."""

    def record_of(self, host: str) -> members.MemberRecord | None: ...

    def live_in_zone(self) -> Iterable[members.MemberRecord]: ...

    def offer(self, record: members.MemberRecord) -> None: ...


class Prober:
    """Probes one member of the zone each period, and answers probes."""

    def __init__(
        self,
        host: str,
        fleet: Members,
        clock: timers.TimerService,
        counts: counters.Counters,
        randomness: random.Random,
        period_s: float,
        timeout_s: float,
        suspicion_s: float,
    ) -> None:
        self.host = host
        self.fleet = fleet
        self.clock = clock
        self.counts = counts
        self.timeout_s = timeout_s
        self.round = suspicion.ProbeRound(randomness)
        self.suspicions = suspicion.Suspicions(suspicion_s)
        self.pause = suspicion.PauseGuard(period_s, clock.now())
        self.paused: list[Callable[[], None]] = []
        self.transport: asyncio.DatagramTransport | None = None
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.nonce = randomness.getrandbits(32)

    def observe(self, record: members.MemberRecord) -> None:
        """Follow a member's status, whoever found it out."""
        self.suspicions.observe(record, self.clock.now())

    async def tick(self) -> None:
        """Probe one member and let old suspicions turn into deaths."""
        now = self.clock.now()
        if self.pause.paused(now):
            # The first thing a thawed process sees is its own expired
            # timers; acting on them would declare half the zone dead.
            self.counts.add('probe.own-pause')
            self.suspicions.restart(now)
            for listener in self.paused:
                listener()
            return
        for host in self.suspicions.expired(now):
            self._declare_dead(host)
        candidates = [
            one.host
            for one in self.fleet.live_in_zone()
            if one.host != self.host
        ]
        subject = self.round.next_subject(candidates)
        if subject is not None:
            await self._probe(subject, candidates)

    async def _probe(self, subject: str, candidates: list[str]) -> None:
        record = self.fleet.record_of(subject)
        if record is None or await self._ping(record):
            return
        helpers = self.round.helpers(subject, candidates)
        if await self._ping_through(record, helpers):
            return
        latest = self.fleet.record_of(subject)
        if latest is None or latest.mark != record.mark:
            return
        if latest.status is members.Status.ALIVE:
            self.counts.add('probe.suspected')
            self.fleet.offer(suspicion.suspected(latest))

    async def _ping(self, record: members.MemberRecord) -> bool:
        nonce, answered = self._expect()
        facts = []
        if record.status is members.Status.SUSPECT:
            # The suspect hears of the suspicion with the probe itself, so
            # that it can refute it even if its stream is what broke.
            facts = [record]
        self._send(PING, nonce, record.host, record, facts)
        return await self._answered(nonce, answered)

    async def _ping_through(
        self, record: members.MemberRecord, helpers: list[str]
    ) -> bool:
        nonce, answered = self._expect()
        for host in helpers:
            helper = self.fleet.record_of(host)
            if helper is not None:
                self._send(PING_REQUEST, nonce, record.host, helper, [])
        return await self._answered(nonce, answered, rounds=2)

    def _expect(self) -> tuple[int, asyncio.Future[None]]:
        self.nonce = (self.nonce + 1) % 2**32
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting[self.nonce] = future
        return self.nonce, future

    async def _answered(
        self, nonce: int, answered: asyncio.Future[None], rounds: int = 1
    ) -> bool:
        try:
            await asyncio.wait_for(answered, self.timeout_s * rounds)
        except TimeoutError:
            self.counts.add('probe.unanswered')
            return False
        finally:
            self.waiting.pop(nonce, None)
        return True

    def _declare_dead(self, host: str) -> None:
        self.suspicions.drop(host)
        record = self.fleet.record_of(host)
        if record is not None and record.status is members.Status.SUSPECT:
            self.counts.add('probe.declared-dead')
            self.fleet.offer(suspicion.dead(record))

    def _send(
        self,
        kind: int,
        nonce: int,
        subject: str,
        to: members.MemberRecord,
        facts: list[members.MemberRecord],
    ) -> None:
        probe = control_pb2.Probe(
            kind=kind,
            nonce=nonce,
            source=self.host,
            subject=subject,
            facts=[self.encode(one) for one in facts],
        )
        self._send_to(probe, (to.address, to.probe_port))

    def _send_to(self, probe: control_pb2.Probe, address: Address) -> None:
        if self.transport is None:
            return
        data = probe.SerializeToString()
        self.counts.add('probe.sent-bytes', len(data))
        self.counts.add('probe.sent-messages')
        self.transport.sendto(data, address)

    encode: Callable[[members.MemberRecord], control_pb2.Member]
    decode: Callable[[control_pb2.Member], members.MemberRecord]

    def received(self, data: bytes, address: Address) -> None:
        """Answer or take in one datagram; what is unreadable is counted."""
        self.counts.add('probe.received-bytes', len(data))
        self.counts.add('probe.received-messages')
        probe = control_pb2.Probe()
        try:
            probe.ParseFromString(data)
            for one in probe.facts:
                self.fleet.offer(self.decode(one))
        except (protobuf_message.DecodeError, errors.CodecError):
            self.counts.add('probe.unreadable')
            return
        if probe.kind == PING and probe.subject == self.host:
            self._acknowledge(probe, address)
        elif probe.kind == PING_REQUEST:
            asyncio.ensure_future(self._probe_for(probe, address))
        elif probe.kind == ACK:
            waiting = self.waiting.get(probe.nonce)
            if waiting is not None and not waiting.done():
                waiting.set_result(None)

    def _acknowledge(self, probe: control_pb2.Probe, address: Address) -> None:
        ack = control_pb2.Probe(kind=ACK, nonce=probe.nonce, source=self.host)
        self._send_to(ack, address)

    async def _probe_for(
        self, request: control_pb2.Probe, address: Address
    ) -> None:
        record = self.fleet.record_of(request.subject)
        if record is not None and await self._ping(record):
            self._acknowledge(request, address)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, prober: Prober) -> None:
        self.prober = prober

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.prober.received(data, addr)

    def error_received(self, exc: Exception) -> None:
        self.prober.counts.add('probe.send-failed')


@contextlib.asynccontextmanager
async def listening(
    prober: Prober, address: str, port: int
) -> AsyncIterator[int]:
    """Open the probe port and yield the one in use.

    :raises errors.PeridotError: the port is taken.
    """
    loop = asyncio.get_running_loop()
    try:
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(prober), local_addr=(address, port)
        )
    except OSError as error:
        raise errors.PeridotError(
            f'the probe port cannot be opened ({error.strerror}); set '
            'listen.probe_port to a free one',
            step='probe.listen',
            peer=f'{address}:{port}',
        ) from error
    prober.transport = transport
    try:
        yield transport.get_extra_info('sockname')[1]
    finally:
        prober.transport = None
        transport.close()
