"""Counters sent on to statsd; apart, as not every program has it."""

from collections.abc import Iterator
import contextlib

import statsd

from peridotpost.kernel import counters as counts


class StatsdExport:
    """Sends counters as statsd packets."""

    def __init__(
        self, counters: counts.Counters, address: str, port: int, prefix: str
    ) -> None:
        self.counters = counters
        self.client = statsd.StatsClient(address, port, prefix=prefix)

    def flush(self) -> None:
        with self.client.pipeline() as pipe:
            for name, amount in self.counters.unsent().items():
                pipe.incr(name, amount)


@contextlib.contextmanager
def statsd_export(
    counters: counts.Counters, address: str, port: int, prefix: str
) -> Iterator[StatsdExport]:
    export = StatsdExport(counters, address, port, prefix)
    try:
        yield export
    finally:
        export.flush()
        export.client.close()
