"""A heartbeat lacks fields; is the drain of its worker still kept?"""

import asyncio
import collections
import os
import pathlib
import sys
import tempfile
import time

from standins import caller
from standins import fleet
from standins import record
from standins import store
from standins import worker

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, ZONE = 'myonto', 'espoo-a'
ROUTE_HOST, PREFIX = 'bonds.example', '/issue/'
CALLERS = 4
INTERVAL_S = 0.03
RUN_S = 0.06
DEADLINE_MS = 1500
DRAIN_S = 2.0
STAYS_S = 3.0
"""How long the leaving worker serves beyond the time that it has to."""
OTHER_WRITERS_SEQUENCE = 1000
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'bond-issue',
            'host': ROUTE_HOST,
            'prefix': PREFIX,
            'kind': 'unsafe',
            'service': SERVICE,
            'timeoutMs': 1500,
            'targetLatencyMs': 250,
            'maxAttempts': 3,
            'priority': 0,
        }
    ],
    'services': [
        {'name': SERVICE, 'healthCheckPath': '/health', 'maxConnections': 120}
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1048576,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class LeavingWorker(worker.Worker):
    """Drains on request, and notes the runs that come too late.

    :ivar acknowledged_at: when its draining was acknowledged; 0 before.
    :ivar late: runs that began later than the drain allows.
    """

    acknowledged_at = 0.0
    late: list[worker.Run]

    async def drain(self) -> None:
        """Report draining until that is acknowledged."""
        self.state = 'draining'
        while not await self.heartbeat():
            await asyncio.sleep(0.3)
        self.acknowledged_at = time.monotonic()
        self.notes.note('draining-acknowledged', worker=self.instance)

    async def leave(self) -> None:
        """Say that it leaves, and exit."""
        await self.call_control('leave', {'born': self.born})
        self.notes.note('exits', worker=self.instance)
        self.exit()

    def noting_answer(self, run: worker.Run) -> bytes:
        late_s = time.monotonic() - self.run_s - self.acknowledged_at
        if self.acknowledged_at and late_s > DRAIN_S:
            self.late.append(run)
            self.notes.note(
                'DRAIN', attempt=run.attempt, after_ms=round(late_s * 1000)
            )
        return self.sound_answer(run)


async def send_requests(
    number: int, address: str, notes: record.Record, ended: asyncio.Event
) -> collections.Counter[int]:
    """Send one caller's requests until the end; return their statuses."""
    client = caller.Caller(address, notes)
    count = 0
    statuses: collections.Counter[int] = collections.Counter()
    while not ended.is_set():
        attempt = f'{number}-{count:04d}'
        answer = await client.ask(
            attempt,
            'POST',
            ROUTE_HOST,
            f'{PREFIX}{attempt}',
            DEADLINE_MS,
            attempt.encode(),
        )
        statuses[answer.status] += 1
        count += 1
        await asyncio.sleep(INTERVAL_S)
    client.close()
    return statuses


async def send_incomplete_heartbeat(target: worker.Worker) -> None:
    """Send what another writer says of a worker, with fields missing."""
    body = target.heartbeat_body()
    for name in ('zone', 'version', 'coldRemainingMs'):
        del body[name]
    body['seq'] = OTHER_WRITERS_SEQUENCE
    await target.call_control('heartbeat', body)
    target.notes.note('incomplete-heartbeat', of=target.instance, body=body)


async def play(folder: pathlib.Path, notes: record.Record) -> int:
    """Play the case; return how many requests came after the drain."""
    leaving = LeavingWorker('i-1', SERVICE, ZONE, notes, RUN_S)
    leaving.late = []
    leaving.answer = leaving.noting_answer
    staying = worker.Worker('i-2', SERVICE, ZONE, notes, RUN_S)
    async with store.serving(store.Store()) as kv:
        await kv.configure(CONFIG)
        machines = [
            fleet.place(
                f'sidecar-{index + 1}',
                ZONE,
                f'127.0.0.{index + 1}',
                one,
                kv.address,
                folder,
            )
            for index, one in enumerate((leaving, staying))
        ]
        async with fleet.running(machines, notes):
            await asyncio.sleep(4.0)
            ended = asyncio.Event()
            callers = [
                asyncio.ensure_future(
                    send_requests(
                        number, machines[1].at('requests'), notes, ended
                    )
                )
                for number in range(CALLERS)
            ]
            await asyncio.sleep(1.0)
            if TROUBLE:
                await send_incomplete_heartbeat(leaving)
            await asyncio.sleep(4.0)
            await leaving.drain()
            await asyncio.sleep(DRAIN_S + STAYS_S)
            await leaving.leave()
            await asyncio.sleep(1.0)
            ended.set()
            statuses = sum(
                await asyncio.gather(*callers), collections.Counter()
            )
    summary = {
        'statuses': dict(statuses),
        'after_the_drain': len(leaving.late),
    }
    notes.note('summary', **summary)
    print(summary)
    return len(leaving.late)


def main() -> int:
    folder = pathlib.Path(__file__).parent
    notes = record.Record(folder / 'drain-record.txt')
    with tempfile.TemporaryDirectory() as place:
        try:
            late = asyncio.run(play(pathlib.Path(place), notes))
        except fleet.CannotRun as error:
            print(error)
            return 2
        finally:
            notes.write()
    return 1 if late else 0


if __name__ == '__main__':
    sys.exit(main())
