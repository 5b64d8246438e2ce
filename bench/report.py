"""Turns results into the Markdown page and the plots of docs/measures/."""

import json
import pathlib
from typing import Any

import click
import matplotlib

from bench import tables

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

PAGES = pathlib.Path(__file__).parent.parent / 'docs' / 'measures'


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
    four = {size: tables.load(f'convergence-{size}') for size in tables.SIZES}
    runs = {
        **four,
        '100 in 2 zones': tables.load(f'convergence-{tables.TREE_RUN}'),
    }
    _plots(four)
    changes = four['100']['churn']
    path = tables.load('path')
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
            *tables.spreads(runs),
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
            *tables.rates(runs),
            '',
            *tables.store(runs),
            '',
            'Least-squares lines through 12, 48 and 100 daemons:',
            '',
            *tables.slopes(),
            '',
            'Processor time against messages, by role, idle: '
            f'{tables.message_cost().constant:.1f} ms a second, and '
            f'{tables.message_cost().slope:.2f} ms for each link message sent '
            'with the one received for it.',
            '',
            '## What changes of the code did',
            '',
            'The same commands at earlier commits; results in '
            'bench/results/first and second.',
            '',
            *tables.earlier(),
            '',
            '## What framing adds to the counted bytes',
            '',
            '`python -m bench.framing`: the same exchanges through a relay '
            'that counts the stream; 52 bytes for each segment and each '
            'acknowledgement are an estimate.',
            '',
            *tables.framing(),
            '',
            '## Two ways: the tree, and every daemon watching the store',
            '',
            '`python -m bench.ways --hosts-per-zone 12`: 48 daemons and '
            '48 watchers, each with a platform of its own, in turn.',
            '',
            *tables.ways(),
            '',
            '## Whole text against deltas',
            '',
            '`python -m bench.capacity`: 150 services, one field of one '
            'service changed, over all 150 of them.',
            '',
            *tables.deltas(),
            '',
            '## The path against a direct call',
            '',
            f'`python -m bench.path`: {path["rate"]:.0f} calls/s on each '
            'way, interleaved, then saturation by '
            '3 processes with 8 connections each.  Load before '
            f'{path["circumstances"]["load_1_min"]:.1f}, after '
            f'{path["load_1_min_at_end"]:.1f}.',
            '',
            *tables.path(),
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
