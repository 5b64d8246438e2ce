"""A simulated ingress: dispatch and retries of a caller's request.

Follows the steps of ``proxy.forwarder`` and uses the same decisions.
"""

from collections.abc import Callable
import dataclasses
import functools
import itertools

from peridotpost.decisions import attempts
from peridotpost.decisions import targetstate
from peridotpost.experiment import hosts
from peridotpost.experiment import scenario as scenarios
from peridotpost.model import forwarding

MS_IN_S = 1000.0
DEFAULT_RETRY_DELAY_S = 0.25
"""Retry delay for refusals that carry none."""


@dataclasses.dataclass(eq=False, slots=True)
class PendingRequest:
    """A request that an ingress is handling.

    :param deadline: simulated time at which the caller gives up.
    :param objective: simulated time by which the answer is in time.
    :param tried: hosts of the targets that the request was sent to.
    :param last_asked: whether the last-resort target was tried.
    :param over: whether the outcome was delivered.
    :param order: the current dispatch, and `hedge` the second one beside it.
    :param hedged: whether a hedge was sent.
    :param sent_at: when `order` was sent, to a target that was expected to
        run it for `expected_s`.
    """

    host: hosts.Host
    route: scenarios.Route
    rank: int
    deadline: float
    objective: float
    done: Callable[[forwarding.Outcome], None]
    attempts: attempts.Attempts
    customer: str = ''
    tried: list[str] = dataclasses.field(default_factory=list)
    last_asked: bool = False
    retry_delay_s: float = DEFAULT_RETRY_DELAY_S
    over: bool = False
    attempt_id: bytes = b''
    order: forwarding.Order | None = None
    hedge: forwarding.Order | None = None
    hedged: bool = False
    sent_at: float = 0.0
    expected_s: float = 0.0

    def time_left_s(self, now: float) -> float:
        """Return the time to the objective, or past it, to the deadline."""
        if now < self.objective:
            return self.objective - now
        return self.deadline - now


class Ingresses:
    """The ingresses of all hosts: send requests of callers and of targets."""

    def __init__(self, fleet: hosts.FleetContext) -> None:
        self.fleet = fleet
        self.sequence = itertools.count(1)

    def send_request(
        self,
        host: hosts.Host,
        route: scenarios.Route,
        rank: int,
        done: Callable[[forwarding.Outcome], None],
        first_at: float,
        customer: str = '',
    ) -> None:
        """Send a request through a host's ingress; `done` is called once.

        :param first_at: when the caller sent its first attempt; the ingress
            remembers it for the requests that it refused.
        :param customer: '' for calls and requests without a customer.
        """
        now = self.fleet.clock.now
        sent_at = first_at if self.fleet.scenario.patience else now
        deadline = sent_at + route.deadline_ms / MS_IN_S
        pending = PendingRequest(
            host,
            route,
            rank,
            deadline,
            min(deadline, first_at + route.objective_ms / MS_IN_S),
            done,
            attempts.Attempts(route.idempotent, route.max_attempts, deadline),
            customer,
            attempt_id=b'%d' % next(self.sequence),
        )
        self.fleet.clock.after(
            deadline - now, lambda: self._on_deadline(pending)
        )
        host.hedging.note_request()
        self._dispatch(pending)

    def _on_deadline(self, pending: PendingRequest) -> None:
        self._complete(pending, forwarding.ResponseLost('no answer in time'))

    def _complete(
        self, pending: PendingRequest, outcome: forwarding.Outcome
    ) -> None:
        if not pending.over:
            pending.over = True
            if pending.hedged:
                self._withdraw(pending)
            pending.done(outcome)

    def _withdraw(self, pending: PendingRequest) -> None:
        """Cancel the dispatches that were not answered yet."""
        for order in (pending.order, pending.hedge):
            if order is not None:
                target = self._find_host(order.service, order.target.decode())
                latency_s = self._latency_s(pending, target.zone)
                self.fleet.clock.after(
                    latency_s, functools.partial(target.cancel, order)
                )

    def _dispatch(self, pending: PendingRequest) -> None:
        candidate = self._choose_target(pending)
        if candidate is None:
            refused = forwarding.Refused(
                forwarding.Refusal.FULL, pending.retry_delay_s
            )
            self._complete(pending, refused)
            return
        pending.order = self._send(pending, candidate)
        self._schedule_hedge(pending, candidate)

    def _send(
        self,
        pending: PendingRequest,
        candidate: targetstate.Candidate,
        as_hedge: bool = False,
    ) -> forwarding.Order:
        pending.tried.append(candidate.host)
        candidate.outstanding += 1
        if candidate.availability_zone != pending.host.zone:
            result = self.fleet.route_results[pending.route.name]
            result.crossings += 1
            result.remote_kilobytes += pending.route.kilobytes
            if len(pending.tried) == 1:
                result.remote_first_kilobytes += pending.route.kilobytes
        latency_s = self._latency_s(pending, candidate.availability_zone)
        target = self._find_host(pending.route.service, candidate.host)
        order = self._make_order(pending, candidate, target, latency_s)
        if as_hedge:
            order.objective = self.fleet.clock.now
            order.retry_cause = forwarding.RetryCause.REFUSED_OR_LOST
        self.fleet.clock.after(latency_s, lambda: target.submit(order))
        return order

    def _latency_s(self, pending: PendingRequest, zone: str) -> float:
        scenario = self.fleet.scenario
        if zone == pending.host.zone:
            return scenario.in_zone_ms / MS_IN_S
        return scenario.cross_zone_ms / MS_IN_S

    def _schedule_hedge(
        self, pending: PendingRequest, candidate: targetstate.Candidate
    ) -> None:
        """Set a timer for the time at which the current dispatch is late."""
        scenario = self.fleet.scenario
        if not scenario.hedging or pending.hedged:
            return
        now = self.fleet.clock.now
        order = pending.order
        pending.sent_at = now
        pending.expected_s = candidate.run_by_route.get(
            pending.route.name, 0.0
        )
        delay_s = pending.host.hedging.delay_s(
            pending.route.name, pending.expected_s, pending.objective - now
        )
        if delay_s is not None:
            self.fleet.clock.after(
                delay_s, lambda: self._hedge(pending, candidate, order)
            )

    def _hedge(
        self,
        pending: PendingRequest,
        candidate: targetstate.Candidate,
        order: forwarding.Order | None,
    ) -> None:
        now = self.fleet.clock.now
        if pending.over or pending.hedged or pending.order is not order:
            return
        candidate.late_at = now
        if not pending.attempts.may_retry(now):
            return
        host = pending.host
        chosen = host.hedging.choose(
            host.selector,
            host.candidates(pending.route.service),
            pending.route.name,
            pending.tried,
            pending.time_left_s(now),
            now,
        )
        if chosen is not None:
            pending.hedged = True
            self.fleet.route_results[pending.route.name].hedges += 1
            pending.hedge = self._send(pending, chosen, as_hedge=True)

    def _find_host(self, service: str, name: str) -> hosts.Host:
        return next(
            host
            for host in self.fleet.by_service[service]
            if host.name == name
        )

    def _choose_target(
        self, pending: PendingRequest
    ) -> targetstate.Candidate | None:
        """Return the target of the next attempt; None to refuse."""
        now = self.fleet.clock.now
        host, route = pending.host, pending.route
        candidates = host.candidates(route.service)
        for candidate in candidates:
            if candidate.host == host.name:
                candidate.report_load(host.queue.load(now), now)
        remaining_s = pending.time_left_s(now)
        chosen = None
        if not pending.attempts.is_last_attempt:
            chosen = host.selector.choose(
                candidates,
                route.name,
                pending.tried,
                remaining_s,
                now,
                route.idempotent,
            )
        budget_refused = pending.attempts.budget_refusals > 0
        if chosen is None and not pending.last_asked and not budget_refused:
            pending.last_asked = True
            chosen = host.selector.last_resort(candidates, route.name, now)
        return chosen

    def _make_order(
        self,
        pending: PendingRequest,
        candidate: targetstate.Candidate,
        target: hosts.Host,
        latency_s: float,
    ) -> forwarding.Order:
        route = pending.route

        def settled(outcome: forwarding.Outcome) -> None:
            load = target.queue.load(self.fleet.clock.now)
            run_s = target.queue.times.expected_s(route.name)
            limit_per_s = target.queue.limit_per_s
            self.fleet.clock.after(
                latency_s, lambda: deliver(outcome, load, run_s, limit_per_s)
            )

        def deliver(
            outcome: forwarding.Outcome,
            load: float,
            run_s: float,
            limit_per_s: float | None,
        ) -> None:
            candidate.outstanding -= 1
            if isinstance(outcome, forwarding.TargetAnswer):
                expected_s = candidate.run_by_route.get(route.name, run_s)
                elapsed_s = self.fleet.clock.now - sent_at
                pending.host.hedging.note_elapsed(
                    route.name, elapsed_s, expected_s
                )
            candidate.limit_per_s = limit_per_s
            candidate.report_load(load, self.fleet.clock.now)
            candidate.report_run(route.name, run_s)
            self._on_outcome(pending, candidate, order, outcome)

        sent_at = self.fleet.clock.now
        order = forwarding.Order(
            number=0,
            service=route.service,
            attempt_id=pending.attempt_id,
            method=b'',
            target=target.name.encode(),
            head=b'',
            body=b'',
            idempotent=route.idempotent,
            rank=pending.rank,
            deadline=pending.deadline,
            objective=pending.objective,
            last=pending.last_asked,
            done=settled,
            route=route.name,
            retry_cause=pending.attempts.retry_cause,
            customer=pending.customer,
        )
        return order

    def _hedge_failed(
        self, pending: PendingRequest, outcome: forwarding.Outcome
    ) -> None:
        now = self.fleet.clock.now
        if not isinstance(outcome, forwarding.Refused):
            pending.attempts.after(outcome, now)
        elif outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
            pending.host.hedging.note_no_budget(pending.route.service, now)

    def _on_outcome(
        self,
        pending: PendingRequest,
        candidate: targetstate.Candidate,
        order: forwarding.Order,
        outcome: forwarding.Outcome,
    ) -> None:
        if pending.over:
            return
        if order is pending.hedge:
            pending.hedge = None
            if outcome is hosts.SUCCEEDED:
                self.fleet.route_results[pending.route.name].hedge_wins += 1
                # Without the time of the run that lost, the distribution of
                # answers would lose its tail.
                pending.host.hedging.note_elapsed(
                    pending.route.name,
                    self.fleet.clock.now - pending.sent_at,
                    pending.expected_s,
                )
            else:
                self._hedge_failed(pending, outcome)
                return
        elif order is pending.order:
            pending.order = None
            if outcome is not hosts.SUCCEEDED and pending.hedge is not None:
                pending.order, pending.hedge = pending.hedge, None
                pending.attempts.after(outcome, self.fleet.clock.now)
                return
        else:
            return
        now = self.fleet.clock.now
        result = self.fleet.route_results[pending.route.name]
        if isinstance(outcome, forwarding.Refused):
            pending.retry_delay_s = (
                outcome.retry_after_s or pending.retry_delay_s
            )
        if not isinstance(outcome, forwarding.Refused) or outcome.arrived:
            result.arrivals += 1
            candidate.note_outcome(outcome is not hosts.SUCCEEDED, now)
        action = pending.attempts.after(outcome, now)
        if action is attempts.Action.RETRY and now < pending.deadline:
            self._dispatch(pending)
        else:
            self._complete(pending, pending.attempts.failure_answer or outcome)
