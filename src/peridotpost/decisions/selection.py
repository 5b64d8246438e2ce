"""To which target a request goes first, and to which next.

Load pattern: an availability zone has one to twenty targets of a service,
which differ in speed by a factor of three; traffic swings and targets come
and go.  Sent to the own zone only, requests queue there while others
idle; spread evenly, most of them cross zones, which costs time and dear
bytes for nothing.

- What counts is the time at which an answer is expected: the wait for a
  slot and the run (``targetstate``).
- The own zone is used as long as its best target is expected to answer
  within ``OWN_ZONE_SHARE`` of what is left of the objective; a crossing
  then buys next to nothing for the caller.
- Else all targets are compared, and another zone is used only for one
  that takes less than ``WORTH_CROSSING`` of the own zone's time.
- After a refusal, another zone is asked only where a slot is likely to be
  free: when all are full, each question would cost bytes and find nothing.
  The own zone is then asked once more, as the last resort.
- A target that fails what it takes still gets one request in
  ``TRIAL_EVERY`` first, as its recovery would else never be seen.

Grounds: a crossed request costs bytes worth as much as it is itself where
these are dear, so it has to turn a miss into a hit; runs spread by about
their mean, so an expectation short of the objective is met by most; the
rest is stated at each figure.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random

from peridotpost.decisions import targetstate

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
TRIAL_EVERY = 50


class View:
    """The targets of a service as they stand for one choice."""

    def __init__(
        self, known: Iterable[targetstate.Candidate], route: str, now: float
    ) -> None:
        self.ready = [one for one in known if one.ready]
        self.route = route
        self.now = now
        self.usual_s = targetstate.usual_run_s(self.ready, route)

    def expected_s(self, one: targetstate.Candidate) -> float:
        """Return the time until a target would have answered."""
        return one.expected_s(self.route, self.usual_s, self.now)


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
        known: Collection[targetstate.Candidate],
        route: str,
        tried: Collection[str],
        objective_left_s: float,
        now: float,
    ) -> targetstate.Candidate | None:
        """Return the best candidate not tried yet, None without one."""
        view = View(known, route, now)
        usable = [one for one in view.ready if one.host not in tried]
        if tried:
            usable = [one for one in usable if self._is_hopeful(one, now)]
        if len(usable) < 2:
            return usable[0] if usable else None
        self.choices += 1
        if self.choices % TRIAL_EVERY == 0:
            shunned = [one for one in usable if one.failure_share(now) > 0.1]
            if shunned:
                return self.randomness.choice(shunned)
        own = [one for one in usable if self._is_near(one)]
        if not own:
            return self._draw(self._some(usable), view)[0]
        limit_s = OWN_ZONE_SHARE * objective_left_s
        best, expected_s = self._draw(own, view)
        if expected_s <= limit_s or len(own) == len(usable):
            return best
        for one in own:
            other_s = view.expected_s(one)
            if other_s < expected_s:
                best, expected_s = one, other_s
        if expected_s <= limit_s:
            return best
        far, far_s = self._draw(self._some(usable), view)
        return far if far_s < WORTH_CROSSING * expected_s else best

    def last_resort(
        self, known: Collection[targetstate.Candidate], route: str, now: float
    ) -> targetstate.Candidate | None:
        """Return who is to take what nobody had a free slot for."""
        view = View(known, route, now)
        own = [one for one in view.ready if self._is_near(one)]
        among = own or self._some(view.ready)
        if not among:
            return None
        return self._draw(among, view)[0]

    def _is_hopeful(self, one: targetstate.Candidate, now: float) -> bool:
        """Whether one is worth asking when a first target was full."""
        return self._is_near(one) or one.load_now(now) < FULL

    def _is_near(self, one: targetstate.Candidate) -> bool:
        return one.availability_zone == self.zone

    def _some(
        self, usable: list[targetstate.Candidate]
    ) -> list[targetstate.Candidate]:
        """Return a few at random; comparing all costs more than it brings."""
        if len(usable) <= MOST_COMPARED:
            return usable
        return self.randomness.sample(usable, MOST_COMPARED)

    def _draw(
        self, among: list[targetstate.Candidate], view: View
    ) -> tuple[targetstate.Candidate, float]:
        """Draw a target, the faster ones more often; tell its time.

        All ingresses see much the same figures; with the fastest taken
        each time they would rush there together, and a target that just
        joined would never get the first requests that show its speed.
        """
        times = [view.expected_s(one) for one in among]
        if len(among) == 1:
            return among[0], times[0]
        weights = [one**-DRAW_POWER for one in times]
        index = self.randomness.choices(range(len(among)), weights)[0]
        return among[index], times[index]
