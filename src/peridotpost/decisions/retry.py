"""Whether a call that got no answer is sent to another target.

Load pattern: a target dies or refuses under a surge.  Without retries its
callers see each loss; with unbounded ones a brown-out is multiplied by
the attempts, at every one of up to ten levels.

A refusal proves that nothing ran, so any call may be sent on.  After an
unknown outcome only an idempotent call may.  A target that sheds an
idempotent call (503 with Retry-After) says that another may take it.

Retries at one level only: a refusal that a daemon hands to its caller, its
own or a target's, carries ``RETRIED_HEADER``; it was tried as often as the
rules allow there.  Where that caller is a target that passes the answer on
with its headers, trying again further up would multiply the attempts,
three to the tenth at ten levels.

Retries spend a budget that calls earn, each service its own: one retry
for ten calls, so that at worst a tenth is added to the load of a service
that fails, and one that fails takes nothing from the others; the bound of
three attempts covers two failures at once.  Hedging is not done: at a
full target it adds load exactly when there is none to spare.
"""

import dataclasses

from peridotpost.model import calls

MAX_ATTEMPTS = 3
TOKENS_PER_CALL = 0.1
MAX_TOKENS = 20.0
MIN_REMAINING_MS = 5
SHED_STATUS = 503
RETRIED_HEADER = 'Peridot-Retried'

RETRYABLE_REASONS = frozenset(
    {
        calls.NotRunReason.FULL,
        calls.NotRunReason.DRAINING,
        calls.NotRunReason.UNREACHABLE,
        calls.NotRunReason.TARGET_GONE,
        calls.NotRunReason.NO_TARGET,
        calls.NotRunReason.NOT_READY,
    }
)
"""Refusals that another target may not repeat."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Tokens earned by calls and spent by retries."""

    tokens: float = MAX_TOKENS

    def earn(self) -> None:
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_CALL)

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
    remaining_ms: float,
) -> bool:
    """Whether the rules allow another attempt, the budget aside."""
    if attempts >= MAX_ATTEMPTS or remaining_ms < MIN_REMAINING_MS:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in RETRYABLE_REASONS
    if not idempotent:
        return False
    if isinstance(outcome, calls.Answer):
        return is_shed(outcome)
    return True


def final_of(
    before: calls.Outcome | None, latest: calls.Outcome
) -> calls.Outcome:
    """Return what the caller is told after one more attempt.

    A refusal of the last attempt is no proof that none of them ran: after
    an unknown outcome or an answer that word would be false.
    """
    if before is None or not isinstance(latest, calls.NotRun):
        return latest
    return latest if isinstance(before, calls.NotRun) else before


def marked(outcome: calls.Outcome) -> calls.Outcome:
    """Return `outcome` with the mark that no level above is to retry it."""
    if not isinstance(outcome, calls.Answer) or not is_shed(outcome):
        return outcome
    mark = calls.Header(RETRIED_HEADER, 'yes')
    return dataclasses.replace(outcome, headers=(*outcome.headers, mark))


def is_shed(answer: calls.Answer) -> bool:
    """Whether the target itself refused, nobody further down."""
    if answer.status != SHED_STATUS:
        return False
    names = {header.name.lower() for header in answer.headers}
    return 'retry-after' in names and RETRIED_HEADER.lower() not in names
