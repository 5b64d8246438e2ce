"""Compares policies on randomly generated fleets.

    python -m bench.unseen_fleets [COUNT]

Draws zones, slots, speeds, call depth and overload at random.  Simulates
each fleet with the constants as built and with one constant replaced, and
prints the callers' share of credit and its upper bound.  If a constant is
overfitted to the fleets it was tuned on, `as built` is lower than another
policy in some row by more than noise.
"""

import dataclasses
import random
import sys

import msgspec

from peridotpost.experiment import bound
from peridotpost.experiment import policies
from peridotpost.experiment import scenario as scenarios
from peridotpost.experiment import simulation

DEFAULT_FLEET_COUNT = 12
DURATION_S = 8.0
POLICIES = {
    'as built': {},
    'no margin': {'slots.MARGIN': 0.0},
    'none late': {'slots.LATE_SHARE': 0.0},
    'full from 1': {'selection.FULL_LOAD': 1.0},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """A randomly generated fleet.

    :param depth: the number of nested calls below the entry service.
    :param overload: demanded slot time divided by available slot time.
    """

    zones: int
    slots: int
    per_zone: int
    depth: int
    overload: float
    speeds: tuple[float, ...]


def draw_fleet(randomness: random.Random) -> Fleet:
    return Fleet(
        randomness.randint(2, 6),
        randomness.choice((4, 6, 12, 24, 40)),
        randomness.randint(1, 2),
        randomness.randint(0, 3),
        randomness.choice((0.5, 0.8, 1.2, 2.0, 4.0)),
        tuple(randomness.choice((0.6, 0.8, 1.0, 1.4, 1.8)) for _ in range(3)),
    )


def make_scenario(fleet: Fleet) -> scenarios.Scenario:
    """Return a scenario: a chain of services, an urgent and a plain route."""
    services = [
        {
            'name': f's{level}',
            'per_zone': fleet.per_zone,
            'slots': fleet.slots,
            'speeds': fleet.speeds,
        }
        for level in range(fleet.depth + 1)
    ]
    routes = [
        _make_route(fleet, 'plain', 0, 2, 120, 400, 1),
        _make_route(fleet, 'urgent', 0, 1, 160, 500, 2),
        *(
            _make_route(fleet, f'call{level}', level, 1, 30, 120, 0)
            for level in range(1, fleet.depth + 1)
        ),
    ]
    return msgspec.convert(
        {
            'zones': fleet.zones,
            'seconds': DURATION_S,
            'services': services,
            'routes': routes,
        },
        scenarios.Scenario,
    )


def _make_route(
    fleet: Fleet,
    name: str,
    level: int,
    rank: int,
    work_ms: int,
    objective_ms: int,
    worth: int,
) -> dict[str, object]:
    slots = fleet.zones * fleet.per_zone * fleet.slots
    mean_run_time_factor = sum(fleet.speeds) / len(fleet.speeds)
    capacity_per_s = slots * 1000 / (work_ms * mean_run_time_factor)
    per_s = fleet.overload * capacity_per_s / 2 if worth else 0
    calls = []
    if level < fleet.depth:
        calls = [{'route': f'call{level + 1}', 'share': 0.5}]
    return {
        'name': name,
        'service': f's{level}',
        'per_s': per_s,
        'work_ms': work_ms,
        'objective_ms': objective_ms,
        'deadline_ms': 2 * objective_ms,
        'rank': rank,
        'worth': worth,
        'late_worth': 0.3 * worth,
        'calls': calls,
    }


def main(count: int) -> None:
    randomness = random.Random(5)
    names = '  '.join(f'{name:>11}' for name in POLICIES)
    head = f'{"zones":>5} {"slots":>5} {"depth":>5} {"load":>4} {"bound":>6}'
    print(f'{head}  {names}', flush=True)
    for _ in range(count):
        fleet = draw_fleet(randomness)
        scenario = make_scenario(fleet)
        credit_bound = bound.credit_share(bound.intervals(scenario))
        columns = []
        for name in POLICIES:
            with policies.override_constants(POLICIES[name]):
                result = simulation.simulate(scenario, 1, name)
            columns.append(f'{result.credit_share:>11.3f}')
        print(
            f'{fleet.zones:>5} {fleet.slots:>5} {fleet.depth:>5} '
            f'{fleet.overload:>4} {credit_bound:>6.3f}  {"  ".join(columns)}',
            flush=True,
        )


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_FLEET_COUNT)
