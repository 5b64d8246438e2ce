"""Stand-in for a target, the server process on a host beside the daemon.

It has slots, an announced connection limit, a cold start, drain, shedding,
deadlines and cancellation.  Its health page always reports healthy, and its
load page can report false values.  A request with the header
``Standin-Crash`` ends the process.  Runs are counted for each idempotency
key, so that a test can detect a call that ran twice.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import json
import os
import time
from typing import Any

import pydantic
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

HEARTBEAT_S = 1.0
DRAIN_GRACE_S = 0.1
"""For requests that the daemon sent before it knew of the drain."""
KEY_HEADER = 'Idempotency-Key'
TIMEOUT_HEADER = 'Peridot-Timeout-Ms'


class TargetSettings(pydantic.BaseModel):
    """Behaviour of the target; times in seconds.

    :param cold_factor: factor on run times during the cold start.
    :param health_lies: whether the load page reports no running requests.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    service: str
    name: str
    port: int = 0
    daemon_admin: str = ''
    slots: int = 12
    connections: int = 120
    cold_s: float = 0.0
    cold_factor: float = 5.0
    work_s: float = 0.0
    health_lies: bool = False


class Target:
    """State and counts of one target.

    :ivar ran: number of runs by idempotency key.
    """

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self.started_at = time.monotonic()
        self.draining = False
        self.rejecting = False
        self.running = 0
        self.connections = 0
        self.stopped = asyncio.Event()
        self.ran: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()

    @property
    def cold(self) -> bool:
        age = time.monotonic() - self.started_at
        return age < self.settings.cold_s

    @property
    def state(self) -> str:
        if self.draining:
            return 'draining'
        return 'cold' if self.cold else 'ready'

    def work_s(self, requested_ms: str) -> float:
        """Return the run time of a request in seconds.

        :param requested_ms: the value of its header, or empty.
        """
        base_s = (
            float(requested_ms) / 1000
            if requested_ms
            else self.settings.work_s
        )
        return base_s * (self.settings.cold_factor if self.cold else 1.0)


class WorkHandler(web.RequestHandler):
    """Handles any request: waits for its run time, then echoes it."""

    target: Target
    work: asyncio.Task[None] | None = None

    def initialize(self, target: Target) -> None:
        self.target = target

    async def prepare(self) -> None:
        if 'Standin-Crash' in self.request.headers:
            os._exit(70)

    async def serve(self, path: str) -> None:
        target = self.target
        if target.rejecting or target.running >= target.settings.slots:
            target.counts['shed'] += 1
            self.set_header('Retry-After', '1')
            self.set_status(503)
            self.finish({'error': 'shed'})
            return
        headers = self.request.headers
        run_s = target.work_s(headers.get('Standin-Work-Ms', ''))
        timeout_s = float(headers.get(TIMEOUT_HEADER, '300000')) / 1000
        target.running += 1
        try:
            self.work = asyncio.ensure_future(
                asyncio.sleep(min(run_s, timeout_s))
            )
            await self.work
            if run_s > timeout_s:
                target.counts['deadline'] += 1
                self.set_status(504)
                self.finish({'error': 'deadline'})
                return
            self._answer(headers.get(KEY_HEADER, ''))
        except asyncio.CancelledError:
            target.counts['cancelled'] += 1
        finally:
            target.running -= 1

    get = post = put = delete = patch = head = serve

    def _answer(self, key: str) -> None:
        target = self.target
        target.counts['ran'] += 1
        if key:
            target.ran[key] += 1
        answer_bytes = int(
            self.request.headers.get('Standin-Answer-Bytes', '0')
        )
        self.set_header('Standin-Target', target.settings.name)
        if answer_bytes:
            self.finish(b'x' * answer_bytes)
            return
        self.finish(
            {
                'service': target.settings.service,
                'target': target.settings.name,
                'method': self.request.method,
                'path': self.request.uri,
                'body': self.request.body.decode(errors='replace'),
                'key': key,
                'runs': target.ran[key] if key else 0,
            }
        )

    def on_connection_close(self) -> None:
        if self.work is not None:
            self.work.cancel()


class ControlHandler(web.RequestHandler):
    """Health and load pages, counts, and the command to drain."""

    target: Target

    def initialize(self, target: Target) -> None:
        self.target = target

    def get(self, page: str) -> None:
        target = self.target
        if page == 'health':
            self.finish({'healthy': True, 'state': target.state})
        elif page == 'load':
            underreport = target.settings.health_lies
            self.finish({'running': 0 if underreport else target.running})
        else:
            self.finish(
                {
                    'counts': dict(target.counts),
                    'ran': dict(target.ran),
                    'running': target.running,
                }
            )

    async def put(self, page: str) -> None:
        await drain(self.target)
        self.finish({})


async def announce(target: Target, client: httpclient.AsyncHTTPClient) -> None:
    """Announce the target to the daemon; the next heartbeat retries."""
    settings = target.settings
    if not settings.daemon_admin:
        return
    body = {
        'name': settings.name,
        'port': settings.port,
        'slots': settings.slots,
        'connections': settings.connections,
        'state': target.state,
    }
    try:
        await client.fetch(
            f'{settings.daemon_admin}/v1/targets/{settings.service}',
            method='PUT',
            body=json.dumps(body),
            request_timeout=HEARTBEAT_S,
        )
    except (httpclient.HTTPError, OSError):
        target.counts['announce-failed'] += 1


async def drain(target: Target) -> None:
    """Announce that the target is draining, then reject requests.

    Requests that were in flight when the daemon was notified are still run.
    """
    target.draining = True
    await announce(target, httpclient.AsyncHTTPClient())
    await asyncio.sleep(DRAIN_GRACE_S)
    target.rejecting = True


@contextlib.asynccontextmanager
async def serving(target: Target) -> AsyncIterator[int]:
    """Serve `target`, announce it and yield the bound port."""
    arguments: dict[str, Any] = {'target': target}
    handlers = [
        (r'/standin/(health|load|counts|drain)', ControlHandler, arguments),
        (r'(/.*)', WorkHandler, arguments),
    ]
    server = httpserver.HTTPServer(web.Application(handlers))
    sockets = netutil.bind_sockets(target.settings.port, '127.0.0.1')
    server.add_sockets(sockets)
    target.settings.port = sockets[0].getsockname()[1]
    heartbeat = asyncio.ensure_future(_heartbeat(target))
    try:
        yield target.settings.port
    finally:
        await drain(target)
        while target.running:
            await asyncio.sleep(0.01)
        heartbeat.cancel()
        server.stop()
        await server.close_all_connections()


async def _heartbeat(target: Target) -> None:
    client = httpclient.AsyncHTTPClient()
    while True:
        await announce(target, client)
        await asyncio.sleep(HEARTBEAT_S)
