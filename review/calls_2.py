"""Workers that go on working while the processes beside them are killed."""

import asyncio
import contextlib
import itertools
import pathlib
import time

from shared_2 import case
from shared_2 import fleet as fleets
from shared_2 import wire
from shared_2 import worker as workers

KEY = 'k7f2m9q4x1'
SLOTS = 6
DEADLINE_MS = 4000
WORK_S = 1.6
CALL_AFTER_S = 1.4
RESTART_DELAY_S = 0.3
HERD_KILLS = 5
HERD_INTERVAL_S = 7.0
STABILITY_WINDOW_S = 3.0
MAX_OUT_OF_TOUCH = 10
MAX_IN_TOUCH, IN_TOUCH_SHARE = 5, 1 / 500
PLAY_S = 38.0
HERD = ('promote-a', 'promote-b', 'promote-c')
"""Three machines of seven: a share of 0.43."""


class Calls:
    """The calls of runs, with their answers.

    :param started_at: when the process of each machine was last started, by
        this case after a kill; 0 if it runs since the beginning.
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.started_at: dict[str, float] = {}
        self.answers: list[tuple[str, int, bool]] = []

    async def run(
        self,
        worker: workers.Worker,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request to its end, even if its connection closes."""
        attempt = request.headers['x-attempt-id']
        if '.' in attempt:
            await asyncio.sleep(0.04)
            writer.write(worker.render(request))
            await writer.drain()
            return True
        ends = time.monotonic() + DEADLINE_MS / 1000
        await asyncio.sleep(CALL_AFTER_S)
        host = next(
            host for host in self.fleet.hosts.values() if host.worker is worker
        )
        left_ms = int((ends - time.monotonic()) * 1000)
        sent_at = time.monotonic()
        status = await host.ask(
            f'/lookup/of?run={attempt}',
            f'{attempt}.1',
            deadline_ms=min(500, left_ms),
        )
        up_s = sent_at - self.started_at.get(host.name, 0.0)
        self.answers.append((attempt, status, up_s > STABILITY_WINDOW_S))
        await asyncio.sleep(WORK_S - CALL_AFTER_S)
        self.fleet.record.note('run ended', attempt=attempt, ok=status == 200)
        with contextlib.suppress(OSError):
            if status == 200:
                writer.write(worker.render(request))
            else:
                writer.write(worker.render(request).replace(b'200', b'500', 1))
            await writer.drain()
        return True


async def play(fleet: fleets.Fleet) -> list[str]:
    """Kill three of seven processes while their workers run requests."""
    calls = Calls(fleet)
    for name, zone, service in (
        ('promote-a', 'ch-a', 'promote'),
        ('promote-b', 'ch-b', 'promote'),
        ('promote-c', 'ch-c', 'promote'),
        ('promote-d', 'ch-a', 'promote'),
        ('lookup-a', 'ch-a', 'lookup'),
        ('lookup-b', 'ch-b', 'lookup'),
        ('lookup-c', 'ch-c', 'lookup'),
    ):
        worker = fleet.add(name, zone, service).worker
        worker.behaviour = calls.run
        worker.slots = SLOTS
        worker.slot = asyncio.Semaphore(SLOTS)
    config = fleets.config(
        1,
        [
            fleets.route('promote', 'promote', 'unsafe', DEADLINE_MS),
            fleets.route('lookup', 'lookup', timeout_ms=500),
        ],
        ['promote', 'lookup'],
    )
    config['tenants'] = [
        {
            'name': 'agency',
            'apiKeys': [KEY],
            'priority': 1,
            'ratePerS': 256,
            'burst': 256,
        }
    ]
    await fleet.start(config)
    await asyncio.sleep(2 * STABILITY_WINDOW_S)
    numbers = itertools.count(1)
    end = time.monotonic() + PLAY_S
    clients = asyncio.gather(
        *(
            _client(fleet, list(fleet.hosts.values())[index % 7], numbers, end)
            for index in range(4 * SLOTS)
        )
    )
    await asyncio.sleep(1.0)
    if case.TROUBLE:
        for _ in range(HERD_KILLS):
            await _kill_herd(fleet, calls)
            await asyncio.sleep(HERD_INTERVAL_S)
    await clients
    await asyncio.sleep(WORK_S)
    return _judge(fleet, calls)


async def _kill_herd(fleet: fleets.Fleet, calls: Calls) -> None:
    """Kill the processes at once; each is started again after a delay."""
    herd = [fleet.hosts[name] for name in HERD]
    for host in herd:
        fleet.record.note('SIGKILL', host=host.name)
        calls.started_at[host.name] = float('inf')
    await asyncio.gather(*(host.kill() for host in herd))
    await asyncio.sleep(RESTART_DELAY_S)
    for host in herd:
        await host.start()
        calls.started_at[host.name] = host.started_at
        fleet.record.note('started', host=host.name)


async def _client(
    fleet: fleets.Fleet,
    host: fleets.Host,
    numbers: 'itertools.count[int]',
    end: float,
) -> None:
    """Send one unsafe request after the other."""
    while time.monotonic() < end:
        number = next(numbers)
        await host.ask(
            f'/promote/{number}',
            f'attempt-{number}',
            'POST',
            deadline_ms=DEADLINE_MS,
            body=b'release',
            headers={'Authorization': f'Token {KEY}'},
        )
        await asyncio.sleep(0.1)


def _judge(fleet: fleets.Fleet, calls: Calls) -> list[str]:
    """Count the calls that were ended with a 401, 403 or 404."""
    for attempt, status, in_touch in calls.answers:
        fleet.record.note('call', of=attempt, status=status, in_touch=in_touch)
    denied = [one for one in calls.answers if one[1] in (401, 403, 404)]
    out = sum(not in_touch for _, _, in_touch in denied)
    total = len(calls.answers) + sum(
        len(host.worker.runs) for host in fleet.hosts.values()
    )
    fleet.record.note('denied', out_of_touch=out, in_touch=len(denied) - out)
    if (
        out > MAX_OUT_OF_TOUCH
        or len(denied) - out > MAX_IN_TOUCH + total * IN_TOUCH_SHARE
    ):
        return [
            f'{len(denied)} of {len(calls.answers)} calls were denied, {out} '
            'of them by machines out of touch'
        ]
    return []


if __name__ == '__main__':
    case.run(pathlib.Path(__file__).with_name('calls_2-record.txt'), play)
