"""The ingress: routes and dispatches each request and answers it once."""

from collections.abc import Iterable
from typing import Protocol

from peridotpost.decisions import attempts
from peridotpost.decisions import refusedrequests
from peridotpost.decisions import releasesplit
from peridotpost.decisions import selection
from peridotpost.decisions import split
from peridotpost.decisions import targetstate
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import bodies
from peridotpost.proxy import completion
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import headernames
from peridotpost.proxy import hedges
from peridotpost.proxy import http1
from peridotpost.proxy import identity as identities
from peridotpost.proxy import listener
from peridotpost.proxy import requesthistory
from peridotpost.proxy import requestlog

NO_CONFIG_RETRY_AFTER_S = 0.5
"""Retry-After while this daemon has no configuration yet."""
INLINE_BODY_BYTES = 512
"""Bodies up to this size are sent with every dispatch, since they are no
larger than its headers."""
BUSY_LOAD = 0.7
"""Load, as a fraction of its slots, above which a target may refuse a
dispatch.  A larger body is then sent only when the guard asks for it."""
NO_BUDGET_HOLD_S = 0.5
"""After a guard ran out of retry budget, no running request of that service is
rerouted for this long."""
POISON_RETRY_AFTER_S = 30.0
"""Retry-After for a request that is suspected of crashing targets."""


class Backends(Protocol):
    """Access to the targets that an ingress can dispatch to."""

    def candidates(self, service: str) -> Iterable[targetstate.Candidate]:
        """Return the targets of a service, including this host's own."""

    def send(self, host: str, order: forwarding.Order) -> bool:
        """Dispatch an order to `host`'s guard; False if it is unreachable."""

    def withdraw(self, host: str, order: forwarding.Order) -> None:
        """Cancel an order whose outcome is no longer needed."""

    def retry_share(self) -> float:
        """Return the share of retries among the runs of this host's target."""

    def running_order(self, attempt_id: bytes) -> forwarding.Order | None:
        """Return the order that this host's target runs for an attempt id."""


class Forwarder:
    """Routes requests, dispatches and retries them, and answers callers."""

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        caller_service: str,
        backends: Backends,
        selector: selection.Selector,
        deadline_timer: deadlines.DeadlineTimer,
        release_split: releasesplit.ReleaseSplit,
        identification: identities.Identification,
        counts: counters.Counters,
        log: jsonlog.JsonLog,
    ) -> None:
        self.release_split = release_split
        self.header_names = header_names
        self.identification = identification
        self.backends = backends
        self.selector = selector
        self.deadline_timer = deadline_timer
        self.counts = counts
        self.log = requestlog.RequestLog(log, lambda: self.config)
        self.hedges = hedges.Hedges(self)
        self.splitter = split.Splitter()
        self.history = requesthistory.RequestHistory()
        self.config: mesh.MeshConfig | None = None
        self.caller_head = (
            header_names.caller + b': ' + caller_service.encode() + b'\r\n'
        )
        self.completion = completion.Completion(
            deadline_timer,
            self.history,
            identification.quotas,
            counts,
            self.log,
            self.hedges.finished,
        )
        self.no_budget_at: dict[str, float] = {}
        self.parents_known = False

    def handle(
        self, message: http1.Message, respond: listener.Respond
    ) -> exchanges.Exchange | None:
        """Process a request and call `respond` once.

        `respond` is not called after the caller has disconnected.
        """
        config = self.config
        if config is None:
            # Without a configuration the routes are unknown, so 404 would be
            # wrong.
            self.completion.refuse_unrouted(
                message, respond, 503, 'no-config', NO_CONFIG_RETRY_AFTER_S
            )
            return None
        if message.host_header_count != 1 or message.method == b'HEAD':
            status = 400 if message.host_header_count != 1 else 501
            self.completion.refuse_unrouted(
                message, respond, status, 'bad-request'
            )
            return None
        host = message.host.split(b':', 1)[0].decode('latin-1').lower()
        path = message.target.split(b'?', 1)[0].decode('latin-1')
        route = config.find(host, path)
        if route is None:
            self._refuse_unknown_route(message, respond)
            return None
        parent = self._parent_run(message)
        identity = self.identification.identify(
            message, route, config.customers, parent, deadlines.now()
        )
        if isinstance(identity, identities.Denial):
            self.completion.deny(message, route, parent, identity, respond)
            return None
        first_attempt = self.history.first_attempt(message, route)
        service = self._service_for(route, first_attempt)
        exchange = exchanges.Exchange(self, message, route, service, respond)
        self._apply_caller_deadline(exchange)
        if first_attempt is not None:
            self.counts.add('requests.returned')
            exchange.first_attempt_at = first_attempt.at
            exchange.caller_deadline = first_attempt.until
            exchange.objective -= exchange.started - first_attempt.at
        exchange.parent = parent
        exchange.new_version = self.release_split.spend_canary_credit(
            service, exchange.started
        )
        exchange.rank = identity.rank
        exchange.head = identity.head + self.caller_head
        self.completion.in_flight += 1
        if self.history.is_poison(message):
            exchange.retry_after_s = POISON_RETRY_AFTER_S
            self.completion.refuse(exchange, forwarding.Refusal.POISON)
            return None
        exchange.deadline_slot = self.deadline_timer.add(
            exchange.deadline,
            exchange,
            lambda: self._deadline_passed(exchange),
        )
        if identity.customer is None:
            self._dispatch(exchange)
        else:
            self._admit(
                exchange,
                identity.customer,
                first_attempt is not None and first_attempt.over_quota,
            )
        return None if exchange.finished else exchange

    def _admit(
        self,
        exchange: exchanges.Exchange,
        customer: mesh.Customer,
        is_retry: bool,
    ) -> None:
        """Dispatch a customer's request if its quota admits it.

        :param is_retry: whether the quota did not admit it before.
        """

        def decided(denial: identities.Denial | None) -> None:
            if exchange.finished:
                if denial is None:
                    self.completion.refund(customer.name)
                return
            if denial is not None:
                self.completion.refuse_over_quota(exchange, denial)
                return
            exchange.customer = customer.name
            self._dispatch(exchange)

        self.identification.admit(
            customer, decided, exchange.started, is_retry
        )

    def abandoned(self, exchange: exchanges.Exchange) -> None:
        """Stop work on a request whose caller disconnected."""
        if exchange.finished:
            return
        self.completion.mark_finished(exchange)
        self.counts.add('requests.abandoned')
        self._withdraw(exchange)

    def _service_for(
        self,
        route: mesh.PathRoute,
        first_attempt: refusedrequests.FirstAttempt | None,
    ) -> str:
        """Return the service of a request: that of its first attempt, if any.

        It is picked by the route's shares for a request that was not refused
        before, or whose earlier service the route no longer names.
        """
        if first_attempt is not None:
            if any(
                share.service == first_attempt.service
                for share in route.shares
            ):
                return first_attempt.service
        return self.splitter.pick(route.name, route.shares)

    def _refuse_unknown_route(
        self, message: http1.Message, respond: listener.Respond
    ) -> None:
        """Refuse with 404 only if no newer version can have the route."""
        if self.identification.is_current(deadlines.now()):
            self.completion.refuse_unrouted(message, respond, 404, 'no-route')
        else:
            self.completion.refuse_unrouted(
                message,
                respond,
                503,
                'config-not-current',
                identities.NOT_CURRENT_RETRY_AFTER_S,
            )

    def _parent_run(self, message: http1.Message) -> forwarding.Order | None:
        """Return the run on this host's target that made this call."""
        parent_id = self.header_names.parent_of(message.attempt_id)
        if not parent_id:
            return None
        parent = self.backends.running_order(parent_id)
        self.parents_known = self.parents_known or parent is not None
        return parent

    def _inherited_retry_weight(self, exchange: exchanges.Exchange) -> float:
        """Return how far a first dispatch counts as a retry, 0 to 1."""
        if exchange.parent is not None:
            return exchange.parent.retry_weight
        # If calls identify their parent runs, a request without a parent comes
        # from an external caller.
        return 0.0 if self.parents_known else self.backends.retry_share()

    def _apply_caller_deadline(self, exchange: exchanges.Exchange) -> None:
        stated_ms = exchange.message.deadline_ms
        if stated_ms.isdigit():
            # The route's timeout caps the deadline that the caller asks for.
            remaining_s = int(stated_ms) / 1000
            caller_deadline = exchange.started + remaining_s
            exchange.caller_deadline = caller_deadline
            exchange.deadline = min(exchange.deadline, caller_deadline)
            exchange.attempts.deadline = exchange.deadline
        exchange.objective = min(exchange.objective, exchange.deadline)

    def _dispatch(self, exchange: exchanges.Exchange) -> None:
        """Send to the best untried target, or finish if there is none."""
        now = deadlines.now()
        if now >= exchange.deadline:
            self.completion.finish_unserved(
                exchange, forwarding.Refusal.TOO_LATE
            )
            return
        while True:
            candidate = self._choose_target(exchange, now)
            if candidate is None:
                reason = forwarding.Refusal.NO_TARGET
                if exchange.attempts.refusals:
                    reason = forwarding.Refusal.FULL
                self.completion.finish_unserved(exchange, reason)
                return
            exchange.tried.append(candidate.host)
            order = self.make_order(exchange, candidate)
            exchange.order = order
            exchange.candidate = candidate
            candidate.outstanding += 1
            self.hedges.sending(exchange)
            if self.backends.send(candidate.host, order):
                return
            candidate.outstanding -= 1

    def _choose_target(
        self, exchange: exchanges.Exchange, now: float
    ) -> targetstate.Candidate | None:
        route = exchange.route.name
        candidates = self.eligible_candidates(exchange)
        remaining_s = exchange.time_left_s(now)
        candidate = None
        if not exchange.attempts.is_last_attempt:
            candidate = self.selector.choose(
                candidates,
                route,
                exchange.tried,
                remaining_s,
                now,
                exchange.route.idempotent,
            )
        retry_refused = exchange.attempts.budget_refusals > 0
        if (
            candidate is None
            and not exchange.last_resort_asked
            and not retry_refused
        ):
            exchange.last_resort_asked = True
            candidate = self.selector.last_resort(candidates, route, now)
        return candidate

    def eligible_candidates(
        self, exchange: exchanges.Exchange
    ) -> list[targetstate.Candidate]:
        """Return the targets that run the version chosen for the request."""
        service = exchange.service
        now = deadlines.now()
        candidates = list(self.backends.candidates(service))
        if exchange.new_version:
            allowed = self.release_split.eligible_targets(
                service, candidates, True, now
            )
            if any(map(exchange.may_try, allowed)):
                return allowed
            exchange.new_version = False
        return self.release_split.eligible_targets(
            service, candidates, False, now
        )

    def make_order(
        self, exchange: exchanges.Exchange, candidate: targetstate.Candidate
    ) -> forwarding.Order:
        message = exchange.message
        may_refuse = (
            len(exchange.tried) > 1
            or candidate.load_now(deadlines.now()) > BUSY_LOAD
        )
        order = forwarding.Order(
            number=0,
            service=exchange.service,
            attempt_id=message.attempt_id,
            method=message.method,
            target=message.target,
            head=exchange.head,
            body=message.body,
            idempotent=exchange.route.idempotent,
            rank=exchange.rank,
            deadline=exchange.deadline,
            objective=exchange.objective,
            last=exchange.last_resort_asked,
            done=lambda outcome: self.dispatch_ended(
                exchange, candidate, order, outcome
            ),
            route=exchange.route.name,
            retry_cause=exchange.attempts.retry_cause,
            inherited_retry_weight=self._inherited_retry_weight(exchange),
            body_deferred=_is_sent_on_request(message.body, may_refuse),
            may_move=lambda: self._may_reroute(exchange),
            customer=exchange.customer,
        )
        return order

    def _may_reroute(self, exchange: exchanges.Exchange) -> bool:
        """Whether a dispatched request may be rerouted to another target."""
        now = deadlines.now()
        if not exchange.attempts.may_retry(now):
            return False
        has_alternative = any(
            map(exchange.may_try, self.eligible_candidates(exchange))
        )
        no_budget_at = self.no_budget_at.get(
            exchange.service, -NO_BUDGET_HOLD_S
        )
        return has_alternative and now - no_budget_at >= NO_BUDGET_HOLD_S

    def dispatch_ended(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        order: forwarding.Order,
        outcome: forwarding.Outcome,
    ) -> None:
        candidate.outstanding -= 1
        if exchange.finished or exchange.order is not order:
            return
        exchange.order = None
        now = deadlines.now()
        self.record_outcome(exchange, candidate, outcome, now)
        action = exchange.attempts.after(outcome, now)
        if self.hedges.takes_over(exchange, outcome):
            return
        if action is attempts.Action.RETRY:
            self._dispatch(exchange)
        elif isinstance(outcome, forwarding.TargetAnswer):
            self.completion.answer(exchange, outcome)
        elif isinstance(outcome, forwarding.Refused):
            self.completion.finish_unserved(exchange, outcome.reason)
        else:
            self.completion.finish_unserved(
                exchange, forwarding.Refusal.UNREACHABLE
            )

    def record_outcome(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        outcome: forwarding.Outcome,
        now: float,
    ) -> None:
        """Update the target's health statistics from an outcome."""
        if not isinstance(outcome, forwarding.Refused):
            self.release_split.record_run(exchange.service, candidate.version)
        if isinstance(outcome, forwarding.Refused):
            if outcome.arrived:
                # The guard never exceeds the target's slots, so a target that
                # itself refuses a request is failing.
                candidate.note_outcome(True, now)
            if outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
                self.no_budget_at[exchange.service] = now
            if outcome.retry_after_s:
                exchange.retry_after_s = outcome.retry_after_s
        elif isinstance(outcome, forwarding.ResponseLost):
            candidate.note_outcome(True, now)
            self.log.lost(exchange, candidate.host, outcome.detail)
        else:
            failed = attempts.is_failure(outcome.status)
            candidate.note_outcome(failed, now)

    def _deadline_passed(self, exchange: exchanges.Exchange) -> None:
        if exchange.finished:
            return
        self.completion.mark_finished(exchange)
        self._withdraw(exchange)
        self.completion.time_out(exchange)

    def _withdraw(self, exchange: exchanges.Exchange) -> None:
        order = exchange.order
        if order is not None and exchange.candidate is not None:
            self.backends.withdraw(exchange.candidate.host, order)


def _is_sent_on_request(body: bodies.Body, may_refuse: bool) -> bool:
    """Whether a body is sent only when the guard asks for it."""
    limit = INLINE_BODY_BYTES if may_refuse else bodies.SMALL_BODY_BYTES
    return len(body) > limit
