"""Hosts of a run: daemon and target processes connected by relays."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

from testing.soak import records
from testing.soak import relay
from testing.soak import worker_program

REQUESTS_PORT, READINESS_PORT, ANNOUNCEMENTS_PORT, PEERS_PORT, METRICS_PORT = (
    range(20_001, 20_006)
)
STORE_PORT, TARGET_PORT = 20_010, 20_020
CLOCK_OFFSET_VARIABLE = 'SOAK_CLOCK_OFFSET_S'
CLOCK_SHIM_FOLDER = pathlib.Path(__file__).parent / 'clock'
"""Holds a ``sitecustomize`` module that shifts a process's wall clock."""
SHUTDOWN_GRACE_S = 6.0
STOP_TIMEOUT_S = SHUTDOWN_GRACE_S + 4.0
REPO_ROOT = pathlib.Path(__file__).parents[2]


@dataclasses.dataclass(frozen=True, slots=True)
class HostSpec:
    """Address, availability zone, service and file location of a host.

    :param targets_state_leaving: whether targets state in responses that they
        leave, some time before they announce it.
    :param memory_mb: memory that the daemon may take.
    """

    name: str
    network: str
    number: int
    zone: str
    service: str
    folder: pathlib.Path
    targets_state_leaving: bool = False
    memory_mb: int = 256

    @property
    def address(self) -> str:
        return f'{self.network}.{self.number}'

    @property
    def backend_address(self) -> str:
        """The address that only the relays connect to."""
        return f'{self.network}.{100 + self.number}'


class Host:
    """Starts, signals and stops the processes of one host."""

    def __init__(self, spec: HostSpec, observed: records.Records) -> None:
        self.spec = spec
        self.observed = observed
        self.daemon: asyncio.subprocess.Process | None = None
        self.target: asyncio.subprocess.Process | None = None
        self.links: dict[str, relay.Relay] = {}
        self.target_generation = 1
        self.target_removed = False
        self.exit_watchers: set[asyncio.Task[None]] = set()
        self.expected_exits: set[int] = set()

    @property
    def notes_path(self) -> pathlib.Path:
        return self.spec.folder / f'{self.spec.name}.runs'

    @property
    def instance(self) -> str:
        return f'i-{self.spec.name}-{self.target_generation}'

    async def start_daemon(self, clock_offset_s: float = 0.0) -> None:
        settings = self._write_settings()
        log = open(self.spec.folder / f'{self.spec.name}.log', 'ab')
        path = f'{CLOCK_SHIM_FOLDER}:{REPO_ROOT / "src"}:{REPO_ROOT}'
        environment = os.environ | {
            'PYTHONPATH': path,
            CLOCK_OFFSET_VARIABLE: str(clock_offset_s),
        }
        with contextlib.closing(log):
            self.daemon = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'peridotpost.cli.proxy', '--settings', str(settings)),
                stdout=log,
                stderr=log,
                env=environment,
            )
        task = asyncio.ensure_future(self._record_unexpected_exit(self.daemon))
        self.exit_watchers.add(task)
        task.add_done_callback(self.exit_watchers.discard)

    async def start_target(self, same_id: bool) -> None:
        """Start the target, unless a scale-in removed it."""
        if self.target_removed:
            return
        if not same_id:
            self.target_generation += 1
        spec = self.spec
        options = {
            'instance': self.instance,
            'service': spec.service,
            'bind': f'{spec.backend_address}:{TARGET_PORT}',
            'announced': f'{spec.address}:{TARGET_PORT}',
            'beside': f'{spec.address}:{ANNOUNCEMENTS_PORT}',
            'notes': str(self.notes_path),
            'requests': f'{spec.address}:{REQUESTS_PORT}',
        }
        flags = ['--states-leaving'] if spec.targets_state_leaving else []
        log = open(spec.folder / f'{spec.name}.target.log', 'ab')
        with contextlib.closing(log):
            self.target = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'testing.soak.worker_program'),
                *(f'--{name}={options[name]}' for name in options),
                *flags,
                stdout=log,
                stderr=log,
                env=os.environ
                | {'PYTHONPATH': f'{REPO_ROOT / "src"}:{REPO_ROOT}'},
            )

    async def stop_daemon(self, signal_number: signal.Signals) -> None:
        """Send a terminating signal to the daemon and wait for its exit."""
        process = self.daemon
        if process is None or process.returncode is not None:
            return
        self.expected_exits.add(process.pid)
        await _terminate(process, signal_number)

    async def stop_target(self, signal_number: signal.Signals) -> None:
        if self.target is not None and self.target.returncode is None:
            await _terminate(self.target, signal_number)

    def signal_daemon(self, signal_number: signal.Signals) -> None:
        """Signal the daemon, unless it has exited."""
        if self.daemon is not None and self.daemon.returncode is None:
            self.daemon.send_signal(signal_number)

    def signal_target(self, signal_number: int) -> None:
        """Signal the target, unless it has exited."""
        if self.target is not None and self.target.returncode is None:
            self.target.send_signal(signal_number)

    def load_target_notes(self) -> None:
        """Add the notes that the targets wrote to the records."""
        if not self.notes_path.exists():
            return
        for line in self.notes_path.read_bytes().splitlines():
            entry = json.loads(line)
            if entry['event'] == 'started':
                self.observed.target_processes.append(
                    records.TargetProcess(entry['instance'], entry['at'])
                )
                continue
            if entry['event'] == 'limit':
                # Of the process whose start was noted last in this file.
                self.observed.target_processes[-1].limits.append(
                    (entry['at'], entry['per_s'])
                )
                continue
            if entry['event'] == 'call':
                call = _parse_call(self.spec.name, entry)
                self.observed.requests.append(call)
                continue
            if entry['event'] == 'called':
                call = next(
                    one
                    for one in reversed(self.observed.requests)
                    if one.attempt == entry['attempt']
                )
                call.ended, call.status = entry['at'], entry['status']
                continue
            if entry['event'] == 'acknowledged':
                self.observed.drain_acks.append(
                    records.DrainAck(
                        entry['at'], self.spec.name, entry['instance']
                    )
                )
                continue
            self.observed.executions.append(
                _parse_execution(self.spec.name, entry)
            )

    async def _record_unexpected_exit(
        self, process: asyncio.subprocess.Process
    ) -> None:
        code = await process.wait()
        if process.pid not in self.expected_exits:
            self.observed.exits.append(
                records.UnexpectedExit(time.monotonic(), self.spec.name, code)
            )

    def _write_settings(self) -> pathlib.Path:
        spec = self.spec
        listen = {
            'requests': f'{spec.address}:{REQUESTS_PORT}',
            'readiness': f'{spec.address}:{READINESS_PORT}',
            'announcements': f'{spec.address}:{ANNOUNCEMENTS_PORT}',
            'peers': f'{spec.backend_address}:{PEERS_PORT}',
            'metrics': f'{spec.address}:{METRICS_PORT}',
        }
        settings = {
            'host': spec.name,
            'availability_zone': spec.zone,
            'address': spec.address,
            'service': spec.service,
            'target': f'{spec.address}:{TARGET_PORT}',
            'listen': listen,
            'store': f'{spec.backend_address}:{STORE_PORT}',
            'shutdown': {'grace_s': SHUTDOWN_GRACE_S},
            'memory_mb': spec.memory_mb,
        }
        path = spec.folder / f'{spec.name}.json'
        path.write_text(json.dumps(settings))
        return path


def _parse_call(host: str, entry: dict[str, Any]) -> records.Asked:
    return records.Asked(
        attempt=entry['attempt'],
        host=host,
        kind=records.Kind.IDEMPOTENT,
        method='GET',
        target=entry['target'],
        digest=worker_program.digest(b''),
        sent=entry['at'],
        deadline_s=entry['deadline_ms'] / 1000,
        ended=entry['at'] + entry['deadline_ms'] / 1000,
        ending=records.Ending.LEFT,
        is_call=True,
    )


def _parse_execution(host: str, entry: dict[str, object]) -> records.Execution:
    instance = str(entry['instance'])
    attempt = str(entry['attempt'])
    return records.Execution(
        at=float(str(entry['at'])),
        host=host,
        instance=instance,
        service=str(entry['service']),
        attempt=attempt,
        method=str(entry['method']),
        target=str(entry['target']),
        digest=str(entry['digest']),
        remaining_ms=int(str(entry['told_ms'])),
        customer=str(entry['customer']),
        saw_key=bool(entry['saw_key']),
        response_body=worker_program.response_body(instance, attempt).decode(),
    )


async def _terminate(
    process: asyncio.subprocess.Process, signal_number: signal.Signals
) -> None:
    with contextlib.suppress(ProcessLookupError):
        # A stopped process handles no signal but SIGCONT and SIGKILL.
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


@contextlib.asynccontextmanager
async def running(
    spec: HostSpec, store: str, observed: records.Records
) -> AsyncIterator[Host]:
    """Start the relays and processes of a host; stop them on exit."""
    host = Host(spec, observed)
    store_address, _, store_port = store.rpartition(':')
    relay_endpoints = {
        'store': (
            spec.backend_address,
            STORE_PORT,
            store_address,
            int(store_port),
        ),
        'peers': (spec.address, PEERS_PORT, spec.backend_address, PEERS_PORT),
        'target': (
            spec.address,
            TARGET_PORT,
            spec.backend_address,
            TARGET_PORT,
        ),
    }
    async with contextlib.AsyncExitStack() as stack:
        for name in relay_endpoints:
            host.links[name] = await stack.enter_async_context(
                relay.serving(*relay_endpoints[name])
            )
        try:
            await host.start_daemon()
            await host.start_target(same_id=True)
            yield host
        finally:
            await host.stop_target(signal.SIGKILL)
            await host.stop_daemon(signal.SIGKILL)
            await asyncio.gather(*host.exit_watchers)
