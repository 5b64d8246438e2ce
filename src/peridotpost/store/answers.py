"""Reading and writing the messages of etcd's v3 JSON gateway.

Nothing here trusts the sender: a value of a wrong type, another key's
value or a number that is none raises one of ``UNREADABLE``.
"""

import base64
import dataclasses
import json
from typing import Any

from peridotpost.store import store

UNREADABLE = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""What reading an answer may raise; deep nesting overflows the parser."""
NOT_FOUND_CODE = 5
"""The code of gRPC's NOT_FOUND, as the gateway gives it in an error."""
ALL_KEYS = (b'\0', b'\0')


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A key's value as of the store's `revision`."""

    found: store.KeyValue | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """One message of a watch.

    :param compacted: the first revision that is kept, where the watch
        was to begin before it; else 0.
    """

    writes: tuple[store.KeyValue, ...]
    cancelled: bool = False
    compacted: int = 0


def encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the first key and the end (exclusive) of a prefix's range."""
    raw = prefix.encode()
    if not raw:
        return ALL_KEYS
    # Bytes of UTF-8 end at 0xF4, so the last one can always be raised;
    # the next character cannot, as after U+D7FF and U+10FFFF.
    return raw, raw[:-1] + bytes([raw[-1] + 1])


def put(one: store.Put) -> dict[str, str]:
    return {
        'key': encode(one.key.encode()),
        'value': encode(one.value),
        'lease': str(one.lease),
    }


def json_object(raw: bytes) -> dict[str, Any]:
    parsed = json.loads(raw)
    if not isinstance(parsed, dict):
        raise TypeError('is no JSON object')
    return parsed


def says_not_found(raw: bytes) -> bool:
    """Tell the service's own "lease not found" from a wrong address."""
    try:
        return number(json_object(raw).get('code')) == NOT_FOUND_CODE
    except UNREADABLE:
        return False


def number(raw: Any) -> int:
    """Read a 64-bit integer, which the gateway writes as a string."""
    if isinstance(raw, str) and len(raw) < 21:
        return int(raw)
    if isinstance(raw, int) and not isinstance(raw, bool):
        return raw
    raise TypeError(f'{str(raw)[:30]!r} is no integer')


def positive(raw: Any) -> int:
    read = number(raw)
    if read <= 0:
        raise ValueError(f'{read} is not above 0')
    return read


def snapshot(body: dict[str, Any], key: str) -> Snapshot:
    revision = positive(body['header']['revision'])
    return Snapshot(_only(body, key), revision)


def all_under(body: dict[str, Any], prefix: str) -> list[store.KeyValue]:
    positive(body['header']['revision'])
    found = [_key_value(kv) for kv in _list(body, 'kvs')]
    for one in found:
        if not one.key.startswith(prefix):
            raise ValueError(f'holds {one.key!r}, not under {prefix!r}')
    return found


def swapped(body: dict[str, Any], key: str) -> store.Swapped | store.Conflict:
    revision = positive(body['header']['revision'])
    succeeded = body.get('succeeded', False)
    if not isinstance(succeeded, bool):
        raise TypeError('succeeded is no boolean')
    if succeeded:
        return store.Swapped(revision)
    return store.Conflict(_only(body['responses'][0]['response_range'], key))


def renewed(body: dict[str, Any], lease: int) -> bool:
    answer = body['result']
    if positive(answer['ID']) != lease:
        raise ValueError('is about another lease')
    return number(answer.get('TTL', 0)) > 0


def watched(line: bytes, key: str) -> Watched:
    message = json_object(line)['result']
    compacted = number(message.get('compact_revision', 0))
    writes = [
        _key_value(event['kv'])
        for event in _list(message, 'events')
        if event.get('type', 'PUT') == 'PUT'
    ]
    for one in writes:
        if one.key != key:
            raise ValueError(f'tells of {one.key!r}, not of {key!r}')
    cancelled = bool(message.get('canceled', False))
    return Watched(tuple(writes), cancelled, compacted)


def _list(body: dict[str, Any], name: str) -> list[Any]:
    found = body.get(name, [])
    if not isinstance(found, list):
        raise TypeError(f'{name} is no list')
    return found


def _only(body: dict[str, Any], key: str) -> store.KeyValue | None:
    found = [_key_value(kv) for kv in _list(body, 'kvs')]
    if not found:
        return None
    if len(found) > 1 or found[0].key != key:
        raise ValueError(f'does not answer for {key!r}')
    return found[0]


def _key_value(kv: dict[str, Any]) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(kv['key'], validate=True).decode(),
        value=base64.b64decode(kv.get('value', ''), validate=True),
        revision=positive(kv['mod_revision']),
        lease=number(kv.get('lease', 0)),
    )
