"""A delta gives the new text exactly, and is small where little changed."""

import json

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
    assert deltas.apply(old, deltas.make(old, new)) == new


def test_delta_of_one_route_among_many_is_small() -> None:
    routes = [{'name': f'r{n}', 'timeout': n} for n in range(1600)]
    old = json.dumps(routes, separators=(',', ':')).encode()
    routes[700]['timeout'] = 9
    del routes[20]
    routes.insert(900, {'name': 'new', 'timeout': 5})
    new = json.dumps(routes, separators=(',', ':')).encode()
    delta = deltas.make(old, new)
    assert len(msgspec.msgpack.encode(delta)) < 200
    assert deltas.apply(old, delta) == new


def test_delta_on_another_base_is_refused() -> None:
    delta = deltas.make(b'{"a":1},{"b":2}', b'{"a":1},{"b":3}')
    with pytest.raises(deltas.BadDelta):
        deltas.apply(b'{"z":1},{"b":2}', delta)
