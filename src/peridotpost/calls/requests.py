"""Reads one HTTP request of a caller and writes its answer.

Bodies are read whole and bounded twice: each by its service's limit, and
all that one process holds together, since a thousand callers that send a
megabyte each would take four times the memory that a host has for it.
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
MAX_HELD_BYTES = 67_108_864
"""A quarter of the 256 MB that a daemon may take."""
CROWDED_RETRY_MS = 1000
MAX_DIGITS = 18


class Owner(Protocol):
    """What a request needs of the ingress that took it in.

    `held_bytes` are bodies that are being read or answered.
    """

    counts: counters.Counters
    in_flight: int
    held_bytes: int

    @property
    def leaving(self) -> bool:
        """Whether connections are to be closed after their answer."""

    def body_limit(self, headers: httputil.HTTPHeaders) -> int:
        """Return how many bytes of a request's body are kept."""

    def new_request_id(self) -> str:
        """Return an id for a request that came without one."""

    async def answer(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
        source: str = '',
    ) -> calls.Answer:
        """Return the one answer to a request that was read whole."""


class Request(httputil.HTTPMessageDelegate):
    """Reads one request whole, then has it answered."""

    def __init__(
        self, owner: Owner, connection: httputil.HTTPConnection
    ) -> None:
        self.owner = owner
        self.connection = connection
        self.start: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.limit = 0
        self.held = 0
        self.crowded = False
        self.refused = False
        self.work: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self.start = start_line
        self.headers = headers
        self.limit = self.owner.body_limit(headers)
        declared = headers.get('Content-Length', '')
        if declared.isdigit() and len(declared) < MAX_DIGITS:
            self.size = int(declared)
        if self.size <= self.limit:
            self.size = 0
        elif self.size > MAX_BODY_BYTES or 'Expect' in headers:
            # Refused before its body is sent, or in the middle of one
            # that is too long to be read to its end.
            if isinstance(self.connection, http1connection.HTTP1Connection):
                self.connection.set_max_body_size(self.size)
            self.refused = True
            request_id = self._request_id()
            self._write(self._too_large(request_id), request_id)

    def data_received(self, chunk: bytes) -> None:
        # A body over the limit is read to its end, but not kept: a caller
        # that is still sending would lose the answer to a reset.
        self.size += len(chunk)
        if self.owner.held_bytes + len(chunk) > MAX_HELD_BYTES:
            self.crowded = True
        if self.crowded or self.size > self.limit:
            self._let_go()
            return
        self.chunks.append(chunk)
        self.held += len(chunk)
        self.owner.held_bytes += len(chunk)

    def _let_go(self) -> None:
        self.chunks.clear()
        self.owner.held_bytes -= self.held
        self.held = 0

    def finish(self) -> None:
        if self.refused:
            return
        self.owner.in_flight += 1
        self.work = asyncio.ensure_future(self._serve())
        self.work.add_done_callback(self._served)
        # The delegate's own `on_connection_close` is only called while a
        # request is read; without this a caller that leaves while it
        # waits goes unnoticed and its call holds a slot to the end.
        if isinstance(self.connection, http1connection.HTTP1Connection):
            self.connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self) -> None:
        if self.work is None:
            self._let_go()
            return
        self.owner.counts.add('ingress.caller-gone')
        self.work.cancel()

    def _served(self, work: asyncio.Task[None]) -> None:
        self.owner.in_flight -= 1
        self._let_go()
        if not work.cancelled() and work.exception() is not None:
            # The answer could not be written; without a close the caller
            # would wait for the rest of it.
            self.owner.counts.add('ingress.failed')
            if isinstance(self.connection, http1connection.HTTP1Connection):
                self.connection.close()

    async def _answer(self, request_id: str) -> calls.Answer:
        assert self.start is not None
        if self.size > self.limit:
            return self._too_large(request_id)
        if self.crowded:
            return self._too_crowded(request_id)
        context = getattr(self.connection, 'context', None)
        try:
            return await self.owner.answer(
                self.start,
                self.headers,
                b''.join(self.chunks),
                request_id,
                getattr(context, 'remote_ip', ''),
            )
        except Exception:
            # A fault of ours must not leave the caller without a word; the
            # call may be under way, so the word is "unknown".
            self.owner.counts.add('ingress.failed')
            eliot.write_traceback()
            unknown = calls.OutcomeUnknown('the daemon failed on this call')
            return problems.to_answer(unknown, request_id)

    def _too_large(self, request_id: str) -> calls.Answer:
        self.owner.counts.add('ingress.refused.too-large')
        refusal = calls.NotRun(
            calls.NotRunReason.TOO_LARGE,
            f'the body is over {self.limit} bytes',
        )
        return problems.to_answer(refusal, request_id)

    def _too_crowded(self, request_id: str) -> calls.Answer:
        self.owner.counts.add('ingress.refused.crowded')
        refusal = calls.NotRun(
            calls.NotRunReason.FULL,
            'this daemon holds as many bodies as it can',
            CROWDED_RETRY_MS,
        )
        return problems.to_answer(refusal, request_id)

    def _request_id(self) -> str:
        given = self.headers.get(guards.REQUEST_ID_HEADER, '')
        return given[:64] or self.owner.new_request_id()

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
        if self.owner.leaving:
            headers['Connection'] = 'close'
        awaiting_body = self.start.method == 'HEAD' or answer.status in (
            204,
            304,
        )
        if not awaiting_body:
            headers['Content-Length'] = str(len(answer.body))
        line = httputil.ResponseStartLine(
            'HTTP/1.1', answer.status, answer.reason
        )
        written = self.connection.write_headers(
            line, headers, answer.body if not awaiting_body else None
        )
        self.connection.finish()
        return written
