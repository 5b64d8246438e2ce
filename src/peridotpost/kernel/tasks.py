"""Ending tasks without losing a cancellation of one's own."""

import asyncio
from typing import Any


async def end(*ending: asyncio.Future[Any]) -> None:
    """Cancel tasks and wait until they have ended; errors are dropped.

    Awaiting a task under ``suppress(CancelledError)`` would also swallow
    a cancellation of the caller that arrives meanwhile.  That showed as a
    daemon that never stopped: its uplink was cancelled just as its peer
    left, lost the cancellation here and dialled on for ever.
    """
    if not ending:
        return
    for task in ending:
        task.cancel()
    await asyncio.wait(ending)
    for task in ending:
        if not task.cancelled():
            task.exception()
