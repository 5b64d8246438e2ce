"""The event time line of one process, a bounded ring in memory.

Hosts have no disks; ``peridotctl timeline`` collects and merges the rings.
"""

import collections
from collections.abc import Callable
import dataclasses

RING_EVENTS = 4096
"""Events kept; at 102 calls/s with few events a call, half a minute of
calls, or days of state changes alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that happened at one process.

    :param at: seconds since 1970 by the host's clock.
    :param number: rises by one with each event of the process.
    """

    at: float
    number: int
    host: str
    kind: str
    request_id: str
    revision: int
    detail: str


class Timeline:
    """Records events and gives back those that match."""

    def __init__(
        self, host: str, wall: Callable[[], float], size: int = RING_EVENTS
    ) -> None:
        self.host = host
        self.wall = wall
        self.events: collections.deque[Event] = collections.deque(maxlen=size)
        self.count = 0

    def record(
        self,
        kind: str,
        detail: str = '',
        *,
        request_id: str = '',
        revision: int = 0,
    ) -> None:
        self.count += 1
        self.events.append(
            Event(
                self.wall(),
                self.count,
                self.host,
                kind,
                request_id,
                revision,
                detail,
            )
        )

    def select(
        self, *, request_id: str = '', revision: int = 0
    ) -> list[Event]:
        """Return the kept events; empty or 0 matches everything."""
        return [
            event
            for event in self.events
            if request_id in ('', event.request_id)
            and revision in (0, event.revision)
        ]
