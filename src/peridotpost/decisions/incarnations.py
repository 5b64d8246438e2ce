"""Which announcement of a target counts.

Failure: announcements may come seconds late, or once more.  A late
``ready`` after a drain was acknowledged would send work to a target that
ends; a late word of a dead incarnation would revive its address, which
may serve another by then.

Incarnations are ordered by their start, announcements of one by their
sequence number.  A target that said it drains or is gone never becomes
ready again under the same incarnation.
"""

from peridotpost.model import instances

GONE_MEMORY = 64
"""Ended incarnations remembered, by id; a host's target is replaced a few
times an hour at most."""


class InstanceLog:
    """The target of this host, as told by its announcements."""

    def __init__(self) -> None:
        self.current: instances.Announcement | None = None
        self.ended: dict[str, int] = {}

    def offer(self, told: instances.Announcement) -> bool:
        """Take an announcement; return whether it changed anything."""
        if told.born_ms <= self.ended.get(told.instance, -1):
            return False
        known = self.current
        if known is not None and not _newer(told, known):
            return False
        self.current = told
        if told.state is not instances.InstanceState.READY:
            self._note_end(told.instance, told.born_ms)
        return known is None or _differs(told, known)

    def leave(self, instance: str, born_ms: int) -> bool:
        """Note that `instance` leaves; return whether it was the current."""
        self._note_end(instance, born_ms)
        known = self.current
        if known is None or known.instance != instance:
            return False
        if known.born_ms > born_ms:
            return False
        self.current = None
        return True

    def _note_end(self, instance: str, born_ms: int) -> None:
        self.ended[instance] = max(born_ms, self.ended.get(instance, 0))
        while len(self.ended) > GONE_MEMORY:
            del self.ended[next(iter(self.ended))]


def _newer(
    told: instances.Announcement, known: instances.Announcement
) -> bool:
    if told.born_ms != known.born_ms:
        return told.born_ms > known.born_ms
    if told.instance != known.instance:
        return True
    return told.sequence > known.sequence


def _differs(
    told: instances.Announcement, known: instances.Announcement
) -> bool:
    return (
        told.instance != known.instance
        or told.born_ms != known.born_ms
        or told.service != known.service
        or told.state is not known.state
        or told.slots != known.slots
        or told.version != known.version
        or (told.address, told.port) != (known.address, known.port)
    )
