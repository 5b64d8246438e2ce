"""The small arithmetic behind every report: quantiles and slopes."""

from collections.abc import Sequence
import dataclasses
import datetime
import math
import os
import subprocess
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Spread:
    """Quantiles of a sample, in the unit of the sample."""

    count: int
    p50: float
    p99: float
    highest: float


def spread(sample: Sequence[float]) -> Spread:
    """Return quantiles by nearest rank; zeros for an empty sample."""
    if not sample:
        return Spread(0, 0.0, 0.0, 0.0)
    return Spread(
        len(sample),
        quantile(sample, 0.50),
        quantile(sample, 0.99),
        max(sample),
    )


def quantile(sample: Sequence[float], share: float) -> float:
    """Return the nearest-rank quantile of a sample that is not empty."""
    ordered = sorted(sample)
    rank = max(1, math.ceil(share * len(ordered)))
    return ordered[rank - 1]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line: value = constant + slope * x."""

    constant: float
    slope: float

    def at(self, x: float) -> float:
        return self.constant + self.slope * x


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line.

    :raises ValueError: fewer than two different `xs`.
    """
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    width = sum((x - mean_x) ** 2 for x in xs)
    if not width:
        raise ValueError('a slope needs two sizes; measure another one')
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / width
    return Line(mean_y - slope * mean_x, slope)


def circumstances() -> dict[str, Any]:
    """Return when a run was and how busy the machine was."""
    now = datetime.datetime.now(datetime.UTC)
    return {
        'at': now.isoformat(timespec='seconds'),
        'load_1_min': os.getloadavg()[0],
        'cores': os.cpu_count(),
        'revision': revision(),
    }


def revision() -> str:
    """Return the commit that is measured, empty outside a checkout."""
    asked = subprocess.run(
        ['git', 'rev-parse', '--short', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return asked.stdout.strip()
