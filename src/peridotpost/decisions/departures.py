"""Which departures of a host's targets the platform's store has.

Load pattern: a target announces that it leaves, and all daemons are killed
before it exits.  An announcement from before, held up on its way, then
reaches a daemon that knows nothing of the departure.

- A departure is acknowledged only once the store has it.
- A new daemon gives its target no work until it has read the departures.  If
  the store does not answer, a peer that followed the previous daemon of the
  host can vouch instead: it passes on what that target stated.
- An entry is written under a condition, so that a late write of an earlier
  daemon does not remove entries.
"""

import dataclasses

from peridotpost.model import instances

MAX_ENTRIES = 16
"""Latest departures of a host that are kept in the store."""


@dataclasses.dataclass(slots=True)
class DepartureLog:
    """Departures of one host's targets, as announced and as stored.

    :param announced: start time of the latest ended incarnation, in ms, by
        id; includes all stored ones.
    :param stored: those that the store has.
    :param revision: store revision of that entry; 0 if there is none, None
        if it was not read yet.
    :param was_read: whether it was read since this daemon started.
    :param read_failed: whether the store did not answer the first read.
    :param vouched: whether a peer knew the previous daemon of this host.
    """

    announced: dict[str, int] = dataclasses.field(default_factory=dict)
    stored: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int | None = None
    was_read: bool = False
    read_failed: bool = False
    vouched: bool = False

    @property
    def is_known(self) -> bool:
        """Whether earlier departures are known, so that work may be given."""
        return self.was_read or (self.read_failed and self.vouched)

    @property
    def is_complete(self) -> bool:
        """Whether the store has all announced departures."""
        return all(
            self.has_stored(instances.Incarnation(instance, started_ms))
            for instance, started_ms in self.announced.items()
        )

    def has_stored(self, incarnation: instances.Incarnation) -> bool:
        """Whether the store has the departure of an incarnation."""
        stored_ms = self.stored.get(incarnation.instance)
        return stored_ms is not None and incarnation.started_ms <= stored_ms

    def announce(self, incarnation: instances.Incarnation) -> None:
        """Add a departure."""
        started_ms = max(
            incarnation.started_ms,
            self.announced.pop(incarnation.instance, incarnation.started_ms),
        )
        self.announced[incarnation.instance] = started_ms
        while len(self.announced) > MAX_ENTRIES:
            del self.announced[next(iter(self.announced))]

    def note_read(
        self, entry: instances.StoredDepartures
    ) -> list[instances.Incarnation]:
        """Apply what the store has; return its departures."""
        announced = self.announced
        self.announced = {}
        found = [
            instances.Incarnation(instance, started_ms)
            for instance, started_ms in entry.by_instance.items()
        ]
        for incarnation in found:
            self.announce(incarnation)
        for instance, started_ms in announced.items():
            self.announce(instances.Incarnation(instance, started_ms))
        self.stored = dict(entry.by_instance)
        self.revision = entry.revision
        self.was_read = True
        return found

    def note_written(self, written: dict[str, int], revision: int) -> None:
        """Note an entry that the store has acknowledged."""
        self.stored = dict(written)
        self.revision = revision
