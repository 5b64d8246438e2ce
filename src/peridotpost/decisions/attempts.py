"""What an ingress does after each outcome of a dispatch.

Load pattern: targets refuse when full, fail, lose answers and crash,
often several at a time, and callers whose request ended badly come again
by themselves.  Sent again too eagerly a request runs twice or multiplies
the load that made it fail; given up too early it is lost though another
target had room.

- A refusal proves that nothing ran: another target is asked, up to
  ``MAX_REFUSALS`` of them.  Each question costs a way there and back;
  beyond a few the fleet is full, and the caller is told so sooner.
- After a run, or what may have been one, only an idempotent request goes
  to another target, within the route's attempts and the time left.  What
  arrived at one target is a repeat at the next, whose guard keeps the budget
  of these (``budget``); when two had none left, no third is asked.
- An answer that tells of a failure is kept, and is the answer if the repeat
  brings no other one.
- A target's own refusal is no run, so it uses up none of the route's
  attempts; it did arrive there, so the next try is a repeat.
- A refusal after a lost answer does not make the whole "not run".
- A run whose host has fallen silent is given up for another target only
  if that other run may follow.  A busy host is silent for half a second
  and answers then; given up without a successor the request is lost, and
  its target's work with it.
"""

import dataclasses
import enum

from peridotpost.model import forwarding

MAX_REFUSALS = 4
MAX_BUDGET_REFUSALS = 2
MIN_RETRY_S = 0.03
"""Less time than this is left: no other target could answer."""
FAILED_STATUS = 500


class Step(enum.Enum):
    """What comes next."""

    AGAIN = enum.auto()
    ANSWER = enum.auto()
    GIVE_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class Attempts:
    """The dispatches of one request so far.

    :param arrivals: dispatches that reached a target.
    :param runs: those that a target ran, or may have run.
    :param lost: why an answer was lost; empty if none was.
    :param failed: a target's answer that tells of a failure.
    :param repeat: what the next dispatch is to the target that it goes to.
    """

    idempotent: bool
    max_attempts: int
    deadline: float
    refusals: int = 0
    budget_refusals: int = 0
    arrivals: int = 0
    runs: int = 0
    lost: str = ''
    failed: forwarding.TargetAnswer | None = None
    repeat: forwarding.Repeat = forwarding.Repeat.NONE

    @property
    def is_last(self) -> bool:
        """Whether a refusal of the next target ends the request."""
        return self.refusals + 1 >= MAX_REFUSALS

    def after(self, outcome: forwarding.Outcome, now: float) -> Step:
        """Note an outcome; return what comes next."""
        if isinstance(outcome, forwarding.Refused):
            return self._after_refusal(outcome, now)
        self.arrivals += 1
        self.runs += 1
        if isinstance(outcome, forwarding.Lost):
            self.lost = outcome.detail
            return self._retry_or(Step.GIVE_UP, now)
        if outcome.status < FAILED_STATUS:
            return Step.ANSWER
        self.failed = outcome
        self.repeat = forwarding.Repeat.AFTER_FAILURE
        return self._retry_or(Step.ANSWER, now)

    def may_follow(self, now: float) -> bool:
        """Whether another run may follow the one under way."""
        return (
            self.idempotent
            and self.runs + 1 < self.max_attempts
            and self.deadline - now >= MIN_RETRY_S
        )

    def _after_refusal(self, outcome: forwarding.Refused, now: float) -> Step:
        self.refusals += 1
        self.arrivals += outcome.arrived
        if outcome.reason is forwarding.Refusal.TOO_LATE:
            return Step.GIVE_UP
        if outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
            self.budget_refusals += 1
            if self.budget_refusals >= MAX_BUDGET_REFUSALS:
                return Step.GIVE_UP
        if self.refusals >= MAX_REFUSALS:
            return Step.GIVE_UP
        if outcome.arrived:
            return self._retry_if_allowed(now)
        return Step.AGAIN

    def _retry_or(self, otherwise: Step, now: float) -> Step:
        """Return `otherwise` unless another run may follow."""
        if self.idempotent and self._retry_if_allowed(now) is Step.AGAIN:
            return Step.AGAIN
        return otherwise

    def _retry_if_allowed(self, now: float) -> Step:
        """Return what follows a dispatch that arrived at a target."""
        if self.repeat is forwarding.Repeat.NONE:
            self.repeat = forwarding.Repeat.AGAIN
        if self.runs >= self.max_attempts:
            return Step.GIVE_UP
        if self.deadline - now < MIN_RETRY_S:
            return Step.GIVE_UP
        return Step.AGAIN
