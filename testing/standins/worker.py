"""A stand-in target that misbehaves on request.

The last segment of a request's path selects the fault, so that a test names
it where it sends the request; see ``ACTIONS``.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import socket
import struct
from urllib import parse


@dataclasses.dataclass(slots=True)
class Request:
    """A request received by the target."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float = 0.0

    @property
    def attempt(self) -> str:
        return self.headers.get('x-attempt-id', '')


REJECTION = (
    b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
FAILURE = b'HTTP/1.1 503 Failed\r\nContent-Length: 0\r\n\r\n'
"""Responses that name no request; the first states that it was not run."""
LATE_S = 0.003


class Worker:
    """A target that records the requests it ran, rejected and dropped.

    ``sheds`` makes it reject all requests without running them.
    ``forced_action`` selects an action for every request, whatever its path.
    ``limit`` and ``leaving`` are stated in all responses unless empty.
    ``extra_headers`` are header lines added to all responses.
    ``omits_ids`` leaves the id of the request out of all responses.
    ``dropped`` holds the requests whose sender closed the connection early.
    """

    def __init__(self, instance: str, slots: int = 4) -> None:
        self.instance = instance
        self.slots = slots
        self.sheds = False
        self.forced_action = ''
        self.omits_ids = False
        self.limit = ''
        self.leaving = ''
        self.extra_headers = ''
        self.runs: list[Request] = []
        self.rejected: list[Request] = []
        self.dropped: list[Request] = []
        self.connections = 0
        self.max_concurrency = 0
        self.running = 0
        self.release = asyncio.Event()
        self.run_started = asyncio.Event()
        self.caller_left = asyncio.Event()
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.reset_on_next_request: set[asyncio.StreamWriter] = set()
        self.rejected_on: set[tuple[asyncio.StreamWriter, str]] = set()

    def attempts(self) -> list[str]:
        return [one.attempt for one in self.runs]

    def arrivals_since(self, at: float) -> int:
        """Return how many requests arrived after a time of the loop."""
        return sum(one.arrived_at > at for one in self.runs + self.rejected)

    def reset_connections_on_reuse(self) -> None:
        """Reset the current connections when they receive another request."""
        self.reset_on_next_request |= self.writers

    async def crash(self) -> None:
        """Close the listening socket and abort all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while await self._handle_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await self._read_request(reader, writer)
        if writer in self.reset_on_next_request:
            writer.transport.abort()
            return False
        expected = request.headers.get('x-expected-instance', self.instance)
        if expected != self.instance:
            self.rejected.append(request)
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                + self._id_line(request)
                + b'Content-Length: 0\r\n\r\n'
            )
            return True
        action = (
            self.forced_action
            or request.target.partition('?')[0].rpartition('/')[2]
        )
        if self._rejects(request, action):
            self.rejected.append(request)
            self.rejected_on.add((writer, request.attempt))
            writer.write(self.render_rejection(request))
            return True
        self.runs.append(request)
        self.running += 1
        self.max_concurrency = max(self.max_concurrency, self.running)
        self.run_started.set()
        try:
            act = ACTIONS.get(action, _respond)
            return await act(self, request, reader, writer)
        finally:
            self.running -= 1

    def _rejects(self, request: Request, action: str) -> bool:
        """Whether to reject a request; see ``rejects-then-copies``."""
        if action == 'rejects-then-copies':
            return not any(
                one.attempt == request.attempt for one in self.rejected
            )
        return self.sheds or action == 'shed'

    async def _read_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Request:
        """Read a request; if its path ends in `early`, respond first.

        Its body is read after the response is sent and `release` is set, as
        by a target that decides on the response by the headers alone.
        """
        request = await _read_head(reader)
        early = request.target.endswith('/early')
        if early:
            writer.write(self.render_response(request))
            await writer.drain()
            await self.release.wait()
        length = int(request.headers.get('content-length', 0))
        request.body = await reader.readexactly(length)
        return request

    def statements(self) -> str:
        """Return the header lines about the target itself."""
        lines = self.extra_headers
        if self.limit:
            lines += f'Server-Limit: {self.limit}\r\n'
        if self.leaving:
            lines += f'Server-Leaving: {self.leaving}\r\n'
        return lines

    def _id_line(self, request: Request) -> bytes:
        if self.omits_ids:
            return b''
        return f'X-Attempt-Id: {request.attempt}\r\n'.encode()

    def render_rejection(self, request: Request) -> bytes:
        return (
            b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
            + self._id_line(request)
            + self.statements().encode()
            + b'Content-Length: 0\r\n\r\n'
        )

    def render_response(
        self, request: Request, body: bytes = b'done'
    ) -> bytes:
        head = (
            f'X-Response-Signature: {self.instance}\r\n{self.statements()}'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        return b'HTTP/1.1 200 OK\r\n' + self._id_line(request) + head + body


Action = Callable[
    [Worker, Request, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


async def _respond(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    writer.write(worker.render_response(request))
    return True


async def _hold(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run until released, or until the sender closes the connection."""
    released = asyncio.ensure_future(worker.release.wait())
    disconnected = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait(
        {released, disconnected}, return_when=asyncio.FIRST_COMPLETED
    )
    if disconnected in done:
        released.cancel()
        worker.dropped.append(request)
        worker.caller_left.set()
        return False
    disconnected.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await disconnected
    writer.write(worker.render_response(request))
    return True


def _respond_with(
    render: Callable[[Worker, Request], bytes], keep_alive: bool
) -> Action:
    async def act(
        worker: Worker,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(render(worker, request))
        await writer.drain()
        return keep_alive

    return act


async def _reset(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    writer.transport.abort()
    return False


async def _crash(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    await worker.crash()
    return False


def _response_of_size(worker: Worker, request: Request) -> bytes:
    """Return a response with as many bytes as the query says."""
    query = parse.parse_qs(request.target.partition('?')[2])
    return worker.render_response(request, b'r' * int(query['size'][0]))


def _error_response(worker: Worker, request: Request) -> bytes:
    return worker.render_response(request).replace(b'200 OK', b'500 Failed')


def _response_without_length(worker: Worker, request: Request) -> bytes:
    head, _, body = worker.render_response(request).partition(b'\r\n\r\n')
    length = b'\r\nContent-Length: %d' % len(body)
    return head.replace(length, b'') + b'\r\n\r\n' + body


def _chunked_response(worker: Worker, request: Request) -> bytes:
    head, _, body = worker.render_response(request).partition(b'\r\n\r\n')
    length = b'Content-Length: %d' % len(body)
    return head.replace(
        length, b'Trailer: X-Sum\r\nTransfer-Encoding: chunked'
    ) + (b'\r\n\r\n%x\r\n%b\r\n0\r\nX-Sum: 1\r\n\r\n' % (len(body), body))


def _extra_response(worker: Worker, request: Request) -> bytes:
    return worker.render_response(request) + worker.render_response(
        request, b'other'
    )


def _extra_response_breaks_off(worker: Worker, request: Request) -> bytes:
    """Add the first bytes of a second response to a whole one."""
    query = parse.parse_qs(request.target.partition('?')[2])
    size = int(query['bytes'][0])
    extra = worker.render_response(request, b'other')
    return worker.render_response(request) + extra[:size]


def _broken_response_first(worker: Worker, request: Request) -> bytes:
    """Fail after the first bytes of a late response to another request."""
    query = parse.parse_qs(request.target.partition('?')[2])
    late = b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Attempt-Id: other\r\n'
    size = int(query['bytes'][0])
    return late[:size] + _error_response(worker, request)


def _other_response_first(worker: Worker, request: Request) -> bytes:
    other = dataclasses.replace(request, headers={'x-attempt-id': 'other'})
    return worker.render_response(other, b'wrong') + worker.render_response(
        request
    )


def _failure_with_status(worker: Worker, request: Request) -> bytes:
    """Fail after the run with the status in the query, and say no more."""
    status = parse.parse_qs(request.target.partition('?')[2])['status'][0]
    return worker.render_response(request).replace(
        b'200 OK', f'{status} Failed'.encode()
    )


def _contradictory_response(worker: Worker, request: Request) -> bytes:
    """Run the request, and say in the form of the query that it has not run.

    No form is a statement: it is in a success, has another value, is repeated
    with another value, or is in a trailer.
    """
    form = parse.parse_qs(request.target.partition('?')[2])['form'][0]
    failed = worker.render_response(request).replace(b'200 OK', b'500 Failed')
    statement = b'X-Not-Executed: 1\r\n'
    if form == 'success':
        failed = worker.render_response(request)
    elif form == 'value':
        statement = b'X-Not-Executed: 0\r\n'
    elif form == 'repeated':
        statement += b'X-Not-Executed: 0\r\n'
    elif form == 'trailer':
        return failed.replace(
            b'Content-Length: 4\r\n\r\ndone',
            b'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n'
            + statement
            + b'\r\n',
        )
    return failed.replace(b'Content-Length', statement + b'Content-Length')


def _two_ids_response(worker: Worker, request: Request) -> bytes:
    """Precede the response by a rejection that also names another request."""
    rejection = worker.render_rejection(request).replace(
        b'X-Attempt-Id', b'X-Attempt-Id: other\r\nX-Attempt-Id'
    )
    return rejection + worker.render_response(request)


def _rejection_without_id_first(worker: Worker, request: Request) -> bytes:
    """Precede the response by a rejection that names no request."""
    return REJECTION + worker.render_response(request)


async def _copy_rejection_first(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Precede the response by a copy of the rejection of the same attempt.

    Only on the connection on which it was rejected.
    """
    if (writer, request.attempt) in worker.rejected_on:
        writer.write(worker.render_rejection(request))
        await writer.drain()
    writer.write(worker.render_response(request))
    return True


def _add_late(render: Callable[[Request], bytes]) -> Action:
    """Return an action that responds, and adds bytes a little later."""

    async def act(
        worker: Worker,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(worker.render_response(request))
        await writer.drain()
        asyncio.get_running_loop().call_later(
            LATE_S, _write_if_open, writer, render(request)
        )
        return True

    return act


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def _cut_response(
    render: Callable[[Worker, Request], bytes], resets: bool
) -> Action:
    """Return an action that sends as many bytes as the query says, at most.

    It ends the connection then.
    """

    async def act(
        worker: Worker,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        query = parse.parse_qs(request.target.partition('?')[2])
        writer.write(render(worker, request)[: int(query['bytes'][0])])
        await writer.drain()
        if resets:
            # Closing with a linger time of zero resets the connection.
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()
        return False

    return act


def _endless(head: bytes, part: bytes) -> Action:
    """Return an action that sends parts until the connection is closed."""

    async def act(
        worker: Worker,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(head)
        with contextlib.suppress(OSError):
            while not writer.transport.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
        worker.dropped.append(request)
        return False

    return act


ENDLESS_ANSWERS = {
    'value of a header': _endless(b'HTTP/1.1 200 OK\r\nX: ', b'x' * 65_536),
    'name of a header': _endless(b'HTTP/1.1 200 OK\r\nX', b'x' * 65_536),
    'headers': _endless(b'HTTP/1.1 200 OK\r\n', b'X: x\r\n' * 10_000),
    'reason': _endless(b'HTTP/1.1 200 ', b'x' * 65_536),
    'blank lines': _endless(b'', b'\r\n' * 30_000),
    'interim answers': _endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 900),
    'late answers': _endless(
        b'',
        b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n'
        b'Content-Length: 0\r\n\r\n' * 900,
    ),
    'extension of a chunk': _endless(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;',
        b'x' * 65_536,
    ),
    'trailer': _endless(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ',
        b'x' * 65_536,
    ),
    'chunk of a body': _endless(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n',
        b'x' * 65_536,
    ),
}


async def _already_answered(
    worker: Worker,
    request: Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Keep the connection; the response was sent before the body was read."""
    return True


ACTIONS: dict[str, Action] = {
    'ok': _respond,
    'sized': _respond_with(_response_of_size, True),
    'early': _already_answered,
    'hold': _hold,
    'reset': _reset,
    'crash': _crash,
    'closed': _respond_with(lambda worker, request: b'', False),
    'truncated': _respond_with(
        lambda worker, request: worker.render_response(request, b'x' * 100)[
            :-50
        ],
        False,
    ),
    'garbage': _respond_with(
        lambda worker, request: b'\x00\x01 no answer', False
    ),
    'unsigned': _respond_with(
        lambda worker, request: worker.render_response(request).replace(
            b'X-Response-Signature', b'X-Other'
        ),
        True,
    ),
    'encoded': _respond_with(
        lambda worker, request: worker.render_response(request).replace(
            b'Content-Length', b'Content-Encoding: gzip\r\nContent-Length'
        ),
        True,
    ),
    'failed': _respond_with(_error_response, True),
    'unframed': _respond_with(_response_without_length, False),
    'second': _respond_with(_extra_response, True),
    'second-breaks-off': _respond_with(_extra_response_breaks_off, True),
    'broken-first': _respond_with(_broken_response_first, True),
    'foreign-first': _respond_with(_other_response_first, True),
    'own-status': _respond_with(_failure_with_status, True),
    'contradiction': _respond_with(_contradictory_response, True),
    'two-ids-first': _respond_with(_two_ids_response, True),
    'unnamed-first': _respond_with(_rejection_without_id_first, True),
    'rejects-then-copies': _copy_rejection_first,
    'adds-rejection': _add_late(lambda request: REJECTION),
    'adds-failure': _add_late(lambda request: FAILURE),
}


RENDERED: dict[str, Callable[[Worker, Request], bytes]] = {
    'framed': lambda worker, request: worker.render_response(request),
    'chunked': _chunked_response,
    'unframed': _response_without_length,
}
"""A whole response for each way to delimit a body."""
ACTIONS |= {
    f'cut-{form}{ending}': _cut_response(render, bool(ending))
    for form, render in RENDERED.items()
    for ending in ('', '-reset')
}
ACTIONS |= {
    f'endless-{name.replace(" ", "-")}': action
    for name, action in ENDLESS_ANSWERS.items()
}


async def _read_head(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ')
    pairs = [line.partition(': ') for line in lines if line]
    headers: dict[str, str] = {}
    for name, _, value in pairs:
        before = headers.get(name.lower())
        joined = value if before is None else f'{before}, {value}'
        headers[name.lower()] = joined
    arrived_at = asyncio.get_running_loop().time()
    return Request(method, target, headers, b'', arrived_at)


@contextlib.asynccontextmanager
async def serving(worker: Worker, address: str) -> AsyncIterator[Worker]:
    """Serve `worker` on a loopback address and set its ``address``."""
    worker.server = await asyncio.start_server(worker.serve, address, 0)
    port = worker.server.sockets[0].getsockname()[1]
    worker.address = f'{address}:{port}'
    try:
        yield worker
    finally:
        await worker.crash()
