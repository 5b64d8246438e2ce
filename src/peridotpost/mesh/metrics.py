"""Counters, gauges and latency histograms in the Prometheus text format.

Recording costs a list index and an addition.  The library that renders the
page is imported on the first request for it, since most processes never get
one.
"""

import bisect
from collections.abc import Iterator
import dataclasses
import resource
from typing import Any
from typing import Protocol

from peridotpost.kernel import counters
from peridotpost.mesh import customerreport

BUCKET_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)
"""Upper bounds of the buckets, dense around the operators' objectives."""
METRIC_PREFIX = 'peridotpost_'


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """The labels of one histogram."""

    service: str
    rank: int
    outcome: str


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts by bucket, and the sum of all values."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1)
    )
    total_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A value sampled when the page is rendered."""

    name: str
    help_text: str
    value: float


class GaugeSource(Protocol):
    """Supplies the gauges of the page."""

    def gauges(self) -> Iterator[Gauge]:
        """Yield the current gauges."""


class Metrics:
    """Records latencies and renders the metrics page."""

    def __init__(
        self,
        counts: counters.Counters,
        source: GaugeSource,
        customers: customerreport.CustomerReport,
    ) -> None:
        self.counts = counts
        self.source = source
        self.customers = customers
        self.histograms: dict[Series, Histogram] = {}

    def observe(
        self, service: str, rank: int, status: int, elapsed_s: float
    ) -> None:
        """Record the response to a caller's request."""
        series = Series(service, rank, f'{status // 100}xx')
        histogram = self.histograms.get(series)
        if histogram is None:
            histogram = self.histograms[series] = Histogram()
        histogram.counts[bisect.bisect_left(BUCKET_BOUNDS_S, elapsed_s)] += 1
        histogram.total_s += elapsed_s

    def render(self) -> bytes:
        """Return the metrics page."""
        import prometheus_client
        from prometheus_client import core

        registry = core.CollectorRegistry()
        registry.register(_Collector(self, core))
        page: bytes = prometheus_client.generate_latest(registry)
        return page


class _Collector:
    """Converts the recorded values to the library's metric families."""

    def __init__(self, metrics: Metrics, core: Any) -> None:
        self.metrics = metrics
        self.core = core

    def describe(self) -> list[Any]:
        return []

    def collect(self) -> Iterator[Any]:
        core = self.core
        for name, total in sorted(self.metrics.counts.totals.items()):
            metric_name = name.replace('.', '_').replace('-', '_')
            yield core.CounterMetricFamily(
                METRIC_PREFIX + metric_name, name, total
            )
        for gauge in self.metrics.source.gauges():
            yield core.GaugeMetricFamily(
                METRIC_PREFIX + gauge.name, gauge.help_text, gauge.value
            )
        used = resource.getrusage(resource.RUSAGE_SELF)
        yield core.CounterMetricFamily(
            METRIC_PREFIX + 'processor_seconds',
            'Processor time of this process',
            used.ru_utime + used.ru_stime,
        )
        yield from self.metrics.customers.families(core)
        yield self._latencies()

    def _latencies(self) -> Any:
        family = self.core.HistogramMetricFamily(
            METRIC_PREFIX + 'request_seconds',
            'Time from request to answer',
            labels=['service', 'rank', 'outcome'],
        )
        for series, histogram in self.metrics.histograms.items():
            buckets, so_far = [], 0
            ends = [*map(str, BUCKET_BOUNDS_S), '+Inf']
            for end, count in zip(ends, histogram.counts, strict=True):
                so_far += count
                buckets.append((end, so_far))
            family.add_metric(
                [series.service, str(series.rank), series.outcome],
                buckets,
                histogram.total_s,
            )
        return family
