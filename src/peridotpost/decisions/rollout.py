"""Whether a version is in force on the whole fleet, from its relays' reports.

10,000 versions are accepted on a day, and each is polled until it is in
force on 5,200 daemons.  Polling every daemon would take 5,200 requests each
time; the relays' reports reduce that to two per availability zone.

A daemon reports to one parent, and the other relays of a zone report to its
first relay, so the relay whose report covers the most daemons speaks for
the zone.  While a daemon moves between parents, or the first relay does not
answer, the report is incomplete and the result is "not known yet".
"""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReport:
    """The report of one relay about itself and the daemons below it.

    :param covers_zone: these are exactly the live daemons of its zone, see
        ``decisions.progress``.
    """

    availability_zone: str
    lowest_revision: int
    daemons: int
    covers_zone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRollout:
    """The combined reports of a zone's relays.

    :param live: number of live daemons in the zone.
    :param told: number of daemons that the report covers.
    :param covered: the report covers exactly the live daemons of the zone.
    """

    availability_zone: str
    live: int
    told: int
    lowest_revision: int
    covered: bool

    def is_in_force(self, revision: int) -> bool:
        """Whether `revision` is known to be in force in the whole zone."""
        return self.covered and self.lowest_revision >= revision


def combine_reports(
    availability_zone: str, live: int, reports: Iterable[RelayReport]
) -> ZoneRollout:
    """Return the most complete report about one availability zone."""
    zone_reports = [
        one for one in reports if one.availability_zone == availability_zone
    ]
    most_complete = max(
        zone_reports,
        key=lambda report: (report.covers_zone, report.daemons),
        default=RelayReport(availability_zone, 0, 0, False),
    )
    return ZoneRollout(
        availability_zone,
        live,
        most_complete.daemons,
        most_complete.lowest_revision,
        most_complete.covers_zone,
    )
