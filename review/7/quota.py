"""A tenant grows hot while machines are cut off from the others."""

import asyncio
import itertools
import pathlib
import random
import time

from shared_2 import case
from shared_2 import fleet as fleets

KEY = 'k7f2m9q4x1'
RATE_PER_S, BURST = 40.0, 40.0
USUAL_PER_S = RATE_PER_S / 1.6
HOT_FACTOR, HOT_FOR_S = 9.3, 6.6
HOT_AFTER_S = 5.0
CUT_FOR_S = 12.0
CUT_OFF = ('desk-e', 'desk-f')
"""Two machines of six: a share of 0.33."""
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
SLOTS = 40


async def play(fleet: fleets.Fleet) -> list[str]:
    """Cut two machines off; compare what runs with the tenant's quota."""
    for index, name in enumerate('abcdef'):
        host = fleet.add(f'desk-{name}', 'abc'[index % 3], 'desk')
        host.worker.slots = SLOTS
        host.worker.slot = asyncio.Semaphore(SLOTS)
        host.settings_changes = {
            'quotas': {
                'window_s': WINDOW_S,
                'overshoot': OVERSHOOT,
                'slack': SLACK,
            }
        }
    network = await fleet.relay_peers()
    config = fleets.config(
        1, [fleets.route('read', 'desk', timeout_ms=1200)], ['desk']
    )
    config['tenants'] = [
        {
            'name': 'agency',
            'apiKeys': [KEY],
            'priority': 1,
            'ratePerS': RATE_PER_S,
            'burst': BURST,
        }
    ]
    await fleet.start(config)
    await asyncio.sleep(6.0)
    random.seed(56)
    numbers = itertools.count(1)
    usual = asyncio.ensure_future(_send(fleet, USUAL_PER_S, numbers))
    await asyncio.sleep(WINDOW_S)
    if case.TROUBLE:
        network.cut_off(CUT_OFF)
        fleet.record.note('cut off', machines=' '.join(CUT_OFF))
    await asyncio.sleep(HOT_AFTER_S)
    fleet.record.note('hot', factor=HOT_FACTOR)
    hot = asyncio.ensure_future(
        _send(fleet, USUAL_PER_S * (HOT_FACTOR - 1), numbers)
    )
    await asyncio.sleep(HOT_FOR_S)
    hot.cancel()
    fleet.record.note('not hot any more')
    await asyncio.sleep(CUT_FOR_S - HOT_AFTER_S - HOT_FOR_S)
    network.heal()
    fleet.record.note('healed')
    await asyncio.sleep(3.0)
    usual.cancel()
    await asyncio.sleep(1.5)
    return _judge(fleet)


async def _send(
    fleet: fleets.Fleet, per_s: float, numbers: 'itertools.count[int]'
) -> None:
    """Send requests of the tenant at random machines until cancelled."""
    hosts = list(fleet.hosts.values())
    asking = set()
    while True:
        await asyncio.sleep(random.expovariate(per_s))
        number = next(numbers)
        task = asyncio.ensure_future(
            random.choice(hosts).ask(
                f'/read/{number}?ms=5',
                f'attempt-{number}',
                deadline_ms=1200,
                headers={'Authorization': f'Token {KEY}'},
            )
        )
        asking.add(task)
        task.add_done_callback(asking.discard)


def _judge(fleet: fleets.Fleet) -> list[str]:
    """Return whether more ran in some window than the quota allows."""
    runs = sorted(
        (note['at'], note['attempt'], host.name)
        for host in fleet.hosts.values()
        for note in host.worker.runs
    )
    for at, attempt, name in runs:
        fleet.record.note(
            'run',
            at=round(at - fleet.record.start, 3),
            attempt=attempt,
            worker_of=name,
        )
    most, first, ends = 0, 0, 0.0
    for last, (at, _, _) in enumerate(runs):
        while runs[first][0] < at - WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, ends = last - first + 1, at
    within = [name for at, _, name in runs if ends - WINDOW_S <= at <= ends]
    alone = sum(name in CUT_OFF for name in within)
    fleet.record.note(
        'most',
        runs=most,
        allowed=ALLOWED,
        by_cut_off=alone,
        until=round(ends - fleet.record.start, 3),
        now=round(time.monotonic() - fleet.record.start, 3),
    )
    if most <= ALLOWED:
        return []
    return [
        f'{most} requests of the tenant ran within 5 s, {ALLOWED:.0f} are '
        f'allowed; {alone} of them at the machines that were cut off'
    ]


if __name__ == '__main__':
    case.run(pathlib.Path(__file__).with_name('record.txt'), play)
