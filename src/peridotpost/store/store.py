"""Interface that the system requires of the platform's key-value store."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses
from typing import Protocol

import result

from peridotpost.model import errors


@dataclasses.dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value.

    :param revision: the store revision of the last write to the key.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A write; with a `lease`, the key is deleted when the lease expires."""

    key: str
    value: bytes
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Swapped:
    """The swap took effect at `revision`."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The swap did not take effect; `current` is the key's present value."""

    current: KeyValue | None


class Store(Protocol):
    """Key-value store with compare-and-swap, leases and watches.

    Failures are returned as ``Err``, never raised:

    - ``StoreUnavailable``: no response, so a write may have taken effect.
    - ``StoreProtocolError``: an invalid response; a write may have taken
      effect.
    - ``StoreRefused``: the service rejected the call and wrote nothing.
      Its subclasses are ``StoreOverloaded`` (over quota) and
      ``LeaseExpired``.
    """

    async def read(
        self, key: str
    ) -> result.Result[KeyValue | None, errors.StoreError]:
        """Read one key; None if it does not exist."""
        ...

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[KeyValue], errors.StoreError]:
        """Read every key that starts with `prefix`."""
        ...

    async def swap(
        self, key: str, expected_revision: int, puts: Sequence[Put]
    ) -> result.Result[Swapped | Conflict, errors.StoreError]:
        """Write `puts` atomically if `key` is at `expected_revision`.

        0 means that the key does not exist.
        """
        ...

    async def grant(self, ttl_s: int) -> result.Result[int, errors.StoreError]:
        """Create a lease and return its id."""
        ...

    async def keep_alive(
        self, lease: int
    ) -> result.Result[bool, errors.StoreError]:
        """Renew a lease; False if it has expired."""
        ...

    async def revoke(
        self, lease: int
    ) -> result.Result[None, errors.StoreError]:
        """End a lease and delete its keys.

        Succeeds also for a lease that has already expired.
        """
        ...

    def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[result.Result[KeyValue, errors.StoreError]]:
        """Yield each write to `key` from `from_revision` on.

        If the service has compacted changes that old, only the latest
        write is yielded in their place.  The iterator ends without an
        ``Err`` only when the watch's time limit is reached.  Every other
        end yields an ``Err``, so that a caller which reads and watches
        again after each end can back off instead of looping.
        """
        ...
