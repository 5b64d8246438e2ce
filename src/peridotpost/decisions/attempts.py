"""Decisions of an ingress after each outcome of a dispatch.

Load pattern: targets refuse requests when full, fail them, lose answers and
crash, often several at a time, and callers of failed requests retry on their
own.  A request that is retried too eagerly runs twice or multiplies the load
that made it fail.  One that is given up too early is lost although another
target had capacity.

- A refusal proves that the request didn't run.  Another target is tried, up to
  ``MAX_REFUSALS`` refusals.  Each try costs a round trip; after a few the
  fleet is most likely full, and the caller learns it sooner.
- After a run, or a possible run, only an idempotent request is sent to another
  target, within the route's maximum of attempts and the remaining time.  A
  request that arrived at one target counts as a retry at the next, whose guard
  enforces the retry budget (``budget``).  After two refusals for lack of
  budget no third target is tried.
- An answer that reports a failure is kept and returned if the retry yields no
  other answer.  So is one whose status alone says that the request has not
  run; a caller never gets it, since only a statement of the target is proof.
- A refusal by the target itself is not a run and uses none of the route's
  attempts.  The request did arrive there, so the next try is a retry.
- A refusal after a lost answer doesn't prove that the request never ran.
- A run on a host that has become silent is abandoned for another target only
  if another run is allowed.  A busy host may be silent for half a second and
  then answer; abandoned without another run, the request and the target's work
  would be lost.
"""

import dataclasses
import enum

from peridotpost.model import forwarding

MAX_REFUSALS = 4
MAX_BUDGET_REFUSALS = 2
MIN_RETRY_S = 0.03
"""With less time left, no other target could answer before the deadline."""
FAILED_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""A caller reads these as a promise that its request has not run and will not
run, so none is passed on from a target."""


def is_failure(status: int) -> bool:
    """Whether the status of a target's answer reports a failure."""
    return status >= FAILED_STATUS or status in NOT_RUN_STATUSES


class Action(enum.Enum):
    """What the ingress does next."""

    RETRY = enum.auto()
    ANSWER = enum.auto()
    GIVE_UP = enum.auto()


@dataclasses.dataclass(slots=True)
class Attempts:
    """State of one request's dispatches.

    :param arrivals: dispatches that reached a target.
    :param runs: dispatches that a target ran or may have run.
    :param lost_detail: why an answer was lost; empty if none was.
    :param failure_answer: a target's answer that reports a failure.
    :param retry_cause: how the next target counts the request: as a first
        arrival or as a kind of retry.
    :param proofs: why each refused dispatch is known not to have run.
    """

    idempotent: bool
    max_attempts: int
    deadline: float
    refusals: int = 0
    budget_refusals: int = 0
    arrivals: int = 0
    runs: int = 0
    lost_detail: str = ''
    failure_answer: forwarding.TargetAnswer | None = None
    retry_cause: forwarding.RetryCause = forwarding.RetryCause.NONE
    proofs: list[forwarding.Proof] = dataclasses.field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether a target ran the request or may have run it."""
        return self.runs > 0

    @property
    def is_last_attempt(self) -> bool:
        """Whether a refusal by the next target ends the request."""
        return self.refusals + 1 >= MAX_REFUSALS

    def after(self, outcome: forwarding.Outcome, now: float) -> Action:
        """Record an outcome and return the next step."""
        if isinstance(outcome, forwarding.Refused):
            return self._after_refusal(outcome, now)
        self.arrivals += 1
        self.runs += 1
        if isinstance(outcome, forwarding.ResponseLost):
            self.lost_detail = outcome.detail
            return self._retry_or(Action.GIVE_UP, now)
        if not is_failure(outcome.status):
            return Action.ANSWER
        self.failure_answer = outcome
        self.retry_cause = forwarding.RetryCause.AFTER_FAILURE
        return self._retry_or(Action.ANSWER, now)

    def may_retry(self, now: float) -> bool:
        """Whether another run is allowed after the one in progress."""
        return (
            self.idempotent
            and self.runs + 1 < self.max_attempts
            and self.deadline - now >= MIN_RETRY_S
        )

    def _after_refusal(
        self, outcome: forwarding.Refused, now: float
    ) -> Action:
        self.refusals += 1
        self.proofs.append(outcome.proof)
        self.arrivals += outcome.arrived
        if outcome.reason is forwarding.Refusal.TOO_LATE:
            return Action.GIVE_UP
        if outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
            self.budget_refusals += 1
            if self.budget_refusals >= MAX_BUDGET_REFUSALS:
                return Action.GIVE_UP
        if self.refusals >= MAX_REFUSALS:
            return Action.GIVE_UP
        if outcome.arrived:
            return self._retry_if_allowed(now)
        return Action.RETRY

    def _retry_or(self, otherwise: Action, now: float) -> Action:
        """Return `otherwise` unless the request may run again."""
        if self.idempotent and self._retry_if_allowed(now) is Action.RETRY:
            return Action.RETRY
        return otherwise

    def _retry_if_allowed(self, now: float) -> Action:
        """Return the next step after a dispatch that arrived at a target."""
        if self.retry_cause is forwarding.RetryCause.NONE:
            self.retry_cause = forwarding.RetryCause.REFUSED_OR_LOST
        if self.runs >= self.max_attempts:
            return Action.GIVE_UP
        if self.deadline - now < MIN_RETRY_S:
            return Action.GIVE_UP
        return Action.RETRY
