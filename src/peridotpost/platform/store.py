"""The platform's metadata store, as ``mesh.storefeed`` needs it."""

import base64
from typing import Any
from typing import TypeVar
from urllib import parse

import msgspec

from peridotpost.mesh import storefeed
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.model import release
from peridotpost.platform import releases
from peridotpost.proxy import client

OPERATORS = 'op/'
CONFIG_KEY = 'op/config'
RECORDS = 'peridotpost/hosts/'
CALL_S = 1.0
"""Bound on a call; the store answers in 4 ms and, when slow, in some
hundreds."""
READ_S = 3.0
"""The same for the configuration, which may be megabytes on a slow link."""
CONNECT_S = 0.5
WATCH_MS = 4000
"""How long a watch waits.  A connection may go silent for good; a change
missed so is found by the next watch, or told by a peer before that."""
WATCH_SLACK_S = 0.4
MS_IN_S = 1000
ItemT = TypeVar('ItemT')


class _Item(msgspec.Struct):
    """A key as it stands, or its end.

    :param revision: of its last change.
    :param at: of the store; in answers to reads of one key only.
    """

    key: str = ''
    value: str = ''
    revision: int = 0
    created: int = 0
    lease: int = 0
    deleted: bool = False
    at: int = 0


class _Range(msgspec.Struct, rename='camel'):
    items: list[_Item]
    has_more: bool = False
    at: int = 0


class _Events(msgspec.Struct):
    at: int
    events: list[_Item] = []


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct, rename='camel'):
    lease: int
    ttl_ms: int = 0


class KvStore:
    """Implements ``storefeed.Feed``."""

    def __init__(self, address: str, port: int) -> None:
        self.peer = f'{address}:{port}'
        # A waiting watch would hold up the renewals behind it.
        self.watching = client.HttpClient(address, port, CONNECT_S)
        self.calling = client.HttpClient(address, port, CONNECT_S)

    def close(self) -> None:
        self.watching.close()
        self.calling.close()

    async def read_config(self) -> storefeed.ConfigRead:
        found = await self._range({'prefix': OPERATORS}, READ_S)
        return _read_of(found.items, found.at)

    async def next_config(self, revision: int) -> storefeed.ConfigRead:
        query = {
            'prefix': OPERATORS,
            'after': str(revision),
            'waitMs': str(WATCH_MS),
        }
        target = f'/-/kv-watch?{parse.urlencode(query)}'.encode()
        timeout_s = WATCH_MS / MS_IN_S + WATCH_SLACK_S
        told = await self._call(self.watching, b'GET', target, b'', timeout_s)
        if told.status == 410:
            raise errors.StoreCompacted(
                'history is gone; read again', step='watch', peer=self.peer
            )
        if told.status != 200:
            raise self._refused('kv-watch', told)
        events = _decode(told.body, _Events)
        return _read_of(events.events, max(revision, events.at))

    async def read_records(self, stale: bool) -> list[instances.HostRecord]:
        query = {'prefix': RECORDS}
        if stale:
            query['staleOk'] = '1'
        found = await self._range(query, CALL_S)
        records = map(_record_of, found.items)
        return [record for record in records if record is not None]

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        value = msgspec.json.encode(record)
        write = _write(RECORDS + record.host, value, lease)
        told = await self._post(
            'kv-txn', {'precondition': [], 'writes': [write], 'remove': []}
        )
        if told.status == 404:
            raise errors.LeaseLapsed(
                'lease has ended; take a new one', step='txn', peer=self.peer
            )
        if told.status != 200:
            raise self._refused('kv-txn', told)

    async def grant_lease(self, ttl_s: float) -> int:
        told = await self._post('kv-lease', {'ttlMs': int(ttl_s * MS_IN_S)})
        if told.status != 200:
            raise self._refused('kv-lease', told)
        return _decode(told.body, _Lease).lease

    async def renew(self, lease: int) -> bool:
        told = await self._post(f'kv-keep/{lease}', None)
        if told.status == 404:
            return False
        if told.status != 200:
            raise self._refused('kv-keep', told)
        return True

    async def end(self, lease: int) -> None:
        target = f'/-/kv-lease-end/{lease}'.encode()
        told = await self._call(self.calling, b'DELETE', target, b'', CALL_S)
        if told.status not in (200, 404):
            raise self._refused('kv-lease-end', told)

    async def claim(self, service: str, host: str, lease: int) -> int | None:
        key = releases.COORDINATORS + service
        write = _write(key, host.encode(), lease)
        told = await self._post(
            'kv-txn',
            {
                'precondition': [{'key': key, 'revision': 0}],
                'writes': [write],
                'remove': [],
            },
        )
        if told.status == 412:
            return None
        if told.status == 404:
            raise errors.LeaseLapsed(
                'lease has ended; take a new one', step='txn', peer=self.peer
            )
        if told.status != 200:
            raise self._refused('kv-txn', told)
        return _decode(told.body, _Written).revision

    async def read_status(self, service: str) -> release.ReleaseStatus:
        key = releases.STATUS + service
        told = await self._get('kv-key', {'key': key})
        if told.status == 404:
            return release.ReleaseStatus(None, '', 0)
        if told.status != 200:
            raise self._refused('kv-key', told)
        item = _decode(told.body, _Item)
        return releases.decode_status(_value_of(item), item.revision)

    async def write_status(
        self, order: release.ReleaseOrder, epoch: int, stage: release.Stage
    ) -> bool:
        key = releases.STATUS + order.service
        claim = releases.COORDINATORS + order.service
        write = _write(key, releases.encode_status(order, stage))
        told = await self._post(
            'kv-txn',
            {
                'precondition': [{'key': claim, 'revision': epoch}],
                'writes': [write],
                'remove': [],
            },
        )
        if told.status not in (200, 412):
            raise self._refused('kv-txn', told)
        return told.status == 200

    async def _range(self, query: dict[str, str], timeout_s: float) -> _Range:
        """Read all pages of a range; `at` is the first page's.

        A watch from there shows again what changed between the pages.
        """
        found: _Range | None = None
        while True:
            told = await self._get('kv-range', query, timeout_s)
            if told.status != 200:
                raise self._refused('kv-range', told)
            page = _decode(told.body, _Range)
            if found is None:
                found = page
            else:
                found.items += page.items
            if not page.has_more or not page.items:
                return found
            query = {**query, 'after': page.items[-1].key}

    async def _get(
        self, call: str, query: dict[str, str], timeout_s: float = CALL_S
    ) -> client.Response:
        target = f'/-/{call}?{parse.urlencode(query)}'.encode()
        return await self._call(self.calling, b'GET', target, b'', timeout_s)

    async def _post(self, call: str, body: Any) -> client.Response:
        raw = b'' if body is None else msgspec.json.encode(body)
        target = f'/-/{call}'.encode()
        return await self._call(self.calling, b'POST', target, raw, CALL_S)

    async def _call(
        self,
        by: client.HttpClient,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
    ) -> client.Response:
        try:
            return await by.call(method, target, body, timeout_s)
        except OSError as error:
            raise errors.StoreUnavailable(
                str(error) or 'no answer in time',
                step=target.partition(b'?')[0].decode(),
                peer=self.peer,
            ) from error

    def _refused(
        self, call: str, told: client.Response
    ) -> errors.StoreRefused:
        kind = errors.StoreRefused
        if told.status == 429:
            kind = errors.StoreOverloaded
        return kind(f'status {told.status}', step=call, peer=self.peer)


def _write(key: str, value: bytes, lease: int = 0) -> dict[str, Any]:
    """Return one entry of a transaction's writes."""
    return {
        'key': key,
        'value': base64.b64encode(value).decode(),
        'lease': lease,
    }


def _read_of(items: list[_Item], revision: int) -> storefeed.ConfigRead:
    """Return what the operators wrote, as far as `items` tell."""
    raw = None
    orders: list[release.ReleaseOrder] = []
    unusable: list[str] = []
    for item in items:
        if item.deleted:
            continue
        if item.key == CONFIG_KEY:
            raw = _value_of(item)
        elif item.key.startswith(releases.ORDERS):
            try:
                orders.append(
                    releases.order_of(item.key, _value_of(item), item.revision)
                )
            except ValueError as error:
                unusable.append(str(error))
    return storefeed.ConfigRead(raw, revision, tuple(orders), tuple(unusable))


def _value_of(item: _Item) -> bytes:
    """Return an item's bytes; none where another writer spoiled them."""
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError:
        return b''


def _record_of(item: _Item) -> instances.HostRecord | None:
    try:
        return msgspec.json.decode(_value_of(item), type=instances.HostRecord)
    except msgspec.MsgspecError:
        # Another writer's; it names no host to use.
        return None


def _decode(raw: bytes, kind: type[ItemT]) -> ItemT:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.StoreGarbage(str(error), step='store.decode') from error
