"""The protocol for calls between daemons, framed on a TCP stream.

A frame is a 4-byte big-endian length followed by that many bytes of
MessagePack.  gRPC costs three times as much per call.
"""

from collections.abc import AsyncIterator
import struct

import msgspec
from tornado import iostream

from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.model import calls
from peridotpost.model import errors

LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = 20 * 1024 * 1024
"""Holds a body of the maximum size, 16 MiB, and its headers."""
READ_BYTES = 65_536


class CallFrame(msgspec.Struct, tag='call', array_like=True, frozen=True):
    """Run a call; `number` identifies it on this stream."""

    number: int
    call: calls.Call
    target: str


class CancelFrame(msgspec.Struct, tag='cancel', array_like=True, frozen=True):
    """Cancel call `number`: its caller has disconnected."""

    number: int


class AnswerFrame(msgspec.Struct, tag='answer', array_like=True, frozen=True):
    """The answer to a call.

    :param load: running and queued calls per slot of the target.
    """

    number: int
    answer: calls.Answer
    load: float = 0.0


class NotRunFrame(msgspec.Struct, tag='not-run', array_like=True, frozen=True):
    number: int
    refusal: calls.NotRun
    load: float = 0.0


class UnknownFrame(
    msgspec.Struct, tag='unknown', array_like=True, frozen=True
):
    number: int
    unknown: calls.OutcomeUnknown
    load: float = 0.0


class CrashFrame(msgspec.Struct, tag='crash', array_like=True, frozen=True):
    """Report to a host of the same service that a request crashed `target`.

    :param fingerprints: of the request, see ``decisions.poison``.
    """

    number: int
    fingerprints: tuple[str, ...]
    target: str
    incident: str


class CrashAckFrame(msgspec.Struct, tag='heard', array_like=True, frozen=True):
    """Confirm that the crash reported under `number` was recorded."""

    number: int


class OwnedCallFrame(
    msgspec.Struct, tag='owned', array_like=True, frozen=True
):
    """Run a call as the owner of its key.

    :param span: span of the sender's schedule that contains the key; None
        if the key itself names the owner.
    """

    number: int
    call: calls.Call
    span: ownership.Span | None


class LookUpFrame(msgspec.Struct, tag='look-up', array_like=True, frozen=True):
    """Look up `key` in the ledger that `host` handed over."""

    number: int
    key: str
    host: str
    span: ownership.Span | None


class HandOverFrame(
    msgspec.Struct, tag='hand-over', array_like=True, frozen=True
):
    """Store a chunk of a ledger; an empty answer confirms it."""

    number: int
    ledger: idempotency.HandoverLedger


class ScheduleFrame(
    msgspec.Struct, tag='schedule', array_like=True, frozen=True
):
    """Request the receiver's copy of the schedule, in its stored form."""

    number: int


OwnerFrame = OwnedCallFrame | LookUpFrame | HandOverFrame | ScheduleFrame
Frame = (
    CallFrame
    | CancelFrame
    | AnswerFrame
    | NotRunFrame
    | UnknownFrame
    | CrashFrame
    | OwnerFrame
    | CrashAckFrame
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


def with_number(frame: OwnerFrame, number: int) -> OwnerFrame:
    """Return the frame with a number assigned by its stream."""
    return msgspec.structs.replace(frame, number=number)


def encode(frame: Frame) -> bytes:
    body = encoder.encode(frame)
    return LENGTH.pack(len(body)) + body


async def read_frames(
    stream: iostream.IOStream, peer: str
) -> AsyncIterator[Frame]:
    """Yield received frames, those of one read without awaiting.

    :raises errors.CodecError: a frame is too long or cannot be decoded.
    :raises iostream.StreamClosedError: the peer closed the stream.
    """
    buffer = bytearray()
    while True:
        buffer += await stream.read_bytes(READ_BYTES, partial=True)
        start = 0
        while len(buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(buffer, start)
            if length > MAX_FRAME_BYTES:
                raise errors.CodecError(
                    f'frame of {length} bytes exceeds the limit',
                    step='frame.read',
                    peer=peer,
                )
            end = start + LENGTH.size + length
            if len(buffer) < end:
                break
            yield _decode(memoryview(buffer)[end - length : end], peer)
            start = end
        del buffer[:start]


def _decode(body: memoryview, peer: str) -> Frame:
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.CodecError(
            str(error), step='frame.read', peer=peer
        ) from error
    finally:
        # The buffer cannot be resized while a view of it exists.
        body.release()


def to_frame(number: int, outcome: calls.Outcome, load: float) -> Frame:
    if isinstance(outcome, calls.Answer):
        return AnswerFrame(number, outcome, load)
    if isinstance(outcome, calls.NotRun):
        return NotRunFrame(number, outcome, load)
    return UnknownFrame(number, outcome, load)
