"""A target as a process: announces itself, runs requests, notes them.

On SIGTERM it drains: it says so until that is acknowledged, serves on for
``DRAIN_S``, then leaves and ends.  From SIGUSR1 to SIGUSR2 it turns all
requests away.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import time
from typing import Any
from urllib import parse

import click

from testing.standins import worker as worker_standin

BEAT_S = 0.4
DRAIN_S = 2.0
CALL_TIMEOUT_S = 1.0


class NotingWorker(worker_standin.Worker):
    """Writes a line for each run before the run has any effect."""

    def __init__(
        self, instance: str, service: str, slots: int, path: str
    ) -> None:
        super().__init__(instance, slots)
        self.service = service
        # Unbuffered: the process may be killed at any moment.
        self.file = open(path, 'ab', buffering=0)

    def note(self, event: str, **fields: Any) -> None:
        line = {'at': time.monotonic(), 'event': event}
        line |= {'instance': self.instance, 'service': self.service}
        line |= fields
        self.file.write(json.dumps(line).encode() + b'\n')

    def answer(self, run: worker_standin.Run, body: bytes = b'') -> bytes:
        return super().answer(run, body or made_by(self.instance, run.attempt))


def made_by(instance: str, attempt: str) -> bytes:
    """Return the body that a target makes for an attempt."""
    return f'{instance} ran {attempt}'.encode()


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


async def _work(
    worker: worker_standin.Worker,
    run: worker_standin.Run,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    query = parse.parse_qs(run.target.partition('?')[2])
    await asyncio.sleep(int(query.get('ms', ['0'])[0]) / 1000)
    writer.write(worker.answer(run))
    return True


def _noted(action: worker_standin.Action) -> worker_standin.Action:
    async def act(
        worker: worker_standin.Worker,
        run: worker_standin.Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        assert isinstance(worker, NotingWorker)
        worker.note(
            'run',
            attempt=run.attempt,
            method=run.method,
            target=run.target,
            digest=digest(run.body),
            told_ms=int(run.headers.get('x-deadline-remaining-ms', -1)),
        )
        return await action(worker, run, reader, writer)

    return act


class Announcer:
    """Tells the daemon beside it how the target stands."""

    def __init__(self, worker: NotingWorker, announced: str, to: str) -> None:
        self.worker = worker
        self.announced = announced
        self.address, _, port = to.rpartition(':')
        self.port = int(port)
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000

    async def beat(self, state: str) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        told = {
            'service': self.worker.service,
            'address': self.announced,
            'slots': self.worker.slots,
            'state': state,
            'coldRemainingMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }
        return await self._call('instances.heartbeat', told)

    async def leave(self) -> bool:
        return await self._call('instances.leave', {'born': self.born})

    async def _call(self, call: str, told: dict[str, Any]) -> bool:
        body = json.dumps(told).encode()
        head = (
            f'POST /-/rpc?call={call}&of={self.worker.instance} HTTP/1.1\r\n'
            f'Host: beside\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.address, self.port
                )
                with contextlib.closing(writer):
                    writer.write(head.encode() + body)
                    answer = await reader.readuntil(b'\r\n\r\n')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.split(b' ', 2)[1] == b'200'


async def _serve(announcer: Announcer, bind: str) -> None:
    worker = announcer.worker
    address, _, port = bind.rpartition(':')
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, setattr, worker, 'sheds', True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, worker, 'sheds', False)
    server = await asyncio.start_server(worker.serve, address, int(port))
    async with server:
        while not stop.is_set():
            await announcer.beat('ready')
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(stop.wait(), BEAT_S)
        while not await announcer.beat('draining'):
            await asyncio.sleep(BEAT_S)
        worker.note('acknowledged')
        until = time.monotonic() + DRAIN_S
        while time.monotonic() < until:
            await asyncio.sleep(BEAT_S)
            await announcer.beat('draining')
        await announcer.leave()


@click.command()
@click.option('--instance', required=True)
@click.option('--service', required=True)
@click.option('--bind', required=True, help='IP:PORT to serve at.')
@click.option('--announced', required=True, help='IP:PORT to announce.')
@click.option('--beside', required=True, help="The daemon's address.")
@click.option('--notes', required=True, help='File for a line per run.')
@click.option('--slots', default=4)
def main(
    instance: str,
    service: str,
    bind: str,
    announced: str,
    beside: str,
    notes: str,
    slots: int,
) -> None:
    """Serve as a target until told to end."""
    actions = worker_standin.ACTIONS
    actions['work'] = _work
    for name in actions:
        actions[name] = _noted(actions[name])
    worker = NotingWorker(instance, service, slots, notes)
    announcer = Announcer(worker, announced, beside)
    asyncio.run(_serve(announcer, bind))
    os._exit(0)


if __name__ == '__main__':
    main()
