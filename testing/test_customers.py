"""Customers: their keys, which requests are served, and in what order."""

import asyncio
from collections.abc import Callable
import itertools
import json
import random
import re
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from peridotpost.decisions import customers
from peridotpost.decisions import slots
from peridotpost.mesh import versions
from peridotpost.model import mesh
from peridotpost.platform import configuration
from peridotpost.platform import headers
from peridotpost.proxy import frameconversion
from peridotpost.proxy import frames
from peridotpost.proxy import http1
from peridotpost.proxy import identity
from peridotpost.proxy import problems
from testing import conditions
from testing import orders
from testing import proxies

SECRET = b'secret of this process'
KEY = 'k-secret-1'


def tenant(name: str = 'acme', *keys: str, **changes: Any) -> dict[str, Any]:
    return {'name': name, 'apiKeys': list(keys or [KEY])} | changes


def decode(*tenants: dict[str, Any]) -> mesh.MeshConfig:
    config = proxies.config(tenants=list(tenants))
    config['routes'][2]['anonymous'] = True
    return configuration.decode(msgspec.json.encode(config), SECRET)


@pytest.mark.parametrize(
    ('tenants', 'path'),
    [
        ([tenant(), tenant('acme', 'k2')], '$.tenants[1].name'),
        ([tenant('')], '$.tenants[0].name'),
        ([tenant('acme\r\nX-Tenant: other')], '$.tenants[0].name'),
        ([tenant('a', KEY, '')], '$.tenants[0].apiKeys[1]'),
        ([tenant(), tenant('b', 'k2', KEY)], '$.tenants[1].apiKeys[1]'),
        ([tenant(ratePerS=-1)], '$.tenants[0].ratePerS'),
        ([tenant(burst=-0.5)], '$.tenants[0].burst'),
        ([tenant(priority=-1)], '$.tenants[0].priority'),
    ],
)
def test_invalid_customer_rejects_the_version(
    tenants: list[dict[str, Any]], path: str
) -> None:
    """Guards against half a list in force, and keys in the log."""
    with pytest.raises(versions.InvalidConfig) as caught:
        decode(*tenants)
    assert path in str(caught.value)
    assert KEY not in str(caught.value)


@pytest.mark.parametrize('number', ['NaN', 'Infinity', '1e999'])
def test_rate_that_is_not_finite_rejects_the_version(number: str) -> None:
    """Guards against a customer whose quota is never reached."""
    raw = msgspec.json.encode(proxies.config(tenants=[tenant(ratePerS=7)]))
    raw = raw.replace(b'"ratePerS":7', f'"ratePerS":{number}'.encode())
    with pytest.raises(versions.InvalidConfig):
        configuration.decode(raw, SECRET)


PREFIXES = ['/', '/a/', '/a/b/', '/a/b/c/', '/ab/', '//', '/a//']
PATHS = [
    *PREFIXES,
    '',
    'x/',
    '/x',
    '/a',
    '/a/b',
    '/a/bc/',
    '/a/b/c/d?e/f',
    '*',
]


@pytest.mark.parametrize('path', PATHS)
def test_longest_prefix_finds_the_first_of_its_routes(path: str) -> None:
    """Guards against another route than by a scan of the sorted prefixes."""
    for prefixes in itertools.product(PREFIXES, repeat=3):
        routes = [
            proxies.route(f'r{number}', prefix, 'safe', 0, 'register')
            for number, prefix in enumerate(prefixes)
        ]
        raw = msgspec.json.encode(proxies.config(routes=routes))
        routes.sort(key=lambda entry: -len(entry['prefix']))
        found = configuration.decode(raw, SECRET).find(proxies.HOST, path)
        assert ([found.name] if found else []) == [
            entry['name']
            for entry in routes
            if path.startswith(entry['prefix'])
        ][:1]


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.sampled_from(['', KEY, 'acme', '\ud800', '\x00'])
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.text(max_size=3), inner)
    ),
    max_leaves=4,
)
FIELDS = ['name', 'apiKeys', 'priority', 'ratePerS', 'burst', KEY]


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    fields=strategies.dictionaries(strategies.sampled_from(FIELDS), JSON),
    others=JSON,
    start=strategies.integers(0, 2000),
    size=strategies.integers(0, 3),
    noise=strategies.binary(max_size=4),
)
def test_any_list_of_customers_is_decoded_or_rejected(
    fields: dict[str, Any], others: Any, start: int, size: int, noise: bytes
) -> None:
    """Guards against a crash, or a key in the log, by a wrong text."""
    text = proxies.config(tenants=[tenant(), tenant('b', 'k2') | fields])
    several = proxies.config(tenants=others)
    raw = json.dumps(text).encode()
    at = start % len(raw)
    for each in (
        raw,
        raw[:at] + noise + raw[at + size :],
        json.dumps(several).encode(),
    ):
        try:
            configuration.decode(each, SECRET)
        except versions.InvalidConfig as error:
            assert KEY not in str(error)


@pytest.mark.parametrize('opening', [b'[', b'{"a":'])
def test_deeply_nested_text_is_rejected(opening: bytes) -> None:
    """Guards against a recursion error that ends the feed of versions."""
    with pytest.raises(versions.InvalidConfig):
        configuration.decode(b'{"unknown":' + opening * 100_000, SECRET)


def test_each_key_finds_its_customer_among_hundreds() -> None:
    """Guards against keys that are stored, or that find another customer."""
    names = [f'c{number}' for number in range(800)]
    table = decode(
        *(tenant(name, f'{name}-old', f'{name}-new') for name in names)
    ).customers
    assert isinstance(table, customers.CustomerTable)
    for name in names:
        for key in (f'{name}-old', f'{name}-new'):
            found = table.find(key.encode())
            assert found is table.by_name[name]
    for unknown in (b'', b'c1', b'c1-OLD', b'c1-old ', b'x' * 100_000):
        assert table.find(unknown) is None
    assert b'c1-old' not in repr(vars(table)).encode()


def test_priority_precedes_the_route_and_is_read_back() -> None:
    """Guards against a route rank that reaches into the next priority."""
    wanted = [(0, 0), (0, 1), (0, 99), (0, 250), (1, 0), (1, 7), (12, 3)]
    ranks = [customers.request_rank(*pair) for pair in wanted]
    assert ranks == sorted(ranks)
    assert [customers.priority_of(rank) for rank in ranks] == [
        priority for priority, _ in wanted
    ]
    queue = slots.SlotQueue(1, random.Random(1))
    rank = customers.request_rank
    first, low, high = (
        orders.order(number, rank=rank(priority, 0), deadline_s=9.0)
        for number, priority in enumerate((0, 3, 1))
    )
    for each in (first, low, high):
        queue.submit(each, 0.0)
    assert queue.finish(first, 0.01).started == [high]


class Gate:
    """A quota gate that records its calls.

    :param wait_s: answer to each request; None to admit.
    """

    def __init__(self, wait_s: float | None = None) -> None:
        self.wait_s = wait_s
        self.admitted: list[str] = []
        self.refunded: list[str] = []
        self.asked: list[Callable[[float | None], None]] | None = None

    def ask(
        self,
        customer: mesh.Customer,
        decided: Callable[[float | None], None],
        now: float,
        is_retry: bool = False,
    ) -> bool:
        """Keep the request's decision open if `asked` is a list."""
        if self.asked is None:
            return False
        self.asked.append(decided)
        return True

    def admit(
        self, customer: mesh.Customer, now: float, is_retry: bool = False
    ) -> float | None:
        if self.wait_s is None:
            self.admitted.append(customer.name)
        return self.wait_s

    def refund(self, name: str, now: float) -> None:
        self.refunded.append(name)


class Sink:
    """Keeps the messages that a reader reports."""

    def __init__(self) -> None:
        self.messages: list[http1.Message] = []

    def head_read(self, message: http1.Message) -> None:
        pass

    def message_read(self, message: http1.Message) -> None:
        self.messages.append(message)


def read_request(*header_lines: str) -> http1.Message:
    sink = Sink()
    reader = http1.MessageReader(headers.HEADERS, sink)
    lines = ('GET / HTTP/1.1', 'Host: x', *header_lines, 'X-Own: 1', '', '')
    http1.request_parser(reader).feed_data('\r\n'.join(lines).encode())
    (message,) = sink.messages
    return message


KNOWN = [f'Authorization: token {KEY}']
UNKNOWN = ['Authorization: Token other']
REFUSED_CREDENTIALS = [
    UNKNOWN,
    ['Authorization: Token'],
    [f'Authorization: Basic {KEY}'],
    [f'Authorization: {KEY}'],
    [f'Authorization: Token {KEY} {KEY}'],
    [f'Authorization: Token {KEY}{"x" * 5000}'],
    KNOWN * 2,
    KNOWN + UNKNOWN,
]


@pytest.mark.parametrize('current', [True, False])
@pytest.mark.parametrize(
    ('sent', 'anonymous', 'called', 'expected'),
    [
        (KNOWN, False, False, 'acme'),
        (KNOWN, True, False, 'acme'),
        (KNOWN, False, True, 'acme'),
        ([], True, False, ''),
        ([], False, True, ''),
        ([], False, False, None),
        *((sent, False, False, None) for sent in REFUSED_CREDENTIALS),
        *((sent, False, True, None) for sent in REFUSED_CREDENTIALS),
        *((sent, True, False, '') for sent in REFUSED_CREDENTIALS),
    ],
)
def test_request_is_served_for_its_customer_or_refused(
    sent: list[str],
    anonymous: bool,
    called: bool,
    expected: str | None,
    current: bool,
) -> None:
    """Guards against service without a key, and keys seen by targets."""
    config = decode(tenant(priority=2))
    path = '/other/x' if anonymous else '/read/x'
    route = config.find(proxies.HOST, path)
    assert route is not None
    gate = Gate()
    decider = identity.Identification(
        headers.HEADERS, lambda now: current, gate
    )
    message = read_request(*sent, 'X-Tenant: forged', 'x-tenant: forged')
    parent = orders.order(1, rank=301) if called else None
    found = decider.identify(message, route, config.customers, parent, 0.0)
    if expected is None:
        assert isinstance(found, identity.Denial)
        problem = found.problem
        assert (problem.status, problem.challenge, problem.retry_after_s) == (
            (401, b'Token', 0.0) if current else (503, b'', 0.5)
        )
        return
    assert isinstance(found, identity.Identity)
    lines = [
        'Host: x',
        'X-Own: 1',
        *[f'x-tenant: {expected}'] * bool(expected),
    ]
    assert found.head.decode().split('\r\n') == [*lines, '']
    name = found.customer.name if found.customer is not None else ''
    assert name == expected
    priority = 3 if called else 2 if expected else 0
    rank = 100 * priority + route.rank
    assert found.rank == (rank - 1_000_000 if called else rank)


def test_customer_of_an_order_costs_a_byte_if_there_is_none() -> None:
    """Guards against a cost to deployments without customers."""
    order = orders.order(1)
    frame = frameconversion.dispatch_frame(1, order, 0.0)
    before = list(msgspec.structs.astuple(frame))[:-1]
    size = len(msgspec.msgpack.encode([1, *before]))
    assert len(frames.ENCODER.encode(frame)) <= size + 1
    order.customer = 'acme'
    frame = frameconversion.dispatch_frame(1, order, 0.0)
    read = frames.DECODER.decode(frames.ENCODER.encode(frame))
    assert isinstance(read, frames.Dispatch)
    received = frameconversion.order_from_frame(read, 0.0, lambda _: None)
    assert received.customer == 'acme'


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    scheme=strategies.sampled_from([b'Token', b'tOKEN', b'Basic', b''])
    | strategies.binary(max_size=6),
    gap=strategies.sampled_from([b' ', b'  ', b'', b'\t', b'\x00', b',']),
    key=strategies.sampled_from([KEY.encode(), KEY.encode() * 300])
    | strategies.binary(max_size=40),
    tail=strategies.sampled_from([b'', b'', b' ', b'\xff', b'=', b', Token']),
)
def test_any_other_credentials_than_a_known_key_get_401(
    scheme: bytes, gap: bytes, key: bytes, tail: bytes
) -> None:
    """Guards against a crash, service, or a shown key by odd credentials."""
    config = decode(tenant())
    route = config.find(proxies.HOST, '/read/x')
    assert route is not None
    message = http1.Message(credentials=scheme + gap + key + tail)
    message.credentials_count = 1
    decider = identity.Identification(
        headers.HEADERS, lambda now: True, Gate()
    )
    found = decider.identify(message, route, config.customers, None, 0.0)
    if re.fullmatch(b'(?i:token) +' + KEY.encode(), message.credentials):
        assert isinstance(found, identity.Identity)
        return
    assert isinstance(found, identity.Denial)
    assert found.problem.status == 401
    assert KEY not in repr((found, problems.render(found.problem)))


async def test_key_is_revoked_on_an_open_connection() -> None:
    """Guards against a key that works until its connection ends."""
    async with proxies.pair() as (running_mesh, first, second):
        async with first.caller() as caller:
            answer = await caller.ask(
                '/read/ok', Authorization=f'Token {KEY}', X_Tenant='own'
            )
            assert answer.status == 200
            (run,) = first.worker.runs + second.worker.runs
            assert run.headers['authorization'] == f'Token {KEY}'
            assert run.headers['x-tenant'] == 'own'
            for version, key, status in (
                (2, KEY, 200),
                (3, 'k2', 401),
                (4, KEY, 200),
            ):
                await running_mesh.kv.configure(
                    proxies.config(version, tenants=[tenant('acme', key)])
                )
                await conditions.until(
                    lambda version=version: (  # type: ignore[misc]
                        first.proxy.versions.version == version
                    )
                )
                answer = await caller.ask(
                    '/read/ok', Authorization=f'Token {KEY}', X_Tenant='own'
                )
                assert answer.status == status
            assert (await caller.ask('/nowhere/x')).status == 404
            answer = await caller.ask('/read/ok')
            assert answer.headers['www-authenticate'] == 'Token'
        runs = first.worker.runs + second.worker.runs
        for other in runs:
            assert other is run or 'authorization' not in other.headers
        customers_seen = [other.headers['x-tenant'] for other in runs]
        assert sorted(customers_seen) == ['acme', 'acme', 'own']


async def test_call_without_key_has_the_priority_of_its_run() -> None:
    """Guards against calls that wait behind the requests they belong to."""
    async with proxies.running() as running_mesh:
        await running_mesh.kv.configure(
            proxies.config(tenants=[tenant(priority=4)])
        )
        host = await running_mesh.add('a')
        await host.announce()
        await running_mesh.wait_ready()
        request = asyncio.ensure_future(
            host.ask('/read/hold', Authorization=f'Token {KEY}', attempt='r')
        )
        await conditions.until(lambda: len(host.worker.runs) == 1)
        call = asyncio.ensure_future(
            host.ask('/write/hold', method='POST', attempt='r.1')
        )
        await conditions.until(lambda: len(host.worker.runs) == 2)
        running = host.proxy.guard.running_by_attempt
        assert (running[b'r'].rank, running[b'r'].customer) == (402, 'acme')
        assert (running[b'r.1'].rank, running[b'r.1'].customer) == (
            401 - 1_000_000,
            '',
        )
        refused = await host.ask('/write/ok', method='POST', attempt='q.1')
        assert refused.status == 401
        host.worker.release.set()
        assert [(await one).status for one in (request, call)] == [200, 200]


async def test_quota_is_asked_once_and_refunded_if_not_run() -> None:
    """Guards against refusals that use up a quota."""
    async with proxies.running() as running_mesh:
        await running_mesh.kv.configure(proxies.config(tenants=[tenant()]))
        host = await running_mesh.add('a')
        await host.announce()
        await running_mesh.wait_ready()
        forwarder = host.proxy.forwarder
        gate = Gate()
        forwarder.identification.quotas = forwarder.completion.quotas = gate
        credentials = f'Token {KEY}'
        for path, status, refunds in (
            ('/read/ok', 200, 0),
            ('/other/ok', 503, 1),
            ('/read/shed', 503, 2),
            ('/read/failed', 500, 2),
        ):
            answer = await host.ask(path, Authorization=credentials)
            assert answer.status == status
            assert gate.refunded == ['acme'] * refunds
        assert gate.admitted == ['acme'] * 4
        gate.wait_s = 1.25
        answer = await host.ask('/read/ok', Authorization=credentials)
        assert answer.status == 429
        assert answer.headers['retry-after'] == '1.250'
        assert len(gate.refunded) == 2


async def test_request_waits_for_the_decision_on_its_quota() -> None:
    """Guards against runs before the decision, and quota lost to callers.

    The quota of a request whose caller left before the decision is returned.
    """
    async with proxies.running() as running_mesh:
        await running_mesh.kv.configure(proxies.config(tenants=[tenant()]))
        host = await running_mesh.add('a')
        await host.announce()
        await running_mesh.wait_ready()
        forwarder = host.proxy.forwarder
        gate = Gate()
        asked = gate.asked = []
        forwarder.identification.quotas = forwarder.completion.quotas = gate
        for wait_s, status in ((None, 200), (2.5, 429)):
            request = asyncio.ensure_future(
                host.ask('/read/ok', Authorization=f'Token {KEY}')
            )
            await conditions.until(lambda: bool(asked))
            assert not host.proxy.guard.running
            asked.pop()(wait_s)
            assert (await request).status == status
        request = asyncio.ensure_future(
            host.ask('/read/ok', Authorization=f'Token {KEY}')
        )
        await conditions.until(lambda: bool(asked))
        request.cancel()
        await conditions.until(lambda: forwarder.completion.in_flight == 0)
        asked.pop()(None)
        assert gate.refunded == ['acme']
