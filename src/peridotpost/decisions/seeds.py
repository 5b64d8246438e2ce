"""Who keeps the bootstrap records, and how fast a herd reads them.

Load pattern: the whole fleet of 5,200 daemons dies and comes back at once,
or waits together for a store that was out.  Each start reads the store
twice, the version in force and the bootstrap records.  Without spread the
store, good for 2,000 reads and some hundred writes a second, gets 10,400
reads in the first second, refuses most, and gets them again with each wave
of retries; and since a daemon that knows nobody holds itself for the one
that is due a record, it gets 5,200 leases besides.

Each start waits first: full jitter over ``START_SPREAD_S`` makes 1,300
reads a second of the herd.  A failed attempt costs one read instead of two
and the next one draws from twice that spread, then from four times it, so
that the rate falls while the store is out.  A lone restart pays for it with
half the spread on average, during which its target is announced already
but no call is sent there.

A daemon that knows nobody takes the records in the store for the fleet and
writes one only while its zone has fewer than eight.
"""

from collections.abc import Collection
import dataclasses
import random

from peridotpost.decisions import tree

SEEDS_PER_ZONE = 8
INITIAL_READS = 6
RENEWALS_PER_READ = 6
"""Renewals between two readings of all records by a daemon that keeps one.
The 88 records of 11 zones are 25 KB; read with each renewal, every 5 s,
they alone took 5 of a daemon's 7 KB/s.  Read every 30 s they take 0.8, and
groups that started apart find each other within the first 30 s or the
next 30.  A daemon that knows nobody looks each time."""
LEASE_PERIODS = 3
"""A lease outlives two lost renewals."""
START_SPREAD_S = 8.0
MAX_SPREAD_FACTOR = 4


@dataclasses.dataclass(slots=True)
class StartPacing:
    """When a daemon that starts may read the store; full jitter."""

    randomness: random.Random
    spread_s: float = START_SPREAD_S
    failures: int = 0

    def first_delay(self) -> float:
        """Return the seconds to wait before the first read."""
        return self.randomness.uniform(0, self.spread_s)

    def next_delay(self) -> float:
        """Return the seconds to wait after one more failed read."""
        self.failures += 1
        spreads = min(MAX_SPREAD_FACTOR, 2**self.failures)
        return self.randomness.uniform(0, spreads * self.spread_s)


def looks_for_others(renewals: int) -> bool:
    """Whether a daemon that keeps a record reads all records now.

    :param renewals: how often it has renewed or written its own so far.
    """
    return renewals < INITIAL_READS or renewals % RENEWALS_PER_READ == 0


def is_due(
    host: str, zone: str, known: Collection[str], stored: Collection[str]
) -> bool:
    """Say whether `host` is due a bootstrap record.

    :param known: live hosts of the zone as far as `host` knows.
    :param stored: hosts that have a record in the store.
    """
    if not set(known) - {host}:
        return host in stored or len(stored) < SEEDS_PER_ZONE
    candidates = {host, *known}
    return host in tree.seed_hosts(zone, candidates, SEEDS_PER_ZONE)
