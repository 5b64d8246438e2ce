"""The simulated fleet, and callers that retry after refusals."""

from collections.abc import Callable
from collections.abc import Iterator
import random

from peridotpost.decisions import customers
from peridotpost.experiment import clock as clocks
from peridotpost.experiment import hosts
from peridotpost.experiment import ingress
from peridotpost.experiment import results
from peridotpost.experiment import scenario as scenarios
from peridotpost.model import forwarding


class Fleet:
    """All hosts, and the results of their callers."""

    def __init__(self, scenario: scenarios.Scenario, seed: int) -> None:
        self.scenario = scenario
        self.seed = seed
        self.rng = random.Random(seed)
        self.work_rng = random.Random(f'{seed} work')
        self.clock = clocks.SimulatedClock()
        self.routes = {route.name: route for route in scenario.routes}
        self.by_service: dict[str, list[hosts.Host]] = {}
        self.hosts: list[hosts.Host] = []
        self.ingresses = ingress.Ingresses(self)
        self.route_results = {
            name: results.RouteResult() for name in self.routes
        }
        self.by_zone = results.WorthByName()
        self.by_customer = results.WorthByName()
        for service in scenario.services:
            self.by_service[service.name] = list(self._build_hosts(service))

    def _build_hosts(self, service: scenarios.Service) -> Iterator[hosts.Host]:
        zones = _zone_turn(self.scenario)
        for index in range(service.count(self.scenario.zones)):
            host = hosts.Host(self, len(self.hosts), zones[index % len(zones)])
            host.service = service.name
            host.run_time_factor = service.speeds[index % len(service.speeds)]
            host.queue.slots = service.slots
            self.hosts.append(host)
            yield host

    def run(self) -> None:
        """Run the scenario until every request has its outcome."""
        for route in self.scenario.routes:
            if route.per_s:
                self._schedule_arrival(
                    route, random.Random(f'{self.seed} {route.name}')
                )
        self.clock.run()

    def _schedule_arrival(
        self, route: scenarios.Route, rng: random.Random
    ) -> None:
        phases = self._current_phases()
        factor = scenarios.rate_factor(self.scenario, phases, route.name)
        rate = route.per_s * factor
        if self.scenario.wave is not None:
            # The highest rate of the wave; `arrive` thins it by zone.
            rate *= 1 + self.scenario.wave.amplitude
        wait_s = rng.expovariate(rate)
        if self.clock.now + wait_s > self.scenario.seconds:
            return

        def arrive() -> None:
            self._schedule_arrival(route, rng)
            host = rng.choice(self.hosts)
            wave = self.scenario.wave
            if wave is None or rng.random() * (
                1 + wave.amplitude
            ) < wave.factor(host.zone_number, self.clock.now):
                customer = self._draw_customer(rng)
                Caller(self, host, route, customer).send()

        self.clock.after(wait_s, arrive)

    def _current_phases(self) -> list[scenarios.Phase]:
        return [
            phase
            for phase in self.scenario.phases
            if phase.start_s <= self.clock.now < phase.end_s
        ]

    def _draw_customer(self, rng: random.Random) -> str:
        if not self.scenario.customers:
            return ''
        rates = scenarios.customer_rates(self.scenario, self._current_phases())
        (index,) = rng.choices(range(len(rates)), rates)
        return str(index)

    def work_s(
        self,
        host: hosts.Host,
        route: scenarios.Route,
        request: forwarding.Order,
    ) -> float:
        """Return a random run time in seconds, longer on a degraded target."""
        shape = 1.0 / route.spread**2
        mean_s = route.work_ms / ingress.MS_IN_S * host.run_time_factor
        drawn_s = self.work_rng.gammavariate(shape, mean_s / shape)
        drawn_s *= host.slowdown(self.clock.now)
        if route.tail_share:
            rng = self.work_rng
            if route.tail_of_request:
                rng = random.Random(f'{self.seed} {request.attempt_id!r}')
            if rng.random() < route.tail_share:
                drawn_s *= route.tail_factor
        phase = self.degrading_phase(host)
        return drawn_s * phase.slower if phase is not None else drawn_s

    def degrading_phase(self, host: hosts.Host) -> scenarios.Phase | None:
        """Return the current phase if it degrades the host's target."""
        for phase in self.scenario.phases:
            if not phase.start_s <= self.clock.now < phase.end_s:
                continue
            if phase.ailing == host.service:
                service_hosts = self.by_service[host.service]
                if service_hosts.index(host) < phase.ailing_share * len(
                    service_hosts
                ):
                    return phase
        return None

    def call(
        self,
        host: hosts.Host,
        route: scenarios.Route,
        done: Callable[[bool], None],
    ) -> None:
        """Make a call of a target, through the ingress of its host."""
        result = self.route_results[route.name]
        started = self.clock.now

        def on_outcome(outcome: forwarding.Outcome) -> None:
            succeeded = outcome is hosts.SUCCEEDED
            self._count_outcome(
                result, route, outcome, self.clock.now - started
            )
            done(succeeded)

        # Without customers, calls of targets can't be told from callers.
        is_call = bool(self.scenario.customers)
        rank = customers.request_rank(0, route.rank, is_call)
        self.ingresses.send_request(host, route, rank, on_outcome, started)

    def _count_outcome(
        self,
        result: results.RouteResult,
        route: scenarios.Route,
        outcome: forwarding.Outcome,
        elapsed_s: float,
    ) -> float:
        """Count the outcome of a request; return the worth that it earned."""
        if isinstance(outcome, forwarding.Refused):
            result.refused += 1
            return 0.0
        if outcome is not hosts.SUCCEEDED:
            result.failed += 1
            return 0.0
        result.latency.add(elapsed_s)
        if elapsed_s <= route.objective_ms / ingress.MS_IN_S:
            result.in_time += 1
            return route.worth
        result.late += 1
        return route.late_worth

    def record_outcome(
        self,
        caller: 'Caller',
        outcome: forwarding.Outcome,
        elapsed_s: float,
    ) -> None:
        """Record the final outcome of a caller's request."""
        result = self.route_results[caller.route.name]
        earned = self._count_outcome(result, caller.route, outcome, elapsed_s)
        result.credit += earned
        result.owed += caller.route.worth
        result.refused_again += caller.refusals > 1
        self.by_zone.add(caller.host.zone, earned, caller.route.worth)
        self.by_customer.add(caller.customer, earned, caller.route.worth)


def _zone_turn(scenario: scenarios.Scenario) -> list[int]:
    """Return the zones in the order in which they get targets."""
    sizes = scenario.zone_sizes or (1,) * scenario.zones
    return [
        zone
        for turn in range(max(sizes))
        for zone, size in enumerate(sizes)
        if turn < size
    ]


class Caller:
    """The caller of one request, which retries after refusals."""

    def __init__(
        self,
        fleet: Fleet,
        host: hosts.Host,
        route: scenarios.Route,
        customer: str = '',
    ) -> None:
        self.fleet = fleet
        self.host = host
        self.route = route
        self.first_at = fleet.clock.now
        self.customer = customer
        self.retries_left = route.retries
        self.refusals = 0

    def send(self) -> None:
        self.fleet.ingresses.send_request(
            self.host,
            self.route,
            self.route.rank,
            self.on_outcome,
            self.first_at,
            self.customer,
        )

    def on_outcome(self, outcome: forwarding.Outcome) -> None:
        now = self.fleet.clock.now
        self.refusals += isinstance(outcome, forwarding.Refused)
        if isinstance(outcome, forwarding.Refused) and self.retries_left > 0:
            self.retries_left -= 1
            wait_s = outcome.retry_after_s or ingress.DEFAULT_RETRY_DELAY_S
            patience = self.fleet.scenario.patience
            if patience:
                deadline = (
                    self.first_at + self.route.deadline_ms / ingress.MS_IN_S
                )
                wait_s = min(wait_s, patience * (deadline - now))
            self.fleet.clock.after(wait_s, self.send)
            return
        self.fleet.record_outcome(self, outcome, now - self.first_at)


def simulate(
    scenario: scenarios.Scenario, seed: int, policy: str
) -> results.Result:
    """Run a scenario once, with the current values of the constants."""
    fleet = Fleet(scenario, seed)
    fleet.run()
    run_result = results.Result(
        policy, seed, len(fleet.hosts), fleet.clock.callbacks_run
    )
    run_result.routes = fleet.route_results
    run_result.credit_by_zone = fleet.by_zone.shares()
    run_result.credit_by_customer = fleet.by_customer.shares()
    run_result.hot_customers = {
        str(index) for phase in scenario.phases for index in phase.hot
    }
    return run_result
