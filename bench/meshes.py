"""Starts meshes of real daemons for benchmarks, and asks them."""

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
START_S = 120.0
ASK_S = 20.0
STARTED_AT_ONCE = 12
"""Daemons that import at the same time; the machine has as many cores."""


class Bench:
    """A running mesh, its targets' announcements and its pages."""

    def __init__(self, running: processes.RunningMesh) -> None:
        self.running = running
        self.plan = running.plan
        self.states = {host.host: 'ready' for host in self.plan.hosts}
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        self.store: etcd.EtcdStore = operator.open_store(
            (self.plan.store,), 5.0
        )
        self.head = 0

    async def page(self, host: mesh.PlannedHost, path: str) -> dict[str, Any]:
        answer = await self.client.fetch(
            f'http://{host.admin}{path}', request_timeout=ASK_S
        )
        read: dict[str, Any] = json.loads(answer.body)
        return read

    async def pages(self, path: str) -> dict[str, dict[str, Any]]:
        """Return a page of every daemon, by host."""
        found = await asyncio.gather(
            *(self.page(host, path) for host in self.plan.hosts)
        )
        return {host.host: page for host, page in zip(self.plan.hosts, found)}

    async def store_counts(self) -> dict[str, int]:
        answer = await self.client.fetch(
            f'{self.plan.store}/control/counts', request_timeout=ASK_S
        )
        read: dict[str, int] = json.loads(answer.body)
        return read

    async def announce(self, host: mesh.PlannedHost) -> None:
        """Tell a daemon of its target, as the target would."""
        with contextlib.suppress(httpclient.HTTPError, OSError):
            await self.client.fetch(
                f'http://{host.admin}/v1/targets/{host.service}',
                method='PUT',
                body=json.dumps(
                    {
                        'name': f't-{host.host}',
                        'port': 1,
                        'slots': 12,
                        'state': self.states[host.host],
                    }
                ),
                request_timeout=ASK_S,
            )

    async def accept(self, text: str) -> int:
        """Accept a text and return its version."""
        proposed = operator.propose(text, 'bench', '', self.head, '')
        won = await versions.accept(
            self.store, self.plan.mesh, proposed, asyncio.sleep
        )
        if not isinstance(won, versions.Won):
            raise RuntimeError(f'the text was not accepted: {won}')
        self.head = won.revision
        return won.revision

    def check_running(self) -> None:
        """Raise RuntimeError if a program has ended.

        A port that was free when planned may be taken since, where other
        meshes start on the same machine; then only a new plan helps.
        """
        for name, process in self.running.started.items():
            if process.poll() is not None:
                log = self.running.log_of(name)
                raise RuntimeError(f'{name} ended, start again: {log[-500:]}')

    async def wait_joined(self) -> None:
        """Wait until every daemon is ready and knows every other one.

        :raises TimeoutError: some did not get there.
        """
        until = time.monotonic() + START_S
        count = len(self.plan.hosts)
        while time.monotonic() < until:
            self.check_running()
            with contextlib.suppress(httpclient.HTTPError, OSError):
                pages = await self.pages('/v1/status')
                if all(
                    page['stage'] == 'ready' and len(page['members']) >= count
                    for page in pages.values()
                ):
                    return
            await asyncio.sleep(0.5)
        raise TimeoutError('the daemons did not find each other')


async def _announce_all(bench: Bench) -> None:
    """Repeat every target's announcement, spread over the period."""
    hosts = bench.plan.hosts
    while True:
        for host in hosts:
            asyncio.ensure_future(bench.announce(host))
            await asyncio.sleep(ANNOUNCE_PERIOD_S / len(hosts))


@contextlib.asynccontextmanager
async def running(
    text: str,
    directory: pathlib.Path,
    hosts_per_zone: int,
    *,
    announced: bool = True,
) -> AsyncIterator[Bench]:
    """Start the platform and the daemons; end them all at the end.

    :param announced: play the targets' part in announcing themselves, so
        that no process is needed for each of them.
    """
    plan = mesh.plan_mesh(
        text,
        directory,
        hosts_per_zone,
        random.Random(),
        {'log_level': 'off'},
    )
    started = processes.RunningMesh(plan, directory, {})
    announcing: asyncio.Future[None] | None = None
    bench = Bench(started)
    try:
        started.start_platform()
        for number, host in enumerate(plan.hosts):
            started.start(
                f'daemon-{host.host}',
                'bench.observed',
                '--settings',
                host.settings,
            )
            if number % STARTED_AT_ONCE == STARTED_AT_ONCE - 1:
                await asyncio.sleep(1.0)
        await bench.wait_joined()
        if announced:
            announcing = asyncio.ensure_future(_announce_all(bench))
        yield bench
    finally:
        if announcing is not None:
            announcing.cancel()
        bench.client.close()
        bench.store.close()
        for process in started.started.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in started.started.values():
            process.wait(processes.STOP_S)
