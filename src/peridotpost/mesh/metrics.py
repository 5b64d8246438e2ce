"""Counters and latency histograms, in the usual text format.

Recording is a list index and an addition; the library that renders the
page is loaded when the page is first asked for, as most processes never
are.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import resource
from typing import Any
from typing import Protocol

from peridotpost.kernel import counters

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
"""Upper ends of the buckets; dense where the operators' objectives lie."""
PREFIX = 'peridotpost_'


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """What one histogram is about."""

    service: str
    rank: int
    outcome: str


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts by bucket and the sum of all values."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BOUNDS_S) + 1)
    )
    total_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A figure as it stands now."""

    name: str
    text: str
    value: float


class Gauges(Protocol):
    """Gives the figures that are read when the page is."""

    def gauges(self) -> Iterator[Gauge]:
        """Yield the gauges."""


class Metrics:
    """Records, and renders the page."""

    def __init__(self, counts: counters.Counters, source: Gauges) -> None:
        self.counts = counts
        self.source = source
        self.histograms: dict[Series, Histogram] = {}

    def observe(
        self, service: str, rank: int, status: int, elapsed_s: float
    ) -> None:
        """Record an answer to a caller."""
        series = Series(service, rank, f'{status // 100}xx')
        found = self.histograms.get(series)
        if found is None:
            found = self.histograms[series] = Histogram()
        found.counts[bisect.bisect_left(BOUNDS_S, elapsed_s)] += 1
        found.total_s += elapsed_s

    def render(self) -> bytes:
        """Return the page."""
        import prometheus_client
        from prometheus_client import core

        registry = core.CollectorRegistry()
        registry.register(_Collector(self, core))
        page: bytes = prometheus_client.generate_latest(registry)
        return page


class _Collector:
    """Turns what was recorded into the library's families."""

    def __init__(self, metrics: Metrics, core: Any) -> None:
        self.metrics = metrics
        self.core = core

    def describe(self) -> list[Any]:
        return []

    def collect(self) -> Iterator[Any]:
        core = self.core
        for name, total in sorted(self.metrics.counts.totals.items()):
            plain = name.replace('.', '_').replace('-', '_')
            yield core.CounterMetricFamily(PREFIX + plain, name, total)
        for one in self.metrics.source.gauges():
            yield core.GaugeMetricFamily(
                PREFIX + one.name, one.text, one.value
            )
        used = resource.getrusage(resource.RUSAGE_SELF)
        yield core.CounterMetricFamily(
            PREFIX + 'processor_seconds',
            'Processor time of this process',
            used.ru_utime + used.ru_stime,
        )
        yield self._latencies()

    def _latencies(self) -> Any:
        family = self.core.HistogramMetricFamily(
            PREFIX + 'request_seconds',
            'Time from request to answer',
            labels=['service', 'rank', 'outcome'],
        )
        for series, held in self.metrics.histograms.items():
            buckets, so_far = [], 0
            ends = [*map(str, BOUNDS_S), '+Inf']
            for end, count in zip(ends, held.counts, strict=True):
                so_far += count
                buckets.append((end, so_far))
            family.add_metric(
                [series.service, str(series.rank), series.outcome],
                buckets,
                held.total_s,
            )
        return family
