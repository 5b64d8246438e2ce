"""Who is probed, and when silence becomes suspicion and then death.

Load pattern: one daemon in a zone of hundreds dies or hangs, a rack of
them goes at once, datagrams are lost, or the observer itself was paused or
cut off.  Heartbeats to a relay would cost the relay hundreds of messages a
second; without suspicion one lost datagram would take a live target out of
every table; without doubt of itself, an observer that is cut off would
declare its whole zone dead.

SWIM's rules: each period one member is probed, in a shuffled round, so
that each is probed within one round; after silence three others probe it;
after that it is suspected.  Added to them:

- Whoever found a suspect silent probes it again each period, each time by
  three other members, and tells it of the suspicion.  Each further silence
  is a confirmation and shortens the suspicion, to half after three (the
  logarithmic rule of Lifeguard).  Others only wait, twice as long: they
  act where the finder died as well.
- Nobody is declared dead without a last probe: at a loss of 5% of
  datagrams one probe by four ways fails six times in ten thousand, which
  is a suspicion about every three seconds in a zone of 473.
- Silence says something only while helpers are heard.  An observer whose
  helpers are silent too suspects itself, and nobody's suspicion runs out.
- An observer that was paused distrusts its timers and starts anew.
"""

from collections.abc import Collection
import dataclasses
import math
import random

from peridotpost.model import members

INDIRECT_PROBES = 3
PAUSE_FACTOR = 3.0
"""A gap between two ticks of over three periods is the observer's pause:
scheduling delays on a loaded host stay well under one period."""
MAX_CONFIRMATIONS = 3
MIN_SUSPICION_SHARE = 0.5
INDIRECT_SUSPICION_FACTOR = 2.0
MAX_REPROBES = 4
"""Own suspects probed again in a period; the loss of a rack of 40 gives
most observers of a zone of 473 none or one."""
MAX_FINAL_PROBES = 8
"""Last probes in a period: a death takes at most four datagrams more."""
SMALL_ZONE_MEMBERS = 3
"""A zone with fewer live members is probed from other zones as well: two
of three may be gone, and the last one has nobody to miss it."""


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

    def helpers(
        self, subject: str, near: Collection[str], far: Collection[str] = ()
    ) -> list[str]:
        """Return hosts that are asked to probe `subject` as well.

        :param far: hosts of other zones, asked where `near` is too few.
        """
        chosen = self._sample(set(near) - {subject}, INDIRECT_PROBES)
        lacking = INDIRECT_PROBES - len(chosen)
        if lacking:
            chosen += self._sample(set(far) - {subject, *chosen}, lacking)
        return chosen

    def _sample(self, hosts: set[str], count: int) -> list[str]:
        return self.randomness.sample(sorted(hosts), min(count, len(hosts)))


def hosts_to_probe(
    zone: str, records: Collection[members.MemberRecord]
) -> list[str]:
    """Return the hosts that a daemon in `zone` is to probe."""
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
    """A running suspicion.

    :param silences: periods in which this observer itself got no answer.
    """

    incarnation: int
    since: float
    silent_periods: int = 0

    def lasts_s(self, suspicion_s: float) -> float:
        """Return the seconds it has to stand before a death."""
        if not self.silent_periods:
            return INDIRECT_SUSPICION_FACTOR * suspicion_s
        confirmed = min(self.silent_periods - 1, MAX_CONFIRMATIONS)
        share = math.log(confirmed + 1) / math.log(MAX_CONFIRMATIONS + 1)
        return suspicion_s * (1 - (1 - MIN_SUSPICION_SHARE) * share)


@dataclasses.dataclass(slots=True)
class Suspicions:
    """Running suspicions by host."""

    suspicion_s: float
    running: dict[str, Suspicion] = dataclasses.field(default_factory=dict)

    def observe(self, record: members.MemberRecord, now: float) -> None:
        """Follow a record's status, whoever wrote it."""
        if record.status is not members.Status.SUSPECT:
            self.running.pop(record.host, None)
            return
        held = self.running.get(record.host)
        if held is None or held.incarnation != record.incarnation:
            self.running[record.host] = Suspicion(record.incarnation, now)

    def record_silence(self, record: members.MemberRecord, now: float) -> None:
        """Note that the own probe and its helpers' got no answer."""
        held = self.running.get(record.host)
        if held is None or held.incarnation != record.incarnation:
            held = Suspicion(record.incarnation, now)
            self.running[record.host] = held
        held.silent_periods += 1

    def record_answer(self, host: str, now: float) -> None:
        """Begin anew: the suspect answers, it only has to refute yet."""
        held = self.running.get(host)
        if held is not None:
            held.since = now
            held.silent_periods = 0

    def restart(self, now: float) -> None:
        """Give all suspects their full time again."""
        for held in self.running.values():
            held.since = now

    def due(self, host: str, now: float) -> bool:
        held = self.running.get(host)
        if held is None:
            return False
        return now - held.since >= held.lasts_s(self.suspicion_s)

    def expired(self, now: float) -> list[str]:
        """Return the hosts whose suspicion has stood, oldest first."""
        due = [host for host in self.running if self.due(host, now)]
        return sorted(due, key=lambda host: self.running[host].since)

    def own(self) -> list[str]:
        """Return the suspects that this observer found silent."""
        return [h for h, held in self.running.items() if held.silent_periods]


@dataclasses.dataclass(slots=True)
class PauseDetector:
    """Notices that this process was paused, by gaps between ticks."""

    period_s: float
    last_tick: float
    factor: float = PAUSE_FACTOR

    def paused(self, now: float) -> bool:
        gap = now - self.last_tick
        self.last_tick = now
        return gap > self.factor * self.period_s

    def reset(self, now: float) -> None:
        """Begin the gap at the end of a tick that takes long itself."""
        self.last_tick = now


def wait_overran(expected_s: float, took_s: float, period_s: float) -> bool:
    """Say whether a wait took so long that this process was paused in it.

    On waking, the expired wait is seen before the answers that came
    meanwhile, so that a probe in flight would look unanswered.
    """
    return took_s > expected_s + period_s / 2


def suspected(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as suspected at the incarnation that was seen."""
    return dataclasses.replace(record, status=members.Status.SUSPECT)


def dead(record: members.MemberRecord) -> members.MemberRecord:
    """Return `record` as dead at the incarnation that was seen."""
    return dataclasses.replace(record, status=members.Status.DEAD)
