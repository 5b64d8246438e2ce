"""Ending tasks."""

import asyncio

import pytest

from peridotpost.kernel import tasks


async def test_cancellation_during_clean_up_is_not_lost() -> None:
    # A peer leaves; the uplink's clean-up waits for its sending task.  In
    # that moment the daemon stops and cancels the uplink.  The uplink must
    # end, not go back to dialling.
    release = asyncio.Event()

    async def slow_to_end() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await release.wait()

    async def cleaning_up() -> None:
        await tasks.end(inner)

    inner = asyncio.ensure_future(slow_to_end())
    await asyncio.sleep(0)
    outer = asyncio.ensure_future(cleaning_up())
    await asyncio.sleep(0)
    outer.cancel()
    release.set()
    with pytest.raises(asyncio.CancelledError):
        await outer


async def test_error_of_the_ended_task_is_dropped() -> None:
    async def failing() -> None:
        raise ValueError

    task = asyncio.ensure_future(failing())
    await asyncio.sleep(0)
    await tasks.end(task)
    assert task.done()


async def test_task_that_lost_its_cancellation_is_ended_all_the_same() -> None:
    # A peer's answer is there in the very moment in which the daemon
    # stops; the wait for it returns the answer and the cancellation is
    # gone.  A loop round such a wait must still end.
    answered = asyncio.get_running_loop().create_future()
    rounds = 0

    async def dialling() -> None:
        nonlocal rounds
        while not tasks.cancelled():
            rounds += 1
            try:
                await answered
            except asyncio.CancelledError:
                continue

    task = asyncio.ensure_future(dialling())
    await asyncio.sleep(0)
    await tasks.end(task)
    assert task.done()
    assert rounds == 1
