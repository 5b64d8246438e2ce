"""Which peers a daemon asks for the member list while the store is down.

A store outage hits all daemons at the same moment, and each of them then
wants to learn of hosts it may have missed.  Every answer lists the whole
fleet.  If each of 60 hosts asked all others on every stream, each would
receive 600 KB at once: one second of a 5 Mbit/s link, during which requests
queue, pings go unanswered, healthy hosts are taken for silent and the work
on them is given up.  Between zones these answers were most of a day's
traffic.

- Up to ``MAX_SAME_ZONE_PEERS`` peers of the own zone are asked.  The hosts
  of a zone know much the same members; what one of them lacks arrives
  through the others.
- A peer of a remote zone is asked only if the own zone has none, and only
  one of them.

With three peers two answers may be lost; three answers of 6 KB take 0.06 s
on a 2.5 Mbit/s link.
"""

from collections.abc import Sequence
import dataclasses

MAX_SAME_ZONE_PEERS = 3
MAX_REMOTE_ZONE_PEERS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCandidate:
    """A peer that can be asked for the member list.

    :param in_remote_zone: it is in a remote availability zone.
    :param asked: it has already been asked on its current stream.
    """

    host: str
    in_remote_zone: bool
    asked: bool


def peers_to_ask(candidates: Sequence[PeerCandidate]) -> list[str]:
    """Return the hosts to ask now, in the order of `candidates`."""
    same_zone = [one for one in candidates if not one.in_remote_zone]
    pool, limit = (
        (same_zone, MAX_SAME_ZONE_PEERS)
        if same_zone
        else (candidates, MAX_REMOTE_ZONE_PEERS)
    )
    missing = limit - sum(one.asked for one in pool)
    new = [one.host for one in pool if not one.asked]
    return new[: max(0, missing)]
