"""Measures what the path adds to a direct call of the same target.

Three ways to the same kind of target, in one run: direct; by the target's
own daemon (ingress and guard in one process); by another host's daemon
(ingress, peer stream, guard).
"""

import asyncio
import dataclasses
import functools
import json
import os
import pathlib
import pstats
import random
import signal
import sys
import tempfile
import time
from typing import Any

import click

from bench import figures
from bench import jsonout
from bench import meshes
from peridotpost.load import client
from peridotpost.load import histogram
from peridotpost.standins import mesh
from testing import processes

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples/rautasilta.yaml'
PATH = '/bonds/17'
CALLER_PROCESSES = 3
CONNECTIONS_EACH = 8
ROUNDS = 4
WARM_CALLS = 200
TOP_FUNCTIONS = 45
TARGET_SLOTS = '400'


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """Where calls go in, for which service, and who carries them."""

    name: str
    port: int
    service: str
    daemons: tuple[mesh.PlannedHost, ...]
    method: str = 'GET'


def ways_of(bench: meshes.Bench, target_port: int) -> list[Way]:
    """Return the ways; hosts are the example's, one in each zone."""
    first, second, third, _ = bench.plan.hosts
    return [
        Way('direct', target_port, first.service, ()),
        Way('same-host', first.ports['caller_port'], first.service, (first,)),
        Way(
            'across',
            second.ports['caller_port'],
            third.service,
            (second, third),
        ),
    ]


async def open_loop(
    ways: list[Way], rate: float, seconds: float
) -> dict[str, histogram.Histogram]:
    """Send calls over all ways in turn, each at `rate` a second."""
    clients = {way.name: client.Client('127.0.0.1', way.port) for way in ways}
    times = {way.name: histogram.Histogram() for way in ways}
    loop = asyncio.get_running_loop()
    pending: set[asyncio.Future[None]] = set()

    async def call(way: Way, due: float) -> None:
        request = client.Request(way.method, PATH, (('Host', way.service),))
        received = await clients[way.name].send(request)
        if received.status != 200:
            raise RuntimeError(f'{way.name}: status {received.status}')
        times[way.name].add(loop.time() - due)

    step = 1 / (rate * len(ways))
    began = loop.time()
    for number in range(int(seconds * rate * len(ways))):
        due = began + number * step
        await asyncio.sleep(max(0.0, due - loop.time()))
        task = asyncio.ensure_future(call(ways[number % len(ways)], due))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    for one in clients.values():
        one.close()
    return times


async def cpu_of(bench: meshes.Bench, way: Way) -> list[float]:
    return [
        float((await bench.page(host, '/v1/status'))['cpu_s'])
        for host in way.daemons
    ]


async def cpu_per_call(
    bench: meshes.Bench, way: Way, rate: float, seconds: float
) -> list[float]:
    """Return milliseconds of processor time a call, in each daemon."""
    idle = await cpu_of(bench, way)
    await asyncio.sleep(seconds)
    before = await cpu_of(bench, way)
    times = await open_loop([way], rate, seconds)
    after = await cpu_of(bench, way)
    count = times[way.name].count
    return [
        round(((c - b) - (b - a)) / count * 1000, 4)
        for a, b, c in zip(idle, before, after)
    ]


async def saturate(way: Way, seconds: float) -> dict[str, float]:
    """Keep callers in several processes busy; return sums and means."""
    started = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.callers',
            '--port',
            str(way.port),
            '--service',
            way.service,
            '--connections',
            str(CONNECTIONS_EACH),
            '--seconds',
            str(seconds),
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(CALLER_PROCESSES)
    ]
    printed = [(await one.communicate())[0] for one in started]
    found = [json.loads(line) for line in printed]
    return {
        'calls_per_s': sum(one['calls_per_s'] for one in found),
        'failed': sum(one['failed'] for one in found),
        'calls': sum(one['calls'] for one in found),
        'p50_ms': sum(one['p50_ms'] for one in found) / len(found),
        'p99_ms': sum(one['p99_ms'] for one in found) / len(found),
    }


async def measure(
    rate: float, seconds: float, profile: bool
) -> dict[str, Any]:
    text = EXAMPLE.read_text()
    circumstances = figures.circumstances()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        directory = pathlib.Path(name)
        if profile:
            os.environ['BENCH_PROFILE'] = str(directory / 'profile')
        async with meshes.running(
            text, directory, 1, announced=False
        ) as bench:
            ports = await _start_targets(bench)
            await bench.accept(text)
            await _wait_routed(bench)
            ways = ways_of(bench, ports[0])
            await open_loop(ways, 100.0, WARM_CALLS / 100.0)
            if profile:
                await open_loop(ways[1:], rate, seconds)
                return await _profiles(bench, directory)
            return {
                'circumstances': circumstances,
                'rate': rate,
                'seconds': seconds,
                **await _figures(bench, ways, rate, seconds),
                'load_1_min_at_end': os.getloadavg()[0],
            }


async def _figures(
    bench: meshes.Bench, ways: list[Way], rate: float, seconds: float
) -> dict[str, Any]:
    times = await open_loop(ways, rate, seconds)
    click.echo('open loop done', err=True)
    cpu = {
        way.name: await cpu_per_call(bench, way, rate, seconds / 2)
        for way in ways
        if way.daemons
    }
    click.echo('processor time done', err=True)
    full: dict[str, list[dict[str, float]]] = {way.name: [] for way in ways}
    spent: dict[str, list[float]] = {way.name: [] for way in ways}
    for _ in range(ROUNDS):
        for way in ways:
            before = await cpu_of(bench, way)
            found = await saturate(way, seconds / 8)
            after = await cpu_of(bench, way)
            full[way.name].append(found)
            spent[way.name] += [
                (b - a) / found['calls'] * 1000 for a, b in zip(before, after)
            ]
    return {
        'open_loop': _against_direct(
            {
                name: {
                    'calls': float(one.count),
                    'p50_ms': one.quantile(0.5) * 1000,
                    'p99_ms': one.quantile(0.99) * 1000,
                }
                for name, one in times.items()
            }
        ),
        'cpu_ms_per_call_of_each_daemon': cpu,
        'saturation': _against_direct(
            {name: _median(found) for name, found in full.items()}
        ),
        'saturation_cpu_ms_per_call': {
            name: [round(one, 4) for one in found]
            for name, found in spent.items()
        },
    }


def _median(found: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: figures.quantile([one[name] for one in found], 0.5)
        for name in found[0]
    }


def _against_direct(
    found: dict[str, dict[str, float]],
) -> dict[str, dict[str, float]]:
    """Add each quantile's ratio to and difference from the direct call."""
    direct = found['direct']
    shown = {}
    for name, row in found.items():
        shown[name] = {key: round(value, 4) for key, value in row.items()}
        for quantile in ('p50_ms', 'p99_ms'):
            shown[name][f'{quantile}_ratio'] = round(
                row[quantile] / direct[quantile], 3
            )
            shown[name][f'{quantile}_added'] = round(
                row[quantile] - direct[quantile], 4
            )
    return shown


async def _start_targets(bench: meshes.Bench) -> list[int]:
    """Start a target on each host; return their ports."""
    running = bench.running
    ports = []
    free = mesh.free_ports(random.Random())
    for host in bench.plan.hosts:
        port = next(free)
        running.start_target(
            host, '--port', str(port), '--slots', TARGET_SLOTS
        )
        ports.append(port)
    return ports


async def _wait_routed(bench: meshes.Bench) -> None:
    until = time.monotonic() + meshes.START_S
    count = len(bench.plan.hosts)
    while time.monotonic() < until:
        pages = await bench.pages('/v1/status')
        if all(
            sum(len(route['endpoints']) for route in page['routes']) == count
            for page in pages.values()
        ):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError('the tables did not get every target')


async def _profiles(
    bench: meshes.Bench, directory: pathlib.Path
) -> dict[str, Any]:
    """End the daemons, which write their profiles; print the top of each."""
    for host in bench.plan.hosts[:3]:
        process = bench.running.started.pop(f'daemon-{host.host}')
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(
            functools.partial(process.wait, processes.STOP_S)
        )
        stats = pstats.Stats(str(directory / f'profile.{host.host}.pstats'))
        click.echo(f'=== {host.host}')
        for order in ('tottime', 'cumulative'):
            stats.sort_stats(order).print_stats(TOP_FUNCTIONS)
    return {}


@click.command(
    epilog='Example: python -m bench.path --output bench/results/path.json'
)
@click.option('--rate', default=100.0, show_default=True)
@click.option('--seconds', default=20.0, show_default=True)
@click.option('--profile', is_flag=True, help='Print cProfiles instead.')
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    rate: float, seconds: float, profile: bool, output: pathlib.Path | None
) -> None:
    """Measure the path's added latency; write JSON."""
    found = asyncio.run(measure(rate, seconds, profile))
    jsonout.tell(found, output)


if __name__ == '__main__':
    main()
