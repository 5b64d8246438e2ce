"""To which target a call goes.

Load pattern: many ingress daemons send to the same few targets, some of
which are slow, cold or far away.  Without a choice by load a slow target
collects calls until its callers time out; with a choice of the least
loaded, all daemons rush to the same one.

Two random targets of the caller's own availability zone are compared by
the calls that this daemon has outstanding there, per slot ("power of two
choices"); a call leaves the zone only when the zone has no target left
or both are full by this daemon's count.  A cold target counts as having
a quarter of its slots.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random

from peridotpost.decisions import tree
from peridotpost.model import routing

COLD_SHARE = 0.25


def load(endpoint: routing.Endpoint, outstanding: Mapping[str, int]) -> float:
    """Return the share of the target's slots that this daemon fills."""
    slots = max(1.0, endpoint.slots * (COLD_SHARE if endpoint.cold else 1))
    return outstanding.get(key_of(endpoint), 0) / slots


def key_of(endpoint: routing.Endpoint) -> str:
    """Return the name by which a target's outstanding calls are counted."""
    return f'{endpoint.host}/{endpoint.name}'


def choose(
    endpoints: Sequence[routing.Endpoint],
    zone: str,
    outstanding: Mapping[str, int],
    excluded: Collection[str],
    randomness: random.Random,
) -> routing.Endpoint | None:
    """Return the target for a call, None when none is left.

    :param excluded: keys of targets that refused this call already.
    """
    left = [one for one in endpoints if key_of(one) not in excluded]
    near = [one for one in left if one.availability_zone == zone]
    far = [one for one in left if one.availability_zone != zone]
    best = _better_of_two(near, outstanding, randomness)
    if best is not None and load(best, outstanding) < 1.0:
        return best
    away = _better_of_two(far, outstanding, randomness)
    if best is None or away is None:
        return best or away
    return min(best, away, key=lambda one: load(one, outstanding))


def _better_of_two(
    endpoints: Sequence[routing.Endpoint],
    outstanding: Mapping[str, int],
    randomness: random.Random,
) -> routing.Endpoint | None:
    if not endpoints:
        return None
    pair = randomness.sample(endpoints, min(2, len(endpoints)))
    return min(pair, key=lambda one: load(one, outstanding))


def choose_for_key(
    endpoints: Sequence[routing.Endpoint], key: str
) -> routing.Endpoint | None:
    """Return the one target that a keyed call goes to, by its key alone."""
    if not endpoints:
        return None
    return max(
        endpoints, key=lambda one: (tree.weight(key, key_of(one)), one.host)
    )
