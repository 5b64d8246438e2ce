"""A simulated ingress: from a caller's request to its one answer.

The same steps as ``proxy.forwarder`` takes, around the same decisions.
"""

from collections.abc import Callable
import dataclasses

from peridotpost.decisions import attempts
from peridotpost.decisions import targetstate
from peridotpost.experiment import hosts
from peridotpost.experiment import scenario as scenarios
from peridotpost.model import forwarding

MS_IN_S = 1000.0
DEFAULT_RETURN_S = 0.25
"""When to come back where no guard said."""


@dataclasses.dataclass(eq=False, slots=True)
class Asking:
    """One attempt of a caller at an ingress."""

    host: hosts.Host
    route: scenarios.Route
    rank: int
    deadline: float
    objective: float
    done: Callable[[forwarding.Outcome], None]
    attempts: attempts.Attempts
    tried: list[str] = dataclasses.field(default_factory=list)
    last_asked: bool = False
    return_s: float = DEFAULT_RETURN_S
    over: bool = False


class Ingresses:
    """Asks targets for the callers and targets of all hosts."""

    def __init__(self, world: hosts.World) -> None:
        self.world = world

    def ask(
        self,
        host: hosts.Host,
        route: scenarios.Route,
        rank: int,
        done: Callable[[forwarding.Outcome], None],
        first_at: float,
    ) -> None:
        """Let an ingress take a request; `done` is called once.

        :param first_at: when its caller first asked; the ingress knows it
            of those that it refused.
        """
        now = self.world.clock.now
        deadline = now + route.deadline_ms / MS_IN_S
        asking = Asking(
            host,
            route,
            rank,
            deadline,
            min(deadline, first_at + route.objective_ms / MS_IN_S),
            done,
            attempts.Attempts(route.idempotent, route.max_attempts, deadline),
        )
        self.world.clock.after(
            route.deadline_ms / MS_IN_S, lambda: self._expired(asking)
        )
        self._dispatch(asking)

    def _expired(self, asking: Asking) -> None:
        self._end(asking, forwarding.Lost('no answer in time'))

    def _end(self, asking: Asking, outcome: forwarding.Outcome) -> None:
        if not asking.over:
            asking.over = True
            asking.done(outcome)

    def _dispatch(self, asking: Asking) -> None:
        candidate = self._choose(asking)
        if candidate is None:
            refused = forwarding.Refused(
                forwarding.Refusal.FULL, asking.return_s
            )
            self._end(asking, refused)
            return
        asking.tried.append(candidate.host)
        candidate.outstanding += 1
        far = candidate.availability_zone != asking.host.zone
        way_ms = self.world.scenario.in_zone_ms
        if far:
            way_ms = self.world.scenario.cross_zone_ms
            result = self.world.found[asking.route.name]
            result.crossings += 1
            result.far_kilobytes += asking.route.kilobytes
            if len(asking.tried) == 1:
                result.far_first_kilobytes += asking.route.kilobytes
        way_s = way_ms / MS_IN_S
        target = self._host(asking.route.service, candidate.host)
        order = self._order(asking, candidate, target, way_s)
        self.world.clock.after(way_s, lambda: target.submit(order))

    def _host(self, service: str, name: str) -> hosts.Host:
        return next(
            one for one in self.world.by_service[service] if one.name == name
        )

    def _choose(self, asking: Asking) -> targetstate.Candidate | None:
        now = self.world.clock.now
        host, route = asking.host, asking.route
        candidates = host.candidates(route.service)
        for one in candidates:
            if one.host == host.name:
                one.report(host.queue.load, now)
        left_s = asking.objective - now
        if left_s <= 0:
            left_s = asking.deadline - now
        found = None
        if not asking.attempts.is_last:
            found = host.selector.choose(
                candidates,
                route.name,
                asking.tried,
                left_s,
                now,
                route.idempotent,
            )
        repeat_refused = asking.attempts.budget_refusals > 0
        if found is None and not asking.last_asked and not repeat_refused:
            asking.last_asked = True
            found = host.selector.last_resort(candidates, route.name, now)
        return found

    def _order(
        self,
        asking: Asking,
        candidate: targetstate.Candidate,
        target: hosts.Host,
        way_s: float,
    ) -> forwarding.Order:
        route = asking.route

        def settled(outcome: forwarding.Outcome) -> None:
            load = target.queue.load
            run_s = target.queue.times.expected_s(route.name)
            self.world.clock.after(way_s, lambda: told(outcome, load, run_s))

        def told(
            outcome: forwarding.Outcome, load: float, run_s: float
        ) -> None:
            candidate.outstanding -= 1
            candidate.report(load, self.world.clock.now)
            candidate.report_run(route.name, run_s)
            self._ended(asking, candidate, outcome)

        return forwarding.Order(
            number=0,
            service=route.service,
            attempt_id=b'',
            method=b'',
            target=b'',
            head=b'',
            body=b'',
            idempotent=route.idempotent,
            rank=asking.rank,
            deadline=asking.deadline,
            objective=asking.objective,
            last=asking.last_asked,
            done=settled,
            route=route.name,
            repeat=asking.attempts.repeat,
        )

    def _ended(
        self,
        asking: Asking,
        candidate: targetstate.Candidate,
        outcome: forwarding.Outcome,
    ) -> None:
        if asking.over:
            return
        now = self.world.clock.now
        result = self.world.found[asking.route.name]
        if isinstance(outcome, forwarding.Refused):
            asking.return_s = outcome.retry_after_s or asking.return_s
        if not isinstance(outcome, forwarding.Refused) or outcome.arrived:
            result.arrivals += 1
            candidate.note(outcome is not hosts.DONE, now)
        step = asking.attempts.after(outcome, now)
        if step is attempts.Step.AGAIN and now < asking.deadline:
            self._dispatch(asking)
        else:
            self._end(asking, asking.attempts.failed or outcome)
