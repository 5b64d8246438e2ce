"""Hedges: sends a second dispatch of a late request and cancels the loser.

The decision when and where to hedge is ``decisions.hedging``.  A hedge asks
for a free slot only: with an objective that has passed, the guard starts it at
once or refuses it.  It counts as a retry, so the guard keeps the budget.
"""

import dataclasses
from typing import Protocol

from peridotpost.decisions import attempts
from peridotpost.decisions import hedging
from peridotpost.decisions import selection
from peridotpost.decisions import targetstate
from peridotpost.kernel import counters
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import requestlog


class Backends(Protocol):
    """Access to the guards of the targets."""

    def send(self, host: str, order: forwarding.Order) -> bool:
        """Dispatch an order to `host`'s guard; False if it is unreachable."""

    def withdraw(self, host: str, order: forwarding.Order) -> None:
        """Cancel an order whose outcome is no longer needed."""


class Ingress(Protocol):
    """What hedges need of the forwarder."""

    selector: selection.Selector
    deadline_timer: deadlines.DeadlineTimer
    counts: counters.Counters
    log: requestlog.RequestLog

    @property
    def backends(self) -> Backends:
        """The targets' guards."""

    def eligible_candidates(
        self, exchange: exchanges.Exchange
    ) -> list[targetstate.Candidate]:
        """Return the targets that may run a request."""

    def make_order(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
    ) -> forwarding.Order:
        """Return a dispatch of a request to a target."""

    def dispatch_ended(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        order: forwarding.Order,
        outcome: forwarding.Outcome,
    ) -> None:
        """Handle the outcome of the current dispatch."""

    def record_outcome(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        outcome: forwarding.Outcome,
        now: float,
    ) -> None:
        """Update a target's health statistics from an outcome."""


@dataclasses.dataclass(eq=False, slots=True)
class Dispatch:
    """A dispatch whose duration is observed.

    :param expected_s: run time that the target's guard had reported for the
        route when it was sent; 0 if none.
    :param slot: time slot in the deadline timer at which it is late.
    """

    order: forwarding.Order
    candidate: targetstate.Candidate
    sent_at: float
    expected_s: float
    slot: int = 0


class Hedges:
    """Hedges the requests of one ingress.

    :param rules: the decisions; None if hedging is off.
    """

    def __init__(self, ingress: Ingress) -> None:
        self.ingress = ingress
        self.rules: hedging.Hedging | None = None
        self.primaries: dict[exchanges.Exchange, Dispatch] = {}
        self.seconds: dict[exchanges.Exchange, Dispatch] = {}

    def enable(self, share: float) -> None:
        """Hedge requests from now on, at most `share` of them."""
        self.rules = hedging.Hedging(share)

    def sending(self, exchange: exchanges.Exchange) -> None:
        """Observe the current dispatch, which is about to be sent."""
        if self.rules is None:
            return
        order, candidate = exchange.order, exchange.candidate
        assert order is not None and candidate is not None
        self._stop_timer(exchange)
        if len(exchange.tried) == 1:
            self.rules.note_request()
        now = deadlines.now()
        route = exchange.route.name
        expected_s = candidate.run_by_route.get(route, 0.0)
        primary = Dispatch(order, candidate, now, expected_s)
        self.primaries[exchange] = primary
        delay_s = self.rules.delay_s(
            route, expected_s, exchange.objective - now
        )
        if delay_s is not None and not exchange.hedged:
            primary.slot = self.ingress.deadline_timer.add(
                now + delay_s, primary, lambda: self._late(exchange, primary)
            )

    def takes_over(
        self, exchange: exchanges.Exchange, outcome: forwarding.Outcome
    ) -> bool:
        """Whether a hedge stands in for the dispatch that just ended.

        The caller gets an answer of the hedge then, and a failure of both
        only after both have ended.
        """
        primary = self.primaries.pop(exchange, None)
        if primary is None:
            return False
        self._discard_timer(primary)
        self._note_elapsed(exchange, primary, outcome)
        second = self.seconds.get(exchange)
        if second is None or _is_success(outcome):
            return False
        self._promote(exchange)
        return True

    def finished(self, exchange: exchanges.Exchange) -> None:
        """Cancel what still runs for a request that was answered."""
        self._stop_timer(exchange)
        second = self.seconds.pop(exchange, None)
        if second is not None:
            self.ingress.backends.withdraw(second.candidate.host, second.order)

    def _late(self, exchange: exchanges.Exchange, primary: Dispatch) -> None:
        """Send a hedge if the dispatch is still current and one is allowed."""
        primary.slot = 0
        if (
            self.rules is None
            or exchange.finished
            or exchange.order is not primary.order
        ):
            return
        now = deadlines.now()
        primary.candidate.late_at = now
        if not exchange.attempts.may_retry(now):
            return
        candidate = self.rules.choose(
            self.ingress.selector,
            self.ingress.eligible_candidates(exchange),
            exchange.route.name,
            exchange.tried,
            exchange.time_left_s(now),
            now,
        )
        if candidate is not None:
            self._send(exchange, candidate, now)

    def _send(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        now: float,
    ) -> None:
        exchange.hedged = True
        exchange.tried.append(candidate.host)
        order = self.ingress.make_order(exchange, candidate)
        order.objective = now
        order.last = False
        order.retry_cause = forwarding.RetryCause.REFUSED_OR_LOST
        order.may_move = lambda: False
        expected_s = candidate.run_by_route.get(exchange.route.name, 0.0)
        second = Dispatch(order, candidate, now, expected_s)
        order.done = lambda outcome: self._ended(exchange, second, outcome)
        self.seconds[exchange] = second
        candidate.outstanding += 1
        if self.ingress.backends.send(candidate.host, order):
            self.ingress.counts.add('requests.hedged')
            self.ingress.log.hedged(exchange, candidate.host)
        else:
            candidate.outstanding -= 1
            del self.seconds[exchange]

    def _ended(
        self,
        exchange: exchanges.Exchange,
        second: Dispatch,
        outcome: forwarding.Outcome,
    ) -> None:
        """Handle the end of a hedge, perhaps the current dispatch by now."""
        if exchange.finished:
            second.candidate.outstanding -= 1
            return
        if exchange.order is second.order:
            self._dispatch_ended(exchange, second, outcome)
            return
        del self.seconds[exchange]
        if _is_success(outcome):
            self._win(exchange, second, outcome)
            return
        second.candidate.outstanding -= 1
        now = deadlines.now()
        self.ingress.record_outcome(exchange, second.candidate, outcome, now)
        if not isinstance(outcome, forwarding.Refused):
            exchange.attempts.after(outcome, now)
        elif outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
            assert self.rules is not None
            self.rules.note_no_budget(exchange.service, now)

    def _win(
        self,
        exchange: exchanges.Exchange,
        second: Dispatch,
        outcome: forwarding.Outcome,
    ) -> None:
        """Answer with the hedge's response; the other dispatch loses."""
        self.ingress.counts.add('requests.hedge-answered')
        loser = self.primaries[exchange]
        self._discard_timer(loser)
        self._note_elapsed(exchange, loser, outcome)
        self.primaries[exchange] = second
        exchange.order = second.order
        exchange.candidate = second.candidate
        self.seconds[exchange] = loser
        self._dispatch_ended(exchange, second, outcome)

    def _promote(self, exchange: exchanges.Exchange) -> None:
        """Make the hedge the current dispatch."""
        second = self.seconds.pop(exchange)
        self.primaries[exchange] = second
        exchange.order = second.order
        exchange.candidate = second.candidate

    def _dispatch_ended(
        self,
        exchange: exchanges.Exchange,
        dispatch: Dispatch,
        outcome: forwarding.Outcome,
    ) -> None:
        self.ingress.dispatch_ended(
            exchange, dispatch.candidate, dispatch.order, outcome
        )

    def _note_elapsed(
        self,
        exchange: exchanges.Exchange,
        dispatch: Dispatch,
        outcome: forwarding.Outcome,
    ) -> None:
        """Record an answer's time, or that of a run that a hedge overtook."""
        if self.rules is None or not dispatch.expected_s:
            return
        if isinstance(outcome, forwarding.TargetAnswer):
            elapsed_s = deadlines.now() - dispatch.sent_at
            self.rules.note_elapsed(
                exchange.route.name, elapsed_s, dispatch.expected_s
            )

    def _stop_timer(self, exchange: exchanges.Exchange) -> None:
        primary = self.primaries.pop(exchange, None)
        if primary is not None:
            self._discard_timer(primary)

    def _discard_timer(self, dispatch: Dispatch) -> None:
        if dispatch.slot:
            self.ingress.deadline_timer.discard(dispatch.slot, dispatch)
            dispatch.slot = 0


def _is_success(outcome: forwarding.Outcome) -> bool:
    return isinstance(
        outcome, forwarding.TargetAnswer
    ) and not attempts.is_failure(outcome.status)
