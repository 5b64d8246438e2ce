"""Who relays configuration, and from whom each daemon receives it.

Load pattern: every accepted version and every change of a member goes to
all daemons, and whole herds of them join or vanish at once.  Without a
computed tree every daemon would watch the store, whose two thousand reads
a second grow more slowly than the fleet.

Nothing is elected.  Each daemon works the tree out from the members it
knows; two that disagree for a moment do no harm, since versions only rise
and a fact that arrives twice is ignored.

Grounds for the figures: two relays for each availability zone keep a
watch when one dies, and 22 waiting watches at 11 zones are 1% of the
store's reads.  A fan-out of 16 reaches 473 daemons of a zone in two steps
below the relays, with 15 or so streams at each parent.
"""

from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import functools
import hashlib
import math

RELAYS_PER_ZONE = 2
FAN_OUT = 16
MAX_CHILDREN = 2 * FAN_OUT
"""A parent refuses more: rendezvous hashing spreads children with a
standard deviation of about 4 around 16, so 32 is out of reach until the
views of a herd differ."""
WEIGHT_CACHE_SIZE = 16_384
"""A plan weighs each of 5,200 members for its own zone, and a zone's
parents for each child; worked out anew, that was half of a relay's plan."""


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(*parts: str) -> int:
    """Return a number that is the same on every host for `parts`."""
    joined = '\0'.join(parts).encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=8).digest())


def ranked(key: str, hosts: Iterable[str]) -> list[str]:
    """Return `hosts` by rendezvous weight for `key`, highest first."""
    return sorted(hosts, key=lambda host: (-weight(key, host), host))


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A daemon's place in the tree of its availability zone.

    :param parents: hosts to receive from, the preferred one first; empty
        for a relay, which watches the store.
    :param parent_of_others: it must hold the whole configuration.
    """

    relay: bool
    parent_of_others: bool
    parents: tuple[str, ...]


def place_of(host: str, zone: str, zone_hosts: Iterable[str]) -> Place:
    """Work out the place of `host` among the live `zone_hosts`."""
    order = ranked(zone, {*zone_hosts, host})
    relays = order[:RELAYS_PER_ZONE]
    if host in relays:
        return Place(True, True, ())
    below = len(order) - len(relays)
    intermediate = order[
        len(relays) : len(relays) + _intermediate_count(below)
    ]
    if not intermediate or host in intermediate:
        return Place(False, host in intermediate, tuple(ranked(host, relays)))
    return Place(False, False, tuple(ranked(host, intermediate) + relays))


def suspects_last(
    parents: Sequence[str], suspected: Container[str]
) -> tuple[str, ...]:
    """Return `parents` with those under suspicion at the end.

    A frozen parent is suspected seconds before it is declared dead; its
    children would hear of no version in that time.
    """
    return tuple(sorted(parents, key=lambda host: host in suspected))


def _intermediate_count(below: int) -> int:
    """Return how many parents stand between relays and `below` daemons."""
    if below <= RELAYS_PER_ZONE * FAN_OUT:
        return 0
    return math.ceil(below / (FAN_OUT + 1))


def relays_of(zone: str, zone_hosts: Iterable[str]) -> list[str]:
    """Return the relays of an availability zone."""
    return ranked(zone, zone_hosts)[:RELAYS_PER_ZONE]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRelays:
    """The relays that a daemon knows of one availability zone."""

    zone: str
    relays: tuple[str, ...]


def links_between_zones(
    host: str,
    zone: str,
    zone_hosts: Iterable[str],
    others: Sequence[ZoneRelays],
) -> list[str]:
    """Return the relays of other zones that the relay `host` calls up.

    Of two zones the one whose name sorts first calls; either direction
    carries all.  The first relay calls the first, the second the second,
    and one that stands alone calls both: were each to choose for itself,
    both could choose one relay, and its death or freeze would cut the two
    zones off from each other.
    """
    mine = relays_of(zone, {*zone_hosts, host})
    own_index = mine.index(host) if host in mine else 0
    return [
        peer
        for other in others
        if zone < other.zone and other.relays
        for peer in _peers_for(other.relays, own_index, len(mine))
    ]


def _peers_for(
    relays: Sequence[str], own_index: int, callers: int
) -> tuple[str, ...]:
    """Return those of `relays` that fall to the caller number `turn`."""
    if own_index >= len(relays):
        return (relays[own_index % len(relays)],)
    return tuple(relays[own_index::callers])


def seed_hosts(zone: str, zone_hosts: Iterable[str], seeds: int) -> list[str]:
    """Return the hosts that keep the zone's bootstrap records."""
    return ranked(zone, zone_hosts)[:seeds]
