"""Runs one case: exits with 1 if the rule was broken, 0 if it held."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import traceback

from shared_2 import fleet

BROKEN, HELD, NOT_RUN = 1, 0, 2
TIMEOUT_S = 115.0
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
"""Whether the disruption takes place."""


def run(
    record_path: pathlib.Path,
    play: Callable[[fleet.Fleet], Awaitable[list[str]]],
) -> None:
    """Play a case and exit.

    :param record_path: gets what was sent, answered and run.
    :param play: adds hosts, starts the fleet and returns what broke the rule.
    """
    sys.exit(asyncio.run(_run(record_path, play)))


async def _run(
    record_path: pathlib.Path,
    play: Callable[[fleet.Fleet], Awaitable[list[str]]],
) -> int:
    record = fleet.Record(record_path)
    record.note('case', trouble=TROUBLE)
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    played = fleet.Fleet(record)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            broken = await play(played)
    except Exception:
        traceback.print_exc()
        record.note('not run', error=traceback.format_exc(limit=1))
        return NOT_RUN
    finally:
        await played.stop()
    for line in broken:
        record.note('broken', rule=line)
        print(line)
    record.note('result', broken=len(broken))
    print('the rule was broken' if broken else 'the rule held')
    return BROKEN if broken else HELD
