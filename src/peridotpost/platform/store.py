"""Client of the platform's metadata store for ``mesh.storefeed``."""

import base64
import binascii
import contextlib
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

OPERATOR_PREFIX = 'op/'
CONFIG_KEY = 'op/config'
HOST_RECORD_PREFIX = 'peridotpost/hosts/'
DEPARTURES_PREFIX = 'peridotpost/departures/'
CALL_TIMEOUT_S = 1.0
"""Timeout of a call.  The store answers within 4 ms, or some hundreds of
milliseconds when it is slow."""
READ_TIMEOUT_S = 3.0
"""Timeout of a configuration read, which may be megabytes on a slow link."""
CONNECT_TIMEOUT_S = 0.5
WATCH_TIMEOUT_MARGIN_S = 0.4
MS_IN_S = 1000
ItemT = TypeVar('ItemT')


class _Item(msgspec.Struct):
    """The current value of a key, or its deletion.

    :param value: base64 in a JSON string, not decoded yet: a configuration
        would be copied twice.
    :param revision: store revision of its last change.
    :param at: store revision of the read; only in reads of a single key.
    """

    key: str = ''
    value: msgspec.Raw = msgspec.Raw(b'""')
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


class _Departures(msgspec.Struct):
    """Start time of the latest ended incarnation of each target, in ms."""

    ended: dict[str, int]


class _Written(msgspec.Struct):
    revision: int


class _Lease(msgspec.Struct, rename='camel'):
    lease: int
    ttl_ms: int = 0


class KvStore:
    """Implements ``storefeed.Feed``."""

    def __init__(self, address: str, port: int) -> None:
        self.address = f'{address}:{port}'
        # A separate client, as a pending watch would block lease renewals.
        self.watch_client = client.HttpClient(address, port, CONNECT_TIMEOUT_S)
        self.call_client = client.HttpClient(address, port, CONNECT_TIMEOUT_S)

    def close(self) -> None:
        self.watch_client.close()
        self.call_client.close()

    async def read_config(self) -> storefeed.ConfigRead:
        result = await self._range({'prefix': OPERATOR_PREFIX}, READ_TIMEOUT_S)
        return _config_read_from(result.items, result.at)

    async def next_config(
        self, revision: int, wait_s: float
    ) -> storefeed.ConfigRead:
        query = {
            'prefix': OPERATOR_PREFIX,
            'after': str(revision),
            'waitMs': str(int(wait_s * MS_IN_S)),
        }
        target = f'/-/kv-watch?{parse.urlencode(query)}'.encode()
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        response = await self._call(
            self.watch_client, b'GET', target, b'', timeout_s
        )
        if response.status == 410:
            raise errors.StoreCompacted(
                'revision has been compacted; read again',
                step='watch',
                peer=self.address,
            )
        if response.status != 200:
            raise self._status_error('kv-watch', response)
        events = _decode(response.body, _Events)
        return _config_read_from(events.events, max(revision, events.at))

    async def read_records(self, stale: bool) -> list[instances.HostRecord]:
        query = {'prefix': HOST_RECORD_PREFIX}
        if stale:
            query['staleOk'] = '1'
        result = await self._range(query, CALL_TIMEOUT_S)
        records = map(_decode_record, result.items)
        return [record for record in records if record is not None]

    async def register(self, record: instances.HostRecord, lease: int) -> None:
        value = msgspec.json.encode(record)
        write = _write_entry(HOST_RECORD_PREFIX + record.host, value, lease)
        response = await self._post(
            'kv-txn', {'precondition': [], 'writes': [write], 'remove': []}
        )
        if response.status == 404:
            raise errors.LeaseExpired(
                'lease has ended; take a new one',
                step='txn',
                peer=self.address,
            )
        if response.status != 200:
            raise self._status_error('kv-txn', response)

    async def grant_lease(self, ttl_s: float) -> int:
        response = await self._post(
            'kv-lease', {'ttlMs': int(ttl_s * MS_IN_S)}
        )
        if response.status != 200:
            raise self._status_error('kv-lease', response)
        return _decode(response.body, _Lease).lease

    async def renew_lease(self, lease: int) -> bool:
        response = await self._post(f'kv-keep/{lease}', None)
        if response.status == 404:
            return False
        if response.status != 200:
            raise self._status_error('kv-keep', response)
        return True

    async def end_lease(self, lease: int) -> None:
        target = f'/-/kv-lease-end/{lease}'.encode()
        response = await self._call(
            self.call_client, b'DELETE', target, b'', CALL_TIMEOUT_S
        )
        if response.status not in (200, 404):
            raise self._status_error('kv-lease-end', response)

    async def read_departures(self, host: str) -> instances.StoredDepartures:
        response = await self._get('kv-key', {'key': DEPARTURES_PREFIX + host})
        if response.status == 404:
            return instances.StoredDepartures({}, 0)
        if response.status != 200:
            raise self._status_error('kv-key', response)
        item = _decode(response.body, _Item)
        try:
            entry = msgspec.json.decode(_decode_value(item), type=_Departures)
        except msgspec.MsgspecError:
            # Written by another program; it is replaced by the next write.
            entry = _Departures({})
        return instances.StoredDepartures(entry.ended, item.revision)

    async def write_departures(
        self, host: str, entry: instances.StoredDepartures, lease: int
    ) -> int | None:
        key = DEPARTURES_PREFIX + host
        value = msgspec.json.encode(_Departures(entry.by_instance))
        return await self._write_if(key, entry.revision, value, lease)

    async def claim(self, service: str, host: str, lease: int) -> int | None:
        key = releases.COORDINATOR_PREFIX + service
        return await self._write_if(key, 0, host.encode(), lease)

    async def _write_if(
        self, key: str, revision: int, value: bytes, lease: int
    ) -> int | None:
        """Write a key under a lease if it still has a revision.

        :return: its new revision; None if it has another one.
        :raises errors.StoreError: LeaseExpired if the lease has ended.
        """
        write = _write_entry(key, value, lease)
        response = await self._post(
            'kv-txn',
            {
                'precondition': [{'key': key, 'revision': revision}],
                'writes': [write],
                'remove': [],
            },
        )
        if response.status == 412:
            return None
        if response.status == 404:
            raise errors.LeaseExpired(
                'lease has ended; take a new one',
                step='txn',
                peer=self.address,
            )
        if response.status != 200:
            raise self._status_error('kv-txn', response)
        return _decode(response.body, _Written).revision

    async def read_status(self, service: str) -> release.ReleaseStatus:
        key = releases.STATUS_PREFIX + service
        response = await self._get('kv-key', {'key': key})
        if response.status == 404:
            return release.ReleaseStatus(None, '', 0)
        if response.status != 200:
            raise self._status_error('kv-key', response)
        item = _decode(response.body, _Item)
        return releases.decode_status(_decode_value(item), item.revision)

    async def write_status(
        self, order: release.ReleaseOrder, epoch: int, stage: release.Stage
    ) -> bool:
        key = releases.STATUS_PREFIX + order.service
        claim = releases.COORDINATOR_PREFIX + order.service
        write = _write_entry(key, releases.encode_status(order, stage))
        response = await self._post(
            'kv-txn',
            {
                'precondition': [{'key': claim, 'revision': epoch}],
                'writes': [write],
                'remove': [],
            },
        )
        if response.status not in (200, 412):
            raise self._status_error('kv-txn', response)
        return response.status == 200

    async def _range(self, query: dict[str, str], timeout_s: float) -> _Range:
        """Read all pages of a range; `at` is that of the first page.

        A watch from that revision returns the changes made while the pages
        were read.
        """
        result: _Range | None = None
        while True:
            response = await self._get('kv-range', query, timeout_s)
            if response.status != 200:
                raise self._status_error('kv-range', response)
            page = _decode(response.body, _Range)
            if result is None:
                result = page
            else:
                result.items += page.items
            if not page.has_more or not page.items:
                return result
            query = {**query, 'after': page.items[-1].key}

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> client.Response:
        target = f'/-/{call}?{parse.urlencode(query)}'.encode()
        return await self._call(
            self.call_client, b'GET', target, b'', timeout_s
        )

    async def _post(self, call: str, body: Any) -> client.Response:
        raw = b'' if body is None else msgspec.json.encode(body)
        target = f'/-/{call}'.encode()
        return await self._call(
            self.call_client, b'POST', target, raw, CALL_TIMEOUT_S
        )

    async def _call(
        self,
        http_client: client.HttpClient,
        method: bytes,
        target: bytes,
        body: bytes,
        timeout_s: float,
    ) -> client.Response:
        try:
            return await http_client.call(method, target, body, timeout_s)
        except OSError as error:
            raise errors.StoreUnavailable(
                str(error) or 'no answer in time',
                step=target.partition(b'?')[0].decode(),
                peer=self.address,
            ) from error

    def _status_error(
        self, call: str, response: client.Response
    ) -> errors.StoreRefused:
        kind = errors.StoreRefused
        if response.status == 429:
            kind = errors.StoreOverloaded
        return kind(f'status {response.status}', step=call, peer=self.address)


def _write_entry(key: str, value: bytes, lease: int = 0) -> dict[str, Any]:
    """Return an entry for the writes of a transaction; lease 0 is none."""
    return {
        'key': key,
        'value': base64.b64encode(value).decode(),
        'lease': lease,
    }


def _config_read_from(
    items: list[_Item], revision: int
) -> storefeed.ConfigRead:
    """Extract the configuration and the release orders from `items`."""
    raw = None
    orders: list[release.ReleaseOrder] = []
    order_errors: list[str] = []
    for item in items:
        if item.deleted:
            continue
        if item.key == CONFIG_KEY:
            raw = _decode_value(item)
        elif item.key.startswith(releases.ORDER_PREFIX):
            try:
                orders.append(
                    releases.decode_order(
                        item.key, _decode_value(item), item.revision
                    )
                )
            except ValueError as error:
                order_errors.append(str(error))
    return storefeed.ConfigRead(
        raw, revision, tuple(orders), tuple(order_errors)
    )


def _decode_value(item: _Item) -> bytes:
    """Return an item's bytes; empty if another writer wrote invalid base64.

    :raises errors.StoreProtocolError: the value is not a string.
    """
    literal = memoryview(item.value)
    if literal[:1].tobytes() == b'"':
        with contextlib.suppress(binascii.Error):
            return binascii.a2b_base64(literal[1:-1], strict_mode=True)
    # Not a string, or one with escaped characters, or invalid.
    try:
        return base64.b64decode(_decode(literal, str), validate=True)
    except ValueError:
        return b''


def _decode_record(item: _Item) -> instances.HostRecord | None:
    try:
        return msgspec.json.decode(
            _decode_value(item), type=instances.HostRecord
        )
    except msgspec.MsgspecError:
        # Written by another program; it describes no usable host.
        return None


def _decode(raw: bytes | memoryview, kind: type[ItemT]) -> ItemT:
    try:
        return msgspec.json.decode(raw, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.StoreProtocolError(
            str(error), step='store.decode'
        ) from error
