"""A stand-in for an application worker (PROTOCOL.md)."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import time
from typing import Any

from shared_2 import wire

HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0


class Worker:
    """Runs requests, announces itself and records what it ran.

    :param runs: attempt id, path and start of each request that it ran.
    :param behaviour: replaces the usual run of a request if set.
    """

    def __init__(
        self,
        instance: str,
        service: str,
        address: str,
        port: int,
        beside: tuple[str, int],
        zone: str,
        slots: int = 12,
        max_connections: int = 120,
    ) -> None:
        self.instance = instance
        self.service = service
        self.address = address
        self.port = port
        self.beside = beside
        self.zone = zone
        self.slots = slots
        self.max_connections = max_connections
        self.state = 'ready'
        self.version = 'v1'
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.runs: list[dict[str, Any]] = []
        self.rejected: list[dict[str, Any]] = []
        self.slot = asyncio.Semaphore(slots)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beating: asyncio.Task[None] | None = None
        self.behaviour: (
            Callable[
                [
                    'Worker',
                    wire.Request,
                    asyncio.StreamReader,
                    asyncio.StreamWriter,
                ],
                Awaitable[bool],
            ]
            | None
        ) = None

    async def start(self) -> None:
        """Listen, and send heartbeats until stopped."""
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port
        )
        self.beating = asyncio.ensure_future(self._beat())

    async def restart(self, after_s: float) -> None:
        """Crash, and come back as a new incarnation with a new id."""
        await self.stop()
        await asyncio.sleep(after_s)
        name, _, number = self.instance.rpartition('-')
        self.instance = f'{name}-{int(number) + 1}'
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        await self.start()

    async def stop(self) -> None:
        """End as a crash does: reset all connections."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def heartbeat(self, **changes: Any) -> bool:
        """Send a heartbeat; return whether it was acknowledged in time."""
        self.sequence += 1
        body = {
            'service': self.service,
            'address': f'{self.address}:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.sequence,
            'born': self.born,
        }
        return await self.call('instances.heartbeat', body | changes)

    async def call(self, name: str, body: dict[str, Any]) -> bool:
        """Make a call to the daemon beside this worker."""
        raw = wire.render_request(
            'POST',
            f'/-/rpc?call={name}&of={self.instance}',
            {
                'Host': f'{self.beside[0]}:{self.beside[1]}',
                'Content-Type': 'application/json',
            },
            json.dumps(body).encode(),
        )
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.beside)
                with contextlib.closing(writer):
                    writer.write(raw)
                    answer = await wire.read_answer(reader)
                    return 200 <= answer.status < 300
        return False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.writers) >= self.max_connections:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                if not await self._handle(request, reader, writer):
                    return
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _handle(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        attempt = request.headers.get('x-attempt-id', '')
        expected = request.headers.get('x-expected-instance', self.instance)
        note = {
            'at': time.monotonic(),
            'attempt': attempt,
            'method': request.method,
            'target': request.target,
            'expected': expected,
            'caller': request.headers.get('x-caller-service', ''),
            'told_ms': request.headers.get('x-deadline-remaining-ms', ''),
        }
        if expected != self.instance:
            self.rejected.append({**note, 'status': 421})
            writer.write(
                wire.render_answer(
                    421, {'X-Attempt-Id': attempt, 'X-Not-Executed': '1'}
                )
            )
            await writer.drain()
            return True
        async with self.slot:
            self.runs.append(note)
            if self.behaviour is not None:
                return await self.behaviour(self, request, reader, writer)
            work_s = int(request.query.get('ms', '20')) / 1000
            await asyncio.sleep(work_s)
            writer.write(self.render(request))
            await writer.drain()
        return True

    def render(self, request: wire.Request, body: bytes = b'') -> bytes:
        """Return the whole answer to a request that ran."""
        attempt = request.headers.get('x-attempt-id', '')
        body = body or f'{self.instance} ran {attempt}'.encode()
        return wire.render_answer(
            200,
            {
                'X-Attempt-Id': attempt,
                'X-Response-Signature': f'{self.instance}.{attempt}',
            },
            body,
        )
