"""Measures the overhead of gRPC, HTTP/2 and TCP over the payload bytes.

The daemons' counters count only protocol buffers.  Here the same exchanges
go through a TCP proxy that counts the bytes of the stream in each
direction.  TCP and IP headers are estimated, since the proxy does not see
the kernel's segments: 52 bytes per segment (IPv4 with TCP timestamps), and
an acknowledgement of the same size for each.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import pathlib
import random
from typing import Any

import click

from bench import fleets
from bench import json_output
from bench import stats
from peridotpost.distribution import grpcchannels
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import server
from peridotpost.distribution import streams
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import timers
from peridotpost.model import config
from testing import distribution_harness as nodes

SEGMENT_HEADER_BYTES = 52
DATAGRAM_HEADER_BYTES = 28
CHANGES = 50
IDLE_S = 35.0
MEMBERS = 100
RECONCILIATIONS = 20


@dataclasses.dataclass(slots=True)
class TrafficCount:
    """Bytes and reads of the proxied stream, summed over both directions."""

    stream_bytes: int = 0
    reads: int = 0

    def estimate_wire_bytes(self) -> int:
        """Return the bytes with headers, taking each read as one segment."""
        return self.stream_bytes + 2 * SEGMENT_HEADER_BYTES * self.reads


@contextlib.asynccontextmanager
async def counting_proxy(
    port: int, traffic: TrafficCount
) -> AsyncIterator[int]:
    """Proxy connections to `port` and count them; yield the proxy's port."""

    async def pump(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            traffic.stream_bytes += len(data)
            traffic.reads += 1
            writer.write(data)
        writer.close()

    async def handle_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        upstream = await asyncio.open_connection('127.0.0.1', port)
        with contextlib.suppress(OSError):
            await asyncio.gather(
                pump(reader, upstream[1]), pump(upstream[0], writer)
            )

    listener = await asyncio.start_server(handle_connection, '127.0.0.1', 0)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()


def _subtract(after: TrafficCount, before: TrafficCount) -> TrafficCount:
    return TrafficCount(
        after.stream_bytes - before.stream_bytes,
        after.reads - before.reads,
    )


async def _measure_stream(
    parent: nodes.Node, port: int, traffic: TrafficCount
) -> dict[str, Any]:
    """Measure a child's stream during changes and then while idle."""
    child = fleets.make_full_node('child', config.EVERYTHING, MEMBERS)
    child.replica.clock = timers.TimerService(random.Random(2))
    totals = child.counts.totals
    arrived = asyncio.Event()
    child.replica.changed.subscribe(lambda _: arrived.set())
    closing = asyncio.Event()
    async with grpcchannels.dial(f'127.0.0.1:{port}') as channel:
        call = control_pb2_grpc.ControlStub(channel).Exchange()
        link = links.Link(
            'parent',
            child.table,
            child.counts,
            dialled=True,
            reports_progress=True,
        )
        await call.write(control_pb2.Frame(hello=links.hello_message(link)))
        link.handle_frame(await call.read())
        link_task = asyncio.ensure_future(
            streams.run_link(link, call.read, call.write, closing)
        )
        await asyncio.sleep(0.5)
        before, payload = dataclasses.replace(traffic), _payload_bytes(totals)
        for number in range(CHANGES):
            arrived.clear()
            held = parent.replica.version
            parent.offer_version(fleets.changed_version(held, number))
            await arrived.wait()
        changes = _subtract(traffic, before)
        payload = _payload_bytes(totals) - payload
        before, idle_payload = (
            dataclasses.replace(traffic),
            _payload_bytes(totals),
        )
        await asyncio.sleep(IDLE_S)
        idle = _subtract(traffic, before)
        idle_payload = _payload_bytes(totals) - idle_payload
        closing.set()
        await link_task
    return {
        'changes': CHANGES,
        'payload_bytes_per_change': payload / CHANGES,
        'stream_bytes_per_change': changes.stream_bytes / CHANGES,
        'with_headers_per_change': changes.estimate_wire_bytes() / CHANGES,
        'idle_s': IDLE_S,
        'idle_payload_bytes_per_s': idle_payload / IDLE_S,
        'idle_stream_bytes_per_s': idle.stream_bytes / IDLE_S,
        'idle_with_headers_per_s': idle.estimate_wire_bytes() / IDLE_S,
    }


def _payload_bytes(totals: collections.Counter[str]) -> int:
    return totals['link.sent-bytes'] + totals['link.received-bytes']


async def _measure_reconciliation(
    parent: nodes.Node, port: int, traffic: TrafficCount
) -> dict[str, Any]:
    node = fleets.make_full_node('asking', config.EVERYTHING, MEMBERS)
    node.offer_version(parent.replica.version)
    reconciler = reconcile.Reconciler(
        node.replica, node.counts, 'zone-00', random.Random(1)
    )
    before = dataclasses.replace(traffic)
    for _ in range(RECONCILIATIONS):
        assert await reconciler.fetch_facts(f'127.0.0.1:{port}')
    await asyncio.sleep(0.5)
    difference = _subtract(traffic, before)
    totals = node.counts.totals
    payload = (
        totals['reconcile.sent-bytes'] + totals['reconcile.received-bytes']
    )
    return {
        'members': MEMBERS,
        'payload_bytes_each': payload / RECONCILIATIONS,
        'stream_bytes_each': difference.stream_bytes / RECONCILIATIONS,
        'with_headers_each': difference.estimate_wire_bytes()
        / RECONCILIATIONS,
    }


async def measure() -> dict[str, Any]:
    circumstances = stats.describe_environment()
    parent = fleets.make_full_node('parent', config.EVERYTHING, MEMBERS)
    # The link sends heartbeats by this timer service, so it must run.
    parent.replica.clock = timers.TimerService(random.Random(1))
    servicer = server.ControlServicer(
        parent.replica, parent.table, parent.counts
    )
    traffic = TrafficCount()
    async with (
        server.serving(servicer, '127.0.0.1', 0) as server_port,
        counting_proxy(server_port, traffic) as port,
    ):
        return {
            'circumstances': circumstances,
            'udp_header_bytes': DATAGRAM_HEADER_BYTES,
            'stream': await _measure_stream(parent, port, traffic),
            'reconciliation': await _measure_reconciliation(
                parent, port, traffic
            ),
        }


@click.command(
    epilog='Example: python -m bench.framing '
    '--output bench/results/framing.json'
)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None) -> None:
    """Measure the framing overhead; write JSON."""
    json_output.write_result(asyncio.run(measure()), output)


if __name__ == '__main__':
    main()
