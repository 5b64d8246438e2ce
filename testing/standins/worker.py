"""A target that does on request what targets may do wrong.

The last segment of a request's path names what happens to it, so that a
test says it where it sends the request; see ``ACTIONS``.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses


@dataclasses.dataclass(slots=True)
class Run:
    """A request that the target began to run."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        return self.headers.get('x-attempt-id', '')


class Worker:
    """One target; counts what it ran, and what it saw leave.

    ``sheds`` has it turn all requests away, unrun; ``acts`` has it do the
    same with each, whatever the path says.
    """

    def __init__(self, instance: str, slots: int = 4) -> None:
        self.instance = instance
        self.slots = slots
        self.sheds = False
        self.acts = ''
        self.runs: list[Run] = []
        self.rejected: list[Run] = []
        self.dropped: list[Run] = []
        self.connections = 0
        self.most_at_once = 0
        self.running = 0
        self.release = asyncio.Event()
        self.began = asyncio.Event()
        self.left = asyncio.Event()
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.forgotten: set[asyncio.StreamWriter] = set()

    def attempts(self) -> list[str]:
        return [one.attempt for one in self.runs]

    def forget_idle(self) -> None:
        """Reset, on the next byte, every connection that is idle now."""
        self.forgotten |= self.writers

    async def crash(self) -> None:
        """End at once: listening socket and connections are gone."""
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
            while await self._one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        run = await self._read(reader, writer)
        if writer in self.forgotten:
            writer.transport.abort()
            return False
        expected = run.headers.get('x-expected-instance', self.instance)
        if expected != self.instance:
            self.rejected.append(run)
            writer.write(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        action = self.acts or run.target.partition('?')[0].rpartition('/')[2]
        if self.sheds or action == 'shed':
            self.rejected.append(run)
            writer.write(
                b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
            return True
        self.runs.append(run)
        self.running += 1
        self.most_at_once = max(self.most_at_once, self.running)
        self.began.set()
        try:
            act = ACTIONS.get(action, _ok)
            return await act(self, run, reader, writer)
        finally:
            self.running -= 1

    async def _read(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Run:
        """Read a request; one whose path ends in `early` is answered first.

        Its body is read only after that, as a target does that knows by
        the head what it will say.
        """
        run = await _read_head(reader)
        early = run.target.endswith('/early')
        if early:
            writer.write(self.answer(run))
            await writer.drain()
            await self.release.wait()
        length = int(run.headers.get('content-length', 0))
        run.body = await reader.readexactly(length)
        return run

    def answer(self, run: Run, body: bytes = b'done') -> bytes:
        return (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {run.attempt}\r\n'
            f'X-Response-Signature: {self.instance}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode() + body


Action = Callable[
    [Worker, Run, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def _ok(
    worker: Worker,
    run: Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    writer.write(worker.answer(run))
    return True


async def _hold(
    worker: Worker,
    run: Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run until released, or until the sender leaves."""
    released = asyncio.ensure_future(worker.release.wait())
    gone = asyncio.ensure_future(reader.read(1))
    done, _ = await asyncio.wait(
        {released, gone}, return_when=asyncio.FIRST_COMPLETED
    )
    if gone in done:
        released.cancel()
        worker.dropped.append(run)
        worker.left.set()
        return False
    gone.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await gone
    writer.write(worker.answer(run))
    return True


def _sends(render: Callable[[Worker, Run], bytes], keep: bool) -> Action:
    async def act(
        worker: Worker,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(render(worker, run))
        await writer.drain()
        return keep

    return act


async def _reset(
    worker: Worker,
    run: Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    writer.transport.abort()
    return False


async def _crash(
    worker: Worker,
    run: Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    await worker.crash()
    return False


def _failed(worker: Worker, run: Run) -> bytes:
    return worker.answer(run).replace(b'200 OK', b'500 Failed')


def _unframed(worker: Worker, run: Run) -> bytes:
    return worker.answer(run).replace(b'Content-Length: 4\r\n', b'')


def _second(worker: Worker, run: Run) -> bytes:
    return worker.answer(run) + worker.answer(run, b'other')


def _foreign_first(worker: Worker, run: Run) -> bytes:
    other = dataclasses.replace(run, headers={'x-attempt-id': 'other'})
    return worker.answer(other, b'wrong') + worker.answer(run)


async def _nothing_more(
    worker: Worker,
    run: Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Go on reading; the answer was sent before the body was read."""
    return True


ACTIONS: dict[str, Action] = {
    'ok': _ok,
    'early': _nothing_more,
    'hold': _hold,
    'reset': _reset,
    'crash': _crash,
    'closed': _sends(lambda worker, run: b'', False),
    'truncated': _sends(
        lambda worker, run: worker.answer(run, b'x' * 100)[:-50], False
    ),
    'garbage': _sends(lambda worker, run: b'\x00\x01 no answer', False),
    'unsigned': _sends(
        lambda worker, run: worker.answer(run).replace(
            b'X-Response-Signature', b'X-Other'
        ),
        True,
    ),
    'encoded': _sends(
        lambda worker, run: worker.answer(run).replace(
            b'Content-Length', b'Content-Encoding: gzip\r\nContent-Length'
        ),
        True,
    ),
    'failed': _sends(_failed, True),
    'unframed': _sends(_unframed, False),
    'second': _sends(_second, True),
    'foreign-first': _sends(_foreign_first, True),
}


async def _read_head(reader: asyncio.StreamReader) -> Run:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ')
    pairs = [line.partition(': ') for line in lines if line]
    headers = {name.lower(): value for name, _, value in pairs}
    return Run(method, target, headers, b'')


@contextlib.asynccontextmanager
async def serving(worker: Worker, address: str) -> AsyncIterator[Worker]:
    """Serve `worker` at a loopback address; sets its own."""
    worker.server = await asyncio.start_server(worker.serve, address, 0)
    port = worker.server.sockets[0].getsockname()[1]
    worker.address = f'{address}:{port}'
    try:
        yield worker
    finally:
        await worker.crash()
