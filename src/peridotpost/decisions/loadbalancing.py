"""Load balancing of calls over a service's targets.

Load pattern: many ingress daemons send to the same few targets, some of which
are slow, cold or distant.  Without load balancing a slow target accumulates
calls until its callers time out; if each daemon picks the least loaded target,
all of them pick the same one at once.

Two random targets of the caller's own availability zone are compared ("power
of two choices") by the higher of two figures: this daemon's outstanding calls
to the target, per slot, and the load that the target's guard reported with its
last answer.  The local count alone misses the calls of other daemons.  The
report alone is outdated by the time it is used, so it decays with a half-life
of two seconds.  Load pages of targets lag or are wrong and are not read.

A call leaves the zone only if the zone has no target left or the better target
is full, and then only for a less loaded one.  A cold target counts as having a
quarter of its slots.  Once it is warm, its capacity rises to the full value
within ``WARM_UP_S``: caches and connection pools fill gradually, and an idle
target among loaded ones would win every comparison.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses
import random

from peridotpost.decisions import tree
from peridotpost.model import routing

COLD_CAPACITY_SHARE = 0.25
WARM_UP_S = 10.0
REPORT_HALF_LIFE_S = 2.0
"""A shorter half-life sends calls to targets that are still full, a longer one
keeps them away from targets that have recovered.  Share of calls answered in
time with forty daemons and one slow target: 0.95 at 0.5 s, 0.980 at 2 s, 0.984
at 4 s, 0.92 without reports."""
RECORD_TTL_S = 60.0
FULL_LOAD = 1.0
"""Load from which a target is assumed to have no free slot."""


def target_key(endpoint: routing.Endpoint) -> str:
    """Return the key of a target in load tracking and ejection."""
    return f'{endpoint.host}/{endpoint.name}'


@dataclasses.dataclass(slots=True)
class LoadReport:
    """A target's load as its guard reported it at the time `at`."""

    load: float
    at: float


class LoadTracker:
    """Load of the targets as known to one daemon.

    :param outstanding: calls of this daemon in flight, by target.
    :param last_cold_at: when each target was last seen cold.
    """

    def __init__(self) -> None:
        self.outstanding: dict[str, int] = {}
        self.reports: dict[str, LoadReport] = {}
        self.last_cold_at: dict[str, float] = {}

    def sent(self, key: str) -> None:
        self.outstanding[key] = self.outstanding.get(key, 0) + 1

    def settled(self, key: str) -> None:
        remaining = self.outstanding[key] - 1
        if remaining:
            self.outstanding[key] = remaining
        else:
            del self.outstanding[key]

    def report(self, key: str, load: float, now: float) -> None:
        """Store the running and queued requests per slot of a target."""
        self.reports[key] = LoadReport(load, now)

    def load(self, endpoint: routing.Endpoint, now: float) -> float:
        """Return the target's load as a share of its present capacity."""
        key = target_key(endpoint)
        capacity_share = self._capacity_share(endpoint, key, now)
        local = self.outstanding.get(key, 0) / max(
            1.0, endpoint.slots * capacity_share
        )
        report = self.reports.get(key)
        if report is None:
            return local
        age_s = max(0.0, now - report.at)
        decay: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        return max(local, report.load * decay / capacity_share)

    def forget(self, now: float) -> None:
        """Drop expired reports and warm-up times."""
        self.reports = {
            key: report
            for key, report in self.reports.items()
            if now - report.at < RECORD_TTL_S
        }
        self.last_cold_at = {
            key: cold_at
            for key, cold_at in self.last_cold_at.items()
            if now - cold_at < RECORD_TTL_S
        }

    def _capacity_share(
        self, endpoint: routing.Endpoint, key: str, now: float
    ) -> float:
        if endpoint.cold:
            self.last_cold_at[key] = now
            return COLD_CAPACITY_SHARE
        cold_at = self.last_cold_at.get(key)
        if cold_at is None:
            return 1.0
        if now - cold_at >= WARM_UP_S:
            del self.last_cold_at[key]
            return 1.0
        return (
            COLD_CAPACITY_SHARE
            + (1 - COLD_CAPACITY_SHARE) * (now - cold_at) / WARM_UP_S
        )


def choose(
    endpoints: Sequence[routing.Endpoint],
    zone: str,
    loads: LoadTracker,
    excluded: Collection[str],
    now: float,
    randomness: random.Random,
) -> routing.Endpoint | None:
    """Return the target for a call, or None if all are excluded.

    :param excluded: keys of targets that already refused this call or are
        ejected.
    """
    local: list[routing.Endpoint] = []
    remote: list[routing.Endpoint] = []
    for endpoint in endpoints:
        if excluded and target_key(endpoint) in excluded:
            continue
        (local if endpoint.availability_zone == zone else remote).append(
            endpoint
        )
    best = _better_of_two(local, loads, now, randomness)
    if best is not None and (not remote or loads.load(best, now) < FULL_LOAD):
        return best
    best_remote = _better_of_two(remote, loads, now, randomness)
    if best is None or best_remote is None:
        return best or best_remote
    return min(
        best, best_remote, key=lambda endpoint: loads.load(endpoint, now)
    )


def _better_of_two(
    endpoints: Sequence[routing.Endpoint],
    loads: LoadTracker,
    now: float,
    randomness: random.Random,
) -> routing.Endpoint | None:
    count = len(endpoints)
    if count < 2:
        return endpoints[0] if endpoints else None
    # Draws two distinct indices; random.sample takes five times as long.
    first = int(randomness.random() * count)
    second = int(randomness.random() * (count - 1))
    one = endpoints[first]
    other = endpoints[second + (second >= first)]
    return one if loads.load(one, now) <= loads.load(other, now) else other


def choose_for_key(
    endpoints: Sequence[routing.Endpoint], key: str
) -> routing.Endpoint | None:
    """Return the target of a keyed call, which depends on its key alone."""
    if not endpoints:
        return None
    return max(
        endpoints,
        key=lambda endpoint: (
            tree.weight(key, target_key(endpoint)),
            endpoint.host,
        ),
    )
