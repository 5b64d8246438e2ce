"""Whether a call that got no answer is sent to another target.

Load pattern: a target dies or refuses under a surge.  Without retries its
callers see each loss; with unbounded ones a brown-out is multiplied by
the attempts, at every one of up to ten levels.

A refusal proves that nothing ran, so any call may be sent on.  After an
unknown outcome only an idempotent call may.  Retries spend a budget that
calls earn: one retry for ten calls, so that at worst a tenth is added to
the load; the bound of three attempts covers two failures at once.
"""

import dataclasses

from peridotpost.model import calls

MAX_ATTEMPTS = 3
BUDGET_SHARE = 0.1
BUDGET_CAP = 20.0
MIN_BUDGET_MS = 5

ELSEWHERE = frozenset(
    {
        calls.NotRunReason.FULL,
        calls.NotRunReason.DRAINING,
        calls.NotRunReason.UNREACHABLE,
        calls.NotRunReason.NO_TARGET,
        calls.NotRunReason.NOT_READY,
    }
)
"""Refusals that another target may not repeat."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens earned by calls and spent by retries."""

    tokens: float = BUDGET_CAP

    def earn(self) -> None:
        self.tokens = min(BUDGET_CAP, self.tokens + BUDGET_SHARE)

    def spend(self) -> bool:
        """Take one token; False when there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(
    outcome: calls.Outcome,
    idempotent: bool,
    attempts: int,
    budget_ms: float,
) -> bool:
    """Whether the rules allow another attempt, the budget aside."""
    if attempts >= MAX_ATTEMPTS or budget_ms < MIN_BUDGET_MS:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in ELSEWHERE
    return isinstance(outcome, calls.OutcomeUnknown) and idempotent
