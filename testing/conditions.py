"""Waiting for a condition on objects of this process, without polling.

Such a condition can only come true in a turn of the loop, so it is looked
at after each turn; the loop sleeps when nothing happens, as ever.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import cast

PATIENCE_S = 30.0
"""Bounds a wait that is in vain; no verdict hangs on it otherwise."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """Who waits for what."""

    holds: Callable[[], bool]
    done: 'asyncio.Future[None]'

    def look(self) -> None:
        """Wake whoever waits if the condition holds, or fails."""
        try:
            if self.holds():
                self.done.set_result(None)
        except Exception as error:
            self.done.set_exception(error)


class TurnLoop(asyncio.SelectorEventLoop):
    """A loop that looks at the waiters after each of its turns."""

    def __init__(self) -> None:
        super().__init__()
        self.waiters: list[Waiter] = []

    def _run_once(self) -> None:
        super()._run_once()  # type: ignore[misc]
        for waiter in self.waiters:
            waiter.look()
        self.waiters = [one for one in self.waiters if not one.done.done()]


class TurnPolicy(asyncio.DefaultEventLoopPolicy):
    """Has ``asyncio.run`` make such loops."""

    _loop_factory = TurnLoop


async def until(holds: Callable[[], bool], what: str = '') -> None:
    """Wait until `holds`.

    :param what: for the message of a wait in vain.
    """
    if holds():
        return
    loop = cast(TurnLoop, asyncio.get_running_loop())
    waiter = Waiter(holds, loop.create_future())
    loop.waiters.append(waiter)
    try:
        async with asyncio.timeout(PATIENCE_S):
            await waiter.done
    except TimeoutError:
        raise AssertionError(f'waited in vain until {what}') from None
    finally:
        waiter.done.cancel()
