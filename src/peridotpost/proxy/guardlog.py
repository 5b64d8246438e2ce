"""Log lines of a guard about single requests."""

from peridotpost.decisions import logbudget
from peridotpost.decisions import slots
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines


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
