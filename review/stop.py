"""A machine is stopped while answers are delivered; are they cut off?"""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

from standins import fleet
from standins import messages
from standins import record
from standins import store
from standins import worker

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, ZONE = 'vakuus', 'espoo-a'
ROUTE_HOST, PREFIX = 'collateral.example', '/release/'
TIMEOUT_MS = 5500
"""Of the route and of the callers; answers are complete long before."""
ANSWER_BYTES = 24_000_000
LINK_BYTES_PER_S = 5_200_000
"""42 Mbit/s, so that an answer takes 4.6 s of the 6 s of the grace period."""
READ_BYTES = 52_000
RECEIVE_BUFFER_BYTES = 65_536
CALLERS = 2
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'collateral-release',
            'host': ROUTE_HOST,
            'prefix': PREFIX,
            'kind': 'unsafe',
            'service': SERVICE,
            'timeoutMs': TIMEOUT_MS,
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
        'maxBodyBytes': 1048576,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


async def receive(
    number: int, address: str, started: asyncio.Event, notes: record.Record
) -> bool:
    """Send a request and read its answer at the speed of the caller's link.

    Returns whether the whole answer arrived.
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((host, 0))
    attempt = f'release-{number}'
    received = bytearray()
    with sock:
        await loop.sock_connect(sock, (host, int(port)))
        headers = {
            'Host': ROUTE_HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Remaining-Ms': str(TIMEOUT_MS),
        }
        target = f'{PREFIX}{attempt}'
        sent_at = time.monotonic()
        await loop.sock_sendall(
            sock, messages.request('POST', target, headers, b'{}')
        )
        notes.note('sent', attempt=attempt, target=target)
        begun_at = 0.0
        while not is_complete(received):
            try:
                chunk = await loop.sock_recv(sock, READ_BYTES)
            except OSError as error:
                notes.note('reset', attempt=attempt, error=error)
                break
            if not chunk:
                break
            if not received:
                begun_at = time.monotonic()
                notes.note('answer-begins', attempt=attempt)
                started.set()
            received += chunk
            due = begun_at + len(received) / LINK_BYTES_PER_S
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    complete = is_complete(received)
    notes.note(
        'answer-ends',
        attempt=attempt,
        first_line=bytes(received[:15]),
        received=len(received),
        complete=complete,
        after_ms=round((time.monotonic() - sent_at) * 1000),
    )
    return complete


def is_complete(received: bytearray) -> bool:
    """Whether the bytes are an answer with the whole body."""
    end = received.find(b'\r\n\r\n', 0, 4096)
    return end >= 0 and len(received) >= end + 4 + ANSWER_BYTES


async def play(folder: pathlib.Path, notes: record.Record) -> int:
    """Play the case; return how many answers were cut off."""
    target = worker.Worker('i-1', SERVICE, ZONE, notes)
    body = b'r' * ANSWER_BYTES
    target.answer = lambda run: target.sound_answer(run, body)
    async with store.serving(store.Store()) as kv:
        await kv.configure(CONFIG)
        machine = fleet.place(
            'sidecar-1', ZONE, '127.0.0.1', target, kv.address, folder
        )
        async with fleet.running([machine], notes):
            await asyncio.sleep(3.0)
            started = asyncio.Event()
            callers = [
                asyncio.ensure_future(
                    receive(number, machine.at('requests'), started, notes)
                )
                for number in range(CALLERS)
            ]
            await started.wait()
            if TROUBLE:
                machine.signal(signal.SIGTERM)
                notes.note('SIGTERM', machine=machine.name)
            complete = await asyncio.gather(*callers)
            if TROUBLE:
                await note_exit(machine, notes)
    cut = complete.count(False)
    notes.note('summary', answers=len(complete), cut_off=cut)
    print({'answers': len(complete), 'cut_off': cut})
    return cut


async def note_exit(machine: fleet.Machine, notes: record.Record) -> None:
    """Record when the process has ended by itself."""
    assert machine.process is not None
    async with asyncio.timeout(fleet.GRACE_S):
        code = await machine.process.wait()
    notes.note('ended', machine=machine.name, code=code)


def main() -> int:
    folder = pathlib.Path(__file__).parent
    notes = record.Record(folder / 'stop-record.txt')
    with tempfile.TemporaryDirectory() as place:
        try:
            cut = asyncio.run(play(pathlib.Path(place), notes))
        except fleet.CannotRun as error:
            print(error)
            return 2
        finally:
            notes.write()
    return 1 if cut else 0


if __name__ == '__main__':
    sys.exit(main())
