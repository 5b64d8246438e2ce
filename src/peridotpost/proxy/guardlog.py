"""Log lines of a guard."""

from peridotpost.decisions import budget
from peridotpost.decisions import logbudget
from peridotpost.decisions import slots
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines

RETRIES_LOG_INTERVAL_S = 1.0
"""Minimum interval between two lines about the retry budget."""


class RetryLog:
    """Logs the retry budget of a guard while requests are retried.

    The lines of all guards of a service add up to what its targets got.
    """

    def __init__(
        self, log: jsonlog.JsonLog, retry_budget: budget.RetryBudget
    ) -> None:
        self.log = log
        self.budget = retry_budget
        self.started_at = deadlines.now()
        self.logged_at = self.started_at - RETRIES_LOG_INTERVAL_S
        self.admitted = 0
        self.refused = 0

    def note(self, service: str, admitted: bool) -> None:
        """Count a retry, and log the counts once an interval."""
        self.admitted += admitted
        self.refused += not admitted
        now = deadlines.now()
        if now - self.logged_at < RETRIES_LOG_INTERVAL_S:
            return
        use = self.budget.use(now)
        self.log.state(
            'retries',
            service=service,
            admitted=self.admitted,
            refused=self.refused,
            in_window=round(use.retries, 1),
            limit=round(use.limit, 1),
            first_arrivals=use.first_arrivals,
            targets=use.targets,
            up_ms=round((now - self.started_at) * 1000),
        )
        self.logged_at = now
        self.admitted = self.refused = 0


def log_rejected(
    log: jsonlog.JsonLog,
    order: forwarding.Order,
    outcome: forwarding.Refused,
    response_number: int,
) -> None:
    """Log an order that the target itself rejected.

    :param response_number: which response of its connection said so.
    """
    if not log.try_reserve(logbudget.LinePriority.STEP):
        return
    fields = {
        'request': order.attempt_id.decode('latin-1'),
        'route': order.route,
        'reason': outcome.reason.value,
        'proof': outcome.proof.value,
        'response': response_number,
    }
    log.write('rejected', fields)


def log_declined(
    log: jsonlog.JsonLog,
    queue: slots.SlotQueue,
    order: forwarding.Order,
    retry_after_s: float,
) -> None:
    """Log an order that the queue refused, with the inputs that decided it."""
    if not log.try_reserve(logbudget.LinePriority.STEP):
        return
    now = deadlines.now()
    fields = {
        'request': order.attempt_id.decode('latin-1'),
        'route': order.route,
        'rank': order.rank,
        'last': order.last,
        'running': queue.running,
        'waiting': len(queue.waiting),
        'slots': queue.slots,
        'limit_per_s': queue.limit_per_s,
        'wait_ms': round(queue.expected_wait_s(order, now) * 1000),
        'run_ms': round(queue.times.expected_s(order.route) * 1000),
        'objective_ms': round((order.objective - now) * 1000),
        'left_ms': round((order.deadline - now) * 1000),
        'return_ms': round(retry_after_s * 1000),
    }
    log.write('declined', fields)
