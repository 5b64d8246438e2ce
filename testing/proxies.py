"""Whole proxies in one process, against the stand-ins, on loopback."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import pathlib
from typing import Any

import msgspec

from peridotpost.border import proxy as border
from peridotpost.kernel import lines
from peridotpost.mesh import daemon
from peridotpost.platform import assembly
from testing import conditions
from testing.standins import kv as kv_standin
from testing.standins import worker as worker_standin

HOST = 'bonds.example'
PATIENCE_S = 20.0
NETWORK = f'127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}'
"""Loopback addresses of this process; two runs at a time do not meet."""
FIRST_PORT = 20_001
PORTS = 5
"""Of each proxy, below the ports that the system hands out: one that was
free a moment ago may have been given to a connection, or twice, before it
is opened."""


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """One connection of a caller."""

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
        """Send a request; ``X_Y`` among `headers` stands for ``X-Y``."""
        given = {
            'Host': HOST,
            'X-Attempt-Id': attempt,
            'X-Deadline-Remaining-Ms': '5000',
        }
        if body:
            given['Content-Length'] = str(len(body))
        given |= {name.replace('_', '-'): headers[name] for name in headers}
        head = ''.join(f'{name}: {given[name]}\r\n' for name in given)
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body
        )

    async def receive(self) -> Answer:
        async with asyncio.timeout(PATIENCE_S):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            first, *found = head.split('\r\n')
            pairs = [line.partition(': ') for line in found if line]
            headers = {name.lower(): value for name, _, value in pairs}
            length = int(headers.get('content-length', 0))
            body = await self.reader.readexactly(length)
        return Answer(int(first.split(' ')[1]), headers, body)

    async def ask(self, path: str, **given: Any) -> Answer:
        self.send(path, **given)
        return await self.receive()


@dataclasses.dataclass(slots=True)
class Host:
    """A proxy and the target beside it."""

    name: str
    address: str
    settings: border.ProxySettings
    proxy: daemon.ProxyDaemon
    worker: worker_standin.Worker
    sequence: int = 0

    @contextlib.asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Open a caller's connection, from the host's own address.

        Callers stand on the host, as its target does.
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

    async def announce(self, **changes: Any) -> int:
        """Send a heartbeat of the target; returns the answer's status."""
        self.sequence += 1
        told = {
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
        told |= changes
        return await self.tell(
            'instances.heartbeat', instance, json.dumps(told).encode()
        )

    async def tell(self, call: str, instance: str, body: bytes) -> int:
        ip, port = border.split_address(self.settings.listen.announcements)
        reader, writer = await asyncio.open_connection(ip, port)
        caller = Caller(reader, writer)
        target = f'/-/rpc?call={call}&of={instance}'
        try:
            answer = await caller.ask(target, method='POST', body=body)
        finally:
            writer.close()
        return answer.status


class Mesh:
    """Proxies by name and the store that they share.

    :param logs: folder for their log lines; None to drop these.
    """

    def __init__(self, kv: kv_standin.Kv, store: str) -> None:
        self.kv = kv
        self.store = store
        self.hosts: dict[str, Host] = {}
        self.stack = contextlib.AsyncExitStack()
        self.started = 0
        self.logs: pathlib.Path | None = None

    def _descriptor(self, name: str) -> int:
        if self.logs is None:
            return -1
        path = self.logs / f'{name}.log'
        return self.stack.enter_context(path.open('ab')).fileno()

    async def add(
        self,
        name: str,
        zone: str = 'hel-a',
        service: str = 'register',
        slots: int = 4,
        link_mbps: float = 1000.0,
    ) -> Host:
        """Start a proxy and its target, not announced yet."""
        address = f'{NETWORK}.{1 + len(self.hosts)}'
        worker = worker_standin.Worker(f'i-{name}', slots)
        await self.stack.enter_async_context(
            worker_standin.serving(worker, address)
        )
        host = await self.start_proxy(
            name, address, zone, service, worker, link_mbps
        )
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
        first_port = FIRST_PORT + PORTS * self.started
        self.started += 1
        settings = _settings(
            name, address, zone, service, worker, self.store, first_port
        )
        settings = msgspec.structs.replace(settings, link_mbps=link_mbps)
        adapter = self.stack.enter_context(assembly.adapter_for(settings))
        log = lines.LineLog(name, self._descriptor(name))
        proxy = daemon.ProxyDaemon(settings, adapter, log)
        await self.stack.enter_async_context(proxy.running())
        return Host(name, address, settings, proxy, worker)

    async def ready(self, service: str = 'register') -> None:
        """Wait until every proxy knows every announced target."""
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
    ports = range(first_port, first_port + PORTS)
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
    """Return the operators' text: one idempotent route, one not."""
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
    name: str, prefix: str, kind: str, rank: int, service: str
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 4000,
        'targetLatencyMs': 1000,
        'priority': rank,
        'service': service,
        'maxAttempts': 2,
    }


@contextlib.asynccontextmanager
async def running() -> AsyncIterator[Mesh]:
    """A store with the configuration, and no proxies yet."""
    kv = kv_standin.Kv()
    async with kv_standin.serving(kv) as store:
        mesh = Mesh(kv, store)
        async with mesh.stack:
            yield mesh


@contextlib.asynccontextmanager
async def full(logs: pathlib.Path | None = None) -> AsyncIterator[Host]:
    """One host whose target has one slot, which a request holds.

    :param logs: folder for log lines.
    """
    async with running() as mesh:
        mesh.logs = logs
        await mesh.kv.configure(config())
        host = await mesh.add('a', slots=1)
        await host.announce()
        await mesh.ready()
        async with host.caller() as holding:
            holding.send('/read/hold', attempt='holds')
            await host.worker.began.wait()
            yield host
            host.worker.release.set()
            assert (await holding.receive()).status == 200


@contextlib.asynccontextmanager
async def pair() -> AsyncIterator[tuple[Mesh, Host, Host]]:
    """Two proxies of one service in one zone, ready."""
    async with running() as mesh:
        await mesh.kv.configure(config())
        first = await mesh.add('a')
        second = await mesh.add('b')
        await first.announce()
        await second.announce()
        await mesh.ready()
        yield mesh, first, second
