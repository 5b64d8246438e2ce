"""Persistent HTTP/1.1 connections to the targets on this host.

Opening a connection takes about a millisecond, so connections are reused.
Requests are encoded by ``tornado.http1connection``, because tornado's HTTP
client opens a connection for each request.
"""

import asyncio
import collections
from collections.abc import Collection
import dataclasses
import socket

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from peridotpost.kernel import counters
from peridotpost.kernel import dialling
from peridotpost.model import calls

MAX_IDLE_S = 20.0
"""Shorter than the usual idle timeouts of HTTP servers, so that a request
is not written to a connection that the target is closing."""
LOOPBACK = '127.0.0.1'
CONNECT_TIMEOUT_S = 1.0
"""On loopback a connection is only delayed by a full backlog, after which
the kernel retries within a second."""
SHUTDOWN_DETECTION_S = 0.05
"""How long a connection opened after a lost answer has to stay open to show
that the target is running.  A process that exits closes its connections
and, about a millisecond later, its listening socket, which resets pending
connections; the remaining time allows for a busy host."""
MAX_LENGTH_DIGITS = 18
"""A Content-Length with more digits counts as over any limit: ``int`` raises
ValueError for more than 4300 digits."""
HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    }
)
"""Hop-by-hop headers (RFC 9110 section 7.6.1), which are not forwarded."""


def end_to_end_headers(
    headers: httputil.HTTPHeaders, dropped: Collection[str]
) -> tuple[calls.Header, ...]:
    """Return the headers to forward.

    :param dropped: lower-case names to drop, in addition to those listed
        in ``Connection``.
    """
    listed = headers.get('Connection')
    if listed is not None:
        names = {name.strip().lower() for name in listed.split(',')}
        dropped = names.union(dropped)
    forwarded = [
        calls.Header(name, value)
        for name, value in headers.get_all()
        if name.lower() not in dropped
    ]
    return tuple(forwarded)


class ConnectFailed(Exception):
    """The connection could not be opened, so nothing was sent."""


class AnswerLost(Exception):
    """The request was sent but no complete answer was received."""


class StaleConnection(AnswerLost):
    """The connection was closed before the answer's headers were complete."""


class AnswerTooLarge(AnswerLost):
    """The answer exceeds the service's size limit."""


@dataclasses.dataclass(slots=True)
class IdleConnection:
    """An idle connection and the time since which it has been idle."""

    stream: iostream.IOStream
    idle_since: float


class _AnswerReader(httputil.HTTPMessageDelegate):
    def __init__(self, limit: int, method: str) -> None:
        self.limit = limit
        # An answer to HEAD has no body; its Content-Length is forwarded.
        self.dropped_headers = HOP_HEADERS - (
            {'content-length'} if method == 'HEAD' else set()
        )
        self.start: httputil.ResponseStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.finished = False
        self.too_large = False
        self.has_no_body = False
        self.length_unknown = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.ResponseStartLine)
        self.start = start_line
        self.headers = headers
        length = headers.get('Content-Length', '')
        self.has_no_body = (
            'content-length' not in self.dropped_headers
            or start_line.code in (204, 304)
            or start_line.code < 200
        )
        # Without a length the body ends with the connection, which cannot
        # be told from a target that crashed in the middle.
        self.length_unknown = not (
            self.has_no_body or length or 'Transfer-Encoding' in headers
        )
        self.too_large = (
            not self.has_no_body
            and length.isdigit()
            and (len(length) > MAX_LENGTH_DIGITS or int(length) > self.limit)
        )

    def data_received(self, chunk: bytes) -> None:
        self.size += len(chunk)
        self.too_large = self.too_large or self.size > self.limit
        if not self.too_large:
            self.chunks.append(chunk)

    def finish(self) -> None:
        self.finished = True

    @property
    def keep_alive(self) -> bool:
        """Whether the target accepts another request on the connection."""
        tokens = self.headers.get('Connection', '').lower()
        if self.start is not None and self.start.version == 'HTTP/1.0':
            return 'keep-alive' in tokens
        return 'close' not in tokens

    def to_answer(self) -> calls.Answer:
        if self.too_large:
            raise AnswerTooLarge(f'over {self.limit} bytes')
        if not self.finished or self.start is None or self.start.code < 200:
            raise AnswerLost(
                'the connection was closed in the middle of the answer'
            )
        if self.length_unknown:
            raise AnswerLost(
                'its answer has neither Content-Length nor chunked encoding, '
                'so a truncated body cannot be detected'
            )
        return calls.Answer(
            status=self.start.code,
            reason=self.start.reason,
            headers=end_to_end_headers(self.headers, self.dropped_headers),
            body=b''.join(self.chunks),
        )


def _is_reusable(stream: iostream.IOStream) -> bool:
    """Return whether a connection is open and has no unread bytes.

    Surplus bytes after an answer would be read as the answer to the next
    caller's request, and a connection that the target has closed would
    lose that request.  Both are only detected by reading.
    """
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class ConnectionPool:
    """Connections to targets on this host; reuses the newest idle one."""

    def __init__(self, counts: counters.Counters) -> None:
        self.counts = counts
        self.idle: dict[int, collections.deque[IdleConnection]] = {}

    def close(self) -> None:
        for connections in self.idle.values():
            for connection in connections:
                connection.stream.close()
        self.idle.clear()

    async def fetch(
        self, port: int, call: calls.Call, answer_bytes: int, now: float
    ) -> calls.Answer:
        """Send `call` to the target at `port` and read its complete answer.

        Cancellation closes the connection, which the target can detect.

        :param answer_bytes: maximum size of the answer's body.
        :raises ConnectFailed: nothing was sent.
        :raises AnswerLost: the target may have run the request.
        """
        stale_error: StaleConnection | None = None
        reused = self._take_idle(port, now)
        if reused is not None:
            try:
                return await self._fetch_on(
                    reused, port, call, answer_bytes, now
                )
            except StaleConnection as error:
                # The target closed the connection before answering, but
                # may have read the request, so only an idempotent request
                # is sent again.
                self.counts.add('connection.stale')
                if not call.idempotent:
                    raise
                stale_error = error
        try:
            fresh = await self._connect(port)
        except ConnectFailed:
            # The request was sent on the idle connection, so the failure
            # must not be reported as "nothing was sent".
            if stale_error is not None:
                raise stale_error from None
            raise
        return await self._fetch_on(fresh, port, call, answer_bytes, now)

    async def _fetch_on(
        self,
        stream: iostream.IOStream,
        port: int,
        call: calls.Call,
        answer_bytes: int,
        now: float,
    ) -> calls.Answer:
        reader = _AnswerReader(answer_bytes, call.method)
        complete = False
        try:
            await self._exchange(stream, call, reader)
            answer = reader.to_answer()
            complete = True
            return answer
        except iostream.StreamClosedError as error:
            if reader.start is None:
                raise StaleConnection('closed before the answer') from error
            raise AnswerLost(str(error)) from error
        finally:
            if complete and reader.keep_alive and _is_reusable(stream):
                idle = self.idle.setdefault(port, collections.deque())
                idle.append(IdleConnection(stream, now))
            else:
                stream.close()

    async def target_has_exited(self, port: int) -> bool:
        """Return whether the process at `port` has exited or is exiting.

        A new connection that is closed immediately was pending at a process
        that has exited or at one that does not accept connections; a second
        connection attempt distinguishes the two.
        """
        try:
            if not await self._stays_open(port):
                (await self._connect(port)).close()
        except ConnectFailed as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        return False

    async def _stays_open(self, port: int) -> bool:
        """Return whether a connection stays open for ``SHUTDOWN_DETECTION_S``.

        :raises ConnectFailed: the connection could not be opened.
        """
        stream = await self._connect(port)
        closed = asyncio.Event()
        stream.set_close_callback(closed.set)
        try:
            async with asyncio.timeout(SHUTDOWN_DETECTION_S):
                await closed.wait()
        except TimeoutError:
            return True
        finally:
            stream.close()
        return False

    def _take_idle(self, port: int, now: float) -> iostream.IOStream | None:
        connections = self.idle.get(port)
        while connections:
            newest = connections.pop()
            if now - newest.idle_since < MAX_IDLE_S and _is_reusable(
                newest.stream
            ):
                self.counts.add('connection.reused')
                return newest.stream
            newest.stream.close()
        self.idle.pop(port, None)
        return None

    async def _connect(self, port: int) -> iostream.IOStream:
        try:
            stream = await dialling.open_stream(
                LOOPBACK, port, CONNECT_TIMEOUT_S
            )
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        self.counts.add('connection.opened')
        return stream

    async def _exchange(
        self,
        stream: iostream.IOStream,
        call: calls.Call,
        reader: _AnswerReader,
    ) -> None:
        parameters = http1connection.HTTP1ConnectionParameters(
            no_keep_alive=False,
            max_body_size=reader.limit,
            max_header_size=65536,
        )
        connection = http1connection.HTTP1Connection(stream, True, parameters)
        start = httputil.RequestStartLine(call.method, call.path, 'HTTP/1.1')
        headers = httputil.HTTPHeaders()
        for header in call.headers:
            headers.add(header.name, header.value)
        headers['Content-Length'] = str(len(call.body))
        # Not awaited: this would take an iteration of the event loop for
        # each call, and hang on a target that answers without reading the
        # whole body.  A failed write closes the stream, which the read
        # detects.
        connection.write_headers(
            start, headers, call.body if call.body else None
        )
        connection.finish()
        await connection.read_response(reader)
