"""A TCP relay on loopback that injects connection faults."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

CHUNK_BYTES = 65536


@dataclasses.dataclass(eq=False, slots=True)
class ConnectionPair:
    """A client connection and its upstream connection.

    :param blackholed: data is read and discarded in both directions.
    """

    client: asyncio.StreamWriter
    upstream: asyncio.StreamWriter
    blackholed: bool = False

    def abort(self) -> None:
        self.client.transport.abort()
        self.upstream.transport.abort()


class Relay:
    """Forwards connections to an address.

    :param delay_s: delay of each forwarded chunk.
    :param reset_new_connections: reset connections as they are accepted.
    :param to_upstream_open: cleared to suspend forwarding to the upstream.
    :param to_client_open: cleared to suspend forwarding to the client.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.delay_s = 0.0
        self.reset_new_connections = False
        self.to_upstream_open = asyncio.Event()
        self.to_client_open = asyncio.Event()
        self.to_upstream_open.set()
        self.to_client_open.set()
        self.pairs: set[ConnectionPair] = set()

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.abort()

    def blackhole(self) -> None:
        for pair in self.pairs:
            pair.blackholed = True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.reset_new_connections:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream = await asyncio.open_connection(
                self.address, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = ConnectionPair(writer, upstream)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(pair, reader, upstream, self.to_upstream_open),
                self._forward(
                    pair, upstream_reader, writer, self.to_client_open
                ),
            )
        finally:
            self.pairs.discard(pair)
            writer.close()
            upstream.close()

    async def _forward(
        self,
        pair: ConnectionPair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
    ) -> None:
        """Forward one direction; a reset on either side resets both."""
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await is_open.wait()
                if not pair.blackholed:
                    writer.write(chunk)
                    await writer.drain()
            await is_open.wait()
            if not pair.blackholed and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pair.abort()


@contextlib.asynccontextmanager
async def serving(
    listen_address: str, listen_port: int, address: str, port: int
) -> AsyncIterator[Relay]:
    """Relay a listening loopback address to another one."""
    relay = Relay(address, port)
    connections: set[asyncio.Task[None]] = set()

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(relay.serve(reader, writer))
        connections.add(task)
        task.add_done_callback(connections.discard)

    server = await asyncio.start_server(accept, listen_address, listen_port)
    try:
        yield relay
    finally:
        server.close()
        for task in list(connections):
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
