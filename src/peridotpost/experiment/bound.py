"""Upper bound on the credit of any policy, by a linear program.

The program is a fluid relaxation: a served request uses slot time at its
own service and at each service that it calls, and each service has a fixed
amount of slot time per second.  The served rate of each route is chosen to
maximise the total worth.  Queueing, variance of run times, network latency
and wrong choices of targets are left out, so no policy earns more, and a
good policy comes close when arrivals are frequent.  Requests that arrive
last are run after the end of the scenario, so a simulation of a few seconds
can exceed the bound by some hundredths.

The dual values show which services limit the result: what one more slot of
a service would earn per second.
"""

import dataclasses

from peridotpost.experiment import scenario as scenarios

MS_IN_S = 1000.0
MIN_SLOT_WORTH = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """The bound for a period of constant load and target state.

    :param owed: worth per second of all requests.
    :param earned: the most of it that the slots can serve.
    :param served: fraction of each route's requests served in the optimum.
    :param worth_of_slot: worth per second of one additional slot, by
        service; only services whose slots limit the result.
    """

    start_s: float
    end_s: float
    owed: float
    earned: float
    served: dict[str, float]
    worth_of_slot: dict[str, float]

    @property
    def share(self) -> float:
        return self.earned / self.owed if self.owed else 1.0


def intervals(scenario: scenarios.Scenario) -> list[Interval]:
    """Return the bound for each period of a scenario.

    :raises ImportError: scipy is not installed.
    """
    edges = {0.0, scenario.seconds}
    for phase in scenario.phases:
        edges |= {phase.start_s, phase.end_s}
    times = sorted(edge for edge in edges if edge <= scenario.seconds)
    return [
        _solve_interval(scenario, start_s, end_s)
        for start_s, end_s in zip(times, times[1:], strict=False)
    ]


def credit_share(periods: list[Interval]) -> float:
    """Return the bound over all periods, as a fraction of the owed worth."""
    owed = sum(
        period.owed * (period.end_s - period.start_s) for period in periods
    )
    earned = sum(
        period.earned * (period.end_s - period.start_s) for period in periods
    )
    return earned / owed if owed else 1.0


def _solve_interval(
    scenario: scenarios.Scenario, start_s: float, end_s: float
) -> Interval:
    from scipy import optimize

    phases = [
        active_phase
        for active_phase in scenario.phases
        if active_phase.start_s < end_s and active_phase.end_s > start_s
    ]
    entry_routes = [
        entry_route for entry_route in scenario.routes if entry_route.per_s
    ]
    rates = [
        entry_route.per_s
        * scenarios.rate_factor(scenario, phases, entry_route.name)
        for entry_route in entry_routes
    ]
    services = scenario.services
    slot_time = [
        [_slot_time_s(scenario, route, service) for route in entry_routes]
        for service in services
    ]
    capacity = [
        _slots(scenario, known_service, phases) for known_service in services
    ]
    solution = optimize.linprog(
        [-entry_route.worth for entry_route in entry_routes],
        A_ub=slot_time,
        b_ub=capacity,
        bounds=[(0.0, rate) for rate in rates],
    )
    owed = sum(
        entry_route.worth * rate
        for entry_route, rate in zip(entry_routes, rates, strict=True)
    )
    slot_worth = {
        service.name: -float(marginal)
        for service, marginal in zip(
            services, solution.ineqlin.marginals, strict=True
        )
        if -marginal > MIN_SLOT_WORTH
    }
    served = {
        entry_route.name: float(served_rate) / rate
        for entry_route, served_rate, rate in zip(
            entry_routes, solution.x, rates, strict=True
        )
    }
    return Interval(
        start_s, end_s, owed, -float(solution.fun), served, slot_worth
    )


def _slot_time_s(
    scenario: scenarios.Scenario,
    route: scenarios.Route,
    service: scenarios.Service,
) -> float:
    """Return the slot time of a service that one request of a route uses.

    A run holds its slot until the slowest of its calls is answered.
    """
    routes = {known_route.name: known_route for known_route in scenario.routes}
    total_s = 0.0
    if route.service == service.name:
        call_times_ms = [
            call.share * routes[call.route].work_ms for call in route.calls
        ]
        total_s += (route.work_ms + max(call_times_ms, default=0.0)) / MS_IN_S
    for call in route.calls:
        called = routes[call.route]
        per_call_s = _slot_time_s(scenario, called, service)
        total_s += call.share * call.times * per_call_s
    return total_s


def _slots(
    scenario: scenarios.Scenario,
    service: scenarios.Service,
    phases: list[scenarios.Phase],
) -> float:
    """Return the slots of a service, each divided by its run time factor."""
    count = service.count(scenario.zones)
    total = 0.0
    for index in range(count):
        factor = service.speeds[index % len(service.speeds)]
        for phase in phases:
            is_degraded = phase.ailing == service.name
            if is_degraded and index < phase.ailing_share * count:
                factor *= phase.slower / max(1e-6, 1 - phase.sheds)
        total += service.slots / factor
    return total
