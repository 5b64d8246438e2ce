"""Ending tasks without losing a cancellation of one's own."""

import asyncio
from typing import Any

CANCEL_AGAIN_S = 1.0


def cancelled() -> bool:
    """Whether the current task was cancelled, though it still runs.

    A loop that is to run until it is cancelled asks this each time round.
    ``asyncio.wait_for`` (before Python 3.12) returns a result that is
    ready in the moment of the cancellation, and the cancellation is lost:
    a daemon that was told to stop dialled its peers for ever.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def end(*ending: asyncio.Future[Any]) -> None:
    """Cancel tasks and wait until they have ended; errors are dropped.

    Awaiting a task under ``suppress(CancelledError)`` would also swallow
    a cancellation of the caller that arrives meanwhile.  That showed as a
    daemon that never stopped: its uplink was cancelled just as its peer
    left, lost the cancellation here and dialled on for ever.
    """
    left = set(ending)
    while left:
        # Once is not always enough, see `cancelled`.
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=CANCEL_AGAIN_S)
    for task in ending:
        if not task.cancelled():
            task.exception()
