"""HTTP client for the daemon's own calls to the platform's store.

A connection carries one call at a time.  Requests to targets do not use this
client, as they need neither a task nor a future.
"""

import asyncio
import dataclasses
from typing import cast

import httptools

from peridotpost.proxy import bodies
from peridotpost.proxy import headernames
from peridotpost.proxy import http1
from peridotpost.proxy import listener

NO_HEADER_NAMES = headernames.HeaderNames(
    b'', b'', b'', b'', b'', b'', b'', b''
)

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Several times the largest page of the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes


class ClientProtocol(asyncio.Protocol):
    """Client side of a connection that has at most one request in flight."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[Response] | None = None
        self.reader = http1.MessageReader(NO_HEADER_NAMES, self)
        self.reader.max_body_bytes = MAX_RESPONSE_BYTES
        self.parser = http1.response_parser(self.reader)
        self.reusable = True
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            # No call is under way; it would be read as the next response.
            self.close()
            return
        try:
            self.reader.feed(self.parser, data)
        except (httptools.HttpParserError, http1.TooLarge):
            self.close()
        if self.waiter is None and self.reader.in_progress:
            # A second response has begun.
            self.reusable = False

    def head_read(self, message: http1.Message) -> None:
        self.reusable = self.parser.should_keep_alive() and message.framed

    def message_read(self, message: http1.Message) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        waiter = self.waiter
        self.waiter = None
        if waiter is None:
            self.close()
        elif not waiter.done():
            waiter.set_result(Response(status, bytes(message.body)))

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        # The parser refers to the reader.  A cycle would keep the connection
        # until the next collection.
        self.reader.sink = listener.NO_SINK
        waiter = self.waiter
        self.waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ConnectionResetError('connection lost'))

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class HttpClient:
    """HTTP client for one address that keeps one idle connection.

    Each concurrent call uses a connection of its own.

    :param connect_timeout_s: timeout for opening a connection.
    """

    def __init__(
        self, address: str, port: int, connect_timeout_s: float
    ) -> None:
        self.address = address
        self.port = port
        self.connect_timeout_s = connect_timeout_s
        self.connection: ClientProtocol | None = None
        self.head = f'Host: {address}:{port}\r\n'.encode()

    async def call(
        self, method: bytes, target: bytes, body: bytes, timeout_s: float
    ) -> Response:
        """Send a request and return the response.

        :raises OSError: no complete response arrived within `timeout_s`.
        """
        connection = self.connection
        self.connection = None
        try:
            async with asyncio.timeout(timeout_s):
                if connection is None or connection.closed:
                    connection = await self._open()
                payload = self._render_request(method, target, body)
                response = await _exchange(connection, payload)
        except BaseException:
            # A late response would be taken for that of the next call.
            if connection is not None:
                connection.close()
            raise
        may_keep = self.connection is None
        if may_keep and connection.reusable and not connection.closed:
            self.connection = connection
        else:
            connection.close()
        return response

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()

    def _render_request(
        self, method: bytes, target: bytes, body: bytes
    ) -> list[bodies.Body]:
        head = self.head
        if body:
            head += b'Content-Type: application/json\r\n'
        return http1.render_request(method, target, head, body)

    async def _open(self) -> ClientProtocol:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self.connect_timeout_s):
            _, connection = await loop.create_connection(
                ClientProtocol, self.address, self.port
            )
        return connection


async def _exchange(
    connection: ClientProtocol, payload: list[bodies.Body]
) -> Response:
    assert connection.transport is not None
    waiter = asyncio.get_running_loop().create_future()
    connection.waiter = waiter
    connection.transport.writelines(payload)
    response: Response = await waiter
    return response
