"""A delta reproduces the new text exactly and is small for small changes."""

import json
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from peridotpost.proxy import deltas

ROUTE = strategies.dictionaries(
    strategies.sampled_from(['name', 'host', 'prefix']),
    strategies.text(alphabet='ab{}",', max_size=4),
)
TEXT = strategies.lists(ROUTE, max_size=30).map(
    lambda routes: json.dumps({'routes': routes}).encode()
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(old=TEXT, new=TEXT)
def test_applied_delta_gives_the_new_text(old: bytes, new: bytes) -> None:
    packed = deltas.pack(deltas.diff(old, new))
    assert deltas.apply(old, deltas.unpack(packed)) == new


def test_delta_of_one_route_among_many_is_small() -> None:
    routes = [{'name': f'r{n}', 'timeout': n} for n in range(1600)]
    old = json.dumps(routes, separators=(',', ':')).encode()
    routes[700]['timeout'] = 9
    del routes[20]
    routes.insert(900, {'name': 'new', 'timeout': 5})
    new = json.dumps(routes, separators=(',', ':')).encode()
    delta = deltas.diff(old, new)
    assert len(msgspec.msgpack.encode(delta)) < 200
    assert deltas.apply(old, delta) == new


def test_delta_on_another_base_is_refused() -> None:
    delta = deltas.diff(b'{"a":1},{"b":2}', b'{"a":1},{"b":3}')
    with pytest.raises(deltas.BadDelta):
        deltas.apply(b'{"z":1},{"b":2}', delta)


def test_thousand_new_routes_do_not_fill_a_slow_link() -> None:
    """Guards against timeouts on all hosts while operators add many routes.

    Deltas were sent uncompressed: 190 KB take 0.4 s on a link of 3.5 Mbit/s,
    and hosts that distribute to their zone send ten copies.
    """
    old = json.dumps({'routes': []}).encode()
    routes = [
        {'name': f'r{n}', 'host': f'h{n}.example', 'prefix': f'/p{n}/'}
        for n in range(1000)
    ]
    new = json.dumps({'routes': routes}).encode()
    packed = deltas.pack(deltas.diff(old, new))
    assert len(packed) < len(new) / 4
    assert deltas.apply(old, deltas.unpack(packed)) == new


@pytest.mark.parametrize(
    'packed',
    [
        pytest.param(b'', id='empty'),
        pytest.param(b'\x01\x02\x03', id='not deflated'),
        pytest.param(zlib.compress(b'\xc1'), id='not a message'),
        pytest.param(zlib.compress(b'\x92\x01\x02'), id='other fields'),
    ],
)
def test_invalid_delta_is_refused(packed: bytes) -> None:
    with pytest.raises(deltas.BadDelta):
        deltas.unpack(packed)
