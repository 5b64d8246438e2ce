"""Retries of calls at other targets.

Load pattern: a target dies, or refuses calls under a surge.  Without retries
its callers see each failure.  With unlimited retries the load of a brown-out
is multiplied by the number of attempts at each of up to ten call levels.

A refusal proves that nothing ran, so any call may be retried.  After an
unknown outcome only an idempotent call may.  A target that sheds an idempotent
call (503 with Retry-After) indicates that another target may take it.

Retries happen at one level only.  A refusal that a daemon returns to its
caller, whether its own or a target's, carries ``RETRIED_HEADER``: the allowed
retries were already made there.  If that caller is a target that passes the
answer on with its headers, retries further up would multiply the attempts, to
three to the tenth at ten levels.

Each service has its own retry budget, which its calls earn: one retry for ten
calls.  At worst this adds a tenth to the load of a failing service, and one
failing service takes no budget from others.  The limit of three attempts
covers two simultaneous failures.  Calls are not hedged: that would add load
exactly when targets are full.
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
"""Reasons for a refusal that may not apply at another target."""


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket that calls fill and retries drain."""

    tokens: float = MAX_TOKENS

    def earn(self) -> None:
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_CALL)

    def spend(self) -> bool:
        """Take one token; return False if there is none."""
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
    """Whether another attempt is allowed, retry budget aside."""
    if attempts >= MAX_ATTEMPTS or remaining_ms < MIN_REMAINING_MS:
        return False
    if isinstance(outcome, calls.NotRun):
        return outcome.reason in RETRYABLE_REASONS
    if not idempotent:
        return False
    if isinstance(outcome, calls.Answer):
        return is_shed(outcome)
    return True


def combined_outcome(
    before: calls.Outcome | None, latest: calls.Outcome
) -> calls.Outcome:
    """Return the outcome for the caller after one more attempt.

    A refusal of the latest attempt doesn't prove that no attempt ran.  After
    an unknown outcome or an answer, reporting it would be wrong.
    """
    if before is None or not isinstance(latest, calls.NotRun):
        return latest
    return latest if isinstance(before, calls.NotRun) else before


def mark_retried(outcome: calls.Outcome) -> calls.Outcome:
    """Return `outcome` with a header that stops retries at upper levels."""
    if not isinstance(outcome, calls.Answer) or not is_shed(outcome):
        return outcome
    header = calls.Header(RETRIED_HEADER, 'yes')
    return dataclasses.replace(outcome, headers=(*outcome.headers, header))


def is_shed(answer: calls.Answer) -> bool:
    """Whether the called target itself shed the call, not one below it."""
    if answer.status != SHED_STATUS:
        return False
    names = {header.name.lower() for header in answer.headers}
    return 'retry-after' in names and RETRIED_HEADER.lower() not in names
