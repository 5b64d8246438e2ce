"""Callers upload documents; does the process stay within its memory?"""

import asyncio
import collections
import os
import pathlib
import signal
import socket
import sys
import tempfile

from standins import caller
from standins import fleet
from standins import messages
from standins import record
from standins import store
from standins import worker

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, ZONE = 'vakuus', 'espoo-a'
ROUTE_HOST, PREFIX = 'collateral.example', '/release/'
MEMORY_LIMIT_KB = 300_000
"""`limits.memoryMb` of the site's machines."""
MEMORY_CHECK_S = 0.02
UPLOADS = 40
UPLOAD_BYTES = 20_000_000 if TROUBLE else 20_000
"""Of the 67,108,864 bytes that the configuration allows."""
UPLOAD_PAUSE_S = 0.2
CALLERS = 12
RUN_S = 0.3
DEADLINE_MS = 2500
RESTART_DELAY_S = 1.0
MAX_LOST = 3
"""The rule: "more than three times"."""
CONFIG = {
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
        'maxBodyBytes': 67108864,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class Platform:
    """Ends a process that exceeds its memory, and starts it again.

    :ivar killed: whether that has happened.
    """

    def __init__(self, machine: fleet.Machine, notes: record.Record) -> None:
        self.machine = machine
        self.notes = notes
        self.killed = False
        self.peak_kb = 0

    async def enforce(self) -> None:
        """Watch the memory until cancelled or until it is exceeded."""
        while not self.killed:
            await asyncio.sleep(MEMORY_CHECK_S)
            used_kb = self.resident_kb()
            self.peak_kb = max(self.peak_kb, used_kb)
            self.killed = used_kb > MEMORY_LIMIT_KB
        self.notes.note('memory-exceeded', kilobytes=self.peak_kb)
        self.machine.signal(signal.SIGKILL)
        assert self.machine.process is not None
        await self.machine.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.machine.start()
        self.notes.note('started', machine=self.machine.name)

    def resident_kb(self) -> int:
        """Return the memory that the process has resident."""
        assert self.machine.process is not None
        path = pathlib.Path(f'/proc/{self.machine.process.pid}/status')
        fields = dict(
            line.split(':', 1) for line in path.read_text().splitlines()
        )
        return int(fields['VmRSS'].split()[0])


async def upload(
    address: str, platform: Platform, notes: record.Record
) -> list[float]:
    """Send one document after the other, each on a new connection.

    It ends early when the process was killed.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    document = b'd' * UPLOAD_BYTES
    seconds = []
    for number in range(UPLOADS):
        if platform.killed:
            break
        attempt = f'upload-{number}'
        headers = {
            'Host': ROUTE_HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Remaining-Ms': str(DEADLINE_MS),
        }
        payload = messages.request(
            'PUT', f'{PREFIX}{attempt}', headers, document
        )
        sent_at = loop.time()
        answer = b''
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.bind((host, 0))
            try:
                await loop.sock_connect(sock, (host, int(port)))
                await loop.sock_sendall(sock, payload)
                answer = await loop.sock_recv(sock, 65_536)
            except OSError as error:
                notes.note('no-answer', attempt=attempt, error=error)
        seconds.append(loop.time() - sent_at)
        notes.note(
            'upload',
            attempt=attempt,
            bytes=UPLOAD_BYTES,
            answer=answer[:12],
            resident_kb=platform.peak_kb,
        )
        await asyncio.sleep(UPLOAD_PAUSE_S)
    return seconds


async def send_requests(
    number: int,
    address: str,
    answers: dict[str, caller.Answered],
    ended: asyncio.Event,
    notes: record.Record,
) -> None:
    """Send small requests on a kept connection, and note the answers."""
    client = caller.Caller(address, notes)
    count = 0
    while not ended.is_set():
        attempt = f'{number}-{count:04d}'
        answers[attempt] = await client.ask(
            attempt,
            'PUT',
            ROUTE_HOST,
            f'{PREFIX}{attempt}',
            DEADLINE_MS,
            attempt.encode(),
        )
        count += 1
    client.close()


async def play(folder: pathlib.Path, notes: record.Record) -> int:
    """Play the case; return how many requests were lost."""
    target = worker.Worker('i-1', SERVICE, ZONE, notes, RUN_S, CALLERS + 4)
    answers: dict[str, caller.Answered] = {}
    async with store.serving(store.Store()) as kv:
        await kv.configure(CONFIG)
        machine = fleet.place(
            'sidecar-1', ZONE, '127.0.0.1', target, kv.address, folder
        )
        async with fleet.running([machine], notes):
            await asyncio.sleep(3.0)
            ended = asyncio.Event()
            platform = Platform(machine, notes)
            enforcing = asyncio.ensure_future(platform.enforce())
            address = machine.at('requests')
            callers = [
                asyncio.ensure_future(
                    send_requests(number, address, answers, ended, notes)
                )
                for number in range(CALLERS)
            ]
            await asyncio.sleep(1.0)
            seconds = await upload(address, platform, notes)
            await asyncio.sleep(1.0)
            ended.set()
            await asyncio.gather(*callers)
            if platform.killed:
                await enforcing
            enforcing.cancel()
    lost = judge(answers, target.runs, notes)
    summary = {
        'uploads': len(seconds),
        'peak_kb': platform.peak_kb,
        'killed': platform.killed,
        'requests': len(answers),
        'lost': lost,
    }
    notes.note('summary', **summary)
    print(summary)
    return lost


def judge(
    answers: dict[str, caller.Answered],
    runs: list[worker.Run],
    notes: record.Record,
) -> int:
    """Count the requests on kept connections that ran without an answer."""
    counts = collections.Counter(run.attempt for run in runs)
    lost = [
        one.attempt
        for one in answers.values()
        if not one.status
        and counts[one.attempt]
        and not one.attempt.endswith('-0000')
    ]
    for attempt in lost:
        notes.note('LOST', attempt=attempt)
    return len(lost)


def main() -> int:
    folder = pathlib.Path(__file__).parent
    notes = record.Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as place:
        try:
            lost = asyncio.run(play(pathlib.Path(place), notes))
        except fleet.CannotRun as error:
            print(error)
            return 2
        finally:
            notes.write()
    return 1 if lost > MAX_LOST else 0


if __name__ == '__main__':
    sys.exit(main())
