"""Hosts of a run: a daemon and a target as processes, relays between."""

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

from testing.soak import records
from testing.soak import relay
from testing.soak import worker_program

REQUESTS, READINESS, ANNOUNCEMENTS, PEERS, METRICS = range(20_001, 20_006)
STORE, TARGET = 20_010, 20_020
CLOCK_VARIABLE = 'SOAK_CLOCK_OFFSET_S'
CLOCK_FOLDER = pathlib.Path(__file__).parent / 'clock'
"""Holds a ``sitecustomize`` that shifts the wall clock of a process."""
GRACE_S = 6.0
STOP_TIMEOUT_S = GRACE_S + 4.0
ROOT = pathlib.Path(__file__).parents[2]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a host stands, and where its files are."""

    name: str
    network: str
    number: int
    zone: str
    service: str
    folder: pathlib.Path

    @property
    def address(self) -> str:
        return f'{self.network}.{self.number}'

    @property
    def behind(self) -> str:
        """The address behind the relays."""
        return f'{self.network}.{100 + self.number}'


class Host:
    """Starts, signals and ends the processes of one host."""

    def __init__(self, place: Place, seen: records.Records) -> None:
        self.place = place
        self.seen = seen
        self.daemon: asyncio.subprocess.Process | None = None
        self.target: asyncio.subprocess.Process | None = None
        self.links: dict[str, relay.Relay] = {}
        self.births = 1
        self.retired = False
        self.watching: set[asyncio.Task[None]] = set()
        self.expected: set[int] = set()

    @property
    def notes(self) -> pathlib.Path:
        return self.place.folder / f'{self.place.name}.runs'

    @property
    def instance(self) -> str:
        return f'i-{self.place.name}-{self.births}'

    async def start_daemon(self, clock_s: float = 0.0) -> None:
        settings = self._write_settings()
        log = open(self.place.folder / f'{self.place.name}.log', 'ab')
        path = f'{CLOCK_FOLDER}:{ROOT / "src"}:{ROOT}'
        environment = os.environ | {
            'PYTHONPATH': path,
            CLOCK_VARIABLE: str(clock_s),
        }
        with contextlib.closing(log):
            self.daemon = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'peridotpost.cli.proxy', '--settings', str(settings)),
                stdout=log,
                stderr=log,
                env=environment,
            )
        task = asyncio.ensure_future(self._watch(self.daemon))
        self.watching.add(task)
        task.add_done_callback(self.watching.discard)

    async def start_target(self, same_id: bool) -> None:
        """Start the target, unless it was taken away for good."""
        if self.retired:
            return
        if not same_id:
            self.births += 1
        place = self.place
        arguments = {
            'instance': self.instance,
            'service': place.service,
            'bind': f'{place.behind}:{TARGET}',
            'announced': f'{place.address}:{TARGET}',
            'beside': f'{place.address}:{ANNOUNCEMENTS}',
            'notes': str(self.notes),
        }
        log = open(place.folder / f'{place.name}.target.log', 'ab')
        with contextlib.closing(log):
            self.target = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'testing.soak.worker_program'),
                *(f'--{name}={arguments[name]}' for name in arguments),
                stdout=log,
                stderr=log,
                env=os.environ | {'PYTHONPATH': f'{ROOT / "src"}:{ROOT}'},
            )

    async def end_daemon(self, how: signal.Signals) -> None:
        """Send a signal that ends the daemon, and wait for its end."""
        process = self.daemon
        if process is None or process.returncode is not None:
            return
        self.expected.add(process.pid)
        await _end(process, how)

    async def end_target(self, how: signal.Signals) -> None:
        if self.target is not None and self.target.returncode is None:
            await _end(self.target, how)

    def signal_daemon(self, how: signal.Signals) -> None:
        """Signal the daemon, unless it has ended."""
        if self.daemon is not None and self.daemon.returncode is None:
            self.daemon.send_signal(how)

    def signal_target(self, how: signal.Signals) -> None:
        """Signal the target, unless it has ended."""
        if self.target is not None and self.target.returncode is None:
            self.target.send_signal(how)

    def read_notes(self) -> None:
        """Add what the targets noted to what was seen."""
        if not self.notes.exists():
            return
        for line in self.notes.read_bytes().splitlines():
            told = json.loads(line)
            if told['event'] == 'acknowledged':
                self.seen.left.append(
                    records.Left(told['at'], self.place.name, told['instance'])
                )
                continue
            self.seen.ran.append(_ran(self.place.name, told))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process.pid not in self.expected:
            self.seen.exits.append(
                records.Exit(time.monotonic(), self.place.name, code)
            )

    def _write_settings(self) -> pathlib.Path:
        place = self.place
        listen = {
            'requests': f'{place.address}:{REQUESTS}',
            'readiness': f'{place.address}:{READINESS}',
            'announcements': f'{place.address}:{ANNOUNCEMENTS}',
            'peers': f'{place.behind}:{PEERS}',
            'metrics': f'{place.address}:{METRICS}',
        }
        settings = {
            'host': place.name,
            'availability_zone': place.zone,
            'address': place.address,
            'service': place.service,
            'target': f'{place.address}:{TARGET}',
            'listen': listen,
            'store': f'{place.behind}:{STORE}',
            'shutdown': {'grace_s': GRACE_S},
        }
        path = place.folder / f'{place.name}.json'
        path.write_text(json.dumps(settings))
        return path


def _ran(host: str, told: dict[str, object]) -> records.Ran:
    instance = str(told['instance'])
    attempt = str(told['attempt'])
    return records.Ran(
        at=float(str(told['at'])),
        host=host,
        instance=instance,
        service=str(told['service']),
        attempt=attempt,
        method=str(told['method']),
        target=str(told['target']),
        digest=str(told['digest']),
        told_ms=int(str(told['told_ms'])),
        answer=worker_program.made_by(instance, attempt).decode(),
    )


async def _end(
    process: asyncio.subprocess.Process, how: signal.Signals
) -> None:
    with contextlib.suppress(ProcessLookupError):
        # A paused process takes no signal but this and SIGKILL.
        process.send_signal(signal.SIGCONT)
        process.send_signal(how)
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


@contextlib.asynccontextmanager
async def running(
    place: Place, store: str, seen: records.Records
) -> AsyncIterator[Host]:
    """Start a host's processes and relays; ends all it started."""
    host = Host(place, seen)
    store_address, _, store_port = store.rpartition(':')
    ways = {
        'store': (place.behind, STORE, store_address, int(store_port)),
        'peers': (place.address, PEERS, place.behind, PEERS),
        'target': (place.address, TARGET, place.behind, TARGET),
    }
    async with contextlib.AsyncExitStack() as stack:
        for name in ways:
            host.links[name] = await stack.enter_async_context(
                relay.relaying(*ways[name])
            )
        try:
            await host.start_daemon()
            await host.start_target(same_id=True)
            yield host
        finally:
            await host.end_target(signal.SIGKILL)
            await host.end_daemon(signal.SIGKILL)
            await asyncio.gather(*host.watching)
