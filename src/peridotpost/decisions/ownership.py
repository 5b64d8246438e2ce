"""Which one process may run a key, for ever.

Load pattern: hosts die, restart and come back in herds while callers send
the same keys again by other daemons.  Were ownership of a key to move,
the new owner would have to know that the old one neither ran the key nor
will, which no clock or lease can tell of a process that may be paused.

So it never moves.  A schedule in the store says which hosts own keys
stamped when.  It reaches ahead of the present up to a horizon, and below
the horizon it never changes: a new schedule may only raise the horizon,
and begin or end a host's span at the old horizon or later.  Whoever holds
any copy that covers a key's stamp therefore names the same host, however
old the copy, however long its holder was paused.

Within a host, a later process cannot know what an earlier one ran.  Both
read the same host's clock: the earlier refused stamps from beyond its
`ahead_ms`; the later takes none up to its start plus that and the clock's
own error.  Its span shows a process that is the first to hold it.

Grounds for the figures: each lead of an hour costs, at 12 failed hosts a
day of 5,200, 12 x 3600 / (86,400 x 5,200) = 0.01% of the plain keys an
`unknown`; it is the store outage that plain keys survive.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import enum
import functools

from peridotpost.decisions import idempotency
from peridotpost.decisions import tree

OPEN_MS = 1 << 50
MIN_LEAD_MS = 5_000
RETENTION_MS = 3_600_000
"""Spans that ended longer ago go: no ledger reaches back further."""
KEEP_SHARE = 0.5
"""A writer that sees fewer of the owners alive ends no span: it is likely
that it is the one cut off, or that a herd is about to come back."""
DUE_SHARES = (0.75, 0.5)
"""Shares of the lead at which the first writer and its stand-by write."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Span:
    """A host owns keys stamped from `since_ms` until before `until_ms`.

    :param incarnation: of the process for which the span was begun.
    """

    host: str
    zone: str
    incarnation: int
    since_ms: int
    until_ms: int = OPEN_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A live member that is to own keys."""

    host: str
    zone: str
    incarnation: int


@dataclasses.dataclass(frozen=True)
class Schedule:
    """Who owns keys stamped from `floor_ms` until before `horizon_ms`."""

    founded_ms: int
    floor_ms: int
    horizon_ms: int
    spans: tuple[Span, ...]

    def covers(self, stamp_ms: int) -> bool:
        return self.floor_ms <= stamp_ms < self.horizon_ms

    def owner_of(self, key: idempotency.Key) -> Span | None:
        """Return the owner's span; None if nobody ever owns the key.

        Ask only for a stamp that is covered.
        """
        at = bisect.bisect_right(self._bounds, key.stamp_ms) - 1
        owners = self._owners(at, key.zone)
        if not owners:
            return None
        return owners[tree.weight(key.text) % len(owners)]

    @functools.cached_property
    def _bounds(self) -> list[int]:
        stamps = {self.floor_ms}
        for span in self.spans:
            stamps.update((span.since_ms, span.until_ms))
        return sorted(one for one in stamps if one >= self.floor_ms)

    @functools.cached_property
    def _found(self) -> dict[tuple[int, str], tuple[Span, ...]]:
        return {}

    def _owners(self, at: int, zone: str) -> tuple[Span, ...]:
        found = self._found.get((at, zone))
        if found is None:
            stamp_ms = self._bounds[at]
            found = tuple(
                span
                for span in sorted(self.spans)
                if span.since_ms <= stamp_ms < span.until_ms
                and zone in ('', span.zone)
            )
            self._found[(at, zone)] = found
        return found


def founded(
    live: Iterable[Candidate], now_ms: int, lead_ms: int = MIN_LEAD_MS
) -> Schedule:
    """Return the first schedule of a mesh."""
    spans = tuple(
        Span(one.host, one.zone, one.incarnation, now_ms) for one in live
    )
    return Schedule(now_ms, now_ms, now_ms + lead_ms, spans)


def lead_of(schedule: Schedule, now_ms: int, lead_ms: int) -> int:
    """Return how far ahead to reach: short while the mesh is young.

    The first to write of a mesh that starts knows itself alone and would
    own every key for a whole lead.
    """
    age_ms = now_ms - schedule.founded_ms
    return min(lead_ms, max(MIN_LEAD_MS, age_ms))


def is_due(
    schedule: Schedule, now_ms: int, lead_ms: int, rank: int = 0
) -> bool:
    """Whether too little of the lead is left.

    :param rank: of the writer; each waits for the one before, so that the
        two do not both write each time.
    """
    lead = lead_of(schedule, now_ms, lead_ms)
    return schedule.horizon_ms - now_ms < lead * DUE_SHARES[rank]


def extended(
    old: Schedule, live: Iterable[Candidate], now_ms: int, lead_ms: int
) -> Schedule:
    """Return `old` carried on; below its horizon nothing differs."""
    start = old.horizon_ms
    horizon = now_ms + lead_of(old, now_ms, lead_ms)
    if horizon <= start:
        return old
    wanted = {one.host: one for one in live}
    held = {one.host: one for one in old.spans if one.until_ms == OPEN_MS}
    spans = [one for one in old.spans if one.until_ms != OPEN_MS]
    seen = sum(host in wanted for host in held)
    may_end = seen >= KEEP_SHARE * len(held)
    for host, span in held.items():
        candidate = wanted.pop(host, None)
        if _stays(span, candidate, may_end):
            spans.append(span)
            continue
        spans.append(dataclasses.replace(span, until_ms=start))
        if candidate is not None:
            wanted[host] = candidate
    spans += [
        Span(one.host, one.zone, one.incarnation, start)
        for one in wanted.values()
    ]
    floor = max(old.floor_ms, now_ms - RETENTION_MS)
    kept = tuple(sorted(one for one in spans if one.until_ms > floor))
    return Schedule(old.founded_ms, min(floor, start), horizon, kept)


def _stays(span: Span, candidate: Candidate | None, may_end: bool) -> bool:
    if candidate is None:
        return not may_end
    return (candidate.incarnation, candidate.zone) == (
        span.incarnation,
        span.zone,
    )


def agrees(old: Schedule, new: Schedule) -> bool:
    """Whether `new` names the same owners below both horizons."""
    low = max(old.floor_ms, new.floor_ms)
    high = min(old.horizon_ms, new.horizon_ms)
    return low >= high or _cut(old, low, high) == _cut(new, low, high)


_Cut = tuple[str, str, int, int, int]


def _cut(schedule: Schedule, low: int, high: int) -> set[_Cut]:
    return {
        (
            one.host,
            one.zone,
            one.incarnation,
            max(low, one.since_ms),
            min(high, one.until_ms),
        )
        for one in schedule.spans
        if one.since_ms < high and one.until_ms > low
    }


def writers(live: Iterable[str]) -> list[str]:
    """Return the hosts that carry the schedule on, the first one first.

    Two that both write do no harm: the store lets one of them win.
    """
    return tree.ranked('schedule', live)[: len(DUE_SHARES)]


def heirs_of(host: str, live: Iterable[str], count: int = 2) -> list[str]:
    """Return who is handed the ledger of `host` when it stops."""
    return tree.ranked(f'heir/{host}', set(live) - {host})[:count]


@dataclasses.dataclass(frozen=True, slots=True)
class ClockBound:
    """How far any host's or caller's clock may be from the true time."""

    error_ms: int

    @property
    def ahead_ms(self) -> int:
        """How far ahead of one's clock an honest stamp can be."""
        return 2 * self.error_ms

    @property
    def never_taken_ms(self) -> int:
        """Beyond this ahead of one's clock, no owner takes a stamp yet."""
        return self.ahead_ms + 2 * self.error_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Process:
    """The process that decides.

    :param started_ms: by the host's clock.
    :param incarnations: those that this process published.
    """

    host: str
    started_ms: int
    incarnations: frozenset[int]

    def complete_after_ms(self, bound: ClockBound) -> int:
        """Return the last stamp that an earlier process can have taken."""
        return self.started_ms + bound.never_taken_ms


class Verdict(enum.Enum):
    """What the owner does with a key that it has no entry for."""

    RUN = 'run'
    NOT_OWNER = 'not-owner'
    FORGOTTEN = 'forgotten'
    EARLIER_PROCESS = 'earlier-process'
    FROM_THE_FUTURE = 'from-the-future'


def judge(
    key: idempotency.Key,
    span: Span | None,
    process: Process,
    forgotten_ms: int,
    now_ms: int,
    bound: ClockBound,
) -> Verdict:
    """Decide on a key that the ledger of `process` does not hold.

    ``RUN`` and ``FROM_THE_FUTURE`` prove that nobody has run the key.

    :param span: from the schedule; None for a key that names its host.
    :param now_ms: by the host's clock, read after the key was received.
    """
    owner = key.host if span is None else span.host
    if owner != process.host:
        return Verdict.NOT_OWNER
    if key.stamp_ms <= forgotten_ms:
        return Verdict.FORGOTTEN
    first = span is not None and span.incarnation in process.incarnations
    if not first and key.stamp_ms <= process.complete_after_ms(bound):
        return Verdict.EARLIER_PROCESS
    if key.stamp_ms > now_ms + bound.ahead_ms:
        return Verdict.FROM_THE_FUTURE
    return Verdict.RUN


def inherited(
    ledger: idempotency.HandedLedger,
    key: idempotency.Key,
    span: Span | None,
) -> bool:
    """Whether `ledger` proves that a key it does not hold was not run."""
    if span is not None and span.incarnation not in ledger.incarnations:
        return False
    owner = key.host if span is None else span.host
    within = ledger.after_ms < key.stamp_ms <= ledger.until_ms
    return owner == ledger.host and within


def hand_over(
    process: Process,
    ledger: idempotency.Ledger,
    now_ms: int,
    bound: ClockBound,
) -> idempotency.HandedLedger:
    """Return the record of a process that runs nothing from now on.

    Failure answered: a later process of the host runs a key, dies, and
    the heir of the earlier one calls the key not run.  The later one takes
    what is stamped beyond its own threshold, and the keys that it makes
    itself, stamped from its start on.  By the error of the host's clock
    that start may read twice the error before `now_ms`, so the proof ends
    there.
    """
    after_ms = max(process.complete_after_ms(bound), ledger.forgotten_ms)
    entries = tuple(idempotency.to_handed(one) for one in ledger.known())
    return idempotency.HandedLedger(
        process.host,
        process.incarnations,
        after_ms,
        now_ms - 2 * bound.error_ms - 1,
        entries,
    )
