"""Named event counters of a process."""

import collections


class Counters:
    """Running totals by name, and the increments not yet exported."""

    def __init__(self) -> None:
        self.totals: collections.Counter[str] = collections.Counter()
        self.exported: collections.Counter[str] = collections.Counter()

    def add(self, name: str, amount: int = 1) -> None:
        self.totals[name] += amount

    def take_unsent(self) -> dict[str, int]:
        """Return the increments since the last call."""
        differences = {
            name: total - self.exported[name]
            for name, total in self.totals.items()
            if total != self.exported[name]
        }
        self.exported = collections.Counter(self.totals)
        return differences
