"""The adapter to the platform's store: what each failure comes back as."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from peridotpost.border import proxy as border
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.platform import store
from testing.standins import kv as kv_standin

RECORD = instances.HostRecord('a-1', 'a', '127.0.0.1', 7, 100)


@contextlib.asynccontextmanager
async def opened() -> AsyncIterator[tuple[store.KvStore, kv_standin.Kv]]:
    kv = kv_standin.Kv()
    async with kv_standin.serving(kv) as address:
        one = store.KvStore(*border.split_address(address))
        try:
            yield one, kv
        finally:
            one.close()


async def test_what_is_written_is_read() -> None:
    async with opened() as (one, kv):
        lease = await one.grant_lease(5.0)
        await one.register(RECORD, lease)
        for number in range(5):
            await kv.put(f'{store.RECORDS}other-{number}', b'not a record')
        await kv.configure({'version': 3})
        assert await one.read_records(stale=False) == [RECORD]
        read = await one.read_config()
        assert read.raw == b'{"version": 3}'
        assert await one.renew(lease)
        await one.end(lease)
        assert await one.read_records(stale=True) == []
        assert not await one.renew(lease)


async def test_a_watch_brings_the_newest_of_several_versions() -> None:
    async with opened() as (one, kv):
        first = await one.read_config()
        assert first.raw is None
        await kv.configure({'version': 1})
        await kv.put('op/config-of-another', b'x')
        await kv.configure({'version': 2})
        read = await one.next_config(first.revision)
        assert read.raw == b'{"version": 2}'
        assert read.revision == kv.revision


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        pytest.param(429, errors.StoreOverloaded, id='over the quota'),
        pytest.param(503, errors.StoreRefused, id='busy'),
        pytest.param(500, errors.StoreRefused, id='failing'),
    ],
)
async def test_refusal_is_told_from_no_answer(
    status: int, kind: type[errors.StoreError]
) -> None:
    async with opened() as (one, kv):
        kv.status = status
        with pytest.raises(kind):
            await one.read_config()
        with pytest.raises(kind):
            await one.grant_lease(5.0)


async def test_a_lost_answer_may_have_taken_effect() -> None:
    async with opened() as (one, kv):
        lease = await one.grant_lease(5.0)
        kv.lose_answers = True
        with pytest.raises(errors.StoreUnavailable):
            await one.register(RECORD, lease)
        kv.lose_answers = False
        assert await one.read_records(stale=False) == [RECORD]


async def test_a_write_under_a_lapsed_lease_says_so() -> None:
    async with opened() as (one, _kv):
        with pytest.raises(errors.LeaseLapsed):
            await one.register(RECORD, 77)


async def test_a_history_that_is_gone_says_so() -> None:
    async with opened() as (one, kv):
        read = await one.read_config()
        await kv.configure({'version': 1})
        await kv.compact()
        with pytest.raises(errors.StoreCompacted):
            await one.next_config(read.revision)


async def test_a_silent_store_is_given_up_and_the_next_call_works(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store takes the connection and never answers; what it sends
    later on that connection must not be taken for the next answer."""
    monkeypatch.setattr(store, 'READ_S', 0.05)
    async with opened() as (one, kv):
        await kv.configure({'version': 1})
        kv.hang = True
        with pytest.raises(errors.StoreUnavailable):
            await one.read_config()
        kv.hang = False
        monkeypatch.setattr(store, 'READ_S', 10.0)
        assert (await one.read_config()).raw == b'{"version": 1}'


async def test_calls_at_the_same_time_do_not_mix() -> None:
    async with opened() as (one, kv):
        await kv.configure({'version': 1})
        reads = await asyncio.gather(*(one.read_config() for _ in range(20)))
        assert {read.raw for read in reads} == {b'{"version": 1}'}
