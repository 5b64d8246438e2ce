"""Cancelling tasks."""

import asyncio

import pytest

from peridotpost.kernel import tasks


async def test_cancellation_during_clean_up_is_not_lost() -> None:
    # An uplink whose peer left waits for its sending task to finish when
    # the daemon stops and cancels the uplink.  The uplink must end instead
    # of dialling again.
    release = asyncio.Event()

    async def slow_to_end() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await release.wait()

    async def cleaning_up() -> None:
        await tasks.cancel_and_wait(inner)

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
    await tasks.cancel_and_wait(task)
    assert task.done()


async def test_task_that_lost_its_cancellation_is_cancelled_again() -> None:
    # If a peer's response arrives at the moment the daemon stops, waiting
    # for it may return the response and lose the cancellation.  A loop
    # around such a wait must still end.
    response = asyncio.get_running_loop().create_future()
    iterations = 0

    async def dialling() -> None:
        nonlocal iterations
        while not tasks.cancelled():
            iterations += 1
            try:
                await response
            except asyncio.CancelledError:
                continue

    task = asyncio.ensure_future(dialling())
    await asyncio.sleep(0)
    await tasks.cancel_and_wait(task)
    assert task.done()
    assert iterations == 1
