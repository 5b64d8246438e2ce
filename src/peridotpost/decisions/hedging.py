"""Hedged requests: a second run of a request whose answer is late.

Load pattern: three requests in a hundred take seven times as long, and at any
moment a sixth of the targets is 2.5 times slower for half a second.  An
ingress sends to one target less than once a second, so it learns of such a
spell when it is over.  The requests that met it miss their objective while
other targets have free slots.

- Lateness is judged by the target's own run time: an answer is late past a
  quantile of the ratio of elapsed time to the run time that the target's guard
  reports for the route.  Samples of all targets form the distribution; there
  are too few for each target.
- An answer that would miss the objective unless hedged now is late from a
  lower quantile on.
- Only idempotent requests are hedged, once, and within the allowed runs.
- A hedge goes to a target with free slots, and not at all if the service's
  targets are nearly full or lately refused a retry for lack of budget.
- Hedges are at most a set share of an ingress's requests, so that retries
  after failures keep a part of the service's retry budget.
"""

from collections.abc import Collection
import dataclasses
import math

from peridotpost.decisions import selection
from peridotpost.decisions import targetstate

ENABLED = 1
"""0 turns hedging off, whatever the settings or the scenario say."""
LATE_QUANTILE = 0.95
OBJECTIVE_QUANTILE = 0.8
"""Quantile from which a request is hedged if its objective is at risk."""
OBJECTIVE_RUNS = 1.5
"""Expected runs of the second target that have to fit into the objective."""
HEDGE_SHARE = 0.1
"""Hedges per request in the model.  The rest of the retry budget is for
retries after failures."""
MAX_TOKENS = 10.0
"""Hedges that may follow each other at once."""
MIN_SAMPLES = 30
"""Answers from which a distribution is used.  A route with fewer is judged by
that of all routes: one host may send ten requests of a route in as many
seconds."""
MAX_SAMPLES = 1000.0
"""Total weight from which all samples are halved, so that old ones fade."""
BUCKET_RATIO = 1.1
FREE_LOAD = 0.8
"""Load, in slots, below which a target gets hedges."""
FULL_SHARE = 0.5
"""Share of targets without a free slot from which no hedge is sent."""
NO_BUDGET_HOLD_S = 0.5
"""Pause of a service's hedges after a guard ran out of retry budget."""


@dataclasses.dataclass(slots=True)
class RatioDistribution:
    """Fading histogram of elapsed time divided by expected run time.

    :param weights: weights of the samples by logarithmic bucket.
    """

    weights: dict[int, float] = dataclasses.field(default_factory=dict)
    total: float = 0.0

    def add(self, ratio: float) -> None:
        bucket = math.ceil(math.log(max(ratio, 0.01)) / math.log(BUCKET_RATIO))
        self.weights[bucket] = self.weights.get(bucket, 0.0) + 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self.weights = {
                bucket: weight / 2 for bucket, weight in self.weights.items()
            }
            self.total /= 2

    def quantile(self, share: float) -> float:
        """Return the upper bound of the bucket that holds a quantile."""
        cumulative = 0.0
        bucket = 0
        for bucket in sorted(self.weights):
            cumulative += self.weights[bucket]
            if cumulative >= share * self.total:
                break
        return float(BUCKET_RATIO**bucket)


class Hedging:
    """Decides when and where one ingress hedges its requests.

    :param share: hedges per request, at most.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.ratios_by_route: dict[str, RatioDistribution] = {}
        self.all_ratios = RatioDistribution()
        self.tokens = MAX_TOKENS
        self.no_budget_at: dict[str, float] = {}

    def note_request(self) -> None:
        """Count a request of a caller, which allows a part of a hedge."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.share)

    def note_elapsed(
        self, route: str, elapsed_s: float, expected_s: float
    ) -> None:
        """Record the time of an answer, or that of a run given up as late.

        Without the latter the distribution would lose its tail.
        """
        ratios = self.ratios_by_route.setdefault(route, RatioDistribution())
        ratios.add(elapsed_s / expected_s)
        self.all_ratios.add(elapsed_s / expected_s)

    def note_no_budget(self, service: str, now: float) -> None:
        """Record that a guard refused a hedge for lack of retry budget."""
        self.no_budget_at[service] = now

    def delay_s(
        self, route: str, expected_s: float, objective_left_s: float
    ) -> float | None:
        """Return when a dispatch is late, in seconds after it was sent.

        :param expected_s: run time of the route that its target reports.
        :return: None if too little is known.
        """
        ratios = self.ratios_by_route.get(route)
        if ratios is None or ratios.total < MIN_SAMPLES:
            ratios = self.all_ratios
        if not ENABLED or ratios.total < MIN_SAMPLES or not expected_s:
            return None
        late_s = expected_s * ratios.quantile(LATE_QUANTILE)
        earliest_s = expected_s * ratios.quantile(OBJECTIVE_QUANTILE)
        latest_s = objective_left_s - OBJECTIVE_RUNS * expected_s
        return min(late_s, max(earliest_s, latest_s))

    def choose(
        self,
        selector: selection.Selector,
        known: Collection[targetstate.Candidate],
        route: str,
        tried: Collection[str],
        objective_left_s: float,
        now: float,
    ) -> targetstate.Candidate | None:
        """Return the target of a hedge and count it; None for no hedge."""
        ready = [candidate for candidate in known if candidate.ready]
        free = [
            candidate
            for candidate in ready
            if candidate.load_now(now) < FREE_LOAD
        ]
        if self.tokens < 1 or len(free) <= (1 - FULL_SHARE) * len(ready):
            return None
        service = ready[0].service
        no_budget_at = self.no_budget_at.get(service, -NO_BUDGET_HOLD_S)
        if now - no_budget_at < NO_BUDGET_HOLD_S:
            return None
        chosen = selector.choose(free, route, tried, objective_left_s, now)
        if chosen is not None:
            self.tokens -= 1
        return chosen
