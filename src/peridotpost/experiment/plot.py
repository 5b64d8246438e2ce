"""Plots runs: credit by route, and the distribution of latency."""

from collections.abc import Sequence
import pathlib

from peridotpost.experiment import results

QUANTILES = tuple(step / 200 for step in range(1, 200))


def draw(run_results: Sequence[results.Result], path: pathlib.Path) -> None:
    """Draw the runs into `path`, whose suffix sets the image format.

    :raises ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 5))
    width = 0.8 / max(1, len(run_results))
    for index, run_result in enumerate(run_results):
        names = [
            name for name in run_result.routes if run_result.routes[name].owed
        ]
        bar_positions = [
            position + index * width for position in range(len(names))
        ]
        credit = [run_result.routes[name].credit_share for name in names]
        left.bar(
            bar_positions,
            credit,
            width,
            label=f'{run_result.policy}, {run_result.seed}',
        )
        left.set_xticks(range(len(names)), names)
        for name in names:
            latency = run_result.routes[name].latency
            times_ms = [latency.quantile(share) * 1000 for share in QUANTILES]
            label = f'{run_result.policy} {name}'
            right.plot(times_ms, QUANTILES, label=label)
    left.set_ylabel('credit earned of owed')
    right.set_ylabel('share of answers')
    right.set_xlabel('ms since the first attempt')
    left.legend(fontsize=7)
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
