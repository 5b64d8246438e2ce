"""To which target a call goes.

Load pattern: many ingress daemons send to the same few targets, some of
which are slow, cold or far away.  Without a choice by load a slow target
collects calls until its callers time out; with a choice of the least
loaded, all daemons rush to the same one.

Two random targets of the caller's own availability zone are compared
("power of two choices") by the higher of two figures: the calls that this
daemon has outstanding there, per slot, and the load that the target's
guard told with its last answer.  The own count alone misses what other
daemons send; the guard's word alone is old by the time it is used, so it
fades with a half-life of two seconds.  Load pages of targets, which lag
or mislead, are not read at all.

A call leaves the zone only when the zone has no target left or the better
one is full, and then for one that is less loaded.  A cold target counts
as having a quarter of its slots, and after it has become warm its share
rises to the whole within ``WARM_UP_S``: caches and pools fill by calls,
and a target that is idle among loaded ones would get every first pick.
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
"""A word that fades sooner sends calls to a target that is still full; one
that fades later keeps them from one that has recovered.  At forty daemons
beside a slow target, shares in time: 0.95 at 0.5 s, 0.980 at 2 s, 0.984 at
4 s, 0.92 without any word."""
RECORD_TTL_S = 60.0
FULL = 1.0


def key_of(endpoint: routing.Endpoint) -> str:
    """Return the name by which a target's calls are counted."""
    return f'{endpoint.host}/{endpoint.name}'


@dataclasses.dataclass(slots=True)
class LoadReport:
    """A guard's word on the load of a target, and when it came."""

    load: float
    at: float


class LoadBook:
    """What one daemon knows of the targets' load."""

    def __init__(self) -> None:
        self.outstanding: dict[str, int] = {}
        self.reports: dict[str, LoadReport] = {}
        self.cold_until: dict[str, float] = {}

    def sent(self, key: str) -> None:
        self.outstanding[key] = self.outstanding.get(key, 0) + 1

    def settled(self, key: str) -> None:
        left = self.outstanding[key] - 1
        if left:
            self.outstanding[key] = left
        else:
            del self.outstanding[key]

    def report(self, key: str, load: float, now: float) -> None:
        """Note what runs and waits at a target, per slot."""
        self.reports[key] = LoadReport(load, now)

    def load(self, endpoint: routing.Endpoint, now: float) -> float:
        """Return the target's load as a share of what it can bear now."""
        key = key_of(endpoint)
        share = self._capacity_share(endpoint, key, now)
        own = self.outstanding.get(key, 0) / max(1.0, endpoint.slots * share)
        report = self.reports.get(key)
        if report is None:
            return own
        age = max(0.0, now - report.at)
        faded: float = 0.5 ** (age / REPORT_HALF_LIFE_S)
        return max(own, report.load * faded / share)

    def forget(self, now: float) -> None:
        """Drop what was told of targets that no call went to for long."""
        self.reports = {
            key: report
            for key, report in self.reports.items()
            if now - report.at < RECORD_TTL_S
        }
        self.cold_until = {
            key: until
            for key, until in self.cold_until.items()
            if now - until < RECORD_TTL_S
        }

    def _capacity_share(
        self, endpoint: routing.Endpoint, key: str, now: float
    ) -> float:
        if endpoint.cold:
            self.cold_until[key] = now
            return COLD_CAPACITY_SHARE
        since = self.cold_until.get(key)
        if since is None:
            return 1.0
        if now - since >= WARM_UP_S:
            del self.cold_until[key]
            return 1.0
        return COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (now - since) / WARM_UP_S


def choose(
    endpoints: Sequence[routing.Endpoint],
    zone: str,
    book: LoadBook,
    excluded: Collection[str],
    now: float,
    randomness: random.Random,
) -> routing.Endpoint | None:
    """Return the target for a call, None when none is left.

    :param excluded: keys of targets that refused this call already, or
        that get no calls at present.
    """
    near: list[routing.Endpoint] = []
    far: list[routing.Endpoint] = []
    for one in endpoints:
        if excluded and key_of(one) in excluded:
            continue
        (near if one.availability_zone == zone else far).append(one)
    best = _better_of_two(near, book, now, randomness)
    if best is not None and (not far or book.load(best, now) < FULL):
        return best
    away = _better_of_two(far, book, now, randomness)
    if best is None or away is None:
        return best or away
    return min(best, away, key=lambda one: book.load(one, now))


def _better_of_two(
    endpoints: Sequence[routing.Endpoint],
    book: LoadBook,
    now: float,
    randomness: random.Random,
) -> routing.Endpoint | None:
    count = len(endpoints)
    if count < 2:
        return endpoints[0] if endpoints else None
    # Two distinct numbers; random.sample takes five times as long.
    first = int(randomness.random() * count)
    second = int(randomness.random() * (count - 1))
    one = endpoints[first]
    other = endpoints[second + (second >= first)]
    return one if book.load(one, now) <= book.load(other, now) else other


def choose_for_key(
    endpoints: Sequence[routing.Endpoint], key: str
) -> routing.Endpoint | None:
    """Return the one target that a keyed call goes to, by its key alone."""
    if not endpoints:
        return None
    return max(
        endpoints, key=lambda one: (tree.weight(key, key_of(one)), one.host)
    )
