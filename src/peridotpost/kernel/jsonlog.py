"""Non-blocking, rate-limited JSON log on standard output.

Logging must neither use up the CPU of a loaded process nor block it when
nobody reads the pipe.  A token bucket limits lines about requests, and
lines are dropped while the pipe is full.  The next line that is written
reports how many were left out or dropped.
"""

from collections.abc import Callable
import os
import time
from typing import Any

import msgspec

from peridotpost.decisions import logbudget


class JsonLog:
    """Writes one JSON object per line.

    :param host: host name that is part of each line.
    :param descriptor: file descriptor to write to; none if negative.
    :param wall: returns the Unix time.
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
        self.line_truncated = False
        if descriptor >= 0:
            os.set_blocking(descriptor, False)

    def state(self, what: str, **fields: Any) -> None:
        """Log a state change; not rate-limited."""
        self.write(what, fields)

    def request(self, decision: str, **fields: Any) -> None:
        """Log the decision on a request if the rate limit allows."""
        if self.try_reserve(logbudget.LinePriority.OUTCOME):
            self.write(decision, fields)

    def try_reserve(self, priority: logbudget.LinePriority) -> bool:
        """Take tokens for a line about a request.

        Returns False and counts the line as left out if there are too few.
        """
        if self.budget.try_take(priority, self.wall()):
            return True
        self.left_out += 1
        return False

    def try_reserve_served(self, now: float) -> bool:
        """Reserve the line for the one served request logged per second.

        :param now: seconds of a monotonic clock.
        """
        return self.budget.try_take_served(now)

    def write(self, what: str, fields: dict[str, Any]) -> None:
        """Write a line; the caller has reserved it if it is rate-limited."""
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
        if self.line_truncated:
            raw = b'\n' + raw
        if self.descriptor < 0:
            return
        try:
            written = os.write(self.descriptor, raw)
        except OSError:
            # The pipe is full, or its reader is gone.
            self.dropped += 1
            return
        self.line_truncated = written < len(raw)
        if not self.line_truncated:
            self.left_out = 0
            self.dropped = 0
        else:
            self.dropped += 1
