"""Counters first: what a process did, by name, sent on by statsd."""

import collections
from collections.abc import Iterator
import contextlib

import statsd


class Counters:
    """Adds up counts; a subscriber sends the differences to statsd."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self.totals[name] += amount

    def unsent(self) -> dict[str, int]:
        """Return what came in since the last call."""
        differences = {
            name: total - self.sent[name]
            for name, total in self.totals.items()
            if total != self.sent[name]
        }
        self.sent = collections.Counter(self.totals)
        return differences


class StatsdExport:
    """Sends counters as statsd packets."""

    def __init__(
        self, counters: Counters, address: str, port: int, prefix: str
    ) -> None:
        self.counters = counters
        self.client = statsd.StatsClient(address, port, prefix=prefix)

    def flush(self) -> None:
        with self.client.pipeline() as pipe:
            for name, amount in self.counters.unsent().items():
                pipe.incr(name, amount)


@contextlib.contextmanager
def statsd_export(
    counters: Counters, address: str, port: int, prefix: str
) -> Iterator[StatsdExport]:
    export = StatsdExport(counters, address, port, prefix)
    try:
        yield export
    finally:
        export.flush()
        export.client.close()
