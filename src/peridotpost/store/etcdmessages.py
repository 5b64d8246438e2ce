"""Encodes and decodes the messages of etcd's v3 JSON gateway.

Every field of a response is validated: a wrong type, a value of another
key or a malformed number raises one of ``DECODE_ERRORS``.
"""

import base64
import dataclasses
import json
from typing import Any

from peridotpost.store import store

DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""Exceptions that decoding a response may raise.

``RecursionError`` comes from the JSON parser on deeply nested input.
"""
NOT_FOUND_CODE = 5
"""gRPC's status code NOT_FOUND, as it appears in the gateway's errors."""
ALL_KEYS = (b'\0', b'\0')


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A key's value as of the store's `revision`."""

    key_value: store.KeyValue | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchMessage:
    """One message of a watch stream.

    :param compact_revision: the oldest revision that the store still has,
        if the watch asked for an older one; else 0.
    """

    writes: tuple[store.KeyValue, ...]
    cancelled: bool = False
    compact_revision: int = 0


def to_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the first key and the exclusive end of a prefix's range."""
    raw = prefix.encode()
    if not raw:
        return ALL_KEYS
    # The last byte is incremented, not the last character: UTF-8 has no
    # byte above 0xF4, but U+D7FF and U+10FFFF have no encodable successor.
    return raw, raw[:-1] + bytes([raw[-1] + 1])


def put_request(put: store.Put) -> dict[str, str]:
    return {
        'key': to_base64(put.key.encode()),
        'value': to_base64(put.value),
        'lease': str(put.lease),
    }


def parse_json_object(raw: bytes) -> dict[str, Any]:
    parsed = json.loads(raw)
    if not isinstance(parsed, dict):
        raise TypeError('response is not a JSON object')
    return parsed


def is_not_found_error(raw: bytes) -> bool:
    """Return whether etcd itself reports that a lease was not found.

    A 404 response without this code means a wrong address.
    """
    try:
        return (
            parse_integer(parse_json_object(raw).get('code')) == NOT_FOUND_CODE
        )
    except DECODE_ERRORS:
        return False


def parse_integer(raw: Any) -> int:
    """Parse a 64-bit integer, which the gateway encodes as a string."""
    if isinstance(raw, str) and len(raw) < 21:
        return int(raw)
    if isinstance(raw, int) and not isinstance(raw, bool):
        return raw
    raise TypeError(f'{str(raw)[:30]!r} is not an integer')


def parse_positive(raw: Any) -> int:
    parsed = parse_integer(raw)
    if parsed <= 0:
        raise ValueError(f'{parsed} is not positive')
    return parsed


def parse_snapshot(body: dict[str, Any], key: str) -> Snapshot:
    revision = parse_positive(body['header']['revision'])
    return Snapshot(_single_key_value(body, key), revision)


def parse_prefix_range(
    body: dict[str, Any], prefix: str
) -> list[store.KeyValue]:
    parse_positive(body['header']['revision'])
    pairs = [_parse_key_value(kv) for kv in _list_field(body, 'kvs')]
    for pair in pairs:
        if not pair.key.startswith(prefix):
            raise ValueError(f'key {pair.key!r} lacks the prefix {prefix!r}')
    return pairs


def parse_swap(
    body: dict[str, Any], key: str
) -> store.Swapped | store.Conflict:
    revision = parse_positive(body['header']['revision'])
    succeeded = body.get('succeeded', False)
    if not isinstance(succeeded, bool):
        raise TypeError('succeeded is not a boolean')
    if succeeded:
        return store.Swapped(revision)
    return store.Conflict(
        _single_key_value(body['responses'][0]['response_range'], key)
    )


def parse_keep_alive(body: dict[str, Any], lease: int) -> bool:
    answer = body['result']
    if parse_positive(answer['ID']) != lease:
        raise ValueError('response is for another lease')
    return parse_integer(answer.get('TTL', 0)) > 0


def parse_watch_message(line: bytes, key: str) -> WatchMessage:
    message = parse_json_object(line)['result']
    compacted = parse_integer(message.get('compact_revision', 0))
    writes = [
        _parse_key_value(event['kv'])
        for event in _list_field(message, 'events')
        if event.get('type', 'PUT') == 'PUT'
    ]
    for write in writes:
        if write.key != key:
            raise ValueError(f'event is for key {write.key!r}, not {key!r}')
    cancelled = bool(message.get('canceled', False))
    return WatchMessage(tuple(writes), cancelled, compacted)


def _list_field(body: dict[str, Any], name: str) -> list[Any]:
    value = body.get(name, [])
    if not isinstance(value, list):
        raise TypeError(f'{name} is not a list')
    return value


def _single_key_value(body: dict[str, Any], key: str) -> store.KeyValue | None:
    pairs = [_parse_key_value(kv) for kv in _list_field(body, 'kvs')]
    if not pairs:
        return None
    if len(pairs) > 1 or pairs[0].key != key:
        raise ValueError(f'response is not for key {key!r} alone')
    return pairs[0]


def _parse_key_value(kv: dict[str, Any]) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(kv['key'], validate=True).decode(),
        value=base64.b64decode(kv.get('value', ''), validate=True),
        revision=parse_positive(kv['mod_revision']),
        lease=parse_integer(kv.get('lease', 0)),
    )
