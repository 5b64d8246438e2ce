"""Which announcement of a target takes effect.

Announcements may arrive seconds late or twice.  A late ``ready`` after an
acknowledged drain would send work to a target that is shutting down; a late
announcement of an ended incarnation would bring back its address, which may
belong to another target by then.

Incarnations are ordered by their start time, announcements of one
incarnation by their sequence number.  A target that announced that it is
draining or gone never becomes ready again in the same incarnation, so such an
announcement takes effect whatever its sequence number.
"""

from peridotpost.model import instances

MAX_ENDED_INSTANCES = 64
"""A host's target is replaced a few times an hour at most."""


class InstanceTracker:
    """The state of this host's target, from its announcements.

    :param ended: start time of the latest ended incarnation, in ms, by id.
    """

    def __init__(self) -> None:
        self.current: instances.Announcement | None = None
        self.ended: dict[str, int] = {}

    def offer(self, announcement: instances.Announcement) -> bool:
        """Apply an announcement; return whether it changed anything."""
        if announcement.started_ms <= self.ended.get(
            announcement.instance, -1
        ):
            return False
        current = self.current
        if (
            current is not None
            and not _is_newer(announcement, current)
            and not _ends(announcement, current)
        ):
            return False
        self.current = announcement
        if announcement.state is not instances.InstanceState.READY:
            self._record_end(announcement.instance, announcement.started_ms)
        return current is None or _differs(announcement, current)

    def leave(self, instance: str, started_ms: int) -> bool:
        """Record that `instance` left; return whether it was the current."""
        self._record_end(instance, started_ms)
        current = self.current
        if current is None or current.instance != instance:
            return False
        if current.started_ms > started_ms:
            return False
        self.current = None
        return True

    def _record_end(self, instance: str, started_ms: int) -> None:
        self.ended[instance] = max(started_ms, self.ended.get(instance, 0))
        while len(self.ended) > MAX_ENDED_INSTANCES:
            del self.ended[next(iter(self.ended))]


def _is_newer(
    announcement: instances.Announcement, current: instances.Announcement
) -> bool:
    if announcement.started_ms != current.started_ms:
        return announcement.started_ms > current.started_ms
    if announcement.instance != current.instance:
        return True
    return announcement.sequence > current.sequence


def _ends(
    announcement: instances.Announcement, current: instances.Announcement
) -> bool:
    """Whether an announcement says that the current incarnation leaves."""
    return (
        announcement.state is not instances.InstanceState.READY
        and announcement.incarnation == current.incarnation
    )


def _differs(
    announcement: instances.Announcement, current: instances.Announcement
) -> bool:
    return (
        announcement.instance != current.instance
        or announcement.started_ms != current.started_ms
        or announcement.service != current.service
        or announcement.state is not current.state
        or announcement.slots != current.slots
        or announcement.version != current.version
        or (announcement.address, announcement.port)
        != (current.address, current.port)
    )
