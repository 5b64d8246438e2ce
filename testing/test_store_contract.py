"""Contract tests of the store interface, run on the fake and on etcd."""

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
from typing import Any

import pytest
import result

from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.standins import platform as standin
from peridotpost.store import etcd
from peridotpost.store import etcdmessages
from peridotpost.store import linestream
from peridotpost.store import store
from testing import conditions
from testing import fakes

MEBIBYTE = 1_048_576
TIMEOUT_S = 0.5
WAIT_S = 10.0


@dataclasses.dataclass(slots=True)
class StoreUnderTest:
    """A store with its backend and clock, and control over its faults."""

    store: store.Store
    clock: fakes.Clock
    backend: fakes.FakeStore | standin.Platform
    counts: counters.Counters

    def outage(self, on: bool) -> None:
        if isinstance(self.backend, fakes.FakeStore):
            self.backend.outage = on
        else:
            self.backend.set_faults(standin.Faults(outage=on))

    def lose_answers(self, count: int) -> None:
        if isinstance(self.backend, fakes.FakeStore):
            self.backend.lost['swap'] = count
        else:
            self.backend.set_faults(standin.Faults(lose_answers=count))

    def exhaust_quota(self) -> None:
        if isinstance(self.backend, fakes.FakeStore):
            self.backend.over_quota = True
        else:
            self.backend.read_quota.per_second = -1
            self.backend.write_quota.per_second = -1

    def end_watches(self) -> None:
        if isinstance(self.backend, fakes.FakeStore):
            self.backend.ends_watches = True
        else:
            assert isinstance(self.store, etcd.EtcdStore)
            self.store.max_watch_s = 0.2

    def calls(self, fake_name: str, gateway_name: str) -> int:
        if isinstance(self.backend, fakes.FakeStore):
            return self.backend.calls[fake_name]
        return self.backend.counts[gateway_name]


@contextlib.asynccontextmanager
async def open_fake() -> AsyncIterator[StoreUnderTest]:
    clock = fakes.Clock()
    fake = fakes.FakeStore(clock)
    yield StoreUnderTest(fake, clock, fake, counters.Counters())


@contextlib.asynccontextmanager
async def open_etcd() -> AsyncIterator[StoreUnderTest]:
    clock = fakes.Clock()
    platform = standin.Platform(now=clock.now)
    counts = counters.Counters()
    async with standin.serving(platform, '127.0.0.1', 0) as port:
        with etcd.etcd_store(
            [f'http://127.0.0.1:{port}'], TIMEOUT_S, WAIT_S, counts
        ) as opened:
            yield StoreUnderTest(opened, clock, platform, counts)


async def write(
    subject: StoreUnderTest, key: str, value: bytes, lease: int = 0
) -> int:
    current = (await subject.store.read(key)).unwrap()
    expected = current.revision if current else 0
    outcome = await subject.store.swap(
        key, expected, [store.Put(key, value, lease)]
    )
    swapped = outcome.unwrap()
    assert isinstance(swapped, store.Swapped)
    return swapped.revision


async def read_value(subject: StoreUnderTest, key: str) -> bytes | None:
    found = (await subject.store.read(key)).unwrap()
    return found.value if found else None


async def reads_what_was_written(subject: StoreUnderTest) -> None:
    revision = await write(subject, 'a', b'1')
    found = (await subject.store.read('a')).unwrap()
    assert found == store.KeyValue('a', b'1', revision)
    assert (await subject.store.read('b')).unwrap() is None


async def prefix_read_returns_all_keys_under_it(
    subject: StoreUnderTest,
) -> None:
    # The end of the range must not be computed by incrementing the last
    # character: U+D7FF and U+10FFFF have no encodable successor, and '' has
    # no last character.
    keys = ['a', 'a/', 'a/1', 'a/\ud7ff', 'a/\ud7ff1', 'a/\U0010ffff1', 'a0']
    for key in keys:
        await write(subject, key, b'')
    for prefix in ('a/', 'a/\ud7ff', 'a/\U0010ffff', '', 'zz'):
        found = (await subject.store.read_prefix(prefix)).unwrap()
        assert [kv.key for kv in found] == [
            key for key in keys if key.startswith(prefix)
        ]


async def swap_on_another_revision_conflicts(subject: StoreUnderTest) -> None:
    revision = await write(subject, 'a', b'1')
    for wrong in (0, revision + 1):
        outcome = await subject.store.swap('a', wrong, [store.Put('a', b'2')])
        conflict = outcome.unwrap()
        assert isinstance(conflict, store.Conflict)
        assert conflict.current == store.KeyValue('a', b'1', revision)
    outcome = await subject.store.swap('b', revision, [store.Put('b', b'2')])
    assert outcome.unwrap() == store.Conflict(None)


async def swap_writes_all_puts_at_one_revision(
    subject: StoreUnderTest,
) -> None:
    puts = [store.Put('a', b'1'), store.Put('b', b'2')]
    swapped = (await subject.store.swap('a', 0, puts)).unwrap()
    assert isinstance(swapped, store.Swapped)
    for key in 'ab':
        found = (await subject.store.read(key)).unwrap()
        assert found is not None
        assert found.revision == swapped.revision


async def refused_put_writes_nothing(subject: StoreUnderTest) -> None:
    # The first of two puts was once kept although the second was rejected.
    for bad in (
        store.Put('b', b'x' * (MEBIBYTE + 1)),
        store.Put('b', b'', lease=77),
    ):
        outcome = await subject.store.swap('a', 0, [store.Put('a', b'1'), bad])
        assert isinstance(outcome.unwrap_err(), errors.StoreRefused)
        assert await read_value(subject, 'a') is None
    assert isinstance(outcome.unwrap_err(), errors.LeaseExpired)


async def value_of_one_mebibyte_is_stored(subject: StoreUnderTest) -> None:
    await write(subject, 'a', b'\xff' * MEBIBYTE)
    assert await read_value(subject, 'a') == b'\xff' * MEBIBYTE


async def expired_lease_deletes_its_keys(subject: StoreUnderTest) -> None:
    lease = (await subject.store.grant(10)).unwrap()
    await write(subject, 'a', b'1', lease)
    subject.clock.at = 9.0
    assert (await subject.store.keep_alive(lease)).unwrap() is True
    subject.clock.at = 18.0
    assert await read_value(subject, 'a') == b'1'
    subject.clock.at = 19.5
    assert await read_value(subject, 'a') is None
    assert (await subject.store.keep_alive(lease)).unwrap() is False


async def expired_lease_keeps_keys_moved_to_another_lease(
    subject: StoreUnderTest,
) -> None:
    old = (await subject.store.grant(10)).unwrap()
    await write(subject, 'a', b'1', old)
    new = (await subject.store.grant(100)).unwrap()
    await write(subject, 'a', b'2', new)
    subject.clock.at = 50.0
    found = (await subject.store.read('a')).unwrap()
    assert found is not None
    assert (found.value, found.lease) == (b'2', new)


async def revoked_lease_deletes_its_keys_at_once(
    subject: StoreUnderTest,
) -> None:
    lease = (await subject.store.grant(10)).unwrap()
    await write(subject, 'a', b'1', lease)
    for _ in range(2):
        assert (await subject.store.revoke(lease)).is_ok()
    assert await read_value(subject, 'a') is None


async def watch_yields_each_write_from_a_revision(
    subject: StoreUnderTest,
) -> None:
    first = await write(subject, 'a', b'1')
    await write(subject, 'other', b'9')
    await write(subject, 'a', b'2')
    watching = subject.store.watch('a', first)
    assert (await anext(watching)).unwrap().value == b'1'
    assert (await anext(watching)).unwrap().value == b'2'
    await write(subject, 'a', b'3')
    assert (await anext(watching)).unwrap().value == b'3'


async def watch_over_compacted_changes_yields_the_latest(
    subject: StoreUnderTest,
) -> None:
    # The stand-in once dropped old changes silently, so a relay that
    # returned after a long outage waited for a version it had missed.
    first = await write(subject, 'a', b'1')
    await write(subject, 'a', b'2')
    later = await write(subject, 'other', b'')
    subject.backend.state.compact(later + 1)
    watching = subject.store.watch('a', first)
    assert (await anext(watching)).unwrap().value == b'2'
    await write(subject, 'a', b'3')
    assert (await anext(watching)).unwrap().value == b'3'


async def watch_of_rarely_written_key_survives_compaction(
    subject: StoreUnderTest,
) -> None:
    # The key has an old revision while other keys are written often, so
    # a watch from the key's revision always starts before the compaction.
    revision = await write(subject, 'a', b'1')
    later = await write(subject, 'other', b'')
    subject.backend.state.compact(later + 1)
    watching = subject.store.watch('a', revision + 1)
    waiting = asyncio.ensure_future(anext(watching))
    await write(subject, 'a', b'2')
    assert (await waiting).unwrap().value == b'2'


async def watch_ends_without_error_at_its_time_limit(
    subject: StoreUnderTest,
) -> None:
    subject.end_watches()
    assert [item async for item in subject.store.watch('a', 1)] == []


async def outage_ends_watch_with_error(subject: StoreUnderTest) -> None:
    watching = subject.store.watch('a', 1)
    waiting = asyncio.ensure_future(anext(watching))
    await write(subject, 'b', b'')
    subject.outage(True)
    failed = await waiting
    assert isinstance(failed.unwrap_err(), errors.StoreUnavailable)
    assert [item async for item in watching] == []


async def all_calls(subject: StoreUnderTest) -> list[result.Result[Any, Any]]:
    calls: list[Awaitable[result.Result[Any, Any]]] = [
        subject.store.read('a'),
        subject.store.read_prefix('a'),
        subject.store.swap('a', 0, [store.Put('a', b'1')]),
        subject.store.grant(10),
        subject.store.keep_alive(1),
        subject.store.revoke(1),
        anext(subject.store.watch('a', 1)),
    ]
    return [await call for call in calls]


async def outage_is_unavailable_and_writes_nothing(
    subject: StoreUnderTest,
) -> None:
    subject.outage(True)
    for failed in await all_calls(subject):
        assert type(failed.unwrap_err()) is errors.StoreUnavailable
    subject.outage(False)
    assert await read_value(subject, 'a') is None


async def over_quota_is_overloaded(subject: StoreUnderTest) -> None:
    subject.exhaust_quota()
    for failed in await all_calls(subject):
        assert type(failed.unwrap_err()) is errors.StoreOverloaded


async def lost_response_is_unavailable_but_written(
    subject: StoreUnderTest,
) -> None:
    subject.lose_answers(1)
    outcome = await subject.store.swap('a', 0, [store.Put('a', b'1')])
    assert isinstance(outcome.unwrap_err(), errors.StoreUnavailable)
    assert await read_value(subject, 'a') == b'1'


async def each_call_is_counted_once(subject: StoreUnderTest) -> None:
    lease = (await subject.store.grant(10)).unwrap()
    await write(subject, 'a', b'1', lease)
    await subject.store.read_prefix('a')
    await subject.store.keep_alive(lease)
    await subject.store.revoke(lease)
    assert subject.calls('read', 'kv/range') == 2
    for fake_name, gateway_name in (
        ('swap', 'kv/txn'),
        ('grant', 'lease/grant'),
        ('keep_alive', 'lease/keepalive'),
        ('revoke', 'lease/revoke'),
    ):
        assert subject.calls(fake_name, gateway_name) == 1


Case = Callable[[StoreUnderTest], Awaitable[None]]
CASES: list[Case] = [
    reads_what_was_written,
    prefix_read_returns_all_keys_under_it,
    swap_on_another_revision_conflicts,
    swap_writes_all_puts_at_one_revision,
    refused_put_writes_nothing,
    value_of_one_mebibyte_is_stored,
    expired_lease_deletes_its_keys,
    expired_lease_keeps_keys_moved_to_another_lease,
    revoked_lease_deletes_its_keys_at_once,
    watch_yields_each_write_from_a_revision,
    watch_over_compacted_changes_yields_the_latest,
    watch_of_rarely_written_key_survives_compaction,
    watch_ends_without_error_at_its_time_limit,
    outage_ends_watch_with_error,
    outage_is_unavailable_and_writes_nothing,
    over_quota_is_overloaded,
    lost_response_is_unavailable_but_written,
    each_call_is_counted_once,
]


@pytest.mark.parametrize(
    'opened', [open_fake, open_etcd], ids=['fake', 'etcd']
)
@pytest.mark.parametrize('case', CASES, ids=lambda case: case.__name__)
async def test_contract(case: Case, opened: Any) -> None:
    async with opened() as subject:
        await case(subject)


def key_value_json(key: str, **fields: Any) -> dict[str, Any]:
    return {
        'key': etcdmessages.to_base64(key.encode()),
        'mod_revision': '5',
        **fields,
    }


def range_response(kv: Any) -> bytes:
    body = {'header': {'revision': '9'}, 'kvs': [kv]}
    return fakes.http_response(json.dumps(body).encode())


GOOD_HEAD = 'HTTP/1.1 200 OK\r\n'
GARBAGE = {
    'not-json': fakes.http_response(b'<html>'),
    'empty': fakes.http_response(b''),
    'list': fakes.http_response(b'[]'),
    'null': fakes.http_response(b'null'),
    'no-header': fakes.http_response(b'{}'),
    'header-of-wrong-type': fakes.http_response(b'{"header": 5}'),
    'revision-no-number': fakes.http_response(b'{"header":{"revision":"x"}}'),
    'revision-infinite': fakes.http_response(b'{"header":{"revision":1e999}}'),
    'revision-0': fakes.http_response(b'{"header":{"revision":"0"}}'),
    'kvs-no-list': fakes.http_response(b'{"header":{"revision":9},"kvs":{}}'),
    'kv-no-object': range_response(7),
    'kv-without-revision': range_response({'key': 'YQ=='}),
    'revision-boolean': range_response(key_value_json('a', mod_revision=True)),
    'wrong-base64': range_response(key_value_json('a', value='%%%')),
    'value-no-text': range_response(key_value_json('a', value=1)),
    'key-no-utf-8': range_response({'key': '/w==', 'mod_revision': '5'}),
    'key-of-another': range_response(key_value_json('z')),
    'nested-too-deep': fakes.http_response(b'[' * 200_000),
    'redirected': fakes.http_response(b'', '302 Found', 'Location: /x\r\n'),
    'wrong-address': fakes.http_response(b'no such page', '404 Not Found'),
}
UNAVAILABLE = {
    'no-http': b'SSH-2.0-OpenSSH\r\n',
    'cut-at-once': b'',
    'cut-in-head': b'HTTP/1.1 200',
    'cut-in-body': fakes.http_response(b'{"header": {}}')[:-3],
    'length-no-number': GOOD_HEAD.encode() + b'Content-Length: x\r\n\r\n{}',
    'too-long': GOOD_HEAD.encode() + b'Content-Length: 99999999999\r\n\r\n{',
    'chunk-no-number': GOOD_HEAD.encode()
    + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n',
    'gateway-error': fakes.http_response(b'', '502 Bad Gateway'),
    'timed-out-there': fakes.http_response(b'', '408 Request Timeout'),
}


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        *((raw, errors.StoreProtocolError) for raw in GARBAGE.values()),
        *((raw, errors.StoreUnavailable) for raw in UNAVAILABLE.values()),
    ],
    ids=[*GARBAGE, *UNAVAILABLE],
)
async def test_invalid_response_is_an_error_for_each_call(
    raw: bytes, kind: type[errors.StoreError]
) -> None:
    async with fakes.raw_server(raw) as address:
        counts = counters.Counters()
        with etcd.etcd_store([address], TIMEOUT_S, 1.0, counts) as opened:
            subject = StoreUnderTest(
                opened, fakes.Clock(), standin.Platform(), counts
            )
            assert type((await opened.read('a')).unwrap_err()) is kind
            failures = await all_calls(subject)
    revoked = failures.pop(5)
    assert revoked.is_ok() or isinstance(revoked.err(), errors.StoreError)
    for failed in failures:
        assert isinstance(failed.unwrap_err(), errors.StoreError)


TXN_GARBAGE = {
    'succeeded-as-text': {'succeeded': 'false'},
    'no-responses': {},
    'empty-responses': {'responses': []},
    'response-of-wrong-kind': {'responses': [{'response_put': {}}]},
    'conflict-about-another': {
        'responses': [{'response_range': {'kvs': [key_value_json('z')]}}]
    },
}


@pytest.mark.parametrize(
    'fields', TXN_GARBAGE.values(), ids=TXN_GARBAGE.keys()
)
async def test_swap_with_invalid_response_is_not_successful(
    fields: dict[str, Any],
) -> None:
    body = json.dumps({'header': {'revision': '9'}, **fields}).encode()
    async with fakes.raw_server(fakes.http_response(body)) as address:
        with etcd.etcd_store(
            [address], TIMEOUT_S, 1.0, counters.Counters()
        ) as opened:
            outcome = await opened.swap('a', 0, [store.Put('a', b'')])
    assert isinstance(outcome.unwrap_err(), errors.StoreProtocolError)


CREATED = b'{"result": {"header": {"revision": "9"}, "created": true}}\n'
EVENT = json.dumps(
    {'result': {'events': [{'kv': key_value_json('a', value='MQ==')}]}}
).encode()
STREAMS = {
    'never-answers': (b'', True, [], errors.StoreUnavailable),
    'ends-quietly': (CREATED, False, [], errors.StoreUnavailable),
    'ends-after-event': (
        CREATED + EVENT + b'\n',
        False,
        [b'1'],
        errors.StoreUnavailable,
    ),
    'ends-within-line': (
        CREATED + EVENT[:-4],
        False,
        [],
        errors.StoreUnavailable,
    ),
    'line-not-json': (CREATED + b'<p>\n', True, [], errors.StoreProtocolError),
    'line-without-result': (b'{}\n', True, [], errors.StoreProtocolError),
    'event-about-another': (
        CREATED + EVENT.replace(b'YQ==', b'eg==') + b'\n',
        True,
        [],
        errors.StoreProtocolError,
    ),
    'events-no-list': (
        b'{"result": {"events": {"kv": 1}}}\n',
        True,
        [],
        errors.StoreProtocolError,
    ),
    'cancelled': (
        b'{"result": {"canceled": true}}\n',
        True,
        [],
        errors.StoreUnavailable,
    ),
    'line-without-end': (
        CREATED + b'x' * (linestream.MAX_LINE_BYTES + 1),
        True,
        [],
        errors.StoreUnavailable,
    ),
}


@pytest.mark.parametrize(
    ('stream', 'hold', 'values', 'kind'), STREAMS.values(), ids=STREAMS
)
async def test_watch_that_ends_before_its_time_limit_is_an_error(
    stream: bytes,
    hold: bool,
    values: list[bytes],
    kind: type[errors.StoreError],
) -> None:
    # If a watch ended without an error, the caller would read the head and
    # watch again at once; a service that ends every watch would then get
    # reads without a pause from every relay.
    raw = (GOOD_HEAD + '\r\n').encode() + stream if stream else b''
    async with fakes.raw_server(raw, hold) as address:
        with etcd.etcd_store(
            [address], TIMEOUT_S, WAIT_S, counters.Counters()
        ) as opened:
            items = [item async for item in opened.watch('a', 1)]
    assert [write.unwrap().value for write in items[:-1]] == values
    assert type(items[-1].unwrap_err()) is kind


async def test_abandoned_watch_leaves_no_open_call() -> None:
    # Whenever a relay's position in the tree changed, its old watch once
    # stayed open until its time limit; eight such watches exhausted the
    # client's connections.
    async with open_etcd() as subject:
        assert isinstance(subject.backend, standin.Platform)
        for number in range(12):
            watching = subject.store.watch('a', 1)
            assert hasattr(watching, 'aclose')
            await write(subject, 'a', str(number).encode())
            assert (await anext(watching)).is_ok()
            await watching.aclose()
        counts = subject.backend.counts
        await conditions.until(lambda: not counts['watching'], 'none waits')


async def test_slow_service_times_out_and_watches_do_not_block_calls() -> None:
    async with open_etcd() as subject:
        assert isinstance(subject.backend, standin.Platform)
        watches = [subject.store.watch('a', 1) for _ in range(10)]
        waiting = [asyncio.ensure_future(anext(watch)) for watch in watches]
        await write(subject, 'a', b'1')
        for item in waiting:
            assert (await item).is_ok()
        subject.backend.set_faults(standin.Faults(delay_s=TIMEOUT_S * 4))
        failed = await subject.store.read('a')
        assert isinstance(failed.unwrap_err(), errors.StoreUnavailable)


async def test_error_without_a_message_names_its_type() -> None:
    """Guards against a call that failed for no stated reason."""
    async with open_etcd() as subject:
        assert isinstance(subject.store, etcd.EtcdStore)
        error = subject.store._unavailable_error('read', 'e', TimeoutError())
    assert 'TimeoutError' in str(error)


@pytest.mark.parametrize('dead', ['refusing', 'garbage'])
async def test_calls_continue_at_the_next_endpoint(dead: str) -> None:
    # An endpoint that returned garbage was once never left, and two calls
    # that failed concurrently on one of two endpoints switched back to it.
    platform = standin.Platform()
    raw = GARBAGE['not-json'] if dead == 'garbage' else b''
    async with (
        fakes.raw_server(raw) as bad,
        standin.serving(platform, '127.0.0.1', 0) as port,
    ):
        with etcd.etcd_store(
            [bad, f'http://127.0.0.1:{port}'],
            TIMEOUT_S,
            1.0,
            counters.Counters(),
        ) as opened:
            first = await asyncio.gather(opened.read('a'), opened.read('a'))
            assert all(read.is_err() for read in first)
            again = await asyncio.gather(opened.read('a'), opened.read('a'))
            assert all(read.is_ok() for read in again)


def test_gateway_encoding_is_standard_base64() -> None:
    assert base64.b64decode(etcdmessages.to_base64(b'a/\xff')) == b'a/\xff'
