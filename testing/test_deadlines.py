"""Deadlines expire exactly once, in any order of registration."""

import asyncio
import functools

import pytest

from peridotpost.proxy import deadlines


@pytest.mark.parametrize(
    ('delays', 'kept'),
    [
        pytest.param([0.02], [0], id='a single one'),
        pytest.param([0.05, 0.02], [0, 1], id='a later one first'),
        pytest.param([0.02, 0.02, 0.03], [0, 1, 2], id='two in one slot'),
        pytest.param([0.01, 0.02, 0.03], [2], id='earlier ones discarded'),
        pytest.param([-1.0], [0], id='one that has passed'),
    ],
)
async def test_kept_entries_expire(
    delays: list[float], kept: list[int]
) -> None:
    """Guards against a single request on an idle host never timing out.

    Its time slot was dropped as empty while the timer was being armed.
    """
    timer = deadlines.DeadlineTimer()
    expired: list[int] = []
    all_expired = asyncio.Event()

    def note(index: int) -> None:
        expired.append(index)
        if sorted(expired) == kept:
            all_expired.set()

    start = deadlines.now()
    slots = [
        timer.add(start + delay, index, functools.partial(note, index))
        for index, delay in enumerate(delays)
    ]
    for index, slot in enumerate(slots):
        if index not in kept:
            timer.discard(slot, index)
    await asyncio.wait_for(all_expired.wait(), 20)
    timer.close()
    assert sorted(expired) == kept
