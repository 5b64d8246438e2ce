"""Idempotency keys and the record of what ran under them.

Load pattern: a caller whose answer was lost sends its dispatch again,
by any daemon, at any time, and storms of resends follow every outage.
Without a record an engineer is sent twice; with one that grows without
bound the daemon's memory goes.

A key is a UUIDv7 (RFC 9562), whose first 48 bits are the milliseconds
since 1970 at which it was made.  Two suffixes are allowed: ``@zone`` keeps
the key's owner within that availability zone, ``@zone/host`` names it.
Keys without a time are refused: nothing would tell a fresh one from one
that an earlier, forgotten owner ran.

Grounds for the figures: at 102 calls/s for each daemon, a third of them
non-idempotent, 20,000 entries are ten minutes; 32 MiB of answers is an
eighth of a daemon's memory, and one answer may take a 512th of that.
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
MAX_KEPT_BYTES = 32 * 1024 * 1024
MAX_ANSWER_BYTES = 64 * 1024
ATTEMPTS_A_RUN = 16
"""Numbers that one run may use for its dispatches; ``retry`` allows 3."""

_UUID = '[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}'
_NAME = '[a-z0-9][a-z0-9.-]{0,62}'
_KEY = re.compile(f'({_UUID})(?:@({_NAME})(?:/({_NAME}))?)?')
MEND = (
    'send a UUIDv7 (RFC 9562) such as 01936f3e-8d2a-7c41-9b0e-5f1c7a2d3e4f, '
    'optionally followed by @zone or @zone/host; or send no key, and the '
    'answer names the one that was made'
)


class BadKey(ValueError):
    """A key that cannot be served safely; says how to mend it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A key that was read.

    :param stamp_ms: when it was made, by its maker's clock.
    :param zone: where its owner is to be, empty for anywhere.
    :param host: its owner, empty where the schedule names it.
    """

    text: str
    stamp_ms: int
    zone: str = ''
    host: str = ''


def parse(text: str) -> Key:
    """Read a key.

    :raises BadKey: it is not a UUIDv7 with at most a zone and a host.
    """
    match = _KEY.fullmatch(text.strip().lower())
    if match is None:
        raise BadKey(f'the key is not one that can be kept apart; {MEND}')
    stamp_ms = int(match[1].replace('-', '')[:12], 16)
    return Key(match[0], stamp_ms, match[2] or '', match[3] or '')


def mint(
    now_ms: int, randomness: random.Random, zone: str = '', host: str = ''
) -> Key:
    """Make a key of the given owner; `now_ms` is by the maker's clock."""
    value = (now_ms << 80) | randomness.getrandbits(80)
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0b11 << 62) | (0b10 << 62)
    suffix = f'@{zone}/{host}' if host else f'@{zone}' if zone else ''
    return Key(f'{uuid.UUID(int=value)}{suffix}', now_ms, zone, host)


@dataclasses.dataclass(slots=True)
class Entry:
    """What is known of one key.

    :param fingerprint: of the request that the key was first sent with.
    :param attempts: the highest dispatch number that was handed out.
    :param outcome: None while it runs, or if it never ran.
    """

    key: Key
    fingerprint: bytes
    attempts: int = 0
    running: bool = False
    outcome: calls.Outcome | None = None

    @property
    def kept_bytes(self) -> int:
        if isinstance(self.outcome, calls.Answer):
            return len(self.outcome.body)
        return 0

    @property
    def never_ran(self) -> bool:
        """Whether it is proved that no target has run the key."""
        refused = isinstance(self.outcome, calls.NotRun)
        return not self.running and (self.outcome is None or refused)


@dataclasses.dataclass(slots=True)
class Ledger:
    """Keys that this process ran, bounded; forgets the oldest first.

    Failure answered: a forgotten key is sent again and would run twice.
    It shows as a key stamped at or before `forgotten_ms`, which is then
    never run; it holds since entries go strictly in the order of stamps.
    """

    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_KEPT_BYTES
    forgotten_ms: int = -1
    kept_bytes: int = 0
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    oldest: list[tuple[int, str]] = dataclasses.field(default_factory=list)

    def begin(self, key: Key, fingerprint: bytes) -> Entry:
        """Record that the key is about to run; return its entry."""
        entry = self.entries.get(key.text)
        if entry is None:
            entry = Entry(key, fingerprint)
            self.entries[key.text] = entry
            heapq.heappush(self.oldest, (key.stamp_ms, key.text))
        entry.fingerprint = fingerprint
        entry.running = True
        entry.attempts += ATTEMPTS_A_RUN
        self._bound()
        return entry

    def note_minted(self, key: Key) -> None:
        """Record a key made here, which nobody can have run."""
        self.entries[key.text] = Entry(key, b'')
        heapq.heappush(self.oldest, (key.stamp_ms, key.text))
        self._bound()

    def settle(self, entry: Entry, outcome: calls.Outcome) -> None:
        """Record the outcome of a run; too long an answer is not kept."""
        if isinstance(outcome, calls.Answer):
            if len(outcome.body) > MAX_ANSWER_BYTES:
                outcome = calls.OutcomeUnknown(
                    f'it ran with status {outcome.status}; its answer of '
                    f'{len(outcome.body)} bytes was too long to be kept'
                )
        entry.running = False
        entry.outcome = outcome
        if self.entries.get(entry.key.text) is entry:
            self.kept_bytes += entry.kept_bytes
            self._bound()

    def known(self) -> Iterator[Entry]:
        return iter(self.entries.values())

    def _bound(self) -> None:
        while self.entries and (
            len(self.entries) > self.max_entries
            or self.kept_bytes > self.max_bytes
        ):
            stamp_ms, text = heapq.heappop(self.oldest)
            gone = self.entries.pop(text)
            self.kept_bytes -= gone.kept_bytes
            self.forgotten_ms = max(self.forgotten_ms, stamp_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class HandedEntry:
    """A recorded key on its way to an heir; neither outcome: never ran."""

    key: str
    fingerprint: bytes
    answer: calls.Answer | None = None
    unknown: calls.OutcomeUnknown | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HandedLedger:
    """A stopped process's record, complete for the stamps between.

    :param after_ms: keys stamped later were run by this process or none.
    :param until_ms: the last stamp that no later process of its host can
        have taken.
    """

    host: str
    incarnations: frozenset[int]
    after_ms: int
    until_ms: int
    entries: tuple[HandedEntry, ...]


def to_handed(entry: Entry) -> HandedEntry:
    """Return what an heir is to know of `entry`."""
    outcome = entry.outcome
    if isinstance(outcome, calls.Answer):
        return HandedEntry(entry.key.text, entry.fingerprint, outcome)
    if entry.never_ran:
        return HandedEntry(entry.key.text, entry.fingerprint)
    if not isinstance(outcome, calls.OutcomeUnknown):
        outcome = calls.OutcomeUnknown('its owner left while it ran')
    return HandedEntry(entry.key.text, entry.fingerprint, None, outcome)


@dataclasses.dataclass(slots=True)
class Dispatched:
    """A guard's record of a key; `outcome` is None while it runs."""

    attempt: int
    outcome: calls.Outcome | None = None


class Dispatch(enum.Enum):
    """What a guard does with a dispatch."""

    RUN = 'run'
    JOIN = 'join'
    STALE = 'stale'


def judge_dispatch(known: Dispatched | None, attempt: int) -> Dispatch:
    """Decide on dispatch number `attempt` of a key.

    Failure answered: a dispatch that this guard refused arrives twice,
    and the second copy runs after the owner sent the key elsewhere.  It
    shows as a number that was judged before, or a lower one.
    """
    if known is None:
        return Dispatch.RUN
    if attempt < known.attempt:
        return Dispatch.STALE
    if attempt > known.attempt and isinstance(known.outcome, calls.NotRun):
        return Dispatch.RUN
    return Dispatch.JOIN
