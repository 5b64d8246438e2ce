"""Counters are exported to statsd as increments."""

import socket

from peridotpost.kernel import counters
from peridotpost.kernel import statsd_export


def test_counters_are_sent_as_increments() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(10)
        port = server.getsockname()[1]
        counts = counters.Counters()
        with statsd_export.statsd_export(
            counts, '127.0.0.1', port, 'peridotd.h'
        ) as export:
            counts.add('call', 2)
            export.flush()
            assert server.recv(1024) == b'peridotd.h.call:2|c'
            counts.add('call', 3)
            export.flush()
            assert server.recv(1024) == b'peridotd.h.call:3|c'
