"""Messages between daemons: msgpack arrays behind a length.

Fields go by position, not by name: a byte between availability zones is
the dearest thing that a call needs.
"""

import struct
import zlib

import msgspec

LENGTH = struct.Struct('>I')
COMPRESSION_LEVEL = 5
WINDOW_BITS = 12
MEMORY_LEVEL = 5
MAX_FRAME = 80 * 1024 * 1024
"""A body at its limit and its head; more is a broken stream."""


class Dispatch(msgspec.Struct, array_like=True, tag=1):
    """A request for the receiver's target; see ``forwarding.Order``.

    :param inherited: in hundredths.
    :param body_later: whether there is a body that is sent on demand.
    """

    number: int
    service: str
    route: str
    attempt_id: bytes
    method: bytes
    target: bytes
    head: bytes
    body: bytes
    idempotent: bool
    last: bool
    rank: int
    left_ms: int
    objective_ms: int
    repeat: int = 0
    inherited: int = 0
    body_later: bool = False


class BodyWanted(msgspec.Struct, array_like=True, tag=18):
    """The guard takes a dispatch that came without its body."""

    number: int


class Body(msgspec.Struct, array_like=True, tag=19):
    """The body of a dispatch that was sent without it."""

    number: int
    body: bytes


class Cancel(msgspec.Struct, array_like=True, tag=2):
    """The sender gave up on its dispatch."""

    number: int


class Answered(msgspec.Struct, array_like=True, tag=3):
    """A target's whole answer.

    :param load: what runs and waits, in hundredths of the slots.
    :param run_ms: mean time of a run there.
    :param failing: share of failures there, in hundredths.
    """

    number: int
    status: int
    reason: bytes
    head: bytes
    body: bytes
    load: int
    run_ms: int
    failing: int = 0


class RefusedFrame(msgspec.Struct, array_like=True, tag=4):
    """The dispatch has not run and will not."""

    number: int
    reason: str
    retry_after_ms: int
    arrived: bool
    load: int
    run_ms: int
    failing: int = 0


class LostFrame(msgspec.Struct, array_like=True, tag=5):
    """The dispatch may have run; there is no answer."""

    number: int
    detail: str
    crashed: bool


class Status(msgspec.Struct, array_like=True, tag=6):
    """The sender's target, whenever that changes."""

    service: str
    instance: str
    slots: int
    ready: bool
    load: int
    failing: int = 0
    version: str = ''


class Hello(msgspec.Struct, array_like=True, tag=7):
    """First frame of each side.

    :param slow: whether the sender's link is slow, so that it wants to be
        told of versions and not to read them from the store.
    :param compressed: whether all that follows this frame is one deflate
        stream, flushed after each write.
    """

    host: str
    availability_zone: str
    address: str
    port: int
    incarnation: int
    version: int
    compressed: bool = False
    slow: bool = False


class Version(msgspec.Struct, array_like=True, tag=8):
    """The configuration version that the sender holds.

    :param following: whether it reads the store, and reached it lately;
        None where it does not say.  One with a slow link does not, but for
        True when it begins a read.
    """

    version: int
    following: bool | None = None


class Fetch(msgspec.Struct, array_like=True, tag=9):
    """Asks for the configuration, if it is newer than `version`."""

    version: int


class Config(msgspec.Struct, array_like=True, tag=10):
    """A whole configuration, as the operators wrote it, deflated."""

    version: int
    deflated: bytes


class ConfigDelta(msgspec.Struct, array_like=True, tag=15):
    """A configuration as the difference to the one of `base`.

    :param packed: by ``deltas.pack``.
    """

    base: int
    version: int
    packed: bytes


class Crash(msgspec.Struct, array_like=True, tag=11):
    """Requests that were running when a target crashed."""

    incident: int
    fingerprints: list[str]


class Ping(msgspec.Struct, array_like=True, tag=12):
    """Asks for a sign of life; tells the sender's version."""

    version: int


class Pong(msgspec.Struct, array_like=True, tag=13):
    """A sign of life."""

    load: int
    version: int
    failing: int = 0


class Known(msgspec.Struct, array_like=True, tag=14):
    """Daemons that the sender knows, for one that just started."""

    hosts: list[Hello]


class ReleaseUpdate(msgspec.Struct, array_like=True, tag=16):
    """A coordinator's update; see ``release.ReleaseState``.

    :param share: in ten-thousandths.
    """

    service: str
    version: str
    revision: int
    duration_ms: int
    epoch: int
    number: int
    stage: int
    share: int
    focus: str
    elapsed_ms: int
    coordinator: str
    banned: list[str] = []


class RouteCounts(msgspec.Struct, array_like=True):
    """Runs of one route; see ``release.RouteRuns``."""

    route: str
    runs: int
    failed: int
    by_time: dict[int, int]


class ReleaseReport(msgspec.Struct, array_like=True, tag=17):
    """What a guard tells a coordinator; see ``release.TargetReport``."""

    service: str
    revision: int
    version: str
    drained: bool
    routes: list[RouteCounts]


Frame = (
    Dispatch
    | Cancel
    | Answered
    | RefusedFrame
    | LostFrame
    | Status
    | Hello
    | Version
    | Fetch
    | Config
    | ConfigDelta
    | Crash
    | Ping
    | Pong
    | Known
    | ReleaseUpdate
    | ReleaseReport
    | BodyWanted
    | Body
)

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class BadFrame(ValueError):
    """A peer sent what is no frame; the stream can't be read on."""


def encode(frame: Frame) -> bytes:
    raw = ENCODER.encode(frame)
    return LENGTH.pack(len(raw)) + raw


def deflater() -> 'zlib._Compress':
    """Return a compressor for the rest of a stream.

    Header lines repeat from request to request; a window of 4 KB holds
    several, and compressor and window together take 32 KB.
    """
    return zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
    )


class FrameReader:
    """Cuts a byte stream into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.inflater: zlib._Decompress | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are whole now.

        :raises BadFrame: the stream makes no sense from here on.
        """
        buffer = self.buffer
        buffer += self._inflated(data)
        found: list[Frame] = []
        while True:
            frame, used = self._next(buffer)
            if frame is None:
                return found
            del buffer[:used]
            found.append(frame)
            if type(frame) is Hello and frame.compressed:
                self.inflater = zlib.decompressobj(-WINDOW_BITS)
                rest = bytes(buffer)
                buffer.clear()
                buffer += self._inflated(rest)

    def _inflated(self, data: bytes) -> bytes:
        if self.inflater is None:
            return data
        try:
            return self.inflater.decompress(data)
        except zlib.error as error:
            raise BadFrame(str(error)) from error

    def _next(self, buffer: bytearray) -> tuple[Frame | None, int]:
        """Return the first frame, if it is whole, and its length."""
        if len(buffer) < LENGTH.size:
            return None, 0
        (size,) = LENGTH.unpack_from(buffer)
        if size > MAX_FRAME:
            raise BadFrame(f'frame of {size} bytes')
        end = LENGTH.size + size
        if len(buffer) < end:
            return None, 0
        try:
            return DECODER.decode(bytes(buffer[LENGTH.size : end])), end
        except msgspec.MsgspecError as error:
            raise BadFrame(str(error)) from error
