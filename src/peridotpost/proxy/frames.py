"""Frames between daemons: length-prefixed msgpack arrays.

Fields are encoded by position instead of by name, because traffic between
availability zones is the most expensive resource that a request uses.
"""

import struct
import zlib

import msgspec

LENGTH_PREFIX = struct.Struct('>I')
COMPRESSION_LEVEL = 5
WINDOW_BITS = 12
MEMORY_LEVEL = 3
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Fits the largest configuration; a longer frame is treated as a corrupt
stream.  Large bodies are sent in parts."""


MAX_INFLATED_BYTES = 2 * MAX_FRAME_BYTES
"""Limit of what the bytes of one read may inflate to."""


class Statement(msgspec.Struct, array_like=True):
    """What a target stated; see ``instances.TargetStatement``."""

    instance: str
    started_ms: int
    leaving: bool
    limit_per_s: float | None


class Dispatch(msgspec.Struct, array_like=True, tag=1):
    """A request for the receiver's target; see ``forwarding.Order``.

    :param remaining_ms: time until the deadline.
    :param objective_ms: time until the objective.
    :param retry_cause: a ``forwarding.RetryCause``.
    :param inherited_retry_percent: inherited retry weight in hundredths.
    :param body_deferred: whether the body is left out and sent on request.
    :param customer: name of the customer; empty if there is none.
    :param body_size: length of a deferred body.
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
    remaining_ms: int
    objective_ms: int
    retry_cause: int = 0
    inherited_retry_percent: int = 0
    body_deferred: bool = False
    customer: str = ''
    body_size: int = 0


class BodyWanted(msgspec.Struct, array_like=True, tag=18):
    """Asks for a part of a body that was announced without it.

    The guard asks for the body of a dispatch that it accepted, the sender of
    a dispatch for that of its response.

    :param size: length of the part; 0 asks for all of the body.
    """

    number: int
    offset: int = 0
    size: int = 0


class Body(msgspec.Struct, array_like=True, tag=19):
    """The part of a body that a `BodyWanted` asked for.

    Parts arrive in the order in which they were asked for.
    """

    number: int
    body: bytes


class Cancel(msgspec.Struct, array_like=True, tag=2):
    """The sender no longer needs the outcome of its dispatch."""

    number: int


class Answered(msgspec.Struct, array_like=True, tag=3):
    """A target's complete response.

    :param load: running and queued requests, in hundredths of the slots.
    :param run_ms: mean run time of the route on that target.
    :param failing: share of failed requests there, in hundredths.
    :param stated: what the target stated and is in force.
    :param body_size: length of a body that is left out and sent on request.
    """

    number: int
    status: int
    reason: bytes
    head: bytes
    body: bytes
    load: int
    run_ms: int
    failing: int = 0
    stated: Statement | None = None
    body_size: int = 0


class RefusedFrame(msgspec.Struct, array_like=True, tag=4):
    """The dispatch was refused: it has not run and will not run.

    :param proof: why that is known, a value of ``forwarding.Proof``; empty
        if the sender is too old to say so.
    """

    number: int
    reason: str
    retry_after_ms: int
    arrived: bool
    load: int
    run_ms: int
    failing: int = 0
    stated: Statement | None = None
    proof: str = ''


class LostFrame(msgspec.Struct, array_like=True, tag=5):
    """No response is available; the dispatch may have run."""

    number: int
    detail: str
    crashed: bool


class Status(msgspec.Struct, array_like=True, tag=6):
    """State of the sender's target, sent on each change.

    :param load: running and queued requests, in hundredths of the slots.
    :param failing: share of failed requests, in hundredths.
    """

    service: str
    instance: str
    slots: int
    ready: bool
    load: int
    failing: int = 0
    version: str = ''
    stated: Statement | None = None


class Hello(msgspec.Struct, array_like=True, tag=7):
    """First frame sent by each side.

    :param has_slow_link: whether the sender's link is slow, so that it relies
        on peers for configuration versions instead of reading the store.
    :param compressed: whether everything after this frame is one deflate
        stream, flushed after each write.
    :param heard: what the receiver's target stated, as the sender remembers
        it.
    :param takes_parts: whether the sender asks for the large bodies of
        responses in parts.
    :param known_incarnation: the receiver's process that last sent the state
        of its target to the sender; 0 if none did.
    """

    host: str
    availability_zone: str
    address: str
    port: int
    incarnation: int
    version: int
    compressed: bool = False
    has_slow_link: bool = False
    heard: Statement | None = None
    takes_parts: bool = False
    known_incarnation: int = 0


class Version(msgspec.Struct, array_like=True, tag=8):
    """The configuration version that the sender has.

    :param following: whether the sender reads the store and reached it
        recently; None if not stated.  A sender with a slow link states it
        only as True, when it begins a read.
    :param confirmed: whether the store has just answered the sender that
        there is no newer version.
    """

    version: int
    following: bool | None = None
    confirmed: bool = False


class Fetch(msgspec.Struct, array_like=True, tag=9):
    """Asks for the configuration if it is newer than `version`."""

    version: int


class Config(msgspec.Struct, array_like=True, tag=10):
    """The full configuration text as written by the operators, deflated."""

    version: int
    deflated: bytes


class ConfigDelta(msgspec.Struct, array_like=True, tag=15):
    """A configuration as a delta to version `base`.

    :param packed: delta encoded by ``deltas.pack``.
    """

    base: int
    version: int
    packed: bytes


class Crash(msgspec.Struct, array_like=True, tag=11):
    """Requests that were running when a target crashed.

    :param target: host of the target, if the sender only remembers the crash.
    :param age_ms: time since the crash.
    """

    incident: int
    fingerprints: list[str]
    target: str = ''
    age_ms: int = 0


class Ping(msgspec.Struct, array_like=True, tag=12):
    """Asks for a `Pong`; carries the sender's configuration version."""

    version: int


class Pong(msgspec.Struct, array_like=True, tag=13):
    """Response to a `Ping`; `load` and `failing` are as in `Status`."""

    load: int
    version: int
    failing: int = 0


class Known(msgspec.Struct, array_like=True, tag=14):
    """Daemons known to the sender; an empty list asks for the peer's."""

    hosts: list[Hello]


class ReleaseUpdate(msgspec.Struct, array_like=True, tag=16):
    """A release coordinator's state; see ``release.ReleaseState``.

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
    canary_host: str
    elapsed_ms: int
    coordinator: str
    rejected_versions: list[str] = []


class RouteCounts(msgspec.Struct, array_like=True):
    """Runs of one route; see ``release.RouteRunCounts``."""

    route: str
    runs: int
    failed: int
    by_run_time: dict[int, int]


class ReleaseReport(msgspec.Struct, array_like=True, tag=17):
    """Report of a host to the coordinator; see ``release.TargetReport``."""

    service: str
    revision: int
    version: str
    drained: bool
    routes: list[RouteCounts]


class QuotaUse(msgspec.Struct, array_like=True):
    """Admitted requests of a customer; see ``quotas.Use``.

    :param share: in ten-thousandths.
    """

    customer: str
    admitted: int
    asked: int
    share: int
    history: list[int] = []
    retries: int = 0


class QuotaReport(msgspec.Struct, array_like=True, tag=20):
    """What a host admitted of the customers whose owner the receiver is.

    :param number: increases with each report of the sender.
    """

    number: int
    uses: list[QuotaUse]


class QuotaVerdict(msgspec.Struct, array_like=True):
    """Which part of a customer's requests to admit; see ``quotas.Verdict``.

    :param share: in ten-thousandths, as is `retry_share`.
    """

    number: int
    customer: str
    share: int
    retry_after_ms: int
    retry_share: int = 0


class QuotaVerdicts(msgspec.Struct, array_like=True, tag=21):
    """Answer to a `QuotaReport`, or a change that all hosts are told.

    :param report: number of the report; 0 if it is no answer.
    """

    report: int
    verdicts: list[QuotaVerdict]


class QuotaRequest(msgspec.Struct, array_like=True, tag=22):
    """Asks the owner of a limited customer to admit one request.

    :param is_retry: whether the quota did not admit it before.
    """

    number: int
    customer: str
    is_retry: bool = False


UNDECIDED = -1
"""In a `QuotaDecision`: the receiver of the request is not the customer's
owner or does not know its quota, and leaves the decision to the sender."""


class QuotaDecision(msgspec.Struct, array_like=True, tag=23):
    """Answer to a `QuotaRequest`.

    :param retry_after_ms: time until the caller should retry; 0 if admitted,
        `UNDECIDED` if the sender of the request decides.
    """

    number: int
    retry_after_ms: int


class Leaving(msgspec.Struct, array_like=True, tag=24):
    """The sender's process is about to end; it takes no more requests."""


class ZonesCutOff(msgspec.Struct, array_like=True, tag=25):
    """The sender takes availability zones for cut off; see ``zonecuts``."""

    zones: list[str]


class HelloReceived(msgspec.Struct, array_like=True, tag=26):
    """The dialling side has received the other side's `Hello`."""


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
    | QuotaReport
    | QuotaVerdicts
    | QuotaRequest
    | QuotaDecision
    | Leaving
    | ZonesCutOff
    | HelloReceived
)

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class BadFrame(ValueError):
    """A peer sent invalid data; the stream can't be read any further."""


def encode(frame: Frame) -> bytes:
    raw = ENCODER.encode(frame)
    return LENGTH_PREFIX.pack(len(raw)) + raw


def deflater() -> 'zlib._Compress':
    """Return the compressor for a stream.

    Header lines repeat between requests.  A window of 4 KB covers several
    requests, and the compressor with its window takes 32 KB of memory.
    """
    return zlib.compressobj(
        COMPRESSION_LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL
    )


class FrameReader:
    """Incremental decoder of a byte stream into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.compressed = False
        self.inflater: zlib._Decompress | None = None

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete.

        :raises BadFrame: the stream is corrupt and can't be read further.
        """
        buffer = self.buffer
        buffer += self._inflate(data)
        complete: list[Frame] = []
        while True:
            frame, used = self._decode_first(buffer)
            if frame is None:
                return complete
            del buffer[:used]
            complete.append(frame)
            if type(frame) is Hello and frame.compressed:
                self.compressed = True
                rest = bytes(buffer)
                buffer.clear()
                buffer += self._inflate(rest)

    def _inflate(self, data: bytes) -> bytes:
        if not self.compressed or not data:
            return data
        if self.inflater is None:
            self.inflater = zlib.decompressobj(-WINDOW_BITS)
        try:
            inflated = self.inflater.decompress(data, MAX_INFLATED_BYTES)
        except zlib.error as error:
            raise BadFrame(str(error)) from error
        if self.inflater.unconsumed_tail:
            raise BadFrame(f'more than {MAX_INFLATED_BYTES} inflated bytes')
        return inflated

    def _decode_first(self, buffer: bytearray) -> tuple[Frame | None, int]:
        """Return the first frame and its length; None if incomplete."""
        if len(buffer) < LENGTH_PREFIX.size:
            return None, 0
        (size,) = LENGTH_PREFIX.unpack_from(buffer)
        if size > MAX_FRAME_BYTES:
            raise BadFrame(f'frame of {size} bytes')
        end = LENGTH_PREFIX.size + size
        if len(buffer) < end:
            return None, 0
        try:
            return DECODER.decode(bytes(buffer[LENGTH_PREFIX.size : end])), end
        except msgspec.MsgspecError as error:
            raise BadFrame(str(error)) from error
