"""An HTTP POST whose response is an open-ended stream of lines.

Each request has its own connection and closes it.  A client with pooled
connections cannot abort a response: an abandoned watch would stay open at
the service, count as a call in progress and exhaust the connection pool.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import ssl
import urllib.parse

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

MAX_LINE_BYTES = 16 * 1024 * 1024
"""Bounds memory if the service never ends a line.  A line carries a few
changes of values of up to 1 MB, which base64 makes a third longer."""
MAX_STREAM_BYTES = 1 << 40
"""Practically unlimited; tornado's default would end a stream after 100 MB."""
OK = 200


class StreamError(OSError):
    """The stream ended or failed.

    :param status: the response's HTTP status if it is not 200, else 0.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


class LineStream(httputil.HTTPMessageDelegate):
    """Splits the response body into lines."""

    def __init__(self, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.lines: asyncio.Queue[bytes | StreamError] = asyncio.Queue()
        self.partial_line = bytearray()

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if isinstance(start_line, httputil.ResponseStartLine):
            if start_line.code != OK:
                self._fail(start_line.reason, start_line.code)

    def data_received(self, chunk: bytes) -> None:
        first, *others = chunk.split(b'\n')
        self.partial_line += first
        for other in others:
            if self.partial_line:
                self.lines.put_nowait(bytes(self.partial_line))
            self.partial_line = bytearray(other)
        if len(self.partial_line) > MAX_LINE_BYTES:
            self._fail(f'a line is longer than {MAX_LINE_BYTES} bytes')

    def finish(self) -> None:
        self._end()

    def on_connection_close(self) -> None:
        self._end()

    def _end(self) -> None:
        where = ' within a line' if self.partial_line else ''
        self._fail(f'the stream ended early{where}')

    def _fail(self, message: str, status: int = 0) -> None:
        self.lines.put_nowait(StreamError(message, status))
        self.stream.close()

    async def next_line(self, timeout_s: float) -> bytes:
        """Return the next line.

        :raises StreamError: the stream has ended.
        :raises TimeoutError: no line arrived within `timeout_s` seconds.
        """
        item = await asyncio.wait_for(self.lines.get(), timeout_s)
        if isinstance(item, StreamError):
            raise item
        return item


@contextlib.asynccontextmanager
async def open_line_stream(
    url: str, body: bytes, connect_timeout_s: float
) -> AsyncIterator[LineStream]:
    """Post `body` to `url` and yield the response as a stream of lines.

    :raises OSError: the service cannot be reached.
    :raises TimeoutError: not connected within `connect_timeout_s` seconds.
    """
    parts = urllib.parse.urlsplit(url)
    secure = parts.scheme == 'https'
    options = ssl.create_default_context() if secure else None
    port = parts.port or (443 if secure else 80)
    client = tcpclient.TCPClient()
    try:
        stream = await client.connect(
            parts.hostname or '',
            port,
            ssl_options=options,
            timeout=connect_timeout_s,
        )
        async with _open_response(stream, parts, body) as lines:
            yield lines
    finally:
        client.close()


@contextlib.asynccontextmanager
async def _open_response(
    stream: iostream.IOStream, parts: urllib.parse.SplitResult, body: bytes
) -> AsyncIterator[LineStream]:
    connection = http1connection.HTTP1Connection(
        stream,
        True,
        http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=MAX_STREAM_BYTES
        ),
    )
    lines = LineStream(stream)
    reading = asyncio.ensure_future(
        _run_request(connection, lines, parts, body)
    )
    try:
        yield lines
    finally:
        stream.close()
        await asyncio.wait({reading})


async def _run_request(
    connection: http1connection.HTTP1Connection,
    lines: LineStream,
    parts: urllib.parse.SplitResult,
    body: bytes,
) -> None:
    headers = httputil.HTTPHeaders(
        {
            'Host': parts.netloc,
            'Content-Type': 'application/json',
            'Content-Length': str(len(body)),
            'Connection': 'close',
        }
    )
    start = httputil.RequestStartLine('POST', parts.path, '')
    try:
        await connection.write_headers(start, headers, body)
        connection.finish()
        await connection.read_response(lines)
    except (OSError, httputil.HTTPInputError, ValueError):
        lines.on_connection_close()
        return
    lines.on_connection_close()
