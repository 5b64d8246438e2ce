"""Tests of the store adapter: results and the errors for each failure."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from peridotpost.border import proxy_settings as border
from peridotpost.model import errors
from peridotpost.model import instances
from peridotpost.platform import store
from testing.standins import kv as kv_standin

RECORD = instances.HostRecord('a-1', 'a', '127.0.0.1', 7, 100)


@contextlib.asynccontextmanager
async def opened() -> AsyncIterator[tuple[store.KvStore, kv_standin.KvStore]]:
    kv = kv_standin.KvStore()
    async with kv_standin.serving(kv) as address:
        client = store.KvStore(*border.split_address(address))
        try:
            yield client, kv
        finally:
            client.close()


async def test_written_values_are_read_back() -> None:
    async with opened() as (client, kv):
        lease = await client.grant_lease(5.0)
        await client.register(RECORD, lease)
        for number in range(5):
            await kv.put(
                f'{store.HOST_RECORD_PREFIX}other-{number}', b'not a record'
            )
        await kv.configure({'version': 3})
        assert await client.read_records(stale=False) == [RECORD]
        read = await client.read_config()
        assert read.raw == b'{"version": 3}'
        assert await client.renew_lease(lease)
        await client.end_lease(lease)
        assert await client.read_records(stale=True) == []
        assert not await client.renew_lease(lease)


async def test_watch_returns_the_newest_of_several_versions() -> None:
    async with opened() as (client, kv):
        first = await client.read_config()
        assert first.raw is None
        await kv.configure({'version': 1})
        await kv.put('op/config-of-another', b'x')
        await kv.configure({'version': 2})
        read = await client.next_config(first.revision, 4.0)
        assert read.raw == b'{"version": 2}'
        assert read.revision == kv.revision


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        pytest.param(429, errors.StoreOverloaded, id='rate limit exceeded'),
        pytest.param(503, errors.StoreRefused, id='unavailable'),
        pytest.param(500, errors.StoreRefused, id='internal error'),
    ],
)
async def test_error_status_raises_the_matching_error(
    status: int, kind: type[errors.StoreError]
) -> None:
    async with opened() as (client, kv):
        kv.status = status
        with pytest.raises(kind):
            await client.read_config()
        with pytest.raises(kind):
            await client.grant_lease(5.0)


async def test_write_with_a_lost_response_may_have_taken_effect() -> None:
    async with opened() as (client, kv):
        lease = await client.grant_lease(5.0)
        kv.lose_answers = True
        with pytest.raises(errors.StoreUnavailable):
            await client.register(RECORD, lease)
        kv.lose_answers = False
        assert await client.read_records(stale=False) == [RECORD]


async def test_write_under_an_expired_lease_raises() -> None:
    async with opened() as (client, _kv):
        with pytest.raises(errors.LeaseExpired):
            await client.register(RECORD, 77)


async def test_watch_of_a_compacted_revision_raises() -> None:
    async with opened() as (client, kv):
        read = await client.read_config()
        await kv.configure({'version': 1})
        await kv.compact()
        with pytest.raises(errors.StoreCompacted):
            await client.next_config(read.revision, 4.0)


async def test_unanswered_call_times_out_and_the_next_one_works(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store accepts the connection and never answers.  What it sends
    later on that connection must not be taken for the next answer."""
    monkeypatch.setattr(store, 'READ_TIMEOUT_S', 0.05)
    async with opened() as (client, kv):
        await kv.configure({'version': 1})
        kv.hang = True
        with pytest.raises(errors.StoreUnavailable):
            await client.read_config()
        kv.hang = False
        monkeypatch.setattr(store, 'READ_TIMEOUT_S', 10.0)
        assert (await client.read_config()).raw == b'{"version": 1}'


async def test_concurrent_calls_get_their_own_responses() -> None:
    async with opened() as (client, kv):
        await kv.configure({'version': 1})
        reads = await asyncio.gather(
            *(client.read_config() for _ in range(20))
        )
        assert {read.raw for read in reads} == {b'{"version": 1}'}
