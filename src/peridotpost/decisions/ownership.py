"""Permanent ownership of idempotency keys by processes.

Hosts fail and restart, often many at once, while callers resend the same
keys through other daemons.  If ownership of a key could move, the new
owner would have to know that the old one neither ran the key nor ever
will; neither a clock nor a lease proves that about a paused process.

Ownership therefore never moves.  A schedule in the store maps timestamp
ranges (spans) to hosts.  It extends from the present up to a horizon and
is immutable below it: a new schedule may only raise the horizon, and start
or end spans at or after the old horizon.  Every copy that covers a key's
timestamp thus names the same owner, however old the copy is and however
long its holder was paused.

A process does not know which keys earlier processes of its host ran.  All
of them read the same clock: an earlier process rejected timestamps more
than `max_skew_ms` ahead, and a later one accepts none up to its start plus
`max_accepted_ahead_ms`.  This does not apply to a process whose
incarnation is in the span, since it is the first owner of the span.

After a host's failure, the outcome of all keys without a suffix that it owns
up to the horizon is unknown.  With a lead of an hour and 12 failures a day
among 5,200 hosts, this affects 12 x 3600 / (86,400 x 5,200) = 0.01% of these
keys.  The lead is also the length of a store outage during which they are
served.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import enum
import functools

from peridotpost.decisions import idempotency
from peridotpost.decisions import tree

OPEN_END_MS = 1 << 50
"""End of a span that has not ended, later than any timestamp."""
MIN_LEAD_MS = 5_000
RETENTION_MS = 3_600_000
"""Older spans are dropped: no ledger covers an earlier time."""
MIN_VISIBLE_OWNERS_SHARE = 0.5
"""A writer that sees a smaller share of the owners alive ends no span: it
is probably partitioned itself, or many hosts are restarting at once."""
EXTENSION_THRESHOLDS = (0.75, 0.5)
"""Remaining shares of the lead below which the first writer and its standby
extend the schedule."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Span:
    """A host's ownership of timestamps in [`since_ms`, `until_ms`).

    Spans are sent with their field names.

    :param incarnation: incarnation of the process that the span was
        started for.
    """

    host: str
    zone: str
    incarnation: int
    since_ms: int
    until_ms: int = OPEN_END_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live member that can own keys."""

    host: str
    zone: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Schedule:
    """Owners of all keys with timestamps in [`floor_ms`, `horizon_ms`)."""

    founded_ms: int
    floor_ms: int
    horizon_ms: int
    spans: tuple[Span, ...]

    def covers(self, timestamp_ms: int) -> bool:
        return self.floor_ms <= timestamp_ms < self.horizon_ms

    def owner_of(self, key: idempotency.Key) -> Span | None:
        """Return the span that owns `key`, or None if no host does.

        The schedule must cover the key's timestamp.
        """
        index = bisect.bisect_right(self._boundaries, key.timestamp_ms) - 1
        owners = self._owners_at(index, key.zone)
        if not owners:
            return None
        return owners[tree.weight(key.text) % len(owners)]

    @functools.cached_property
    def _boundaries(self) -> list[int]:
        boundaries = {self.floor_ms}
        for span in self.spans:
            boundaries.update((span.since_ms, span.until_ms))
        return sorted(one for one in boundaries if one >= self.floor_ms)

    @functools.cached_property
    def _owners_cache(self) -> dict[tuple[int, str], tuple[Span, ...]]:
        return {}

    def _owners_at(self, index: int, zone: str) -> tuple[Span, ...]:
        owners = self._owners_cache.get((index, zone))
        if owners is None:
            timestamp_ms = self._boundaries[index]
            owners = tuple(
                span
                for span in sorted(self.spans)
                if span.since_ms <= timestamp_ms < span.until_ms
                and zone in ('', span.zone)
            )
            self._owners_cache[(index, zone)] = owners
        return owners


def initial_schedule(
    live: Iterable[Candidate], now_ms: int, lead_ms: int = MIN_LEAD_MS
) -> Schedule:
    """Return the first schedule of a new mesh."""
    spans = tuple(
        Span(one.host, one.zone, one.incarnation, now_ms) for one in live
    )
    return Schedule(now_ms, now_ms, now_ms + lead_ms, spans)


def effective_lead_ms(schedule: Schedule, now_ms: int, lead_ms: int) -> int:
    """Return the lead to use, shorter while the mesh is new.

    When a mesh starts, the first writer sees no other members and would
    own every key for a full lead.
    """
    age_ms = now_ms - schedule.founded_ms
    return min(lead_ms, max(MIN_LEAD_MS, age_ms))


def needs_extension(
    schedule: Schedule, now_ms: int, lead_ms: int, rank: int = 0
) -> bool:
    """Whether the writer of this rank has to extend the schedule.

    :param rank: index into `EXTENSION_THRESHOLDS`; the standby waits for
        the first writer, so that they do not both write each time.
    """
    effective_ms = effective_lead_ms(schedule, now_ms, lead_ms)
    return (
        schedule.horizon_ms - now_ms
        < effective_ms * EXTENSION_THRESHOLDS[rank]
    )


def extend_schedule(
    old: Schedule, live: Iterable[Candidate], now_ms: int, lead_ms: int
) -> Schedule:
    """Return `old` with a later horizon, unchanged below the old one."""
    start_ms = old.horizon_ms
    horizon_ms = now_ms + effective_lead_ms(old, now_ms, lead_ms)
    if horizon_ms <= start_ms:
        return old
    candidates = {one.host: one for one in live}
    open_spans = {
        one.host: one for one in old.spans if one.until_ms == OPEN_END_MS
    }
    spans = [one for one in old.spans if one.until_ms != OPEN_END_MS]
    visible = sum(host in candidates for host in open_spans)
    may_end = visible >= MIN_VISIBLE_OWNERS_SHARE * len(open_spans)
    for host, span in open_spans.items():
        candidate = candidates.pop(host, None)
        if _keeps_span(span, candidate, may_end):
            spans.append(span)
            continue
        spans.append(dataclasses.replace(span, until_ms=start_ms))
        if candidate is not None:
            candidates[host] = candidate
    spans += [
        Span(one.host, one.zone, one.incarnation, start_ms)
        for one in candidates.values()
    ]
    floor_ms = max(old.floor_ms, now_ms - RETENTION_MS)
    kept = tuple(sorted(one for one in spans if one.until_ms > floor_ms))
    return Schedule(old.founded_ms, min(floor_ms, start_ms), horizon_ms, kept)


def _keeps_span(
    span: Span, candidate: Candidate | None, may_end: bool
) -> bool:
    if candidate is None:
        return not may_end
    return (candidate.incarnation, candidate.zone) == (
        span.incarnation,
        span.zone,
    )


def is_consistent(old: Schedule, new: Schedule) -> bool:
    """Whether both name the same owners where their ranges overlap."""
    low_ms = max(old.floor_ms, new.floor_ms)
    high_ms = min(old.horizon_ms, new.horizon_ms)
    return low_ms >= high_ms or _clipped_spans(
        old, low_ms, high_ms
    ) == _clipped_spans(new, low_ms, high_ms)


_ClippedSpan = tuple[str, str, int, int, int]


def _clipped_spans(
    schedule: Schedule, low_ms: int, high_ms: int
) -> set[_ClippedSpan]:
    return {
        (
            one.host,
            one.zone,
            one.incarnation,
            max(low_ms, one.since_ms),
            min(high_ms, one.until_ms),
        )
        for one in schedule.spans
        if one.since_ms < high_ms and one.until_ms > low_ms
    }


def writers(live: Iterable[str]) -> list[str]:
    """Return the hosts that extend the schedule, in order of rank.

    Concurrent writes are safe: the store accepts only one of them.
    """
    return tree.ranked('schedule', live)[: len(EXTENSION_THRESHOLDS)]


def successors_of(host: str, live: Iterable[str], count: int = 2) -> list[str]:
    """Return the hosts that receive the ledger of `host` when it stops."""
    return tree.ranked(f'heir/{host}', set(live) - {host})[:count]


@dataclasses.dataclass(frozen=True, slots=True)
class ClockBound:
    """Maximum error of any host's or caller's clock against true time."""

    error_ms: int

    @property
    def max_skew_ms(self) -> int:
        """Maximum lead of a correct timestamp over the local clock."""
        return 2 * self.error_ms

    @property
    def max_accepted_ahead_ms(self) -> int:
        """Lead over the local clock beyond which every owner rejects a key."""
        return self.max_skew_ms + 2 * self.error_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """The process that decides about a key.

    :param started_ms: start time by the host's clock.
    :param incarnations: incarnations that this process has published.
    """

    host: str
    started_ms: int
    incarnations: frozenset[int]

    def predecessors_end_ms(self, bound: ClockBound) -> int:
        """Return the last timestamp an earlier process can have accepted."""
        return self.started_ms + bound.max_accepted_ahead_ms


class Decision(enum.Enum):
    """How a host handles a key that its ledger has no entry for."""

    RUN = 'run'
    NOT_OWNER = 'not-owner'
    FORGOTTEN = 'forgotten'
    EARLIER_PROCESS = 'earlier-process'
    FROM_THE_FUTURE = 'from-the-future'


def decide(
    key: idempotency.Key,
    span: Span | None,
    process: Process,
    evicted_through_ms: int,
    now_ms: int,
    bound: ClockBound,
) -> Decision:
    """Decide how to handle a key that is not in the ledger of `process`.

    ``RUN`` and ``FROM_THE_FUTURE`` prove that no process has run the key.

    :param span: from the schedule; None if the key names its host.
    :param now_ms: the host's clock, read after the key was received.
    """
    owner = key.host if span is None else span.host
    if owner != process.host:
        return Decision.NOT_OWNER
    if key.timestamp_ms <= evicted_through_ms:
        return Decision.FORGOTTEN
    is_first = span is not None and span.incarnation in process.incarnations
    if not is_first and key.timestamp_ms <= process.predecessors_end_ms(bound):
        return Decision.EARLIER_PROCESS
    if key.timestamp_ms > now_ms + bound.max_skew_ms:
        return Decision.FROM_THE_FUTURE
    return Decision.RUN


def proves_not_run(
    ledger: idempotency.HandoverLedger,
    key: idempotency.Key,
    span: Span | None,
) -> bool:
    """Whether the absence of `key` from `ledger` proves it was not run."""
    if span is not None and span.incarnation not in ledger.incarnations:
        return False
    owner = key.host if span is None else span.host
    within = ledger.after_ms < key.timestamp_ms <= ledger.until_ms
    return owner == ledger.host and within


def hand_over(
    process: Process,
    ledger: idempotency.Ledger,
    now_ms: int,
    bound: ClockBound,
) -> idempotency.HandoverLedger:
    """Return the ledger of a process that runs no more calls.

    It must not prove a key not run that a later process of the host runs.
    That process accepts keys with timestamps after its
    `predecessors_end_ms`, and the keys that it generates itself, from its
    start on.  Because of clock error its start may read up to twice
    `error_ms` before `now_ms`, so the period of the proof ends there.
    """
    after_ms = max(
        process.predecessors_end_ms(bound), ledger.evicted_through_ms
    )
    entries = tuple(
        idempotency.to_handover_entry(one) for one in ledger.all_entries()
    )
    return idempotency.HandoverLedger(
        process.host,
        process.incarnations,
        after_ms,
        now_ms - 2 * bound.error_ms - 1,
        entries,
    )
