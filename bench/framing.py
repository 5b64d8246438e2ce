"""Measures what gRPC, HTTP/2 and TCP add to the counted payload bytes.

Counters count protocol buffers.  Here the same exchanges go through a
relay that counts the bytes of the TCP stream in each direction.  Headers
of TCP and IP are added by estimate, since the kernel's segments are not
seen: 52 bytes a segment (IPv4 with TCP timestamps), and an acknowledgement
of the same size for each.
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

from bench import figures
from bench import fleets
from bench import jsonout
from peridotpost.distribution import dialling
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import server
from peridotpost.distribution import streams
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import timers
from peridotpost.model import config
from testing import fleets as nodes

SEGMENT_HEADER_BYTES = 52
DATAGRAM_HEADER_BYTES = 28
CHANGES = 50
IDLE_S = 35.0
MEMBERS = 100
RECONCILIATIONS = 20


@dataclasses.dataclass(slots=True)
class Counted:
    """Bytes and reads of the relayed stream, both directions together."""

    stream_bytes: int = 0
    reads: int = 0

    def estimate(self) -> int:
        """Return the bytes with headers; each read is one segment."""
        return self.stream_bytes + 2 * SEGMENT_HEADER_BYTES * self.reads


@contextlib.asynccontextmanager
async def counting(port: int, counted: Counted) -> AsyncIterator[int]:
    """Relay connections to `port`, counting; yield the relay's port."""

    async def pump(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            counted.stream_bytes += len(data)
            counted.reads += 1
            writer.write(data)
        writer.close()

    async def take(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        onward = await asyncio.open_connection('127.0.0.1', port)
        with contextlib.suppress(OSError):
            await asyncio.gather(
                pump(reader, onward[1]), pump(onward[0], writer)
            )

    listening = await asyncio.start_server(take, '127.0.0.1', 0)
    try:
        yield listening.sockets[0].getsockname()[1]
    finally:
        listening.close()


def _difference(counted: Counted, before: Counted) -> Counted:
    return Counted(
        counted.stream_bytes - before.stream_bytes,
        counted.reads - before.reads,
    )


async def _stream(
    parent: nodes.Node, port: int, counted: Counted
) -> dict[str, Any]:
    """Hold one child's stream; send changes over it, then leave it idle."""
    child = fleets.full_node('child', config.EVERYTHING, MEMBERS)
    child.replica.clock = timers.TimerService(random.Random(2))
    totals = child.counts.totals
    arrived = asyncio.Event()
    child.replica.changed.subscribe(lambda _: arrived.set())
    closing = asyncio.Event()
    async with dialling.dial(f'127.0.0.1:{port}') as channel:
        call = control_pb2_grpc.ControlStub(channel).Exchange()
        link = links.Link(
            'parent', child.table, child.counts, dialled=True, reports=True
        )
        await call.write(control_pb2.Frame(hello=links.greeting(link)))
        link.take(await call.read())
        conversing = asyncio.ensure_future(
            streams.converse(link, call.read, call.write, closing)
        )
        await asyncio.sleep(0.5)
        before, payload = dataclasses.replace(counted), _payload(totals)
        for number in range(CHANGES):
            arrived.clear()
            held = parent.replica.version
            parent.hold(fleets.changed_version(held, number))
            await arrived.wait()
        changes = _difference(counted, before)
        payload = _payload(totals) - payload
        before, idle_payload = dataclasses.replace(counted), _payload(totals)
        await asyncio.sleep(IDLE_S)
        idle = _difference(counted, before)
        idle_payload = _payload(totals) - idle_payload
        closing.set()
        await conversing
    return {
        'changes': CHANGES,
        'payload_bytes_per_change': payload / CHANGES,
        'stream_bytes_per_change': changes.stream_bytes / CHANGES,
        'with_headers_per_change': changes.estimate() / CHANGES,
        'idle_s': IDLE_S,
        'idle_payload_bytes_per_s': idle_payload / IDLE_S,
        'idle_stream_bytes_per_s': idle.stream_bytes / IDLE_S,
        'idle_with_headers_per_s': idle.estimate() / IDLE_S,
    }


def _payload(totals: collections.Counter[str]) -> int:
    return totals['link.sent-bytes'] + totals['link.received-bytes']


async def _reconcile(
    parent: nodes.Node, port: int, counted: Counted
) -> dict[str, Any]:
    asking = fleets.full_node('asking', config.EVERYTHING, MEMBERS)
    asking.hold(parent.replica.version)
    one = reconcile.Reconciler(
        asking.replica, asking.counts, 'zone-00', random.Random(1)
    )
    before = dataclasses.replace(counted)
    for _ in range(RECONCILIATIONS):
        assert await one.ask(f'127.0.0.1:{port}')
    await asyncio.sleep(0.5)
    grown = _difference(counted, before)
    totals = asking.counts.totals
    payload = (
        totals['reconcile.sent-bytes'] + totals['reconcile.received-bytes']
    )
    return {
        'members': MEMBERS,
        'payload_bytes_each': payload / RECONCILIATIONS,
        'stream_bytes_each': grown.stream_bytes / RECONCILIATIONS,
        'with_headers_each': grown.estimate() / RECONCILIATIONS,
    }


async def measure() -> dict[str, Any]:
    circumstances = figures.circumstances()
    parent = fleets.full_node('parent', config.EVERYTHING, MEMBERS)
    # The link beats by its timer service, which must be a running one.
    parent.replica.clock = timers.TimerService(random.Random(1))
    servicer = server.ControlServicer(
        parent.replica, parent.table, parent.counts
    )
    counted = Counted()
    async with (
        server.serving(servicer, '127.0.0.1', 0) as bound,
        counting(bound, counted) as port,
    ):
        return {
            'circumstances': circumstances,
            'udp_header_bytes': DATAGRAM_HEADER_BYTES,
            'stream': await _stream(parent, port, counted),
            'reconciliation': await _reconcile(parent, port, counted),
        }


@click.command(
    epilog='Example: python -m bench.framing '
    '--output bench/results/framing.json'
)
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(output: pathlib.Path | None) -> None:
    """Measure the overhead of framing; write JSON."""
    jsonout.tell(asyncio.run(measure()), output)


if __name__ == '__main__':
    main()
