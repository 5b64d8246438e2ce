"""Cancels asyncio tasks without losing a cancellation of the caller."""

import asyncio
from typing import Any

CANCEL_RETRY_S = 1.0


def cancelled() -> bool:
    """Return whether the current task has been cancelled but still runs.

    Loops that run until cancelled check this in each iteration.  Before
    Python 3.12, ``asyncio.wait_for`` returns a result that is ready at the
    moment of cancellation and loses the cancellation; a stopping daemon
    then went on dialling its peers forever.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def cancel_and_wait(*ending: asyncio.Future[Any]) -> None:
    """Cancel tasks and wait for them to finish; ignore their exceptions.

    Awaiting a task under ``suppress(CancelledError)`` would also swallow
    a cancellation of the caller that arrives in the meantime.  A daemon
    never stopped because its uplink was cancelled just as its peer left,
    lost the cancellation here and went on dialling.
    """
    unfinished = set(ending)
    while unfinished:
        # A task may lose a cancellation, see `cancelled`.
        for task in unfinished:
            task.cancel()
        _, unfinished = await asyncio.wait(unfinished, timeout=CANCEL_RETRY_S)
    for task in ending:
        if not task.cancelled():
            task.exception()
