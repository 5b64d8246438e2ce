"""Streams between daemons: the side that dials sends dispatches."""

import asyncio
from collections.abc import Callable
import itertools
import socket
from typing import cast
from typing import Protocol
import zlib

from peridotpost.kernel import counters
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import deadlines
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import orders

CONNECT_TIMEOUT_S = 0.6
"""Ten times the longest way between zones there and back."""
SILENCE_S = 0.15
"""Without a byte for so long while something is owed, a ping is sent."""
SUSPECT_S = 0.25
"""After a ping is unanswered for so long, what may run twice is sent to
another target; the longest way there and back is a tenth of it."""
DEAD_S = 1.2
"""A stream on which a ping stays unanswered for so long is given up: it
may be silent for good while a fresh one works.  Long enough for a host
that only is slow to still bring its answers."""
IDLE_PING_S = 2.0
"""Pause between pings on a stream that carries nothing."""
FAR_IDLE_PING_S = 20.0
"""The same to another zone, where bytes are dear; a stream that died
unnoticed is found out by the first request on it, within ``SILENCE_S`` and
``SUSPECT_S``."""
SWEEP_S = 0.1
MAX_BUFFERED = 32 * 1024 * 1024
"""Bytes that a peer that does not read may hold of our memory."""


class Neighbour(Protocol):
    """What a stream's owner does with frames that are not of calls."""

    version: int
    counts: counters.Counters
    leaving: bool

    def hello(self, compressed: bool) -> frames.Hello:
        """Return what is told first."""

    def is_far(self, availability_zone: str) -> bool:
        """Whether bytes to that zone are dear."""

    def met(self, stream: 'PeerStream', told: frames.Hello) -> None:
        """The other side said who it is."""

    def notice(self, stream: 'PeerStream', frame: frames.Frame) -> None:
        """Handle a frame on configuration, membership or crashes."""

    def stream_lost(self, stream: 'PeerStream') -> None:
        """The stream is no more."""


class PeerStream(asyncio.Protocol):
    """One TCP stream to another daemon; writes go out once a loop turn.

    :param zone: the other side's, where this side dialled and so sends
        dispatches; None where the other side did.
    :param incarnation: of the other side's process; 0 until it said who it
        is.
    :param version: of the configuration that it had when it said so.
    """

    def __init__(
        self, owner: Neighbour, guard: guards.Guard, zone: str | None = None
    ) -> None:
        self.owner = owner
        self.guard = guard
        self.dialled = zone is not None
        self.zone = zone or ''
        self.slow = False
        self.version = 0
        self.deflater: zlib._Compress | None = None
        self.idle_ping_s = IDLE_PING_S
        self.reader = frames.FrameReader()
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []
        self.flushing = False
        self.closed = False
        self.numbers = itertools.count(1)
        self.sent: dict[int, forwarding.Order] = {}
        self.received: dict[int, forwarding.Order] = {}
        self.host = ''
        self.incarnation = 0
        self.received_at = deadlines.now()
        self.owed_since = 0.0
        self.pinged_at = 0.0
        self.on_load: Callable[[float, float], None] | None = None
        self.on_run: Callable[[str, float], None] | None = None
        self.asked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        opened = transport.get_extra_info('socket')
        if opened is not None:
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.dialled:
            self._greet()

    def _greet(self) -> None:
        """Say who this is; what follows to another zone is compressed."""
        far = self.owner.is_far(self.zone)
        assert self.transport is not None
        self.transport.write(frames.encode(self.owner.hello(far)))
        if far:
            self.deflater = frames.deflater()
            self.idle_ping_s = FAR_IDLE_PING_S

    def send(self, frame: frames.Frame) -> None:
        """Queue a frame for the end of this turn of the loop."""
        if self.closed:
            return
        raw = frames.encode(frame)
        self.pending.append(raw)
        if self.deflater is not None:
            kind = type(frame).__name__.lower()
            self.owner.counts.add(f'far-bytes.{kind}', len(raw))
        if not self.flushing:
            self.flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        if self.closed or self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_BUFFERED:
            self.close()
            return
        pending = self.pending
        self.pending = []
        raw = pending[0] if len(pending) == 1 else b''.join(pending)
        if self.deflater is not None:
            raw = self.deflater.compress(raw)
            raw += self.deflater.flush(zlib.Z_SYNC_FLUSH)
            self.owner.counts.add('far-bytes.sent', len(raw))
            self.owner.counts.add('far-writes')
        self.transport.write(raw)

    def dispatch(self, order: forwarding.Order) -> None:
        """Send an order to the other side's guard."""
        now = deadlines.now()
        number = next(self.numbers)
        order.number = number
        if not self.sent:
            self.owed_since = now
        self.sent[number] = order
        self.send(orders.dispatch_of(number, order, now))

    def withdraw(self, order: forwarding.Order) -> None:
        """Tell the other side that nobody waits for `order`."""
        self.send(frames.Cancel(order.number))

    def data_received(self, data: bytes) -> None:
        self.received_at = deadlines.now()
        self.pinged_at = 0.0
        try:
            found = self.reader.feed(data)
        except frames.BadFrame:
            self.close()
            return
        withdrawn = {
            frame.number for frame in found if type(frame) is frames.Cancel
        }
        for frame in found:
            if type(frame) is frames.Dispatch and frame.number in withdrawn:
                # Both waited while this process stood still.  Run now, it
                # would run for a caller that has long been answered.
                refused = forwarding.Refused(forwarding.Refusal.WITHDRAWN)
                self._reply(frame, refused)
                continue
            self._handle(frame)

    def _handle(self, frame: frames.Frame) -> None:
        # By how often they come; singledispatch would cost more than the
        # handling of the small ones.
        kind = type(frame)
        if kind is frames.Dispatch:
            self._dispatched(cast(frames.Dispatch, frame))
        elif kind is frames.Answered:
            self._answered(cast(frames.Answered, frame))
        elif kind is frames.RefusedFrame:
            self._refused(cast(frames.RefusedFrame, frame))
        elif kind is frames.LostFrame:
            lost = cast(frames.LostFrame, frame)
            self._settle(
                lost.number, forwarding.Lost(lost.detail, lost.crashed)
            )
        elif kind is frames.BodyWanted:
            self._body_wanted(cast(frames.BodyWanted, frame).number)
        elif kind is frames.Body:
            body = cast(frames.Body, frame)
            wanting = self.received.get(body.number)
            if wanting is not None:
                self.guard.body_came(wanting, body.body)
        elif kind is frames.Cancel:
            order = self.received.get(cast(frames.Cancel, frame).number)
            if order is not None:
                self.guard.cancel(order)
        elif kind is frames.Ping:
            told = cast(frames.Ping, frame).version
            self.send(
                frames.Pong(self._load(), self.owner.version, self._failing())
            )
            self.owner.notice(self, frames.Version(told))
        elif kind is frames.Pong:
            pong = cast(frames.Pong, frame)
            self._note_load(pong.load, pong.failing)
            self.owner.notice(self, frames.Version(pong.version))
        elif kind is frames.Hello:
            self._met(cast(frames.Hello, frame))
        else:
            self.owner.notice(self, frame)

    def _met(self, told: frames.Hello) -> None:
        self.host = told.host
        self.incarnation = told.incarnation
        self.slow = told.slow
        self.version = told.version
        if not self.dialled:
            self.zone = told.availability_zone
            self._greet()
        self.owner.met(self, told)

    def _dispatched(self, told: frames.Dispatch) -> None:
        now = deadlines.now()
        number = told.number

        def done(outcome: forwarding.Outcome) -> None:
            self.received.pop(number, None)
            self._reply(told, outcome)

        order = orders.order_of(told, now, done)
        if told.body_later:
            order.fetch_body = lambda: self.send(frames.BodyWanted(number))
        self.received[number] = order
        self.guard.submit(order)

    def _body_wanted(self, number: int) -> None:
        order = self.sent.get(number)
        if order is not None:
            self.send(frames.Body(number, order.body))

    def _reply(
        self, told: frames.Dispatch, outcome: forwarding.Outcome
    ) -> None:
        run_s = self.guard.queue.times.expected_s(told.route)
        self.send(
            orders.reply_of(
                told.number, outcome, self._load(), run_s, self._failing()
            )
        )

    def _load(self) -> int:
        return int(self.guard.queue.load * 100)

    def _failing(self) -> int:
        return int(self.guard.failures.value(deadlines.now()) * 100)

    def _answered(self, told: frames.Answered) -> None:
        self._note_load(told.load, told.failing)
        self._note_run(told.number, told.run_ms)
        self._settle(told.number, orders.answer_of(told))

    def _refused(self, told: frames.RefusedFrame) -> None:
        self._note_load(told.load, told.failing)
        self._note_run(told.number, told.run_ms)
        self._settle(told.number, orders.refusal_of(told))

    def _note_load(self, load: int, failing: int) -> None:
        if self.on_load is not None:
            self.on_load(load / 100, failing / 100)

    def _note_run(self, number: int, run_ms: int) -> None:
        order = self.sent.get(number)
        if run_ms and order is not None and self.on_run is not None:
            self.on_run(order.route, run_ms / 1000)

    def _settle(self, number: int, outcome: forwarding.Outcome) -> None:
        order = self.sent.pop(number, None)
        if order is not None:
            order.settle(outcome)

    def check(self, now: float) -> None:
        """Ping a silent stream, give up one that stays silent.

        A daemon that is leaving waits for what it has sent as long as the
        deadlines allow.  Its callers have nobody else to ask on their
        connections, and most silent peers are only busy: given up, a run
        that would have been answered is cut, and its caller gets 502.
        """
        if self.pinged_at:
            if self.owner.leaving and self.sent:
                return
            silent_s = now - self.pinged_at
            if silent_s > DEAD_S:
                self.close()
            elif silent_s > SUSPECT_S:
                self._move_what_may_run_twice()
            return
        quiet_since = self.received_at
        if self.sent:
            quiet_since = max(quiet_since, self.owed_since)
        bound = SILENCE_S if self.sent else self.idle_ping_s
        if self.dialled and now - quiet_since > bound:
            self.pinged_at = now
            self.send(frames.Ping(self.owner.version))

    def _move_what_may_run_twice(self) -> None:
        for number, order in list(self.sent.items()):
            if order.idempotent and order.may_move():
                del self.sent[number]
                self.send(frames.Cancel(number))
                order.settle(forwarding.Lost(f'{self.host} is silent'))

    @property
    def suspect(self) -> bool:
        """Whether the other side owes a sign of life."""
        return self.closed or self.pinged_at > 0.0 and bool(self.sent)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        else:
            self.connection_lost(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.closed:
            return
        self.closed = True
        self.owner.stream_lost(self)
        for order in list(self.received.values()):
            # Nobody is left to get the answer.
            self.guard.cancel(order)
        sent = list(self.sent.values())
        self.sent.clear()
        for order in sent:
            order.settle(forwarding.Lost(f'stream to {self.host} lost'))


async def dial(
    owner: Neighbour,
    guard: guards.Guard,
    record: instances.HostRecord,
) -> PeerStream:
    """Open a stream to another daemon.

    :raises OSError: it is not there; ``TimeoutError`` included.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, stream = await loop.create_connection(
            lambda: PeerStream(owner, guard, record.availability_zone),
            record.address,
            record.port,
        )
    return stream
