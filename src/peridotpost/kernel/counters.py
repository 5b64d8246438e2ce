"""Counters first: what a process did, by name, sent on by statsd."""

import collections


class Counters:
    """Adds up counts; a subscriber sends the differences to statsd."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self.totals[name] += amount

    def unsent(self) -> dict[str, int]:
        """Return what came in since the last call."""
        differences = {
            name: total - self.sent[name]
            for name, total in self.totals.items()
            if total != self.sent[name]
        }
        self.sent = collections.Counter(self.totals)
        return differences
