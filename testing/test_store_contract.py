"""The platform store's port: one table of cases for fake and adapter."""

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
from peridotpost.store import answers
from peridotpost.store import etcd
from peridotpost.store import lines
from peridotpost.store import store
from testing import conditions
from testing import fakes

MEGABYTE = 1_048_576
TIMEOUT_S = 0.5
WAIT_S = 10.0


@dataclasses.dataclass(slots=True)
class Bench:
    """A store under test, its state, its clock and its faults."""

    store: store.Store
    clock: fakes.Clock
    behind: fakes.FakeStore | standin.Platform
    counts: counters.Counters

    def outage(self, on: bool) -> None:
        if isinstance(self.behind, fakes.FakeStore):
            self.behind.outage = on
        else:
            self.behind.set_faults(standin.Faults(outage=on))

    def lose_answers(self, count: int) -> None:
        if isinstance(self.behind, fakes.FakeStore):
            self.behind.lost['swap'] = count
        else:
            self.behind.set_faults(standin.Faults(lose_answers=count))

    def exhaust_quota(self) -> None:
        if isinstance(self.behind, fakes.FakeStore):
            self.behind.over_quota = True
        else:
            self.behind.reads.per_second = -1
            self.behind.writes.per_second = -1

    def end_watches(self) -> None:
        if isinstance(self.behind, fakes.FakeStore):
            self.behind.watch_ends = True
        else:
            assert isinstance(self.store, etcd.EtcdStore)
            self.store.watch_s = 0.2

    def calls(self, fake_name: str, gateway_name: str) -> int:
        if isinstance(self.behind, fakes.FakeStore):
            return self.behind.calls[fake_name]
        return self.behind.counts[gateway_name]


@contextlib.asynccontextmanager
async def fake_bench() -> AsyncIterator[Bench]:
    clock = fakes.Clock()
    fake = fakes.FakeStore(clock)
    yield Bench(fake, clock, fake, counters.Counters())


@contextlib.asynccontextmanager
async def etcd_bench() -> AsyncIterator[Bench]:
    clock = fakes.Clock()
    platform = standin.Platform(now=clock.now)
    counts = counters.Counters()
    async with standin.serving(platform, '127.0.0.1', 0) as port:
        with etcd.etcd_store(
            [f'http://127.0.0.1:{port}'], TIMEOUT_S, WAIT_S, counts
        ) as opened:
            yield Bench(opened, clock, platform, counts)


async def write(bench: Bench, key: str, value: bytes, lease: int = 0) -> int:
    standing = (await bench.store.read(key)).unwrap()
    expected = standing.revision if standing else 0
    done = await bench.store.swap(
        key, expected, [store.Put(key, value, lease)]
    )
    swapped = done.unwrap()
    assert isinstance(swapped, store.Swapped)
    return swapped.revision


async def value_of(bench: Bench, key: str) -> bytes | None:
    found = (await bench.store.read(key)).unwrap()
    return found.value if found else None


async def reads_what_was_written(bench: Bench) -> None:
    revision = await write(bench, 'a', b'1')
    found = (await bench.store.read('a')).unwrap()
    assert found == store.KeyValue('a', b'1', revision)
    assert (await bench.store.read('b')).unwrap() is None


async def prefix_takes_in_all_keys_under_it(bench: Bench) -> None:
    # The end of the range was the next character: there is none that can
    # be encoded after U+D7FF and U+10FFFF, and none at all for ''.
    keys = ['a', 'a/', 'a/1', 'a/\ud7ff', 'a/\ud7ff1', 'a/\U0010ffff1', 'a0']
    for key in keys:
        await write(bench, key, b'')
    for prefix in ('a/', 'a/\ud7ff', 'a/\U0010ffff', '', 'zz'):
        found = (await bench.store.read_prefix(prefix)).unwrap()
        assert [kv.key for kv in found] == [
            key for key in keys if key.startswith(prefix)
        ]


async def swap_on_another_revision_conflicts(bench: Bench) -> None:
    revision = await write(bench, 'a', b'1')
    for wrong in (0, revision + 1):
        done = await bench.store.swap('a', wrong, [store.Put('a', b'2')])
        conflict = done.unwrap()
        assert isinstance(conflict, store.Conflict)
        assert conflict.current == store.KeyValue('a', b'1', revision)
    done = await bench.store.swap('b', revision, [store.Put('b', b'2')])
    assert done.unwrap() == store.Conflict(None)


async def swap_writes_all_puts_at_one_revision(bench: Bench) -> None:
    puts = [store.Put('a', b'1'), store.Put('b', b'2')]
    swapped = (await bench.store.swap('a', 0, puts)).unwrap()
    assert isinstance(swapped, store.Swapped)
    for key in 'ab':
        found = (await bench.store.read(key)).unwrap()
        assert found is not None
        assert found.revision == swapped.revision


async def refused_put_leaves_none_behind(bench: Bench) -> None:
    # The first of two puts used to stand though the second was refused.
    for bad in (
        store.Put('b', b'x' * (MEGABYTE + 1)),
        store.Put('b', b'', lease=77),
    ):
        done = await bench.store.swap('a', 0, [store.Put('a', b'1'), bad])
        assert isinstance(done.unwrap_err(), errors.StoreRefused)
        assert await value_of(bench, 'a') is None
    assert isinstance(done.unwrap_err(), errors.LeaseLapsed)


async def value_of_a_megabyte_is_kept(bench: Bench) -> None:
    await write(bench, 'a', b'\xff' * MEGABYTE)
    assert await value_of(bench, 'a') == b'\xff' * MEGABYTE


async def lease_lapses_with_what_hangs_on_it(bench: Bench) -> None:
    lease = (await bench.store.grant(10)).unwrap()
    await write(bench, 'a', b'1', lease)
    bench.clock.at = 9.0
    assert (await bench.store.keep_alive(lease)).unwrap() is True
    bench.clock.at = 18.0
    assert await value_of(bench, 'a') == b'1'
    bench.clock.at = 19.5
    assert await value_of(bench, 'a') is None
    assert (await bench.store.keep_alive(lease)).unwrap() is False


async def lapsed_lease_takes_no_newer_write_along(bench: Bench) -> None:
    old = (await bench.store.grant(10)).unwrap()
    await write(bench, 'a', b'1', old)
    new = (await bench.store.grant(100)).unwrap()
    await write(bench, 'a', b'2', new)
    bench.clock.at = 50.0
    found = (await bench.store.read('a')).unwrap()
    assert found is not None
    assert (found.value, found.lease) == (b'2', new)


async def revoked_lease_is_gone_at_once(bench: Bench) -> None:
    lease = (await bench.store.grant(10)).unwrap()
    await write(bench, 'a', b'1', lease)
    for _ in range(2):
        assert (await bench.store.revoke(lease)).is_ok()
    assert await value_of(bench, 'a') is None


async def watch_tells_each_write_from_a_revision(bench: Bench) -> None:
    first = await write(bench, 'a', b'1')
    await write(bench, 'other', b'9')
    await write(bench, 'a', b'2')
    watching = bench.store.watch('a', first)
    assert (await anext(watching)).unwrap().value == b'1'
    assert (await anext(watching)).unwrap().value == b'2'
    await write(bench, 'a', b'3')
    assert (await anext(watching)).unwrap().value == b'3'


async def watch_over_compacted_changes_tells_the_latest(bench: Bench) -> None:
    # The stand-in dropped old changes without a word: a relay that came
    # back after a long outage waited for a version it had missed.
    first = await write(bench, 'a', b'1')
    await write(bench, 'a', b'2')
    later = await write(bench, 'other', b'')
    bench.behind.state.compact(later + 1)
    watching = bench.store.watch('a', first)
    assert (await anext(watching)).unwrap().value == b'2'
    await write(bench, 'a', b'3')
    assert (await anext(watching)).unwrap().value == b'3'


async def watch_of_an_old_key_survives_compaction(bench: Bench) -> None:
    # The head stands at an old revision and other keys are written often.
    # To watch from the head's revision is then always too early.
    revision = await write(bench, 'a', b'1')
    later = await write(bench, 'other', b'')
    bench.behind.state.compact(later + 1)
    watching = bench.store.watch('a', revision + 1)
    waiting = asyncio.ensure_future(anext(watching))
    await write(bench, 'a', b'2')
    assert (await waiting).unwrap().value == b'2'


async def watch_ends_without_error_after_its_time(bench: Bench) -> None:
    bench.end_watches()
    assert [item async for item in bench.store.watch('a', 1)] == []


async def outage_ends_watch_with_error(bench: Bench) -> None:
    watching = bench.store.watch('a', 1)
    waiting = asyncio.ensure_future(anext(watching))
    await write(bench, 'b', b'')
    bench.outage(True)
    failed = await waiting
    assert isinstance(failed.unwrap_err(), errors.StoreUnavailable)
    assert [item async for item in watching] == []


async def all_calls(bench: Bench) -> list[result.Result[Any, Any]]:
    calls: list[Awaitable[result.Result[Any, Any]]] = [
        bench.store.read('a'),
        bench.store.read_prefix('a'),
        bench.store.swap('a', 0, [store.Put('a', b'1')]),
        bench.store.grant(10),
        bench.store.keep_alive(1),
        bench.store.revoke(1),
        anext(bench.store.watch('a', 1)),
    ]
    return [await call for call in calls]


async def outage_is_unavailable_and_leaves_nothing(bench: Bench) -> None:
    bench.outage(True)
    for failed in await all_calls(bench):
        assert type(failed.unwrap_err()) is errors.StoreUnavailable
    bench.outage(False)
    assert await value_of(bench, 'a') is None


async def over_quota_is_told_and_leaves_nothing(bench: Bench) -> None:
    bench.exhaust_quota()
    for failed in await all_calls(bench):
        assert type(failed.unwrap_err()) is errors.StoreOverloaded


async def lost_answer_is_unavailable_but_stands(bench: Bench) -> None:
    bench.lose_answers(1)
    done = await bench.store.swap('a', 0, [store.Put('a', b'1')])
    assert isinstance(done.unwrap_err(), errors.StoreUnavailable)
    assert await value_of(bench, 'a') == b'1'


async def each_call_counts_once(bench: Bench) -> None:
    lease = (await bench.store.grant(10)).unwrap()
    await write(bench, 'a', b'1', lease)
    await bench.store.read_prefix('a')
    await bench.store.keep_alive(lease)
    await bench.store.revoke(lease)
    assert bench.calls('read', 'kv/range') == 2
    for fake_name, gateway_name in (
        ('swap', 'kv/txn'),
        ('grant', 'lease/grant'),
        ('keep_alive', 'lease/keepalive'),
        ('revoke', 'lease/revoke'),
    ):
        assert bench.calls(fake_name, gateway_name) == 1


Case = Callable[[Bench], Awaitable[None]]
CASES: list[Case] = [
    reads_what_was_written,
    prefix_takes_in_all_keys_under_it,
    swap_on_another_revision_conflicts,
    swap_writes_all_puts_at_one_revision,
    refused_put_leaves_none_behind,
    value_of_a_megabyte_is_kept,
    lease_lapses_with_what_hangs_on_it,
    lapsed_lease_takes_no_newer_write_along,
    revoked_lease_is_gone_at_once,
    watch_tells_each_write_from_a_revision,
    watch_over_compacted_changes_tells_the_latest,
    watch_of_an_old_key_survives_compaction,
    watch_ends_without_error_after_its_time,
    outage_ends_watch_with_error,
    outage_is_unavailable_and_leaves_nothing,
    over_quota_is_told_and_leaves_nothing,
    lost_answer_is_unavailable_but_stands,
    each_call_counts_once,
]


@pytest.mark.parametrize(
    'opened', [fake_bench, etcd_bench], ids=['fake', 'etcd']
)
@pytest.mark.parametrize('case', CASES, ids=lambda case: case.__name__)
async def test_contract(case: Case, opened: Any) -> None:
    async with opened() as bench:
        await case(bench)


def encoded(key: str, **fields: Any) -> dict[str, Any]:
    return {
        'key': answers.encode(key.encode()),
        'mod_revision': '5',
        **fields,
    }


def answer_of(kv: Any) -> bytes:
    body = {'header': {'revision': '9'}, 'kvs': [kv]}
    return fakes.http_answer(json.dumps(body).encode())


GOOD_HEAD = 'HTTP/1.1 200 OK\r\n'
GARBAGE = {
    'not-json': fakes.http_answer(b'<html>'),
    'empty': fakes.http_answer(b''),
    'list': fakes.http_answer(b'[]'),
    'null': fakes.http_answer(b'null'),
    'no-header': fakes.http_answer(b'{}'),
    'header-of-wrong-type': fakes.http_answer(b'{"header": 5}'),
    'revision-no-number': fakes.http_answer(b'{"header":{"revision":"x"}}'),
    'revision-infinite': fakes.http_answer(b'{"header":{"revision":1e999}}'),
    'revision-0': fakes.http_answer(b'{"header":{"revision":"0"}}'),
    'kvs-no-list': fakes.http_answer(b'{"header":{"revision":9},"kvs":{}}'),
    'kv-no-object': answer_of(7),
    'kv-without-revision': answer_of({'key': 'YQ=='}),
    'revision-boolean': answer_of(encoded('a', mod_revision=True)),
    'wrong-base64': answer_of(encoded('a', value='%%%')),
    'value-no-text': answer_of(encoded('a', value=1)),
    'key-no-utf-8': answer_of({'key': '/w==', 'mod_revision': '5'}),
    'key-of-another': answer_of(encoded('z')),
    'nested-too-deep': fakes.http_answer(b'[' * 200_000),
    'redirected': fakes.http_answer(b'', '302 Found', 'Location: /x\r\n'),
    'wrong-address': fakes.http_answer(b'no such page', '404 Not Found'),
}
UNAVAILABLE = {
    'no-http': b'SSH-2.0-OpenSSH\r\n',
    'cut-at-once': b'',
    'cut-in-head': b'HTTP/1.1 200',
    'cut-in-body': fakes.http_answer(b'{"header": {}}')[:-3],
    'length-no-number': GOOD_HEAD.encode() + b'Content-Length: x\r\n\r\n{}',
    'too-long': GOOD_HEAD.encode() + b'Content-Length: 99999999999\r\n\r\n{',
    'chunk-no-number': GOOD_HEAD.encode()
    + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n',
    'gateway-error': fakes.http_answer(b'', '502 Bad Gateway'),
    'timed-out-there': fakes.http_answer(b'', '408 Request Timeout'),
}


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        *((raw, errors.StoreGarbage) for raw in GARBAGE.values()),
        *((raw, errors.StoreUnavailable) for raw in UNAVAILABLE.values()),
    ],
    ids=[*GARBAGE, *UNAVAILABLE],
)
async def test_unusable_answer_is_an_error_of_its_kind_for_each_call(
    raw: bytes, kind: type[errors.StoreError]
) -> None:
    async with fakes.raw_server(raw) as address:
        counts = counters.Counters()
        with etcd.etcd_store([address], TIMEOUT_S, 1.0, counts) as opened:
            bench = Bench(opened, fakes.Clock(), standin.Platform(), counts)
            assert type((await opened.read('a')).unwrap_err()) is kind
            failures = await all_calls(bench)
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
        'responses': [{'response_range': {'kvs': [encoded('z')]}}]
    },
}


@pytest.mark.parametrize(
    'fields', TXN_GARBAGE.values(), ids=TXN_GARBAGE.keys()
)
async def test_swap_is_not_taken_as_done_by_a_garbled_answer(
    fields: dict[str, Any],
) -> None:
    body = json.dumps({'header': {'revision': '9'}, **fields}).encode()
    async with fakes.raw_server(fakes.http_answer(body)) as address:
        with etcd.etcd_store(
            [address], TIMEOUT_S, 1.0, counters.Counters()
        ) as opened:
            done = await opened.swap('a', 0, [store.Put('a', b'')])
    assert isinstance(done.unwrap_err(), errors.StoreGarbage)


CREATED = b'{"result": {"header": {"revision": "9"}, "created": true}}\n'
EVENT = json.dumps(
    {'result': {'events': [{'kv': encoded('a', value='MQ==')}]}}
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
    'line-not-json': (CREATED + b'<p>\n', True, [], errors.StoreGarbage),
    'line-without-result': (b'{}\n', True, [], errors.StoreGarbage),
    'event-about-another': (
        CREATED + EVENT.replace(b'YQ==', b'eg==') + b'\n',
        True,
        [],
        errors.StoreGarbage,
    ),
    'events-no-list': (
        b'{"result": {"events": {"kv": 1}}}\n',
        True,
        [],
        errors.StoreGarbage,
    ),
    'cancelled': (
        b'{"result": {"canceled": true}}\n',
        True,
        [],
        errors.StoreUnavailable,
    ),
    'line-without-end': (
        CREATED + b'x' * (lines.MAX_LINE_BYTES + 1),
        True,
        [],
        errors.StoreUnavailable,
    ),
}


@pytest.mark.parametrize(
    ('stream', 'hold', 'values', 'kind'), STREAMS.values(), ids=STREAMS
)
async def test_watch_that_ends_otherwise_than_by_its_time_is_an_error(
    stream: bytes,
    hold: bool,
    values: list[bytes],
    kind: type[errors.StoreError],
) -> None:
    # A watch that ended without a word made the watcher read the head and
    # watch again at once: a service that ends each watch got reads without
    # pause from every relay.
    raw = (GOOD_HEAD + '\r\n').encode() + stream if stream else b''
    async with fakes.raw_server(raw, hold) as address:
        with etcd.etcd_store(
            [address], TIMEOUT_S, WAIT_S, counters.Counters()
        ) as opened:
            items = [item async for item in opened.watch('a', 1)]
    assert [one.unwrap().value for one in items[:-1]] == values
    assert type(items[-1].unwrap_err()) is kind


async def test_watch_that_is_given_up_leaves_no_call_waiting() -> None:
    # Each change of place of a relay left a watch behind until its time
    # was over; eight of them used up the client's connections.
    async with etcd_bench() as bench:
        assert isinstance(bench.behind, standin.Platform)
        for number in range(12):
            watching = bench.store.watch('a', 1)
            assert hasattr(watching, 'aclose')
            await write(bench, 'a', str(number).encode())
            assert (await anext(watching)).is_ok()
            await watching.aclose()
        counts = bench.behind.counts
        await conditions.until(lambda: not counts['watching'], 'none waits')


async def test_slow_service_times_out_and_a_watch_does_not_hold_up_calls() -> (
    None
):
    async with etcd_bench() as bench:
        assert isinstance(bench.behind, standin.Platform)
        watches = [bench.store.watch('a', 1) for _ in range(10)]
        waiting = [asyncio.ensure_future(anext(one)) for one in watches]
        await write(bench, 'a', b'1')
        for one in waiting:
            assert (await one).is_ok()
        bench.behind.set_faults(standin.Faults(delay_s=TIMEOUT_S * 4))
        failed = await bench.store.read('a')
        assert isinstance(failed.unwrap_err(), errors.StoreUnavailable)


@pytest.mark.parametrize('dead', ['refusing', 'garbage'])
async def test_calls_go_on_at_the_next_endpoint(dead: str) -> None:
    # An endpoint that answers nonsense was never left; two calls that
    # failed together on one of two endpoints turned back to it.
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
            assert all(one.is_err() for one in first)
            again = await asyncio.gather(opened.read('a'), opened.read('a'))
            assert all(one.is_ok() for one in again)


def test_gateway_encoding_is_plain_base64() -> None:
    assert base64.b64decode(answers.encode(b'a/\xff')) == b'a/\xff'
