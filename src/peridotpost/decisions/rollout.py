"""Whether a version is in force on a whole fleet, from its relays' words.

Load pattern: 10,000 versions a day, each of which somebody follows until
it is in force on 5,200 daemons.  Asking every daemon is 5,200 requests a
look; the relays' words make it two for each availability zone.

A daemon reports to one parent, and a zone's other relays to its first, so
the relay that speaks for the most daemons speaks for the zone.  Where a
daemon is moving between parents, or the first relay does not answer, the
count falls short and the word is "not known yet".
"""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RelayWord:
    """What one relay says of itself and those below it.

    :param covers_zone: they are just the live daemons of its zone, see
        ``decisions.progress``.
    """

    availability_zone: str
    lowest_revision: int
    daemons: int
    covers_zone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneRollout:
    """The words of a zone's relays together.

    :param live: daemons of the zone that are live.
    :param told: daemons for which one relay spoke.
    :param covered: they are all of them, and no other.
    """

    availability_zone: str
    live: int
    told: int
    lowest_revision: int
    covered: bool

    def has(self, revision: int) -> bool:
        """Whether `revision` is known to be in force in the whole zone."""
        return self.covered and self.lowest_revision >= revision


def of_zone(
    availability_zone: str, live: int, reports: Iterable[RelayWord]
) -> ZoneRollout:
    """Take the widest word on one availability zone."""
    mine = [w for w in reports if w.availability_zone == availability_zone]
    widest = max(
        mine,
        key=lambda word: (word.covers_zone, word.daemons),
        default=RelayWord(availability_zone, 0, 0, False),
    )
    return ZoneRollout(
        availability_zone,
        live,
        widest.daemons,
        widest.lowest_revision,
        widest.covers_zone,
    )
