"""One caller process for benchmarks: a fixed number of calls in flight.

At saturation an open loop would only measure its own queue; here each of
`--connections` callers sends its next call when it has its answer.
"""

import asyncio
import json

import click

from peridotpost.load import client
from peridotpost.load import histogram

REPORTED = (0.5, 0.99)


async def call_for(
    one: client.Client,
    request: client.Request,
    connections: int,
    seconds: float,
) -> dict[str, float]:
    """Send calls for `seconds`; return their count and quantiles."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    times = histogram.Histogram()
    failed = 0

    async def caller() -> None:
        nonlocal failed
        while (began := loop.time()) < until:
            received = await one.send(request)
            times.add(loop.time() - began)
            failed += received.status != 200

    began = loop.time()
    await asyncio.gather(*(caller() for _ in range(connections)))
    spent = loop.time() - began
    one.close()
    return {
        'calls': times.count,
        'failed': failed,
        'calls_per_s': times.count / spent,
        'p50_ms': times.quantile(0.5) * 1000,
        'p99_ms': times.quantile(0.99) * 1000,
    }


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--service', required=True)
@click.option('--method', default='GET')
@click.option('--connections', default=8)
@click.option('--seconds', default=5.0)
def main(
    port: int, service: str, method: str, connections: int, seconds: float
) -> None:
    """Send calls and print one line of JSON."""
    request = client.Request(method, '/bonds/17', (('Host', service),))
    one = client.Client('127.0.0.1', port)
    found = asyncio.run(call_for(one, request, connections, seconds))
    click.echo(json.dumps(found))


if __name__ == '__main__':
    main()
