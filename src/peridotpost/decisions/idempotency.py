"""Idempotency keys and the bounded ledger of requests run under them.

A caller whose answer was lost retries through any daemon at any time, and
every outage is followed by many retries.  The ledger prevents a second
run of the same request (an engineer dispatched twice); its bounds limit
the daemon's memory.

A key is a UUIDv7 (RFC 9562), whose first 48 bits are its creation time in
milliseconds since 1970.  Two suffixes are allowed: ``@zone`` restricts the
key's owner to that availability zone, ``@zone/host`` names the owner.
Keys without a timestamp are rejected: a new key could not be told from one
that was run and has since been evicted.

At 102 calls/s per daemon, a third of them non-idempotent, 20,000 entries
last ten minutes.  32 MiB of answers is an eighth of a daemon's memory;
one answer may take a 512th of that.
"""

from collections.abc import Iterator
import dataclasses
import enum
import heapq
import random
import re
import uuid

from peridotpost.model import calls

MAX_ENTRIES = 20_000
MAX_TOTAL_ANSWER_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
ATTEMPTS_PER_RUN = 16
"""Dispatch numbers reserved for each run; ``retry`` uses at most 3."""

_UUID = '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
_NAME = '[a-z0-9][a-z0-9.-]{0,62}'
_KEY = re.compile(f'({_UUID})(?:@({_NAME})(?:/({_NAME}))?)?')
KEY_FORMAT_HINT = (
    'send a UUIDv7 (RFC 9562) such as 01936f3e-8d2a-7c41-9b0e-5f1c7a2d3e4f, '
    'optionally followed by @zone or @zone/host; or send no key, and the '
    'answer contains a generated one'
)


class BadKey(ValueError):
    """An invalid idempotency key; the message describes the valid format."""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A parsed idempotency key.

    :param timestamp_ms: creation time by the clock of its creator.
    :param zone: zone of its owner; empty for any zone.
    :param host: its owner; empty if the schedule determines the owner.
    """

    text: str
    timestamp_ms: int
    zone: str = ''
    host: str = ''


def parse(text: str) -> Key:
    """Parse a key.

    :raises BadKey: the text is not a UUIDv7 with an optional suffix.
    """
    match = _KEY.fullmatch(text.strip().lower())
    if match is None:
        raise BadKey(
            f'the key is not a valid idempotency key; {KEY_FORMAT_HINT}'
        )
    timestamp_ms = int(match[1].replace('-', '')[:12], 16)
    return Key(match[0], timestamp_ms, match[2] or '', match[3] or '')


def generate_key(
    now_ms: int, randomness: random.Random, zone: str = '', host: str = ''
) -> Key:
    """Return a new key, timestamped `now_ms`, with an optional owner."""
    value = (now_ms << 80) | randomness.getrandbits(80)
    # The version (7) and variant fields of RFC 9562.
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0b11 << 62) | (0b10 << 62)
    suffix = f'@{zone}/{host}' if host else f'@{zone}' if zone else ''
    return Key(f'{uuid.UUID(int=value)}{suffix}', now_ms, zone, host)


@dataclasses.dataclass(slots=True)
class Entry:
    """State of one key in the ledger.

    :param fingerprint: identifies the request that the key was run with.
    :param last_reserved_attempt: highest dispatch number reserved so far.
    :param outcome: None while the request runs, or if it never ran.
    """

    key: Key
    fingerprint: bytes
    last_reserved_attempt: int = 0
    running: bool = False
    outcome: calls.Outcome | None = None

    @property
    def answer_bytes(self) -> int:
        if isinstance(self.outcome, calls.Answer):
            return len(self.outcome.body)
        return 0

    @property
    def never_ran(self) -> bool:
        """Whether no target can have run the key."""
        refused = isinstance(self.outcome, calls.NotRun)
        return not self.running and (self.outcome is None or refused)


@dataclasses.dataclass(slots=True)
class Ledger:
    """Keys that this process has run, bounded; evicts the oldest first.

    An evicted key must not run again when it is resent.  Entries are
    evicted strictly in the order of their timestamps, so any unrecorded
    key with a timestamp up to `evicted_through_ms` may have been run and
    is rejected.
    """

    max_entries: int = MAX_ENTRIES
    max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES
    evicted_through_ms: int = -1
    total_answer_bytes: int = 0
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    eviction_heap: list[tuple[int, str]] = dataclasses.field(
        default_factory=list
    )

    def begin(self, key: Key, fingerprint: bytes) -> Entry:
        """Record the start of a run of `key` and return its entry."""
        entry = self.entries.get(key.text)
        if entry is None:
            entry = Entry(key, fingerprint)
            self.entries[key.text] = entry
            heapq.heappush(self.eviction_heap, (key.timestamp_ms, key.text))
        entry.fingerprint = fingerprint
        entry.running = True
        entry.last_reserved_attempt += ATTEMPTS_PER_RUN
        self._evict()
        return entry

    def record_generated(self, key: Key) -> None:
        """Record a key generated by this process, which has not run yet."""
        self.entries[key.text] = Entry(key, b'')
        heapq.heappush(self.eviction_heap, (key.timestamp_ms, key.text))
        self._evict()

    def finish(self, entry: Entry, outcome: calls.Outcome) -> None:
        """Record the outcome of a run, without an answer that is too long."""
        if isinstance(outcome, calls.Answer):
            if len(outcome.body) > MAX_ANSWER_BYTES:
                outcome = calls.OutcomeUnknown(
                    f'it ran with status {outcome.status}; its answer of '
                    f'{len(outcome.body)} bytes was too long to store'
                )
        entry.running = False
        entry.outcome = outcome
        if self.entries.get(entry.key.text) is entry:
            self.total_answer_bytes += entry.answer_bytes
            self._evict()

    def all_entries(self) -> Iterator[Entry]:
        return iter(self.entries.values())

    def _evict(self) -> None:
        while self.entries and (
            len(self.entries) > self.max_entries
            or self.total_answer_bytes > self.max_total_answer_bytes
        ):
            timestamp_ms, text = heapq.heappop(self.eviction_heap)
            evicted = self.entries.pop(text)
            self.total_answer_bytes -= evicted.answer_bytes
            self.evicted_through_ms = max(
                self.evicted_through_ms, timestamp_ms
            )


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverEntry:
    """A ledger entry as handed over to a successor.

    Without `answer` and `unknown` the key never ran.  The entry is sent with
    its field names.
    """

    key: str
    fingerprint: bytes
    answer: calls.Answer | None = None
    unknown: calls.OutcomeUnknown | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverLedger:
    """The ledger of a stopped process, handed over to its successors.

    It is complete for timestamps from `after_ms`, exclusive, to
    `until_ms`, inclusive: a key of that period that it does not list was
    never run.  The ledger is sent with its field names.

    :param after_ms: keys with later timestamps, up to `until_ms`, were run
        by this process or not at all.
    :param until_ms: no later process of the host accepts keys with
        timestamps up to this one.
    """

    host: str
    incarnations: frozenset[int]
    after_ms: int
    until_ms: int
    entries: tuple[HandoverEntry, ...]


def to_handover_entry(entry: Entry) -> HandoverEntry:
    """Return `entry` in the form that is handed over."""
    outcome = entry.outcome
    if isinstance(outcome, calls.Answer):
        return HandoverEntry(entry.key.text, entry.fingerprint, outcome)
    if entry.never_ran:
        return HandoverEntry(entry.key.text, entry.fingerprint)
    if not isinstance(outcome, calls.OutcomeUnknown):
        outcome = calls.OutcomeUnknown('its owner stopped while it ran')
    return HandoverEntry(entry.key.text, entry.fingerprint, None, outcome)


@dataclasses.dataclass(slots=True)
class DispatchRecord:
    """The latest dispatch of a key at a guard; no outcome while it runs."""

    attempt: int
    outcome: calls.Outcome | None = None


class DispatchDecision(enum.Enum):
    """How a guard handles a dispatch: run it, join a run, or reject it."""

    RUN = 'run'
    JOIN = 'join'
    STALE = 'stale'


def decide_dispatch(
    known: DispatchRecord | None, attempt: int
) -> DispatchDecision:
    """Decide how to handle dispatch number `attempt` of a key.

    A duplicate of a dispatch that this guard refused must not run after
    the owner has sent the key to another target.  A dispatch whose number
    is not higher than the last known one is therefore never run.
    """
    if known is None:
        return DispatchDecision.RUN
    if attempt < known.attempt:
        return DispatchDecision.STALE
    if attempt > known.attempt and isinstance(known.outcome, calls.NotRun):
        return DispatchDecision.RUN
    return DispatchDecision.JOIN
