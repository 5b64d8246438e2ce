"""A stand-in for the platform's metadata store, with fault injection."""

import asyncio
import base64
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
from typing import Any

from tornado import http1connection
from tornado import httpserver
from tornado import netutil
from tornado import web


@dataclasses.dataclass(slots=True)
class StoredItem:
    """A stored value; `deleted` is set only on items in the history."""

    key: str
    value: bytes
    revision: int
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
            'created': self.revision,
            'lease': self.lease,
        }


class KvStore:
    """State and history of the store, and its injected faults.

    :param status: status of the response to every call; 0 for normal service.
    :param hang: calls are never answered, even after it is reset.
    :param hang_watches: watches are never answered; all other calls are.
    :param lose_answers: calls take effect, but the connection is closed
        instead of sending the response.
    :param unanswered_calls: paths of the calls received during `hang`.
    """

    def __init__(self) -> None:
        self.items: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []
        self.revision = 1
        self.compacted_revision = 0
        self.leases: set[int] = set()
        self.status = 0
        self.hang = False
        self.hang_watches = False
        self.lose_answers = False
        self.calls: list[str] = []
        self.unanswered_calls: list[str] = []
        self.changed = asyncio.Condition()

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        self.revision += 1
        item = StoredItem(key, value, self.revision, lease)
        self.items[key] = item
        await self._append_history(item)
        return self.revision

    async def remove(self, key: str) -> None:
        if key in self.items:
            del self.items[key]
            self.revision += 1
            await self._append_history(
                StoredItem(key, b'', self.revision, deleted=True)
            )

    async def configure(self, config: dict[str, Any]) -> None:
        await self.put('op/config', json.dumps(config).encode())

    async def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for item in list(self.items.values()):
            if item.lease == lease:
                await self.remove(item.key)

    async def compact(self) -> None:
        """Discard the history, which ends the waiting watches with 410."""
        self.compacted_revision = self.revision
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    def unanswered_watches(self) -> int:
        """Return how many watches were received during `hang`."""
        return self.unanswered_calls.count('/-/kv-watch')

    async def _append_history(self, item: StoredItem) -> None:
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()


class _Handler(web.RequestHandler):
    def initialize(self, kv: KvStore) -> None:
        self.kv = kv

    async def prepare(self) -> None:
        self.kv.calls.append(self.request.path)
        if self.kv.hang:
            self.kv.unanswered_calls.append(self.request.path)
            await asyncio.Event().wait()
        if self.kv.status:
            self.set_status(self.kv.status)
            self.finish()

    def respond(self, status: int, body: dict[str, Any] | None = None) -> None:
        self.set_status(status)
        if self.kv.lose_answers:
            connection = self.request.connection
            assert isinstance(connection, http1connection.HTTP1Connection)
            connection.detach().close()
            # The connection is detached, so Tornado can't finish the response.
            self._auto_finish = False
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(body) if body is not None else b'')

    def body(self) -> dict[str, Any]:
        found: dict[str, Any] = json.loads(self.request.body or b'{}')
        return found


class _Key(_Handler):
    def get(self) -> None:
        item = self.kv.items.get(self.get_argument('key'))
        if item is None:
            self.respond(404, {'at': self.kv.revision})
        else:
            self.respond(200, {**item.to_json(), 'at': self.kv.revision})


class _Range(_Handler):
    def get(self) -> None:
        prefix = self.get_argument('prefix')
        after = self.get_argument('after', '')
        found = sorted(
            key
            for key in self.kv.items
            if key.startswith(prefix) and key > after
        )
        # Small pages, so that clients have to request further pages.
        page = [self.kv.items[key].to_json() for key in found[:2]]
        more = len(found) > 2
        self.respond(
            200, {'items': page, 'hasMore': more, 'at': self.kv.revision}
        )


class _Watch(_Handler):
    async def get(self) -> None:
        kv = self.kv
        prefix = self.get_argument('prefix')
        after = int(self.get_argument('after'))
        wait_s = int(self.get_argument('waitMs')) / 1000

        def events() -> list[dict[str, Any]]:
            return [
                item.to_json()
                for item in kv.history
                if item.revision > after and item.key.startswith(prefix)
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), kv.changed:
                await kv.changed.wait_for(
                    lambda: bool(events()) or after < kv.compacted_revision
                )
        if kv.hang_watches:
            await asyncio.Event().wait()
        if after < kv.compacted_revision:
            self.respond(410)
        else:
            self.respond(200, {'events': events(), 'at': kv.revision})


class _Txn(_Handler):
    async def post(self) -> None:
        kv, body = self.kv, self.body()
        for row in body.get('precondition', []):
            item = kv.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                self.respond(412, {'items': [item.to_json()] if item else []})
                return
        for write in body.get('writes', []):
            if write['lease'] and write['lease'] not in kv.leases:
                self.respond(404)
                return
            value = base64.b64decode(write['value'])
            await kv.put(write['key'], value, write['lease'])
        for key in body.get('remove', []):
            await kv.remove(key)
        self.respond(200, {'revision': kv.revision})


class _Lease(_Handler):
    def post(self) -> None:
        lease = len(self.kv.calls) + 1000
        self.kv.leases.add(lease)
        self.respond(200, {'lease': lease, 'ttlMs': self.body()['ttlMs']})


class _Keep(_Handler):
    def post(self, lease: str) -> None:
        known = int(lease) in self.kv.leases
        self.respond(200 if known else 404, {'ttlMs': 5000})


class _End(_Handler):
    async def delete(self, lease: str) -> None:
        await self.kv.end_lease(int(lease))
        self.respond(200, {})


@contextlib.asynccontextmanager
async def serving(kv: KvStore) -> AsyncIterator[str]:
    """Serve `kv` on loopback and yield its address."""
    routes = [
        (r'/-/kv-key', _Key),
        (r'/-/kv-range', _Range),
        (r'/-/kv-watch', _Watch),
        (r'/-/kv-txn', _Txn),
        (r'/-/kv-lease', _Lease),
        (r'/-/kv-keep/(\d+)', _Keep),
        (r'/-/kv-lease-end/(\d+)', _End),
    ]
    application = web.Application(
        [(path, handler, {'kv': kv}) for path, handler in routes],
        log_function=lambda handler: None,
    )
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        server.stop()
        await server.close_all_connections()
