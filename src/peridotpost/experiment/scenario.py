"""Scenarios: JSON, checked before anything runs."""

import pathlib
from typing import Annotated

import msgspec

from peridotpost.model import errors

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class BadScenario(errors.PeridotError):
    """A scenario can't be used; says which field and why."""


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A misspelt field is an error, not a default."""


class Service(_Strict, frozen=True):
    """Targets of one service.

    :param per_zone: targets in each zone, one a host.
    :param targets: of all zones instead, dealt to them in turn.
    :param speeds: factors on the time of a run, in turn over the targets.
    """

    name: str
    slots: Count
    per_zone: Count = 1
    targets: Annotated[int, msgspec.Meta(ge=0)] = 0
    speeds: tuple[Positive, ...] = (1.0,)

    def count(self, zones: int) -> int:
        """Return how many targets there are in so many zones."""
        return self.targets or self.per_zone * zones


class InnerCall(_Strict, frozen=True):
    """Calls that a run makes while it holds its slot.

    :param share: of the runs that make them.
    """

    route: str
    times: Count = 1
    share: Share = 1.0


class Route(_Strict, frozen=True):
    """A kind of request.

    :param per_s: requests a second over all zones; 0 for inner calls.
    :param spread: of the run's time, as a share of its mean (gamma).
    :param worth: of an answer within the objective; `late_worth` after.
    :param retries: how often a refused caller comes back.
    :param kilobytes: request and answer together, with their heads.
    :param waits: whether a run works only once its calls are answered.
    """

    name: str
    service: str
    work_ms: Positive
    objective_ms: Positive
    deadline_ms: Positive
    per_s: NotNegative = 0.0
    spread: Positive = 0.5
    rank: int = 0
    worth: NotNegative = 1.0
    late_worth: NotNegative = 0.3
    idempotent: bool = True
    max_attempts: Count = 2
    retries: int = 1
    kilobytes: NotNegative = 1.0
    calls: tuple[InnerCall, ...] = ()
    waits: bool = False


class Phase(_Strict, frozen=True):
    """A time in which the load or the targets differ.

    :param load: factor on all rates.
    :param ailing_share: of a service's targets that run `slower` times as
        long and turn away `sheds` of what they get; the service is `ailing`.
    """

    start_s: NotNegative
    end_s: Positive
    load: Positive = 1.0
    ailing: str = ''
    ailing_share: Share = 0.0
    slower: Positive = 1.0
    sheds: Share = 0.0


class Retries(_Strict, frozen=True):
    """Bound on repeats over the fleet."""

    ratio: NotNegative = 0.2
    extra: NotNegative = 60.0
    window_s: Positive = 10.0


class Scenario(_Strict, frozen=True):
    """A fleet, its load, and policies to compare.

    :param in_zone_ms: one way between hosts of a zone.
    :param policies: by name, constants of decision modules to replace,
        as ``module.CONSTANT``.
    """

    zones: Count
    services: tuple[Service, ...]
    routes: tuple[Route, ...]
    seconds: Positive = 30.0
    in_zone_ms: NotNegative = 0.2
    cross_zone_ms: NotNegative = 1.4
    retry_budget: Retries = Retries()
    phases: tuple[Phase, ...] = ()
    policies: dict[str, dict[str, float]] = {}


def load(path: pathlib.Path) -> Scenario:
    """Read and check a scenario.

    :raises BadScenario: with the file, the field and what is wrong.
    """
    try:
        found = msgspec.json.decode(path.read_bytes(), type=Scenario)
        _check(found)
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise BadScenario(
            f'{error}; correct the scenario',
            step='scenario.load',
            peer=str(path),
        ) from error
    return found


def _check(scenario: Scenario) -> None:
    services = {one.name for one in scenario.services}
    routes = {one.name for one in scenario.routes}
    for route in scenario.routes:
        if route.service not in services:
            raise ValueError(
                f'route {route.name!r}: no service {route.service!r}'
            )
        for call in route.calls:
            if call.route not in routes:
                raise ValueError(
                    f'route {route.name!r} calls {call.route!r}, which is '
                    'no route'
                )
    for phase in scenario.phases:
        if phase.ailing and phase.ailing not in services:
            raise ValueError(f'a phase ails {phase.ailing!r}: no service')
