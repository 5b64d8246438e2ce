"""Calls and the three answers that a caller can receive."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header line of a request or an answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request on its way to a target.

    :param budget_ms: time left until the caller's deadline; a duration,
        since clocks of different hosts differ.
    :param depth: how many calls of the mesh led to this one.
    :param key: idempotency key, empty for an idempotent call.
    :param caller: who sends it, for fair shares; empty if unknown.
    :param attempt: number of this dispatch of the key; rises.
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
    """A target's whole answer."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes


class NotRunReason(enum.StrEnum):
    """Why a request was refused before any target saw it."""

    NO_SERVICE = 'no-such-service'
    NO_TARGET = 'no-target'
    FULL = 'full'
    DRAINING = 'draining'
    DEADLINE = 'deadline'
    UNREACHABLE = 'unreachable'
    NOT_READY = 'not-ready'
    BAD_KEY = 'bad-key'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    FORBIDDEN = 'forbidden'
    POISON = 'poison'


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """A proof that no target ran the request.

    :param retry_after_ms: when to come back; 0 where coming back with the
        same request is of no use.
    """

    reason: NotRunReason
    detail: str
    retry_after_ms: int = 0
    peer: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A target may have run the request; no answer can be given.

    :param incident: names the crash in which the target was lost; empty
        if it was not seen to crash.
    """

    detail: str
    peer: str = ''
    incident: str = ''


Outcome = Answer | NotRun | OutcomeUnknown
