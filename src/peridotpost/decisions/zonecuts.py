"""Which availability zones count as cut off, and which hosts as separated.

Load pattern: a zone is cut off, in both directions or in one, in the second
in which a customer's demand rises.  Streams are closed seconds later, and
until then an owner that is not reached and its successor would both admit the
whole rate of the hosts that they count.

- A host that gets no answers from most owners in a zone treats the zone as cut
  off and reports this to all hosts.  If it gets no answers from other zones
  either, it may be cut off itself and reports only to that zone.
- A host with little demand has no overdue answer yet.  It follows the reports
  of a quorum, unless the zone has just answered it.
- A host whose own zone is reported does not count the reporting host as
  reachable, so that no host counts at two owners even if messages still pass
  in one direction.
- All of this ends after ``HOLD_S``; the streams are closed by then.
"""

from collections.abc import Iterable
from collections.abc import Set
import math

HOLD_S = 3.0
"""How long a zone counts as cut off; the streams to it are closed by then."""
WITNESS_S = 1.0
"""How long a report of another host on a zone counts."""
MIN_WITNESSES = 2
WITNESS_PART = 0.01
"""Part of the known hosts that have to report a zone, to be followed."""


class ZoneCuts:
    """What one host knows of zones that are cut off from it.

    :param own_zone: the availability zone of the host.
    """

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self.until_by_zone: dict[str, float] = {}
        self.witnesses: dict[str, dict[str, float]] = {}
        self.separated_until: dict[str, float] = {}

    def observe(self, silent: Iterable[str], now: float) -> None:
        """Record the zones whose owners do not answer this host."""
        for zone in silent:
            if zone != self.own_zone:
                self.until_by_zone[zone] = now + HOLD_S

    def note_report(self, host: str, zones: Iterable[str], now: float) -> None:
        """Record the zones that another host treats as cut off."""
        for zone in zones:
            if zone == self.own_zone:
                self.separated_until[host] = now + HOLD_S
            else:
                self.witnesses.setdefault(zone, {})[host] = now

    def follow_reports(
        self, known: int, answering: Set[str], now: float
    ) -> None:
        """Treat zones as cut off that a quorum of hosts reported.

        :param known: how many hosts are known.
        :param answering: zones that have just answered this host.
        """
        for zone, reports in list(self.witnesses.items()):
            for host, at in list(reports.items()):
                if now - at > WITNESS_S:
                    del reports[host]
            if not reports:
                del self.witnesses[zone]
            elif (
                len(reports) >= self._quorum(known)
                and zone not in answering
                and now >= self.until_by_zone.get(zone, -math.inf)
            ):
                self.until_by_zone[zone] = now + HOLD_S

    def should_broadcast(
        self, new: Set[str], known: int, answering: Set[str]
    ) -> bool:
        """Whether to report new zones to all hosts, not only to those zones.

        Not needed if a quorum has reported them already.
        """
        missing = any(
            len(self.witnesses.get(zone, {})) < self._quorum(known)
            for zone in new
        )
        return missing and bool(answering - new)

    def zones(self, now: float) -> set[str]:
        """Return the zones that count as cut off."""
        return {zone for zone, end in self.until_by_zone.items() if now < end}

    def separated_hosts(self, now: float) -> set[str]:
        """Return the hosts that treat the zone of this one as cut off."""
        return {
            host for host, end in self.separated_until.items() if now < end
        }

    def _quorum(self, known: int) -> int:
        return max(MIN_WITNESSES, math.ceil(WITNESS_PART * known))
