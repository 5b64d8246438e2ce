"""Requests on their way to a target, and the three ways in which they end."""

from collections.abc import Callable
import dataclasses
import enum


class Refusal(enum.StrEnum):
    """Why a request was refused; each value proves that it has not run."""

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


class Repeat(enum.IntEnum):
    """Why a request comes to a target that came to another one before.

    ``AGAIN``: that one turned it away, or its answer was lost.
    """

    NONE = 0
    AGAIN = 1
    AFTER_FAILURE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """A target's whole answer, checked to belong to its request.

    :param head: its header lines without those of the one connection.
    """

    status: int
    reason: bytes
    head: bytes
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A proof that no target ran the request, nor will.

    :param retry_after_s: when a slot is expected to be free; 0 if unknown.
    :param arrived: whether the request reached the target, which refused.
    """

    reason: Refusal
    retry_after_s: float = 0.0
    arrived: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """The target may have run the request; its answer can't be had.

    :param detail: what was seen, for the log.
    :param crashed: whether the target itself was seen to end.
    """

    detail: str
    crashed: bool = False


Outcome = TargetAnswer | Refused | Lost


def _never() -> bool:
    return False


@dataclasses.dataclass(eq=False, slots=True)
class Order:
    """One dispatch of a request to one target, by way of its host's guard.

    :param head: header lines as the target gets them, without those that
        the guard adds (deadline, instance) and without body framing.
    :param deadline: when the caller or the route's timeout gives up, by
        the clock of the process that holds the order (seconds since boot).
    :param objective: until when an answer meets the route's objective.
    :param rank: of the route, 0 is the most urgent.
    :param last: no other target will be asked if this one refuses.
    :param done: gets the outcome, exactly once.
    :param run_s: the time that its run was expected to take when it started.
    :param repeat: why it comes once more; a guard counts these.
    :param inherited: what a request that comes first counts for as a
        repeat, 0 to 1; see ``decisions.budget``.
    :param call_failed: whether a call that its run made failed.
    :param body_later: whether the body is sent only when the guard that takes
        the request asks for it.
    :param fetch_body: asks for a body that was not sent yet; None with one.
    :param may_move: whether another target would be asked if this one
        were given up now.
    """

    number: int
    service: str
    attempt_id: bytes
    method: bytes
    target: bytes
    head: bytes
    body: bytes
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
    repeat: Repeat = Repeat.NONE
    inherited: float = 0.0
    call_failed: bool = False
    body_later: bool = False
    fetch_body: Callable[[], None] | None = None
    may_move: Callable[[], bool] = _never

    @property
    def repeat_weight(self) -> float:
        """What its run counts for as a repeat, 0 to 1."""
        return 1.0 if self.repeat else self.inherited

    def settle(self, outcome: Outcome) -> None:
        """Hand over the outcome; a second one is dropped.

        A timeout and an answer may come in the same turn of the loop; the
        caller must see one of them only.
        """
        if self.settled:
            return
        self.settled = True
        self.done(outcome)
