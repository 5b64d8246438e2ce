"""An HTTP/1.1 client with a pool of persistent connections."""

import dataclasses

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request; `headers` are pairs of name and value."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Response:
    """A response; `status` is 0 until the headers are read.

    :param size: bytes of the body.
    """

    status: int = 0
    headers: httputil.HTTPHeaders = dataclasses.field(
        default_factory=httputil.HTTPHeaders
    )
    size: int = 0


class IncompleteResponse(Exception):
    """The connection was closed before the whole response was read."""


class _ResponseReader(httputil.HTTPMessageDelegate):
    def __init__(self) -> None:
        self.received = Response()
        self.finished = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.received.status = start_line.code
        self.received.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.received.size += len(chunk)

    def finish(self) -> None:
        self.finished = True


class Client:
    """Pool of connections to one address; reuses the last used one first."""

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.connector = tcpclient.TCPClient()
        self.idle: list[iostream.IOStream] = []
        self.opened = 0

    def close(self) -> None:
        for stream in self.idle:
            stream.close()
        self.idle.clear()

    async def send(self, request: Request) -> Response:
        """Send `request` and read the whole response.

        :raises OSError: connecting failed; nothing was sent.
        :raises IncompleteResponse: the request was sent, but the connection
            was closed before the whole response arrived.
        """
        stream = self._take_idle() or await self._connect()
        reader = _ResponseReader()
        reusable = False
        try:
            await _exchange(stream, request, reader)
            if not reader.finished:
                raise IncompleteResponse(
                    'connection closed before the response was complete'
                )
            connection_header = reader.received.headers.get('Connection', '')
            reusable = (
                connection_header.lower() != 'close' and not stream.closed()
            )
            return reader.received
        except iostream.StreamClosedError as error:
            raise IncompleteResponse(str(error)) from error
        finally:
            if reusable:
                self.idle.append(stream)
            else:
                stream.close()

    def _take_idle(self) -> iostream.IOStream | None:
        while self.idle:
            stream = self.idle.pop()
            if not stream.closed():
                return stream
        return None

    async def _connect(self) -> iostream.IOStream:
        stream = await self.connector.connect(self.address, self.port)
        stream.set_nodelay(True)
        self.opened += 1
        return stream


async def _exchange(
    stream: iostream.IOStream, request: Request, reader: _ResponseReader
) -> None:
    connection = http1connection.HTTP1Connection(
        stream,
        True,
        http1connection.HTTP1ConnectionParameters(no_keep_alive=False),
    )
    start = httputil.RequestStartLine(request.method, request.path, 'HTTP/1.1')
    headers = httputil.HTTPHeaders()
    for name, value in request.headers:
        headers.add(name, value)
    headers['Content-Length'] = str(len(request.body))
    headers_written = connection.write_headers(
        start, headers, request.body or None
    )
    connection.finish()
    await headers_written
    await connection.read_response(reader)
