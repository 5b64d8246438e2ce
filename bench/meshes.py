"""Starts meshes of daemon processes for benchmarks and queries them."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import random
import signal
import time
from typing import Any

from tornado import httpclient

from peridotpost.cli import operator
from peridotpost.standins import mesh
from peridotpost.store import etcd
from peridotpost.store import versions
from testing import processes

ANNOUNCE_PERIOD_S = 1.0
START_TIMEOUT_S = 120.0
REQUEST_TIMEOUT_S = 20.0
START_BATCH_SIZE = 12
"""As many daemons import their modules at once as the machine has cores."""


class BenchMesh:
    """A running mesh: fetches admin pages and announces targets."""

    def __init__(self, running: processes.RunningMesh) -> None:
        self.processes = running
        self.plan = running.plan
        self.target_states = {host.host: 'ready' for host in self.plan.hosts}
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.store: etcd.EtcdStore = operator.open_store(
            (self.plan.store,), 5.0
        )
        self.head = 0

    async def fetch_page(
        self, host: mesh.PlannedHost, path: str
    ) -> dict[str, Any]:
        response = await self.client.fetch(
            f'http://{host.admin}{path}', request_timeout=REQUEST_TIMEOUT_S
        )
        content: dict[str, Any] = json.loads(response.body)
        return content

    async def fetch_pages(self, path: str) -> dict[str, dict[str, Any]]:
        """Return a page of every daemon by host."""
        fetched = await asyncio.gather(
            *(self.fetch_page(host, path) for host in self.plan.hosts)
        )
        return {
            host.host: page for host, page in zip(self.plan.hosts, fetched)
        }

    async def store_counts(self) -> dict[str, int]:
        response = await self.client.fetch(
            f'{self.plan.store}/control/counts',
            request_timeout=REQUEST_TIMEOUT_S,
        )
        counts: dict[str, int] = json.loads(response.body)
        return counts

    async def announce(self, host: mesh.PlannedHost) -> None:
        """Announce a target to its daemon in place of the target."""
        with contextlib.suppress(httpclient.HTTPError, OSError):
            await self.client.fetch(
                f'http://{host.admin}/v1/targets/{host.service}',
                method='PUT',
                body=json.dumps(
                    {
                        'name': f't-{host.host}',
                        'port': 1,
                        'slots': 12,
                        'state': self.target_states[host.host],
                    }
                ),
                request_timeout=REQUEST_TIMEOUT_S,
            )

    async def accept(self, document: str) -> int:
        """Accept a mesh document and return its version."""
        proposed = operator.make_version(document, 'bench', '', self.head, '')
        result = await versions.accept(
            self.store, self.plan.mesh, proposed, asyncio.sleep
        )
        if not isinstance(result, versions.Committed):
            raise RuntimeError(f'the mesh document was not accepted: {result}')
        self.head = result.revision
        return result.revision

    def check_running(self) -> None:
        """Raise RuntimeError if a process has ended.

        If other meshes start on the same machine, they may take a port
        that was free when the plan was made; this needs a new plan.
        """
        for name, process in self.processes.processes.items():
            if process.poll() is not None:
                log = self.processes.read_log(name)
                raise RuntimeError(
                    f'{name} ended, run the benchmark again: {log[-500:]}'
                )

    async def wait_until_joined(self) -> None:
        """Wait until every daemon is ready and knows all members.

        :raises TimeoutError: not all daemons joined in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        count = len(self.plan.hosts)
        while time.monotonic() < deadline:
            self.check_running()
            with contextlib.suppress(httpclient.HTTPError, OSError):
                pages = await self.fetch_pages('/v1/status')
                if all(
                    page['stage'] == 'ready' and len(page['members']) >= count
                    for page in pages.values()
                ):
                    return
            await asyncio.sleep(0.5)
        raise TimeoutError('not all daemons joined the mesh in time')


async def _announce_periodically(bench: BenchMesh) -> None:
    """Announce every target periodically, spread evenly over the period."""
    hosts = bench.plan.hosts
    while True:
        for host in hosts:
            asyncio.ensure_future(bench.announce(host))
            await asyncio.sleep(ANNOUNCE_PERIOD_S / len(hosts))


@contextlib.asynccontextmanager
async def running(
    document: str,
    directory: pathlib.Path,
    hosts_per_zone: int,
    *,
    announce_targets: bool = True,
) -> AsyncIterator[BenchMesh]:
    """Start the platform and the daemons; kill them on exit.

    :param announce_targets: announce targets from this process, so that no
        target processes are needed.
    """
    plan = mesh.plan_mesh(
        document,
        directory,
        hosts_per_zone,
        random.Random(),
        {'log_level': 'off'},
    )
    mesh_processes = processes.RunningMesh(plan, directory, {})
    announce_task: asyncio.Future[None] | None = None
    bench = BenchMesh(mesh_processes)
    try:
        mesh_processes.start_platform()
        for number, host in enumerate(plan.hosts):
            mesh_processes.start(
                f'daemon-{host.host}',
                'bench.observed',
                '--settings',
                host.settings,
            )
            if number % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                await asyncio.sleep(1.0)
        await bench.wait_until_joined()
        if announce_targets:
            announce_task = asyncio.ensure_future(
                _announce_periodically(bench)
            )
        yield bench
    finally:
        if announce_task is not None:
            announce_task.cancel()
        bench.client.close()
        bench.store.close()
        for process in mesh_processes.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in mesh_processes.processes.values():
            process.wait(processes.STOP_TIMEOUT_S)
