"""Tracks whether the target accepts connections, and detects its crashes."""

import asyncio
import collections
from collections.abc import Awaitable
import dataclasses
from typing import Protocol

from peridotpost.decisions import poison
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines
from peridotpost.proxy import upstream

MIN_RECONNECT_PAUSE_S = 0.1
"""Initial delay between attempts to connect to a target that refuses
connections; doubles up to ``MAX_RECONNECT_PAUSE_S``."""
MAX_RECONNECT_PAUSE_S = 0.8
CRASH_WINDOW_S = 1.0
"""A request whose response was lost is suspected of a crash if the target
refuses connections within this time; a restart takes longer."""
MAX_LOST_ANSWERS = 64
"""More than the slots of a target, so any dropped entries are older than
``CRASH_WINDOW_S``."""


class ReachabilityOwner(Protocol):
    """The part of the guard that manages connections."""

    def expects_target(self) -> bool:
        """Whether the target is announced as ready and may be given work."""

    def connect(self) -> Awaitable[upstream.TargetConnection]:
        """Open a connection to the target.

        :raises OSError: the connection could not be opened.
        """

    def adopt_connection(self, connection: upstream.TargetConnection) -> None:
        """Add a connection opened as a reachability check to the idle pool."""

    def target_down(self) -> None:
        """Handle that the target stopped accepting connections."""

    def target_up(self) -> None:
        """Handle that the target accepts connections again."""


@dataclasses.dataclass(frozen=True, slots=True)
class LostAnswer:
    """The fingerprint of a request whose response was lost, and when."""

    at: float
    fingerprint: str


class Reachability:
    """Tracks lost responses and failed connects, and retries connecting.

    :param crashed: fired with the fingerprints of requests whose responses
        were lost shortly before the target refused connections.
    """

    def __init__(self, owner: ReachabilityOwner, log: jsonlog.JsonLog) -> None:
        self.owner = owner
        self.log = log
        self.down = False
        self.reconnect_pause_s = MIN_RECONNECT_PAUSE_S
        self.lost_answers: collections.deque[LostAnswer] = collections.deque(
            maxlen=MAX_LOST_ANSWERS
        )
        self.crashed: hooks.Hook[tuple[str, ...]] = hooks.Hook('crash')

    def answer_lost(self, order: forwarding.Order) -> None:
        """Record a lost response and check whether the target crashed."""
        fingerprint = poison.fingerprint(
            order.method, order.target, order.body
        )
        self.lost_answers.append(LostAnswer(deadlines.now(), fingerprint))
        self._check_now()

    def instance_replaced(self) -> None:
        """Assume that a newly announced instance is reachable."""
        self.down = False

    def connect_failed(self, error: OSError) -> None:
        """Handle a failed connect, which means a crashed or gone target."""
        now = deadlines.now()
        suspects = tuple(
            lost.fingerprint
            for lost in self.lost_answers
            if now - lost.at <= CRASH_WINDOW_S
        )
        self.lost_answers.clear()
        if suspects:
            self.crashed.fire(suspects)
        self._mark_down(str(error) or 'timeout')

    def answer_too_long(self) -> None:
        """Ask a target again only after a pause: its answer had no end."""
        self._mark_down('answer without end')

    def _mark_down(self, error: str) -> None:
        if self.down:
            return
        self.down = True
        self.reconnect_pause_s = MIN_RECONNECT_PAUSE_S
        self.log.state('target', to='unreachable', error=error)
        self.owner.target_down()
        self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.reconnect_pause_s, self._check_now)
        self.reconnect_pause_s = min(
            MAX_RECONNECT_PAUSE_S, 2 * self.reconnect_pause_s
        )

    def _check_now(self) -> None:
        """Start a connection attempt."""
        asyncio.ensure_future(self._try_connection(self.down))

    async def _try_connection(self, was_down: bool) -> None:
        if not self.owner.expects_target():
            return
        try:
            connection = await self.owner.connect()
        except OSError as error:
            self.connect_failed(error)
            if was_down:
                self._check_later()
            return
        self.owner.adopt_connection(connection)
        if was_down and self.down:
            self.down = False
            self.owner.target_up()
