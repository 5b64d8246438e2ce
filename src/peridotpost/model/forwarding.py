"""Requests that a proxy forwards to a target, and their three outcomes."""

from collections.abc import Callable
import dataclasses
import enum

Body = bytes | memoryview
"""Content of a request or a response; a large one is a view."""


class Refusal(enum.StrEnum):
    """Why a request was refused; with any of these it has not run."""

    NO_CONFIG = 'no-config'
    NO_TARGET = 'no-target'
    FULL = 'full'
    TOO_LATE = 'too-late'
    LEAVING = 'leaving'
    WRONG_SERVICE = 'wrong-service'
    UNREACHABLE = 'unreachable'
    SHED = 'shed'
    POISON = 'poison'
    WITHDRAWN = 'withdrawn'
    NO_RETRY_BUDGET = 'no-retry-budget'
    NO_ROOM = 'no-room'


class Proof(enum.StrEnum):
    """Why a refused request is known not to have run.

    ``UNSENT``: a guard or an ingress did not send it to a target.
    ``IDENTIFIED``: the target's rejection bears the id of the request.
    ``FIRST_RESPONSE``: it bears no id, and nothing was received on its
        connection before.
    """

    UNSENT = 'unsent'
    IDENTIFIED = 'identified'
    FIRST_RESPONSE = 'first-response'


class RetryCause(enum.IntEnum):
    """Why a request is sent to a target after another one had got it.

    ``REFUSED_OR_LOST``: the other target refused it, or its response was lost.
    ``AFTER_FAILURE``: the other target's response was a failure.
    """

    NONE = 0
    REFUSED_OR_LOST = 1
    AFTER_FAILURE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's complete response, verified to belong to its request.

    :param head: header lines without hop-by-hop headers.
    """

    status: int
    reason: bytes
    head: bytes
    body: Body


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request has not run on any target and will not.

    :param retry_after_s: time until a slot is expected to be free; 0 if
        unknown.
    :param arrived: whether the target itself refused the request.
    """

    reason: Refusal
    retry_after_s: float = 0.0
    arrived: bool = False
    proof: Proof = Proof.UNSENT


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """The target may have run the request, but its response is lost.

    :param detail: what was observed, for the log.
    :param crashed: whether the target's process was observed to terminate.
    """

    detail: str
    crashed: bool = False


Outcome = TargetAnswer | Refused | ResponseLost


def _ignore(outcome: object) -> None:
    pass


def _never() -> bool:
    return False


def _always() -> bool:
    return True


@dataclasses.dataclass(eq=False, slots=True)
class Order:
    """One dispatch of a request to one target, through its host's guard.

    :param head: header lines as the target receives them, without body
        framing and without the headers that the guard adds (deadline,
        instance).
    :param deadline: expiry of the caller's deadline or the route's timeout,
        whichever is earlier, in seconds since boot of this host.
    :param objective: latest time of a response that meets the objective of
        the route.
    :param rank: priority of the request; 0 is the most urgent.
    :param last: whether no other target is tried if this one refuses.
    :param done: called with the outcome, exactly once.
    :param run_s: expected run time, as estimated when the run started.
    :param retry_cause: why the request is retried; the guard counts retries.
    :param inherited_retry_weight: what a request counts for as a retry, 0 to
        1, when it is sent for the first time; see ``decisions.budget``.
    :param call_failed: whether a call made by the run failed.
    :param body_deferred: whether the body is sent only after the guard has
        accepted the request and asks for it.
    :param reserve_body: takes the memory for a body that was not sent yet;
        whether there was room.
    :param fetch_body: requests a body that was not sent yet; None if the
        body is present.
    :param may_move: whether another target would be tried if this dispatch
        were abandoned now.
    :param customer: name of the customer; empty if there is none.
    """

    number: int
    service: str
    attempt_id: bytes
    method: bytes
    target: bytes
    head: bytes
    body: Body
    idempotent: bool
    rank: int
    deadline: float
    objective: float
    last: bool
    done: Callable[[Outcome], None]
    route: str = ''
    settled: bool = False
    started: float = 0.0
    run_s: float = 0.0
    received: float = 0.0
    retry_cause: RetryCause = RetryCause.NONE
    inherited_retry_weight: float = 0.0
    call_failed: bool = False
    body_deferred: bool = False
    reserve_body: Callable[[], bool] = _always
    fetch_body: Callable[[], None] | None = None
    may_move: Callable[[], bool] = _never
    customer: str = ''

    @property
    def retry_weight(self) -> float:
        """What the run counts for as a retry, 0 to 1."""
        return 1.0 if self.retry_cause else self.inherited_retry_weight

    def settle(self, outcome: Outcome) -> None:
        """Report the outcome; a second one is dropped.

        A timeout and a response may occur in the same iteration of the event
        loop; the caller must see only one of them.
        """
        if self.settled:
            return
        self.settled = True
        done = self.done
        # They refer to this order.  A cycle would keep each request until
        # the next collection, tens of thousands of allocations later.
        self.done = _ignore
        self.may_move = _never
        self.reserve_body = _always
        self.fetch_body = None
        done(outcome)


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run; `at` is in seconds since boot."""

    order: Order
    outcome: Outcome
    at: float
