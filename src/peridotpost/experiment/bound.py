"""The most that any policy could earn in a scenario, as a linear program.

Slots are a fluid here: a request that is served takes its slot time at its
own service and at each service that it calls; every service has so much of
it a second.  What is served of each route is chosen for the most worth.
Waiting, variance of runs, ways through the network and choices that turn
out wrong are left out, so no policy earns more, and a good one comes near
where arrivals are many.  What comes in the last moments is run after the
end: a play of a few seconds can earn some hundredths more.

What binds is told by the program's dual: what a slot more of a service
would earn in a second.
"""

import dataclasses

from peridotpost.experiment import scenario as scenarios

MS_IN_S = 1000.0
LEAST_WORTH_OF_SLOT = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """A time in which load and targets stay the same.

    :param owed: worth a second of all that is asked.
    :param earned: the most of it that the slots can serve.
    :param served: share of each route's requests that is served then.
    :param worth_of_slot: worth a second of one slot more, by service; of
        the services that bind only.
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
    """Return the bound for each part of a scenario.

    :raises ImportError: scipy is not installed.
    """
    edges = {0.0, scenario.seconds}
    for phase in scenario.phases:
        edges |= {phase.start_s, phase.end_s}
    times = sorted(one for one in edges if one <= scenario.seconds)
    return [
        _solve(scenario, start_s, end_s)
        for start_s, end_s in zip(times, times[1:], strict=False)
    ]


def credit_share(found: list[Interval]) -> float:
    """Return the bound over all intervals, of what is owed."""
    owed = sum(one.owed * (one.end_s - one.start_s) for one in found)
    earned = sum(one.earned * (one.end_s - one.start_s) for one in found)
    return earned / owed if owed else 1.0


def _solve(
    scenario: scenarios.Scenario, start_s: float, end_s: float
) -> Interval:
    from scipy import optimize

    phases = [
        one
        for one in scenario.phases
        if one.start_s < end_s and one.end_s > start_s
    ]
    load = 1.0
    for phase in phases:
        load *= phase.load
    asked = [one for one in scenario.routes if one.per_s]
    rates = [one.per_s * load for one in asked]
    services = scenario.services
    slot_time = [
        [_slot_time_s(scenario, route, service) for route in asked]
        for service in services
    ]
    room = [_slots(scenario, one, phases) for one in services]
    found = optimize.linprog(
        [-one.worth for one in asked],
        A_ub=slot_time,
        b_ub=room,
        bounds=[(0.0, rate) for rate in rates],
    )
    owed = sum(
        one.worth * rate for one, rate in zip(asked, rates, strict=True)
    )
    gains = {
        service.name: -float(gain)
        for service, gain in zip(
            services, found.ineqlin.marginals, strict=True
        )
        if -gain > LEAST_WORTH_OF_SLOT
    }
    served = {
        one.name: float(part) / rate
        for one, part, rate in zip(asked, found.x, rates, strict=True)
    }
    return Interval(start_s, end_s, owed, -float(found.fun), served, gains)


def _slot_time_s(
    scenario: scenarios.Scenario,
    route: scenarios.Route,
    service: scenarios.Service,
) -> float:
    """Return the slot time that one request of a route takes of a service.

    A run holds its slot until the slowest of its calls is answered.
    """
    routes = {one.name: one for one in scenario.routes}
    total_s = 0.0
    if route.service == service.name:
        waits = [
            call.share * routes[call.route].work_ms for call in route.calls
        ]
        total_s += (route.work_ms + max(waits, default=0.0)) / MS_IN_S
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
    """Return slots of a service, each counted by its target's speed."""
    count = service.count(scenario.zones)
    total = 0.0
    for index in range(count):
        speed = service.speeds[index % len(service.speeds)]
        for phase in phases:
            ails = phase.ailing == service.name
            if ails and index < phase.ailing_share * count:
                speed *= phase.slower / max(1e-6, 1 - phase.sheds)
        total += service.slots / speed
    return total
