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

from peridotpost.model import mesh
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
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response to send to the client."""

    status: int
    head: bytes = b''
    body: bytes = b''
    reason: bytes = b''


class PendingRequest(Protocol):
    """A request that is being processed."""

    def abandoned(self) -> None:
        """Stop work on the request, as the client disconnected."""


Respond = Callable[[Reply], None]
Handler = Callable[[http1.Message, Respond], PendingRequest | None]


class ServerConnection(asyncio.Protocol):
    """Server side of a connection; requests are processed one at a time.

    :param state_since: when it became idle, or when the current message
        began to arrive.
    """

    def __init__(self, port: 'Port') -> None:
        self.port = port
        self.transport: asyncio.Transport | None = None
        self.reader = http1.MessageReader(port.header_names, self)
        self.reader.max_body_bytes = port.limits.max_body_bytes
        self.reader.max_head_bytes = port.limits.max_header_bytes
        self.parser = http1.request_parser(self.reader)
        self.waiting: list[http1.Message] = []
        self.busy = False
        self.pending: PendingRequest | None = None
        self.close_after_response = False
        self.reading_stopped = False
        self.state_since = deadlines.now()
        self.reading_message = False
        self.head_complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self.reading_stopped:
            return
        if not self.busy and not self.reading_message:
            self.state_since = deadlines.now()
        self.reading_message = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request itself is complete and processed as usual; data of
            # the other protocol that follows is not read.
            self.reading_stopped = True
        except (httptools.HttpParserError, http1.TooLarge) as error:
            self._refuse(error)

    def head_read(self, message: http1.Message) -> None:
        self.head_complete = True
        if message.expects_continue and self.transport is not None:
            self.transport.write(CONTINUE)

    def message_read(self, message: http1.Message) -> None:
        self.reading_message = False
        self.head_complete = False
        message.method = self.parser.get_method()
        message.keep_alive = self.parser.should_keep_alive()
        if self.busy:
            self.waiting.append(message)
            if len(self.waiting) > MAX_PIPELINED:
                self._refuse(http1.TooLarge())
            return
        self._begin(message)

    def _begin(self, message: http1.Message) -> None:
        self.busy = True
        self.close_after_response = not message.keep_alive
        pending = self.port.handle(message, self._respond)
        # The handler may already have responded.
        if self.busy:
            self.pending = pending

    def _respond(self, reply: Reply) -> None:
        transport = self.transport
        self.busy = False
        self.pending = None
        self.state_since = deadlines.now()
        if transport is None or transport.is_closing():
            return
        close = (
            self.close_after_response
            or self.port.closing
            or self.reading_stopped
        )
        transport.write(
            http1.render_response(
                reply.status, reply.reason, reply.head, reply.body, close
            )
        )
        if close:
            transport.close()
        elif self.waiting:
            self._begin(self.waiting.pop(0))

    def _refuse(self, error: Exception) -> None:
        """Respond to an invalid request and stop reading."""
        self.reading_stopped = True
        cause = error.__context__
        too_large = isinstance(error, http1.TooLarge) or isinstance(
            cause, http1.TooLarge
        )
        status = 400
        if too_large:
            status = 413 if self.reader.message.body_size else 431
        if not self.busy:
            self.close_after_response = True
            self.busy = True
            self._respond(Reply(status))

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.port.connections.discard(self)
        self.transport = None
        self.waiting.clear()
        pending = self.pending
        self.pending = None
        if pending is not None:
            pending.abandoned()

    def close_if_idle(self) -> None:
        if (
            not self.busy
            and not self.reading_message
            and self.transport is not None
        ):
            self.transport.close()

    def close_if_timed_out(self, now: float) -> None:
        """Time out a connection that is idle or receives too slowly."""
        if self.busy or self.transport is None:
            return
        limits = self.port.limits
        if self.reading_message:
            if now - self.state_since > limits.header_timeout_s + IDLE_SLACK_S:
                if not self.head_complete:
                    self.close_after_response = True
                    self._respond(Reply(408))
        elif now - self.state_since > limits.idle_timeout_s + IDLE_SLACK_S:
            self.transport.close()


class Port:
    """One listening port and its connections."""

    def __init__(
        self, header_names: headernames.HeaderNames, handle: Handler
    ) -> None:
        self.header_names = header_names
        self.handle = handle
        self.limits = mesh.CallerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.server: asyncio.Server | None = None

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.busy for connection in self.connections)

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
