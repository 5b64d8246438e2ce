"""Exports counters to statsd.

A separate module, so that programs without statsd need not import it.
"""

from collections.abc import Iterator
import contextlib

import statsd

from peridotpost.kernel import counters as counts


class StatsdExport:
    """Sends the increments of counters in statsd packets."""

    def __init__(
        self, counters: counts.Counters, address: str, port: int, prefix: str
    ) -> None:
        self.counters = counters
        self.client = statsd.StatsClient(address, port, prefix=prefix)

    def flush(self) -> None:
        with self.client.pipeline() as pipe:
            for name, amount in self.counters.take_unsent().items():
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
