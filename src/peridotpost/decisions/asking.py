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

MAX_SAME_ZONE_PEERS = 3
MAX_OTHER_ZONE_PEERS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbour:
    """A daemon that could be asked.

    :param asked: whether it was, on the stream that it has now.
    """

    host: str
    far: bool
    asked: bool


def to_ask(candidates: Sequence[Neighbour]) -> list[str]:
    """Return the hosts to ask now, in the order given."""
    same_zone = [one for one in candidates if not one.far]
    pool, limit = (
        (same_zone, MAX_SAME_ZONE_PEERS)
        if same_zone
        else (candidates, MAX_OTHER_ZONE_PEERS)
    )
    missing = limit - sum(one.asked for one in pool)
    new = [one.host for one in pool if not one.asked]
    return new[: max(0, missing)]
