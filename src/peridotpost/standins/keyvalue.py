"""The state of the stand-in key-value service: plain rules, no network."""

import asyncio
from collections.abc import Callable
import dataclasses

MAX_VALUE_BYTES = 1_048_576
EVENTS_KEPT = 10_000
NO_END = b'\0'
"""A range's end that stands for "to the last key"."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored value with the revisions of its first and last write."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A write or, with `deleted`, a removal."""

    entry: Entry
    deleted: bool


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the moment at which it lapses."""

    lease_id: int
    ttl_s: int
    expires_at: float


class ValueTooLarge(ValueError):
    """A value is over a megabyte."""


class NoSuchLease(KeyError):
    """The lease lapsed or never was."""


class KeyValueState:
    """Keys, leases and the log of changes, at one revision."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[Change] = []
        self.compacted = 0
        self.changed = asyncio.Event()

    def range(self, key: bytes, end: bytes) -> list[Entry]:
        if not end:
            found = self.entries.get(key)
            return [] if found is None else [found]
        return [
            self.entries[one]
            for one in sorted(self.entries)
            if _within(one, key, end)
        ]

    def check_put(self, value: bytes, lease: int) -> None:
        """Say whether a put would be taken.

        :raises ValueTooLarge: the value is over a megabyte.
        :raises NoSuchLease: the lease lapsed or never was.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f'value of {len(value)} bytes')
        if lease and lease not in self.leases:
            raise NoSuchLease(lease)

    def put(self, key: bytes, value: bytes, lease: int, at: int) -> None:
        self.check_put(value, lease)
        old = self.entries.get(key)
        entry = Entry(
            key=key,
            value=value,
            created=old.created if old else at,
            modified=at,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self.entries[key] = entry
        self.log(Change(entry, deleted=False))

    def delete(self, key: bytes, at: int) -> None:
        old = self.entries.pop(key, None)
        if old is not None:
            gone = dataclasses.replace(old, modified=at, value=b'')
            self.log(Change(gone, deleted=True))

    def log(self, change: Change) -> None:
        self.changes.append(change)
        if len(self.changes) > EVENTS_KEPT:
            dropped = self.changes[-EVENTS_KEPT - 1]
            del self.changes[:-EVENTS_KEPT]
            self.compacted = dropped.entry.modified + 1
        self.revision = max(self.revision, change.entry.modified)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, revision: int) -> None:
        """Drop the changes before `revision`."""
        self.compacted = max(self.compacted, revision)
        self.changes = [
            one for one in self.changes if one.entry.modified >= revision
        ]

    def changes_from(
        self, key: bytes, end: bytes, revision: int
    ) -> list[Change]:
        return [
            change
            for change in self.changes
            if change.entry.modified >= revision
            and _within(change.entry.key, key, end)
        ]

    def grant(self, ttl_s: int, lease_id: int) -> Lease:
        lease = Lease(lease_id, ttl_s, self.now() + ttl_s)
        self.leases[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> int:
        """Renew and return the TTL; 0 when the lease has lapsed."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self.now() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """End a lease and what hangs on it.

        :raises NoSuchLease: the lease lapsed or never was.
        """
        if self.leases.pop(lease_id, None) is None:
            raise NoSuchLease(lease_id)
        at = self.revision + 1
        for entry in list(self.entries.values()):
            if entry.lease == lease_id:
                self.delete(entry.key, at)

    def expire(self) -> None:
        """Drop lapsed leases and what hangs on them."""
        for lease in list(self.leases.values()):
            if lease.expires_at <= self.now():
                self.revoke(lease.lease_id)


def _within(candidate: bytes, key: bytes, end: bytes) -> bool:
    if not end:
        return candidate == key
    return key <= candidate and (end == NO_END or candidate < end)
