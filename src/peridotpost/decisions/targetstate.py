"""State of a target as an ingress knows it.

Load pattern: targets of a service differ in speed by a factor of three and
fill up within a few runs; routes of one target differ by a factor of ten.
Judged by a mean over all routes, a target that serves short calls well looks
slow.  Judged by an outdated report, a target that was full stays avoided.

- Load and run times come from the target's guard, with each answer and
  refusal.  The load is the higher of that report and the ingress's own count
  of requests in flight.
- A target with a rate limit uses few of its slots (Little's law).  By its
  slots it would look idle to each of the many ingresses that send to it.
- The guard sees all outcomes and reports the failure rate; the ingress adds
  the streams that it lost itself.
"""

from collections.abc import Iterable
import dataclasses

from peridotpost.decisions import failures

REPORT_HALF_LIFE_S = 0.5
DEFAULT_RUN_S = 0.06
MIN_USABLE_SLOTS = 0.05
"""Least usable slots of a target with a rate limit, so that it gets requests
whose answers tell that the limit has ended."""
EWMA_WEIGHT = 1 / 32
"""Small, since the average covers routes whose runs differ by a factor of
five."""
QUEUEING_LOAD = 0.7
"""Load from which requests wait, as arrivals are uneven."""
WAIT_WEIGHT = 2.0
"""Weight of waiting time relative to run time: a queued request also delays
those behind it."""
LATE_FACTOR = 2.0
"""Factor on the expected run time of a target with a late answer; 1 turns it
off."""
LATE_HOLD_S = 0.6
"""How long a late answer counts, about the length of a slow spell."""


@dataclasses.dataclass(eq=False, slots=True)
class Candidate:
    """A target as one ingress sees it.

    :param instance: id of the target's current instance.
    :param load: running and queued requests per slot, as reported at
        `load_at`.
    :param run_s: mean run time over all routes.
    :param run_by_route: run time by route; a service may answer one route in
        a fifth of another's time.
    :param outstanding: requests of this ingress in flight to the target.
    :param late_at: when a request of this ingress was last found to be late.
    :param version: version of the target's software.
    :param limit_per_s: requests per second that the target accepts from all
        hosts together; None if it has no limit.
    :param observed_failures: failures that this ingress saw itself.
    :param reported_failures: failures that the target's guard reported.
    """

    host: str
    availability_zone: str
    service: str = ''
    instance: str = ''
    slots: int = 1
    ready: bool = False
    version: str = ''
    limit_per_s: float | None = None
    load: float = 0.0
    load_at: float = 0.0
    run_s: float = DEFAULT_RUN_S
    outstanding: int = 0
    late_at: float = -LATE_HOLD_S
    run_by_route: dict[str, float] = dataclasses.field(default_factory=dict)
    observed_failures: failures.FailureRate = dataclasses.field(
        default_factory=failures.FailureRate
    )
    reported_failures: failures.FailureRate = dataclasses.field(
        default_factory=failures.FailureRate
    )

    def update_state(
        self,
        service: str,
        instance: str,
        slots: int,
        ready: bool,
        version: str = '',
    ) -> None:
        """Store the state that the guard announced for its target."""
        if instance != self.instance:
            self.reset_measurements()
        self.service = service
        self.instance = instance
        self.slots = slots
        self.ready = ready
        self.version = version

    def report_load(self, load: float, now: float) -> None:
        """Store the load that the guard reported."""
        self.load = load
        self.load_at = now

    def report_run(self, route: str, run_s: float) -> None:
        """Store the run time that the guard reported for a route."""
        self.run_by_route[route] = run_s
        self.run_s += EWMA_WEIGHT * (run_s - self.run_s)

    def reset_measurements(self) -> None:
        """Discard the measurements of the previous instance."""
        self.observed_failures.report(0.0, 0.0)
        self.reported_failures.report(0.0, 0.0)
        self.run_s = DEFAULT_RUN_S
        self.run_by_route.clear()
        self.limit_per_s = None
        self.late_at = -LATE_HOLD_S

    def note_outcome(self, failed: bool, now: float) -> None:
        """Record the outcome of a request that the target ran."""
        self.observed_failures.note(failed, now)

    def report_failures(self, share: float, now: float) -> None:
        """Store the failure rate that the guard reported."""
        self.reported_failures.report(share, now)

    def failure_rate(self, now: float) -> float:
        return max(
            self.observed_failures.value(now),
            self.reported_failures.value(now),
        )

    @property
    def capacity_share(self) -> float:
        """Share of its slots that the target's rate limit lets it use."""
        if self.limit_per_s is None:
            return 1.0
        usable_slots = max(MIN_USABLE_SLOTS, self.limit_per_s * self.run_s)
        return min(1.0, usable_slots / max(1, self.slots))

    def load_now(self, now: float) -> float:
        """Return the estimated load, including one more request.

        At a target with a rate limit that request counts as the share of a
        slot that it leaves to others on average.
        """
        age_s = max(0.0, now - self.load_at)
        reported = float(self.load * 0.5 ** (age_s / REPORT_HALF_LIFE_S))
        share = self.capacity_share
        usable_slots = max(1, self.slots) * share
        return max(reported, (self.outstanding + share) / usable_slots)

    def cost_s(self, route: str, default_run_s: float, now: float) -> float:
        """Return the expected run time plus the weighted waiting time.

        :param default_run_s: run time for routes without a report.
        """
        load = self.load_now(now)
        run_s = self.run_by_route.get(route, default_run_s)
        if now - self.late_at < LATE_HOLD_S:
            run_s *= LATE_FACTOR
        wait_s = 0.0
        if load > QUEUEING_LOAD:
            wait_s = (load - QUEUEING_LOAD) * self.run_s
        return run_s + WAIT_WEIGHT * wait_s


def typical_run_s(usable: Iterable[Candidate], route: str) -> float:
    """Return the mean run time of a route over the targets that report one.

    It stands in for targets that just joined.  Judged by the mean over other
    routes, such a target seemed eight times slower than its neighbours at a
    short route and got no requests.
    """
    reported = [
        candidate.run_by_route[route]
        for candidate in usable
        if route in candidate.run_by_route
    ]
    return sum(reported) / len(reported) if reported else DEFAULT_RUN_S
