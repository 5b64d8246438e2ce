"""The distribution tree: relays, and each daemon's parents.

Every accepted version and every change of a member goes to all daemons, and
large groups of them join or vanish at once.  Without a computed tree every
daemon would watch the store, whose capacity of two thousand reads a second
grows more slowly than the fleet.

There is no election.  Each daemon computes the tree from the members it
knows.  Two daemons that disagree for a moment do no harm, since revisions
only rise and a record that arrives twice is ignored.

With two relays per availability zone a watch remains when one dies; 22
watches for 11 zones are 1% of the store's reads.  A fan-out of 16 reaches
the 473 daemons of a zone in two steps below the relays, with about 15
streams at each parent.
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
"""A parent refuses more.  Rendezvous hashing spreads children with a standard
deviation of about 4 around 16, so 32 is not reached unless many daemons
compute the tree from different members."""
WEIGHT_CACHE_SIZE = 16_384
"""A plan needs the weight of each of 5,200 members for its own zone, and of a
zone's parents for each child; without a cache that takes half of the time
of a relay's plan."""


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(*parts: str) -> int:
    """Return a hash of `parts`, the same on every host."""
    joined = '\0'.join(parts).encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=8).digest())


def ranked(key: str, hosts: Iterable[str]) -> list[str]:
    """Return `hosts` by rendezvous weight for `key`, highest first."""
    return sorted(hosts, key=lambda host: (-weight(key, host), host))


@dataclasses.dataclass(frozen=True, slots=True)
class TreePosition:
    """A daemon's position in the tree of its availability zone.

    :param has_children: it must hold the whole configuration.
    :param parents: hosts to receive from, the preferred one first; empty
        for a relay, which watches the store.
    """

    relay: bool
    has_children: bool
    parents: tuple[str, ...]


def position_of(
    host: str, zone: str, zone_hosts: Iterable[str]
) -> TreePosition:
    """Compute the position of `host` among the live `zone_hosts`."""
    ranked_hosts = ranked(zone, {*zone_hosts, host})
    relays = ranked_hosts[:RELAYS_PER_ZONE]
    if host in relays:
        return TreePosition(True, True, ())
    daemons_below = len(ranked_hosts) - len(relays)
    intermediate = ranked_hosts[
        len(relays) : len(relays) + _intermediate_count(daemons_below)
    ]
    if not intermediate or host in intermediate:
        return TreePosition(
            False, host in intermediate, tuple(ranked(host, relays))
        )
    return TreePosition(
        False, False, tuple(ranked(host, intermediate) + relays)
    )


def suspects_last(
    parents: Sequence[str], suspected: Container[str]
) -> tuple[str, ...]:
    """Return `parents` with the suspected ones at the end.

    A frozen parent is suspected seconds before it is declared dead, and in
    that time its children would receive no versions.
    """
    return tuple(sorted(parents, key=lambda host: host in suspected))


def _intermediate_count(daemons_below: int) -> int:
    """Return how many daemons below the relays are parents themselves."""
    if daemons_below <= RELAYS_PER_ZONE * FAN_OUT:
        return 0
    return math.ceil(daemons_below / (FAN_OUT + 1))


def relays_of(zone: str, zone_hosts: Iterable[str]) -> list[str]:
    """Return the relays of an availability zone."""
    return ranked(zone, zone_hosts)[:RELAYS_PER_ZONE]


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRelays:
    """The relays of one availability zone that a daemon knows."""

    zone: str
    relays: tuple[str, ...]


def links_between_zones(
    host: str,
    zone: str,
    zone_hosts: Iterable[str],
    remote_zones: Sequence[ZoneRelays],
) -> list[str]:
    """Return the relays of remote zones that the relay `host` dials.

    Of two zones the one whose name sorts first dials; a stream carries
    updates in both directions.  The first relay dials the first of the
    other zone, the second dials the second, and a single relay dials both.
    If each relay chose for itself, both could choose the same one, and its
    death or freeze would cut the two zones off from each other.
    """
    own_relays = relays_of(zone, {*zone_hosts, host})
    own_index = own_relays.index(host) if host in own_relays else 0
    return [
        peer
        for remote in remote_zones
        if zone < remote.zone and remote.relays
        for peer in _peers_for(remote.relays, own_index, len(own_relays))
    ]


def _peers_for(
    relays: Sequence[str], own_index: int, own_count: int
) -> tuple[str, ...]:
    """Return those of `relays` that the relay at `own_index` dials."""
    if own_index >= len(relays):
        return (relays[own_index % len(relays)],)
    return tuple(relays[own_index::own_count])


def seed_hosts(zone: str, zone_hosts: Iterable[str], seeds: int) -> list[str]:
    """Return the hosts that keep the zone's bootstrap records."""
    return ranked(zone, zone_hosts)[:seeds]
