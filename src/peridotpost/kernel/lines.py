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
        self._write(what, fields)

    def request(
        self,
        decision: str,
        weight: logbudget.Weight = logbudget.Weight.ENDING,
        **fields: Any,
    ) -> None:
        """Log a decision on a request, if there is room for the line."""
        if self.budget.takes(weight, self.wall()):
            self._write(decision, fields)
        else:
            self.left_out += 1

    def served(self, now: float, **fields: Any) -> None:
        """Log a request that was served, one in a second.

        :param now: seconds of a steady clock.
        """
        if self.budget.takes_served(now):
            self._write('served', fields)

    def _write(self, what: str, fields: dict[str, Any]) -> None:
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
