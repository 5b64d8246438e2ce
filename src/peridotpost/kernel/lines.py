"""Log lines as JSON on standard output, bounded and never waited for.

A process under load must not spend its processor on its log, nor stand
still because nobody reads it.  Lines about requests come out of a token
bucket; what was left out is counted and told with the next line.  A pipe
that is full drops lines, counted too.
"""

from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

from peridotpost.decisions import logbudget


class LineLog:
    """Writes one JSON object a line.

    :param host: named in each line.
    """

    def __init__(
        self,
        host: str,
        descriptor: int = 1,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.host = host
        self.descriptor = descriptor
        self.wall = wall
        self.encoder = msgspec.json.Encoder()
        self.budget = logbudget.LineBudget()
        self.left_out = 0
        self.dropped = 0
        self.cut = False
        if descriptor >= 0:
            os.set_blocking(descriptor, False)

    def state(self, what: str, **fields: Any) -> None:
        """Log a change of what the process is or believes."""
        self.tell(what, fields)

    def request(self, decision: str, **fields: Any) -> None:
        """Log a decision on a request, if there is room for the line."""
        if self.has_room(logbudget.Weight.ENDING):
            self.tell(decision, fields)

    def has_room(self, weight: logbudget.Weight) -> bool:
        """Take the room for a line about a request; without, count it."""
        if self.budget.takes(weight, self.wall()):
            return True
        self.left_out += 1
        return False

    def has_room_for_served(self, now: float) -> bool:
        """Take the room for the one served request of a second.

        :param now: seconds of a steady clock.
        """
        return self.budget.takes_served(now)

    def tell(self, what: str, fields: dict[str, Any]) -> None:
        """Write a line; for one about a request, room was taken."""
        line: dict[str, Any] = {
            'at': round(self.wall(), 3),
            'host': self.host,
            'event': what,
        }
        line.update(fields)
        if self.left_out:
            line['left_out'] = self.left_out
        if self.dropped:
            line['dropped'] = self.dropped
        raw = self.encoder.encode(line) + b'\n'
        if self.cut:
            raw = b'\n' + raw
        if self.descriptor < 0:
            return
        try:
            written = os.write(self.descriptor, raw)
        except OSError:
            # Nobody reads, or the reader is gone; the count tells.
            self.dropped += 1
            return
        self.cut = written < len(raw)
        if not self.cut:
            self.left_out = 0
            self.dropped = 0
        else:
            self.dropped += 1
