"""Messages between two daemons about calls, framed on one TCP stream.

A frame is a 4-byte big-endian length and that many bytes of MessagePack.
gRPC was measured at three times the cost of this for each call.
"""

import struct

import msgspec
from tornado import iostream

from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.model import calls
from peridotpost.model import errors

LENGTH = struct.Struct('>I')
MAX_FRAME_BYTES = 20 * 1024 * 1024


class CallFrame(msgspec.Struct, tag='call', array_like=True, frozen=True):
    """Run this call; `number` names it on this stream."""

    number: int
    call: calls.Call
    target: str


class CancelFrame(msgspec.Struct, tag='cancel', array_like=True, frozen=True):
    """The caller of call `number` has gone."""

    number: int


class AnswerFrame(msgspec.Struct, tag='answer', array_like=True, frozen=True):
    """`load` is what then runs and waits at the target, per slot."""

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
    """A request crashed a target of a service that the peer hosts too.

    :param names: the request's fingerprints, see ``decisions.poison``.
    """

    number: int
    names: tuple[str, ...]
    target: str
    incident: str


class OwnedCallFrame(
    msgspec.Struct, tag='owned', array_like=True, frozen=True
):
    """Run this call as the owner of its key.

    :param span: by which the sender's schedule names the owner; None
        where the key itself does.
    """

    number: int
    call: calls.Call
    span: ownership.Span | None


class LookUpFrame(msgspec.Struct, tag='look-up', array_like=True, frozen=True):
    """Say what the ledger that `host` handed over holds of `key`."""

    number: int
    key: str
    host: str
    span: ownership.Span | None


class HandOverFrame(
    msgspec.Struct, tag='hand-over', array_like=True, frozen=True
):
    """Keep this piece of a ledger; an empty answer confirms it."""

    number: int
    ledger: idempotency.HandedLedger


class ScheduleFrame(
    msgspec.Struct, tag='schedule', array_like=True, frozen=True
):
    """Answer with the schedule that you hold, as the store keeps it."""

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
)

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


def numbered(frame: OwnerFrame, number: int) -> OwnerFrame:
    """Return the frame under the number that its stream gave it."""
    return msgspec.structs.replace(frame, number=number)


def encode(frame: Frame) -> bytes:
    body = encoder.encode(frame)
    return LENGTH.pack(len(body)) + body


async def read(stream: iostream.IOStream, peer: str) -> Frame:
    """Read one frame.

    :raises errors.CodecError: it is too long or cannot be read.
    :raises iostream.StreamClosedError: the peer is gone.
    """
    (length,) = LENGTH.unpack(await stream.read_bytes(LENGTH.size))
    if length > MAX_FRAME_BYTES:
        raise errors.CodecError(
            f'a frame of {length} bytes', step='frame.read', peer=peer
        )
    body = await stream.read_bytes(length)
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.CodecError(
            str(error), step='frame.read', peer=peer
        ) from error


def to_frame(number: int, outcome: calls.Outcome, load: float) -> Frame:
    if isinstance(outcome, calls.Answer):
        return AnswerFrame(number, outcome, load)
    if isinstance(outcome, calls.NotRun):
        return NotRunFrame(number, outcome, load)
    return UnknownFrame(number, outcome, load)
