"""HTTP server ports for requests of callers, targets and the platform."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import socket
from typing import cast
from typing import Protocol

import httptools

from peridotpost.decisions import memoryaccount
from peridotpost.model import mesh
from peridotpost.proxy import bodies
from peridotpost.proxy import deadlines
from peridotpost.proxy import headernames
from peridotpost.proxy import http1

BACKLOG = 1024
CHECK_INTERVAL_S = 1.0
"""Interval between checks of all connections for timeouts."""
IDLE_SLACK_S = 1.0
"""Connections are kept open this much longer than their limits, so that a
request sent just before a limit does not race with the close."""
MAX_PIPELINED = 32
"""Number of requests that may wait on a connection that is busy."""
MAX_ROOM_WAIT_S = 1.0
"""Longest time for which a request waits for room for its body."""
ROOM_WAIT_SHARE = 0.3
"""The same, as a share of the time that the caller states."""
NO_ROOM_RETRY_AFTER_S = 0.5
"""Retry-After of a request for whose body there is no room."""
MAX_BODY_S = 60.0
"""Longest time in which a body has to arrive."""
DISCARD_S = 2.0
"""Time for a client to read a response sent before its request was read."""
DISCARD_PAUSE_S = 0.01
"""Pause between two reads of what such a client still sends: it may send as
fast as the link allows, and everything else on this host would wait."""
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response to send to the client."""

    status: int
    head: bytes = b''
    body: bodies.Body = b''
    reason: bytes = b''


class PendingRequest(Protocol):
    """A request that is being processed."""

    def abandoned(self) -> None:
        """Stop work on the request, as the client disconnected."""


Respond = Callable[[Reply], None]
Handler = Callable[[http1.Message, Respond], PendingRequest | None]


class NullSink:
    """Receives nothing, in place of a connection that is closed."""

    def head_read(self, message: http1.Message) -> None:
        """Do nothing."""

    def message_read(self, message: http1.Message) -> None:
        """Do nothing."""


NO_SINK = NullSink()


class ServerConnection(asyncio.Protocol):
    """Server side of a connection; requests are processed one at a time.

    :param waiting: complete requests that are not processed yet.
    :param current: the request that is being processed.
    :param busy: whether a request is being processed.
    :param delivering: whether a response is not written completely.
    :param discarding: whether what is received is dropped until the client
        has read a refusal and closes the connection.
    :param state_since: when it became idle, when the current message began
        to arrive, or when the client last read a part of a response.
    :param unsent: bytes of a response that were unwritten when last looked.
    :param declined: request that offers an upgrade, until its body is read.
    :param unread_body: large body of a response being written.
    :param charged: bytes that are charged for a response being written.
    """

    def __init__(self, port: 'Port') -> None:
        self.port = port
        self.transport: asyncio.Transport | None = None
        self.reader = http1.MessageReader(
            port.header_names,
            self,
            port.memory,
            memoryaccount.Kind.REQUEST,
        )
        self.parser = http1.request_parser(self.reader)
        self.waiting: list[http1.Message] = []
        self.current: http1.Message | None = None
        self.declined: http1.Message | None = None
        self.busy = False
        self.delivering = False
        self.discarding = False
        self.unsent = 0
        self.unread_body: bodies.Body = b''
        self.charged = 0
        self.pending: PendingRequest | None = None
        self.close_after_response = False
        self.reading_stopped = False
        self.state_since = deadlines.now()
        self.head_complete = False
        self.room_wait: bodies.RoomWait | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port.connections.add(self)

    @property
    def reading_message(self) -> bool:
        """Whether a part of a request has arrived."""
        return self.reader.in_progress

    @property
    def occupied(self) -> bool:
        """Whether a request is processed or its response is delivered."""
        return self.busy or self.delivering or self.discarding

    def data_received(self, data: bytes) -> None:
        if self.reading_stopped:
            self._discard()
            return
        if not self.reading_message:
            if not self.occupied:
                self.state_since = deadlines.now()
            limits = self.port.limits
            self.reader.max_body_bytes = limits.max_body_bytes
            self.reader.max_head_bytes = limits.max_header_bytes
        try:
            self._parse(data)
            self._claim_room(self.reader.message)
        except (
            httptools.HttpParserError,
            http1.TooLarge,
            bodies.NoRoom,
        ) as error:
            self._refuse(error)

    def _discard(self) -> None:
        """Drop received bytes, no faster than `DISCARD_PAUSE_S` allows."""
        if self.discarding and self.transport is not None:
            self.transport.pause_reading()
            loop = asyncio.get_running_loop()
            loop.call_later(DISCARD_PAUSE_S, self._resume_discarding)

    def _resume_discarding(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.reader.feed(self.parser, data)
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
            else:
                return
            message = self.declined
            self.declined = None
            if message is None:
                # Data of a tunnel, which is not opened, is not read.
                self.reading_stopped = True
                return
            # Declines the upgrade.  The parser treats what follows the head
            # as another protocol, but it is the body of this request.
            self.reader.resume(message)
            self.parser = http1.request_parser(self.reader)
            data = http1.render_body_head(message) + data

    def head_read(self, message: http1.Message) -> None:
        if self.reading_stopped:
            return
        self.head_complete = True
        size = message.head_bytes + bodies.SMALL_BODY_BYTES
        if message.incoming is None:
            length = self.reader.expected_length(message) or 0
            size = message.head_bytes + length
        if not self.port.memory.take(memoryaccount.Kind.SMALL, size):
            raise bodies.NoRoom
        message.charged = size
        self._claim_room(message)
        if message.expects_continue and self.room_wait is None:
            self._send_continue()

    def _send_continue(self) -> None:
        if self.transport is not None:
            self.transport.write(CONTINUE)

    def message_read(self, message: http1.Message) -> None:
        if self.reading_stopped:
            return
        self.head_complete = False
        message.method = self.parser.get_method()
        message.keep_alive = self.parser.should_keep_alive()
        if self.parser.should_upgrade() and message.method != b'CONNECT':
            self.declined = message
            return
        self.waiting.append(message)
        self._begin_next()
        if len(self.waiting) > MAX_PIPELINED:
            self._refuse(http1.TooLarge())

    def _claim_room(self, message: http1.Message) -> None:
        """Pause reading while there is no room for a large body.

        :raises bodies.NoRoom: there won't be room, or too many wait for it.
        """
        incoming = message.incoming
        if incoming is None or self.room_wait is not None or incoming.claim():
            return
        assert self.transport is not None
        wait = bodies.RoomWait(
            incoming, self.port.room.timer, lambda: self._room_granted(message)
        )
        if wait.claim is None:
            raise bodies.NoRoom
        self.port.counts.add('requests.paused')
        self.room_wait = wait
        self.transport.pause_reading()
        limit_s = MAX_ROOM_WAIT_S
        if message.deadline_ms.isdigit():
            stated_s = int(message.deadline_ms) / 1000
            limit_s = min(limit_s, stated_s * ROOM_WAIT_SHARE)
        wait.expire_at(
            deadlines.now() + limit_s,
            lambda: self._reject_without_room(message),
        )

    def _room_granted(self, message: http1.Message) -> None:
        self.room_wait = None
        if self.transport is None or self.transport.is_closing():
            return
        if message.expects_continue and not message.body_size:
            self._send_continue()
        self.transport.resume_reading()
        if self.reader.message is not message:
            # All of it had arrived before there was room.
            self._begin_next()

    def _reject_without_room(self, message: http1.Message) -> None:
        """Reject a request whose body has no room; it has not run."""
        message.incoming = None
        self._release(message)
        self._end_with(self.port.no_room_reply())

    def _begin(self, message: http1.Message) -> None:
        self.busy = True
        self.current = message
        self.close_after_response = not message.keep_alive
        pending = self.port.handle(message, self._respond)
        # The handler may already have responded.
        if self.busy:
            self.pending = pending

    def _respond(self, reply: Reply) -> None:
        transport = self.transport
        self.busy = False
        self.pending = None
        if self.current is not None:
            self._release(self.current)
            self.current = None
        self.state_since = deadlines.now()
        if transport is None or transport.is_closing():
            return
        close = (
            self.close_after_response
            or self.port.closing
            or self.reading_stopped
        )
        transport.writelines(
            http1.render_response(
                reply.status, reply.reason, reply.head, reply.body, close
            )
        )
        self._note_unsent(reply)
        if close:
            transport.close()
        elif not self.delivering:
            self._begin_next()

    def _begin_next(self) -> None:
        """Begin the next request, unless its body still waits for room."""
        if not self.waiting or self.occupied or self.room_wait is not None:
            return
        message = self.waiting[0]
        http1.complete_body(message)
        if message.incoming is None:
            del self.waiting[0]
            self._begin(message)
            return
        try:
            self._claim_room(message)
        except bodies.NoRoom as error:
            self._refuse(error)

    def _note_unsent(self, reply: Reply) -> None:
        """Charge a response that the client has not read yet.

        A large body is charged already.
        """
        assert self.transport is not None
        self.unsent = self.transport.get_write_buffer_size()
        if not self.unsent:
            return
        self.delivering = True
        if not isinstance(reply.body, bytes):
            self.unread_body = reply.body
            return
        if self.port.memory.take(memoryaccount.Kind.SMALL, self.unsent):
            self.charged = self.unsent
        else:
            self.port.counts.add('responses.no-room')
            self.transport.abort()

    def pause_writing(self) -> None:
        """Do nothing: `_note_unsent` looks at the buffer."""

    def resume_writing(self) -> None:
        """Continue after a response was written completely."""
        if not self.delivering:
            return
        self.delivering = False
        self.state_since = deadlines.now()
        self._release_response()
        if self.transport is None or self.transport.is_closing():
            return
        if self.reading_stopped:
            self.transport.close()
        else:
            self._begin_next()

    def _release(self, message: http1.Message) -> None:
        if message.charged:
            charged, message.charged = message.charged, 0
            self.port.memory.give_back(charged)

    def _release_response(self) -> None:
        self.unread_body = b''
        charged, self.charged = self.charged, 0
        if charged:
            self.port.memory.give_back(charged)

    def _refuse(self, error: Exception) -> None:
        """Respond to an invalid request and stop reading."""
        cause = error.__context__
        if isinstance(error, bodies.NoRoom) or isinstance(
            cause, bodies.NoRoom
        ):
            self._end_with(self.port.no_room_reply())
            return
        too_large = isinstance(error, http1.TooLarge) or isinstance(
            cause, http1.TooLarge
        )
        status = 400
        if too_large:
            status = self._too_large_status()
        self._end_with(Reply(status))

    def _too_large_status(self) -> int:
        message = self.reader.message
        if message.body_size:
            return 413
        is_target = len(message.target) > self.reader.max_head_bytes
        return 414 if is_target else 431

    def _end_with(self, reply: Reply) -> None:
        """Read no more requests; send a last response unless one is due.

        What the client is still sending is read and dropped until it closes
        the connection: closing it now would reset it, and the client might
        lose the response.
        """
        self.reading_stopped = True
        was_paused = self.room_wait is not None
        self._stop_waiting()
        self._release(self.reader.message)
        self.reader.message = http1.NO_MESSAGE
        transport = self.transport
        if self.occupied or transport is None or transport.is_closing():
            return
        self.state_since = deadlines.now()
        self.discarding = True
        transport.writelines(
            http1.render_response(
                reply.status, reply.reason, reply.head, reply.body, True
            )
        )
        transport.write_eof()
        if was_paused:
            transport.resume_reading()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.port.connections.discard(self)
        self.transport = None
        self.busy = self.delivering = False
        self._stop_waiting()
        for message in (*self.waiting, self.reader.message, self.current):
            if message is not None:
                self._release(message)
        self._release_response()
        self.waiting.clear()
        self.current = None
        pending = self.pending
        self.pending = None
        # The parser refers to the reader.  A cycle would keep the connection
        # until the next collection.
        self.reader.sink = NO_SINK
        self.reader.message = http1.NO_MESSAGE
        if pending is not None:
            pending.abandoned()

    def _stop_waiting(self) -> None:
        if self.room_wait is not None:
            self.room_wait.cancel()
            self.room_wait = None

    def close_if_idle(self) -> None:
        if (
            not self.occupied
            and not self.reading_message
            and self.transport is not None
        ):
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Time out a connection that is idle, or that is too slow."""
        transport = self.transport
        if self.busy or transport is None:
            return
        elapsed_s = now - self.state_since
        limits = self.port.limits
        if self.discarding:
            if elapsed_s > DISCARD_S:
                transport.abort()
        elif self.delivering:
            self._check_delivery(now)
        elif self.room_wait is not None:
            return
        elif self.reading_message:
            if elapsed_s > self._read_limit_s():
                self.port.counts.add('requests.own-408')
                self._end_with(Reply(408))
        elif elapsed_s > limits.idle_timeout_s + IDLE_SLACK_S:
            transport.close()

    def _read_limit_s(self) -> float:
        """Return how long the current message may take to arrive."""
        if not self.head_complete:
            return self.port.limits.header_timeout_s + IDLE_SLACK_S
        stated_ms = self.reader.message.deadline_ms
        if stated_ms.isdigit():
            return min(int(stated_ms) / 1000, MAX_BODY_S)
        return MAX_BODY_S

    def _check_delivery(self, now: float) -> None:
        """Give up a response of which the client reads nothing more."""
        assert self.transport is not None
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.unsent:
            self.unsent = unsent
            self.state_since = now
        elif now - self.state_since > self.port.limits.idle_timeout_s:
            self.port.counts.add('responses.not-read')
            self.transport.abort()


class Port:
    """One listening port and its connections.

    :param room: memory that the messages of all connections share.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        handle: Handler,
        room: bodies.Room,
    ) -> None:
        self.header_names = header_names
        self.handle = handle
        self.room = room
        self.memory = room.account
        self.counts = room.counts
        self.limits = mesh.CallerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.server: asyncio.Server | None = None

    @property
    def busy_count(self) -> int:
        """Number of connections with a request or response in progress."""
        return sum(connection.occupied for connection in self.connections)

    def no_room_reply(self) -> Reply:
        """Count and return the rejection of a request without room."""
        self.counts.add('requests.no-room')
        head = b'Retry-After: %.3f\r\n' % NO_ROOM_RETRY_AFTER_S
        return Reply(503, head)

    def close_timed_out(self) -> None:
        now = deadlines.now()
        for connection in list(self.connections):
            connection.close_if_timed_out(now)

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_idle(self) -> None:
        """Close connections without a request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        self.stop_listening()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()


async def listen(
    protocol_factory: Callable[[], asyncio.Protocol], address: str, number: int
) -> asyncio.Server:
    """Listen at an IP address and port number.

    The socket is opened here, because uvloop would resolve the address in a
    thread and import the codec for international names, 0.5 MB of memory.

    :raises OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = socket.create_server(
        (address, number), family=family, backlog=BACKLOG
    )
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        protocol_factory, sock=sock, backlog=BACKLOG
    )


@contextlib.asynccontextmanager
async def listening(
    port: Port, address: str, number: int
) -> AsyncIterator[Port]:
    """Listen at an address and port number while in the context.

    :raises OSError: the address can't be bound.
    """
    port.server = await listen(lambda: ServerConnection(port), address, number)
    try:
        yield port
    finally:
        port.close()
