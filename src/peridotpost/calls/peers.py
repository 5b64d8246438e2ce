"""Streams of calls between daemons: the client.

Each frame contains the number of its call, so answers may arrive late or
out of order.  Answers to calls that are no longer pending are dropped.
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

CONNECT_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 200
"""Retry delay after a failed connection: by then a host that left is no
longer in the routing table, and a lost packet has been retransmitted."""
CRASH_ACK_TIMEOUT_S = 0.5
ANSWER_GRACE_S = 0.25
"""Time beyond a call's own budget after which its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Running and waiting calls per slot of a target, as seen by its guard."""

    peer: str
    target: str
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A request, identified by its fingerprints, crashed a target.

    :param incident: identifies the crash; calls lost in the same crash of a
        target share it.
    """

    fingerprints: tuple[str, ...]
    target: str
    incident: str


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCall:
    """A call on a stream whose outcome has not been received."""

    target: str
    outcome: asyncio.Future[calls.Outcome]


class PeerStream:
    """The client end of a stream to another daemon."""

    def __init__(
        self,
        peer: str,
        counts: counters.Counters,
        load_reported: hooks.Hook[LoadReport],
    ) -> None:
        self.peer = peer
        self.counts = counts
        self.load_reported = load_reported
        self.call_numbers = itertools.count(1)
        self.pending_calls: dict[int, PendingCall] = {}
        self.pending_acks: dict[int, asyncio.Future[None]] = {}
        self.stream: iostream.IOStream | None = None
        self.reader: asyncio.Task[None] | None = None

    async def connect(self, address: str, port: int) -> None:
        """Open the stream.

        :raises OSError: it cannot be opened; nothing was sent.
        :raises TimeoutError: it was not opened in ``CONNECT_TIMEOUT_S``.
        """
        stream = await dialling.open_stream(address, port, CONNECT_TIMEOUT_S)
        self.stream = stream
        self.reader = asyncio.ensure_future(self._read(stream))

    @property
    def is_open(self) -> bool:
        return self.stream is not None and not self.stream.closed()

    async def run(self, call: calls.Call, target: str) -> calls.Outcome:
        """Have the peer run `call`; cancellation is sent to the peer."""
        if self.stream is None or self.stream.closed():
            # Closed after it was selected: nothing was written.
            return calls.NotRun(
                calls.NotRunReason.UNREACHABLE,
                'its stream closed before the call was sent',
                RETRY_AFTER_MS,
                self.peer,
            )
        return await self.exchange(
            lambda number: frames.CallFrame(number, call, target),
            call.budget_ms / 1000 + ANSWER_GRACE_S,
            target,
        )

    async def exchange(
        self,
        make_frame: Callable[[int], frames.Frame],
        timeout_s: float,
        target: str = '',
    ) -> calls.Outcome:
        """Send a frame and return the outcome that the peer replies with.

        :param target: target whose load the reply reports; empty for none.
        """
        assert self.stream is not None
        number = next(self.call_numbers)
        outcome: asyncio.Future[calls.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_calls[number] = PendingCall(target, outcome)
        try:
            self.stream.write(frames.encode(make_frame(number)))
            async with asyncio.timeout(timeout_s):
                return await outcome
        except iostream.StreamClosedError:
            return self._lost_outcome('its stream closed')
        except TimeoutError:
            self._cancel(number)
            return self._lost_outcome('no answer in time')
        except asyncio.CancelledError:
            self._cancel(number)
            raise
        finally:
            self.pending_calls.pop(number, None)

    async def report_crash(self, crash: CrashReport) -> bool:
        """Report a crash; return whether the peer confirmed it in time."""
        if self.stream is None or self.stream.closed():
            return False
        number = next(self.call_numbers)
        acknowledged: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_acks[number] = acknowledged
        frame = frames.CrashFrame(
            number, crash.fingerprints, crash.target, crash.incident
        )
        try:
            self.stream.write(frames.encode(frame))
            async with asyncio.timeout(CRASH_ACK_TIMEOUT_S):
                await acknowledged
            return True
        except TimeoutError:
            return False
        finally:
            del self.pending_acks[number]

    def _lost_outcome(self, detail: str) -> calls.OutcomeUnknown:
        self.counts.add('peer.lost')
        return calls.OutcomeUnknown(detail, self.peer)

    def _cancel(self, number: int) -> None:
        if self.is_open and self.stream is not None:
            frame = frames.encode(frames.CancelFrame(number))
            with contextlib.suppress(iostream.StreamClosedError):
                self.stream.write(frame)

    async def _read(self, stream: iostream.IOStream) -> None:
        try:
            async for frame in frames.read_frames(stream, self.peer):
                self._handle_frame(frame)
        except iostream.StreamClosedError:
            pass
        except errors.CodecError:
            self.counts.add('peer.unreadable')
        finally:
            stream.close()
            for pending in self.pending_calls.values():
                if not pending.outcome.done():
                    pending.outcome.set_result(
                        self._lost_outcome('its stream closed')
                    )

    def _handle_frame(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.CrashAckFrame):
            acknowledged = self.pending_acks.get(frame.number)
            if acknowledged is not None and not acknowledged.done():
                acknowledged.set_result(None)
            return
        pending = self.pending_calls.get(frame.number)
        if pending is None or pending.outcome.done():
            self.counts.add('peer.late')
            return
        if isinstance(frame, frames.AnswerFrame):
            pending.outcome.set_result(frame.answer)
        elif isinstance(frame, frames.NotRunFrame):
            pending.outcome.set_result(frame.refusal)
        elif isinstance(frame, frames.UnknownFrame):
            pending.outcome.set_result(frame.unknown)
        else:
            raise errors.CodecError(
                'unexpected frame on a stream to a guard',
                step='frame.take',
                peer=self.peer,
            )
        report = LoadReport(self.peer, pending.target, frame.load)
        self.load_reported.fire(report)

    async def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
        if self.reader is not None:
            await asyncio.gather(self.reader, return_exceptions=True)


class PeerStreams:
    """Persistent streams, one to each daemon that calls are sent to."""

    def __init__(self, counts: counters.Counters) -> None:
        self.counts = counts
        self.load_reported: hooks.Hook[LoadReport] = hooks.Hook(
            'load.reported'
        )
        self.streams: dict[tuple[str, int], PeerStream] = {}
        self.opening: dict[tuple[str, int], asyncio.Future[PeerStream]] = {}

    async def run(
        self, address: str, port: int, peer: str, call: calls.Call, target: str
    ) -> calls.Outcome:
        """Run `call` at the daemon at `address` and `port`."""
        try:
            stream = await self._connect(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError) as error:
            self.counts.add('peer.unreachable')
            return calls.NotRun(
                calls.NotRunReason.UNREACHABLE,
                f'no connection: {error or "timeout"}',
                RETRY_AFTER_MS,
                peer,
            )
        return await stream.run(call, target)

    async def report_crash(
        self,
        address: str,
        port: int,
        peer: str,
        crash: CrashReport,
    ) -> None:
        """Report a crash to a daemon and wait for its confirmation.

        The report is dropped if the daemon does not confirm it in time.
        """
        try:
            stream = await self._connect(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError):
            self.counts.add('peer.untold')
            return
        if not await stream.report_crash(crash):
            self.counts.add('peer.untold')

    async def connect_or_none(
        self, address: str, port: int, peer: str
    ) -> PeerStream | None:
        """Return a stream to a daemon, or None if it is unreachable."""
        try:
            return await self._connect(address, port, peer)
        except (OSError, TimeoutError, iostream.StreamClosedError):
            self.counts.add('peer.unreachable')
            return None

    async def _connect(self, address: str, port: int, peer: str) -> PeerStream:
        key = (address, port)
        existing = self.streams.get(key)
        if existing is not None and existing.is_open:
            return existing
        opening = self.opening.get(key)
        if opening is None:
            opening = asyncio.ensure_future(self._open(key, peer))
            self.opening[key] = opening
            opening.add_done_callback(lambda _: self.opening.pop(key, None))
        return await asyncio.shield(opening)

    async def _open(self, key: tuple[str, int], peer: str) -> PeerStream:
        stream = PeerStream(peer, self.counts, self.load_reported)
        await stream.connect(*key)
        self.streams[key] = stream
        self.counts.add('peer.opened')
        return stream

    async def close(self) -> None:
        for stream in self.streams.values():
            await stream.close()
