"""Policies on fleets that were drawn, not designed: none may lose.

    python -m bench.unseen_fleets [COUNT]

Draws zones, slots, speeds, depth of calls and overload, plays each fleet in
the model as built and with one constant replaced, and prints what callers
earned, beside the bound.  A constant that only suits the fleets it was
found on shows as a row in which as-built is behind by more than noise.
"""

import dataclasses
import random
import sys

import msgspec

from peridotpost.experiment import bound
from peridotpost.experiment import policies
from peridotpost.experiment import scenario as scenarios
from peridotpost.experiment import simulation

COUNT = 12
SECONDS = 8.0
POLICIES = {
    'as built': {},
    'no margin': {'slots.MARGIN': 0.0},
    'nobody late': {'slots.LATE_SHARE': 0.0},
    'far below 1': {'selection.FULL': 1.0},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """One drawn fleet; `depth` is how many services a request goes through.

    :param overload: arrivals' slot time over that of all slots.
    """

    zones: int
    slots: int
    per_zone: int
    depth: int
    overload: float
    speeds: tuple[float, ...]


def draw(dice: random.Random) -> Fleet:
    return Fleet(
        dice.randint(2, 6),
        dice.choice((4, 6, 12, 24, 40)),
        dice.randint(1, 2),
        dice.randint(0, 3),
        dice.choice((0.5, 0.8, 1.2, 2.0, 4.0)),
        tuple(dice.choice((0.6, 0.8, 1.0, 1.4, 1.8)) for _ in range(3)),
    )


def scenario_of(fleet: Fleet) -> scenarios.Scenario:
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
        _route(fleet, 'plain', 0, 2, 120, 400, 1),
        _route(fleet, 'urgent', 0, 1, 160, 500, 2),
        *(
            _route(fleet, f'call{level}', level, 1, 30, 120, 0)
            for level in range(1, fleet.depth + 1)
        ),
    ]
    return msgspec.convert(
        {
            'zones': fleet.zones,
            'seconds': SECONDS,
            'services': services,
            'routes': routes,
        },
        scenarios.Scenario,
    )


def _route(
    fleet: Fleet,
    name: str,
    level: int,
    rank: int,
    work_ms: int,
    objective_ms: int,
    worth: int,
) -> dict[str, object]:
    slots = fleet.zones * fleet.per_zone * fleet.slots
    mean_speed = sum(fleet.speeds) / len(fleet.speeds)
    fits = slots * 1000 / (work_ms * mean_speed)
    per_s = fleet.overload * fits / 2 if worth else 0
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
    dice = random.Random(5)
    names = '  '.join(f'{name:>11}' for name in POLICIES)
    head = f'{"zones":>5} {"slots":>5} {"depth":>5} {"load":>4} {"bound":>6}'
    print(f'{head}  {names}', flush=True)
    for _ in range(count):
        fleet = draw(dice)
        scenario = scenario_of(fleet)
        most = bound.credit_share(bound.intervals(scenario))
        found = []
        for name in POLICIES:
            with policies.replaced(POLICIES[name]):
                played = simulation.play(scenario, 1, name)
            found.append(f'{played.credit_share:>11.3f}')
        print(
            f'{fleet.zones:>5} {fleet.slots:>5} {fleet.depth:>5} '
            f'{fleet.overload:>4} {most:>6.3f}  {"  ".join(found)}',
            flush=True,
        )


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else COUNT)
