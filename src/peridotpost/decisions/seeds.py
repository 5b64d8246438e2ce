"""Which daemons keep bootstrap records, and how fast starting ones read them.

The whole fleet of 5,200 daemons may restart at once, or wait together for a
store that was down.  Each start reads the store twice: the version in force
and the bootstrap records.  Without spreading, the store, which handles
2,000 reads and some hundred writes a second, would get 10,400 reads in the
first second, refuse most of them and get them again with each wave of
retries.  In addition it would get 5,200 leases, since a daemon that knows
no others would consider itself responsible for a record.

So each start waits first: full jitter over ``START_SPREAD_S`` reduces the
reads of the whole fleet to 1,300 a second.  A failed attempt costs one read
instead of two, and the next is drawn from twice that spread, then from four
times, so that the rate falls while the store is down.  A single restart
pays for this with half the spread on average; in that time its target is
announced already but receives no calls.

A daemon that knows no others takes the records in the store for the fleet,
and writes one only while its zone has fewer than ``SEEDS_PER_ZONE``.
"""

from collections.abc import Collection
import dataclasses
import random

from peridotpost.decisions import tree

SEEDS_PER_ZONE = 8
INITIAL_READS = 6
"""Number of first renewals, each of which reads all records."""
RENEWALS_PER_READ = 6
"""Renewals between two reads of all records by a daemon that keeps one.

The 88 records of 11 zones are 25 KB.  Read with each renewal, every 5 s,
they would take 5 of a daemon's 7 KB/s; read every 30 s they take 0.8, and
groups that started apart find each other within the first or the next 30 s.
A daemon that knows no others reads them each time."""
LEASE_PERIODS = 3
"""A lease outlasts two lost renewals."""
START_SPREAD_S = 8.0
MAX_SPREAD_FACTOR = 4


@dataclasses.dataclass(slots=True)
class StartPacing:
    """When a starting daemon may read the store; full jitter."""

    randomness: random.Random
    spread_s: float = START_SPREAD_S
    failures: int = 0

    def first_delay(self) -> float:
        """Return the seconds to wait before the first read."""
        return self.randomness.uniform(0, self.spread_s)

    def next_delay(self) -> float:
        """Return the seconds to wait after one more failed read."""
        self.failures += 1
        factor = min(MAX_SPREAD_FACTOR, 2**self.failures)
        return self.randomness.uniform(0, factor * self.spread_s)


def should_read_all(renewals: int) -> bool:
    """Whether a daemon that keeps a record should read all records now.

    :param renewals: how often it has renewed or written its own record.
    """
    return renewals < INITIAL_READS or renewals % RENEWALS_PER_READ == 0


def should_keep_record(
    host: str,
    zone: str,
    known_hosts: Collection[str],
    stored_hosts: Collection[str],
) -> bool:
    """Whether `host` should keep a bootstrap record.

    :param known_hosts: live hosts of the zone that `host` knows.
    :param stored_hosts: hosts that have a record in the store.
    """
    if not set(known_hosts) - {host}:
        return host in stored_hosts or len(stored_hosts) < SEEDS_PER_ZONE
    candidates = {host, *known_hosts}
    return host in tree.seed_hosts(zone, candidates, SEEDS_PER_ZONE)
