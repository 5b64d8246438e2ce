"""Accepting versions with concurrent writers and store failures."""

import asyncio
import dataclasses
import random
import string

import pytest
import result

from peridotpost.border import document
from peridotpost.store import store
from peridotpost.store import versions
from testing import conftest
from testing import fakes

MESH = 'm'


def proposed(author: str, base: int = 0) -> versions.AcceptedVersion:
    return versions.AcceptedVersion(
        revision=0,
        number=0,
        write_id=f'id-of-{author}',
        author=author,
        note='',
        at=0.0,
        base_revision=base,
        text=f'# {author}',
    )


async def no_sleep(seconds: float) -> None:
    await asyncio.sleep(0)


async def test_accepted_version_is_read_back(
    etcd_store: conftest.StoreFactory,
) -> None:
    async with etcd_store() as env:
        won = await versions.accept(env.store, MESH, proposed('a'), no_sleep)
        assert isinstance(won, versions.Committed)
        head = (await versions.read_head(env.store, MESH)).unwrap()
    assert head is not None
    assert (head.text, head.revision) == ('# a', won.revision)


async def test_one_of_two_concurrent_accepts_succeeds(
    etcd_store: conftest.StoreFactory,
) -> None:
    # Two operators accept versions based on the same one concurrently.
    # One must succeed; the other must learn the winner's version and must
    # not overwrite it.
    async with etcd_store() as env:
        outcomes = await asyncio.gather(
            versions.accept(env.store, MESH, proposed('a'), no_sleep),
            versions.accept(env.store, MESH, proposed('b'), no_sleep),
        )
    won = [o for o in outcomes if isinstance(o, versions.Committed)]
    lost = [o for o in outcomes if isinstance(o, versions.LostRace)]
    assert len(won) == len(lost) == 1
    assert lost[0].current is not None
    assert lost[0].current.revision == won[0].revision


async def test_lost_response_is_not_a_lost_race(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The write takes effect but its response is lost.  The accept must
    # succeed and create one version, not two.
    async with etcd_store() as env:
        env.platform.faults.lose_answers = 1
        won = await versions.accept(env.store, MESH, proposed('a'), no_sleep)
        assert isinstance(won, versions.Committed)
        assert won.superseded_by is None
        history = (await versions.read_history(env.store, MESH)).unwrap()
    assert [entry.revision for entry in history] == [won.revision]


async def test_superseded_version_with_lost_response_was_accepted(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The response to a's write is lost, and b accepts on top of it before
    # a retries.  The head is b's, but a's version was in force: the retry
    # must report success, not a lost race.
    async with etcd_store() as env:
        first = proposed('a')
        won = await versions.accept(env.store, MESH, first, no_sleep)
        assert isinstance(won, versions.Committed)
        second = proposed('b', won.revision)
        later = await versions.accept(env.store, MESH, second, no_sleep)
        assert isinstance(later, versions.Committed)
        retried = await versions.accept(env.store, MESH, first, no_sleep)
    assert isinstance(retried, versions.Committed)
    assert retried.revision == won.revision
    assert retried.superseded_by is not None
    assert retried.superseded_by.author == 'b'


async def test_accept_is_undecided_in_an_outage_and_can_be_resumed(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The store is unavailable for longer than the operator waits.  The
    # result is undecided, and its write id allows the accept to be resumed.
    async with etcd_store() as env:
        env.platform.faults.outage = True
        first = await versions.accept(
            env.store, MESH, proposed('a'), no_sleep, attempts=2
        )
        assert isinstance(first, versions.Undecided)
        env.platform.faults.outage = False
        resumed = dataclasses.replace(proposed('a'), write_id=first.write_id)
        won = await versions.accept(env.store, MESH, resumed, no_sleep)
    assert isinstance(won, versions.Committed)


async def test_invalid_head_is_rejected(
    etcd_store: conftest.StoreFactory,
) -> None:
    async with etcd_store() as env:
        key = versions.head_key(MESH)
        written = [store.Put(key, b'{"text": 1}')]
        # A call times out if this process stands still for a while.
        while isinstance(await env.store.swap(key, 0, written), result.Err):
            pass
        head = await versions.read_head(env.store, MESH)
    assert isinstance(head, result.Err)
    assert 'not a valid version' in str(head.err_value)


@pytest.mark.parametrize(
    'value',
    [
        pytest.param(b'[' * 100_000, id='nested too deeply'),
        pytest.param(None, id='number too large'),
    ],
)
def test_version_that_cannot_be_decoded_is_an_error(
    value: bytes | None,
) -> None:
    """Guards against a start that fails on what another client wrote."""
    if value is None:
        accepted = versions.AcceptedVersion(5, 1, 'id', 'a', '', 0.0, 4, 'x')
        valid = versions.encode_version(accepted)
        value = valid.replace(b'"number": 1', b'"number": 1e999')
        assert value != valid
    decoded = versions.decode_version(store.KeyValue('head', value, 1))
    assert isinstance(decoded, result.Err)


@pytest.mark.parametrize(
    ('lost', 'outcome'),
    [(0, versions.NotWritten), (1, versions.Undecided)],
    ids=['refused', 'refused-after-lost-response'],
)
async def test_refused_accept_is_undecided_only_after_a_lost_response(
    lost: int, outcome: type[versions.AcceptResult]
) -> None:
    # The store is over quota and nothing was written, so the result is not
    # undecided, unless the response to an earlier attempt was lost.
    fake = fakes.FakeStore(fakes.Clock())
    fake.lost['swap'] = lost
    fake.over_quota = not lost

    async def exhaust_quota(seconds: float) -> None:
        fake.over_quota = True

    ended = await versions.accept(fake, MESH, proposed('a'), exhaust_quota)
    assert type(ended) is outcome
    assert fake.calls['swap'] == lost


async def test_value_over_the_store_limit_is_an_error_in_the_text(
    randomness: random.Random,
) -> None:
    # The text is within the limit for texts but does not compress, so its
    # base64 form exceeds the store's limit of 1 MiB.  This once ended in a
    # traceback instead of an error about the text.
    fake = fakes.FakeStore(fakes.Clock())
    noise = ''.join(randomness.choices(string.printable, k=1_000_000))
    version = dataclasses.replace(proposed('a'), text=noise)
    with pytest.raises(document.DocumentError, match='shorten it'):
        await versions.accept(fake, MESH, version, no_sleep)
    assert (await versions.read_head(fake, MESH)).unwrap() is None
