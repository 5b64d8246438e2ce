"""Calls and the three outcomes that a caller can receive.

The field names are part of the protocol between daemons: ``calls.frames``
encodes these classes by field name.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header line of a request or response."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request on its way to a target.

    :param budget_ms: time left until the caller's deadline; a duration
        rather than a timestamp, since clocks of different hosts differ.
    :param depth: number of calls in the mesh that led to this one.
    :param key: idempotency key; empty for an idempotent call.
    :param caller: the calling service, for fair queueing; empty if unknown.
    :param attempt: number of this dispatch of the key; increases with each.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    budget_ms: int
    idempotent: bool
    key: str = ''
    depth: int = 0
    caller: str = ''
    attempt: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's complete response."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes


class NotRunReason(enum.StrEnum):
    """Why a request was refused; no target has run it."""

    NO_SERVICE = 'no-such-service'
    NO_TARGET = 'no-target'
    FULL = 'full'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    UNREACHABLE = 'unreachable'
    TARGET_GONE = 'target-gone'
    NOT_READY = 'not-ready'
    BAD_KEY = 'bad-key'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    FORBIDDEN = 'forbidden'
    POISON = 'poison'


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request is guaranteed not to have run on any target.

    :param retry_after_ms: delay before a retry; 0 if retrying the same
        request is useless.
    """

    reason: NotRunReason
    detail: str
    retry_after_ms: int = 0
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A target may have run the request, but its response is lost.

    :param incident: identifier of the crash that lost the target; empty if
        no crash was observed.
    """

    detail: str
    peer: str = ''
    incident: str = ''


Outcome = Answer | NotRun | OutcomeUnknown
