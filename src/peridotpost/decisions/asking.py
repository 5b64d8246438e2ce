"""Whom a daemon asks for the fleet while the store is out.

Load pattern: the store turns all daemons away in the same moment, and
each wants to know of hosts that it may have missed.  Every answer lists
the whole fleet.  With 60 hosts, each asking all others on all streams,
600 KB come to each host at once: a second of a link of 5 Mbit/s, in which
requests wait, pings stay unanswered, healthy hosts are taken for silent,
and what they run is given up; between zones it was most of the day's
bytes.

- ``ENOUGH`` answers are wanted, from the own zone.  All of a zone know
  much the same, and one that differs is heard of from the others.
- Another zone is asked only where the own one has nobody, and once.

Grounds: two answers may be lost with the daemons that owe them, and the
third still comes; 3 x 6 KB take 0.06 s of a link of 2.5 Mbit/s.
"""

from collections.abc import Sequence
import dataclasses

ENOUGH = 3
ENOUGH_FAR = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A daemon that could be asked.

    :param asked: whether it was, on the stream that it has now.
    """

    host: str
    far: bool
    asked: bool


def to_ask(neighbours: Sequence[Neighbour]) -> list[str]:
    """Return the hosts to ask now, in the order given."""
    near = [one for one in neighbours if not one.far]
    among, enough = (near, ENOUGH) if near else (neighbours, ENOUGH_FAR)
    lacking = enough - sum(one.asked for one in among)
    new = [one.host for one in among if not one.asked]
    return new[: max(0, lacking)]
