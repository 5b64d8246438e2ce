"""A stand-in for the platform's metadata store (PROTOCOL.md)."""

import asyncio
import base64
import dataclasses
import json
import time
from typing import Any

from shared_2 import wire

PAGE_ITEMS = 500
WATCH_POLL_S = 0.005


@dataclasses.dataclass(slots=True)
class Item:
    """A value, or its deletion in the history."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0
    deleted: bool = False

    def to_json(self) -> dict[str, Any]:
        if self.deleted:
            return {
                'key': self.key,
                'revision': self.revision,
                'deleted': True,
            }
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'created': self.created,
            'lease': self.lease,
        }


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the time at which it ends."""

    ttl_s: float
    until: float


class Store:
    """Items, leases and history, served on one loopback address."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases: dict[int, Lease] = {}
        self.revision = 1
        self.last_lease = 1000
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str]] = []

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append(item)
        return self.revision

    async def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(Item(key, b'', self.revision, 0, deleted=True))

    async def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        await self.put('op/config', json.dumps(config).encode())

    async def expire_leases(self) -> None:
        """End the leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for number, lease in list(self.leases.items()):
                if lease.until < now:
                    await self.end_lease(number)

    async def end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for item in list(self.items.values()):
            if item.lease == number:
                await self.remove(item.key)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_request(reader)
                self.calls.append((time.monotonic(), request.path))
                status, body = await self.answer(request)
                raw = b'' if body is None else json.dumps(body).encode()
                writer.write(
                    wire.render_answer(
                        status, {'Content-Type': 'application/json'}, raw
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self, request: wire.Request
    ) -> tuple[int, dict[str, Any] | None]:
        """Return the status and the body of the answer to a call."""
        call, _, argument = request.path.removeprefix('/-/').partition('/')
        query = request.query
        if call == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'at': self.revision}
            return 200, {**item.to_json(), 'at': self.revision}
        if call == 'kv-range':
            return 200, self._range(query['prefix'], query.get('after', ''))
        if call == 'kv-watch':
            return 200, await self._watch(query)
        if call == 'kv-txn':
            return await self._txn(json.loads(request.body))
        if call == 'kv-lease':
            ttl_ms = json.loads(request.body)['ttlMs']
            self.last_lease += 1
            self.leases[self.last_lease] = Lease(
                ttl_ms / 1000, time.monotonic() + ttl_ms / 1000
            )
            return 200, {'lease': self.last_lease, 'ttlMs': ttl_ms}
        if call == 'kv-keep':
            lease = self.leases.get(int(argument))
            if lease is None:
                return 404, {}
            lease.until = time.monotonic() + lease.ttl_s
            return 200, {'ttlMs': int(lease.ttl_s * 1000)}
        if call == 'kv-lease-end':
            await self.end_lease(int(argument))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key].to_json() for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'at': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query['prefix'], int(query['after'])

        def events() -> list[dict[str, Any]]:
            return [
                item.to_json()
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]

        until = time.monotonic() + int(query['waitMs']) / 1000
        while not events() and time.monotonic() < until:
            await asyncio.sleep(WATCH_POLL_S)
        return {'events': events(), 'at': self.revision}

    async def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get('precondition', []):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [item.to_json()] if item else []
                return 412, {'items': found}
        writes = body.get('writes', [])
        if any(
            write.get('lease') and write['lease'] not in self.leases
            for write in writes
        ):
            return 404, {}
        for write in writes:
            await self.put(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in body.get('remove', []):
            await self.remove(key)
        return 200, {'revision': self.revision}

    async def listen(self, address: str, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, address, port)

    def stop_listening(self) -> None:
        """Refuse and reset connections, as a store that is down."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()
