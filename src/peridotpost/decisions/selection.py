"""To which target a request goes first, and to which next.

Load pattern: each availability zone has one or two targets of a service,
which differ in speed by a factor of three; traffic swings and targets come
and go.  Sent to the own zone only, requests queue there while others
idle; spread evenly, most of them cross zones, which costs time and dear
bytes for nothing.

- What counts is the time at which an answer is expected: the way there,
  the wait for a slot, the run.  Load and run time are the guard's own
  word, which comes with each answer, or the own count of requests under
  way, whichever is more.
- The own zone is used as long as its best target is expected to answer
  within ``OWN_ZONE_SHARE`` of what is left of the objective; a crossing
  then buys next to nothing for the caller.
- Else all targets are compared, and another zone is used only for one
  that takes less than ``WORTH_CROSSING`` of the own zone's time.
- After a refusal, another zone is asked only where a slot is likely to be
  free: when all are full, each question would cost bytes and find nothing.
  The own zone is then asked once more, as the last resort.
- A target that fails what it takes is put back by the time that a failure
  costs the caller; one request in ``TRIAL_EVERY`` still goes there first,
  as its recovery would else never be seen.
- Cold targets count as slower by ``COLD_FACTOR``.

Grounds: a crossed request costs bytes worth as much as it is itself where
these are dear, so it has to turn a miss into a hit; runs spread by about
their mean, so an expectation short of the objective is met by most; a
report is old after a few runs, hence its half-life; the rest is stated at
each figure.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import random

OWN_ZONE_SHARE = 0.9
WORTH_CROSSING = 0.35
"""At 0.7 a surge sent over half as many kilobytes more to other zones, and
callers were served no better: credit .936 against .941 in one fleet, .950
against .952 in another (model of an experiment, two seeds each)."""
FULL = 0.9
"""Load above which a target of another zone is not asked after a refusal.
At 1.0 a surge sent 24% more kilobytes to other zones, and callers were
served the same: credit .945 and .945 (model of an experiment, four seeds)."""
MOST_COMPARED = 8
DRAW_POWER = 3
"""A target that takes twice as long gets an eighth of the requests."""
REPORT_HALF_LIFE_S = 0.5
FIRST_RUN_S = 0.06
RUN_WEIGHT = 1 / 32
"""The mean is over routes, whose runs differ by a factor of five."""
COLD_FACTOR = 2.0
FAILURE_WEIGHT = 1 / 8
FAILURE_COST_S = 0.5
"""What a failed answer costs the caller, in time: a whole objective and
more, since it can't be had again for a non-idempotent request."""
FAILURE_HALF_LIFE_S = 3.0
TRIAL_EVERY = 50
QUEUE_ONSET = 0.7
"""Load from which waits appear, as arrivals are uneven."""


@dataclasses.dataclass(eq=False, slots=True)
class Candidate:
    """A target as one ingress sees it.

    :param load: what runs and waits there, per slot, as reported.
    :param run_s: mean time of a run there; `run_by_route` by route, since
        a service may answer one route in a fifth of another's time.
    :param outstanding: requests of this ingress that are under way there.
    """

    host: str
    availability_zone: str
    service: str = ''
    instance: str = ''
    slots: int = 1
    ready: bool = False
    load: float = 0.0
    load_at: float = 0.0
    run_s: float = FIRST_RUN_S
    outstanding: int = 0
    run_by_route: dict[str, float] = dataclasses.field(default_factory=dict)
    failing: float = 0.0
    failing_at: float = 0.0
    cold_until: float = 0.0

    def report(self, load: float, now: float) -> None:
        """Take the guard's word on its load."""
        self.load = load
        self.load_at = now

    def report_run(self, route: str, run_s: float) -> None:
        """Take the guard's word on the time of a route's runs."""
        self.run_by_route[route] = run_s
        self.run_s += RUN_WEIGHT * (run_s - self.run_s)

    def replaced(self) -> None:
        """Forget what was learned of the incarnation before."""
        self.failing = 0.0
        self.run_s = FIRST_RUN_S
        self.run_by_route.clear()

    def note(self, failed: bool, now: float) -> None:
        """Take the outcome of a request that the target ran."""
        faded = self.failure_share(now)
        self.failing = faded + FAILURE_WEIGHT * (float(failed) - faded)
        self.failing_at = now

    def failure_share(self, now: float) -> float:
        if self.failing < 0.01:
            return 0.0
        age = max(0.0, now - self.failing_at)
        return float(self.failing * 0.5 ** (age / FAILURE_HALF_LIFE_S))

    def load_now(self, now: float) -> float:
        """Return what is likely to run and wait there, per slot."""
        age = max(0.0, now - self.load_at)
        reported: float = self.load * 0.5 ** (age / REPORT_HALF_LIFE_S)
        return max(reported, (self.outstanding + 1) / max(1, self.slots))

    def expected_s(self, route: str, usual_s: float, now: float) -> float:
        """Return the time until an answer, the way there left out.

        :param usual_s: run time of the route where none is known here.
        """
        load = self.load_now(now)
        run_s = self.run_by_route.get(route, usual_s)
        if now < self.cold_until:
            run_s *= COLD_FACTOR
        wait_s = 0.0
        if load > QUEUE_ONSET:
            wait_s = (load - QUEUE_ONSET) * self.run_s
        return run_s + wait_s + FAILURE_COST_S * self.failure_share(now)


class Selector:
    """Chooses for one ingress.

    :param zone: its availability zone.
    """

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.choices = 0

    def choose(
        self,
        candidates: Iterable[Candidate],
        route: str,
        tried: Collection[str],
        objective_left_s: float,
        now: float,
    ) -> Candidate | None:
        """Return the best candidate not tried yet, None without one."""
        usable = [
            one for one in candidates if one.ready and one.host not in tried
        ]
        if tried:
            usable = [one for one in usable if self._hopeful(one, now)]
        if len(usable) < 2:
            return usable[0] if usable else None
        self.choices += 1
        if self.choices % TRIAL_EVERY == 0:
            shunned = [one for one in usable if one.failure_share(now) > 0.1]
            if shunned:
                return self.randomness.choice(shunned)
        usual_s = _usual_run_s(usable, route)
        own = [one for one in usable if one.availability_zone == self.zone]
        if not own:
            return self._draw(self._some(usable), route, usual_s, now)[0]
        limit_s = OWN_ZONE_SHARE * objective_left_s
        best, expected_s = self._draw(own, route, usual_s, now)
        if expected_s <= limit_s or len(own) == len(usable):
            return best
        for one in own:
            other_s = one.expected_s(route, usual_s, now)
            if other_s < expected_s:
                best, expected_s = one, other_s
        if expected_s <= limit_s:
            return best
        far, far_s = self._draw(self._some(usable), route, usual_s, now)
        return far if far_s < WORTH_CROSSING * expected_s else best

    def last_resort(
        self, candidates: Iterable[Candidate], route: str, now: float
    ) -> Candidate | None:
        """Return who is to take what nobody had a free slot for."""
        ready = [one for one in candidates if one.ready]
        own = [one for one in ready if one.availability_zone == self.zone]
        among = own or self._some(ready)
        if not among:
            return None
        usual_s = _usual_run_s(among, route)
        return self._draw(among, route, usual_s, now)[0]

    def _hopeful(self, one: Candidate, now: float) -> bool:
        near = one.availability_zone == self.zone
        return near or one.load_now(now) < FULL

    def _some(self, usable: list[Candidate]) -> list[Candidate]:
        """Return a few at random; comparing all costs more than it brings."""
        if len(usable) <= MOST_COMPARED:
            return usable
        return self.randomness.sample(usable, MOST_COMPARED)

    def _draw(
        self,
        among: list[Candidate],
        route: str,
        usual_s: float,
        now: float,
    ) -> tuple[Candidate, float]:
        """Draw a target, the faster ones more often; tell its time.

        All ingresses see much the same figures; with the fastest taken
        each time they would rush there together, and a target that just
        joined would never get the first requests that show its speed.
        """
        times = [one.expected_s(route, usual_s, now) for one in among]
        if len(among) == 1:
            return among[0], times[0]
        weights = [one**-DRAW_POWER for one in times]
        index = self.randomness.choices(range(len(among)), weights)[0]
        return among[index], times[index]


def _usual_run_s(usable: list[Candidate], route: str) -> float:
    """Return a route's run time as far as it is known anywhere.

    A target that joined is judged by it until it told its own; judged by
    the mean of other routes, it was taken for eight times slower than its
    neighbours at a short route, and got nothing.
    """
    known = [
        one.run_by_route[route] for one in usable if route in one.run_by_route
    ]
    return sum(known) / len(known) if known else FIRST_RUN_S
