"""Waits for conditions on in-process objects, without polling.

Such a condition can change only while the event loop runs callbacks, so it
is checked after each iteration of the loop; an idle loop still sleeps.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import cast

TIMEOUT_S = 30.0
"""Limits a wait that never succeeds; affects no passing test."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A pending wait and its condition."""

    predicate: Callable[[], bool]
    future: 'asyncio.Future[None]'

    def check(self) -> None:
        """Complete the future if the condition is true or raises."""
        try:
            if self.predicate():
                self.future.set_result(None)
        except Exception as error:
            self.future.set_exception(error)


class ConditionEventLoop(asyncio.SelectorEventLoop):
    """An event loop that checks the waiters after each iteration."""

    def __init__(self) -> None:
        super().__init__()
        self.waiters: list[Waiter] = []

    def _run_once(self) -> None:
        super()._run_once()  # type: ignore[misc]
        for waiter in self.waiters:
            waiter.check()
        self.waiters = [
            pending for pending in self.waiters if not pending.future.done()
        ]


class ConditionEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes ``asyncio.run`` create a `ConditionEventLoop`."""

    _loop_factory = ConditionEventLoop


async def until(predicate: Callable[[], bool], description: str = '') -> None:
    """Wait until `predicate` returns true.

    :param description: completes the message of a wait that times out.
    """
    if predicate():
        return
    loop = cast(ConditionEventLoop, asyncio.get_running_loop())
    waiter = Waiter(predicate, loop.create_future())
    loop.waiters.append(waiter)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await waiter.future
    except TimeoutError:
        raise AssertionError(
            f'timed out waiting until {description}'
        ) from None
    finally:
        waiter.future.cancel()
