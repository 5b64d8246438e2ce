"""A plot of several runs: credit by route, latency by share of requests."""

from collections.abc import Sequence
import pathlib

from peridotpost.experiment import results

SHARES = tuple(step / 200 for step in range(1, 200))


def draw(found: Sequence[results.Result], path: pathlib.Path) -> None:
    """Write a picture; its format goes by the file's name.

    :raises ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 5))
    width = 0.8 / max(1, len(found))
    for number, one in enumerate(found):
        names = [name for name in one.routes if one.routes[name].owed]
        places = [index + number * width for index in range(len(names))]
        credit = [one.routes[name].credit_share for name in names]
        left.bar(places, credit, width, label=f'{one.policy}, {one.seed}')
        left.set_xticks(range(len(names)), names)
        for name in names:
            latency = one.routes[name].latency
            times_ms = [latency.quantile(share) * 1000 for share in SHARES]
            label = f'{one.policy} {name}'
            right.plot(times_ms, SHARES, label=label)
    left.set_ylabel('credit earned of owed')
    right.set_ylabel('share of answers')
    right.set_xlabel('ms since the first attempt')
    left.legend(fontsize=7)
    right.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
