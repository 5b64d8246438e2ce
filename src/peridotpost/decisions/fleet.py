"""Merging what is heard of the fleet's members.

Load pattern: records of one member arrive late, twice and crossed, by
streams, probes and reconciliation at once.  Without a total order on a
member's records two daemons could end with different fleets.

The order is (incarnation, status, sequence).  Only the member itself
raises its incarnation and sequence, so the highest record is its latest
word, except that a suspicion or death at the same incarnation overrides
it until it answers with a higher incarnation.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from peridotpost.model import members

TOMBSTONE_S = 86_400.0
"""Seconds for which a departed member is remembered.  Forgetting it sooner
than the longest partition would let a daemon that was cut off bring the
dead record back as live; a day covers "regions cut for minutes" by far."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """The records that one daemon holds, by host."""

    records: dict[str, members.MemberRecord] = dataclasses.field(
        default_factory=dict
    )
    departed_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def merge(self, record: members.MemberRecord, now: float) -> bool:
        """Keep `record` if it is later than the one held; say whether."""
        held = self.records.get(record.host)
        if held is not None and record.mark <= held.mark:
            return False
        self.records[record.host] = record
        if record.live:
            self.departed_at.pop(record.host, None)
        else:
            self.departed_at.setdefault(record.host, now)
        return True

    def forget(self, now: float) -> list[str]:
        """Drop members that departed long ago; return their hosts."""
        gone = [
            host
            for host, at in self.departed_at.items()
            if now - at > TOMBSTONE_S
        ]
        for host in gone:
            del self.departed_at[host]
            del self.records[host]
        return gone

    def live(self) -> Iterator[members.MemberRecord]:
        return (one for one in self.records.values() if one.live)

    def live_hosts(self, zone: str) -> list[str]:
        return [
            one.host for one in self.live() if one.availability_zone == zone
        ]

    def zones(self) -> list[str]:
        return sorted({one.availability_zone for one in self.live()})

    def newer_than(
        self, marks: Mapping[str, members.MemberMark]
    ) -> Iterable[members.MemberRecord]:
        """Return the records that a holder of `marks` lacks."""
        return [
            record
            for host, record in self.records.items()
            if host not in marks or marks[host] < record.mark
        ]

    def marks(self) -> dict[str, members.MemberMark]:
        return {host: one.mark for host, one in self.records.items()}
