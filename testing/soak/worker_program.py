"""A target process that announces itself and records the requests it runs.

On SIGTERM it drains: it announces the draining state until the daemon
acknowledges it, serves for another ``DRAIN_PERIOD_S``, deregisters and exits.
With ``--states-leaving`` it states before, for ``STATEMENT_PERIOD_S``, in its
responses alone that it leaves.  Between SIGUSR1 and SIGUSR2 it rejects all
requests; the signals of ``LIMIT_BY_SIGNAL`` set the limit that it names.
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

from testing.soak import customers
from testing.soak import large_bodies
from testing.standins import worker as worker_standin

HEARTBEAT_S = 0.4
DRAIN_PERIOD_S = 2.0
STATEMENT_PERIOD_S = 3.0
LIMIT_BY_SIGNAL = {
    signal.SIGRTMIN: '',
    signal.SIGRTMIN + 1: '0.5',
    signal.SIGRTMIN + 2: '2',
    signal.SIGRTMIN + 3: 'many',
}
CALL_TIMEOUT_S = 1.0


class RecordingWorker(worker_standin.Worker):
    """Writes a note for each request before the request has any effect.

    :param requests_address: where the daemon of its host accepts requests.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        slots: int,
        path: str,
        requests_address: str,
    ) -> None:
        super().__init__(instance, slots)
        self.service = service
        self.requests_address = requests_address
        # Unbuffered, as the process may be killed at any time.
        self.notes_file = open(path, 'ab', buffering=0)

    def record(self, event: str, **fields: Any) -> None:
        line = {'at': time.monotonic(), 'event': event}
        line |= {'instance': self.instance, 'service': self.service}
        line |= fields
        self.notes_file.write(json.dumps(line).encode() + b'\n')

    def render_response(
        self, request: worker_standin.Request, body: bytes = b''
    ) -> bytes:
        return super().render_response(
            request, body or response_body(self.instance, request.attempt)
        )


def response_body(instance: str, attempt: str) -> bytes:
    """Return the response body of a target for an attempt."""
    return f'{instance} ran {attempt}'.encode()


def digest(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()[:16]


async def _sleep_and_respond(
    worker: worker_standin.Worker,
    request: worker_standin.Request,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    query = parse.parse_qs(request.target.partition('?')[2])
    if 'call' in query:
        assert isinstance(worker, RecordingWorker)
        await _call(worker, request)
    await asyncio.sleep(int(query.get('ms', ['0'])[0]) / 1000)
    size = int(query.get('answer', ['0'])[0])
    body = b''
    if size:
        body = response_body(worker.instance, request.attempt)
        body += large_bodies.FILLER * size
    writer.write(worker.render_response(request, body))
    await writer.drain()
    return True


async def _call(
    worker: RecordingWorker, request: worker_standin.Request
) -> None:
    """Make a call without a key for a run, and record its status."""
    deadline_ms = int(request.headers['x-deadline-remaining-ms']) // 2
    attempt = f'{request.attempt}.{time.monotonic_ns()}'
    target = f'/other/work?ms=5&of={request.attempt}'
    worker.record(
        'call', attempt=attempt, target=target, deadline_ms=deadline_ms
    )
    ip, _, port = worker.requests_address.rpartition(':')
    head = (
        f'GET {target} HTTP/1.1\r\nHost: {request.headers["host"]}\r\n'
        f'X-Attempt-Id: {attempt}\r\n'
        f'X-Deadline-Remaining-Ms: {deadline_ms}\r\n\r\n'
    )
    status = 0
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(
                ip, int(port), local_addr=(ip, 0)
            )
            with contextlib.closing(writer):
                writer.write(head.encode())
                response = await reader.readuntil(b'\r\n\r\n')
                status = int(response.split(b' ', 2)[1])
    worker.record('called', attempt=attempt, status=status)


def _recorded(action: worker_standin.Action) -> worker_standin.Action:
    async def act(
        worker: worker_standin.Worker,
        request: worker_standin.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        assert isinstance(worker, RecordingWorker)
        worker.record(
            'run',
            attempt=request.attempt,
            method=request.method,
            target=request.target,
            digest=digest(request.body),
            told_ms=int(request.headers.get('x-deadline-remaining-ms', -1)),
            customer=request.headers.get('x-tenant', ''),
            saw_key='authorization' in request.headers
            or customers.KEY_PREFIX in str(request.headers),
        )
        return await action(worker, request, reader, writer)

    return act


class Announcer:
    """Reports the state of the target to the daemon of its host."""

    def __init__(
        self,
        worker: RecordingWorker,
        announced_address: str,
        daemon_address: str,
    ) -> None:
        self.worker = worker
        self.announced_address = announced_address
        self.address, _, port = daemon_address.rpartition(':')
        self.port = int(port)
        self.sequence = 0
        self.started_at_ms = time.time_ns() // 1_000_000

    async def send_heartbeat(self, state: str) -> bool:
        """Send a heartbeat; return whether the daemon acknowledged it."""
        self.sequence += 1
        payload = {
            'service': self.worker.service,
            'address': self.announced_address,
            'slots': self.worker.slots,
            'state': state,
            'coldRemainingMs': 0,
            'seq': self.sequence,
            'born': self.started_at_ms,
        }
        return await self._call('instances.heartbeat', payload)

    async def deregister(self) -> bool:
        return await self._call(
            'instances.leave', {'born': self.started_at_ms}
        )

    async def _call(self, call: str, payload: dict[str, Any]) -> bool:
        body = json.dumps(payload).encode()
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
                    response = await reader.readuntil(b'\r\n\r\n')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response.split(b' ', 2)[1] == b'200'


def _set_limit(worker: RecordingWorker, limit: str) -> None:
    worker.limit = limit
    if limit != 'many':
        worker.record('limit', per_s=float(limit) if limit else None)


async def _announce_ready(announcer: Announcer, stop: asyncio.Event) -> None:
    while not stop.is_set():
        await announcer.send_heartbeat('ready')
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), HEARTBEAT_S)


async def _state_leaving(announcer: Announcer) -> None:
    """State in responses that the target leaves, but announce it as ready."""
    announcer.worker.leaving = '1'
    until = time.monotonic() + STATEMENT_PERIOD_S
    while time.monotonic() < until:
        await announcer.send_heartbeat('ready')
        await asyncio.sleep(HEARTBEAT_S)


async def _serve(
    announcer: Announcer, bind: str, states_leaving: bool
) -> None:
    worker = announcer.worker
    worker.record('started')
    address, _, port = bind.rpartition(':')
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, setattr, worker, 'sheds', True)
    loop.add_signal_handler(signal.SIGUSR2, setattr, worker, 'sheds', False)
    for number, limit in LIMIT_BY_SIGNAL.items():
        loop.add_signal_handler(number, _set_limit, worker, limit)
    server = await asyncio.start_server(worker.serve, address, int(port))
    async with server:
        await _announce_ready(announcer, stop)
        if states_leaving:
            await _state_leaving(announcer)
        while not await announcer.send_heartbeat('draining'):
            await asyncio.sleep(HEARTBEAT_S)
        worker.record('acknowledged')
        until = time.monotonic() + DRAIN_PERIOD_S
        while time.monotonic() < until:
            await asyncio.sleep(HEARTBEAT_S)
            await announcer.send_heartbeat('draining')
        await announcer.deregister()


@click.command()
@click.option('--instance', required=True)
@click.option('--service', required=True)
@click.option('--bind', required=True, help='IP:PORT to listen on.')
@click.option('--announced', required=True, help='IP:PORT to announce.')
@click.option('--beside', required=True, help="The daemon's address.")
@click.option(
    '--notes', required=True, help='File for a line per executed request.'
)
@click.option('--requests', required=True, help='For calls of its runs.')
@click.option('--slots', default=4)
@click.option('--states-leaving', is_flag=True)
def main(
    instance: str,
    service: str,
    bind: str,
    announced: str,
    beside: str,
    notes: str,
    requests: str,
    slots: int,
    states_leaving: bool,
) -> None:
    """Serve as a target until SIGTERM."""
    actions = worker_standin.ACTIONS
    actions['work'] = _sleep_and_respond
    for name in actions:
        actions[name] = _recorded(actions[name])
    worker = RecordingWorker(instance, service, slots, notes, requests)
    announcer = Announcer(worker, announced, beside)
    asyncio.run(_serve(announcer, bind, states_leaving))
    os._exit(0)


if __name__ == '__main__':
    main()
