"""A relay on loopback through which faults are put into connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

CHUNK = 65536


@dataclasses.dataclass(eq=False, slots=True)
class Pair:
    """A connection and the one behind it.

    :param silent: nothing is passed on any more, for good.
    """

    front: asyncio.StreamWriter
    back: asyncio.StreamWriter
    silent: bool = False

    def abort(self) -> None:
        self.front.transport.abort()
        self.back.transport.abort()


class Relay:
    """Passes connections on from one address to another.

    :param delay_s: each chunk is held so long.
    :param refuse: new connections are reset.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.delay_s = 0.0
        self.refuse = False
        self.open_up = asyncio.Event()
        self.open_down = asyncio.Event()
        self.open_up.set()
        self.open_down.set()
        self.pairs: set[Pair] = set()

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.abort()

    def silence(self) -> None:
        for pair in self.pairs:
            pair.silent = True

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            behind, back = await asyncio.open_connection(
                self.address, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(writer, back)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(pair, reader, back, self.open_up),
                self._pump(pair, behind, writer, self.open_down),
            )
        finally:
            self.pairs.discard(pair)
            writer.close()
            back.close()

    async def _pump(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        """Pass on one direction; a reset on either side resets both."""
        try:
            while chunk := await reader.read(CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await gate.wait()
                if not pair.silent:
                    writer.write(chunk)
                    await writer.drain()
            await gate.wait()
            if not pair.silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            pair.abort()


@contextlib.asynccontextmanager
async def relaying(
    at: str, at_port: int, address: str, port: int
) -> AsyncIterator[Relay]:
    """Relay `at` to `address`; both are loopback addresses."""
    relay = Relay(address, port)
    connections: set[asyncio.Task[None]] = set()

    def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(relay.serve(reader, writer))
        connections.add(task)
        task.add_done_callback(connections.discard)

    server = await asyncio.start_server(accept, at, at_port)
    try:
        yield relay
    finally:
        server.close()
        for task in list(connections):
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
