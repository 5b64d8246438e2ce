"""Who is probed, and when silence becomes suspicion and then death.

Load pattern: one daemon in a zone of hundreds dies or hangs, a rack of
them goes at once, or the observer itself was paused.  Heartbeats to a
relay would cost the relay hundreds of messages a second; without
suspicion one lost datagram would take a live target out of every table.

SWIM's rules: each period one member is probed, in a shuffled round, so
that each is probed within one round; after silence three others probe it;
after that it is suspected, and dead once the suspicion has stood for
`suspicion_s`.  An observer that was itself paused distrusts its own
timers (Lifeguard's insight) and starts its round anew.
"""

from collections.abc import Collection
import dataclasses
import random

from peridotpost.model import members

INDIRECT_PROBES = 3
PAUSE_FACTOR = 3.0
"""A gap between two ticks of over three periods is the observer's pause:
scheduling delays on a loaded host stay well under one period."""


@dataclasses.dataclass(slots=True)
class ProbeRound:
    """The order in which the members of a zone are probed."""

    randomness: random.Random
    pending: list[str] = dataclasses.field(default_factory=list)

    def next_subject(self, candidates: Collection[str]) -> str | None:
        """Return the next host to probe, None without candidates."""
        known = set(candidates)
        while self.pending:
            subject = self.pending.pop()
            if subject in known:
                return subject
        if not known:
            return None
        self.pending = sorted(known)
        self.randomness.shuffle(self.pending)
        return self.pending.pop()

    def helpers(self, subject: str, candidates: Collection[str]) -> list[str]:
        """Return hosts that are asked to probe `subject` as well."""
        others = sorted(set(candidates) - {subject})
        count = min(INDIRECT_PROBES, len(others))
        return self.randomness.sample(others, count)


@dataclasses.dataclass(slots=True)
class Suspicions:
    """Running suspicions: when each began and about which incarnation."""

    suspicion_s: float
    since: dict[str, float] = dataclasses.field(default_factory=dict)
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)

    def observe(self, record: members.MemberRecord, now: float) -> None:
        """Follow a record's status, whoever wrote it."""
        if record.status is not members.Status.SUSPECT:
            self.drop(record.host)
            return
        if self.incarnations.get(record.host) != record.incarnation:
            self.since[record.host] = now
            self.incarnations[record.host] = record.incarnation

    def drop(self, host: str) -> None:
        self.since.pop(host, None)
        self.incarnations.pop(host, None)

    def restart(self, now: float) -> None:
        """Give all suspects their full time again, after an own pause."""
        for host in self.since:
            self.since[host] = now

    def expired(self, now: float) -> list[str]:
        """Return the hosts whose suspicion has stood long enough."""
        return [
            host
            for host, began in self.since.items()
            if now - began >= self.suspicion_s
        ]


@dataclasses.dataclass(slots=True)
class PauseGuard:
    """Notices that this process was paused, by gaps between ticks."""

    period_s: float
    last_tick: float

    def paused(self, now: float) -> bool:
        gap = now - self.last_tick
        self.last_tick = now
        return gap > PAUSE_FACTOR * self.period_s


def suspected(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as suspected at the incarnation that was seen."""
    return dataclasses.replace(record, status=members.Status.SUSPECT)


def dead(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as dead at the incarnation that was seen."""
    return dataclasses.replace(record, status=members.Status.DEAD)
