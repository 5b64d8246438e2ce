"""Ring buffer of the recent events of one process.

It is kept in memory because hosts have no disks; ``peridotctl timeline``
collects and merges the buffers.
"""

import collections
from collections.abc import Callable
import dataclasses

MAX_EVENTS = 4096
"""Capacity: half a minute at 102 calls/s with a few events per call, or
days of state changes alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event of one process.

    :param at: Unix time on the host's clock.
    :param number: sequence number within the process.
    """

    at: float
    number: int
    host: str
    kind: str
    request_id: str
    revision: int
    detail: str


class Timeline:
    """Records events and selects them by request or revision."""

    def __init__(
        self, host: str, wall: Callable[[], float], size: int = MAX_EVENTS
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
        """Return the matching events; '' and 0 match any value."""
        return [
            event
            for event in self.events
            if request_id in ('', event.request_id)
            and revision in (0, event.revision)
        ]
