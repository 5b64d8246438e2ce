"""Measures how long a change takes to reach every daemon, and its cost.

Times come from the daemons' timelines, which share the machine's clock;
bytes, CPU time and memory come from their admin endpoints.
"""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time
from typing import Any

import click

from bench import documents
from bench import json_output
from bench import meshes
from bench import observed
from bench import stats
from peridotpost.standins import mesh

SENT_COUNTERS = ('link.sent-bytes', 'probe.sent-bytes', 'reconcile.sent-bytes')
RECEIVED_COUNTERS = (
    'link.received-bytes',
    'probe.received-bytes',
    'reconcile.received-bytes',
)
SETTLE_S = 2.0
COLLECT_ATTEMPTS = 10
DOCUMENT_PERIOD_S = 2.0
TARGET_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Counters and status of every daemon at one time."""

    at: float
    totals: dict[str, dict[str, int]]
    status: dict[str, dict[str, Any]]
    store: dict[str, int]


async def take_sample(bench: meshes.BenchMesh) -> Sample:
    counters = await bench.fetch_pages('/v1/counters')
    status = await bench.fetch_pages('/v1/status')
    return Sample(
        time.monotonic(),
        {host: page['totals'] for host, page in counters.items()},
        status,
        await bench.store_counts(),
    )


def role_of(status: dict[str, Any]) -> str:
    if status['relay']:
        return 'relay'
    return 'parent' if status['children'] else 'leaf'


def compute_rates(before: Sample, after: Sample) -> dict[str, Any]:
    """Return rates per daemon and second by role, and the store's rates.

    Only the initiator of a reconciliation counts its bytes.  On average a
    daemon is the responder as often as the initiator, so the same bytes
    are added again with the directions swapped.
    """
    elapsed_s = after.at - before.at
    rows: dict[str, list[dict[str, float]]] = {}
    for host, totals in after.totals.items():
        earlier = before.totals[host]
        increases = {
            name: total - earlier.get(name, 0)
            for name, total in totals.items()
        }
        row = {
            'sent': _total(
                increases, (*SENT_COUNTERS, 'reconcile.received-bytes')
            )
            / elapsed_s,
            'received': _total(
                increases, (*RECEIVED_COUNTERS, 'reconcile.sent-bytes')
            )
            / elapsed_s,
            'cpu': (after.status[host]['cpu_s'] - before.status[host]['cpu_s'])
            / elapsed_s,
        }
        for name in (*SENT_COUNTERS, *RECEIVED_COUNTERS):
            row[name] = increases.get(name, 0) / elapsed_s
        for name in ('link.sent-messages', 'probe.sent-messages'):
            row[name] = increases.get(name, 0) / elapsed_s
        rows.setdefault(role_of(after.status[host]), []).append(row)
        rows.setdefault('all', []).append(row)
    call_rates = {
        name: (count - before.store.get(name, 0)) / elapsed_s
        for name, count in after.store.items()
        if name != 'watching'
    }
    return {
        'seconds': elapsed_s,
        'roles': {
            role: _summarize(role_rows) for role, role_rows in rows.items()
        },
        'store_calls_per_s': sum(call_rates.values()),
        'store_calls': call_rates,
        'watching': after.store.get('watching', 0),
    }


def _total(increases: dict[str, int], names: tuple[str, ...]) -> int:
    return sum(increases.get(name, 0) for name in names)


def _summarize(rows: list[dict[str, float]]) -> dict[str, Any]:
    byte_rates = [row['sent'] + row['received'] for row in rows]
    summary: dict[str, Any] = {
        name: sum(row[name] for row in rows) / len(rows) for name in rows[0]
    }
    summary['daemons'] = len(rows)
    summary['bytes_mean'] = sum(byte_rates) / len(byte_rates)
    summary['bytes_max'] = max(byte_rates)
    summary['cpu_max'] = max(row['cpu'] for row in rows)
    return summary


async def _collect_delays(
    bench: meshes.BenchMesh,
    query: str,
    changed_at: float,
    kind: str,
    detail: str,
) -> list[float]:
    """Return the seconds from `changed_at` to each daemon's event."""
    for _ in range(COLLECT_ATTEMPTS):
        await asyncio.sleep(SETTLE_S)
        pages = await bench.fetch_pages(f'/v1/timeline?{query}')
        event_delays = [
            min(
                (
                    event['at'] - changed_at
                    for event in page['events']
                    if event['kind'] == kind
                    and event['at'] >= changed_at
                    and detail in event['detail']
                ),
                default=None,
            )
            for page in pages.values()
        ]
        delays = [delay for delay in event_delays if delay is not None]
        if len(delays) == len(event_delays):
            return delays
    raise TimeoutError(
        f'{len(event_delays) - len(delays)} daemons did not record the event'
    )


async def measure_document_change(
    bench: meshes.BenchMesh, document: str
) -> list[float]:
    """Accept a document; return the delay until each daemon applies it."""
    changed_at = time.time()
    revision = await bench.accept(document)
    return await _collect_delays(
        bench, f'revision={revision}', changed_at, 'config.in-force', ''
    )


async def measure_target_change(
    bench: meshes.BenchMesh, host: mesh.PlannedHost
) -> list[float]:
    """Drain a target; return the delay until each daemon removes it."""
    changed_at = time.time()
    bench.target_states[host.host] = 'draining'
    await bench.announce(host)
    delays = await _collect_delays(
        bench,
        f'request_id=member-{host.host}',
        changed_at,
        observed.MEMBER_EVENT,
        'draining',
    )
    bench.target_states[host.host] = 'ready'
    await bench.announce(host)
    return delays


async def run_churn(
    bench: meshes.BenchMesh, document: str, seconds: float, first_number: int
) -> dict[str, int]:
    """Change the document and targets at fixed rates for `seconds`."""
    randomness = random.Random(first_number)
    counts = {'texts': 0, 'targets': 0}
    started_at = time.monotonic()
    while (elapsed_s := time.monotonic() - started_at) < seconds:
        if elapsed_s >= counts['texts'] * DOCUMENT_PERIOD_S:
            counts['texts'] += 1
            await bench.accept(
                documents.with_deadline(
                    document, first_number + counts['texts']
                )
            )
        host = randomness.choice(bench.plan.hosts)
        previous = bench.target_states[host.host]
        bench.target_states[host.host] = (
            'ready' if previous == 'draining' else 'draining'
        )
        await bench.announce(host)
        counts['targets'] += 1
        await asyncio.sleep(TARGET_PERIOD_S)
    return counts


async def measure(
    zones: int,
    hosts_per_zone: int,
    services: int,
    repetitions: int,
    seconds: float,
) -> dict[str, Any]:
    """Run a mesh of one size and return its results."""
    document = documents.generate_document(services, zones)
    circumstances = stats.describe_environment()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        directory = pathlib.Path(name)
        async with meshes.running(
            document, directory, hosts_per_zone
        ) as bench:
            click.echo(f'{len(bench.plan.hosts)} daemons joined', err=True)
            await bench.accept(document)
            await asyncio.sleep(2 * SETTLE_S)
            document_delays: list[float] = []
            target_delays: list[float] = []
            for number in range(repetitions):
                changed = documents.with_deadline(document, number)
                document_delays += await measure_document_change(
                    bench, changed
                )
                host = bench.plan.hosts[(number * 7) % len(bench.plan.hosts)]
                target_delays += await measure_target_change(bench, host)
                click.echo(f'repetition {number + 1} done', err=True)
            before = await take_sample(bench)
            await asyncio.sleep(seconds)
            idle = compute_rates(before, await take_sample(bench))
            click.echo('idle done', err=True)
            before = await take_sample(bench)
            changes = await run_churn(bench, document, seconds, 1000)
            after = await take_sample(bench)
            resident_mib = [
                page['resident_kib'] / 1024 for page in after.status.values()
            ]
            return {
                'daemons': len(bench.plan.hosts),
                'zones': zones,
                'services': services,
                'circumstances': circumstances,
                'load_1_min_at_end': stats.describe_environment()[
                    'load_1_min'
                ],
                'repetitions': repetitions,
                'text_s': dataclasses.asdict(stats.spread(document_delays)),
                'target_s': dataclasses.asdict(stats.spread(target_delays)),
                'idle': idle,
                'churn': {'changes': changes, **compute_rates(before, after)},
                'resident_mib': dataclasses.asdict(stats.spread(resident_mib)),
            }


@click.command(
    epilog='Example: python -m bench.convergence --hosts-per-zone 12 '
    '--output bench/results/convergence-48.json'
)
@click.option('--zones', default=4, show_default=True)
@click.option('--hosts-per-zone', default=3, show_default=True)
@click.option('--services', default=150, show_default=True)
@click.option('--repetitions', default=10, show_default=True)
@click.option(
    '--seconds',
    default=30.0,
    show_default=True,
    help='Duration of the idle and of the churn phase.',
)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(
    zones: int,
    hosts_per_zone: int,
    services: int,
    repetitions: int,
    seconds: float,
    output: pathlib.Path | None,
) -> None:
    """Measure a mesh of one size; write JSON."""
    result = asyncio.run(
        measure(zones, hosts_per_zone, services, repetitions, seconds)
    )
    json_output.write_result(result, output)


if __name__ == '__main__':
    main()
