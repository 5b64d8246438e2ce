"""Scenario files: JSON that is validated before the simulation starts."""

from collections.abc import Iterable
import math
import pathlib
from typing import Annotated

import msgspec

from peridotpost.model import errors

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


FULL_FROM = 0.7
"""Fraction of the slots from which ``Service.slower_when_full`` applies."""


class InvalidScenario(errors.PeridotError):
    """A scenario is invalid; the message names the field and the reason."""


class _StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the structures; rejects unknown fields such as misspelt ones."""


class Service(_StrictStruct, frozen=True):
    """A service and its targets.

    :param per_zone: targets in each zone, one per host.
    :param targets: if set, number of targets over all zones, which
        replaces `per_zone`; they are assigned to the zones in turn.
    :param speeds: factors on run times, assigned to the targets in turn.
    :param slower_when_full: factor on run times that start when all slots are
        taken; from ``FULL_FROM`` of the slots on it grows linearly from 1.
    """

    name: str
    slots: PositiveInt
    per_zone: PositiveInt = 1
    targets: Annotated[int, msgspec.Meta(ge=0)] = 0
    speeds: tuple[PositiveFloat, ...] = (1.0,)
    slower_when_full: PositiveFloat = 1.0

    def count(self, zones: int) -> int:
        """Return the number of targets in a fleet of `zones` zones."""
        return self.targets or self.per_zone * zones


class InnerCall(_StrictStruct, frozen=True):
    """Calls that a run makes to another route while it holds its slot.

    :param share: probability that a run makes them.
    """

    route: str
    times: PositiveInt = 1
    share: Fraction = 1.0


class Route(_StrictStruct, frozen=True):
    """A kind of request.

    :param per_s: requests per second over all zones; 0 for routes that
        are only called by other routes.
    :param objective_ms: time within which an answer earns `worth`.
    :param spread: coefficient of variation of the run time, which is
        gamma distributed.
    :param tail_share: fraction of the runs that take `tail_factor` times as
        long.
    :param tail_of_request: whether each run of such a request takes as long;
        otherwise only one of its runs does.
    :param rank: priority; 0 is the most urgent.
    :param worth: value of an answer within the objective; `late_worth` is
        that of a later one.
    :param retries: how often a caller retries after a refusal.
    :param kilobytes: size of request and answer, headers included.
    :param calls: calls that a run makes.
    :param waits: whether a run starts its work only after its calls are
        answered.
    """

    name: str
    service: str
    work_ms: PositiveFloat
    objective_ms: PositiveFloat
    deadline_ms: PositiveFloat
    per_s: NonNegative = 0.0
    spread: PositiveFloat = 0.5
    tail_share: Fraction = 0.0
    tail_factor: PositiveFloat = 1.0
    tail_of_request: bool = False
    rank: int = 0
    worth: NonNegative = 1.0
    late_worth: NonNegative = 0.3
    idempotent: bool = True
    max_attempts: PositiveInt = 2
    retries: int = 1
    kilobytes: NonNegative = 1.0
    calls: tuple[InnerCall, ...] = ()
    waits: bool = False


class Phase(_StrictStruct, frozen=True):
    """A period with a different load or with degraded targets.

    :param load: factor on the request rates.
    :param route: route that `load` applies to; '' for all.
    :param hot: indexes of customers whose request rates are multiplied by
        `hot_factor`.
    :param ailing: service with degraded targets.
    :param ailing_share: fraction of its targets that are degraded: runs
        take `slower` times as long, and a fraction `sheds` of the requests
        is refused.
    :param limit_per_s: requests per second that each degraded target states
        it accepts; 0 if it states no limit.
    """

    start_s: NonNegative
    end_s: PositiveFloat
    load: PositiveFloat = 1.0
    route: str = ''
    hot: tuple[int, ...] = ()
    hot_factor: PositiveFloat = 1.0
    ailing: str = ''
    ailing_share: Fraction = 0.0
    slower: PositiveFloat = 1.0
    sheds: Fraction = 0.0
    limit_per_s: NonNegative = 0.0


class Wave(_StrictStruct, frozen=True):
    """A sine wave of the demand, which reaches the zones one after the other.

    :param amplitude: greatest deviation from the mean, as a fraction of it.
    :param shift_s: delay from one zone to the next.
    """

    amplitude: Fraction
    period_s: PositiveFloat
    shift_s: NonNegative = 0.0

    def factor(self, zone: int, now: float) -> float:
        """Return the factor on a zone's request rates."""
        angle = 2 * math.pi * (now - zone * self.shift_s) / self.period_s
        return 1 + self.amplitude * math.sin(angle)


class Spells(_StrictStruct, frozen=True):
    """Short periods in which a target is slower, at random times.

    :param share: fraction of the targets that are in one at any moment.
    :param slower: factor on the runs that start in one.
    """

    share: Fraction
    slower: PositiveFloat
    mean_ms: PositiveFloat


class RetryBudgetConfig(_StrictStruct, frozen=True):
    """Retry budget of each service over the fleet.

    In a window, retries are at most `ratio` of the requests plus `extra`.
    """

    ratio: NonNegative = 0.2
    extra: NonNegative = 60.0
    window_s: PositiveFloat = 10.0


class Scenario(_StrictStruct, frozen=True):
    """A fleet, its load, and policies to compare.

    :param in_zone_ms: one-way network latency between hosts of a zone.
    :param cross_zone_ms: the same between hosts of different zones.
    :param zone_sizes: relative numbers of hosts of the zones, which get the
        targets of each service in a fixed turn; equal if empty.
    :param hedging: whether ingresses hedge requests.
    :param customers: relative request rates of the customers; empty if
        requests have no customer.
    :param patience: share of its remaining time that a refused caller waits
        at most, counted from its first attempt; 0 if it waits as long as it
        is told, with a new deadline for each attempt.
    :param policies: by name of the policy, values that override constants
        of decision modules, as ``module.CONSTANT``.
    """

    zones: PositiveInt
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    seconds: PositiveFloat = 30.0
    in_zone_ms: NonNegative = 0.2
    cross_zone_ms: NonNegative = 1.4
    retry_budget: RetryBudgetConfig = RetryBudgetConfig()
    phases: tuple[Phase, ...] = ()
    zone_sizes: tuple[PositiveInt, ...] = ()
    wave: Wave | None = None
    spells: Spells | None = None
    hedging: bool = False
    customers: tuple[PositiveFloat, ...] = ()
    patience: Fraction = 0.0
    policies: dict[str, dict[str, float]] = {}


def load(path: pathlib.Path) -> Scenario:
    """Read and validate a scenario.

    :raises InvalidScenario: with the file, the field and the reason.
    """
    try:
        scenario = msgspec.json.decode(path.read_bytes(), type=Scenario)
        _check(scenario)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise InvalidScenario(
            f'{error}; correct the scenario',
            step='scenario.load',
            peer=str(path),
        ) from error
    return scenario


def _check(scenario: Scenario) -> None:
    services = {service.name for service in scenario.services}
    routes = {known_route.name for known_route in scenario.routes}
    for route in scenario.routes:
        if route.service not in services:
            raise ValueError(
                f'route {route.name!r}: no service {route.service!r}'
            )
        for call in route.calls:
            if call.route not in routes:
                raise ValueError(
                    f'route {route.name!r} calls {call.route!r}, which is '
                    'not a route'
                )
    if len(scenario.zone_sizes) not in (0, scenario.zones):
        raise ValueError('zone_sizes: not one number for each zone')
    for phase in scenario.phases:
        if phase.ailing and phase.ailing not in services:
            raise ValueError(f'phase: no service {phase.ailing!r}')
        if phase.route and phase.route not in routes:
            raise ValueError(f'phase: no route {phase.route!r}')
        if any(index >= len(scenario.customers) for index in phase.hot):
            raise ValueError(f'phase: hot {phase.hot}: no such customer')


def rate_factor(
    scenario: Scenario, phases: Iterable[Phase], route: str
) -> float:
    """Return the factor on a route's request rate in `phases`."""
    factor = 1.0
    for phase in phases:
        if phase.route in ('', route):
            factor *= phase.load
    sizes = scenario.customers
    if sizes:
        factor *= sum(customer_rates(scenario, phases)) / sum(sizes)
    return factor


def customer_rates(scenario: Scenario, phases: Iterable[Phase]) -> list[float]:
    """Return the relative request rates of the customers in `phases`."""
    rates = list(scenario.customers)
    for phase in phases:
        for index in phase.hot:
            rates[index] *= phase.hot_factor
    return rates
