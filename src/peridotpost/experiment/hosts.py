"""A simulated host: a target, its guard, and the ingress's view of targets."""

from collections.abc import Callable
import dataclasses
import random
from typing import Protocol

from peridotpost.decisions import budget
from peridotpost.decisions import hedging
from peridotpost.decisions import selection
from peridotpost.decisions import slots
from peridotpost.decisions import targetspeed
from peridotpost.decisions import targetstate
from peridotpost.experiment import clock as clocks
from peridotpost.experiment import results
from peridotpost.experiment import scenario as scenarios
from peridotpost.model import forwarding

SUCCEEDED = forwarding.TargetAnswer(200, b'OK', b'', b'')
FAILED = forwarding.TargetAnswer(500, b'Failed', b'', b'')
SHED = forwarding.Refused(forwarding.Refusal.SHED, arrived=True)


class FleetContext(Protocol):
    """State that hosts and ingresses share; see ``simulation.Fleet``."""

    scenario: scenarios.Scenario
    clock: clocks.SimulatedClock
    rng: random.Random
    work_rng: random.Random
    routes: dict[str, scenarios.Route]
    route_results: dict[str, results.RouteResult]
    hosts: list['Host']
    by_service: dict[str, list['Host']]

    def call(
        self,
        host: 'Host',
        route: scenarios.Route,
        done: Callable[[bool], None],
    ) -> None:
        """Make a call of a target; `done` receives whether it succeeded."""

    def work_s(
        self, host: 'Host', route: scenarios.Route, request: forwarding.Order
    ) -> float:
        """Return a random run time in seconds, longer on a degraded target."""

    def degrading_phase(self, host: 'Host') -> scenarios.Phase | None:
        """Return the current phase if it degrades the host's target."""


class Host:
    """A target with its guard, and the ingress on the same host.

    :ivar run_time_factor: factor on the run times of the target.
    :ivar candidate_by_host: the ingress's view of the targets.
    """

    def __init__(self, fleet: 'FleetContext', number: int, zone: int) -> None:
        self.name = f'z{zone}-{number}'
        self.zone = f'z{zone}'
        self.zone_number = zone
        self.fleet = fleet
        self.service = ''
        self.run_time_factor = 1.0
        self.queue = slots.SlotQueue(0, fleet.rng)
        self.selector = selection.Selector(self.zone, fleet.rng)
        budget_config = fleet.scenario.retry_budget
        self.budget = budget.RetryBudget(
            budget_config.ratio, budget_config.extra, budget_config.window_s
        )
        self.candidate_by_host: dict[str, targetstate.Candidate] = {}
        self.hedging = hedging.Hedging(hedging.HEDGE_SHARE)
        self.speed = targetspeed.TargetSpeed(fleet.scenario.hedging)
        self.wakes_at = 0.0
        self.arrivals_while_limited = 0
        self.spell_until = 0.0
        self.next_spell_at: float | None = None

    def candidates(self, service: str) -> list[targetstate.Candidate]:
        """Return a service's targets as this host's ingress knows them."""
        service_targets = []
        for host in self.fleet.by_service[service]:
            candidate = self.candidate_by_host.get(host.name)
            if candidate is None:
                candidate = targetstate.Candidate(
                    host.name,
                    host.zone,
                    service,
                    slots=host.queue.slots,
                    ready=True,
                )
                self.candidate_by_host[host.name] = candidate
            service_targets.append(candidate)
        return service_targets

    def slowdown(self, now: float) -> float:
        """Return the factor on a run that starts now."""
        scenario = self.fleet.scenario
        service = next(
            service
            for service in scenario.services
            if service.name == self.service
        )
        taken = self.queue.running / max(1, self.queue.slots)
        excess = max(0.0, taken - scenarios.FULL_FROM)
        factor = 1 + (service.slower_when_full - 1) * excess / (
            1 - scenarios.FULL_FROM
        )
        if scenario.spells is not None:
            self._advance_spells(scenario.spells, now)
            if now < self.spell_until:
                factor *= scenario.spells.slower
        return factor

    def _advance_spells(self, spells: scenarios.Spells, now: float) -> None:
        """Draw the slow spells that began until now."""
        rng = self.fleet.work_rng
        mean_s = spells.mean_ms / 1000
        pause_s = mean_s * (1 - spells.share) / spells.share
        if self.next_spell_at is None:
            self.next_spell_at = rng.expovariate(1 / pause_s)
        while self.next_spell_at <= now:
            self.spell_until = self.next_spell_at + rng.expovariate(1 / mean_s)
            self.next_spell_at = self.spell_until + rng.expovariate(
                1 / pause_s
            )

    def submit(self, order: forwarding.Order) -> None:
        """Admit, queue or refuse an order, as the guard does."""
        clock = self.fleet.clock
        if order.settled:
            return
        targets = len(self.fleet.by_service[order.service])
        if not self.budget.admits(order.retry_cause, targets, clock.now):
            order.settle(
                forwarding.Refused(forwarding.Refusal.NO_RETRY_BUDGET)
            )
            return
        load = self.queue.load(clock.now)
        if self.speed.declines(order, load, clock.now):
            self.fleet.route_results[order.route].declined += 1
            order.settle(forwarding.Refused(forwarding.Refusal.FULL, 0.1))
            return
        decision = self.queue.submit(order, clock.now)
        if order not in decision.started + decision.refused:
            remaining_s = self.queue.latest_start(order) - clock.now
            clock.after(max(0.0, remaining_s), lambda: self._expire(order))
        self._apply(decision)

    def _expire(self, order: forwarding.Order) -> None:
        if not order.settled and not order.started:
            self.queue.withdraw(order)
            retry_delay_s = self.queue.retry_after_s(
                order, self.fleet.clock.now
            )
            order.settle(
                forwarding.Refused(forwarding.Refusal.TOO_LATE, retry_delay_s)
            )

    def cancel(self, order: forwarding.Order) -> None:
        """Cancel an order; a run is aborted and frees its slot."""
        if order.settled:
            return
        if not order.started:
            self.queue.withdraw(order)
            order.settle(forwarding.Refused(forwarding.Refusal.WITHDRAWN))
        elif order.idempotent:
            self.speed.ended(order, False, self.fleet.clock.now)
            decision = self.queue.release(order, self.fleet.clock.now)
            order.settle(forwarding.ResponseLost('cancelled'))
            self._apply(decision)

    def _apply(self, decision: slots.Decision) -> None:
        for order in decision.refused:
            retry_delay_s = self.queue.retry_after_s(
                order, self.fleet.clock.now
            )
            order.settle(
                forwarding.Refused(forwarding.Refusal.FULL, retry_delay_s)
            )
        for order in decision.started:
            self._run(order)
        self._wake_at_next_start()

    def _wake_at_next_start(self) -> None:
        clock = self.fleet.clock
        start_at = self.queue.next_start_at(clock.now)
        if start_at is None or clock.now <= self.wakes_at <= start_at:
            return
        self.wakes_at = start_at
        clock.after(start_at - clock.now, self._start_due)

    def _start_due(self) -> None:
        self.wakes_at = -1.0
        self._apply(self.queue.fill(self.fleet.clock.now))

    def _state_limit(self) -> None:
        """Apply the limit that the target states in a response."""
        phase = self.fleet.degrading_phase(self)
        limit_per_s = phase.limit_per_s if phase is not None else 0.0
        self.queue.set_limit(limit_per_s or None, self.fleet.clock.now)

    def _run(self, order: forwarding.Order) -> None:
        """Do the work and the calls of a run; answer when both are done."""
        fleet = self.fleet
        route = fleet.routes[order.route]
        self.budget.sent(
            order.retry_cause, order.inherited_retry_weight, fleet.clock.now
        )
        if order.retry_cause:
            fleet.route_results[order.route].repeats += 1
        if self.queue.limit_per_s is not None:
            self.arrivals_while_limited += 1
        phase = fleet.degrading_phase(self)
        if phase is not None and fleet.work_rng.random() < phase.sheds:
            self._state_limit()
            decision = self.queue.release(order, fleet.clock.now)
            order.settle(SHED)
            self._apply(decision)
            return
        self.speed.started(order, fleet.clock.now)
        work_s = fleet.work_s(self, route, order)
        pending = PendingRun(1)

        def on_part_done(succeeded: bool) -> None:
            pending.remaining_parts -= 1
            pending.succeeded = pending.succeeded and succeeded
            if pending.remaining_parts:
                return
            if route.waits and pending.succeeded:
                fleet.clock.after(work_s, lambda: self._finish(order, True))
            else:
                self._finish(order, pending.succeeded)

        for call in route.calls:
            if fleet.rng.random() < call.share:
                for _ in range(call.times):
                    pending.remaining_parts += 1
                    fleet.call(self, fleet.routes[call.route], on_part_done)
        first_s = 0.0 if route.waits else work_s
        fleet.clock.after(first_s, lambda: on_part_done(True))

    def _finish(self, order: forwarding.Order, succeeded: bool) -> None:
        if order.settled:
            return
        if not succeeded:
            self.fleet.route_results[order.route].call_failed += 1
        self._state_limit()
        self.speed.ended(order, True, self.fleet.clock.now)
        decision = self.queue.finish(order, self.fleet.clock.now)
        order.settle(SUCCEEDED if succeeded else FAILED)
        self._apply(decision)


@dataclasses.dataclass(slots=True)
class PendingRun:
    """Parts of a run: its own work and its calls.

    :param remaining_parts: parts that are not done.
    :param succeeded: whether all parts that are done succeeded.
    """

    remaining_parts: int
    succeeded: bool = True
