"""Compares the tree with every daemon watching the store, in one run.

Two platforms stand side by side, one with a mesh of daemons, one with as
many watchers.  The same changes are accepted in turn, one way at a time.
"""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import tempfile
import time
from typing import Any

import click

from bench import convergence
from bench import figures
from bench import jsonout
from bench import meshes
from bench import texts
from peridotpost.cli import operator
from peridotpost.standins import mesh
from peridotpost.store import versions
from testing import processes

SETTLE_S = 2.0
ATTEMPTS = 10


class Watchers:
    """Processes that watch a platform of their own."""

    def __init__(
        self, running: processes.RunningMesh, count: int, name: str
    ) -> None:
        self.running = running
        self.names = [f'watcher-{number}' for number in range(count)]
        self.mesh = name
        self.store = operator.open_store((running.plan.store,), 5.0)
        self.head = 0

    def start(self) -> None:
        for name in self.names:
            self.running.start(
                name,
                'bench.watcher',
                '--store',
                self.running.plan.store,
                '--mesh',
                self.mesh,
                '--host',
                name,
            )

    async def text_change(self, text: str) -> list[float]:
        """Accept a text; return the seconds until each has it in force."""
        since = time.time()
        proposed = operator.propose(text, 'bench', '', self.head, '')
        won = await versions.accept(
            self.store, self.mesh, proposed, asyncio.sleep
        )
        if not isinstance(won, versions.Won):
            raise RuntimeError(f'the text was not accepted: {won}')
        self.head = won.revision
        for _ in range(ATTEMPTS):
            await asyncio.sleep(SETTLE_S)
            found = [self._at(name) for name in self.names]
            delays = [at - since for at in found if at is not None]
            if len(delays) == len(self.names):
                return delays
        raise TimeoutError('some watchers never had it')

    def _at(self, name: str) -> float | None:
        for line in self.running.log_of(name).splitlines():
            told = json.loads(line)
            if told['revision'] == self.head:
                return float(told['at'])
        return None


@contextlib.asynccontextmanager
async def watching(text: str, directory: pathlib.Path, count: int) -> Any:
    """Start a platform and its watchers; end them at the end."""
    plan = mesh.plan_mesh(text, directory, 1, random.Random())
    running = processes.RunningMesh(plan, directory, {})
    watchers = Watchers(running, count, plan.mesh)
    try:
        running.start_platform()
        await asyncio.sleep(1.0)
        watchers.start()
        yield watchers
    finally:
        watchers.store.close()
        for process in running.started.values():
            process.send_signal(signal.SIGKILL)
        for process in running.started.values():
            process.wait(processes.STOP_S)


async def measure(
    hosts_per_zone: int, services: int, repetitions: int
) -> dict[str, Any]:
    """Run both ways in turn and return their figures."""
    zones = 4
    text = texts.mesh_text(services, zones)
    circumstances = figures.circumstances()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        own, other = pathlib.Path(name, 'tree'), pathlib.Path(name, 'watch')
        own.mkdir()
        other.mkdir()
        async with (
            meshes.running(text, own, hosts_per_zone) as bench,
            watching(text, other, zones * hosts_per_zone) as watchers,
        ):
            await bench.accept(text)
            await watchers.text_change(text)
            return {
                'circumstances': circumstances,
                'daemons': zones * hosts_per_zone,
                'services': services,
                'repetitions': repetitions,
                **await _in_turn(bench, watchers, text, repetitions),
            }


async def _in_turn(
    bench: meshes.Bench, watchers: Watchers, text: str, repetitions: int
) -> dict[str, Any]:
    by_tree: list[float] = []
    by_watch: list[float] = []
    # Watches that a daemon gave up on stand until the store's next wait.
    await asyncio.sleep(30.0)
    before = await convergence.sample(bench)
    watch_before = await _counts(bench, watchers)
    for number in range(repetitions):
        changed = texts.with_deadline(text, number)
        by_tree += await convergence.text_change(bench, changed)
        by_watch += await watchers.text_change(changed)
        click.echo(f'repetition {number + 1} done', err=True)
    after = await convergence.sample(bench)
    watch_after = await _counts(bench, watchers)
    stored = len(
        versions.to_value(
            versions.Accepted(1, 1, '0' * 32, 'bench', '', 0.0, 0, text)
        )
    )
    links = [
        (
            after.totals[host].get('link.sent-bytes', 0)
            - before.totals[host].get('link.sent-bytes', 0)
        )
        / repetitions
        for host in after.totals
    ]
    return {
        'stored_value_bytes': stored,
        'tree': {
            'text_s': dataclasses.asdict(figures.spread(by_tree)),
            'watches': after.store.get('watching', 0),
            'link_bytes_per_change': sum(links),
            'store_bytes_per_change': stored * after.store['watching'],
            'store_calls': _grown(before.store, after.store),
        },
        'watch': {
            'text_s': dataclasses.asdict(figures.spread(by_watch)),
            'watches': watch_after.get('watching', 0),
            'link_bytes_per_change': 0,
            'store_bytes_per_change': stored * watch_after['watching'],
            'store_calls': _grown(watch_before, watch_after),
        },
    }


async def _counts(bench: meshes.Bench, watchers: Watchers) -> dict[str, int]:
    answer = await bench.client.fetch(
        f'{watchers.running.plan.store}/control/counts'
    )
    read: dict[str, int] = json.loads(answer.body)
    return read


def _grown(before: dict[str, int], after: dict[str, int]) -> dict[str, int]:
    return {
        name: count - before.get(name, 0)
        for name, count in after.items()
        if name != 'watching'
    }


@click.command(
    epilog='Example: python -m bench.ways --hosts-per-zone 12 '
    '--output bench/results/ways-48.json'
)
@click.option('--hosts-per-zone', default=3, show_default=True)
@click.option('--services', default=150, show_default=True)
@click.option('--repetitions', default=8, show_default=True)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    hosts_per_zone: int,
    services: int,
    repetitions: int,
    output: pathlib.Path | None,
) -> None:
    """Compare both ways; write JSON."""
    found = asyncio.run(measure(hosts_per_zone, services, repetitions))
    jsonout.tell(found, output)


if __name__ == '__main__':
    main()
