"""When a daemon reads the configuration from the store itself.

Versions can come several times a second, while the link speeds of a fleet
differ by a factor of fifty.  A watch on the store delivers each version in
full, and on a slow link all requests wait behind it.

A daemon with a slow link therefore leaves the watch to the daemons of its
zone that have a fast link (the followers) and receives differences from
them.  If no follower has announced itself for ``FOLLOWER_TIMEOUT_S``, it
reads the store itself, at most once in ``MIN_READ_INTERVAL_S``.  So a zone
without fast links, or whose fast links lost the store, is as current as its
own reads.

A follower that loses the store announces this at once and is no longer
waited for.

Only one daemon with a slow link per zone reads at a time, in random order:
it announces the read first, and the others hold back for
``PEER_READ_WAIT_S``.

While the store is down there are no followers.  When it comes back,
followers announce themselves within one heartbeat, and daemons with slow
links wait for that.

A watch that is lost on its way looks like one without changes.  So a daemon
takes its configuration for current only if the store, or a follower that is
current, confirmed it within ``CONFIRMED_FOR_S``.  Calls to the store are
limited for the whole fleet; so only ``LEADERS`` followers renew their watches
that often, and tell all daemons of each answer.

The leaders may be cut off, lose the store or end, all of them at once.  A
follower that hears of no answer in time renews its own watch at once, which
was perhaps lost as well, and no longer counts the silent ones as leaders until
they confirm again.
"""

from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math

SLOW_LINK_MBPS = 20.0
FOLLOWER_TIMEOUT_S = 2.0
"""Longer than two heartbeats, so that two may be lost."""
HEARTBEAT_S = 0.8
WATCH_S = 5.0
LEADER_WATCH_S = 1.4
"""How long watches of followers wait in the store.  An answer to a leader
confirms the version of all daemons for ``CONFIRMED_FOR_S``."""
RENEW_WATCH_AFTER_S = (1.7, 1.9)
"""Time without a confirmation after which a follower renews its watch, drawn
anew each time: the first ones to do so confirm the version to the others."""
RENEWED_WATCH_S = 0.05
"""How long a renewed watch waits, since it is to confirm the version soon."""
LEADERS = 2
CONFIRMED_FOR_S = 2.0
"""How long a follower's configuration counts as current after an answer of
the store: the time in which a version has to be in force everywhere."""
MIN_READ_INTERVAL_S = 2.0
PEER_READ_WAIT_S = 0.9
"""Longer than a heartbeat, at which each daemon checks whether to read."""


def leaders(followers: Iterable[str], silent: Collection[str]) -> list[str]:
    """Return the followers that confirm the version to all daemons.

    :param silent: hosts that should have confirmed it and did not.
    """
    return sorted(host for host in followers if host not in silent)[:LEADERS]


@dataclasses.dataclass(slots=True)
class StoreReadPolicy:
    """Decides for one daemon when it reads the store.

    :param start: when this daemon started; followers have
        `FOLLOWER_TIMEOUT_S` from then on to announce themselves.
    :param last_heard_by_host: when each follower last announced itself.
    :param store_reachable: whether the store answers this daemon; None
        until the first attempt.
    :param store_back_at: when the store last became reachable again.
    :param peer_read_at: when another daemon of the zone with a slow link
        last began to read.
    :param read_ended_at: when this daemon last read the configuration.
    :param confirmed_at: when a read or a watch of the configuration was last
        answered, to this daemon or to a leader.
    :param confirmed_by_host: when each leader last told of such an answer.
    :param silent_hosts: hosts that should lead and have not confirmed in time.
    """

    link_mbps: float
    start: float
    last_heard_by_host: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    last_read_at: float = 0.0
    store_reachable: bool | None = None
    store_back_at: float = 0.0
    peer_read_at: float = -FOLLOWER_TIMEOUT_S
    read_ended_at: float | None = None
    confirmed_at: float = -math.inf
    confirmed_by_host: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    silent_hosts: set[str] = dataclasses.field(default_factory=set)

    @property
    def has_slow_link(self) -> bool:
        return self.link_mbps < SLOW_LINK_MBPS

    @property
    def follows_store(self) -> bool:
        """Whether this daemon is a follower: fast link, store reachable."""
        return self.store_reachable is True and not self.has_slow_link

    def note_follower(self, host: str, now: float) -> bool:
        """Record the announcement of a follower.

        Returns whether it is the only follower known.
        """
        first = not self.last_heard_by_host
        self.last_heard_by_host[host] = now
        return first

    def note_follower_lost(self, host: str) -> None:
        """Record that a host announced that it lost the store."""
        if (
            self.last_heard_by_host.pop(host, None)
            and not self.last_heard_by_host
        ):
            # No follower is left to wait for: the next read may be at once.
            self.start = -FOLLOWER_TIMEOUT_S

    def note_peer_read(self, now: float) -> None:
        """Record that another host with a slow link begins a read."""
        self.peer_read_at = now

    def note_read_ended(self, now: float) -> None:
        """Record that this daemon has read the configuration."""
        self.read_ended_at = now

    def is_current(self, now: float) -> bool:
        """Whether a newer configuration would be known to this daemon.

        With a slow link this is so if a follower of the zone or an own read
        confirmed the version within `FOLLOWER_TIMEOUT_S`.
        """
        if not self.has_slow_link or self.store_reachable is False:
            return (
                self.follows_store
                and self.confirmed_age_s(now) <= CONFIRMED_FOR_S
            )
        return self.confirmed_age_s(now) <= FOLLOWER_TIMEOUT_S

    def confirmed_age_s(self, now: float) -> float:
        """Return the time since the version was confirmed.

        It is infinite if it never was.
        """
        if not self.has_slow_link:
            return now - self.confirmed_at
        confirmations = [*self.last_heard_by_host.values()]
        if self.read_ended_at is not None:
            confirmations.append(self.read_ended_at)
        return now - max(confirmations, default=-math.inf)

    def note_confirmed(self, now: float) -> None:
        """Record that the store confirmed the version in force."""
        self.confirmed_at = now

    def note_leader(self, host: str, now: float) -> None:
        """Record that a host announced an answer of the store to it."""
        self.confirmed_by_host[host] = now
        self.silent_hosts.discard(host)

    def leads(self, host: str, others: Collection[str]) -> bool:
        """Whether this daemon is a leader of the followers.

        :param host: its name.
        :param others: the other followers that it reaches.
        """
        if self.has_slow_link:
            return False
        return host in leaders([host, *others], self.silent_hosts)

    def note_unconfirmed(
        self, host: str, others: Collection[str], now: float
    ) -> None:
        """Record that the leaders have not confirmed the version in time.

        :param host: the name of this daemon.
        :param others: the other followers that it reaches.
        """
        self.silent_hosts.intersection_update(others)
        leading = leaders([host, *others], self.silent_hosts)
        self.silent_hosts.update(
            other
            for other in leading
            if other != host
            and now - self.confirmed_by_host.get(other, -math.inf)
            >= RENEW_WATCH_AFTER_S[0]
        )

    def note_store_state(self, answers: bool, now: float) -> None:
        """Record whether the store answers this daemon."""
        if answers and self.store_reachable is False:
            self.store_back_at = now
        self.store_reachable = answers

    def should_read(self, now: float) -> bool:
        """Whether this daemon, on a slow link, should read the store now.

        True also records the read.
        """
        if self.store_reachable is False:
            return False
        awaited_since = max(
            self.start, self.store_back_at, *self.last_heard_by_host.values()
        )
        if (
            now - awaited_since < FOLLOWER_TIMEOUT_S
            or now - self.last_read_at < MIN_READ_INTERVAL_S
        ):
            return False
        if now - self.peer_read_at < PEER_READ_WAIT_S:
            return False
        self.last_read_at = now
        return True
