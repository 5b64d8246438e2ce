"""Proxy processes as the platform starts them, on loopback addresses."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
from typing import Any

from shared_2 import relay as relays
from shared_2 import store as stores
from shared_2 import wire
from shared_2 import worker as workers

ROOT = pathlib.Path.cwd()
COMMAND = ('python3', '-S', '-m', 'peridotpost.cli.proxy')
"""The command of `deploy/system.toml`."""
PORTS = ('requests', 'readiness', 'announcements', 'peers', 'metrics')
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0


def free_ports(address: str, count: int) -> list[int]:
    """Return ports below the ephemeral range that are free."""
    found: list[int] = []
    number = 20_001 + os.getpid() % 5_000
    while len(found) < count:
        number += 1
        with socket.socket() as probe:
            try:
                probe.bind((address, number))
            except OSError:
                continue
        found.append(number)
    return found


class Host:
    """One machine: its proxy process and its worker."""

    def __init__(
        self, fleet: 'Fleet', name: str, zone: str, service: str, number: int
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.service = service
        self.address = f'{fleet.network}.{number}'
        self.backend_address = f'{fleet.network}.{100 + number}'
        *listen, target = free_ports(self.address, len(PORTS) + 1)
        self.ports = dict(zip(PORTS, listen, strict=True))
        self.settings_changes: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0
        self.worker = workers.Worker(
            f'i-{name}-1',
            service,
            self.address,
            target,
            (self.address, self.ports['announcements']),
            zone,
        )

    async def start(self) -> None:
        """Start the proxy with the command of the deploy file."""
        self.started_at = time.monotonic()
        path = self._write_settings()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PERIDOTPOST_CONFIG': str(path),
        }
        log = open(self.fleet.folder / f'{self.name}.log', 'ab')
        with log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the proxy that this host started."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> int | None:
        """Stop the proxy as the platform does; return its exit code."""
        if self.process is None:
            return None
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), 6.0)
        except TimeoutError:
            await self.kill()
        return self.process.returncode

    async def is_ready(self) -> bool:
        """Ask the readiness port as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports['readiness']
                )
                writer.write(
                    wire.render_request(
                        'GET', '/-/readiness', {'Host': self.address}
                    )
                )
                answer = await wire.read_answer(reader)
                writer.close()
                return answer.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client on this machine."""
        return await asyncio.open_connection(
            self.address,
            self.ports['requests'],
            local_addr=(self.address, 0),
        )

    async def ask(
        self,
        target: str,
        attempt: str,
        method: str = 'GET',
        deadline_ms: int = 1200,
        body: bytes = b'',
        host: str = 'bonds.example',
        headers: dict[str, str] | None = None,
    ) -> int:
        """Send a request on a new connection and record the outcome.

        :return: the status; 0 if there was none in time or at all.
        """
        record = self.fleet.record
        record.note('sent', host=self.name, attempt=attempt, target=target)
        status, text = 0, ''
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await self.connect()
                try:
                    writer.write(
                        wire.render_request(
                            method,
                            target,
                            {
                                'Host': host,
                                'X-Attempt-Id': attempt,
                                'X-Deadline-Remaining-Ms': str(deadline_ms),
                                **(headers or {}),
                            },
                            body,
                        )
                    )
                    answer = await wire.read_answer(reader)
                    status, text = (
                        answer.status,
                        answer.body[:80].decode('latin-1'),
                    )
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            text = type(error).__name__
        record.note('answered', attempt=attempt, status=status, text=text)
        return status

    def _write_settings(self) -> pathlib.Path:
        listen = {
            name: f'{self.address}:{port}' for name, port in self.ports.items()
        }
        if self.fleet.network_relays is not None:
            listen['peers'] = f'{self.backend_address}:{self.ports["peers"]}'
        settings = {
            'host': self.name,
            'availability_zone': self.zone,
            'address': self.address,
            'service': self.service,
            'target': f'{self.address}:{self.worker.port}',
            'listen': listen,
            'store': f'{self.fleet.store_address}:{self.fleet.store_port}',
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'retries': {'ratio': 0.2, 'extra': 60, 'window_s': 10},
            'shutdown': {'grace_s': 6},
        } | self.settings_changes
        path = self.fleet.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        return path


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w')
        self.start = time.monotonic()

    def note(self, event: str, **fields: Any) -> None:
        shown = ' '.join(f'{name}={value}' for name, value in fields.items())
        at = time.monotonic() - self.start
        self.file.write(f'{at:8.3f} {event} {shown}\n')
        self.file.flush()


class Fleet:
    """A small deployment: a store, proxies and workers."""

    def __init__(self, record: Record) -> None:
        pid = os.getpid()
        self.network = f'127.{1 + pid // 250 % 250}.{1 + pid % 250}'
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
        self.store = stores.Store()
        self.store_address = f'{self.network}.200'
        (self.store_port,) = free_ports(self.store_address, 1)
        self.hosts: dict[str, Host] = {}
        self.background: list[asyncio.Task[None]] = []
        self.network_relays: relays.Network | None = None

    async def relay_peers(self) -> relays.Network:
        """Put a relay in front of each machine; before the start."""
        self.network_relays = relays.Network(self.hosts)
        for host in self.hosts.values():
            port = host.ports['peers']
            await self.network_relays.relay(
                host.name, (host.address, port), (host.backend_address, port)
            )
        return self.network_relays

    def add(self, name: str, zone: str, service: str) -> Host:
        host = Host(self, name, zone, service, 1 + len(self.hosts))
        self.hosts[name] = host
        return host

    async def start(self, config: dict[str, Any]) -> None:
        """Start everything and wait until all machines are ready."""
        await self.store.configure(config)
        await self.store.listen(self.store_address, self.store_port)
        self.background.append(
            asyncio.ensure_future(self.store.expire_leases())
        )
        for host in self.hosts.values():
            await host.start()
        for host in self.hosts.values():
            await host.worker.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all proxies are ready.

        :raises TimeoutError: they were not in time.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            for host in self.hosts.values():
                while not await host.is_ready():
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts.values():
            host.signal(signal.SIGCONT)
            await host.kill()
            await host.worker.stop()
        for task in self.background:
            task.cancel()
        self.store.stop_listening()
        if self.network_relays is not None:
            self.network_relays.close()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str,
    service: str,
    kind: str = 'safe',
    timeout_ms: int = 1200,
    host: str = 'bonds.example',
    **changes: Any,
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': name,
        'host': host,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': timeout_ms,
        'targetLatencyMs': timeout_ms // 4,
        'priority': 0,
        'service': service,
        'maxAttempts': 2,
    } | changes


def config(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a whole configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'maxConnections': 120, 'healthCheckPath': '/health'}
            for name in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }
