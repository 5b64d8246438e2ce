"""Recognition of ranks that a full target serves too seldom.

Load pattern: a customer of high priority, or an urgent route, asks for more
than all slots of a target for a long time.  By rank alone, less urgent
requests would get none of them until that ends.

- For each rank, a target counts the requests that it started and those that
  it was the last to refuse.  A rank is starved while its share of started
  requests is below ``FLOOR`` times that of all ranks together.
- A request of a starved rank is queued before those of other ranks; a few
  of them restore the share, and the order of the others remains.

Counts decay with a time constant of a second and are lost with the daemon.
"""

import dataclasses

from peridotpost.decisions import slotshare

FLOOR = 0.3
"""A quarter is required; the rest is for requests that are started in vain or
refused later.  0 turns this off."""
BEFORE_ALL = -1
"""Rank that requests of a starved rank are queued with: after calls of runs,
by the shares of their customers, and before all other requests."""


@dataclasses.dataclass(slots=True)
class RankCounts:
    """Decaying numbers of requests of one rank."""

    asked: slotshare.DecayingWork = dataclasses.field(
        default_factory=slotshare.DecayingWork
    )
    served: slotshare.DecayingWork = dataclasses.field(
        default_factory=slotshare.DecayingWork
    )


class ServedShares:
    """Shares of requests that one target served, by rank."""

    def __init__(self) -> None:
        self.by_rank: dict[int, RankCounts] = {}

    def started(self, rank: int, now: float) -> None:
        """Record a request that was started."""
        counts = self.by_rank.setdefault(rank, RankCounts())
        counts.asked.add(1.0, now)
        counts.served.add(1.0, now)

    def refused(self, rank: int, now: float) -> None:
        """Record a request that was refused and tries no other target."""
        self.by_rank.setdefault(rank, RankCounts()).asked.add(1.0, now)

    def is_starved(self, rank: int, now: float) -> bool:
        """Whether requests of `rank` are served too seldom."""
        own = self.by_rank.get(rank)
        if own is None or not FLOOR:
            return False
        all_counts = self.by_rank.values()
        asked = sum(counts.asked.value_s(now) for counts in all_counts)
        served = sum(counts.served.value_s(now) for counts in all_counts)
        own_served = own.served.value_s(now) * asked
        return own_served < FLOOR * served * own.asked.value_s(now)
