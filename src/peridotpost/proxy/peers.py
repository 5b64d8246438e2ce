"""Streams between daemons; the side that opens one sends the dispatches."""

import asyncio
from collections.abc import Callable
import itertools
import socket
from typing import cast
from typing import Protocol
import zlib

from peridotpost.decisions import memoryaccount
from peridotpost.kernel import counters
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import bodies
from peridotpost.proxy import bodypulls
from peridotpost.proxy import deadlines
from peridotpost.proxy import frameconversion
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import listener

CONNECT_TIMEOUT_S = 0.6
"""Ten times the longest round trip between zones."""
PING_AFTER_S = 0.15
"""A ping is sent if nothing is received for this long while dispatches are
outstanding."""
REROUTE_AFTER_S = 0.25
"""If a ping is unanswered for this long, idempotent requests are rerouted to
another target; the longest round trip is a tenth of it."""
CLOSE_AFTER_S = 1.2
"""If a ping is unanswered for this long, the stream is closed: it may stay
silent forever while a new one would work.  Long enough for a host that is
only slow to deliver its responses."""
IDLE_PING_S = 2.0
"""Interval between pings on an idle stream."""
REMOTE_ZONE_IDLE_PING_S = 20.0
"""The same for a stream to a remote zone, where traffic is expensive.  A
stream that died unnoticed is detected by the first request on it, within
``PING_AFTER_S`` plus ``REROUTE_AFTER_S``."""
CHECK_INTERVAL_S = 0.1
"""Interval between checks of all streams for silent peers."""
MAX_BACKLOG_BYTES = 1024 * 1024
"""Size of the write buffer above which nothing is dispatched to a peer."""
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""Limit of the write buffer; a peer that stops reading is disconnected."""


StatementCallback = Callable[[instances.TargetStatement | None, bool], None]
"""Receives what a target stated, and whether it came with an answer."""


class StreamOwner(Protocol):
    """Owner of a stream; handles the frames that do not concern requests."""

    version: int
    counts: counters.Counters
    leaving: bool

    def hello(self, compressed: bool, host: str) -> frames.Hello:
        """Return the first frame to send to a host."""

    def is_remote_zone(self, availability_zone: str) -> bool:
        """Whether a zone is not this host's own, so traffic is expensive."""

    def handle_hello(self, stream: 'PeerStream', hello: frames.Hello) -> None:
        """Handle the peer's `Hello`, which identifies it."""

    def handle_frame(self, stream: 'PeerStream', frame: frames.Frame) -> None:
        """Handle a frame on configuration, releases, membership or crashes."""

    def stream_lost(self, stream: 'PeerStream') -> None:
        """Handle the end of the stream."""


class PeerStream(asyncio.Protocol):
    """One TCP stream to another daemon.

    Frames are batched into one write per iteration of the event loop.

    :param zone: the peer's zone if this side opened the stream and so sends
        dispatches; None if the peer opened it.
    :param host: name of the peer's host; empty until its `Hello` arrives if
        the peer opened the stream.
    :param incarnation: the peer's process; 0 until its `Hello` arrives.
    :param version: the peer's configuration version in its `Hello`.
    :param hosts_requested: whether the peer was asked which daemons it knows.
    :param confirmed: whether the peer, which opened the stream, has received
        the `Hello` of this side.
    :param answered_at: when the peer last showed that frames pass both ways.
    :param sent_orders: orders that the peer has not settled, by number.
    :param received_orders: orders of the peer that are not settled yet.
    :param pulls: bodies that the peer was asked for, by number.
    :param offered: bodies of responses that the peer may ask for, by number.
    :param takes_parts: whether the peer asks for the bodies of responses.
    :param known_incarnation: the process of this host whose target the peer
        followed last, as its `Hello` says; 0 if none.
    """

    def __init__(
        self,
        owner: StreamOwner,
        guard: guards.Guard,
        zone: str | None = None,
        host: str = '',
    ) -> None:
        self.owner = owner
        self.guard = guard
        self.dialled = zone is not None
        self.zone = zone or ''
        self.has_slow_link = False
        self.version = 0
        self.compresses = False
        self.deflater: zlib._Compress | None = None
        self.idle_ping_s = IDLE_PING_S
        self.reader = frames.FrameReader()
        self.transport: asyncio.Transport | None = None
        self.write_queue: list[bytes] = []
        self.flush_scheduled = False
        self.closed = False
        self.dispatch_numbers = itertools.count(1)
        self.sent_orders: dict[int, forwarding.Order] = {}
        self.received_orders: dict[int, forwarding.Order] = {}
        self.pulls: dict[int, bodypulls.BodyPull] = {}
        self.offered: dict[int, bodies.Body] = {}
        self.takes_parts = False
        self.known_incarnation = 0
        self.host = host
        self.incarnation = 0
        self.received_at = deadlines.now()
        self.unanswered_since = 0.0
        self.pinged_at = 0.0
        self.on_load: Callable[[float, float], None] | None = None
        self.on_run: Callable[[str, float], None] | None = None
        self.on_statement: StatementCallback | None = None
        self.hosts_requested = False
        self.confirmed = False
        self.answered_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.dialled:
            self._send_hello()

    def _send_hello(self) -> None:
        """Send `Hello`; later frames to a remote zone are compressed."""
        remote_zone = self.owner.is_remote_zone(self.zone)
        assert self.transport is not None
        hello = self.owner.hello(remote_zone, self.host)
        self.transport.write(frames.encode(hello))
        if remote_zone:
            self.compresses = True
            self.idle_ping_s = REMOTE_ZONE_IDLE_PING_S

    def send(self, frame: frames.Frame) -> None:
        """Queue a frame for the next write."""
        if self.closed:
            return
        raw = frames.encode(frame)
        self.write_queue.append(raw)
        if self.compresses:
            kind = type(frame).__name__.lower()
            self.owner.counts.add(f'far-bytes.{kind}', len(raw))
        if not self.flush_scheduled:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        if self.closed or self.transport is None:
            return
        if self.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self.close()
            return
        pending = self.write_queue
        self.write_queue = []
        raw = pending[0] if len(pending) == 1 else b''.join(pending)
        if self.compresses:
            if self.deflater is None:
                self.deflater = frames.deflater()
            raw = self.deflater.compress(raw)
            raw += self.deflater.flush(zlib.Z_SYNC_FLUSH)
            self.owner.counts.add('far-bytes.sent', len(raw))
            self.owner.counts.add('far-writes')
        self.transport.write(raw)

    def dispatch(self, order: forwarding.Order) -> bool:
        """Send an order to the other side's guard; False if it can't be."""
        if self.closed or self.backlog > MAX_BACKLOG_BYTES:
            return False
        now = deadlines.now()
        number = next(self.dispatch_numbers)
        order.number = number
        if not self.sent_orders:
            self.unanswered_since = now
        self.sent_orders[number] = order
        self.send(frameconversion.dispatch_frame(number, order, now))
        return True

    @property
    def backlog(self) -> int:
        """Bytes that the peer has not taken yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    @property
    def delivers(self) -> bool:
        """Whether responses are still to be taken by the peer."""
        return bool(self.offered or self.write_queue or self.backlog)

    def withdraw(self, order: forwarding.Order) -> None:
        """Tell the peer that the outcome of `order` is no longer needed.

        Does nothing if it was sent on an earlier stream, where another order
        had its number.
        """
        if self.sent_orders.get(order.number) is not order:
            return
        self.send(frames.Cancel(order.number))
        if order.number in self.pulls:
            # The peer has settled the order already.
            self._settle(order.number, forwarding.ResponseLost('withdrawn'))

    def data_received(self, data: bytes) -> None:
        self.received_at = deadlines.now()
        self.pinged_at = 0.0
        try:
            received = self.reader.feed(data)
        except frames.BadFrame:
            self.close()
            return
        withdrawn = {
            frame.number for frame in received if type(frame) is frames.Cancel
        }
        for frame in received:
            if type(frame) is frames.Dispatch and frame.number in withdrawn:
                # Both frames queued up while this process was stalled.  The
                # caller was already answered, so the request must not run.
                refused = forwarding.Refused(forwarding.Refusal.WITHDRAWN)
                self._reply(frame, refused)
                continue
            try:
                self._handle_frame(frame)
            except frames.BadFrame:
                self.close()
                return

    def _handle_frame(self, frame: frames.Frame) -> None:
        # Ordered by frequency.  ``functools.singledispatch`` would cost more
        # than handling the small frames does.
        kind = type(frame)
        if kind is frames.Dispatch:
            self._dispatch_received(cast(frames.Dispatch, frame))
        elif kind is frames.Answered:
            self._answer_received(cast(frames.Answered, frame))
        elif kind is frames.RefusedFrame:
            self._refusal_received(cast(frames.RefusedFrame, frame))
        elif kind is frames.LostFrame:
            lost = cast(frames.LostFrame, frame)
            self._settle(
                lost.number, forwarding.ResponseLost(lost.detail, lost.crashed)
            )
        elif kind is frames.BodyWanted:
            self._body_wanted(cast(frames.BodyWanted, frame))
        elif kind is frames.Body:
            part = cast(frames.Body, frame)
            pull = self.pulls.get(part.number)
            if pull is not None:
                pull.receive(part.body)
        elif kind is frames.Cancel:
            number = cast(frames.Cancel, frame).number
            self.offered.pop(number, None)
            order = self.received_orders.get(number)
            if order is not None:
                self.guard.cancel(order)
        elif kind is frames.Ping:
            peer_version = cast(frames.Ping, frame).version
            self.send(
                frames.Pong(
                    self._load_percent(),
                    self.owner.version,
                    self._failing_percent(),
                )
            )
            self.owner.handle_frame(self, frames.Version(peer_version))
        elif kind is frames.Pong:
            pong = cast(frames.Pong, frame)
            self.answered_at = self.received_at
            self._report_load(pong.load, pong.failing)
            self.owner.handle_frame(self, frames.Version(pong.version))
        elif kind is frames.HelloReceived:
            self.confirmed = True
            self.answered_at = self.received_at
        elif kind is frames.Hello:
            self._hello_received(cast(frames.Hello, frame))
        else:
            self.owner.handle_frame(self, frame)

    def _hello_received(self, hello: frames.Hello) -> None:
        self.host = hello.host
        self.incarnation = hello.incarnation
        self.has_slow_link = hello.has_slow_link
        self.version = hello.version
        self.takes_parts = hello.takes_parts
        self.known_incarnation = hello.known_incarnation
        if not self.dialled:
            self.zone = hello.availability_zone
            self._send_hello()
        self.owner.handle_hello(self, hello)

    def _dispatch_received(self, dispatch: frames.Dispatch) -> None:
        now = deadlines.now()
        number = dispatch.number
        memory = self.guard.room.account
        size = len(dispatch.head) + len(dispatch.body)
        if not memory.take(memoryaccount.Kind.SMALL, size):
            self.guard.room.counts.add('requests.no-room')
            self._reply(
                dispatch,
                forwarding.Refused(
                    forwarding.Refusal.NO_ROOM, listener.NO_ROOM_RETRY_AFTER_S
                ),
            )
            return

        def done(outcome: forwarding.Outcome) -> None:
            self.received_orders.pop(number, None)
            self.pulls.pop(number, None)
            memory.give_back(size)
            self._reply(dispatch, outcome)

        order = frameconversion.order_from_frame(dispatch, now, done)
        if dispatch.body_deferred:
            self._await_request_body(order, dispatch.body_size or None)
        self.received_orders[number] = order
        self.guard.submit(order)

    def _await_request_body(
        self, order: forwarding.Order, size: int | None
    ) -> None:
        """Have the guard ask for a body if it accepts the order."""
        incoming = bodies.IncomingBody(
            self.guard.room.account, memoryaccount.Kind.REQUEST, size
        )

        def completed(body: bodies.Body) -> None:
            self.pulls.pop(order.number, None)
            self.guard.receive_body(order, body)

        pull = bodypulls.BodyPull(order.number, incoming, self.send, completed)
        self.pulls[order.number] = pull
        order.reserve_body = incoming.claim
        order.fetch_body = pull.start

    def _body_wanted(self, wanted: frames.BodyWanted) -> None:
        number = wanted.number
        body: bodies.Body | None = self.offered.get(number)
        if self.dialled:
            order = self.sent_orders.get(number)
            body = order.body if order is not None else None
        if body is None:
            return
        end = wanted.offset + (wanted.size or len(body))
        self.send(frames.Body(number, bytes(body[wanted.offset : end])))
        if end >= len(body):
            self.offered.pop(number, None)

    def _reply(
        self, dispatch: frames.Dispatch, outcome: forwarding.Outcome
    ) -> None:
        run_s = self.guard.queue.times.expected_s(dispatch.route)
        deferred = (
            self.takes_parts
            and not self.closed
            and isinstance(outcome, forwarding.TargetAnswer)
            and len(outcome.body) > bodies.SMALL_BODY_BYTES
        )
        if deferred:
            assert isinstance(outcome, forwarding.TargetAnswer)
            self.offered[dispatch.number] = outcome.body
        self.send(
            frameconversion.outcome_frame(
                dispatch.number,
                outcome,
                self._load_percent(),
                run_s,
                self._failing_percent(),
                self.guard.adverts.stated,
                deferred,
            )
        )

    def _load_percent(self) -> int:
        return int(self.guard.queue.load(deadlines.now()) * 100)

    def _failing_percent(self) -> int:
        return int(self.guard.failures.value(deadlines.now()) * 100)

    def _answer_received(self, answer: frames.Answered) -> None:
        self._report_load(answer.load, answer.failing)
        self._report_run(answer.number, answer.run_ms)
        self._report_statement(answer.stated, True)
        if answer.body_size:
            self._pull_answer(answer)
        else:
            self._settle(
                answer.number,
                frameconversion.answer_from_frame(answer, answer.body),
            )

    def _pull_answer(self, answer: frames.Answered) -> None:
        """Ask for the body of a response once there is room for it."""
        number = answer.number
        if number not in self.sent_orders:
            self.send(frames.Cancel(number))
            return
        room = self.guard.room
        incoming = bodies.IncomingBody(
            room.account, memoryaccount.Kind.RESPONSE, answer.body_size
        )
        pull = bodypulls.BodyPull(
            number,
            incoming,
            self.send,
            lambda body: self._settle(
                number, frameconversion.answer_from_frame(answer, body)
            ),
        )
        self.pulls[number] = pull
        if not pull.wait_for_room(room):
            self.send(frames.Cancel(number))
            self._settle(
                number, forwarding.ResponseLost('no room for the answer')
            )

    def _refusal_received(self, refusal: frames.RefusedFrame) -> None:
        self._report_load(refusal.load, refusal.failing)
        self._report_run(refusal.number, refusal.run_ms)
        self._report_statement(refusal.stated, False)
        self._settle(
            refusal.number, frameconversion.refusal_from_frame(refusal)
        )

    def _report_load(self, load: int, failing: int) -> None:
        if self.on_load is not None:
            self.on_load(load / 100, failing / 100)

    def _report_statement(
        self, stated: frames.Statement | None, answered: bool
    ) -> None:
        if self.on_statement is not None:
            statement = frameconversion.statement_from_frame(stated)
            self.on_statement(statement, answered)

    def _report_run(self, number: int, run_ms: int) -> None:
        order = self.sent_orders.get(number)
        if run_ms and order is not None and self.on_run is not None:
            self.on_run(order.route, run_ms / 1000)

    def _settle(self, number: int, outcome: forwarding.Outcome) -> None:
        pull = self.pulls.pop(number, None)
        if pull is not None:
            pull.cancel()
        order = self.sent_orders.pop(number, None)
        if order is not None:
            order.settle(outcome)

    def check_liveness(self, now: float) -> None:
        """Ping a silent peer, and close the stream if it stays silent.

        A daemon that is shutting down keeps waiting for outstanding dispatches
        until their deadlines.  Most silent peers are only busy: closing the
        stream would abort runs that would still be answered, and callers,
        which have no other daemon to use on their connections, would get 502.
        """
        if self.pinged_at:
            if self.owner.leaving and self.sent_orders:
                return
            silent_s = now - self.pinged_at
            if silent_s > CLOSE_AFTER_S:
                self.close()
            elif silent_s > REROUTE_AFTER_S:
                self._reroute_idempotent()
            return
        quiet_since = self.received_at
        if self.sent_orders:
            quiet_since = max(quiet_since, self.unanswered_since)
        quiet_limit_s = PING_AFTER_S if self.sent_orders else self.idle_ping_s
        if self.dialled and now - quiet_since > quiet_limit_s:
            self.pinged_at = now
            self.send(frames.Ping(self.owner.version))

    def _reroute_idempotent(self) -> None:
        for number, order in list(self.sent_orders.items()):
            if order.idempotent and order.may_move():
                self.send(frames.Cancel(number))
                self._settle(
                    number, forwarding.ResponseLost(f'{self.host} is silent')
                )

    @property
    def suspect(self) -> bool:
        """Whether it is closed, or a ping and dispatches are unanswered."""
        return self.closed or self.pinged_at > 0.0 and bool(self.sent_orders)

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
        for pull in self.pulls.values():
            pull.cancel()
        self.pulls.clear()
        self.offered.clear()
        for order in list(self.received_orders.values()):
            # The response can no longer be delivered.
            self.guard.cancel(order)
        sent = list(self.sent_orders.values())
        self.sent_orders.clear()
        for order in sent:
            order.settle(
                forwarding.ResponseLost(f'stream to {self.host} lost')
            )


async def dial(
    owner: StreamOwner,
    guard: guards.Guard,
    record: instances.HostRecord,
) -> PeerStream:
    """Open a stream to another daemon.

    :raises OSError: it can't be reached; includes ``TimeoutError``.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, stream = await loop.create_connection(
            lambda: PeerStream(
                owner, guard, record.availability_zone, record.host
            ),
            record.address,
            record.port,
        )
    return stream
