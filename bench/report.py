"""Turns results into the Markdown page and the plots of docs/measures/."""

import json
import pathlib
from typing import Any

import click
import matplotlib

from bench import figures

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

RESULTS = pathlib.Path(__file__).parent / 'results'
PAGES = pathlib.Path(__file__).parent.parent / 'docs' / 'measures'
SIZES = ('12', '48', '100')
TREE_RUN = '100-two-zones'


def load(name: str) -> dict[str, Any]:
    """Read a result; it must have been measured before."""
    found: dict[str, Any] = json.loads((RESULTS / f'{name}.json').read_text())
    return found


def table(head: list[str], rows: list[list[str]]) -> list[str]:
    lines = ['| ' + ' | '.join(head) + ' |', '|' + '---|' * len(head)]
    return lines + ['| ' + ' | '.join(row) + ' |' for row in rows]


def ms(seconds: float) -> str:
    return f'{seconds * 1000:.0f}'


def _spreads(runs: dict[str, dict[str, Any]]) -> list[str]:
    rows = []
    for name, run in runs.items():
        for what, key in (('text', 'text_s'), ('target', 'target_s')):
            one = run[key]
            rows.append(
                [
                    name,
                    what,
                    str(one['count']),
                    ms(one['p50']),
                    ms(one['p99']),
                    ms(one['highest']),
                    f'{run["circumstances"]["load_1_min"]:.1f}',
                ]
            )
    head = ['daemons', 'change of', 'samples', 'p50 ms', 'p99 ms', 'max ms']
    return table([*head, 'load before'], rows)


def _rates(runs: dict[str, dict[str, Any]]) -> list[str]:
    rows = []
    for name, run in runs.items():
        for phase in ('idle', 'churn'):
            for role, row in sorted(run[phase]['roles'].items()):
                rows.append(
                    [
                        name,
                        phase,
                        f'{role} ({row["daemons"]})',
                        f'{row["sent"]:.0f}',
                        f'{row["received"]:.0f}',
                        f'{row["bytes_max"]:.0f}',
                        f'{row["cpu"] * 100:.2f}',
                        f'{row["cpu_max"] * 100:.2f}',
                    ]
                )
    return table(
        [
            'daemons',
            'phase',
            'role',
            'sent B/s',
            'received B/s',
            'highest sum B/s',
            'CPU % of a core',
            'highest CPU %',
        ],
        rows,
    )


def _store(runs: dict[str, dict[str, Any]]) -> list[str]:
    rows = []
    for name, run in runs.items():
        idle, churn = run['idle'], run['churn']
        rows.append(
            [
                name,
                f'{idle["store_calls_per_s"]:.1f}',
                f'{churn["store_calls_per_s"]:.1f}',
                str(idle['watching']),
                f'{run["resident_mib"]["p50"]:.0f}',
                f'{run["resident_mib"]["highest"]:.0f}',
            ]
        )
    return table(
        [
            'daemons',
            'store calls/s idle',
            'under churn',
            'watches',
            'resident MiB p50',
            'max',
        ],
        rows,
    )


def slopes() -> dict[str, figures.Line]:
    """Return the lines fitted through the sizes of four zones."""
    runs = [load(f'convergence-{size}') for size in SIZES]
    counts = [float(run['daemons']) for run in runs]
    values = {
        'text p99, ms': [run['text_s']['p99'] * 1000 for run in runs],
        'target p99, ms': [run['target_s']['p99'] * 1000 for run in runs],
        'resident p50, MiB': [run['resident_mib']['p50'] for run in runs],
        'store calls/s, idle': [
            run['idle']['store_calls_per_s'] for run in runs
        ],
    }
    for phase, role in (
        ('idle', 'all'),
        ('churn', 'leaf'),
        ('churn', 'relay'),
    ):
        rows = [run[phase]['roles'][role] for run in runs]
        label = f'{phase}, {role}'
        values[f'control B/s a daemon, {label}'] = [
            row['bytes_mean'] for row in rows
        ]
        values[f'CPU % a daemon, {label}'] = [row['cpu'] * 100 for row in rows]
    values['reconcile B/s, asking side, idle'] = [
        row['reconcile.sent-bytes'] + row['reconcile.received-bytes']
        for row in (run['idle']['roles']['all'] for run in runs)
    ]
    return {name: figures.fit(counts, found) for name, found in values.items()}


def _slopes() -> list[str]:
    rows = [
        [name, f'{line.constant:.3f}', f'{line.slope:.5f}']
        for name, line in slopes().items()
    ]
    return table(['figure', 'constant', 'slope per daemon'], rows)


EARLIER = (
    ('fa20b9f, marks of all members', 'first/'),
    ('768ecae, sums and beats', 'second/'),
    ('now', ''),
)


def _earlier() -> list[str]:
    """Show what changes of the code did to the measures."""
    rows = []
    for name, folder in EARLIER:
        runs = [load(f'{folder}convergence-{size}') for size in SIZES]
        counts = [float(run['daemons']) for run in runs]
        sums = [run['idle']['roles']['all']['bytes_mean'] for run in runs]
        relay = runs[-1]['idle']['roles']['relay']
        capacity = load(f'{folder}capacity')['fleet'][-1]
        rows.append(
            [
                name,
                ' / '.join(f'{one:.0f}' for one in sums),
                f'{figures.fit(counts, sums).slope:.2f}',
                f'{relay["cpu"] * 100:.2f}',
                str(capacity['bytes']['digest']),
                f'{runs[-1]["text_s"]["p99"] * 1000:.0f}',
                f'{runs[-1]["circumstances"]["load_1_min"]:.0f}',
            ]
        )
    head = [
        'commit',
        'idle control B/s at 12 / 48 / 100',
        'slope a daemon',
        'relay idle CPU % at 100',
        'digest B at 5,200',
        'text p99 ms at 100',
        'load before',
    ]
    return table(head, rows)


def message_cost() -> figures.Line:
    """Fit processor time, ms a second, to link messages a second.

    Through the daemons by role, idle, of the four sizes: what a message
    sent, and the one received for it, costs a daemon.
    """
    xs, ys = [], []
    for size in (*SIZES, TREE_RUN):
        for role, row in load(f'convergence-{size}')['idle']['roles'].items():
            if role != 'all':
                xs.append(row['link.sent-messages'])
                ys.append(row['cpu'] * 1000)
    return figures.fit(xs, ys)


def _ways() -> list[str]:
    run = load('ways-48')
    rows = []
    for name in ('tree', 'watch'):
        one = run[name]
        rows.append(
            [
                name,
                ms(one['text_s']['p50']),
                ms(one['text_s']['p99']),
                ms(one['text_s']['highest']),
                str(one['watches']),
                f'{one["store_bytes_per_change"]:.0f}',
                f'{one["link_bytes_per_change"]:.0f}',
            ]
        )
    return table(
        [
            'way',
            'p50 ms',
            'p99 ms',
            'max ms',
            'watches on the store',
            'bytes from the store a change',
            'bytes between daemons a change',
        ],
        rows,
    )


def _deltas() -> list[str]:
    found = load('capacity')['config_bytes']
    rows = [
        [
            name,
            str(row['services']),
            str(row['whole']),
            str(row['delta_p50']),
            str(row['delta_max']),
            f'{row["whole"] / row["delta_p50"]:.0f}',
        ]
        for name, row in found.items()
        if isinstance(row, dict)
    ]
    head = ['scope', 'services', 'whole B', 'delta p50 B', 'delta max B']
    return table([*head, 'whole/delta'], rows)


def _framing() -> list[str]:
    run = load('framing')
    stream, rest = run['stream'], run['reconciliation']
    rows = [
        [
            'a change on a stream',
            f'{stream["payload_bytes_per_change"]:.0f} B',
            f'{stream["stream_bytes_per_change"]:.0f} B',
            f'{stream["with_headers_per_change"]:.0f} B',
        ],
        [
            'an idle stream, a second',
            f'{stream["idle_payload_bytes_per_s"]:.1f} B',
            f'{stream["idle_stream_bytes_per_s"]:.1f} B',
            f'{stream["idle_with_headers_per_s"]:.1f} B',
        ],
        [
            f'a reconciliation of {rest["members"]} members',
            f'{rest["payload_bytes_each"]:.0f} B',
            f'{rest["stream_bytes_each"]:.0f} B',
            f'{rest["with_headers_each"]:.0f} B',
        ],
        [
            'a probe or its acknowledgement',
            f'{_probe_bytes():.0f} B',
            f'{_probe_bytes():.0f} B',
            f'{_probe_bytes() + run["udp_header_bytes"]:.0f} B',
        ],
    ]
    head = ['what', 'payload (counted)', 'TCP or UDP stream (measured)']
    return table([*head, 'with IP headers (estimate)'], rows)


def _probe_bytes() -> float:
    row = load('convergence-100')['idle']['roles']['all']
    return float(row['probe.sent-bytes'] / row['probe.sent-messages'])


def _path() -> list[str]:
    run = load('path')
    rows = []
    for phase in ('open_loop', 'saturation'):
        for name, row in run[phase].items():
            rows.append(
                [
                    phase.replace('_', ' '),
                    name,
                    *(
                        f'{row[f"{quantile}{suffix}"]:.2f}'
                        for quantile in ('p50_ms', 'p99_ms')
                        for suffix in ('', '_ratio', '_added')
                    ),
                    f'{row.get("calls_per_s", run["rate"]):.0f}',
                ]
            )
    head = ['phase', 'way']
    for quantile in ('p50', 'p99'):
        head += [f'{quantile} ms', 'ratio', 'added ms']
    return table([*head, 'calls/s'], rows)


def _plots(runs: dict[str, dict[str, Any]]) -> None:
    counts = [run['daemons'] for run in runs.values()]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for key, label in (('text_s', 'text'), ('target_s', 'target')):
        for quantile in ('p50', 'p99', 'highest'):
            left.plot(
                counts,
                [run[key][quantile] * 1000 for run in runs.values()],
                marker='o',
                label=f'{label} {quantile}',
            )
    left.set(xlabel='daemons', ylabel='ms until in force', ylim=(0, None))
    left.legend(fontsize=7)
    for phase in ('idle', 'churn'):
        for role in ('relay', 'leaf'):
            right.plot(
                counts,
                [
                    run[phase]['roles'][role]['bytes_mean']
                    for run in runs.values()
                ],
                marker='o',
                label=f'{role} {phase}',
            )
    right.set(xlabel='daemons', ylabel='control B/s a daemon', ylim=(0, None))
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(PAGES / 'convergence.png', dpi=110)


def _write() -> str:
    four = {size: load(f'convergence-{size}') for size in SIZES}
    runs = {**four, '100 in 2 zones': load(f'convergence-{TREE_RUN}')}
    _plots(four)
    changes = four['100']['churn']
    path = load('path')
    return '\n'.join(
        [
            '# Measures',
            '',
            'Written by `python -m bench.report` from bench/results/; '
            '`make bench` measures again.  All daemons, the stand-in '
            'platform and the callers shared one machine of 12 cores with '
            'other work; the load average before each run is given.  '
            'Ratios within one run carry over, absolute times do not.',
            '',
            '## Time until a change is in force on every daemon',
            '',
            '`python -m bench.convergence`: text of 150 services; from '
            'just before the accept, or the target announcing its drain, '
            "to the event in each daemon's own time line.",
            '',
            *_spreads(runs),
            '',
            '![times and bytes against the number of daemons]'
            '(convergence.png)',
            '',
            '## Control bytes, processor time, store',
            '',
            'Payload bytes by the counters of link, probe and '
            'reconciliation; the answering side of a reconciliation, '
            'which counts nothing, is added as the same again.  Under '
            f'churn {changes["changes"]["texts"]} texts and '
            f'{changes["changes"]["targets"]} target changes in '
            f'{changes["seconds"]:.0f} s.',
            '',
            *_rates(runs),
            '',
            *_store(runs),
            '',
            'Least-squares lines through 12, 48 and 100 daemons:',
            '',
            *_slopes(),
            '',
            'Processor time against messages, by role, idle: '
            f'{message_cost().constant:.1f} ms a second, and '
            f'{message_cost().slope:.2f} ms for each link message sent '
            'with the one received for it.',
            '',
            '## What changes of the code did',
            '',
            'The same commands at earlier commits; results in '
            'bench/results/first and second.',
            '',
            *_earlier(),
            '',
            '## What framing adds to the counted bytes',
            '',
            '`python -m bench.framing`: the same exchanges through a relay '
            'that counts the stream; 52 bytes for each segment and each '
            'acknowledgement are an estimate.',
            '',
            *_framing(),
            '',
            '## Two ways: the tree, and every daemon watching the store',
            '',
            '`python -m bench.ways --hosts-per-zone 12`: 48 daemons and '
            '48 watchers, each with a platform of its own, in turn.',
            '',
            *_ways(),
            '',
            '## Whole text against deltas',
            '',
            '`python -m bench.capacity`: 150 services, one field of one '
            'service changed, over all 150 of them.',
            '',
            *_deltas(),
            '',
            '## The path against a direct call',
            '',
            f'`python -m bench.path`: {path["rate"]:.0f} calls/s on each '
            'way, interleaved, then saturation by '
            '3 processes with 8 connections each.  Load before '
            f'{path["circumstances"]["load_1_min"]:.1f}, after '
            f'{path["load_1_min_at_end"]:.1f}.',
            '',
            *_path(),
            '',
            'Processor time a call in each daemon, ms, idle share taken '
            f'off: {json.dumps(path["cpu_ms_per_call_of_each_daemon"])}; '
            'at saturation '
            f'{json.dumps(path["saturation_cpu_ms_per_call"])}.',
            '',
        ]
    )


@click.command(epilog='Example: python -m bench.report')
def main() -> None:
    """Write docs/measures/README.md and its plots."""
    PAGES.mkdir(parents=True, exist_ok=True)
    (PAGES / 'README.md').write_text(_write())


if __name__ == '__main__':
    main()
