"""Whether this host's target takes connections, and what ran as it ended."""

import asyncio
import collections
from collections.abc import Awaitable
import dataclasses
from typing import Protocol

from peridotpost.decisions import poison
from peridotpost.kernel import hooks
from peridotpost.kernel import lines
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines
from peridotpost.proxy import upstream

DOWN_PAUSE_S = 0.1
"""First pause between two tries to reach a target that refuses
connections; doubles up to ``MAX_DOWN_PAUSE_S``."""
MAX_DOWN_PAUSE_S = 0.8
CRASH_WINDOW_S = 1.0
"""A lost request is taken for a cause of the crash if the target refuses
connections within this time; a restart takes longer."""
MAX_LOSSES = 64
"""More than a target has slots; older ones are out of the window."""


class Owner(Protocol):
    """The guard, as far as connections go."""

    def expects_target(self) -> bool:
        """Whether the target is announced and may get work."""

    def connect(self) -> Awaitable[upstream.TargetConnection]:
        """Open a connection; raises ``OSError``."""

    def keep(self, connection: upstream.TargetConnection) -> None:
        """Take a connection that was opened to see whether it can be."""

    def target_down(self) -> None:
        """The target takes no connections any more."""

    def target_up(self) -> None:
        """The target takes connections again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request whose answer was lost, and when."""

    at: float
    order: forwarding.Order


class Reachability:
    """Notes lost answers and refused connections; tries until it is back.

    :param crashed: fires with the fingerprints of what was lost just
        before the target refused connections.
    """

    def __init__(self, owner: Owner, log: lines.LineLog) -> None:
        self.owner = owner
        self.log = log
        self.down = False
        self.pause_s = DOWN_PAUSE_S
        self.losses: collections.deque[Loss] = collections.deque(
            maxlen=MAX_LOSSES
        )
        self.crashed: hooks.Hook[tuple[str, ...]] = hooks.Hook('crash')

    def answer_lost(self, order: forwarding.Order) -> None:
        """Note a request whose answer was lost; see whether it crashed."""
        self.losses.append(Loss(deadlines.now(), order))
        self._check()

    def replaced(self) -> None:
        """Another target was announced, and is taken to be up."""
        self.down = False

    def refused(self, error: OSError) -> None:
        """The target takes no connection: it crashed or is gone."""
        now = deadlines.now()
        suspects = tuple(
            poison.fingerprint(
                one.order.method, one.order.target, one.order.body
            )
            for one in self.losses
            if now - one.at <= CRASH_WINDOW_S
        )
        self.losses.clear()
        if suspects:
            self.crashed.fire(suspects)
        if self.down:
            return
        self.down = True
        self.pause_s = DOWN_PAUSE_S
        self.log.state(
            'target', to='unreachable', error=str(error) or 'timeout'
        )
        self.owner.target_down()
        self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.pause_s, self._check)
        self.pause_s = min(MAX_DOWN_PAUSE_S, 2 * self.pause_s)

    def _check(self) -> None:
        """See whether the target takes connections."""
        asyncio.ensure_future(self._try_connection(self.down))

    async def _try_connection(self, was_down: bool) -> None:
        if not self.owner.expects_target():
            return
        try:
            connection = await self.owner.connect()
        except OSError as error:
            self.refused(error)
            if was_down:
                self._check_later()
            return
        self.owner.keep(connection)
        if was_down and self.down:
            self.down = False
            self.owner.target_up()
