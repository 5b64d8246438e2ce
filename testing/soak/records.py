"""Records of callers, targets and the injector, on one monotonic clock."""

import dataclasses
import enum

from testing.soak import customers

KEPT_VERSIONED_ROUTES = 3
"""A versioned route is dropped by the third version after its own."""


class Kind(enum.Enum):
    """Whether a route allows a request to run more than once."""

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

    :param host: the host whose ingress received it.
    :param sent: time in seconds when its last byte was written.
    :param deadline_s: time from sending until its deadline.
    :param proof: the target that signed the response; empty if unsigned.
    :param stated_limit: limit that the response names for its target.
    :param stated_leaving: whether it says that its target is leaving.
    :param headers: headers that identify its customer or forge one.
    :param key: the well-formed key of a customer that it carries.
    :param may_be_refused: whether its key is invalid or its customer asks
        for more than its quota.
    :param is_call: whether a run made it, without a key.
    :param response_size: length of the filler in its response.
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
    stated_limit: str = ''
    stated_leaving: bool = False
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    key: str = ''
    may_be_refused: bool = False
    is_call: bool = False
    response_size: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that a target started to run.

    :param remaining_ms: remaining time in the request header that the target
        received.
    :param response_body: body that this target returns for the attempt.
    :param customer: customer's name in the headers that it received.
    :param saw_key: whether these headers contained credentials.
    """

    at: float
    host: str
    instance: str
    service: str
    attempt: str
    method: str
    target: str
    digest: str
    remaining_ms: int
    response_body: str
    customer: str = ''
    saw_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DrainAck:
    """The daemon of its host acknowledged that a target is draining."""

    at: float
    host: str
    instance: str


@dataclasses.dataclass(slots=True)
class TargetProcess:
    """One process of a target; its id may have been used before.

    :param limits: times from which it named a limit, in requests per second;
        None where it stopped naming one.
    """

    instance: str
    started_at: float
    limits: list[tuple[float, float | None]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A fault, from its injection until it was reverted.

    :param host: empty for the store or every host.
    :param planned: a graceful stop or a reload.
    """

    start: float
    end: float
    host: str
    what: str
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UnexpectedExit:
    """A daemon exited without being stopped by the injector."""

    at: float
    host: str
    code: int


@dataclasses.dataclass(slots=True)
class Records:
    """All records of one run.

    :param faults_ended_at: time when the last fault was reverted.
    """

    requests: list[Asked] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    drain_acks: list[DrainAck] = dataclasses.field(default_factory=list)
    target_processes: list[TargetProcess] = dataclasses.field(
        default_factory=list
    )
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    exits: list[UnexpectedExit] = dataclasses.field(default_factory=list)
    versions: dict[int, float] = dataclasses.field(default_factory=dict)
    customer_versions: list[customers.Version] = dataclasses.field(
        default_factory=list
    )
    faults_ended_at: float = 0.0
    ended: float = 0.0
