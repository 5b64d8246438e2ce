"""Max-min fair shares of a target's slots among customers.

Load pattern: one of 83 customers of very uneven size sends nine times its
usual rate for some seconds.  First come, first served, it gets the slots that
it asks for, and the requests of all others wait or are refused with its own.

- The fair level is the one at which the customers' demands, each cut off at
  it, fill the slots.  Customers that ask for less come first; what they leave
  goes to the others.
- Of the others, those that used less recently come first, in steps of a
  quarter of the level, so that they get equal parts whatever they ask for.
- Shares are computed for each rank, from the slots that more urgent ranks and
  requests without a customer leave.  Such requests always come first.
- Demand and use decay with a time constant of ``DECAY_S`` and are lost with
  the daemon.  Each target sees a sample of all callers, so shares need no
  messages.

While demand fits into the slots, all customers are equal.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

FAIR_SHARES = 1
"""0 turns shares off: requests are ordered as if no customer were known."""
DECAY_S = 0.5
"""After 2 s a fiftieth of past demand is left.  With 6 slots and runs of 160
ms, half a second holds about 20 runs; fewer make the level too noisy."""
MIN_CAPACITY_SHARE = 0.05
"""Share of the slots that a rank is assumed to have at least, so that its
customers are still told apart while more urgent ranks take all slots."""
WITHIN_SHARE = 0.0
OVER_SHARE = 0.25
STEP = 0.05
STEPS_PER_LEVEL = 4
MAX_STEPS = 9
LATE = 0.75
"""Offsets to the rank of a request: customers that ask for at most the fair
level, those that ask for more, by steps of their use, and late requests of any
customer.  Less than 1, so that requests stay before those of the next rank.
With late requests of small customers before those in time of a large one,
three times as many answers were late."""
MAX_EXPONENT = 20.0
NEGLIGIBLE_S = 1e-6


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the level at which demands, each cut off at it, fill `capacity`.

    :return: infinity if all demands fit.
    """
    ascending = sorted(demands)
    left = capacity
    for index, demand in enumerate(ascending):
        level = left / (len(ascending) - index)
        if demand > level:
            return max(0.0, level)
        left -= demand
    return math.inf


@dataclasses.dataclass(slots=True)
class RankWork:
    """Decayed work of one rank, in seconds of run time, by customer.

    Values are scaled by ``CustomerShares.scale``, the same factor for all.
    """

    asked: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    started: collections.defaultdict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )


class CustomerShares:
    """Demand and use of one target's slots, by rank and customer."""

    def __init__(self) -> None:
        self.by_rank: dict[int, RankWork] = {}
        self.scaled_at = 0.0
        self.levels: dict[tuple[int, float, float], float] = {}
        self.has_customers = False

    def asked(
        self, rank: int, customer: str, run_s: float, now: float
    ) -> None:
        """Record a request that is expected to run for `run_s`."""
        self.has_customers = self.has_customers or bool(customer)
        if self.has_customers:
            scaled_s = run_s * self._scale(now)
            self._work(rank).asked[customer] += scaled_s
            self.levels.clear()

    def started(
        self, rank: int, customer: str, run_s: float, now: float
    ) -> None:
        """Record the start of a run that is expected to take `run_s`."""
        if self.has_customers:
            scaled_s = run_s * self._scale(now)
            self._work(rank).started[customer] += scaled_s
            self.levels.clear()

    def offset(
        self,
        rank: int,
        customer: str,
        queued_s: float,
        slots: float,
        now: float,
    ) -> float:
        """Return the offset to the rank of a customer's request.

        :param queued_s: work of the customer that is queued ahead in this
            rank.
        """
        if not customer or not FAIR_SHARES:
            return WITHIN_SHARE
        scale = self._scale(now)
        level = self.levels.get((rank, slots, now))
        if level is None:
            level = self._level(rank, slots * DECAY_S * scale)
            self.levels[rank, slots, now] = level
        work = self._work(rank)
        if work.asked[customer] <= level:
            return WITHIN_SHARE
        used = work.started[customer] + queued_s * scale
        if level <= 0.0:
            return OVER_SHARE + STEP * MAX_STEPS
        steps = int(STEPS_PER_LEVEL * used / level)
        return OVER_SHARE + STEP * min(MAX_STEPS, steps)

    def _level(self, rank: int, capacity: float) -> float:
        left = capacity - sum(
            sum(work.started.values())
            for other, work in self.by_rank.items()
            if other < rank
        )
        asked = self._work(rank).asked
        left -= asked.get('', 0.0)
        demands = [asked[customer] for customer in asked if customer]
        return max_min_level(demands, max(left, MIN_CAPACITY_SHARE * capacity))

    def _work(self, rank: int) -> RankWork:
        work = self.by_rank.get(rank)
        if work is None:
            work = self.by_rank[rank] = RankWork()
        return work

    def _scale(self, now: float) -> float:
        """Return the factor of a value that is recorded now.

        New values grow instead of old ones shrinking, so that an event need
        not touch every customer.
        """
        exponent = (now - self.scaled_at) / DECAY_S
        if exponent > MAX_EXPONENT:
            self.levels.clear()
            self._rescale(math.exp(-exponent))
            self.scaled_at = now
            return 1.0
        return math.exp(exponent)

    def _rescale(self, factor: float) -> None:
        """Scale all values down and drop those that no longer matter."""
        for rank, work in list(self.by_rank.items()):
            for values in (work.asked, work.started):
                for customer in list(values):
                    values[customer] *= factor
                    if values[customer] < NEGLIGIBLE_S:
                        del values[customer]
            if not work.asked and not work.started:
                del self.by_rank[rank]
