"""Selection of a request's first target and of the targets for retries.

Load pattern: each availability zone has one to twenty targets of a service,
whose speeds differ by up to a factor of three; traffic fluctuates and targets
come and go.  If requests stay in their own zone, they queue there while other
zones have free slots.  If they are spread evenly, most of them cross zones,
which adds latency and costly traffic without any benefit.

- Targets are compared by expected run time and expected wait for a slot
  (``targetstate``).  The wait counts double because the request also delays
  those behind it: ingresses that each minimize their own response time queue
  at fast targets while free slots of slower ones would answer in time.
- The own zone is used while one of its targets has a free slot and costs less
  than ``OWN_ZONE_SHARE`` of the remaining objective.
- Otherwise a remote zone is used if a target there has a free slot and costs
  less than ``WORTH_CROSSING`` times the best of the own zone.  The zones'
  shares of a service's slots differ from their shares of its requests.
- After a refusal, targets of remote zones are tried only if they are likely to
  have a free slot: when all are full, each attempt costs cross-zone traffic
  and finds nothing.  The cheapest target of all zones is then tried once more
  (``last_resort``).
- A target with a rate limit is drawn less often by the share of its slots
  that the limit lets it use; the rest would be refused by its guard.
- The cost of a target whose failure rate exceeds that of the others increases
  by the time that a failure costs the caller.  Failures that all targets of a
  service share are caused further downstream.
- Such a target still is the first choice of one idempotent request in
  ``TRIAL_INTERVAL``; its recovery would go unnoticed otherwise.
- A write whose answer is lost can't be retried.  A failure therefore costs it
  several objectives, and it avoids targets that still receive reads.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import random

from peridotpost.decisions import targetstate

OWN_ZONE_SHARE = 0.9
WORTH_CROSSING = 0.8
FULL_LOAD = 0.9
"""Load from which a target is assumed to have no free slot."""
MAX_COMPARED = 8
"""Targets whose costs are computed for one selection."""
WEIGHT_EXPONENT = 3
"""A target is drawn with the weight ``cost ** -WEIGHT_EXPONENT``: one that
takes twice as long is drawn an eighth as often."""
TRIAL_INTERVAL = 50
"""Selections per trial of a failing target."""
FAILURE_COST_S = 0.5
"""Time that a failed idempotent request costs its caller."""
WRITE_FAILURE_OBJECTIVES = 3.0
"""Cost of a failed request that can't be retried, in objectives."""


class ServiceView:
    """Snapshot of a service's ready targets for one selection."""

    def __init__(
        self,
        known: Iterable[targetstate.Candidate],
        route: str,
        now: float,
        failure_cost_s: float = FAILURE_COST_S,
    ) -> None:
        self.ready = [candidate for candidate in known if candidate.ready]
        self.route = route
        self.now = now
        self.failure_cost_s = failure_cost_s
        self.typical_run_s = targetstate.typical_run_s(self.ready, route)

    def cost_s(self, candidate: targetstate.Candidate) -> float:
        """Return the expected cost of a request, including failures."""
        cost_s = candidate.cost_s(self.route, self.typical_run_s, self.now)
        failure_rate = candidate.failure_rate(self.now)
        if failure_rate:
            excess = max(0.0, failure_rate - self.baseline_failure_rate)
            cost_s += self.failure_cost_s * excess
        return cost_s

    @functools.cached_property
    def baseline_failure_rate(self) -> float:
        """Failure rate that is common to nearly all targets.

        This is the 20th percentile of their failure rates.
        """
        rates = sorted(
            candidate.failure_rate(self.now) for candidate in self.ready
        )
        return rates[len(rates) // 5]


class Selector:
    """Selects targets for the requests of one ingress.

    :param zone: availability zone of the ingress.
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
        """Return the best candidate not in `tried`, or None."""
        view = ServiceView(
            known, route, now, _failure_cost_s(idempotent, objective_left_s)
        )
        usable = [
            candidate
            for candidate in view.ready
            if candidate.host not in tried
        ]
        if tried:
            usable = [
                candidate
                for candidate in usable
                if self._may_have_free_slot(candidate, now)
            ]
        if len(usable) < 2:
            return usable[0] if usable else None
        self.choices += 1
        if idempotent and self.choices % TRIAL_INTERVAL == 0:
            failing = [
                candidate
                for candidate in usable
                if candidate.failure_rate(now) > 0.1
            ]
            if failing:
                return self.randomness.choice(failing)
        local = [
            candidate for candidate in usable if self._in_own_zone(candidate)
        ]
        if not local:
            return self._draw(self._sample(usable), view)[0]
        limit_s = OWN_ZONE_SHARE * objective_left_s
        best, cost_s = self._draw(local, view)
        if len(local) == len(usable) or self._is_sufficient(
            best, cost_s, limit_s, now
        ):
            return best
        best = min(local, key=view.cost_s)
        cost_s = view.cost_s(best)
        if self._is_sufficient(best, cost_s, limit_s, now):
            return best
        free_remote = [
            candidate
            for candidate in usable
            if not self._in_own_zone(candidate)
            and candidate.load_now(now) < FULL_LOAD
        ]
        if not free_remote:
            return best
        remote, remote_cost_s = self._draw(self._sample(free_remote), view)
        return remote if remote_cost_s < WORTH_CROSSING * cost_s else best

    def _is_sufficient(
        self,
        candidate: targetstate.Candidate,
        cost_s: float,
        limit_s: float,
        now: float,
    ) -> bool:
        """Whether a local target is good enough to stay in the own zone."""
        return cost_s <= limit_s and candidate.load_now(now) < FULL_LOAD

    def last_resort(
        self, known: Collection[targetstate.Candidate], route: str, now: float
    ) -> targetstate.Candidate | None:
        """Return the target for a request that found no free slot."""
        view = ServiceView(known, route, now)
        if not view.ready:
            return None
        return min(
            self._sample(view.ready),
            key=lambda candidate: self._zone_adjusted_cost_s(candidate, view),
        )

    def _zone_adjusted_cost_s(
        self, candidate: targetstate.Candidate, view: ServiceView
    ) -> float:
        """Return the cost, discounted for targets of the own zone."""
        if self._in_own_zone(candidate):
            return WORTH_CROSSING * view.cost_s(candidate)
        return view.cost_s(candidate)

    def _may_have_free_slot(
        self, candidate: targetstate.Candidate, now: float
    ) -> bool:
        """Whether a target is worth trying after another one refused."""
        return (
            self._in_own_zone(candidate) or candidate.load_now(now) < FULL_LOAD
        )

    def _in_own_zone(self, candidate: targetstate.Candidate) -> bool:
        return candidate.availability_zone == self.zone

    def _sample(
        self, usable: list[targetstate.Candidate]
    ) -> list[targetstate.Candidate]:
        """Return a random sample; comparing all costs more than it gains."""
        if len(usable) <= MAX_COMPARED:
            return usable
        return self.randomness.sample(usable, MAX_COMPARED)

    def _draw(
        self, candidates: list[targetstate.Candidate], view: ServiceView
    ) -> tuple[targetstate.Candidate, float]:
        """Draw a target at random, weighted by speed; return it and its cost.

        All ingresses see similar figures.  If each took the fastest target,
        they would overload it together, and a target that just joined would
        never get the first requests that reveal its speed.
        """
        costs_s = [view.cost_s(candidate) for candidate in candidates]
        if len(candidates) == 1:
            return candidates[0], costs_s[0]
        weights = [
            candidate.capacity_share * cost_s**-WEIGHT_EXPONENT
            for candidate, cost_s in zip(candidates, costs_s, strict=True)
        ]
        index = self.randomness.choices(range(len(candidates)), weights)[0]
        return candidates[index], costs_s[index]


def _failure_cost_s(idempotent: bool, objective_left_s: float) -> float:
    if idempotent:
        return FAILURE_COST_S
    return max(FAILURE_COST_S, WRITE_FAILURE_OBJECTIVES * objective_left_s)
