"""Streams of calls between daemons: the server."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Protocol

from tornado import iostream
from tornado import tcpserver

from peridotpost.calls import frames
from peridotpost.calls import guard as guards
from peridotpost.calls import sockets as ports
from peridotpost.kernel import counters
from peridotpost.model import calls
from peridotpost.model import errors


class KeyOwner(Protocol):
    """Handles other daemons' requests about keys."""

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome: ...


class PeerServer(tcpserver.TCPServer):
    """Runs calls of other daemons at the guard or the owner."""

    def __init__(self, guard: guards.Guard, counts: counters.Counters) -> None:
        super().__init__()
        self.guard = guard
        self.counts = counts
        self.open_streams: set[iostream.IOStream] = set()
        self.owner: KeyOwner | None = None

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        running: dict[int, asyncio.Task[None]] = {}
        stream.set_nodelay(True)
        self.open_streams.add(stream)
        try:
            async for frame in frames.read_frames(stream, str(address)):
                self._handle_frame(frame, stream, running)
        except iostream.StreamClosedError:
            pass
        except errors.CodecError:
            self.counts.add('peer.unreadable')
            stream.close()
        finally:
            self.open_streams.discard(stream)
            for task in running.values():
                task.cancel()

    def _handle_frame(
        self,
        frame: frames.Frame,
        stream: iostream.IOStream,
        running: dict[int, asyncio.Task[None]],
    ) -> None:
        if isinstance(frame, frames.CallFrame | frames.OwnerFrame):
            task = asyncio.ensure_future(self._run(frame, stream))
            running[frame.number] = task
            task.add_done_callback(lambda _: running.pop(frame.number, None))
        elif isinstance(frame, frames.CancelFrame):
            cancelled = running.get(frame.number)
            if cancelled is not None:
                cancelled.cancel()
        elif isinstance(frame, frames.CrashFrame):
            self.guard.record_crash(
                frame.fingerprints, frame.target, frame.incident
            )
            stream.write(frames.encode(frames.CrashAckFrame(frame.number)))
        else:
            raise errors.CodecError(
                'unexpected frame on a stream from a caller', step='frame.act'
            )

    async def _run(
        self,
        frame: frames.CallFrame | frames.OwnerFrame,
        stream: iostream.IOStream,
    ) -> None:
        load = 0.0
        if isinstance(frame, frames.CallFrame):
            outcome = await self.guard.run(frame.call, frame.target)
            load = self.guard.load_of(frame.call.service, frame.target)
        elif self.owner is not None:
            outcome = await self.owner.serve(frame)
        else:
            outcome = calls.OutcomeUnknown('this daemon owns no keys')
        reply = frames.encode(frames.to_frame(frame.number, outcome, load))
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(reply)


@contextlib.asynccontextmanager
async def serving(
    server: PeerServer, address: str, port: int
) -> AsyncIterator[int]:
    """Serve other daemons and yield the bound port.

    :raises errors.PeridotError: the port cannot be opened.
    """
    sockets = ports.bind(address, port, 'call_port')
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        for stream in tuple(server.open_streams):
            stream.close()
