"""In-memory state of the stand-in key-value service, without networking."""

import asyncio
from collections.abc import Callable
import dataclasses

MAX_VALUE_BYTES = 1_048_576
MAX_CHANGES = 10_000
"""Changes kept for watches; older ones are compacted."""
NO_END = b'\0'
"""End of a range that extends to the last key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A stored value with the revisions of its creation and last write.

    :param version: number of writes since the creation.
    :param lease: ID of the lease it is attached to, or 0.
    """

    key: bytes
    value: bytes
    created_revision: int
    modified_revision: int
    version: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A write or, with `deleted`, a deletion."""

    entry: Entry
    deleted: bool


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the time at which it expires."""

    lease_id: int
    ttl_s: int
    expires_at: float


class ValueTooLarge(ValueError):
    """A value is larger than ``MAX_VALUE_BYTES``."""


class LeaseNotFound(KeyError):
    """The lease has expired, or was never granted."""


class KeyValueState:
    """Keys, leases, the change log and the current revision."""

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[Change] = []
        self.compacted_revision = 0
        self.changed = asyncio.Event()

    def range(self, key: bytes, end: bytes) -> list[Entry]:
        """Return the entries of a range of keys; of one key without `end`."""
        if not end:
            entry = self.entries.get(key)
            return [] if entry is None else [entry]
        return [
            self.entries[stored_key]
            for stored_key in sorted(self.entries)
            if _in_range(stored_key, key, end)
        ]

    def check_put(self, value: bytes, lease: int) -> None:
        """Validate a put without applying it.

        :raises ValueTooLarge: the value exceeds ``MAX_VALUE_BYTES``.
        :raises LeaseNotFound: the lease has expired, or was never granted.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f'value of {len(value)} bytes')
        if lease and lease not in self.leases:
            raise LeaseNotFound(lease)

    def put(self, key: bytes, value: bytes, lease: int, revision: int) -> None:
        self.check_put(value, lease)
        old = self.entries.get(key)
        entry = Entry(
            key=key,
            value=value,
            created_revision=old.created_revision if old else revision,
            modified_revision=revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self.entries[key] = entry
        self._append_change(Change(entry, deleted=False))

    def delete(self, key: bytes, revision: int) -> None:
        old = self.entries.pop(key, None)
        if old is not None:
            tombstone = dataclasses.replace(
                old, modified_revision=revision, value=b''
            )
            self._append_change(Change(tombstone, deleted=True))

    def _append_change(self, change: Change) -> None:
        self.changes.append(change)
        if len(self.changes) > MAX_CHANGES:
            last_dropped = self.changes[-MAX_CHANGES - 1]
            del self.changes[:-MAX_CHANGES]
            self.compacted_revision = last_dropped.entry.modified_revision + 1
        self.revision = max(self.revision, change.entry.modified_revision)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, revision: int) -> None:
        """Discard the changes before `revision`."""
        self.compacted_revision = max(self.compacted_revision, revision)
        self.changes = [
            change
            for change in self.changes
            if change.entry.modified_revision >= revision
        ]

    def changes_since(
        self, key: bytes, end: bytes, revision: int
    ) -> list[Change]:
        """Return the changes of a range of keys from `revision` on."""
        return [
            change
            for change in self.changes
            if change.entry.modified_revision >= revision
            and _in_range(change.entry.key, key, end)
        ]

    def grant(self, ttl_s: int, lease_id: int) -> Lease:
        lease = Lease(lease_id, ttl_s, self.now() + ttl_s)
        self.leases[lease_id] = lease
        return lease

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease and return its TTL; 0 if the lease has expired."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at = self.now() + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it.

        :raises LeaseNotFound: the lease has expired, or was never granted.
        """
        if self.leases.pop(lease_id, None) is None:
            raise LeaseNotFound(lease_id)
        revision = self.revision + 1
        for entry in list(self.entries.values()):
            if entry.lease == lease_id:
                self.delete(entry.key, revision)

    def expire(self) -> None:
        """Revoke expired leases and delete the keys attached to them."""
        for lease in list(self.leases.values()):
            if lease.expires_at <= self.now():
                self.revoke(lease.lease_id)


def _in_range(candidate: bytes, key: bytes, end: bytes) -> bool:
    if not end:
        return candidate == key
    return key <= candidate and (end == NO_END or candidate < end)
