"""How long runs of a route take on one target, and how much they vary.

Load pattern: requests of several routes share a target, and their runs
differ by a factor of ten; a target slows down, or is replaced by a slower
one.  With one mean for all routes a queue of ten short calls counts as much
as one of ten long requests: long ones are taken in that end late, and short
ones are refused that would have had a slot at once.

A route that has not run there yet is judged by its objective: operators ask
for three to four times the mean run (2.7 to 4.2 in the fleets known).  By the
mean of the others a call of 30 ms behind requests of 300 is refused until one
finds a slot free by chance; of the refusals of calls that a heavy day logged,
half were so.

Mean and mean deviation are moving averages with TCP's weight of 1/8: what
was a dozen runs ago has faded, one odd run shifts little.
"""

import dataclasses

EWMA_WEIGHT = 1 / 8
DEFAULT_RUN_S = 0.06
"""Taken until something has run: a usual time of the services known."""
INITIAL_RUN_SHARE = 0.3
"""Of the objective, until the route has run."""
INITIAL_DEVIATION_SHARE = 0.5
"""Of the first run's time, as TCP takes it for a first round trip."""


@dataclasses.dataclass(slots=True)
class RunTime:
    """Runs of one route; seconds."""

    mean_s: float
    deviation_s: float

    def add(self, held_s: float) -> None:
        """Take a run that held its slot for so long."""
        off_s = abs(held_s - self.mean_s)
        self.deviation_s += EWMA_WEIGHT * (off_s - self.deviation_s)
        self.mean_s += EWMA_WEIGHT * (held_s - self.mean_s)


class RunTimes:
    """Runs of one target, by route.

    :param mean_s: over all routes.
    :param mean_by_route: the same figures as `by_route` holds, for those
        who compare targets.
    :param guessed_by_route: of routes that came and have not run yet.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_RUN_S
        self.by_route: dict[str, RunTime] = {}
        self.mean_by_route: dict[str, float] = {}
        self.estimate_by_route: dict[str, float] = {}

    def add(self, route: str, held_s: float) -> None:
        """Take a run of a route."""
        known = self.by_route.get(route)
        if known is None:
            first = INITIAL_DEVIATION_SHARE * held_s
            known = self.by_route[route] = RunTime(held_s, first)
            self.estimate_by_route.pop(route, None)
        known.add(held_s)
        self.mean_by_route[route] = known.mean_s
        self.mean_s += EWMA_WEIGHT * (held_s - self.mean_s)

    def note_arrival(self, route: str, objective_s: float) -> None:
        """Guess the time of a route that has not run yet.

        The largest guess holds: who comes again has less than the route's
        objective left, and says nothing about the run.
        """
        if route in self.by_route:
            return
        guess_s = INITIAL_RUN_SHARE * objective_s
        known_s = self.estimate_by_route.get(route, 0.0)
        if guess_s > known_s:
            self.estimate_by_route[route] = guess_s

    def expected_s(self, route: str) -> float:
        """Return the time of the next run of a route."""
        known_s = self.mean_by_route.get(route)
        if known_s is not None:
            return known_s
        return self.estimate_by_route.get(route, self.mean_s)

    def deviation_s(self, route: str) -> float:
        """Return by how much runs of a route miss the expectation."""
        known = self.by_route.get(route)
        if known is None:
            return INITIAL_DEVIATION_SHARE * self.expected_s(route)
        return known.deviation_s
