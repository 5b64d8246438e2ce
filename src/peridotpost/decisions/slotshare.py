"""Share of a target's slots that more urgent work takes.

Load pattern: a target serves calls that a few requests depend on as well as
long, less urgent requests; the calls alone take a third of its slots.  A long
request waits not only for the work queued ahead of it, but also for calls that
arrive while it waits.  Without accounting for these it waits half as long
again as expected: at 1.2 times the load, 26% of the answers to requests of
half a second were late beside calls of a tenth of a second.

Started work decays with a time constant of ``DECAY_S``, which is long compared
with a run and with the pauses between the requests of a caller, and short
compared with a surge.
"""

import dataclasses
import math

DECAY_S = 1.0
MAX_SHARE = 0.95
"""Leaves at least 5% to less urgent work: its expected wait stays finite, and
the share can decrease again."""
MIN_OBJECTIVE_S = 0.001
"""Shorter objectives count as this long; 0 has no logarithm."""


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Precedence:
    """Sort key of a class of requests; the smallest is started first.

    :param rank: including the offset by the customer's share.
    :param late: whether the objective will be missed.
    :param objective_exponent: binary exponent of the objective in seconds.
        If one route's objective is less than half of another's in the same
        rank, its requests start before nearly all queued ones of the other.
    """

    rank: float
    late: bool
    objective_exponent: int = 0


def precedence_of(rank: float, late: bool, objective_s: float) -> Precedence:
    """Return the precedence of a request with this objective."""
    if late:
        return Precedence(rank, late)
    exponent = math.floor(math.log2(max(MIN_OBJECTIVE_S, objective_s)))
    return Precedence(rank, late, exponent)


@dataclasses.dataclass(slots=True)
class DecayingWork:
    """Exponentially decaying sum of expected run times, in seconds."""

    work_s: float = 0.0
    at: float = 0.0

    def value_s(self, now: float) -> float:
        age_s = max(0.0, now - self.at)
        return self.work_s * math.exp(-age_s / DECAY_S)

    def add(self, run_s: float, now: float) -> None:
        self.work_s = self.value_s(now) + run_s
        self.at = now


class SlotShares:
    """Recently started work of one target, by precedence."""

    def __init__(self) -> None:
        self.work_by_precedence: dict[Precedence, DecayingWork] = {}

    def started(
        self, precedence: Precedence, run_s: float, now: float
    ) -> None:
        """Record the start of a run that is expected to take `run_s`."""
        self.work_by_precedence.setdefault(precedence, DecayingWork()).add(
            run_s, now
        )

    def share_ahead_of(
        self, precedence: Precedence, slots: float, now: float
    ) -> float:
        """Return the share of `slots` taken by work ahead of `precedence`."""
        work_s = sum(
            work.value_s(now)
            for other, work in self.work_by_precedence.items()
            if other < precedence
        )
        return min(MAX_SHARE, work_s / DECAY_S / max(1, slots))
