"""Relays between the proxies, which can cut machines off from each other."""

import asyncio
from collections.abc import Iterable
import dataclasses

CHUNK_BYTES = 65_536


@dataclasses.dataclass(eq=False, slots=True)
class Pair:
    """A connection of one proxy to another, on both sides of a relay."""

    source: str
    target: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]


class Network:
    """All relays of a fleet.

    :param names: the machines, of which none begins with another's name.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self.names = list(names)
        self.isolated: set[str] = set()
        self.healed = asyncio.Event()
        self.healed.set()
        self.servers: list[asyncio.Server] = []

    def cut_off(self, names: Iterable[str]) -> None:
        """Cut machines off from all others; nothing passes, nothing ends."""
        self.healed.clear()
        self.isolated = set(names)

    def heal(self) -> None:
        """Let pass again what is sent, and what was held up."""
        self.isolated = set()
        self.healed.set()

    async def relay(
        self, name: str, listen: tuple[str, int], backend: tuple[str, int]
    ) -> None:
        """Relay the connections to one machine."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(name, backend, reader, writer)

        self.servers.append(await asyncio.start_server(accept, *listen))

    async def _serve(
        self,
        name: str,
        backend: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            # The first frame names the machine that opens the connection.
            first = await reader.read(CHUNK_BYTES)
            source = next(
                (one for one in self.names if one.encode() in first), ''
            )
            await self._wait_until_open(source, name)
            upstream_reader, upstream = await asyncio.open_connection(*backend)
        except OSError:
            writer.transport.abort()
            return
        upstream.write(first)
        pair = Pair(source, name, (writer, upstream))
        await asyncio.gather(
            self._forward(pair, reader, upstream),
            self._forward(pair, upstream_reader, writer),
        )

    async def _wait_until_open(self, source: str, target: str) -> None:
        while source in self.isolated or target in self.isolated:
            await self.healed.wait()

    async def _forward(
        self,
        pair: Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._wait_until_open(pair.source, pair.target)
                writer.write(chunk)
                await writer.drain()
            await self._wait_until_open(pair.source, pair.target)
            writer.close()
        except OSError:
            await self._wait_until_open(pair.source, pair.target)
            for one in pair.writers:
                one.transport.abort()

    def close(self) -> None:
        for server in self.servers:
            server.close()
