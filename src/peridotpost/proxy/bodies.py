"""Bodies of messages, and the memory that they take.

Small bodies are ``bytes``.  Large ones are views of memory that is mapped for
them alone: it is written once, sent without a copy, and returned to the
system as soon as the last view is gone, which also ends its charge.
"""

from collections.abc import Callable
import dataclasses
import mmap
import weakref

from peridotpost.decisions import memoryaccount
from peridotpost.kernel import counters
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines

Body = forwarding.Body

SMALL_BODY_BYTES = 64 * 1024
"""Size up to which a body is not mapped."""
GROWTH_BYTES = 1024 * 1024
"""Step in which a body of unknown length claims memory."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What connections need in order to share the memory of a process.

    :param timer: for messages that wait for room.
    """

    account: memoryaccount.MemoryAccount
    timer: deadlines.DeadlineTimer
    counts: counters.Counters


class NoRoom(Exception):
    """There is no memory for a message, and it can't wait for it."""


class MappedBody:
    """A large body that is being received.

    :param size: bytes that it may have, which the caller has charged.
    """

    def __init__(
        self, account: memoryaccount.MemoryAccount, size: int
    ) -> None:
        self.account = account
        self.capacity = size
        self.length = 0
        self.mapping = mmap.mmap(
            -1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        )
        # The charge lasts as long as the memory, whoever holds it.
        self.charge = weakref.finalize(self.mapping, account.give_back, size)

    def write(self, data: Body) -> None:
        """Append data, for which there must be room."""
        self.mapping.write(data)
        self.length += len(data)

    def grow(self, size: int) -> None:
        """Add room for `size` bytes, which the caller has charged."""
        self.capacity += size
        self.mapping.resize(self.capacity)
        self.charge.detach()
        self.charge = weakref.finalize(
            self.mapping, self.account.give_back, self.capacity
        )

    def view(self) -> memoryview:
        """Return what was written."""
        return memoryview(self.mapping)[: self.length].toreadonly()


class IncomingBody:
    """Assembles the body of one message as its parts arrive.

    :param kind: what the memory of a large body is charged as.
    :param declared: length that the message states; None if it states none.
    """

    __slots__ = ('account', 'kind', 'declared', 'size', 'chunks', 'mapped')

    def __init__(
        self,
        account: memoryaccount.MemoryAccount,
        kind: memoryaccount.Kind,
        declared: int | None,
    ) -> None:
        self.account = account
        self.kind = kind
        self.declared = declared
        self.size = 0
        self.chunks: list[bytes] = []
        self.mapped: MappedBody | None = None

    @property
    def needed(self) -> int:
        """Bytes that have to be charged before more is read; 0 if none."""
        if self.mapped is None:
            expected = self.size if self.declared is None else self.declared
            if expected <= SMALL_BODY_BYTES:
                return 0
            if self.declared is not None:
                return self.declared
            return self.size + GROWTH_BYTES
        if self.size <= self.mapped.capacity:
            return 0
        return self.size - self.mapped.capacity + GROWTH_BYTES

    def append(self, data: bytes) -> None:
        """Add a part; `needed` tells whether more memory is needed."""
        self.size += len(data)
        mapped = self.mapped
        if mapped is not None and self.size <= mapped.capacity:
            mapped.write(data)
        else:
            self.chunks.append(data)

    def claim(self) -> bool:
        """Take the memory that is needed; return whether there was room."""
        needed = self.needed
        if needed and not self.account.take(self.kind, needed):
            return False
        if needed:
            self.receive_room(needed)
        return True

    def wait(self, granted: Callable[[], None]) -> memoryaccount.Claim | None:
        """Wait for the memory that is needed.

        :param granted: called when the memory was taken.
        :return: None if there are too many claims, or never will be room.
        """
        needed = self.needed
        held = self.mapped.capacity if self.mapped is not None else 0
        if held + needed > self.account.limits[self.kind]:
            # It would wait for memory that it holds itself.
            return None

        def receive() -> None:
            self.receive_room(needed)
            granted()

        return self.account.wait(self.kind, needed, receive)

    def receive_room(self, size: int) -> None:
        """Use `size` bytes, which are charged already."""
        if self.mapped is None:
            self.mapped = MappedBody(self.account, size)
        else:
            self.mapped.grow(size)
        for chunk in self.chunks:
            self.mapped.write(chunk)
        self.chunks = []

    def finish(self) -> Body:
        """Return the complete body, which has room."""
        if self.mapped is not None:
            return self.mapped.view()
        chunks = self.chunks
        return chunks[0] if len(chunks) == 1 else b''.join(chunks)


class RoomWait:
    """A body that waits for room.

    :param granted: called when it has room.
    :ivar claim: None if it does not wait: it has room, gave up, or can't wait.
    """

    def __init__(
        self,
        incoming: IncomingBody,
        timer: deadlines.DeadlineTimer,
        granted: Callable[[], None],
    ) -> None:
        self.account = incoming.account
        self.timer = timer
        self.granted = granted
        self.slot = 0
        self.claim = incoming.wait(self._granted)

    def expire_at(self, deadline: float, refused: Callable[[], None]) -> None:
        """Give up at a deadline, in seconds since boot.

        :param refused: called if there was no room by then.
        """

        def expire() -> None:
            self.slot = 0
            self.cancel()
            refused()

        self.slot = self.timer.add(deadline, self, expire)

    def cancel(self) -> None:
        """Stop waiting."""
        if self.slot:
            self.timer.discard(self.slot, self)
            self.slot = 0
        if self.claim is not None:
            self.account.withdraw(self.claim)
            self.claim = None

    def _granted(self) -> None:
        self.claim = None
        self.cancel()
        self.granted()
