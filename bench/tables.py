"""Renders the tables of docs/measures/ from benchmark results."""

import json
import pathlib
from typing import Any

from bench import stats

RESULTS = pathlib.Path(__file__).parent / 'results'
SIZES = ('12', '48', '100')
TWO_ZONE_RUN = '100-two-zones'


def load_result(name: str) -> dict[str, Any]:
    """Read the stored result of a benchmark."""
    result: dict[str, Any] = json.loads((RESULTS / f'{name}.json').read_text())
    return result


def markdown_table(head: list[str], rows: list[list[str]]) -> list[str]:
    lines = ['| ' + ' | '.join(head) + ' |', '|' + '---|' * len(head)]
    return lines + ['| ' + ' | '.join(row) + ' |' for row in rows]


def format_ms(seconds: float) -> str:
    return f'{seconds * 1000:.0f}'


def delay_table(runs: dict[str, dict[str, Any]]) -> list[str]:
    rows = []
    for name, run in runs.items():
        for what, key in (('document', 'text_s'), ('target', 'target_s')):
            quantiles = run[key]
            rows.append(
                [
                    name,
                    what,
                    str(quantiles['count']),
                    format_ms(quantiles['p50']),
                    format_ms(quantiles['p99']),
                    format_ms(quantiles['highest']),
                    f'{run["circumstances"]["load_1_min"]:.1f}',
                ]
            )
    head = ['daemons', 'change of', 'samples', 'p50 ms', 'p99 ms', 'max ms']
    return markdown_table([*head, 'load before'], rows)


def rate_table(runs: dict[str, dict[str, Any]]) -> list[str]:
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
    return markdown_table(
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


def store_table(runs: dict[str, dict[str, Any]]) -> list[str]:
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
    return markdown_table(
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


def fit_lines() -> dict[str, stats.LinearFit]:
    """Return linear fits over the number of daemons, in four zones."""
    runs = [load_result(f'convergence-{size}') for size in SIZES]
    counts = [float(run['daemons']) for run in runs]
    values = {
        'document p99, ms': [run['text_s']['p99'] * 1000 for run in runs],
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
        values[f'control B/s per daemon, {label}'] = [
            row['bytes_mean'] for row in rows
        ]
        values[f'CPU % per daemon, {label}'] = [
            row['cpu'] * 100 for row in rows
        ]
    values['reconcile B/s, initiator, idle'] = [
        row['reconcile.sent-bytes'] + row['reconcile.received-bytes']
        for row in (run['idle']['roles']['all'] for run in runs)
    ]
    return {
        name: stats.fit_line(counts, samples)
        for name, samples in values.items()
    }


def slope_table() -> list[str]:
    rows = [
        [name, f'{line.constant:.3f}', f'{line.slope:.5f}']
        for name, line in fit_lines().items()
    ]
    return markdown_table(['figure', 'constant', 'slope per daemon'], rows)


CODE_VERSIONS = (
    ('fa20b9f, marks of all members', 'first/'),
    ('768ecae, sums and beats', 'second/'),
    ('now', ''),
)


def code_version_table() -> list[str]:
    """Compare the results at earlier commits with the current ones."""
    rows = []
    for name, directory in CODE_VERSIONS:
        runs = [
            load_result(f'{directory}convergence-{size}') for size in SIZES
        ]
        counts = [float(run['daemons']) for run in runs]
        byte_rates = [
            run['idle']['roles']['all']['bytes_mean'] for run in runs
        ]
        relay = runs[-1]['idle']['roles']['relay']
        capacity = load_result(f'{directory}capacity')['fleet'][-1]
        rows.append(
            [
                name,
                ' / '.join(f'{rate:.0f}' for rate in byte_rates),
                f'{stats.fit_line(counts, byte_rates).slope:.2f}',
                f'{relay["cpu"] * 100:.2f}',
                str(capacity['bytes']['digest']),
                f'{runs[-1]["text_s"]["p99"] * 1000:.0f}',
                f'{runs[-1]["circumstances"]["load_1_min"]:.0f}',
            ]
        )
    head = [
        'commit',
        'idle control B/s at 12 / 48 / 100',
        'slope per daemon',
        'relay idle CPU % at 100',
        'digest B at 5,200',
        'document p99 ms at 100',
        'load before',
    ]
    return markdown_table(head, rows)


def fit_message_cost() -> stats.LinearFit:
    """Fit CPU time in ms per second to link messages per second.

    The points are the idle daemons of each role in all four runs.  The
    slope is the cost of a message sent and the one received for it.
    """
    xs, ys = [], []
    for size in (*SIZES, TWO_ZONE_RUN):
        for role, row in load_result(f'convergence-{size}')['idle'][
            'roles'
        ].items():
            if role != 'all':
                xs.append(row['link.sent-messages'])
                ys.append(row['cpu'] * 1000)
    return stats.fit_line(xs, ys)


def distribution_table() -> list[str]:
    run = load_result('ways-48')
    rows = []
    for name in ('tree', 'watch'):
        result = run[name]
        rows.append(
            [
                name,
                format_ms(result['text_s']['p50']),
                format_ms(result['text_s']['p99']),
                format_ms(result['text_s']['highest']),
                str(result['watches']),
                f'{result["store_bytes_per_change"]:.0f}',
                f'{result["link_bytes_per_change"]:.0f}',
            ]
        )
    return markdown_table(
        [
            'distribution',
            'p50 ms',
            'p99 ms',
            'max ms',
            'watches on the store',
            'bytes from the store per change',
            'bytes between daemons per change',
        ],
        rows,
    )


def delta_table() -> list[str]:
    scopes = load_result('capacity')['config_bytes']
    rows = [
        [
            name,
            str(row['services']),
            str(row['whole']),
            str(row['delta_p50']),
            str(row['delta_max']),
            f'{row["whole"] / row["delta_p50"]:.0f}',
        ]
        for name, row in scopes.items()
        if isinstance(row, dict)
    ]
    head = ['scope', 'services', 'full B', 'delta p50 B', 'delta max B']
    return markdown_table([*head, 'full/delta'], rows)


def framing_table() -> list[str]:
    run = load_result('framing')
    stream, reconciliation = run['stream'], run['reconciliation']
    rows = [
        [
            'a change on a stream',
            f'{stream["payload_bytes_per_change"]:.0f} B',
            f'{stream["stream_bytes_per_change"]:.0f} B',
            f'{stream["with_headers_per_change"]:.0f} B',
        ],
        [
            'an idle stream, per second',
            f'{stream["idle_payload_bytes_per_s"]:.1f} B',
            f'{stream["idle_stream_bytes_per_s"]:.1f} B',
            f'{stream["idle_with_headers_per_s"]:.1f} B',
        ],
        [
            f'a reconciliation of {reconciliation["members"]} members',
            f'{reconciliation["payload_bytes_each"]:.0f} B',
            f'{reconciliation["stream_bytes_each"]:.0f} B',
            f'{reconciliation["with_headers_each"]:.0f} B',
        ],
        [
            'a probe or its acknowledgement',
            f'{_probe_bytes():.0f} B',
            f'{_probe_bytes():.0f} B',
            f'{_probe_bytes() + run["udp_header_bytes"]:.0f} B',
        ],
    ]
    head = ['what', 'payload (counted)', 'TCP or UDP stream (measured)']
    return markdown_table([*head, 'with IP headers (estimate)'], rows)


def _probe_bytes() -> float:
    row = load_result('convergence-100')['idle']['roles']['all']
    return float(row['probe.sent-bytes'] / row['probe.sent-messages'])


def path_table() -> list[str]:
    run = load_result('path')
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
    head = ['phase', 'path']
    for quantile in ('p50', 'p99'):
        head += [f'{quantile} ms', 'ratio', 'added ms']
    return markdown_table([*head, 'calls/s'], rows)
