"""Measures how long a change takes to be in force everywhere, and its cost.

Times come from the daemons' own time lines, by the one clock of the
machine; bytes, processor time and memory from their admin pages.
"""

import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time
from typing import Any

import click

from bench import figures
from bench import jsonout
from bench import meshes
from bench import observed
from bench import texts
from peridotpost.standins import mesh

SENT = ('link.sent-bytes', 'probe.sent-bytes', 'reconcile.sent-bytes')
RECEIVED = (
    'link.received-bytes',
    'probe.received-bytes',
    'reconcile.received-bytes',
)
SETTLE_S = 2.0
COLLECT_ATTEMPTS = 10
TEXT_PERIOD_S = 2.0
TARGET_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What every daemon's pages said at one moment."""

    at: float
    totals: dict[str, dict[str, int]]
    status: dict[str, dict[str, Any]]
    store: dict[str, int]


async def sample(bench: meshes.Bench) -> Sample:
    counters = await bench.pages('/v1/counters')
    status = await bench.pages('/v1/status')
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


def rates(before: Sample, after: Sample) -> dict[str, Any]:
    """Return rates per daemon and second, by role, and of the store.

    Only the asking side of a reconciliation counts its bytes.  Each is
    asked as often as it asks, on the average, so the same bytes are added
    once more, the other way round.
    """
    spent = after.at - before.at
    rows: dict[str, list[dict[str, float]]] = {}
    for host, totals in after.totals.items():
        old = before.totals[host]
        grown = {name: n - old.get(name, 0) for name, n in totals.items()}
        row = {
            'sent': _total(grown, (*SENT, 'reconcile.received-bytes')) / spent,
            'received': _total(grown, (*RECEIVED, 'reconcile.sent-bytes'))
            / spent,
            'cpu': (after.status[host]['cpu_s'] - before.status[host]['cpu_s'])
            / spent,
        }
        for name in (*SENT, *RECEIVED):
            row[name] = grown.get(name, 0) / spent
        for name in ('link.sent-messages', 'probe.sent-messages'):
            row[name] = grown.get(name, 0) / spent
        rows.setdefault(role_of(after.status[host]), []).append(row)
        rows.setdefault('all', []).append(row)
    calls = {
        name: (count - before.store.get(name, 0)) / spent
        for name, count in after.store.items()
        if name != 'watching'
    }
    return {
        'seconds': spent,
        'roles': {role: _summary(found) for role, found in rows.items()},
        'store_calls_per_s': sum(calls.values()),
        'store_calls': calls,
        'watching': after.store.get('watching', 0),
    }


def _total(grown: dict[str, int], names: tuple[str, ...]) -> int:
    return sum(grown.get(name, 0) for name in names)


def _summary(rows: list[dict[str, float]]) -> dict[str, Any]:
    both = [row['sent'] + row['received'] for row in rows]
    summary: dict[str, Any] = {
        name: sum(row[name] for row in rows) / len(rows) for name in rows[0]
    }
    summary['daemons'] = len(rows)
    summary['bytes_mean'] = sum(both) / len(both)
    summary['bytes_max'] = max(both)
    summary['cpu_max'] = max(row['cpu'] for row in rows)
    return summary


async def _collected(
    bench: meshes.Bench, query: str, since: float, kind: str, detail: str
) -> list[float]:
    """Return the seconds from `since` to the event at each daemon."""
    for _ in range(COLLECT_ATTEMPTS):
        await asyncio.sleep(SETTLE_S)
        pages = await bench.pages(f'/v1/timeline?{query}')
        found = [
            min(
                (
                    event['at'] - since
                    for event in page['events']
                    if event['kind'] == kind
                    and event['at'] >= since
                    and detail in event['detail']
                ),
                default=None,
            )
            for page in pages.values()
        ]
        delays = [one for one in found if one is not None]
        if len(delays) == len(found):
            return delays
    raise TimeoutError(f'{len(found) - len(delays)} daemons never had it')


async def text_change(bench: meshes.Bench, text: str) -> list[float]:
    """Accept a text; return the seconds from then for each daemon."""
    since = time.time()
    revision = await bench.accept(text)
    return await _collected(
        bench, f'revision={revision}', since, 'config.in-force', ''
    )


async def target_change(
    bench: meshes.Bench, host: mesh.PlannedHost
) -> list[float]:
    """Let a target drain; return the seconds until each table drops it."""
    since = time.time()
    bench.states[host.host] = 'draining'
    await bench.announce(host)
    delays = await _collected(
        bench,
        f'request_id=member-{host.host}',
        since,
        observed.MEMBER_EVENT,
        'draining',
    )
    bench.states[host.host] = 'ready'
    await bench.announce(host)
    return delays


async def churn(
    bench: meshes.Bench, text: str, seconds: float, first: int
) -> dict[str, int]:
    """Change the text and targets at fixed rates for a while."""
    randomness = random.Random(first)
    counts = {'texts': 0, 'targets': 0}
    began = time.monotonic()
    while (spent := time.monotonic() - began) < seconds:
        if spent >= counts['texts'] * TEXT_PERIOD_S:
            counts['texts'] += 1
            await bench.accept(
                texts.with_deadline(text, first + counts['texts'])
            )
        host = randomness.choice(bench.plan.hosts)
        was = bench.states[host.host]
        bench.states[host.host] = 'ready' if was == 'draining' else 'draining'
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
    """Run one size and return its figures."""
    text = texts.mesh_text(services, zones)
    circumstances = figures.circumstances()
    with tempfile.TemporaryDirectory(prefix='bench-') as name:
        directory = pathlib.Path(name)
        async with meshes.running(text, directory, hosts_per_zone) as bench:
            click.echo(f'{len(bench.plan.hosts)} daemons joined', err=True)
            await bench.accept(text)
            await asyncio.sleep(2 * SETTLE_S)
            in_text: list[float] = []
            in_target: list[float] = []
            for number in range(repetitions):
                changed = texts.with_deadline(text, number)
                in_text += await text_change(bench, changed)
                host = bench.plan.hosts[(number * 7) % len(bench.plan.hosts)]
                in_target += await target_change(bench, host)
                click.echo(f'repetition {number + 1} done', err=True)
            before = await sample(bench)
            await asyncio.sleep(seconds)
            idle = rates(before, await sample(bench))
            click.echo('idle done', err=True)
            before = await sample(bench)
            changes = await churn(bench, text, seconds, 1000)
            after = await sample(bench)
            resident = [
                page['resident_kib'] / 1024 for page in after.status.values()
            ]
            return {
                'daemons': len(bench.plan.hosts),
                'zones': zones,
                'services': services,
                'circumstances': circumstances,
                'load_1_min_at_end': figures.circumstances()['load_1_min'],
                'repetitions': repetitions,
                'text_s': dataclasses.asdict(figures.spread(in_text)),
                'target_s': dataclasses.asdict(figures.spread(in_target)),
                'idle': idle,
                'churn': {'changes': changes, **rates(before, after)},
                'resident_mib': dataclasses.asdict(figures.spread(resident)),
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
    '--seconds', default=30.0, show_default=True, help='Of idle and of churn.'
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
    """Measure one size of mesh; write JSON."""
    found = asyncio.run(
        measure(zones, hosts_per_zone, services, repetitions, seconds)
    )
    jsonout.tell(found, output)


if __name__ == '__main__':
    main()
