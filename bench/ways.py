"""Compares distribution by the tree with daemons that watch the store.

Two platforms run at the same time, one with a mesh of daemons, one with as
many watchers.  Each change is accepted first on one and then on the other.
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
from bench import documents
from bench import json_output
from bench import meshes
from bench import stats
from peridotpost.cli import operator
from peridotpost.standins import mesh
from peridotpost.store import versions
from testing import processes

SETTLE_S = 2.0
COLLECT_ATTEMPTS = 10


class Watchers:
    """Watcher processes on a platform of their own."""

    def __init__(
        self, running: processes.RunningMesh, count: int, name: str
    ) -> None:
        self.processes = running
        self.names = [f'watcher-{number}' for number in range(count)]
        self.mesh = name
        self.store = operator.open_store((running.plan.store,), 5.0)
        self.head = 0

    def start(self) -> None:
        for name in self.names:
            self.processes.start(
                name,
                'bench.watcher',
                '--store',
                self.processes.plan.store,
                '--mesh',
                self.mesh,
                '--host',
                name,
            )

    async def measure_document_change(self, document: str) -> list[float]:
        """Accept a document; return the delay at each watcher."""
        accepted_at = time.time()
        proposed = operator.make_version(document, 'bench', '', self.head, '')
        result = await versions.accept(
            self.store, self.mesh, proposed, asyncio.sleep
        )
        if not isinstance(result, versions.Committed):
            raise RuntimeError(f'the mesh document was not accepted: {result}')
        self.head = result.revision
        for _ in range(COLLECT_ATTEMPTS):
            await asyncio.sleep(SETTLE_S)
            times = [self._applied_at(name) for name in self.names]
            delays = [at - accepted_at for at in times if at is not None]
            if len(delays) == len(self.names):
                return delays
        raise TimeoutError('not every watcher received the version')

    def _applied_at(self, name: str) -> float | None:
        for line in self.processes.read_log(name).splitlines():
            record = json.loads(line)
            if record['revision'] == self.head:
                return float(record['at'])
        return None


@contextlib.asynccontextmanager
async def running_watchers(
    document: str, directory: pathlib.Path, count: int
) -> Any:
    """Start a platform and its watchers; kill them on exit."""
    plan = mesh.plan_mesh(document, directory, 1, random.Random())
    mesh_processes = processes.RunningMesh(plan, directory, {})
    watchers = Watchers(mesh_processes, count, plan.mesh)
    try:
        mesh_processes.start_platform()
        await asyncio.sleep(1.0)
        watchers.start()
        yield watchers
    finally:
        watchers.store.close()
        for process in mesh_processes.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in mesh_processes.processes.values():
            process.wait(processes.STOP_TIMEOUT_S)


async def measure(
    hosts_per_zone: int, services: int, repetitions: int
) -> dict[str, Any]:
    """Run both kinds of distribution and return their results."""
    zones = 4
    document = documents.generate_document(services, zones)
    circumstances = stats.describe_environment()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        tree_directory, watch_directory = (
            pathlib.Path(name, 'tree'),
            pathlib.Path(name, 'watch'),
        )
        tree_directory.mkdir()
        watch_directory.mkdir()
        async with (
            meshes.running(document, tree_directory, hosts_per_zone) as bench,
            running_watchers(
                document, watch_directory, zones * hosts_per_zone
            ) as watchers,
        ):
            await bench.accept(document)
            await watchers.measure_document_change(document)
            return {
                'circumstances': circumstances,
                'daemons': zones * hosts_per_zone,
                'services': services,
                'repetitions': repetitions,
                **await _measure_alternately(
                    bench, watchers, document, repetitions
                ),
            }


async def _measure_alternately(
    bench: meshes.BenchMesh,
    watchers: Watchers,
    document: str,
    repetitions: int,
) -> dict[str, Any]:
    tree_delays: list[float] = []
    watch_delays: list[float] = []
    # The store keeps watches that a daemon abandoned until their wait ends.
    await asyncio.sleep(30.0)
    before = await convergence.take_sample(bench)
    watch_before = await _store_counts(bench, watchers)
    for number in range(repetitions):
        changed = documents.with_deadline(document, number)
        tree_delays += await convergence.measure_document_change(
            bench, changed
        )
        watch_delays += await watchers.measure_document_change(changed)
        click.echo(f'repetition {number + 1} done', err=True)
    after = await convergence.take_sample(bench)
    watch_after = await _store_counts(bench, watchers)
    stored_bytes = len(
        versions.encode_version(
            versions.AcceptedVersion(
                1, 1, '0' * 32, 'bench', '', 0.0, 0, document
            )
        )
    )
    link_bytes = [
        (
            after.totals[host].get('link.sent-bytes', 0)
            - before.totals[host].get('link.sent-bytes', 0)
        )
        / repetitions
        for host in after.totals
    ]
    return {
        'stored_value_bytes': stored_bytes,
        'tree': {
            'text_s': dataclasses.asdict(stats.spread(tree_delays)),
            'watches': after.store.get('watching', 0),
            'link_bytes_per_change': sum(link_bytes),
            'store_bytes_per_change': stored_bytes * after.store['watching'],
            'store_calls': _count_increases(before.store, after.store),
        },
        'watch': {
            'text_s': dataclasses.asdict(stats.spread(watch_delays)),
            'watches': watch_after.get('watching', 0),
            'link_bytes_per_change': 0,
            'store_bytes_per_change': stored_bytes * watch_after['watching'],
            'store_calls': _count_increases(watch_before, watch_after),
        },
    }


async def _store_counts(
    bench: meshes.BenchMesh, watchers: Watchers
) -> dict[str, int]:
    response = await bench.client.fetch(
        f'{watchers.processes.plan.store}/control/counts'
    )
    counts: dict[str, int] = json.loads(response.body)
    return counts


def _count_increases(
    before: dict[str, int], after: dict[str, int]
) -> dict[str, int]:
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
    """Compare both kinds of distribution; write JSON."""
    result = asyncio.run(measure(hosts_per_zone, services, repetitions))
    json_output.write_result(result, output)


if __name__ == '__main__':
    main()
