"""Which targets get no calls for a while, by how calls to them ended.

Load pattern: a target hangs, is cut off, or answers each call at once
with an error.  The last is the worst: failing fast it always looks idle,
so that a choice by load sends it nearly everything ("black hole").
Health pages lag or mislead, so outcomes alone count.

- Lost calls (unreachable, unknown outcome) in a row, or a share of failed
  calls (lost, or a status of 500 and above) that is high and twice that
  of the service's other targets, eject a target.  If all fail alike the
  fault is not one target's, and moving the calls would mend nothing.
- At most half of a service's targets are ejected at once, the last ones
  to fail first: less capacity than half turns one fault into an overload.
- After a pause, which doubles with each ejection in a row, one trial call
  is let through; its outcome decides.
- When ``ZONE_LOST`` hosts of another availability zone were unreachable
  in a row, with none reached between, the whole zone gets no calls: each
  call into a cut zone costs its caller a connection timeout.

Grounds for the figures: three in a row happen by chance once in 10^6 at a
failure rate of 1%; the share moves by 1/8 for each outcome, so that a half
needs five or more failures; one second is twice the connection timeout,
30 s is what a crashed target takes to come back.
"""

from collections.abc import Iterable
import dataclasses
import enum
import random

from peridotpost.model import calls

CONSECUTIVE_LOSSES = 3
FAILURE_SHARE = 0.5
PEER_RATIO = 2.0
EWMA_WEIGHT = 1 / 8
MAX_EJECTED_SHARE = 0.5
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RECORD_TTL_S = 600.0
EJECTION_JITTER = 0.25
ZONE_UNREACHABLE_HOSTS = 2
TRIAL_TIMEOUT_S = 5.0
"""A trial whose outcome is not heard within this is given up on."""


class CallSignal(enum.Enum):
    """What a call's outcome says about its target."""

    GOOD = 'good'
    FAILED = 'failed'
    LOST = 'lost'
    """The target took the call, or refused the connection."""
    UNREACHABLE = 'unreachable'
    """Its host's daemon could not be reached."""
    NEUTRAL = 'silent'
    """Says nothing: a refusal with good reason."""


def verdict_of(outcome: calls.Outcome) -> CallSignal:
    """Return what `outcome` says about the target it came from."""
    if isinstance(outcome, calls.Answer):
        return CallSignal.FAILED if outcome.status >= 500 else CallSignal.GOOD
    if isinstance(outcome, calls.OutcomeUnknown):
        return CallSignal.LOST
    if outcome.reason is calls.NotRunReason.UNREACHABLE:
        return CallSignal.UNREACHABLE
    if outcome.reason is calls.NotRunReason.TARGET_GONE:
        # Its guard said so: the host and its zone can be reached.
        return CallSignal.LOST
    return CallSignal.NEUTRAL


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A target as ejection sees it; `key` is the one of ``choice``."""

    key: str
    host: str
    availability_zone: str


@dataclasses.dataclass(slots=True)
class TargetRecord:
    """How the latest calls to one target ended."""

    consecutive_losses: int = 0
    failure_rate: float = 0.0
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    trial_since: float | None = None
    updated_at: float = 0.0

    @property
    def ejected(self) -> bool:
        return self.ejected_until > 0.0


@dataclasses.dataclass(slots=True)
class ZoneRecord:
    """Hosts of a zone that were unreachable since one was last reached."""

    lost: set[str] = dataclasses.field(default_factory=set)
    ejected_until: float = 0.0
    ejections: int = 0
    ejected_at: float = 0.0


class Ejector:
    """One daemon's view; `zone` is its own, which is never ejected whole."""

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.records: dict[str, TargetRecord] = {}
        self.zones: dict[str, ZoneRecord] = {}

    def note(
        self,
        subject: Subject,
        verdict: CallSignal,
        others: Iterable[str],
        now: float,
    ) -> None:
        """Take in how a call to `subject` ended.

        :param others: keys of the same service's other targets; gone
            through only when the call failed.
        """
        self._note_zone(subject, verdict, now)
        if verdict is CallSignal.NEUTRAL:
            record = self.records.get(subject.key)
            if record is not None:
                record.trial_since = None
            return
        record = self.records.get(subject.key)
        if record is None:
            if verdict is CallSignal.GOOD:
                return
            record = self.records[subject.key] = TargetRecord()
        record.updated_at = now
        good = verdict is CallSignal.GOOD
        record.failure_rate += EWMA_WEIGHT * (
            (not good) - record.failure_rate
        )
        lost = verdict in (CallSignal.LOST, CallSignal.UNREACHABLE)
        record.consecutive_losses = record.consecutive_losses + 1 if lost else 0
        if record.ejected:
            self._end_trial(record, good, now)
        elif self._should_eject(record, others):
            self._eject(record, now)
        elif good and record.failure_rate < 0.01:
            del self.records[subject.key]

    def excluded(self, subjects: Iterable[Subject], now: float) -> set[str]:
        """Return which of a service's targets get no call now."""
        if not self.records and not self.zones:
            return set()
        held = list(subjects)
        out = [one for one in held if self._is_excluded(one, now)]
        most = int(len(held) * MAX_EJECTED_SHARE)
        # The longest out stay out: the latest to fail may be an effect.
        out.sort(key=self._excluded_since)
        return {one.key for one in out[:most]}

    def trying(self, key: str, now: float) -> None:
        """Note that a call goes to `key`; the trial, if it was ejected."""
        record = self.records.get(key)
        if record is not None and record.ejected:
            record.trial_since = now

    def forget(self, now: float) -> None:
        """Drop targets that no call went to for long, as those gone."""
        self.records = {
            key: record
            for key, record in self.records.items()
            if now - record.updated_at < RECORD_TTL_S
        }

    def _should_eject(self, record: TargetRecord, others: Iterable[str]) -> bool:
        if record.consecutive_losses >= CONSECUTIVE_LOSSES:
            return True
        if record.failure_rate < FAILURE_SHARE:
            return False
        shares = [
            self.records[one].failure_rate if one in self.records else 0.0
            for one in others
        ]
        mean = sum(shares) / len(shares) if shares else 1.0
        return record.failure_rate >= PEER_RATIO * mean

    def _eject(self, record: TargetRecord, now: float) -> None:
        if not record.ejected:
            record.ejected_at = now
        pause = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2 ** min(record.ejections, 8))
        spread = 1 + EJECTION_JITTER * self.randomness.random()
        record.ejections += 1
        record.ejected_until = now + pause * spread
        record.trial_since = None

    def _end_trial(self, record: TargetRecord, good: bool, now: float) -> None:
        if not good:
            # Calls that were under way when it was ejected end as well.
            if now >= record.ejected_until:
                self._eject(record, now)
            return
        if now >= record.ejected_until:
            record.ejected_until = 0.0
            record.trial_since = None
            record.consecutive_losses = 0
            record.failure_rate = 0.0

    def _note_zone(
        self, subject: Subject, verdict: CallSignal, now: float
    ) -> None:
        zone = subject.availability_zone
        if zone == self.zone:
            return
        if verdict is not CallSignal.UNREACHABLE:
            self.zones.pop(zone, None)
            return
        found = self.zones.setdefault(zone, ZoneRecord())
        found.lost.add(subject.host)
        if len(found.lost) >= ZONE_UNREACHABLE_HOSTS and now >= found.ejected_until:
            pause = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2 ** min(found.ejections, 8))
            spread = 1 + EJECTION_JITTER * self.randomness.random()
            found.ejections += 1
            found.ejected_at = found.ejected_at or now
            found.ejected_until = now + pause * spread

    def _is_excluded(self, subject: Subject, now: float) -> bool:
        zone = self.zones.get(subject.availability_zone)
        if zone is not None and now < zone.ejected_until:
            return True
        record = self.records.get(subject.key)
        if record is None or not record.ejected:
            return False
        if now < record.ejected_until:
            return True
        trial = record.trial_since
        return trial is not None and now - trial < TRIAL_TIMEOUT_S

    def _excluded_since(self, subject: Subject) -> float:
        record = self.records.get(subject.key)
        if record is not None and record.ejected:
            return record.ejected_at
        return self.zones[subject.availability_zone].ejected_at
