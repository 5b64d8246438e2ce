"""A worker leaves; then all processes are killed at the same moment."""

import asyncio
import itertools
import pathlib
import time

from shared_2 import case
from shared_2 import fleet as fleets

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
KILL_AFTER_S = 0.3
RESTART_DELAY_S = 0.4
HEARTBEAT_LATE_S = 2.8
SERVES_ON_S = 9.0
"""A worker serves for `drainMs` and longer, at times many seconds."""
CLIENTS = 24


async def play(fleet: fleets.Fleet) -> list[str]:
    """Return the requests that the worker ran after it had drained."""
    for name, zone, service in (
        ('reg-a', 'a', 'register'),
        ('reg-b', 'b', 'register'),
        ('reg-c', 'a', 'register'),
        ('reg-d', 'b', 'register'),
        ('iss-a', 'a', 'issue'),
        ('iss-b', 'b', 'issue'),
        ('iss-c', 'a', 'issue'),
        ('iss-d', 'b', 'issue'),
    ):
        fleet.add(name, zone, service)
    await fleet.start(
        fleets.config(
            1,
            [
                fleets.route('read', 'register'),
                fleets.route('issue', 'issue', 'unsafe', timeout_ms=1500),
            ],
            ['register', 'issue'],
        )
    )
    await asyncio.sleep(2 * STABILITY_WINDOW_S)
    stop = asyncio.Event()
    numbers = itertools.count(1)
    sent: dict[str, float] = {}
    clients = asyncio.gather(
        *(
            _client(
                fleet,
                list(fleet.hosts.values())[index % 8],
                numbers,
                sent,
                stop,
            )
            for index in range(CLIENTS)
        )
    )
    await asyncio.sleep(2.0)
    started_at, acknowledged_at = await _leave_and_kill(fleet)
    await asyncio.sleep(
        max(0.0, acknowledged_at + SERVES_ON_S - time.monotonic())
    )
    worker = fleet.hosts['iss-a'].worker
    await worker.stop()
    stop.set()
    await clients
    in_touch_from = started_at + STABILITY_WINDOW_S
    bound = max(acknowledged_at + DRAIN_S, in_touch_from)
    broken = []
    for note in worker.runs:
        if note['at'] > acknowledged_at:
            fleet.record.note(
                'run by the leaving worker',
                attempt=note['attempt'],
                after_ack_s=round(note['at'] - acknowledged_at, 3),
            )
        if sent[note['attempt']] > bound:
            broken.append(
                f'{note["attempt"]} reached the worker '
                f'{note["at"] - acknowledged_at:.1f} s after its leaving '
                'was acknowledged'
            )
    fleet.record.note('total', sent=len(sent), late=len(broken))
    return broken[:20]


async def _leave_and_kill(fleet: fleets.Fleet) -> tuple[float, float]:
    """Let a worker leave, and kill all processes.

    :return: when the last process was started, and when the worker's leaving
        was acknowledged.
    """
    worker = fleet.hosts['iss-a'].worker
    assert worker.beating is not None
    worker.beating.cancel()
    late = asyncio.ensure_future(_late_heartbeat(fleet))
    await asyncio.sleep(0.05)
    acknowledged = await worker.call('instances.leave', {'born': worker.born})
    acknowledged_at = time.monotonic()
    fleet.record.note('leave', worker=worker.instance, ok=acknowledged)
    if not acknowledged:
        raise RuntimeError('the leaving was not acknowledged')
    started_at = 0.0
    await asyncio.sleep(KILL_AFTER_S)
    if case.TROUBLE:
        hosts = list(fleet.hosts.values())
        fleet.record.note('SIGKILL', hosts=len(hosts))
        await asyncio.gather(*(host.kill() for host in hosts))
        await asyncio.sleep(RESTART_DELAY_S)
        for host in hosts:
            await host.start()
        await fleet.wait_ready()
        started_at = max(host.started_at for host in hosts)
        fleet.record.note('started', hosts=len(hosts))
    await late
    return started_at, acknowledged_at


async def _late_heartbeat(fleet: fleets.Fleet) -> None:
    """Send the worker's last heartbeat, which arrives seconds late."""
    worker = fleet.hosts['iss-a'].worker
    worker.sequence += 1
    sequence = worker.sequence
    fleet.record.note('heartbeat sent', seq=sequence)
    await asyncio.sleep(HEARTBEAT_LATE_S)
    taken = await worker.heartbeat(seq=sequence)
    fleet.record.note('heartbeat arrived', seq=sequence, taken=taken)


async def _client(
    fleet: fleets.Fleet,
    host: fleets.Host,
    numbers: 'itertools.count[int]',
    sent: dict[str, float],
    stop: asyncio.Event,
) -> None:
    """Send one unsafe request after the other."""
    while not stop.is_set():
        attempt = f'attempt-{next(numbers)}'
        sent[attempt] = time.monotonic()
        await host.ask(
            f'/issue/{attempt}',
            attempt,
            'POST',
            deadline_ms=1500,
            body=b'bond',
        )
        await asyncio.sleep(0.05)


if __name__ == '__main__':
    case.run(pathlib.Path(__file__).with_name('record.txt'), play)
