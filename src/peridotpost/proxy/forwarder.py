"""The ingress: from a caller's request to its one answer."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from peridotpost.decisions import attempts
from peridotpost.decisions import releasesplit
from peridotpost.decisions import returning
from peridotpost.decisions import selection
from peridotpost.decisions import split
from peridotpost.decisions import targetstate
from peridotpost.kernel import counters
from peridotpost.kernel import lines
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import http1
from peridotpost.proxy import listener
from peridotpost.proxy import names
from peridotpost.proxy import problems
from peridotpost.proxy import recognition
from peridotpost.proxy import requestlog

NO_CONFIG_RETURN_S = 0.5
SMALL_BODY = 512
"""Bytes that go with each dispatch: no more than its head takes."""
BUSY = 0.7
"""Load from which a target may refuse, so that a large body waits until it
is asked for."""
NO_BUDGET_S = 0.5
"""How long no run is given up for a repeat after a guard had no budget."""
POISON_RETURN_S = 30.0


class Backends(Protocol):
    """The targets that an ingress can send to."""

    def candidates(self, service: str) -> Iterable[targetstate.Candidate]:
        """Return the targets of a service, this host's own included."""

    def send(self, host: str, order: forwarding.Order) -> bool:
        """Dispatch an order by way of `host`'s guard; False if cut off."""

    def withdraw(self, host: str, order: forwarding.Order) -> None:
        """Nobody waits for the order any more."""

    def repeat_share(self) -> float:
        """Return the share of repeats among what the own target runs."""

    def running(self, attempt_id: bytes) -> forwarding.Order | None:
        """Return what the own target runs under an attempt id."""


class Forwarder:
    """Routes, dispatches, tries again, answers."""

    def __init__(
        self,
        header_names: names.HeaderNames,
        caller_service: str,
        backends: Backends,
        selector: selection.Selector,
        sweep: deadlines.Deadlines,
        releases: releasesplit.ReleaseSplit,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.releases = releases
        self.names = header_names
        self.backends = backends
        self.selector = selector
        self.sweep = sweep
        self.counts = counts
        self.log = requestlog.RequestLog(log, lambda: self.config)
        self.splitter = split.Splitter()
        self.recognition = recognition.Recognition()
        self.config: mesh.MeshConfig | None = None
        self.caller_head = (
            header_names.caller + b': ' + caller_service.encode() + b'\r\n'
        )
        self.in_flight = 0
        self.no_budget_at: dict[str, float] = {}
        self.parents_known = False
        self.observe: (
            Callable[[exchanges.Exchange, int, float], None] | None
        ) = None

    def handle(
        self, message: http1.Message, respond: listener.Respond
    ) -> exchanges.Exchange | None:
        """Take a request; `respond` is called exactly once for it."""
        config = self.config
        if config is None:
            # A 404 would be a claim about routes that nobody knows yet.
            self._refuse_early(
                message, respond, 503, 'no-config', NO_CONFIG_RETURN_S
            )
            return None
        if message.hosts != 1 or message.method == b'HEAD':
            status = 400 if message.hosts != 1 else 501
            self._refuse_early(message, respond, status, 'bad-request')
            return None
        host = message.host.split(b':', 1)[0].decode('latin-1').lower()
        path = message.target.split(b'?', 1)[0].decode('latin-1')
        route = config.find(host, path)
        if route is None:
            self._refuse_early(message, respond, 404, 'no-route')
            return None
        first = self.recognition.first_attempt(message, route)
        service = self._part(route, first)
        exchange = exchanges.Exchange(self, message, route, service, respond)
        self._set_times(exchange)
        if first is not None:
            self.counts.add('requests.returned')
            exchange.first_at = first.at
            exchange.patient_until = first.until
            exchange.objective -= exchange.started - first.at
        exchange.parent = self._parent(message)
        exchange.new_version = self.releases.takes_canary(
            service, exchange.started
        )
        exchange.head = bytes(message.head) + self.caller_head
        self.in_flight += 1
        if self.recognition.crashes_targets(message):
            exchange.retry_after_s = POISON_RETURN_S
            self._refuse(exchange, forwarding.Refusal.POISON)
            return None
        exchange.slot = self.sweep.add(
            exchange.deadline, exchange, lambda: self._expired(exchange)
        )
        self._dispatch(exchange)
        return None if exchange.over else exchange

    def abandoned(self, exchange: exchanges.Exchange) -> None:
        """The caller has gone; nothing more is done for it."""
        if exchange.over:
            return
        self._end(exchange)
        self.counts.add('requests.abandoned')
        self._withdraw(exchange)

    def _part(
        self, route: mesh.PathRoute, first: returning.FirstAttempt | None
    ) -> str:
        """Return the service that a request goes to."""
        if first is not None:
            if any(one.service == first.service for one in route.shares):
                return first.service
        return self.splitter.pick(route.name, route.shares)

    def _parent(self, message: http1.Message) -> forwarding.Order | None:
        """Return the run of the own target that makes this call."""
        parent_id = self.names.parent_of(message.attempt_id)
        if not parent_id:
            return None
        parent = self.backends.running(parent_id)
        self.parents_known = self.parents_known or parent is not None
        return parent

    def _inherited(self, exchange: exchanges.Exchange) -> float:
        """Return what a first dispatch counts for as a repeat, 0 to 1."""
        if exchange.parent is not None:
            return exchange.parent.repeat_weight
        # Where calls name their parents, all else comes from callers.
        return 0.0 if self.parents_known else self.backends.repeat_share()

    def _set_times(self, exchange: exchanges.Exchange) -> None:
        told = exchange.message.deadline_ms
        if told.isdigit():
            # The operators' timeout bounds what callers ask for.
            left_s = int(told) / 1000
            until = exchange.started + left_s
            exchange.patient_until = until
            exchange.deadline = min(exchange.deadline, until)
            exchange.attempts.deadline = exchange.deadline
        exchange.objective = min(exchange.objective, exchange.deadline)

    def _dispatch(self, exchange: exchanges.Exchange) -> None:
        """Send to the best target that was not tried; refuse without."""
        now = deadlines.now()
        if now >= exchange.deadline:
            self._give_up(exchange, forwarding.Refusal.TOO_LATE)
            return
        while True:
            candidate = self._choose(exchange, now)
            if candidate is None:
                reason = forwarding.Refusal.NO_TARGET
                if exchange.attempts.refusals:
                    reason = forwarding.Refusal.FULL
                self._give_up(exchange, reason)
                return
            exchange.tried.append(candidate.host)
            order = self._order(exchange, candidate)
            exchange.order = order
            exchange.candidate = candidate
            candidate.outstanding += 1
            if self.backends.send(candidate.host, order):
                return
            candidate.outstanding -= 1

    def _choose(
        self, exchange: exchanges.Exchange, now: float
    ) -> targetstate.Candidate | None:
        route = exchange.route.name
        candidates = self._candidates(exchange)
        left_s = exchange.objective - now
        if left_s <= 0:
            left_s = exchange.deadline - now
        found = None
        if not exchange.attempts.is_last:
            found = self.selector.choose(
                candidates,
                route,
                exchange.tried,
                left_s,
                now,
                exchange.route.idempotent,
            )
        repeat_refused = exchange.attempts.budget_refusals > 0
        if found is None and not exchange.last_asked and not repeat_refused:
            exchange.last_asked = True
            found = self.selector.last_resort(candidates, route, now)
        return found

    def _candidates(
        self, exchange: exchanges.Exchange
    ) -> list[targetstate.Candidate]:
        """Return the targets of the version that the request goes to."""
        service = exchange.service
        now = deadlines.now()
        known = list(self.backends.candidates(service))
        if exchange.new_version:
            found = self.releases.allowed(service, known, True, now)
            if any(self._may_try(exchange, one) for one in found):
                return found
            exchange.new_version = False
        return self.releases.allowed(service, known, False, now)

    @staticmethod
    def _may_try(
        exchange: exchanges.Exchange, one: targetstate.Candidate
    ) -> bool:
        return one.ready and one.host not in exchange.tried

    def _order(
        self, exchange: exchanges.Exchange, candidate: targetstate.Candidate
    ) -> forwarding.Order:
        message = exchange.message
        may_refuse = (
            len(exchange.tried) > 1
            or candidate.load_now(deadlines.now()) > BUSY
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
            last=exchange.last_asked,
            done=lambda outcome: self._ended(
                exchange, candidate, order, outcome
            ),
            route=exchange.route.name,
            repeat=exchange.attempts.repeat,
            inherited=self._inherited(exchange),
            body_later=may_refuse and len(message.body) > SMALL_BODY,
            may_move=lambda: self._may_move(exchange),
        )
        return order

    def _may_move(self, exchange: exchanges.Exchange) -> bool:
        """Whether a request may leave its target for another one."""
        now = deadlines.now()
        if not exchange.attempts.may_follow(now):
            return False
        others = any(
            self._may_try(exchange, one) for one in self._candidates(exchange)
        )
        no_budget_at = self.no_budget_at.get(exchange.service, -NO_BUDGET_S)
        return others and now - no_budget_at >= NO_BUDGET_S

    def _ended(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        order: forwarding.Order,
        outcome: forwarding.Outcome,
    ) -> None:
        candidate.outstanding -= 1
        if exchange.over or exchange.order is not order:
            return
        exchange.order = None
        now = deadlines.now()
        self._note(exchange, candidate, outcome, now)
        step = exchange.attempts.after(outcome, now)
        if step is attempts.Step.AGAIN:
            self._dispatch(exchange)
        elif isinstance(outcome, forwarding.TargetAnswer):
            self._answer(exchange, outcome)
        elif isinstance(outcome, forwarding.Refused):
            self._give_up(exchange, outcome.reason)
        else:
            self._give_up(exchange, forwarding.Refusal.UNREACHABLE)

    def _note(
        self,
        exchange: exchanges.Exchange,
        candidate: targetstate.Candidate,
        outcome: forwarding.Outcome,
        now: float,
    ) -> None:
        """Learn from an outcome what it says of the target."""
        if not isinstance(outcome, forwarding.Refused):
            self.releases.ran(exchange.service, candidate.version)
        if isinstance(outcome, forwarding.Refused):
            if outcome.arrived:
                # The guard keeps within the slots, so a target that turns
                # requests away is failing.
                candidate.note(True, now)
            if outcome.reason is forwarding.Refusal.NO_RETRY_BUDGET:
                self.no_budget_at[exchange.service] = now
            if outcome.retry_after_s:
                exchange.retry_after_s = outcome.retry_after_s
        elif isinstance(outcome, forwarding.Lost):
            candidate.note(True, now)
            self.log.lost(exchange, candidate.host, outcome.detail)
        else:
            failed = outcome.status >= attempts.FAILED_STATUS
            candidate.note(failed, now)

    def _answer(
        self, exchange: exchanges.Exchange, outcome: forwarding.TargetAnswer
    ) -> None:
        self._end(exchange)
        self._deliver(exchange, outcome)

    def _deliver(
        self, exchange: exchanges.Exchange, outcome: forwarding.TargetAnswer
    ) -> None:
        if outcome.status >= attempts.FAILED_STATUS:
            self._note_failed_call(exchange)
        if outcome.status < attempts.FAILED_STATUS:
            self.recognition.was_answered(exchange.message)
        self.log.answered(exchange, outcome.status)
        self._observe(exchange, outcome.status)
        exchange.respond(
            listener.Reply(
                outcome.status, outcome.head, outcome.body, outcome.reason
            )
        )

    @staticmethod
    def _note_failed_call(exchange: exchanges.Exchange) -> None:
        """Tell the run that made a call that the call failed."""
        if exchange.parent is not None:
            exchange.parent.call_failed = True

    def _give_up(
        self, exchange: exchanges.Exchange, reason: forwarding.Refusal
    ) -> None:
        """Answer for a request that no other target will answer."""
        if exchange.attempts.failed is not None:
            self._answer(exchange, exchange.attempts.failed)
        elif exchange.attempts.lost:
            self._end(exchange)
            self.log.ended(exchange, 'unknown', '', exchange.attempts.lost)
            self._own_answer(
                exchange, problems.Problem(502, 'outcome-unknown')
            )
        else:
            self._refuse(exchange, reason)

    def _refuse(
        self, exchange: exchanges.Exchange, reason: forwarding.Refusal
    ) -> None:
        self._end(exchange)
        self._note_failed_call(exchange)
        self.recognition.was_refused(exchange)
        self.log.ended(exchange, 'refused', '', reason.value)
        self._own_answer(
            exchange,
            problems.Problem(503, reason.value, exchange.retry_after_s),
        )

    def _expired(self, exchange: exchanges.Exchange) -> None:
        if exchange.over:
            return
        dispatched = exchange.order is not None
        self._end(exchange)
        self._withdraw(exchange)
        if exchange.attempts.failed is not None:
            self._deliver(exchange, exchange.attempts.failed)
            return
        self._note_failed_call(exchange)
        detail = exchange.attempts.lost or 'no answer in time'
        self.log.ended(exchange, 'timeout', exchange.host, detail)
        if dispatched or exchange.attempts.lost:
            self._own_answer(exchange, problems.Problem(504, 'timeout'))
        else:
            self._own_answer(
                exchange,
                problems.Problem(503, 'too-late', exchange.retry_after_s),
            )

    def _own_answer(
        self, exchange: exchanges.Exchange, problem: problems.Problem
    ) -> None:
        self._observe(exchange, problem.status)
        exchange.respond(problems.render(problem))

    def _refuse_early(
        self,
        message: http1.Message,
        respond: listener.Respond,
        status: int,
        title: str,
        retry_after_s: float = 0.0,
    ) -> None:
        self.counts.add(f'requests.own-{status}')
        self.log.refused_unrouted(message, status, title)
        respond(
            problems.render(problems.Problem(status, title, retry_after_s))
        )

    def _withdraw(self, exchange: exchanges.Exchange) -> None:
        order = exchange.order
        if order is not None and exchange.candidate is not None:
            self.backends.withdraw(exchange.candidate.host, order)

    def _end(self, exchange: exchanges.Exchange) -> None:
        exchange.over = True
        self.in_flight -= 1
        self.sweep.discard(exchange.slot, exchange)

    def _observe(self, exchange: exchanges.Exchange, status: int) -> None:
        if self.observe is not None:
            elapsed = deadlines.now() - exchange.started
            self.observe(exchange, status, elapsed)
