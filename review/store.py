"""A stand-in for the platform's metadata store."""

import asyncio
import base64
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import time
from typing import Any
from urllib import parse

from standins import messages

PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.05
JSON = {'Content-Type': 'application/json'}
ENDINGS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


@dataclasses.dataclass
class Item:
    """A stored value, or in the history also a removed key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0
    deleted: bool = False

    def document(self) -> dict[str, Any]:
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


@dataclasses.dataclass
class Lease:
    """A lease and its time to live."""

    ttl_s: float
    ends_at: float


class Store:
    """Items, leases and the history of changes."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self.leases: dict[int, Lease] = {}
        self.revision = 1
        self.changed = asyncio.Condition()
        self.address = ''

    async def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self._put('op/config', json.dumps(config).encode(), 0)
        await self._notify()

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(Item(key, b'', self.revision, 0, deleted=True))

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self) -> None:
        """Remove the keys of leases that end, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            for lease in list(self.leases):
                if self.leases[lease].ends_at < now:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for item in list(self.items.values()):
            if item.lease == lease:
                self._remove(item.key)
        await self._notify()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(*ENDINGS):
            while (call := await messages.read(reader)) is not None:
                status, body = await self._answer(call)
                raw = json.dumps(body).encode()
                writer.write(messages.response(status, JSON, raw))
                await writer.drain()
        writer.close()

    async def _answer(self, call: messages.Message) -> tuple[str, Any]:
        target = parse.urlsplit(call.start[1])
        query = dict(parse.parse_qsl(target.query))
        body = json.loads(call.body) if call.body else {}
        name, _, number = target.path.removeprefix('/-/').partition('/')
        if name == 'kv-key':
            return self._read_key(query['key'])
        if name == 'kv-range':
            return self._read_range(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return await self._transact(body)
        if name == 'kv-lease':
            return self._grant(body['ttlMs'])
        if name == 'kv-keep':
            return self._keep(int(number))
        if name == 'kv-lease-end':
            await self._end_lease(int(number))
            return '200 OK', {}
        return '404 Not Found', {}

    def _read_key(self, key: str) -> tuple[str, Any]:
        item = self.items.get(key)
        if item is None:
            return '404 Not Found', {'at': self.revision}
        return '200 OK', {**item.document(), 'at': self.revision}

    def _read_range(self, query: dict[str, str]) -> tuple[str, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = [self.items[key].document() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return '200 OK', {'items': page, 'hasMore': more, 'at': self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[str, Any]:
        after = int(query['after'])

        def events() -> list[dict[str, Any]]:
            return [
                item.document()
                for item in self.history
                if item.revision > after
                and item.key.startswith(query['prefix'])
            ]

        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(int(query['waitMs']) / 1000),
                self.changed,
            ):
                await self.changed.wait_for(events)
        return '200 OK', {'events': events(), 'at': self.revision}

    async def _transact(self, body: dict[str, Any]) -> tuple[str, Any]:
        for row in body.get('precondition', []):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [item.document()] if item else []
                return '412 Precondition Failed', {'items': found}
        for write in body.get('writes', []):
            if write['lease'] and write['lease'] not in self.leases:
                return '404 Not Found', {}
        for write in body.get('writes', []):
            value = base64.b64decode(write['value'])
            self._put(write['key'], value, write['lease'])
        for key in body.get('remove', []):
            self._remove(key)
        await self._notify()
        return '200 OK', {'revision': self.revision}

    def _grant(self, ttl_ms: int) -> tuple[str, Any]:
        self.revision += 1
        ttl_s = ttl_ms / 1000
        self.leases[self.revision] = Lease(ttl_s, time.monotonic() + ttl_s)
        return '200 OK', {'lease': self.revision, 'ttlMs': ttl_ms}

    def _keep(self, number: int) -> tuple[str, Any]:
        lease = self.leases.get(number)
        if lease is None:
            return '404 Not Found', {}
        lease.ends_at = time.monotonic() + lease.ttl_s
        return '200 OK', {'ttlMs': int(lease.ttl_s * 1000)}


@contextlib.asynccontextmanager
async def serving(store: Store) -> AsyncIterator[Store]:
    """Serve a store on a free loopback port."""
    server = await asyncio.start_server(store.serve, '127.0.0.1', 0)
    store.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
    expiring = asyncio.ensure_future(store.expire_leases())
    try:
        yield store
    finally:
        expiring.cancel()
        server.close()
