"""Detects short spells in which a target is slower than usual.

Load pattern: at any moment one target in seven is 2.5 times slower for about
600 ms, and three runs in a hundred take seven times as long.  Each ingress
sends to a target once in seconds, so only its guard can notice a spell in
time.  It refuses requests then; they have not run, so even those that are not
idempotent are sent to another target, without a part of the retry budget.

- The odds of a spell are the likelihood ratio of recent run times, and of the
  ages of the current runs, between usual and slower runs (log-normal, by
  route).  A single long run is as likely either way and changes little.
- A target that is always slow, or slows down for seconds, is compared with
  itself and not refused: its reported run times make it cost more.
- Evidence fades within ``HALF_LIFE_S``, so requests soon try the target again.
- At most ``DECLINE_SHARE`` of the requests are refused, and none at a full
  target: a slow called service slows down all targets at once.  The last
  target tried always accepts.
"""

import dataclasses
import math

from peridotpost.model import forwarding

ENABLED = 1
"""0 turns the refusals off, whatever the settings say."""
SLOWER = 2.5
"""Factor on run times in a spell."""
SPELL_SHARE = 0.15
"""Share of the time in which a target is in a spell."""
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
"""Share of runs that are long in any case, and how much longer they are."""
MIN_LOG_ODDS = 2.5
"""Logarithm of the odds of a spell from which requests are refused.  At 1.5
eight seeds of scarce-callee gave .9752 of the credit instead of .9760: runs
that wait for calls look slow."""
HALF_LIFE_S = 0.2
EWMA_WEIGHT = 1 / 64
"""Weight of a run in the usual run time, small against the runs of a spell."""
MIN_RUNS = 16
"""Runs of a route before they are evidence."""
MIN_DEVIATION = 0.3
FULL_LOAD = 1.0
"""Load from which the queue of the target decides alone.  Below it a spell
itself raises the load; with .6 refusals served no more requests."""
DECLINE_SHARE = 0.3
MAX_TOKENS = 6.0
_ROOT_2 = math.sqrt(2.0)


@dataclasses.dataclass(slots=True)
class UsualRun:
    """Mean and variance of the logarithm of a route's run time."""

    mean: float
    variance: float = 0.25
    runs: int = 0

    def add(self, log_s: float) -> None:
        """Record a run; outliers count as two standard deviations."""
        self.runs += 1
        weight = max(EWMA_WEIGHT, 1 / self.runs)
        limit = 2 * math.sqrt(self.variance)
        error = max(-limit, min(limit, log_s - self.mean))
        self.mean += weight * error
        if self.runs > 1:
            self.variance += weight * (error * error - self.variance)

    def log_odds(self, log_s: float, ended: bool) -> float:
        """Return the log likelihood ratio of a spell for one run.

        :param log_s: logarithm of its time, or of its age if it still runs.
        """
        if self.runs < MIN_RUNS:
            return 0.0
        deviation = max(MIN_DEVIATION, math.sqrt(self.variance))
        likelihood = _density if ended else _survival
        usual, slower = (
            (1 - LONG_SHARE) * likelihood(log_s - shift, deviation)
            + LONG_SHARE
            * likelihood(log_s - shift - math.log(LONG_FACTOR), deviation)
            for shift in (self.mean, self.mean + math.log(SLOWER))
        )
        return math.log((slower + 1e-9) / (usual + 1e-9))


class TargetSpeed:
    """Judges the speed of one target by its runs.

    :param refuses: whether requests are refused in a spell.
    """

    def __init__(self, refuses: bool) -> None:
        self.refuses = refuses
        self.usual_by_route: dict[str, UsualRun] = {}
        self.started_at: dict[forwarding.Order, float] = {}
        self.evidence = 0.0
        self.evidence_at = 0.0
        self.tokens = MAX_TOKENS

    def started(self, order: forwarding.Order, now: float) -> None:
        """Record the start of a run."""
        self.started_at[order] = now

    def ended(
        self, order: forwarding.Order, answered: bool, now: float
    ) -> None:
        """Record the end of a run; only an answer tells its full time."""
        started_at = self.started_at.pop(order, None)
        if started_at is None or not answered or now <= started_at:
            return
        log_s = math.log(now - started_at)
        usual = self.usual_by_route.get(order.route)
        if usual is None:
            usual = self.usual_by_route[order.route] = UsualRun(log_s)
        self.evidence = self._faded(now) + usual.log_odds(log_s, True)
        self.evidence_at = now
        usual.add(log_s)

    def declines(
        self, order: forwarding.Order, load: float, now: float
    ) -> bool:
        """Whether to refuse a request because the target is in a spell.

        :param load: running and queued requests per slot.
        """
        if not (ENABLED and self.refuses) or load >= FULL_LOAD:
            return False
        self.tokens = min(MAX_TOKENS, self.tokens + DECLINE_SHARE)
        if order.last or self.tokens < 1:
            return False
        if self.log_odds(now) < MIN_LOG_ODDS:
            return False
        self.tokens -= 1
        return True

    def log_odds(self, now: float) -> float:
        """Return the logarithm of the odds that the target is in a spell."""
        odds = math.log(SPELL_SHARE / (1 - SPELL_SHARE)) + self._faded(now)
        for order, started_at in self.started_at.items():
            usual = self.usual_by_route.get(order.route)
            if usual is not None and now > started_at:
                odds += usual.log_odds(math.log(now - started_at), False)
        return odds

    def _faded(self, now: float) -> float:
        age_s = max(0.0, now - self.evidence_at)
        return float(self.evidence * 0.5 ** (age_s / HALF_LIFE_S))


def _density(error: float, deviation: float) -> float:
    return math.exp(-0.5 * (error / deviation) ** 2)


def _survival(error: float, deviation: float) -> float:
    return 0.5 * math.erfc(error / deviation / _ROOT_2)
