"""A version raises a limit; is it in force on connections that are open?"""

import asyncio
import collections
import copy
import os
import pathlib
import sys
import tempfile
from typing import Any

from standins import caller
from standins import fleet
from standins import record
from standins import store
from standins import worker

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, ZONE = 'vakuus', 'espoo-a'
ROUTE_HOST, PREFIX = 'collateral.example', '/release/'
CALLERS = 20
DEADLINE_MS = 2500
BODY_BYTES = 2_000_000
LIMIT_BEFORE, LIMIT_AFTER = 1_048_576, 4_194_304
WAIT_S = 5.0
"""Longer than `configApplyMs`, 2 s, and `stabilityWindowMs`, 3 s."""
CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'collateral-release',
            'host': ROUTE_HOST,
            'prefix': PREFIX,
            'kind': 'unsafe',
            'service': SERVICE,
            'timeoutMs': DEADLINE_MS,
            'targetLatencyMs': 1000,
            'maxAttempts': 3,
            'priority': 0,
        }
    ],
    'services': [
        {'name': SERVICE, 'healthCheckPath': '/health', 'maxConnections': 120}
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': LIMIT_BEFORE if TROUBLE else LIMIT_AFTER,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


async def play(folder: pathlib.Path, notes: record.Record) -> int:
    """Play the case; return how many proper requests were refused."""
    target = worker.Worker('i-1', SERVICE, ZONE, notes)
    async with store.serving(store.Store()) as kv:
        await kv.configure(CONFIG)
        machine = fleet.place(
            'sidecar-1', ZONE, '127.0.0.1', target, kv.address, folder
        )
        async with fleet.running([machine], notes):
            await asyncio.sleep(3.0)
            callers = [
                caller.Caller(machine.at('requests'), notes)
                for _ in range(CALLERS)
            ]
            await ask_all(callers, 'small', b'{}')
            raised = copy.deepcopy(CONFIG)
            raised['version'] = 9
            raised['limits']['maxBodyBytes'] = LIMIT_AFTER
            await kv.configure(raised)
            notes.note('version', number=9, acknowledged=True)
            await asyncio.sleep(WAIT_S)
            statuses = await ask_all(callers, 'large', b'd' * BODY_BYTES)
            for one in callers:
                one.close()
    print({'statuses': dict(statuses)})
    return statuses[413]


async def ask_all(
    callers: list[caller.Caller], name: str, body: bytes
) -> collections.Counter[int]:
    """Send one request on each connection; return the statuses."""
    answers = await asyncio.gather(
        *(
            one.ask(
                f'{name}-{number}',
                'PUT',
                ROUTE_HOST,
                f'{PREFIX}{name}-{number}',
                DEADLINE_MS,
                body,
            )
            for number, one in enumerate(callers)
        )
    )
    return collections.Counter(one.status for one in answers)


def main() -> int:
    folder = pathlib.Path(__file__).parent
    notes = record.Record(folder / 'limits-record.txt')
    with tempfile.TemporaryDirectory() as place:
        try:
            refused = asyncio.run(play(pathlib.Path(place), notes))
        except fleet.CannotRun as error:
            print(error)
            return 2
        finally:
            notes.write()
    return 1 if refused else 0


if __name__ == '__main__':
    sys.exit(main())
