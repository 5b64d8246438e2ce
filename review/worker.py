"""A stand-in target: a sound worker of one service."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import json
import time
from typing import Any

from standins import messages
from standins import record

HEARTBEAT_INTERVAL_S = 1.5
ACK_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 5
HEALTH_PATH = '/health'
ENDINGS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a worker began to work on."""

    worker: str
    attempt: str
    method: str
    target: str
    body: bytes


Answer = Callable[[Run], bytes]


class Worker:
    """Runs requests, answers health checks and announces itself.

    :param run_s: how long a request runs.
    :param answer: renders the bytes that end a run.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        zone: str,
        notes: record.Record,
        run_s: float = 0.01,
        slots: int = 12,
    ) -> None:
        self.instance = instance
        self.service = service
        self.zone = zone
        self.notes = notes
        self.run_s = run_s
        self.slots = slots
        self.answer: Answer = self.sound_answer
        self.free = asyncio.Semaphore(slots)
        self.runs: list[Run] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ''
        self.control_address = ''
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'

    def sound_answer(self, run: Run, body: bytes = b'done') -> bytes:
        """Return a success with the worker's signature."""
        return messages.response('200 OK', self.answer_headers(run), body)

    def answer_headers(self, run: Run) -> dict[str, str]:
        return {
            'X-Attempt-Id': run.attempt,
            'X-Response-Signature': f'{self.instance}.{run.attempt}',
            'Keep-Alive': f'timeout={KEEP_ALIVE_S}',
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one at a time."""
        self.writers.add(writer)
        with contextlib.suppress(*ENDINGS):
            while (request := await messages.read(reader)) is not None:
                writer.write(await self._handle(request))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    def exit(self) -> None:
        """Cut all connections, as the end of the worker's process does."""
        for writer in self.writers:
            writer.transport.abort()

    async def _handle(self, request: messages.Message) -> bytes:
        method, target, _ = request.start
        if target == HEALTH_PATH:
            return messages.response(
                '200 OK', {'X-Instance-Id': self.instance}
            )
        attempt = request.headers.get('x-attempt-id', '')
        expected = request.headers.get('x-expected-instance', self.instance)
        if expected != self.instance:
            self.notes.note(
                'misdirected', worker=self.instance, attempt=attempt
            )
            return messages.response(
                '421 Misdirected Request', {'X-Instance-Id': self.instance}
            )
        async with self.free:
            run = Run(self.instance, attempt, method, target, request.body)
            self.runs.append(run)
            self.notes.note('run', worker=self.instance, attempt=attempt)
            await asyncio.sleep(self.run_s)
        return self.answer(run)

    async def announce(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            acknowledged = await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if acknowledged else 0.3)

    async def heartbeat(self) -> bool:
        """Send a heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        return await self.call_control('heartbeat', self.heartbeat_body())

    def heartbeat_body(self) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }

    async def call_control(self, call: str, body: dict[str, Any]) -> bool:
        """Call the process beside the worker; return whether it agreed."""
        target = f'/-/rpc?call=instances.{call}&of={self.instance}'
        host, port = self.control_address.split(':')
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
                headers = {
                    'Host': self.control_address,
                    'Content-Type': 'application/json',
                }
                raw = json.dumps(body).encode()
                writer.write(messages.request('POST', target, headers, raw))
                answer = await messages.read(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200


@contextlib.asynccontextmanager
async def serving(worker: Worker) -> AsyncIterator[Worker]:
    """Serve a worker at its address, and announce it."""
    host, port = worker.address.split(':')
    server = await asyncio.start_server(worker.serve, host, int(port))
    announcing = asyncio.ensure_future(worker.announce())
    try:
        yield worker
    finally:
        announcing.cancel()
        server.close()
