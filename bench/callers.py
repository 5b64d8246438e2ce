"""Closed-loop load generator for one process of a benchmark.

Each of `--connections` callers sends its next call after the response to
the previous one.  At saturation an open loop would measure only its own
queue.
"""

import asyncio
import json

import click

from peridotpost.load import client
from peridotpost.load import histogram

REPORTED_QUANTILES = (0.5, 0.99)


async def measure_calls(
    http_client: client.Client,
    request: client.Request,
    connections: int,
    seconds: float,
) -> dict[str, float]:
    """Send calls for `seconds`; return their count and latency quantiles."""
    loop = asyncio.get_running_loop()
    end_time = loop.time() + seconds
    latencies = histogram.Histogram()
    failed = 0

    async def run_caller() -> None:
        nonlocal failed
        while (started_at := loop.time()) < end_time:
            response = await http_client.send(request)
            latencies.add(loop.time() - started_at)
            failed += response.status != 200

    started_at = loop.time()
    await asyncio.gather(*(run_caller() for _ in range(connections)))
    elapsed_s = loop.time() - started_at
    http_client.close()
    return {
        'calls': latencies.count,
        'failed': failed,
        'calls_per_s': latencies.count / elapsed_s,
        'p50_ms': latencies.quantile(0.5) * 1000,
        'p99_ms': latencies.quantile(0.99) * 1000,
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
    """Send calls and print the result as one line of JSON."""
    request = client.Request(method, '/bonds/17', (('Host', service),))
    http_client = client.Client('127.0.0.1', port)
    result = asyncio.run(
        measure_calls(http_client, request, connections, seconds)
    )
    click.echo(json.dumps(result))


if __name__ == '__main__':
    main()
