"""Quantiles, linear fits and the environment of a benchmark run."""

from collections.abc import Sequence
import dataclasses
import datetime
import math
import os
import subprocess
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Quantiles of a sample, in the sample's unit."""

    count: int
    p50: float
    p99: float
    highest: float


def spread(sample: Sequence[float]) -> Spread:
    """Return nearest-rank quantiles; zeros for an empty sample."""
    if not sample:
        return Spread(0, 0.0, 0.0, 0.0)
    return Spread(
        len(sample),
        quantile(sample, 0.50),
        quantile(sample, 0.99),
        max(sample),
    )


def quantile(sample: Sequence[float], fraction: float) -> float:
    """Return the nearest-rank quantile of a non-empty sample."""
    ordered = sorted(sample)
    rank = max(1, math.ceil(fraction * len(ordered)))
    return ordered[rank - 1]


@dataclasses.dataclass(frozen=True, slots=True)
class LinearFit:
    """A least-squares line: value = constant + slope * x."""

    constant: float
    slope: float

    def predict(self, x: float) -> float:
        return self.constant + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Fit a line by least squares.

    :raises ValueError: fewer than two distinct `xs`.
    """
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    width = sum((x - mean_x) ** 2 for x in xs)
    if not width:
        raise ValueError('a linear fit needs at least two distinct x values')
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / width
    return LinearFit(mean_y - slope * mean_x, slope)


def describe_environment() -> dict[str, Any]:
    """Return the time, load, core count and commit of a run."""
    now = datetime.datetime.now(datetime.UTC)
    return {
        'at': now.isoformat(timespec='seconds'),
        'load_1_min': os.getloadavg()[0],
        'cores': os.cpu_count(),
        'revision': current_revision(),
    }


def current_revision() -> str:
    """Return the checked-out commit, empty outside a repository."""
    completed = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip()
