"""The end of each request at its ingress: its answer, counters and log."""

from collections.abc import Callable

from peridotpost.decisions import attempts
from peridotpost.kernel import counters
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import http1
from peridotpost.proxy import identity
from peridotpost.proxy import listener
from peridotpost.proxy import problems
from peridotpost.proxy import requesthistory
from peridotpost.proxy import requestlog


class Completion:
    """Ends exchanges; each is ended once and answered at most once.

    :param on_finished: called with each exchange that ends, before it is
        answered, and also if its caller disconnected.
    :param observe: called with each answered exchange, the status and the
        seconds from its arrival to the answer.
    """

    def __init__(
        self,
        deadline_timer: deadlines.DeadlineTimer,
        history: requesthistory.RequestHistory,
        quotas: identity.QuotaGate,
        counts: counters.Counters,
        log: requestlog.RequestLog,
        on_finished: Callable[[exchanges.Exchange], None],
    ) -> None:
        self.deadline_timer = deadline_timer
        self.history = history
        self.quotas = quotas
        self.counts = counts
        self.log = log
        self.on_finished = on_finished
        self.in_flight = 0
        self.observe: (
            Callable[[exchanges.Exchange, int, float], None] | None
        ) = None

    def answer(
        self, exchange: exchanges.Exchange, outcome: forwarding.TargetAnswer
    ) -> None:
        """Answer with a target's response."""
        self.mark_finished(exchange)
        self._send_answer(exchange, outcome)

    def finish_unserved(
        self, exchange: exchanges.Exchange, reason: forwarding.Refusal
    ) -> None:
        """Answer a request for which no other target will be asked."""
        if exchange.attempts.failure_answer is not None:
            self.answer(exchange, exchange.attempts.failure_answer)
        elif exchange.attempts.may_have_run:
            self.mark_finished(exchange)
            self.log.ended(
                exchange, 'unknown', '', exchange.attempts.lost_detail
            )
            self._send_problem(
                exchange, problems.Problem(502, 'outcome-unknown')
            )
        else:
            self.refuse(exchange, reason)

    def refuse(
        self, exchange: exchanges.Exchange, reason: forwarding.Refusal
    ) -> None:
        """Refuse a request that has not run."""
        self.mark_finished(exchange)
        _mark_failed_call(exchange.parent)
        self.history.remember_refusal(exchange)
        self.log.ended(exchange, 'refused', '', reason.value)
        self._send_not_run(exchange, reason.value)

    def time_out(self, exchange: exchanges.Exchange) -> None:
        """Answer a finished exchange whose deadline has passed."""
        if exchange.attempts.failure_answer is not None:
            self._send_answer(exchange, exchange.attempts.failure_answer)
            return
        _mark_failed_call(exchange.parent)
        detail = exchange.attempts.lost_detail or 'no answer in time'
        self.log.ended(exchange, 'timeout', exchange.host, detail)
        if exchange.order is not None or exchange.attempts.may_have_run:
            self._send_problem(exchange, problems.Problem(504, 'timeout'))
        else:
            self._send_not_run(exchange, 'too-late')

    def refuse_unrouted(
        self,
        message: http1.Message,
        respond: listener.Respond,
        status: int,
        title: str,
        retry_after_s: float = 0.0,
    ) -> None:
        """Refuse a request before a route was found."""
        self.counts.add(f'requests.own-{status}')
        self.log.refused_unrouted(message, status, title)
        respond(
            problems.render(problems.Problem(status, title, retry_after_s))
        )

    def deny(
        self,
        message: http1.Message,
        route: mesh.PathRoute,
        parent: forwarding.Order | None,
        denial: identity.Denial,
        respond: listener.Respond,
    ) -> None:
        """Refuse a request because of its credentials or its quota."""
        _mark_failed_call(parent)
        self.counts.add(f'requests.own-{denial.problem.status}')
        self.log.denied(message, route, denial)
        respond(problems.render(denial.problem))

    def refuse_over_quota(
        self, exchange: exchanges.Exchange, denial: identity.Denial
    ) -> None:
        """Refuse a request that its customer's quota does not admit."""
        self.mark_finished(exchange)
        self.history.remember_refusal(exchange, over_quota=True)
        self.deny(
            exchange.message,
            exchange.route,
            exchange.parent,
            denial,
            exchange.respond,
        )

    def refund(self, customer: str) -> None:
        """Return the share of an admitted request that has not run."""
        self.quotas.refund(customer, deadlines.now())

    def mark_finished(self, exchange: exchanges.Exchange) -> None:
        exchange.finished = True
        self.in_flight -= 1
        self.deadline_timer.discard(exchange.deadline_slot, exchange)
        self.on_finished(exchange)

    def _send_answer(
        self, exchange: exchanges.Exchange, outcome: forwarding.TargetAnswer
    ) -> None:
        if attempts.is_failure(outcome.status):
            _mark_failed_call(exchange.parent)
        else:
            self.history.clear_answered(exchange.message)
        if outcome.status in attempts.NOT_RUN_STATUSES:
            detail = f'{outcome.status} of the target is no proof'
            self.log.ended(exchange, 'unknown', exchange.host, detail)
            self.counts.add('answers.not-passed-on')
            self._send_problem(
                exchange, problems.Problem(502, 'target-failed')
            )
            return
        self.log.answered(exchange, outcome.status)
        self._report_status(exchange, outcome.status)
        exchange.respond(
            listener.Reply(
                outcome.status, outcome.head, outcome.body, outcome.reason
            )
        )

    def _send_not_run(self, exchange: exchanges.Exchange, title: str) -> None:
        """Answer 503 and return the request's share of its quota."""
        if exchange.customer:
            self.refund(exchange.customer)
        self._send_problem(
            exchange, problems.Problem(503, title, exchange.retry_after_s)
        )

    def _send_problem(
        self, exchange: exchanges.Exchange, problem: problems.Problem
    ) -> None:
        self._report_status(exchange, problem.status)
        exchange.respond(problems.render(problem))

    def _report_status(
        self, exchange: exchanges.Exchange, status: int
    ) -> None:
        if self.observe is not None:
            elapsed_s = deadlines.now() - exchange.started
            self.observe(exchange, status, elapsed_s)


def _mark_failed_call(parent: forwarding.Order | None) -> None:
    """Mark the run that made a call as having a failed call."""
    if parent is not None:
        parent.call_failed = True
