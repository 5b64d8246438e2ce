"""Starts the project's processes as the deploy file does."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket

from standins import messages
from standins import record
from standins import worker as workers

REPOSITORY = pathlib.Path.cwd()
"""The scripts run at the root of the repository."""
COMMAND = ('python3', '-S', '-m', 'peridotpost.cli.proxy')
KEPT_VARIABLES = ('PATH', 'HOME', 'LANG')
GRACE_S = 6.0
START_TIMEOUT_S = 20.0
PORTS = (20_000, 30_000)


class CannotRun(Exception):
    """The case can't be played on this machine."""


def free_port(address: str) -> int:
    """Return a port that is free at a loopback address.

    It is below the range that the system takes ports of connections from: a
    caller that connects while nobody listens could otherwise reach itself.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((address, port))
                return port


@dataclasses.dataclass
class Machine:
    """A machine with its worker and the process beside it."""

    name: str
    zone: str
    address: str
    worker: workers.Worker
    store: str
    folder: pathlib.Path
    ports: dict[str, int] = dataclasses.field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    def at(self, name: str) -> str:
        return f'{self.address}:{self.ports[name]}'

    def write_settings(self) -> pathlib.Path:
        """Write what the platform renders from the settings template."""
        settings = {
            'host': self.name,
            'availability_zone': self.zone,
            'address': self.address,
            'service': self.worker.service,
            'target': self.at('target'),
            'listen': {
                'requests': self.at('requests'),
                'readiness': self.at('readiness'),
                'announcements': self.at('announcements'),
                'peers': self.at('peers'),
                'metrics': self.at('metrics'),
            },
            'store': self.store,
            'link_mbps': 1000.0,
            'retries': {'ratio': 0.2, 'extra': 60, 'window_s': 10},
            'shutdown': {'grace_s': GRACE_S},
        }
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(settings))
        return path

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['PERIDOTPOST_CONFIG'] = str(self.write_settings())
        with open(self.folder / f'{self.name}.log', 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                stdout=log,
                stderr=log,
                env=environment,
                cwd=REPOSITORY,
            )

    def signal(self, number: signal.Signals) -> None:
        """Signal the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports['readiness']
                )
                headers = {'Host': self.at('readiness')}
                writer.write(messages.request('GET', '/-/readiness', headers))
                answer = await messages.read(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200


def place(
    name: str,
    zone: str,
    address: str,
    worker: workers.Worker,
    store: str,
    folder: pathlib.Path,
) -> Machine:
    """Return a machine with free ports; its worker knows its addresses."""
    machine = Machine(name, zone, address, worker, store, folder)
    for port in (
        'requests',
        'readiness',
        'announcements',
        'peers',
        'metrics',
        'target',
    ):
        machine.ports[port] = free_port(address)
    worker.address = machine.at('target')
    worker.control_address = machine.at('announcements')
    return machine


@contextlib.asynccontextmanager
async def running(
    machines: list[Machine], notes: record.Record
) -> AsyncIterator[None]:
    """Run the machines' workers and processes; all are ended on exit.

    :raises CannotRun: a process does not become ready.
    """
    async with contextlib.AsyncExitStack() as stack:
        for machine in machines:
            await stack.enter_async_context(workers.serving(machine.worker))
        try:
            for machine in machines:
                await machine.start()
                notes.note('started', machine=machine.name)
            async with asyncio.timeout(START_TIMEOUT_S):
                for machine in machines:
                    while not await machine.is_ready():
                        await asyncio.sleep(0.1)
            yield
        except TimeoutError as error:
            raise CannotRun('a process did not become ready') from error
        finally:
            for machine in machines:
                await _end(machine)


async def _end(machine: Machine) -> None:
    process = machine.process
    if process is None or process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        process.kill()
    await process.wait()
