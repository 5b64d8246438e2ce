"""Ending tasks without losing a cancellation of one's own."""

import asyncio
from typing import Any


async def end(task: asyncio.Future[Any]) -> None:
    """Cancel `task` and wait until it has ended; its error is dropped.

    Awaiting the task under ``suppress(CancelledError)`` would also swallow
    a cancellation of the caller that arrives meanwhile.  That showed as a
    daemon that never stopped: its uplink was cancelled just as its peer
    left, lost the cancellation here and dialled on for ever.
    """
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.exception()
