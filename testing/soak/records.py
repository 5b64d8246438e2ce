"""What callers, targets and the injector saw, on one monotonic clock."""

import dataclasses
import enum

KEPT_ROUTES = 3
"""A versioned route is dropped by the third version after its own."""


class Kind(enum.Enum):
    """What a route allows."""

    IDEMPOTENT = 'read'
    ONCE = 'write'


class Ending(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    CLOSED = 'closed'
    SILENT = 'silent'
    LEFT = 'left'


@dataclasses.dataclass(slots=True)
class Asked:
    """One request of a caller.

    :param host: whose ingress took it.
    :param sent: when its last byte was written, seconds.
    :param deadline_s: time that the caller gave it.
    :param proof: the target that the answer names; empty for none.
    """

    attempt: str
    host: str
    kind: Kind
    method: str
    target: str
    digest: str
    sent: float
    deadline_s: float
    ended: float = 0.0
    ending: Ending = Ending.SILENT
    status: int = 0
    proof: str = ''
    body: bytes = b''
    route_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """One request that a target began to run.

    :param told_ms: time left, as the target was told.
    :param answer: the body that it made; empty where it made none.
    """

    at: float
    host: str
    instance: str
    service: str
    attempt: str
    method: str
    target: str
    digest: str
    told_ms: int
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A target's leave was acknowledged by the daemon beside it."""

    at: float
    host: str
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A fault from its start until it was healed.

    :param host: empty for the store or every host.
    :param planned: a stop that was asked for, or a reload.
    """

    start: float
    end: float
    host: str
    what: str
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """A daemon ended that nobody had stopped."""

    at: float
    host: str
    code: int


@dataclasses.dataclass(slots=True)
class Records:
    """Everything seen in one run.

    :param calm_from: when all faults were healed for good.
    """

    asked: list[Asked] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    left: list[Left] = dataclasses.field(default_factory=list)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    exits: list[Exit] = dataclasses.field(default_factory=list)
    versions: dict[int, float] = dataclasses.field(default_factory=dict)
    calm_from: float = 0.0
    ended: float = 0.0
