"""Ejection of targets and zones by the outcomes of calls to them.

Load pattern: a target hangs, is cut off, or answers each call at once with an
error.  The last case is the worst ("black hole"): a target that fails fast
always looks idle, so load balancing sends it nearly all calls.  Health pages
lag or are wrong, so only outcomes count.

- A target is ejected after consecutive lost calls (unreachable or unknown
  outcome), or if its failure rate (lost calls and statuses from 500) is high
  and twice that of the service's other targets.  If all targets fail alike,
  the cause is elsewhere and moving the calls would not help.
- At most half of a service's targets are ejected at once; targets that failed
  last stay in use.  With less than half of the capacity a single fault would
  turn into an overload.
- After a pause, which doubles with each consecutive ejection, one trial call
  is let through; its outcome decides.
- When ``ZONE_UNREACHABLE_HOSTS`` hosts of a remote availability zone were
  unreachable and none was reached in between, the whole zone gets no calls:
  each call into a partitioned zone costs its caller a connection timeout.

Grounds for the figures: at a failure rate of 1%, three consecutive losses
happen by chance once in 10^6 calls.  The failure rate moves by 1/8 per
outcome, so it takes at least five failures to reach a half.  One second is
twice the connection timeout; a crashed target takes 30 s to come back.
"""

from collections.abc import Iterable
import dataclasses
import enum
import random

from peridotpost.model import calls

CONSECUTIVE_LOSSES = 3
EJECTION_FAILURE_RATE = 0.5
PEER_RATIO = 2.0
EWMA_WEIGHT = 1 / 8
MAX_EJECTED_SHARE = 0.5
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RECORD_TTL_S = 600.0
EJECTION_JITTER = 0.25
ZONE_UNREACHABLE_HOSTS = 2
TRIAL_TIMEOUT_S = 5.0
"""A trial without an outcome after this time no longer blocks another one."""


class CallSignal(enum.Enum):
    """What the outcome of a call says about its target."""

    GOOD = 'good'
    FAILED = 'failed'
    LOST = 'lost'
    """The target took the call without an answer or refused the connection."""
    UNREACHABLE = 'unreachable'
    """The daemon of the target's host could not be reached."""
    NEUTRAL = 'silent'
    """A legitimate refusal, which says nothing about the target's health."""


def classify(outcome: calls.Outcome) -> CallSignal:
    """Return the signal of `outcome` about the called target."""
    if isinstance(outcome, calls.Answer):
        return CallSignal.FAILED if outcome.status >= 500 else CallSignal.GOOD
    if isinstance(outcome, calls.OutcomeUnknown):
        return CallSignal.LOST
    if outcome.reason is calls.NotRunReason.UNREACHABLE:
        return CallSignal.UNREACHABLE
    if outcome.reason is calls.NotRunReason.TARGET_GONE:
        # Reported by the target's guard, so host and zone are reachable.
        return CallSignal.LOST
    return CallSignal.NEUTRAL


@dataclasses.dataclass(frozen=True, slots=True)
class TargetId:
    """Identity of a target; `key` is the one that ``loadbalancing`` uses."""

    key: str
    host: str
    availability_zone: str


@dataclasses.dataclass(slots=True)
class TargetRecord:
    """Recent outcomes and ejections of one target."""

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
    """A remote zone's hosts found unreachable since one was last reached."""

    unreachable_hosts: set[str] = dataclasses.field(default_factory=set)
    ejected_until: float = 0.0
    ejections: int = 0
    ejected_at: float = 0.0


class Ejector:
    """Ejection state of one daemon.

    :param zone: the daemon's own zone, which is never ejected as a whole.
    """

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.records: dict[str, TargetRecord] = {}
        self.zones: dict[str, ZoneRecord] = {}

    def note(
        self,
        target: TargetId,
        signal: CallSignal,
        others: Iterable[str],
        now: float,
    ) -> None:
        """Record the outcome of a call to `target`.

        :param others: keys of the same service's other targets; iterated
            only if the failure rate has to be compared.
        """
        self._note_zone(target, signal, now)
        if signal is CallSignal.NEUTRAL:
            record = self.records.get(target.key)
            if record is not None:
                record.trial_since = None
            return
        record = self.records.get(target.key)
        if record is None:
            if signal is CallSignal.GOOD:
                return
            record = self.records[target.key] = TargetRecord()
        record.updated_at = now
        good = signal is CallSignal.GOOD
        record.failure_rate += EWMA_WEIGHT * ((not good) - record.failure_rate)
        lost = signal in (CallSignal.LOST, CallSignal.UNREACHABLE)
        record.consecutive_losses = (
            record.consecutive_losses + 1 if lost else 0
        )
        if record.ejected:
            self._note_while_ejected(record, good, now)
        elif self._should_eject(record, others):
            self._eject(record, now)
        elif good and record.failure_rate < 0.01:
            del self.records[target.key]

    def excluded(self, targets: Iterable[TargetId], now: float) -> set[str]:
        """Return the keys of a service's targets that get no calls now."""
        if not self.records and not self.zones:
            return set()
        known = list(targets)
        excluded = [
            target for target in known if self._is_excluded(target, now)
        ]
        max_excluded = int(len(known) * MAX_EJECTED_SHARE)
        # Earlier failures take precedence: later ones may be a consequence.
        excluded.sort(key=self._excluded_since)
        return {target.key for target in excluded[:max_excluded]}

    def note_attempt(self, key: str, now: float) -> None:
        """Record a call to `key`, which is a trial if it is ejected."""
        record = self.records.get(key)
        if record is not None and record.ejected:
            record.trial_since = now

    def forget(self, now: float) -> None:
        """Drop records without a recent outcome, e.g. of removed targets."""
        self.records = {
            key: record
            for key, record in self.records.items()
            if now - record.updated_at < RECORD_TTL_S
        }

    def _should_eject(
        self, record: TargetRecord, others: Iterable[str]
    ) -> bool:
        if record.consecutive_losses >= CONSECUTIVE_LOSSES:
            return True
        if record.failure_rate < EJECTION_FAILURE_RATE:
            return False
        rates = [
            self.records[key].failure_rate if key in self.records else 0.0
            for key in others
        ]
        mean = sum(rates) / len(rates) if rates else 1.0
        return record.failure_rate >= PEER_RATIO * mean

    def _eject(self, record: TargetRecord, now: float) -> None:
        if not record.ejected:
            record.ejected_at = now
        pause_s = min(
            MAX_EJECTION_S, INITIAL_EJECTION_S * 2 ** min(record.ejections, 8)
        )
        jitter = 1 + EJECTION_JITTER * self.randomness.random()
        record.ejections += 1
        record.ejected_until = now + pause_s * jitter
        record.trial_since = None

    def _note_while_ejected(
        self, record: TargetRecord, good: bool, now: float
    ) -> None:
        if not good:
            # An earlier failure is of a call sent before the ejection.
            if now >= record.ejected_until:
                self._eject(record, now)
            return
        if now >= record.ejected_until:
            record.ejected_until = 0.0
            record.trial_since = None
            record.consecutive_losses = 0
            record.failure_rate = 0.0

    def _note_zone(
        self, target: TargetId, signal: CallSignal, now: float
    ) -> None:
        zone = target.availability_zone
        if zone == self.zone:
            return
        if signal is not CallSignal.UNREACHABLE:
            self.zones.pop(zone, None)
            return
        record = self.zones.setdefault(zone, ZoneRecord())
        record.unreachable_hosts.add(target.host)
        if (
            len(record.unreachable_hosts) >= ZONE_UNREACHABLE_HOSTS
            and now >= record.ejected_until
        ):
            pause_s = min(
                MAX_EJECTION_S,
                INITIAL_EJECTION_S * 2 ** min(record.ejections, 8),
            )
            jitter = 1 + EJECTION_JITTER * self.randomness.random()
            record.ejections += 1
            record.ejected_at = record.ejected_at or now
            record.ejected_until = now + pause_s * jitter

    def _is_excluded(self, target: TargetId, now: float) -> bool:
        zone = self.zones.get(target.availability_zone)
        if zone is not None and now < zone.ejected_until:
            return True
        record = self.records.get(target.key)
        if record is None or not record.ejected:
            return False
        if now < record.ejected_until:
            return True
        trial_since = record.trial_since
        return trial_since is not None and now - trial_since < TRIAL_TIMEOUT_S

    def _excluded_since(self, target: TargetId) -> float:
        record = self.records.get(target.key)
        if record is not None and record.ejected:
            return record.ejected_at
        return self.zones[target.availability_zone].ejected_at
