"""Which members are probed, and when silence leads to suspicion and death.

Faults to handle: one daemon in a zone of hundreds dies or hangs, a rack of
them fails at once, datagrams are lost, or the observer itself was paused or
cut off.  Heartbeats to a relay would cost it hundreds of messages a second.
Without suspicion one lost datagram would remove a live target from every
table, and an observer that is cut off would declare its whole zone dead.

The rules are those of SWIM: each period one member is probed, in shuffled
rounds, so that each is probed once a round; if it is silent, three others
probe it; after that it is suspected.  Additions:

- An observer that found a suspect silent probes it again each period, each
  time through three other members, and the probe carries the suspicion.
  Each further silence is a confirmation and shortens the suspicion, to half
  after three (the logarithmic rule of Lifeguard).  Other observers only
  wait, twice as long, in case the one that found the silence dies as well.
- No member is declared dead without a final probe: at 5% packet loss one
  probe over four paths fails six times in ten thousand, which causes a
  suspicion about every three seconds in a zone of 473.
- Silence counts only while helpers are heard.  An observer whose helpers
  are silent too suspects itself, and restarts all its suspicions.
- An observer that was paused does not trust its timers and starts over.
"""

from collections.abc import Collection
import dataclasses
import math
import random

from peridotpost.model import members

INDIRECT_PROBES = 3
PAUSE_FACTOR = 3.0
"""A gap between two ticks of more than three periods means that the observer
was paused: scheduling delays on a loaded host stay well under one period."""
MAX_CONFIRMATIONS = 3
MIN_SUSPICION_SHARE = 0.5
"""Share of the suspicion time that is left after all confirmations."""
INDIRECT_SUSPICION_FACTOR = 2.0
"""Factor of the suspicion time for observers that were only told of it."""
MAX_REPROBES = 4
"""Own suspects probed again in a period; after the loss of a rack of 40 most
observers in a zone of 473 have none or one."""
MAX_FINAL_PROBES = 8
"""Final probes in a period; each takes at most four more datagrams."""
SMALL_ZONE_MEMBERS = 3
"""A zone with fewer live members is probed from remote zones as well: the
last live member of a zone has no other there that could find it silent."""


@dataclasses.dataclass(slots=True)
class ProbeRound:
    """The order in which the members of a zone are probed."""

    randomness: random.Random
    pending: list[str] = dataclasses.field(default_factory=list)

    def next_subject(self, candidates: Collection[str]) -> str | None:
        """Return the next host to probe, None without candidates."""
        hosts = set(candidates)
        while self.pending:
            subject = self.pending.pop()
            if subject in hosts:
                return subject
        if not hosts:
            return None
        self.pending = sorted(hosts)
        self.randomness.shuffle(self.pending)
        return self.pending.pop()

    def helpers(
        self,
        subject: str,
        zone_hosts: Collection[str],
        remote_hosts: Collection[str] = (),
    ) -> list[str]:
        """Return the hosts to ask to probe `subject` as well.

        :param zone_hosts: hosts of the own zone.
        :param remote_hosts: hosts of remote zones, used if `zone_hosts` are
            too few.
        """
        chosen = self._sample(set(zone_hosts) - {subject}, INDIRECT_PROBES)
        missing = INDIRECT_PROBES - len(chosen)
        if missing:
            chosen += self._sample(
                set(remote_hosts) - {subject, *chosen}, missing
            )
        return chosen

    def _sample(self, hosts: set[str], count: int) -> list[str]:
        return self.randomness.sample(sorted(hosts), min(count, len(hosts)))


def hosts_to_probe(
    zone: str, records: Collection[members.MemberRecord]
) -> list[str]:
    """Return the hosts that a daemon in `zone` should probe."""
    counts: dict[str, int] = {}
    for one in records:
        counts[one.availability_zone] = (
            counts.get(one.availability_zone, 0) + 1
        )
    return [
        one.host
        for one in records
        if one.availability_zone == zone
        or counts[one.availability_zone] < SMALL_ZONE_MEMBERS
    ]


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspicion that has not ended yet.

    :param silent_periods: periods in which this observer got no answer.
    """

    incarnation: int
    started_at: float
    silent_periods: int = 0

    def duration_s(self, suspicion_s: float) -> float:
        """Return the seconds after which the member may be declared dead."""
        if not self.silent_periods:
            return INDIRECT_SUSPICION_FACTOR * suspicion_s
        confirmations = min(self.silent_periods - 1, MAX_CONFIRMATIONS)
        share = math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return suspicion_s * (1 - (1 - MIN_SUSPICION_SHARE) * share)


@dataclasses.dataclass(slots=True)
class Suspicions:
    """The suspicions of one observer, by host."""

    suspicion_s: float
    by_host: dict[str, Suspicion] = dataclasses.field(default_factory=dict)

    def observe(self, record: members.MemberRecord, now: float) -> None:
        """Start or end a suspicion as the status of `record` says."""
        if record.status is not members.Status.SUSPECT:
            self.by_host.pop(record.host, None)
            return
        suspicion = self.by_host.get(record.host)
        if suspicion is None or suspicion.incarnation != record.incarnation:
            self.by_host[record.host] = Suspicion(record.incarnation, now)

    def record_silence(self, record: members.MemberRecord, now: float) -> None:
        """Record that this observer and its helpers got no answer."""
        suspicion = self.by_host.get(record.host)
        if suspicion is None or suspicion.incarnation != record.incarnation:
            suspicion = Suspicion(record.incarnation, now)
            self.by_host[record.host] = suspicion
        suspicion.silent_periods += 1

    def record_answer(self, host: str, now: float) -> None:
        """Restart the suspicion: the host answers but has not refuted yet."""
        suspicion = self.by_host.get(host)
        if suspicion is not None:
            suspicion.started_at = now
            suspicion.silent_periods = 0

    def restart(self, now: float) -> None:
        """Restart the time of all suspicions."""
        for suspicion in self.by_host.values():
            suspicion.started_at = now

    def has_expired(self, host: str, now: float) -> bool:
        """Whether `host` has been suspected for the full duration."""
        suspicion = self.by_host.get(host)
        if suspicion is None:
            return False
        return now - suspicion.started_at >= suspicion.duration_s(
            self.suspicion_s
        )

    def expired(self, now: float) -> list[str]:
        """Return the hosts whose suspicion has expired, oldest first."""
        expired = [
            host for host in self.by_host if self.has_expired(host, now)
        ]
        return sorted(expired, key=lambda host: self.by_host[host].started_at)

    def found_by_self(self) -> list[str]:
        """Return the suspects that this observer itself found silent."""
        return [
            host for host, one in self.by_host.items() if one.silent_periods
        ]


@dataclasses.dataclass(slots=True)
class PauseDetector:
    """Detects pauses of this process by gaps between its ticks."""

    period_s: float
    last_tick: float
    factor: float = PAUSE_FACTOR

    def paused(self, now: float) -> bool:
        """Record a tick; return whether this process was paused before it."""
        gap_s = now - self.last_tick
        self.last_tick = now
        return gap_s > self.factor * self.period_s

    def reset(self, now: float) -> None:
        """Restart the gap, at the end of a tick that takes long itself."""
        self.last_tick = now


def wait_overran(expected_s: float, took_s: float, period_s: float) -> bool:
    """Whether a wait took so long that this process must have been paused.

    After a pause the expired timeout is handled before the answers that
    arrived meanwhile, so that a pending probe would look unanswered.
    """
    return took_s > expected_s + period_s / 2


def suspected(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as suspected in the same incarnation."""
    return dataclasses.replace(record, status=members.Status.SUSPECT)


def dead(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as dead in the same incarnation."""
    return dataclasses.replace(record, status=members.Status.DEAD)
