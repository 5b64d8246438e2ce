"""Mean and deviation of run times on one target, by route.

Load pattern: requests of several routes share a target, and their run times
differ by a factor of ten; a target slows down or is replaced by a slower one.
With one mean for all routes, a queue of ten short calls counts as much as one
of ten long requests: long ones are queued that end late, and short ones are
refused that would have got a slot at once.

For a route without a run on the target, the estimate derives from its
objective: operators set objectives of three to four times the mean run (2.7 to
4.2 in known fleets).  With the mean of the other routes, a call of 30 ms
behind requests of 300 ms is refused until one finds a free slot by chance;
this caused half of the refused calls in the log of one heavily loaded day.

Mean and mean deviation are moving averages with TCP's weight of 1/8: a run
loses its influence after about a dozen others, and a single outlier shifts the
estimate little.
"""

import dataclasses

EWMA_WEIGHT = 1 / 8
DEFAULT_RUN_S = 0.06
"""Estimate before the first run; typical of known services."""
INITIAL_RUN_SHARE = 0.3
"""Share of the objective that is assumed before a route's first run."""
INITIAL_DEVIATION_SHARE = 0.5
"""Share of the first run time, as in TCP's first round-trip estimate."""


@dataclasses.dataclass(slots=True)
class RunTime:
    """Moving averages of one route's run time."""

    mean_s: float
    deviation_s: float

    def add(self, held_s: float) -> None:
        """Record a run that held its slot for `held_s`."""
        error_s = abs(held_s - self.mean_s)
        self.deviation_s += EWMA_WEIGHT * (error_s - self.deviation_s)
        self.mean_s += EWMA_WEIGHT * (held_s - self.mean_s)


class RunTimes:
    """Run times of one target, by route.

    :param mean_s: mean over all routes.
    :param mean_by_route: means of `by_route`, for comparing targets.
    :param estimate_by_route: estimates for routes without a completed run.
    """

    def __init__(self) -> None:
        self.mean_s = DEFAULT_RUN_S
        self.by_route: dict[str, RunTime] = {}
        self.mean_by_route: dict[str, float] = {}
        self.estimate_by_route: dict[str, float] = {}

    def add(self, route: str, held_s: float) -> None:
        """Record a run of a route."""
        run_time = self.by_route.get(route)
        if run_time is None:
            deviation_s = INITIAL_DEVIATION_SHARE * held_s
            run_time = self.by_route[route] = RunTime(held_s, deviation_s)
            self.estimate_by_route.pop(route, None)
        run_time.add(held_s)
        self.mean_by_route[route] = run_time.mean_s
        self.mean_s += EWMA_WEIGHT * (held_s - self.mean_s)

    def note_arrival(self, route: str, objective_s: float) -> None:
        """Estimate the run time of a route that has not completed a run.

        The largest estimate is kept: a retry has only part of the route's
        objective left, which says nothing about the run time.
        """
        if route in self.by_route:
            return
        estimate_s = INITIAL_RUN_SHARE * objective_s
        previous_s = self.estimate_by_route.get(route, 0.0)
        if estimate_s > previous_s:
            self.estimate_by_route[route] = estimate_s

    def expected_s(self, route: str) -> float:
        """Return the expected time of the next run of a route."""
        mean_s = self.mean_by_route.get(route)
        if mean_s is not None:
            return mean_s
        return self.estimate_by_route.get(route, self.mean_s)

    def deviation_s(self, route: str) -> float:
        """Return the mean deviation of a route's run time."""
        run_time = self.by_route.get(route)
        if run_time is None:
            return INITIAL_DEVIATION_SHARE * self.expected_s(route)
        return run_time.deviation_s
