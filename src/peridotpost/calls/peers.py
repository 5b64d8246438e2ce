"""Streams of calls between daemons: the calling side.

Each frame carries the number of its call, so that answers may come late
or crossed; one whose number nobody waits for is dropped.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import itertools

from tornado import iostream

from peridotpost.calls import frames
from peridotpost.kernel import counters
from peridotpost.kernel import dialling
from peridotpost.kernel import hooks
from peridotpost.model import calls
from peridotpost.model import errors

CONNECT_S = 0.5
RETURN_MS = 200
"""When to come back after a failed connection: by then the table has lost
a host that left, and a lost packet was sent again."""
TELL_S = 0.5
ANSWER_GRACE_S = 0.25
"""Time beyond the call's own budget before its stream is given up on."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A guard's word on one of its targets: what runs and waits, per slot."""

    peer: str
    target: str
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request, by its fingerprints, crashed a target."""

    names: tuple[str, ...]
    target: str
    incident: str


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
        self.telling: dict[int, asyncio.Future[None]] = {}
        self.stream: iostream.IOStream | None = None
        self.reading: asyncio.Task[None] | None = None

    async def connect(self, address: str, port: int) -> None:
        """Open the stream.

        :raises OSError: it cannot be opened; nothing was sent.
        :raises TimeoutError: nor within ``CONNECT_S``.
        """
        stream = await dialling.open_stream(address, port, CONNECT_S)
        self.stream = stream
        self.reading = asyncio.ensure_future(self._read(stream))

    @property
    def usable(self) -> bool:
        return self.stream is not None and not self.stream.closed()

    async def run(self, call: calls.Call, target: str) -> calls.Outcome:
        """Have the peer run `call`; cancelling tells the peer."""
        if self.stream is None or self.stream.closed():
            # Closed since it was chosen: nothing was written.
            return calls.NotRun(
                calls.NotRunReason.UNREACHABLE,
                'its stream closed before the call was sent',
                RETURN_MS,
                self.peer,
            )
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
            async with asyncio.timeout(wait_s):
                return await outcome
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

    async def tell(self, crash: CrashReport) -> bool:
        """Tell the peer of a crash; False if it has not heard in time."""
        if self.stream is None or self.stream.closed():
            return False
        number = next(self.numbers)
        heard: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.telling[number] = heard
        frame = frames.CrashFrame(
            number, crash.names, crash.target, crash.incident
        )
        try:
            self.stream.write(frames.encode(frame))
            async with asyncio.timeout(TELL_S):
                await heard
            return True
        except TimeoutError:
            return False
        finally:
            del self.telling[number]

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
            async for frame in frames.arriving(stream, self.peer):
                self._take(frame)
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
        if isinstance(frame, frames.HeardFrame):
            heard = self.telling.get(frame.number)
            if heard is not None and not heard.done():
                heard.set_result(None)
            return
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
                RETURN_MS,
                peer,
            )
        return await stream.run(call, target)

    async def tell(
        self,
        address: str,
        port: int,
        peer: str,
        crash: CrashReport,
    ) -> None:
        """Tell a daemon of a crash, and wait until it has heard.

        A daemon that cannot be told in time goes without.
        """
        try:
            stream = await self._stream(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError):
            self.counts.add('peer.untold')
            return
        if not await stream.tell(crash):
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
