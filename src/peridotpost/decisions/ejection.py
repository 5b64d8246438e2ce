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

LOST_IN_A_ROW = 3
FAILURE_SHARE = 0.5
PEERS_FACTOR = 2.0
SHARE_WEIGHT = 1 / 8
MAX_EJECTED_SHARE = 0.5
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0
FORGET_AFTER_S = 600.0
PAUSE_SPREAD = 0.25
ZONE_LOST = 2
TRIAL_S = 5.0
"""A trial whose outcome is not heard within this is given up on."""


class Verdict(enum.Enum):
    """What a call's outcome says about its target."""

    GOOD = 'good'
    FAILED = 'failed'
    LOST = 'lost'
    UNREACHABLE = 'unreachable'
    SILENT = 'silent'
    """Says nothing: a refusal with good reason."""


def verdict_of(outcome: calls.Outcome) -> Verdict:
    """Return what `outcome` says about the target it came from."""
    if isinstance(outcome, calls.Answer):
        return Verdict.FAILED if outcome.status >= 500 else Verdict.GOOD
    if isinstance(outcome, calls.OutcomeUnknown):
        return Verdict.LOST
    if outcome.reason is calls.NotRunReason.UNREACHABLE:
        return Verdict.UNREACHABLE
    return Verdict.SILENT


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A target as ejection sees it; `key` is the one of ``choice``."""

    key: str
    host: str
    availability_zone: str


@dataclasses.dataclass(slots=True)
class Record:
    """How the latest calls to one target ended."""

    lost_in_a_row: int = 0
    failed_share: float = 0.0
    ejections: int = 0
    ejected_at: float = 0.0
    until: float = 0.0
    trial_since: float | None = None
    noted_at: float = 0.0

    @property
    def ejected(self) -> bool:
        return self.until > 0.0


@dataclasses.dataclass(slots=True)
class ZoneRecord:
    """Hosts of a zone that were unreachable since one was last reached."""

    lost: set[str] = dataclasses.field(default_factory=set)
    until: float = 0.0
    pauses: int = 0
    ejected_at: float = 0.0


class Ejector:
    """One daemon's view; `zone` is its own, which is never ejected whole."""

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.records: dict[str, Record] = {}
        self.zones: dict[str, ZoneRecord] = {}

    def note(
        self,
        subject: Subject,
        verdict: Verdict,
        others: Iterable[str],
        now: float,
    ) -> None:
        """Take in how a call to `subject` ended.

        :param others: keys of the same service's other targets; gone
            through only when the call failed.
        """
        if verdict is Verdict.SILENT:
            record = self.records.get(subject.key)
            if record is not None:
                record.trial_since = None
            return
        self._note_zone(subject, verdict, now)
        record = self.records.get(subject.key)
        if record is None:
            if verdict is Verdict.GOOD:
                return
            record = self.records[subject.key] = Record()
        record.noted_at = now
        good = verdict is Verdict.GOOD
        record.failed_share += SHARE_WEIGHT * (
            (not good) - record.failed_share
        )
        lost = verdict in (Verdict.LOST, Verdict.UNREACHABLE)
        record.lost_in_a_row = record.lost_in_a_row + 1 if lost else 0
        if record.ejected:
            self._end_trial(record, good, now)
        elif self._is_bad(record, others):
            self._eject(record, now)
        elif good and record.failed_share < 0.01:
            del self.records[subject.key]

    def excluded(self, subjects: Iterable[Subject], now: float) -> set[str]:
        """Return which of a service's targets get no call now."""
        if not self.records and not self.zones:
            return set()
        held = list(subjects)
        out = [one for one in held if self._is_out(one, now)]
        most = int(len(held) * MAX_EJECTED_SHARE)
        # The longest out stay out: the latest to fail may be an effect.
        out.sort(key=self._out_since)
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
            if now - record.noted_at < FORGET_AFTER_S
        }

    def _is_bad(self, record: Record, others: Iterable[str]) -> bool:
        if record.lost_in_a_row >= LOST_IN_A_ROW:
            return True
        if record.failed_share < FAILURE_SHARE:
            return False
        shares = [
            self.records[one].failed_share if one in self.records else 0.0
            for one in others
        ]
        mean = sum(shares) / len(shares) if shares else 1.0
        return record.failed_share >= PEERS_FACTOR * mean

    def _eject(self, record: Record, now: float) -> None:
        if not record.ejected:
            record.ejected_at = now
        pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(record.ejections, 8))
        spread = 1 + PAUSE_SPREAD * self.randomness.random()
        record.ejections += 1
        record.until = now + pause * spread
        record.trial_since = None

    def _end_trial(self, record: Record, good: bool, now: float) -> None:
        if not good:
            # Calls that were under way when it was ejected end as well.
            if now >= record.until:
                self._eject(record, now)
            return
        if now >= record.until:
            record.until = 0.0
            record.trial_since = None
            record.lost_in_a_row = 0
            record.failed_share = 0.0

    def _note_zone(
        self, subject: Subject, verdict: Verdict, now: float
    ) -> None:
        zone = subject.availability_zone
        if zone == self.zone:
            return
        if verdict is not Verdict.UNREACHABLE:
            self.zones.pop(zone, None)
            return
        found = self.zones.setdefault(zone, ZoneRecord())
        found.lost.add(subject.host)
        if len(found.lost) >= ZONE_LOST and now >= found.until:
            pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(found.pauses, 8))
            spread = 1 + PAUSE_SPREAD * self.randomness.random()
            found.pauses += 1
            found.ejected_at = found.ejected_at or now
            found.until = now + pause * spread

    def _is_out(self, subject: Subject, now: float) -> bool:
        zone = self.zones.get(subject.availability_zone)
        if zone is not None and now < zone.until:
            return True
        record = self.records.get(subject.key)
        if record is None or not record.ejected:
            return False
        if now < record.until:
            return True
        trial = record.trial_since
        return trial is not None and now - trial < TRIAL_S

    def _out_since(self, subject: Subject) -> float:
        record = self.records.get(subject.key)
        if record is not None and record.ejected:
            return record.ejected_at
        return self.zones[subject.availability_zone].ejected_at
