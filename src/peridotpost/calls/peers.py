"""Streams of calls between daemons: both the calling and the called side.

Each frame carries the number of its call, so that answers may come late
or crossed; one whose number nobody waits for is dropped.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import socket
from typing import Protocol

from tornado import iostream
from tornado import netutil
from tornado import tcpclient
from tornado import tcpserver

from peridotpost.calls import frames
from peridotpost.calls import guard as guards
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.model import calls
from peridotpost.model import errors

CONNECT_S = 0.5
ANSWER_GRACE_S = 0.25
"""Time beyond the call's own budget before its stream is given up on."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A guard's word on one of its targets: what runs and waits, per slot."""

    peer: str
    target: str
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A call on a stream whose outcome has not come."""

    target: str
    outcome: asyncio.Future[calls.Outcome]


class PeerStream:
    """The calling side of one stream to another daemon."""

    def __init__(
        self,
        peer: str,
        counts: counters.Counters,
        reported: hooks.Hook[LoadReport],
    ) -> None:
        self.peer = peer
        self.counts = counts
        self.reported = reported
        self.numbers = itertools.count(1)
        self.waiting: dict[int, Waiting] = {}
        self.stream: iostream.IOStream | None = None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self, address: str, port: int) -> None:
        """Open the stream.

        :raises OSError: it cannot be opened; nothing was sent.
        :raises TimeoutError: nor within ``CONNECT_S``.
        """
        client = tcpclient.TCPClient()
        stream = await asyncio.wait_for(
            client.connect(address, port), CONNECT_S
        )
        stream.set_nodelay(True)
        self.stream = stream
        self.reading = asyncio.ensure_future(self._read(stream))

    @property
    def usable(self) -> bool:
        return self.stream is not None and not self.stream.closed()

    async def run(self, call: calls.Call, target: str) -> calls.Outcome:
        """Have the peer run `call`; cancelling tells the peer."""
        return await self.exchange(
            lambda number: frames.CallFrame(number, call, target),
            call.budget_ms / 1000 + ANSWER_GRACE_S,
            target,
        )

    async def exchange(
        self,
        frame_of: Callable[[int], frames.Frame],
        wait_s: float,
        target: str = '',
    ) -> calls.Outcome:
        """Send a frame and return the outcome that comes back for it.

        :param target: whose load the outcome tells; empty for none.
        """
        assert self.stream is not None
        number = next(self.numbers)
        outcome: asyncio.Future[calls.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting[number] = Waiting(target, outcome)
        try:
            self.stream.write(frames.encode(frame_of(number)))
            return await asyncio.wait_for(outcome, wait_s)
        except iostream.StreamClosedError:
            return self._lost('its stream closed')
        except TimeoutError:
            self._cancel(number)
            return self._lost('no answer in time')
        except asyncio.CancelledError:
            self._cancel(number)
            raise
        finally:
            self.waiting.pop(number, None)

    def _lost(self, detail: str) -> calls.OutcomeUnknown:
        self.counts.add('peer.lost')
        return calls.OutcomeUnknown(detail, self.peer)

    def _cancel(self, number: int) -> None:
        if self.usable and self.stream is not None:
            frame = frames.encode(frames.CancelFrame(number))
            with contextlib.suppress(iostream.StreamClosedError):
                self.stream.write(frame)

    async def _read(self, stream: iostream.IOStream) -> None:
        try:
            while True:
                self._take(await frames.read(stream, self.peer))
        except iostream.StreamClosedError:
            pass
        except errors.CodecError:
            self.counts.add('peer.unreadable')
        finally:
            stream.close()
            for one in self.waiting.values():
                if not one.outcome.done():
                    one.outcome.set_result(self._lost('its stream closed'))

    def _take(self, frame: frames.Frame) -> None:
        waiting = self.waiting.get(frame.number)
        if waiting is None or waiting.outcome.done():
            self.counts.add('peer.late')
            return
        if isinstance(frame, frames.AnswerFrame):
            waiting.outcome.set_result(frame.answer)
        elif isinstance(frame, frames.NotRunFrame):
            waiting.outcome.set_result(frame.refusal)
        elif isinstance(frame, frames.UnknownFrame):
            waiting.outcome.set_result(frame.unknown)
        else:
            raise errors.CodecError(
                'a frame that only a caller sends',
                step='frame.take',
                peer=self.peer,
            )
        report = LoadReport(self.peer, waiting.target, frame.load)
        self.reported.fire(report)

    async def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
        if self.reading is not None:
            await asyncio.gather(self.reading, return_exceptions=True)


class PeerStreams:
    """One kept stream to each daemon that calls go to."""

    def __init__(self, counts: counters.Counters) -> None:
        self.counts = counts
        self.reported: hooks.Hook[LoadReport] = hooks.Hook('load.reported')
        self.streams: dict[tuple[str, int], PeerStream] = {}
        self.opening: dict[tuple[str, int], asyncio.Future[PeerStream]] = {}

    async def run(
        self, address: str, port: int, peer: str, call: calls.Call, target: str
    ) -> calls.Outcome:
        """Run `call` by way of the daemon at `address` and `port`."""
        try:
            stream = await self._stream(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            self.counts.add('peer.unreachable')
            return calls.NotRun(
                calls.NotRunReason.UNREACHABLE,
                f'no connection: {error or "timeout"}',
                200,
                peer,
            )
        return await stream.run(call, target)

    async def tell(
        self, address: str, port: int, peer: str, frame: frames.CrashFrame
    ) -> None:
        """Send a frame that has no answer; it may be lost."""
        try:
            stream = await self._stream(address, port, peer)
            if stream.stream is not None:
                await stream.stream.write(frames.encode(frame))
        except (OSError, TimeoutError, iostream.StreamClosedError):
            self.counts.add('peer.untold')

    async def reach(
        self, address: str, port: int, peer: str
    ) -> PeerStream | None:
        """Return a stream to a daemon; None: nothing can be sent to it."""
        try:
            return await self._stream(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError):
            self.counts.add('peer.unreachable')
            return None

    async def _stream(self, address: str, port: int, peer: str) -> PeerStream:
        key = (address, port)
        held = self.streams.get(key)
        if held is not None and held.usable:
            return held
        opening = self.opening.get(key)
        if opening is None:
            opening = asyncio.ensure_future(self._open(key, peer))
            self.opening[key] = opening
            opening.add_done_callback(lambda _: self.opening.pop(key, None))
        return await asyncio.shield(opening)

    async def _open(self, key: tuple[str, int], peer: str) -> PeerStream:
        stream = PeerStream(peer, self.counts, self.reported)
        await stream.connect(*key)
        self.streams[key] = stream
        self.counts.add('peer.opened')
        return stream

    async def close(self) -> None:
        for stream in self.streams.values():
            await stream.close()


class KeyOwner(Protocol):
    """Serves what other daemons ask about keys."""

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome: ...


class PeerServer(tcpserver.TCPServer):
    """The called side: runs what other daemons send to the guard."""

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
            while True:
                frame = await frames.read(stream, str(address))
                self._act(frame, stream, running)
        except iostream.StreamClosedError:
            pass
        except errors.CodecError:
            self.counts.add('peer.unreadable')
            stream.close()
        finally:
            self.open_streams.discard(stream)
            for task in running.values():
                task.cancel()

    def _act(
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
            found = running.get(frame.number)
            if found is not None:
                found.cancel()
        elif isinstance(frame, frames.CrashFrame):
            self.guard.heard_of_crash(
                frame.names, frame.target, frame.incident
            )
        else:
            raise errors.CodecError(
                'a frame that only a guard sends', step='frame.act'
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
            outcome = calls.OutcomeUnknown('no key is owned here')
        reply = frames.encode(frames.to_frame(frame.number, outcome, load))
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(reply)


@contextlib.asynccontextmanager
async def serving(
    server: PeerServer, address: str, port: int
) -> AsyncIterator[int]:
    """Serve other daemons and yield the port in use.

    :raises errors.PeridotError: the port is taken.
    """
    sockets = bind(address, port, 'call_port')
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        for stream in tuple(server.open_streams):
            stream.close()


def bind(address: str, port: int, setting: str) -> list[socket.socket]:
    """Open listening sockets.

    :raises errors.PeridotError: the port is taken; names the setting.
    """
    try:
        return netutil.bind_sockets(port, address, reuse_port=False)
    except OSError as error:
        raise errors.PeridotError(
            f'the port cannot be opened ({error.strerror}); set '
            f'listen.{setting} to a free one',
            step='listen',
            peer=f'{address}:{port}',
        ) from error
