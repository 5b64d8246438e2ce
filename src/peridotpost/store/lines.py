"""One HTTP request whose answer is a stream of lines that may end any time.

An HTTP client that keeps its connections cannot end an answer halfway, so
a watch that is given up would go on waiting at the service, counted as a
call, and use up the client's connections.  Here the connection belongs to
the request and is closed with it.
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
"""A line carries at most a few changes of 1 MB values, a third longer in
base64; a service that never ends its line must not fill the memory."""
MAX_STREAM_BYTES = 1 << 40
OK = 200


class StreamFailed(OSError):
    """The stream gave no further line.

    :param status: of the answer, where one came that is not 200.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


class LineStream(httputil.HTTPMessageDelegate):
    """Takes in the answer and hands out whole lines."""

    def __init__(self, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.whole: asyncio.Queue[bytes | StreamFailed] = asyncio.Queue()
        self.rest = bytearray()

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
        self.rest += first
        for other in others:
            if self.rest:
                self.whole.put_nowait(bytes(self.rest))
            self.rest = bytearray(other)
        if len(self.rest) > MAX_LINE_BYTES:
            self._fail(f'a line is over {MAX_LINE_BYTES} bytes')

    def finish(self) -> None:
        self._end()

    def on_connection_close(self) -> None:
        self._end()

    def _end(self) -> None:
        cut = ' within a line' if self.rest else ''
        self._fail(f'the stream ended early{cut}')

    def _fail(self, message: str, status: int = 0) -> None:
        self.whole.put_nowait(StreamFailed(message, status))
        self.stream.close()

    async def next_line(self, wait_s: float) -> bytes:
        """Return the next line.

        :raises StreamFailed: no further one comes.
        :raises TimeoutError: none came within `wait_s` seconds.
        """
        item = await asyncio.wait_for(self.whole.get(), wait_s)
        if isinstance(item, StreamFailed):
            raise item
        return item


@contextlib.asynccontextmanager
async def posting(
    url: str, body: bytes, connect_s: float
) -> AsyncIterator[LineStream]:
    """Send `body` to `url` and yield the lines of the answer.

    :raises OSError: the service cannot be reached.
    :raises TimeoutError: nor within `connect_s` seconds.
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
            timeout=connect_s,
        )
        async with _sent(stream, parts, body) as lines:
            yield lines
    finally:
        client.close()


@contextlib.asynccontextmanager
async def _sent(
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
    reading = asyncio.ensure_future(_read(connection, lines, parts, body))
    try:
        yield lines
    finally:
        stream.close()
        await asyncio.wait({reading})


async def _read(
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
