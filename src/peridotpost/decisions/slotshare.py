"""Which part of a target's slots goes to the more urgent.

Load pattern: calls that a few requests depend on, and long requests that
are less urgent, share a target; the calls alone take a third of its slots.
What waits ahead of a long request when it comes is not all that goes before
it: calls that come while it waits do too.  Without their part, it waits
half as long again as was expected: at 1.2 times the load 26% of the answers
to requests of half a second were late beside calls of a tenth.

Work that was started is remembered for about ``MEMORY_S``: long against a
run and against the pauses between the requests of a caller, short against
a surge.
"""

import dataclasses
import math

DECAY_S = 1.0
MAX_SHARE = 0.95
"""The less urgent are taken to get a twentieth at least, so that their wait
stays a number and the share can shrink again."""


MIN_OBJECTIVE_S = 0.001


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Precedence:
    """Who goes first: the least one.

    :param late: whether the objective will be missed.
    :param octave: power of two of the objective in seconds.  Of two routes
        of a rank the one with less than half of the other's objective goes
        before nearly all that waits of the other.
    """

    rank: int
    late: bool
    objective_exponent: int = 0


def precedence_of(rank: int, late: bool, objective_s: float) -> Precedence:
    """Return the turn of a request that has `objective_s` left."""
    if late:
        return Precedence(rank, late)
    octave = math.floor(math.log2(max(MIN_OBJECTIVE_S, objective_s)))
    return Precedence(rank, late, octave)


@dataclasses.dataclass(slots=True)
class DecayingWork:
    """Seconds of runs started lately."""

    work_s: float = 0.0
    at: float = 0.0

    def value_s(self, now: float) -> float:
        age_s = max(0.0, now - self.at)
        return self.work_s * math.exp(-age_s / DECAY_S)

    def add(self, run_s: float, now: float) -> None:
        self.work_s = self.value_s(now) + run_s
        self.at = now


class SlotShares:
    """What was started on one target lately."""

    def __init__(self) -> None:
        self.work_by_precedence: dict[Precedence, DecayingWork] = {}

    def started(self, turn: Precedence, run_s: float, now: float) -> None:
        """Note that a run begins which is expected to take `run_s`."""
        self.work_by_precedence.setdefault(turn, DecayingWork()).add(run_s, now)

    def before(self, turn: Precedence, slots: int, now: float) -> float:
        """Return the part of `slots` that what goes before `turn` takes."""
        work_s = sum(
            work.value_s(now)
            for other, work in self.work_by_precedence.items()
            if other < turn
        )
        return min(MAX_SHARE, work_s / DECAY_S / max(1, slots))
