"""Complete proxies in one process, with stand-in targets and store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import math
import os
import pathlib
from typing import Any

import msgspec

from peridotpost.border import proxy_settings as border
from peridotpost.kernel import jsonlog
from peridotpost.mesh import daemon
from peridotpost.platform import assembly
from testing import conditions
from testing.standins import kv as kv_standin
from testing.standins import worker as worker_standin

HOST = 'bonds.example'
TIMEOUT_S = 20.0
LOOPBACK_PREFIX = f'127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}'
"""Loopback prefix derived from the process id, so that concurrent test runs
use different addresses."""
FIRST_ZONE = 'hel-a'
FIRST_PORT = 20_001
PORTS_PER_PROXY = 5
"""Fixed ports below the ephemeral range: the system may give a port that was
free when probed to a connection, or to two proxies, before it is opened."""


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """A client connection to a proxy."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(
        self,
        path: str,
        method: str = 'GET',
        attempt: str = 'a1',
        body: bytes = b'',
        **headers: str,
    ) -> None:
        """Send a request; underscores in header names become hyphens."""
        header_values = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Remaining-Ms': '5000',
        }
        if body:
            header_values['Content-Length'] = str(len(body))
        header_values |= {
            name.replace('_', '-'): headers[name] for name in headers
        }
        head = ''.join(
            f'{name}: {header_values[name]}\r\n' for name in header_values
        )
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body
        )

    async def receive(self) -> Answer:
        async with asyncio.timeout(TIMEOUT_S):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            first, *header_lines = head.split('\r\n')
            pairs = [line.partition(': ') for line in header_lines if line]
            headers = {name.lower(): value for name, _, value in pairs}
            length = int(headers.get('content-length', 0))
            body = await self.reader.readexactly(length)
        return Answer(int(first.split(' ')[1]), headers, body)

    async def ask(self, path: str, **given: Any) -> Answer:
        self.send(path, **given)
        return await self.receive()


@dataclasses.dataclass(slots=True)
class Host:
    """A proxy and its local target."""

    name: str
    address: str
    settings: border.ProxySettings
    proxy: daemon.ProxyDaemon
    worker: worker_standin.Worker
    exit_stack: contextlib.AsyncExitStack
    sequence: int = 0

    @contextlib.asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Open a connection from the host's own address.

        Callers run on the same host as the proxy, as its target does.
        """
        ip, port = border.split_address(self.settings.listen.requests)
        reader, writer = await asyncio.open_connection(
            ip, port, local_addr=(ip, 0)
        )
        try:
            yield Caller(reader, writer)
        finally:
            writer.close()

    async def ask(self, path: str, **given: Any) -> Answer:
        async with self.caller() as caller:
            return await caller.ask(path, **given)

    async def ask_until_run_by(self, target: 'Host') -> None:
        """Send reads until another host's target has run one more."""
        before = len(target.worker.runs)
        while len(target.worker.runs) == before:
            assert (await self.ask('/read/ok')).status == 200

    async def announce(self, **changes: Any) -> int:
        """Send a heartbeat of the target and return the answer's status."""
        self.sequence += 1
        heartbeat = {
            'service': self.settings.service,
            'address': self.worker.address,
            'zone': self.settings.availability_zone,
            'version': 'v1',
            'slots': self.worker.slots,
            'state': 'ready',
            'coldRemainingMs': 0,
            'seq': self.sequence,
            'born': 1000,
        }
        instance = changes.pop('instance', self.worker.instance)
        heartbeat |= changes
        return await self.send_rpc(
            'instances.heartbeat', instance, json.dumps(heartbeat).encode()
        )

    async def send_rpc(self, call: str, instance: str, body: bytes) -> int:
        ip, port = border.split_address(self.settings.listen.announcements)
        reader, writer = await asyncio.open_connection(ip, port)
        caller = Caller(reader, writer)
        path = f'/-/rpc?call={call}&of={instance}'
        try:
            answer = await caller.ask(path, method='POST', body=body)
        finally:
            writer.close()
        return answer.status


class Mesh:
    """Proxies by name and the store that they share.

    ``logs`` is the directory of their log files; None discards log lines.
    ``setting_changes`` replace settings of the proxies started later.
    """

    def __init__(self, kv: kv_standin.KvStore, store: str) -> None:
        self.kv = kv
        self.store = store
        self.hosts: dict[str, Host] = {}
        self.exit_stack = contextlib.AsyncExitStack()
        self.started_count = 0
        self.logs: pathlib.Path | None = None
        self.setting_changes: dict[str, Any] = {}

    def _log_descriptor(self, name: str) -> int:
        if self.logs is None:
            return -1
        path = self.logs / f'{name}.log'
        return self.exit_stack.enter_context(path.open('ab')).fileno()

    async def add(
        self,
        name: str,
        zone: str = FIRST_ZONE,
        service: str = 'register',
        slots: int = 4,
        link_mbps: float = 1000.0,
    ) -> Host:
        """Start a proxy and its target, which is not announced yet.

        Its guard grants retries like one that has run for a window.
        """
        address = f'{LOOPBACK_PREFIX}.{1 + len(self.hosts)}'
        worker = worker_standin.Worker(f'i-{name}', slots)
        await self.exit_stack.enter_async_context(
            worker_standin.serving(worker, address)
        )
        host = await self.start_proxy(
            name, address, zone, service, worker, link_mbps
        )
        host.proxy.guard.budget.started_at = -math.inf
        self.hosts[name] = host
        return host

    async def start_proxy(
        self,
        name: str,
        address: str,
        zone: str,
        service: str,
        worker: worker_standin.Worker,
        link_mbps: float = 1000.0,
    ) -> Host:
        first_port = FIRST_PORT + PORTS_PER_PROXY * self.started_count
        self.started_count += 1
        settings = _settings(
            name, address, zone, service, worker, self.store, first_port
        )
        settings = msgspec.structs.replace(
            settings, link_mbps=link_mbps, **self.setting_changes
        )
        adapter = self.exit_stack.enter_context(assembly.adapter_for(settings))
        log = jsonlog.JsonLog(name, self._log_descriptor(name))
        proxy = daemon.ProxyDaemon(settings, adapter, log)
        exit_stack = contextlib.AsyncExitStack()
        await self.exit_stack.enter_async_context(exit_stack)
        await exit_stack.enter_async_context(proxy.running())
        return Host(name, address, settings, proxy, worker, exit_stack)

    async def restart_proxy(self, name: str) -> Host:
        """Replace a proxy by a new process beside the same target.

        The new one has other ports, and its target is not announced yet.
        """
        old = self.hosts[name]
        await old.exit_stack.aclose()
        new = await self.start_proxy(
            name,
            old.address,
            old.settings.availability_zone,
            old.settings.service,
            old.worker,
        )
        new.sequence = old.sequence
        self.hosts[name] = new
        return new

    async def wait_ready(self, service: str = 'register') -> None:
        """Wait until every proxy routes to every announced target."""
        hosts = list(self.hosts.values())
        expected = sum(
            one.proxy.guard.status().ready
            for one in hosts
            if one.settings.service == service
        )
        for host in hosts:
            await conditions.until(
                lambda host=host: (  # type: ignore[misc]
                    host.proxy.forwarder.config is not None
                    and sum(
                        one.ready
                        for one in host.proxy.directory.candidates(service)
                    )
                    == expected
                )
            )


def _settings(
    name: str,
    address: str,
    zone: str,
    service: str,
    worker: worker_standin.Worker,
    store: str,
    first_port: int,
) -> border.ProxySettings:
    ports = range(first_port, first_port + PORTS_PER_PROXY)
    listen = border.Listen(*(f'{address}:{port}' for port in ports))
    return border.ProxySettings(
        host=name,
        availability_zone=zone,
        address=address,
        service=service,
        target=worker.address,
        listen=listen,
        store=store,
    )


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return an operators' configuration of three routes.

    ``read`` and ``other`` are idempotent, ``write`` is not.
    """
    return {
        'version': version,
        'routes': [
            route('read', '/read/', 'safe', 2, 'register'),
            route('write', '/write/', 'unsafe', 1, 'register'),
            route('other', '/other/', 'safe', 1, 'vault'),
        ],
        'services': [{'name': 'register'}, {'name': 'vault'}],
        'limits': {'maxHeaderBytes': 4096, 'maxBodyBytes': 100_000},
    } | changes


def route(
    name: str, prefix: str, kind: str, priority: int, service: str
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 1000,
        'priority': priority,
        'service': service,
        'maxAttempts': 2,
    }


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Mesh]:
    """Run a store and an empty mesh."""
    kv = kv_standin.KvStore()
    async with kv_standin.serving(kv) as store:
        mesh = Mesh(kv, store)
        async with mesh.exit_stack:
            yield mesh


@contextlib.asynccontextmanager
async def saturated_host(
    logs: pathlib.Path | None = None,
) -> AsyncIterator[Host]:
    """Run one host whose target has one slot, occupied by a request.

    :param logs: directory of the log files.
    """
    async with running() as mesh:
        mesh.logs = logs
        await mesh.kv.configure(config())
        host = await mesh.add('a', slots=1)
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as blocking_caller:
            blocking_caller.send('/read/hold', attempt='holds')
            await host.worker.run_started.wait()
            yield host
            host.worker.release.set()
            assert (await blocking_caller.receive()).status == 200


@contextlib.asynccontextmanager
async def pair(
    second_zone: str = FIRST_ZONE,
    **setting_changes: Any,
) -> AsyncIterator[tuple[Mesh, Host, Host]]:
    """Run two ready proxies of one service, by default in one zone."""
    async with running() as mesh:
        mesh.setting_changes = setting_changes
        await mesh.kv.configure(config())
        first = await mesh.add('a')
        second = await mesh.add('b', second_zone)
        await first.announce()
        await second.announce()
        await mesh.wait_ready()
        yield mesh, first, second
