"""Accepting a version through a store that races, fails and forgets."""

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


def proposed(author: str, base: int = 0) -> versions.Accepted:
    return versions.Accepted(
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
    async with etcd_store() as one:
        won = await versions.accept(one.store, MESH, proposed('a'), no_sleep)
        assert isinstance(won, versions.Won)
        head = (await versions.read_head(one.store, MESH)).unwrap()
    assert head is not None
    assert (head.text, head.revision) == ('# a', won.revision)


async def test_of_two_racing_operators_one_wins(
    etcd_store: conftest.StoreFactory,
) -> None:
    # Two operators edit the same version and accept at the same moment.
    # One must win; the other must be told who was first, not overwrite.
    async with etcd_store() as one:
        outcomes = await asyncio.gather(
            versions.accept(one.store, MESH, proposed('a'), no_sleep),
            versions.accept(one.store, MESH, proposed('b'), no_sleep),
        )
    won = [o for o in outcomes if isinstance(o, versions.Won)]
    lost = [o for o in outcomes if isinstance(o, versions.LostRace)]
    assert len(won) == len(lost) == 1
    assert lost[0].current is not None
    assert lost[0].current.revision == won[0].revision


async def test_lost_answer_is_told_from_lost_race(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The write takes effect, its answer is lost.  The operator must hear
    # "accepted" and there must be one version, not two.
    async with etcd_store() as one:
        one.platform.faults.lose_answers = 1
        won = await versions.accept(one.store, MESH, proposed('a'), no_sleep)
        assert isinstance(won, versions.Won)
        assert won.superseded_by is None
        history = (await versions.read_history(one.store, MESH)).unwrap()
    assert [entry.revision for entry in history] == [won.revision]


async def test_lost_answer_that_was_superseded_is_still_won(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The answer to a's write is lost; before a asks again, b accepts on
    # top of it.  The head is b's, yet a's version was in force: a must
    # hear so, and not that it lost a race.
    async with etcd_store() as one:
        first = proposed('a')
        won = await versions.accept(one.store, MESH, first, no_sleep)
        assert isinstance(won, versions.Won)
        second = proposed('b', won.revision)
        later = await versions.accept(one.store, MESH, second, no_sleep)
        assert isinstance(later, versions.Won)
        again = await versions.accept(one.store, MESH, first, no_sleep)
    assert isinstance(again, versions.Won)
    assert again.revision == won.revision
    assert again.superseded_by is not None
    assert again.superseded_by.author == 'b'


async def test_silent_store_ends_undecided_and_can_be_resumed(
    etcd_store: conftest.StoreFactory,
) -> None:
    # The store is out for longer than the operator waits.  The word is
    # "undecided", with an id under which the same accept goes on later.
    async with etcd_store() as one:
        one.platform.faults.outage = True
        first = await versions.accept(
            one.store, MESH, proposed('a'), no_sleep, attempts=2
        )
        assert isinstance(first, versions.Undecided)
        one.platform.faults.outage = False
        again = dataclasses.replace(proposed('a'), write_id=first.write_id)
        won = await versions.accept(one.store, MESH, again, no_sleep)
    assert isinstance(won, versions.Won)


async def test_garbage_under_the_head_key_is_refused(
    etcd_store: conftest.StoreFactory,
) -> None:
    async with etcd_store() as one:
        key = versions.head_key(MESH)
        await one.store.swap(key, 0, [store.Put(key, b'{"text": 1}')])
        head = await versions.read_head(one.store, MESH)
    assert isinstance(head, result.Err)
    assert 'no accepted version' in str(head.err_value)


@pytest.mark.parametrize(
    ('lost', 'outcome'),
    [(0, versions.NotWritten), (1, versions.Undecided)],
    ids=['refused', 'refused-after-a-lost-answer'],
)
async def test_refused_accept_says_whether_it_may_stand(
    lost: int, outcome: type[versions.Acceptance]
) -> None:
    # The store is over its quota.  Nothing was written, so "undecided"
    # would be wrong; but after a write whose answer was lost it is right.
    fake = fakes.FakeStore(fakes.Clock())
    fake.lost['swap'] = lost
    fake.over_quota = not lost

    async def refuse_from_now(seconds: float) -> None:
        fake.over_quota = True

    ended = await versions.accept(fake, MESH, proposed('a'), refuse_from_now)
    assert type(ended) is outcome
    assert fake.calls['swap'] == lost


async def test_value_over_the_stores_limit_is_a_problem_of_the_text(
    randomness: random.Random,
) -> None:
    # The text is within its own limit but does not compress: stored in
    # base64 it would be over a megabyte.  It ended in a traceback.
    fake = fakes.FakeStore(fakes.Clock())
    noise = ''.join(randomness.choices(string.printable, k=1_000_000))
    one = dataclasses.replace(proposed('a'), text=noise)
    with pytest.raises(document.DocumentError, match='shorten it'):
        await versions.accept(fake, MESH, one, no_sleep)
    assert (await versions.read_head(fake, MESH)).unwrap() is None
