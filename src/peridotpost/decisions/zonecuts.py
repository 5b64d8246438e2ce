"""Which availability zones count as cut off, and which hosts as separated.

Load pattern: a zone is cut off, in both directions or in one, in the second
in which a customer's demand rises.  Streams are closed seconds later, and
until then an owner that is not reached and its successor would both admit the
whole rate of the hosts that they count.

- A host whose owners in a zone are mostly silent takes the zone for cut off
  and says so to its hosts.
- A host that was told that its own zone counts as cut off does not count the
  sender as reachable either.  So no host counts at two owners, even if
  messages still pass in one direction.
- All of this ends after ``HOLD_S``; the streams are closed by then.
"""

from collections.abc import Iterable
from collections.abc import Sequence

HOLD_S = 3.0
"""How long a zone counts as cut off; the streams to it are closed by then."""


class ZoneCuts:
    """What one host knows of zones that are cut off from it.

    :param own_zone: the availability zone of the host.
    """

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self.until_by_zone: dict[str, float] = {}
        self.separated_until: dict[str, float] = {}

    def observe(self, silent: Iterable[str], now: float) -> None:
        """Note the zones whose owners are silent to this host."""
        for zone in silent:
            if zone != self.own_zone:
                self.until_by_zone[zone] = now + HOLD_S

    def told(self, host: str, zones: Sequence[str], now: float) -> None:
        """Note the zones that another host takes for cut off."""
        if self.own_zone in zones:
            self.separated_until[host] = now + HOLD_S

    def zones(self, now: float) -> set[str]:
        """Return the zones that count as cut off."""
        return {zone for zone, end in self.until_by_zone.items() if now < end}

    def separated_hosts(self, now: float) -> set[str]:
        """Return the hosts that take this one for cut off."""
        return {
            host for host, end in self.separated_until.items() if now < end
        }
