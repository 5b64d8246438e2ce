"""A daemon that stood still says so, and whether it was its own doing."""

import json
import pathlib
import time

from testing import proxies


async def test_a_daemon_tells_that_it_stood_still(
    tmp_path: pathlib.Path,
) -> None:
    """A process gets no processor for a while.

    Its peers take it for silent and give up what it runs; in its own log
    nothing was wrong, so that those on call searched the network.
    """
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.ready()
        time.sleep(0.6)
        await proxies.until(lambda: host.proxy.counts.totals['stalls'] > 0)
    lines = (tmp_path / 'a.log').read_text().splitlines()
    (told,) = [
        line for line in map(json.loads, lines) if line['event'] == 'stalled'
    ]
    assert told['late_ms'] >= 250
    assert told['cpu_ms'] < told['late_ms']
