"""Measures the latency and CPU time that daemons add to a direct call.

One run compares three paths to the same kind of target: direct; through
the daemon on the target's host (ingress and guard in one process); through
a daemon on another host (ingress, peer stream, guard).
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

from bench import json_output
from bench import meshes
from bench import stats
from peridotpost.load import client
from peridotpost.load import histogram
from peridotpost.standins import mesh
from testing import processes

EXAMPLE_DOCUMENT = (
    pathlib.Path(__file__).parent.parent / 'examples/rautasilta.yaml'
)
REQUEST_PATH = '/bonds/17'
CALLER_PROCESSES = 3
CONNECTIONS_EACH = 8
ROUNDS = 4
WARMUP_CALLS = 200
TOP_FUNCTIONS = 45
TARGET_SLOTS = '400'


@dataclasses.dataclass(frozen=True, slots=True)
class CallPath:
    """Entry port and service of calls, and the daemons they pass through."""

    name: str
    port: int
    service: str
    daemons: tuple[mesh.PlannedHost, ...]
    method: str = 'GET'


def make_call_paths(
    bench: meshes.BenchMesh, target_port: int
) -> list[CallPath]:
    """Return the call paths; the example has one host in each zone."""
    first, second, third, _ = bench.plan.hosts
    return [
        CallPath('direct', target_port, first.service, ()),
        CallPath(
            'same-host', first.ports['caller_port'], first.service, (first,)
        ),
        CallPath(
            'across',
            second.ports['caller_port'],
            third.service,
            (second, third),
        ),
    ]


async def run_open_loop(
    call_paths: list[CallPath], rate: float, seconds: float
) -> dict[str, histogram.Histogram]:
    """Send calls over all paths in turn, `rate` per second on each."""
    clients = {
        call_path.name: client.Client('127.0.0.1', call_path.port)
        for call_path in call_paths
    }
    latencies = {
        call_path.name: histogram.Histogram() for call_path in call_paths
    }
    loop = asyncio.get_running_loop()
    pending: set[asyncio.Future[None]] = set()

    async def send_call(call_path: CallPath, due: float) -> None:
        request = client.Request(
            call_path.method, REQUEST_PATH, (('Host', call_path.service),)
        )
        response = await clients[call_path.name].send(request)
        if response.status != 200:
            raise RuntimeError(f'{call_path.name}: status {response.status}')
        latencies[call_path.name].add(loop.time() - due)

    interval_s = 1 / (rate * len(call_paths))
    started_at = loop.time()
    for number in range(int(seconds * rate * len(call_paths))):
        due = started_at + number * interval_s
        await asyncio.sleep(max(0.0, due - loop.time()))
        task = asyncio.ensure_future(
            send_call(call_paths[number % len(call_paths)], due)
        )
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    for http_client in clients.values():
        http_client.close()
    return latencies


async def daemon_cpu_s(
    bench: meshes.BenchMesh, call_path: CallPath
) -> list[float]:
    return [
        float((await bench.fetch_page(host, '/v1/status'))['cpu_s'])
        for host in call_path.daemons
    ]


async def cpu_ms_per_call(
    bench: meshes.BenchMesh, call_path: CallPath, rate: float, seconds: float
) -> list[float]:
    """Return CPU milliseconds per call of each daemon, less its idle use."""
    idle = await daemon_cpu_s(bench, call_path)
    await asyncio.sleep(seconds)
    before = await daemon_cpu_s(bench, call_path)
    latencies = await run_open_loop([call_path], rate, seconds)
    after = await daemon_cpu_s(bench, call_path)
    count = latencies[call_path.name].count
    return [
        round(((after_s - before_s) - (before_s - idle_s)) / count * 1000, 4)
        for idle_s, before_s, after_s in zip(idle, before, after)
    ]


async def saturate(call_path: CallPath, seconds: float) -> dict[str, float]:
    """Run closed-loop callers in several processes; return sums and means."""
    callers = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.callers',
            '--port',
            str(call_path.port),
            '--service',
            call_path.service,
            '--connections',
            str(CONNECTIONS_EACH),
            '--seconds',
            str(seconds),
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(CALLER_PROCESSES)
    ]
    outputs = [(await process.communicate())[0] for process in callers]
    results = [json.loads(line) for line in outputs]
    return {
        'calls_per_s': sum(result['calls_per_s'] for result in results),
        'failed': sum(result['failed'] for result in results),
        'calls': sum(result['calls'] for result in results),
        'p50_ms': sum(result['p50_ms'] for result in results) / len(results),
        'p99_ms': sum(result['p99_ms'] for result in results) / len(results),
    }


async def measure(
    rate: float, seconds: float, profile: bool
) -> dict[str, Any]:
    document = EXAMPLE_DOCUMENT.read_text()
    circumstances = stats.describe_environment()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        directory = pathlib.Path(name)
        if profile:
            os.environ['BENCH_PROFILE'] = str(directory / 'profile')
        async with meshes.running(
            document, directory, 1, announce_targets=False
        ) as bench:
            ports = await _start_targets(bench)
            await bench.accept(document)
            await _wait_until_routed(bench)
            call_paths = make_call_paths(bench, ports[0])
            await run_open_loop(call_paths, 100.0, WARMUP_CALLS / 100.0)
            if profile:
                await run_open_loop(call_paths[1:], rate, seconds)
                return await _print_profiles(bench, directory)
            return {
                'circumstances': circumstances,
                'rate': rate,
                'seconds': seconds,
                **await _measure_paths(bench, call_paths, rate, seconds),
                'load_1_min_at_end': os.getloadavg()[0],
            }


async def _measure_paths(
    bench: meshes.BenchMesh,
    call_paths: list[CallPath],
    rate: float,
    seconds: float,
) -> dict[str, Any]:
    latencies = await run_open_loop(call_paths, rate, seconds)
    click.echo('open loop done', err=True)
    cpu = {
        call_path.name: await cpu_ms_per_call(
            bench, call_path, rate, seconds / 2
        )
        for call_path in call_paths
        if call_path.daemons
    }
    click.echo('CPU time done', err=True)
    saturation_results: dict[str, list[dict[str, float]]] = {
        call_path.name: [] for call_path in call_paths
    }
    saturated_cpu_ms: dict[str, list[float]] = {
        call_path.name: [] for call_path in call_paths
    }
    for _ in range(ROUNDS):
        for call_path in call_paths:
            before = await daemon_cpu_s(bench, call_path)
            result = await saturate(call_path, seconds / 8)
            after = await daemon_cpu_s(bench, call_path)
            saturation_results[call_path.name].append(result)
            saturated_cpu_ms[call_path.name] += [
                (after_s - before_s) / result['calls'] * 1000
                for before_s, after_s in zip(before, after)
            ]
    return {
        'open_loop': _compare_with_direct(
            {
                name: {
                    'calls': float(latency.count),
                    'p50_ms': latency.quantile(0.5) * 1000,
                    'p99_ms': latency.quantile(0.99) * 1000,
                }
                for name, latency in latencies.items()
            }
        ),
        'cpu_ms_per_call_of_each_daemon': cpu,
        'saturation': _compare_with_direct(
            {
                name: _median(results)
                for name, results in saturation_results.items()
            }
        ),
        'saturation_cpu_ms_per_call': {
            name: [round(cpu_ms, 4) for cpu_ms in values]
            for name, values in saturated_cpu_ms.items()
        },
    }


def _median(rows: list[dict[str, float]]) -> dict[str, float]:
    return {
        name: stats.quantile([row[name] for row in rows], 0.5)
        for name in rows[0]
    }


def _compare_with_direct(
    rows: dict[str, dict[str, float]],
) -> dict[str, dict[str, float]]:
    """Add the ratio to and difference from direct calls to each quantile."""
    direct = rows['direct']
    result = {}
    for name, row in rows.items():
        result[name] = {key: round(value, 4) for key, value in row.items()}
        for quantile in ('p50_ms', 'p99_ms'):
            result[name][f'{quantile}_ratio'] = round(
                row[quantile] / direct[quantile], 3
            )
            result[name][f'{quantile}_added'] = round(
                row[quantile] - direct[quantile], 4
            )
    return result


async def _start_targets(bench: meshes.BenchMesh) -> list[int]:
    """Start a target on each host; return the targets' ports."""
    running = bench.processes
    ports = []
    free_ports = mesh.free_ports(random.Random())
    for host in bench.plan.hosts:
        port = next(free_ports)
        running.start_target(
            host, '--port', str(port), '--slots', TARGET_SLOTS
        )
        ports.append(port)
    return ports


async def _wait_until_routed(bench: meshes.BenchMesh) -> None:
    deadline = time.monotonic() + meshes.START_TIMEOUT_S
    count = len(bench.plan.hosts)
    while time.monotonic() < deadline:
        pages = await bench.fetch_pages('/v1/status')
        if all(
            sum(len(route['endpoints']) for route in page['routes']) == count
            for page in pages.values()
        ):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError('not every routing table contains all targets')


async def _print_profiles(
    bench: meshes.BenchMesh, directory: pathlib.Path
) -> dict[str, Any]:
    """Stop daemons, which then write their profiles; print the top rows."""
    for host in bench.plan.hosts[:3]:
        process = bench.processes.processes.pop(f'daemon-{host.host}')
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(
            functools.partial(process.wait, processes.STOP_TIMEOUT_S)
        )
        profile = pstats.Stats(str(directory / f'profile.{host.host}.pstats'))
        click.echo(f'=== {host.host}')
        for order in ('tottime', 'cumulative'):
            profile.sort_stats(order).print_stats(TOP_FUNCTIONS)
    return {}


@click.command(
    epilog='Example: python -m bench.path --output bench/results/path.json'
)
@click.option('--rate', default=100.0, show_default=True)
@click.option('--seconds', default=20.0, show_default=True)
@click.option(
    '--profile', is_flag=True, help='Print cProfile statistics instead.'
)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    rate: float, seconds: float, profile: bool, output: pathlib.Path | None
) -> None:
    """Measure the latency added to direct calls; write JSON."""
    result = asyncio.run(measure(rate, seconds, profile))
    json_output.write_result(result, output)


if __name__ == '__main__':
    main()
