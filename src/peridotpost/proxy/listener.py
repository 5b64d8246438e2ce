"""Ports for HTTP requests: of callers, of targets, of the platform."""

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
from peridotpost.proxy import http1
from peridotpost.proxy import names

BACKLOG = 1024
SWEEP_S = 1.0
IDLE_SLACK_S = 1.0
"""Idle connections are kept so much longer than promised, so that a
request sent at the last moment does not cross the close."""
MAX_PIPELINED = 32
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer to whoever sent a request."""

    status: int
    head: bytes = b''
    body: bytes = b''
    reason: bytes = b''


class Pending(Protocol):
    """A request that is being worked on."""

    def abandoned(self) -> None:
        """The one who asked has gone."""


Respond = Callable[[Reply], None]
Handle = Callable[[http1.Message, Respond], Pending | None]


class ServerConnection(asyncio.Protocol):
    """One connection; requests are answered in order, one at a time."""

    def __init__(self, port: 'Port') -> None:
        self.port = port
        self.transport: asyncio.Transport | None = None
        self.reader = http1.MessageReader(port.names, self)
        self.reader.max_body = port.limits.max_body_bytes
        self.reader.max_head = port.limits.max_header_bytes
        self.parser = http1.request_parser(self.reader)
        self.waiting: list[http1.Message] = []
        self.busy = False
        self.pending: Pending | None = None
        self.last_close = False
        self.broken = False
        self.since = deadlines.now()
        self.partial = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        opened = transport.get_extra_info('socket')
        if opened is not None:
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self.broken:
            return
        if not self.busy and not self.partial:
            self.since = deadlines.now()
        self.partial = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is whole and answered as any other; what follows
            # in another protocol is not read.
            self.broken = True
        except (httptools.HttpParserError, http1.TooLarge) as error:
            self._refuse(error)

    def head_read(self, message: http1.Message) -> None:
        if message.expects_continue and self.transport is not None:
            self.transport.write(CONTINUE)

    def message_read(self, message: http1.Message) -> None:
        self.partial = False
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
        self.last_close = not message.keep_alive
        pending = self.port.handle(message, self._respond)
        # The answer may have come within the call.
        if self.busy:
            self.pending = pending

    def _respond(self, reply: Reply) -> None:
        transport = self.transport
        self.busy = False
        self.pending = None
        self.since = deadlines.now()
        if transport is None or transport.is_closing():
            return
        close = self.last_close or self.port.closing or self.broken
        transport.write(
            http1.render_answer(
                reply.status, reply.reason, reply.head, reply.body, close
            )
        )
        if close:
            transport.close()
        elif self.waiting:
            self._begin(self.waiting.pop(0))

    def _refuse(self, error: Exception) -> None:
        """Answer what can't be read, and read no more."""
        self.broken = True
        cause = error.__context__
        too_large = isinstance(error, http1.TooLarge) or isinstance(
            cause, http1.TooLarge
        )
        status = 400
        if too_large:
            status = 413 if self.reader.message.size else 431
        if not self.busy:
            self.last_close = True
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
        if not self.busy and not self.partial and self.transport is not None:
            self.transport.close()

    def check(self, now: float) -> None:
        """Close a connection that is idle or whose sender stalls."""
        if self.busy or self.transport is None:
            return
        limits = self.port.limits
        if self.partial:
            if now - self.since > limits.header_timeout_s + IDLE_SLACK_S:
                if not self.reader.message.host:
                    self.last_close = True
                    self._respond(Reply(408))
        elif now - self.since > limits.idle_timeout_s + IDLE_SLACK_S:
            self.transport.close()


class Port:
    """One listening port and its connections."""

    def __init__(
        self, header_names: names.HeaderNames, handle: Handle
    ) -> None:
        self.names = header_names
        self.handle = handle
        self.limits = mesh.CallerLimits()
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.server: asyncio.Server | None = None

    @property
    def busy(self) -> int:
        return sum(one.busy for one in self.connections)

    def check(self) -> None:
        now = deadlines.now()
        for connection in list(self.connections):
            connection.check(now)

    def stop_listening(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_idle(self) -> None:
        """Close connections on which nothing has begun."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close(self) -> None:
        self.stop_listening()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()


@contextlib.asynccontextmanager
async def listening(
    port: Port, address: str, number: int
) -> AsyncIterator[Port]:
    """Serve `port` at an address.

    :raises OSError: the address can't be had.
    """
    loop = asyncio.get_running_loop()
    port.server = await loop.create_server(
        lambda: ServerConnection(port), address, number, backlog=BACKLOG
    )
    try:
        yield port
    finally:
        port.close()
