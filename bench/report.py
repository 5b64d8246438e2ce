"""Generates the Markdown page and plots of docs/measures/ from results."""

import json
import pathlib
from typing import Any

import click
import matplotlib

from bench import tables

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

OUTPUT_DIRECTORY = pathlib.Path(__file__).parent.parent / 'docs' / 'measures'


def _save_plots(runs: dict[str, dict[str, Any]]) -> None:
    counts = [run['daemons'] for run in runs.values()]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for key, label in (('text_s', 'document'), ('target_s', 'target')):
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
    right.set(
        xlabel='daemons', ylabel='control B/s per daemon', ylim=(0, None)
    )
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(OUTPUT_DIRECTORY / 'convergence.png', dpi=110)


def _render_page() -> str:
    four_zone_runs = {
        size: tables.load_result(f'convergence-{size}')
        for size in tables.SIZES
    }
    runs = {
        **four_zone_runs,
        '100 in 2 zones': tables.load_result(
            f'convergence-{tables.TWO_ZONE_RUN}'
        ),
    }
    _save_plots(four_zone_runs)
    changes = four_zone_runs['100']['churn']
    path = tables.load_result('path')
    return '\n'.join(
        [
            '# Measures',
            '',
            'Written by `python -m bench.report` from bench/results/; '
            '`make bench` repeats the measurements.  All daemons, the '
            'stand-in platform and the callers shared one machine of 12 '
            'cores with '
            'other load; the load average before each run is given.  '
            'Ratios within one run apply to other machines, absolute times '
            'do not.',
            '',
            '## Time until a change is in force on every daemon',
            '',
            '`python -m bench.convergence`: a mesh document of 150 services; '
            'from just before its acceptance, or before a target announces '
            "its drain, to the event in each daemon's own timeline.",
            '',
            *tables.delay_table(runs),
            '',
            '![times and bytes against the number of daemons]'
            '(convergence.png)',
            '',
            '## Control bytes, CPU time, store',
            '',
            'Payload bytes by the counters of link, probe and '
            'reconciliation.  The responder of a reconciliation counts '
            'nothing, so the bytes of the initiator are added once more.  '
            'Under '
            f'churn {changes["changes"]["texts"]} documents and '
            f'{changes["changes"]["targets"]} target changes in '
            f'{changes["seconds"]:.0f} s.',
            '',
            *tables.rate_table(runs),
            '',
            *tables.store_table(runs),
            '',
            'Least-squares lines through 12, 48 and 100 daemons:',
            '',
            *tables.slope_table(),
            '',
            'CPU time against messages, by role, idle: '
            f'{tables.fit_message_cost().constant:.1f} ms per second, and '
            f'{tables.fit_message_cost().slope:.2f} ms for each link message '
            'sent with the one received for it.',
            '',
            '## Comparison with earlier commits',
            '',
            'The same commands at earlier commits; results in '
            'bench/results/first and second.',
            '',
            *tables.code_version_table(),
            '',
            '## Framing overhead',
            '',
            '`python -m bench.framing`: the same exchanges through a proxy '
            'that counts the stream; 52 bytes for each segment and each '
            'acknowledgement are an estimate.',
            '',
            *tables.framing_table(),
            '',
            '## Distribution by the tree and by watches of the store',
            '',
            '`python -m bench.ways --hosts-per-zone 12`: 48 daemons and '
            '48 watchers, each group with its own platform, in turn.',
            '',
            *tables.distribution_table(),
            '',
            '## Full updates against deltas',
            '',
            '`python -m bench.capacity`: 150 services, one field of one '
            'service changed, over all 150 of them.',
            '',
            *tables.delta_table(),
            '',
            '## Calls through daemons against direct calls',
            '',
            f'`python -m bench.path`: {path["rate"]:.0f} calls/s on each '
            'path, interleaved, then saturation by '
            '3 processes with 8 connections each.  Load before '
            f'{path["circumstances"]["load_1_min"]:.1f}, after '
            f'{path["load_1_min_at_end"]:.1f}.',
            '',
            *tables.path_table(),
            '',
            'CPU time per call in each daemon, ms, less idle use: '
            f'{json.dumps(path["cpu_ms_per_call_of_each_daemon"])}; '
            'at saturation '
            f'{json.dumps(path["saturation_cpu_ms_per_call"])}.',
            '',
        ]
    )


@click.command(epilog='Example: python -m bench.report')
def main() -> None:
    """Write docs/measures/README.md and its plots."""
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (OUTPUT_DIRECTORY / 'README.md').write_text(_render_page())


if __name__ == '__main__':
    main()
