"""To which target a request goes first, and to which next.

Load pattern: an availability zone has one to twenty targets of a service,
which differ in speed by a factor of three; traffic swings and targets come
and go.  Sent to the own zone only, requests queue there while others
idle; spread evenly, most of them cross zones, which costs time and dear
bytes for nothing.

- Targets are compared by the run expected there and the wait for a slot
  (``targetstate``).  The wait weighs double, as it is also the time by which
  the request holds up those that come after it: ingresses that each look for
  the shortest time queue at the fast targets while slots of slow ones that
  would answer in time stay free.
- The own zone is used as long as one of its targets has a free slot and
  costs less than ``OWN_ZONE_SHARE`` of what is left of the objective.
- Else another zone is used for a target that has a free slot and costs less
  than ``WORTH_CROSSING`` of the own zone's best.  Zones hold a service's
  slots in other proportions than its requests.
- After a refusal, another zone is asked only where a slot is likely to be
  free: when all are full, each question would cost bytes and find nothing.
  The cheapest of all zones is then asked once more, as the last resort.
- A target that fails more of what it takes than the others counts as slower
  by the time that a failure costs the caller.  What all targets of a service
  fail is caused behind them.
- Such a target still gets one idempotent request in ``TRIAL_EVERY``
  first, as its recovery would else never be seen.
- A write whose answer is lost can't be sent again, so a failure costs it
  several objectives and it avoids targets that reads still use.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import random

from peridotpost.decisions import targetstate

OWN_ZONE_SHARE = 0.9
WORTH_CROSSING = 0.8
FULL = 0.9
"""Load above which a target is taken to have no free slot."""
MAX_COMPARED = 8
WEIGHT_EXPONENT = 3
"""A target that takes twice as long gets an eighth of the requests."""
TRIAL_INTERVAL = 50
FAILURE_COST_S = 0.5
"""What a failed answer of an idempotent request costs its caller."""
WRITE_FAILURE_OBJECTIVES = 3.0
"""What a failure costs a request that can't be repeated, in objectives."""


class ServiceView:
    """The targets of a service as they stand for one choice."""

    def __init__(
        self,
        known: Iterable[targetstate.Candidate],
        route: str,
        now: float,
        failure_cost_s: float = FAILURE_COST_S,
    ) -> None:
        self.ready = [one for one in known if one.ready]
        self.route = route
        self.now = now
        self.failure_cost_s = failure_cost_s
        self.typical_run_s = targetstate.typical_run_s(self.ready, route)

    def cost_s(self, one: targetstate.Candidate) -> float:
        """Return what a request costs at a target, failures included."""
        cost_s = one.cost_s(self.route, self.typical_run_s, self.now)
        failing = one.failure_rate(self.now)
        if failing:
            excess = max(0.0, failing - self.baseline_failure_rate)
            cost_s += self.failure_cost_s * excess
        return cost_s

    @functools.cached_property
    def baseline_failure_rate(self) -> float:
        """What nearly all targets fail; their lowest fifth ends there."""
        shares = sorted(one.failure_rate(self.now) for one in self.ready)
        return shares[len(shares) // 5]


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
        idempotent: bool = True,
    ) -> targetstate.Candidate | None:
        """Return the best candidate not tried yet, None without one."""
        view = ServiceView(
            known, route, now, _failure_cost_s(idempotent, objective_left_s)
        )
        usable = [one for one in view.ready if one.host not in tried]
        if tried:
            usable = [one for one in usable if self._may_have_free_slot(one, now)]
        if len(usable) < 2:
            return usable[0] if usable else None
        self.choices += 1
        if idempotent and self.choices % TRIAL_INTERVAL == 0:
            shunned = [one for one in usable if one.failure_rate(now) > 0.1]
            if shunned:
                return self.randomness.choice(shunned)
        own = [one for one in usable if self._in_own_zone(one)]
        if not own:
            return self._draw(self._sample(usable), view)[0]
        limit_s = OWN_ZONE_SHARE * objective_left_s
        best, cost_s = self._draw(own, view)
        if len(own) == len(usable) or self._is_sufficient(
            best, cost_s, limit_s, now
        ):
            return best
        best = min(own, key=view.cost_s)
        cost_s = view.cost_s(best)
        if self._is_sufficient(best, cost_s, limit_s, now):
            return best
        free = [
            one
            for one in usable
            if not self._in_own_zone(one) and one.load_now(now) < FULL
        ]
        if not free:
            return best
        far, far_s = self._draw(self._sample(free), view)
        return far if far_s < WORTH_CROSSING * cost_s else best

    def _is_sufficient(
        self,
        one: targetstate.Candidate,
        cost_s: float,
        limit_s: float,
        now: float,
    ) -> bool:
        """Whether a target of the own zone makes a crossing needless."""
        return cost_s <= limit_s and one.load_now(now) < FULL

    def last_resort(
        self, known: Collection[targetstate.Candidate], route: str, now: float
    ) -> targetstate.Candidate | None:
        """Return who is to take what nobody had a free slot for."""
        view = ServiceView(known, route, now)
        if not view.ready:
            return None
        return min(
            self._sample(view.ready), key=lambda one: self._zone_adjusted_cost_s(one, view)
        )

    def _zone_adjusted_cost_s(self, one: targetstate.Candidate, view: ServiceView) -> float:
        """Return the cost, dearer where it takes a crossing."""
        if self._in_own_zone(one):
            return WORTH_CROSSING * view.cost_s(one)
        return view.cost_s(one)

    def _may_have_free_slot(self, one: targetstate.Candidate, now: float) -> bool:
        """Whether one is worth asking when a first target was full."""
        return self._in_own_zone(one) or one.load_now(now) < FULL

    def _in_own_zone(self, one: targetstate.Candidate) -> bool:
        return one.availability_zone == self.zone

    def _sample(
        self, usable: list[targetstate.Candidate]
    ) -> list[targetstate.Candidate]:
        """Return a few at random; comparing all costs more than it brings."""
        if len(usable) <= MAX_COMPARED:
            return usable
        return self.randomness.sample(usable, MAX_COMPARED)

    def _draw(
        self, among: list[targetstate.Candidate], view: ServiceView
    ) -> tuple[targetstate.Candidate, float]:
        """Draw a target, the faster ones more often; tell its time.

        All ingresses see much the same figures; with the fastest taken
        each time they would rush there together, and a target that just
        joined would never get the first requests that show its speed.
        """
        times = [view.cost_s(one) for one in among]
        if len(among) == 1:
            return among[0], times[0]
        weights = [one**-WEIGHT_EXPONENT for one in times]
        index = self.randomness.choices(range(len(among)), weights)[0]
        return among[index], times[index]


def _failure_cost_s(idempotent: bool, objective_left_s: float) -> float:
    if idempotent:
        return FAILURE_COST_S
    return max(FAILURE_COST_S, WRITE_FAILURE_OBJECTIVES * objective_left_s)
