"""What an ingress knows of a target.

Load pattern: targets of a service differ in speed by a factor of three and
fill up within some runs; routes of one target differ by a factor of ten.
Judged by a mean over routes, a target that serves short calls well is taken
for slow; judged by an old report, one that was full stays shunned.

- Load and run times are the guard's own word, which comes with each answer
  and refusal, or the own count of requests under way, whichever is more.
- Its guard sees all outcomes and reports the share of failures; an ingress
  adds the streams that it lost itself.
"""

from collections.abc import Iterable
import dataclasses

from peridotpost.decisions import failures

REPORT_HALF_LIFE_S = 0.5
DEFAULT_RUN_S = 0.06
EWMA_WEIGHT = 1 / 32
"""The mean is over routes, whose runs differ by a factor of five."""
QUEUEING_LOAD = 0.7
"""Load from which requests wait, as arrivals are uneven."""
WAIT_WEIGHT = 2.0
"""Of a wait, beside a run: who joins a queue also holds up those behind."""


@dataclasses.dataclass(eq=False, slots=True)
class Candidate:
    """A target as one ingress sees it.

    :param load: what runs and waits there, per slot, as reported.
    :param run_s: mean time of a run there; `run_by_route` by route, since
        a service may answer one route in a fifth of another's time.
    :param outstanding: requests of this ingress that are under way there.
    :param version: of the target's software.
    """

    host: str
    availability_zone: str
    service: str = ''
    instance: str = ''
    slots: int = 1
    ready: bool = False
    version: str = ''
    load: float = 0.0
    load_at: float = 0.0
    run_s: float = DEFAULT_RUN_S
    outstanding: int = 0
    run_by_route: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_failures: failures.FailureShare = dataclasses.field(
        default_factory=failures.FailureShare
    )
    told_failures: failures.FailureShare = dataclasses.field(
        default_factory=failures.FailureShare
    )

    def stands(
        self,
        service: str,
        instance: str,
        slots: int,
        ready: bool,
        version: str = '',
    ) -> None:
        """Take the guard's word on its target."""
        if instance != self.instance:
            self.replaced()
        self.service = service
        self.instance = instance
        self.slots = slots
        self.ready = ready
        self.version = version

    def report(self, load: float, now: float) -> None:
        """Take the guard's word on its load."""
        self.load = load
        self.load_at = now

    def report_run(self, route: str, run_s: float) -> None:
        """Take the guard's word on the time of a route's runs."""
        self.run_by_route[route] = run_s
        self.run_s += EWMA_WEIGHT * (run_s - self.run_s)

    def replaced(self) -> None:
        """Forget what was learned of the incarnation before."""
        self.observed_failures.report(0.0, 0.0)
        self.told_failures.report(0.0, 0.0)
        self.run_s = DEFAULT_RUN_S
        self.run_by_route.clear()

    def note(self, failed: bool, now: float) -> None:
        """Take the outcome of a request that the target ran."""
        self.observed_failures.note(failed, now)

    def report_failures(self, share: float, now: float) -> None:
        """Take the guard's word on the share of failures."""
        self.told_failures.report(share, now)

    def failure_rate(self, now: float) -> float:
        return max(
            self.observed_failures.value(now), self.told_failures.value(now)
        )

    def load_now(self, now: float) -> float:
        """Return what is likely to run and wait there, per slot."""
        age = max(0.0, now - self.load_at)
        told = float(self.load * 0.5 ** (age / REPORT_HALF_LIFE_S))
        return max(told, (self.outstanding + 1) / max(1, self.slots))

    def cost_s(self, route: str, usual_s: float, now: float) -> float:
        """Return what a request costs here: its run and its weighted wait.

        :param usual_s: run time of the route where none is known here.
        """
        load = self.load_now(now)
        run_s = self.run_by_route.get(route, usual_s)
        wait_s = 0.0
        if load > QUEUEING_LOAD:
            wait_s = (load - QUEUEING_LOAD) * self.run_s
        return run_s + WAIT_WEIGHT * wait_s


def typical_run_s(usable: Iterable[Candidate], route: str) -> float:
    """Return a route's run time as far as it is known anywhere.

    A target that joined is judged by it until it told its own; judged by
    the mean of other routes, it was taken for eight times slower than its
    neighbours at a short route, and got nothing.
    """
    known = [
        one.run_by_route[route] for one in usable if route in one.run_by_route
    ]
    return sum(known) / len(known) if known else DEFAULT_RUN_S
