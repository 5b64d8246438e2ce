"""Which peers answer, for whoever counts them.

Load pattern: a part of the fleet is cut off, in one direction or both, by
links that drop silently.  Connections stay open on both sides, idle ones for
tens of seconds, and what arrives on one shows nothing about the way back.

- A peer counts unless a probe of it is unanswered for ``SILENT_S``.
- A few random peers are probed at each update, whatever the size of the
  fleet.  The larger the part that is cut off, the sooner a probe hits it.
- Once a peer turns silent, all peers are probed that have not answered since.
- While this process is stalled, answers wait to be read; the time does not
  count as silence.
"""

from collections.abc import Hashable
from collections.abc import Mapping
import math
import random
from typing import Generic
from typing import TypeVar

SAMPLE = 2
"""Peers that are probed at each update without a suspicion."""
FRESH_S = 1.0
"""A peer that answered this recently is not sampled."""
SILENT_S = 0.3
"""Five round trips between zones, as for reports that are not answered."""
MAX_SWEEP = 300
"""Peers that are probed at each update after one has turned silent."""
SWEEP_INTERVAL_S = 1.0
"""Minimum interval between two moments from which all are probed again."""
MAX_GAP_S = 0.4
"""A longer time between updates shows that this process was stalled."""

PeerT = TypeVar('PeerT', bound=Hashable)


class RoundTrips(Generic[PeerT]):
    """Probes of peers, and what their answers tell.

    :param probed: time of the unanswered probe by peer.
    :param silent: peers whose probe has been unanswered for too long.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.probed: dict[PeerT, float] = {}
        self.silent: set[PeerT] = set()
        self.suspected_at = -math.inf
        self.updated_at = math.inf

    def update(
        self, answered_at: Mapping[PeerT, float], now: float, urgent: bool
    ) -> list[PeerT]:
        """Note the answers until now; return the peers to probe.

        :param answered_at: time of the last answer of each peer.
        :param urgent: whether the count matters now, so that all peers are
            probed at once after one has turned silent.
        """
        if now - self.updated_at > MAX_GAP_S:
            self.probed = dict.fromkeys(self.probed, now)
        self.updated_at = now
        self.probed = {
            peer: at
            for peer, at in self.probed.items()
            if answered_at.get(peer, math.inf) < at
        }
        silent = {
            peer for peer, at in self.probed.items() if now - at > SILENT_S
        }
        if silent - self.silent and (
            now - self.suspected_at > SWEEP_INTERVAL_S
        ):
            self.suspected_at = now
        self.silent = silent
        due = self._due(answered_at, now, urgent)
        self.probed.update(dict.fromkeys(due, now))
        return due

    def _due(
        self, answered_at: Mapping[PeerT, float], now: float, urgent: bool
    ) -> list[PeerT]:
        quiet = [
            peer
            for peer, at in answered_at.items()
            if peer not in self.probed and now - at > FRESH_S
        ]
        due = self._sample(quiet, SAMPLE)
        doubted = [
            peer
            for peer, at in answered_at.items()
            if peer not in self.probed
            and at < self.suspected_at
            and peer not in due
        ]
        return due + (doubted if urgent else self._sample(doubted, MAX_SWEEP))

    def _sample(self, peers: list[PeerT], count: int) -> list[PeerT]:
        if len(peers) <= count:
            return peers
        return self.randomness.sample(peers, count)
