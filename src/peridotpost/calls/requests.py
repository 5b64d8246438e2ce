"""Reads an HTTP request of a caller and writes its answer.

Bodies are read completely, within two limits: that of the service for each
body, and one for all bodies that the process buffers.  Without the latter,
a thousand callers sending a megabyte each would take four times the memory
that a daemon may use.
"""

import asyncio
import contextlib
from typing import Protocol

import eliot
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from peridotpost.calls import guard as guards
from peridotpost.calls import problems
from peridotpost.kernel import counters
from peridotpost.model import calls

MAX_BODY_BYTES = 16_777_216
"""A declared length above this is refused without reading the body."""
MAX_BUFFERED_BYTES = 67_108_864
"""A quarter of the 256 MB that a daemon may use."""
MEMORY_RETRY_MS = 1000
MAX_NUMBER_DIGITS = 18
"""Limit for numbers in headers; ``int`` raises ValueError for more than 4300
digits."""


class IngressInterface(Protocol):
    """The part of the ingress that requests use.

    `buffered_bytes` is the size of all bodies that are being received or
    processed.
    """

    counts: counters.Counters
    in_flight: int
    buffered_bytes: int

    @property
    def leaving(self) -> bool:
        """Whether connections are closed after the current answer."""

    def body_limit(self, headers: httputil.HTTPHeaders) -> int:
        """Return the maximum size of the request's body."""

    def new_request_id(self) -> str:
        """Return an id for a request without one."""

    async def answer(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
        source: str = '',
    ) -> calls.Answer:
        """Return the answer to a completely received request."""


class Request(httputil.HTTPMessageDelegate):
    """Receives a complete request and has it answered by the ingress."""

    def __init__(
        self, ingress: IngressInterface, connection: httputil.HTTPConnection
    ) -> None:
        self.ingress = ingress
        self.connection = connection
        self.start: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.limit = 0
        self.body_buffered_bytes = 0
        self.memory_exceeded = False
        self.refused = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self.start = start_line
        self.headers = headers
        self.limit = self.ingress.body_limit(headers)
        declared_length = headers.get('Content-Length', '')
        if (
            declared_length.isdigit()
            and len(declared_length) < MAX_NUMBER_DIGITS
        ):
            self.size = int(declared_length)
        if self.size <= self.limit:
            self.size = 0
        elif self.size > MAX_BODY_BYTES or 'Expect' in headers:
            # Refused before the caller sends the body, or while it sends
            # one that is too long to be read to the end.
            if isinstance(self.connection, http1connection.HTTP1Connection):
                self.connection.set_max_body_size(self.size)
            self.refused = True
            request_id = self._request_id()
            self._write(self._too_large_answer(request_id), request_id)

    def data_received(self, chunk: bytes) -> None:
        # A body over the limit is read to the end but not buffered:
        # closing the connection earlier would reset it, and a caller that
        # is still sending would lose the answer.
        self.size += len(chunk)
        if self.ingress.buffered_bytes + len(chunk) > MAX_BUFFERED_BYTES:
            self.memory_exceeded = True
        if self.memory_exceeded or self.size > self.limit:
            self._discard_body()
            return
        self.chunks.append(chunk)
        self.body_buffered_bytes += len(chunk)
        self.ingress.buffered_bytes += len(chunk)

    def _discard_body(self) -> None:
        self.chunks.clear()
        self.ingress.buffered_bytes -= self.body_buffered_bytes
        self.body_buffered_bytes = 0

    def finish(self) -> None:
        if self.refused:
            return
        self.ingress.in_flight += 1
        self.task = asyncio.ensure_future(self._serve())
        self.task.add_done_callback(self._on_task_done)
        # tornado calls `on_connection_close` only while a request is read.
        # Without this a disconnect during the call would go undetected,
        # and the call would occupy its slot until it finishes.
        if isinstance(self.connection, http1connection.HTTP1Connection):
            self.connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        if self.task is None:
            self._discard_body()
            return
        self.ingress.counts.add('ingress.caller-gone')
        self.task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.ingress.in_flight -= 1
        self._discard_body()
        if not task.cancelled() and task.exception() is not None:
            # The answer could not be written; unless the connection is
            # closed, the caller waits for the rest of it.
            self.ingress.counts.add('ingress.failed')
            if isinstance(self.connection, http1connection.HTTP1Connection):
                self.connection.close()

    async def _answer(self, request_id: str) -> calls.Answer:
        assert self.start is not None
        if self.size > self.limit:
            return self._too_large_answer(request_id)
        if self.memory_exceeded:
            return self._memory_exceeded_answer(request_id)
        context = getattr(self.connection, 'context', None)
        try:
            return await self.ingress.answer(
                self.start,
                self.headers,
                b''.join(self.chunks),
                request_id,
                getattr(context, 'remote_ip', ''),
            )
        except Exception:
            # An internal error must not leave the caller without an answer.
            # The call may have been dispatched, so its outcome is unknown.
            self.ingress.counts.add('ingress.failed')
            eliot.write_traceback()
            unknown = calls.OutcomeUnknown(
                'the daemon failed while handling the call'
            )
            return problems.to_answer(unknown, request_id)

    def _too_large_answer(self, request_id: str) -> calls.Answer:
        self.ingress.counts.add('ingress.refused.too-large')
        refusal = calls.NotRun(
            calls.NotRunReason.TOO_LARGE,
            f'the body is over {self.limit} bytes',
        )
        return problems.to_answer(refusal, request_id)

    def _memory_exceeded_answer(self, request_id: str) -> calls.Answer:
        self.ingress.counts.add('ingress.refused.crowded')
        refusal = calls.NotRun(
            calls.NotRunReason.FULL,
            'this daemon has no memory left for request bodies',
            MEMORY_RETRY_MS,
        )
        return problems.to_answer(refusal, request_id)

    def _request_id(self) -> str:
        given = self.headers.get(guards.REQUEST_ID_HEADER, '')
        return given[:64] or self.ingress.new_request_id()

    async def _serve(self) -> None:
        request_id = self._request_id()
        answer = await self._answer(request_id)
        with contextlib.suppress(iostream.StreamClosedError):
            await self._write(answer, request_id)

    def _write(
        self, answer: calls.Answer, request_id: str
    ) -> asyncio.Future[None]:
        assert self.start is not None
        headers = httputil.HTTPHeaders()
        for header in answer.headers:
            headers.add(header.name, header.value)
        headers[guards.REQUEST_ID_HEADER] = request_id
        if self.ingress.leaving:
            headers['Connection'] = 'close'
        has_no_body = self.start.method == 'HEAD' or answer.status in (
            204,
            304,
        )
        if not has_no_body:
            headers['Content-Length'] = str(len(answer.body))
        line = httputil.ResponseStartLine(
            'HTTP/1.1', answer.status, answer.reason
        )
        written = self.connection.write_headers(
            line, headers, answer.body if not has_no_body else None
        )
        self.connection.finish()
        return written
