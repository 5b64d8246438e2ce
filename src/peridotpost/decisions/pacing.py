"""How fast a daemon tries again, and how many may come at once.

Load pattern: a herd of daemons dies together and reconnects together, or
the store comes back after an outage with all relays waiting.  Without
spread the survivors would get every reconnect within one round trip, fail
again, and meet the next synchronous wave.

Full jitter (uniform between nothing and the exponential bound) spreads a
wave over the whole bound; the grounds are the usual ones: it is the only
one of the common variants whose waves flatten on the first retry.
"""

from collections.abc import Sequence
import dataclasses
import random

BASE_S = 0.1
CAP_S = 5.0
JOINS_PER_S = 40
JOIN_BURST = 16
MAX_RETRY_AFTER_S = 15.0
"""A daemon without a parent still hears by reconciliation, about every
10 s; sent away for much longer it would do better with any other one."""
STABLE_STREAM_S = 5.0
"""A stream that stood this long was not refused in disguise."""


@dataclasses.dataclass(slots=True)
class Backoff:
    """Exponential back-off with full jitter; `base_s` and `cap_s` bound it."""

    randomness: random.Random
    base_s: float = BASE_S
    max_delay_s: float = CAP_S
    failures: int = 0

    def next_delay(self) -> float:
        """Return the seconds to wait after one more failure."""
        bound = min(
            self.max_delay_s, self.base_s * 2 ** min(self.failures, 16)
        )
        self.failures += 1
        return self.randomness.uniform(0, bound)

    def reset(self) -> None:
        self.failures = 0


@dataclasses.dataclass(slots=True)
class JoinLimit:
    """Token bucket for new streams at a parent, with slots to come back.

    A child that comes back with what it held costs its parent under a
    millisecond, and 40 a second take in a zone's children in a second or
    two.  A child that knows nobody costs 70 to 100 ms at 5,200 members
    (``bench.capacity``): a herd of those takes a core of each parent for
    as long as it lasts, one or two seconds for the 16 that it has.

    Each that is refused gets a later slot than the one before.  With one
    and the same time for all, a storm of 400 would come back as 400
    within one token's time, and so on until it had died down by luck.
    """

    now: float
    rate: float = JOINS_PER_S
    burst: float = JOIN_BURST
    tokens: float = JOIN_BURST
    slot: float = 0.0

    def admit(self, now: float) -> float:
        """Return 0 to admit, else the seconds after which to come back."""
        gained = (now - self.now) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.now = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        earliest = now + (1 - self.tokens) / self.rate
        self.slot = max(self.slot + 1 / self.rate, earliest)
        if self.slot > now + MAX_RETRY_AFTER_S:
            self.slot = earliest
        return self.slot - now


@dataclasses.dataclass(slots=True)
class PeerHistory:
    """How one parent answered so far."""

    backoff: Backoff
    retry_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ParentChoice:
    """Which parent to dial next, and how long to wait before.

    Load pattern: a parent that is full, storming, dead or hung, with all
    of its children looking for another.  Without a memory for each parent
    a refused child would wait for the very one that refused it while the
    next in its list stands free; and one that takes a stream and drops it
    at once would be dialled without end.

    A refusal is honoured to the millisecond, with up to a quarter more so
    that those who were refused together do not come back together.
    """

    randomness: random.Random
    past: dict[str, PeerHistory] = dataclasses.field(default_factory=dict)

    def choose(
        self, candidates: Sequence[str], now: float
    ) -> tuple[str, float]:
        """Return the peer to dial and the seconds to wait before that."""
        for peer in candidates:
            if self._history_of(peer).retry_at <= now:
                return peer, 0.0
        peer = min(candidates, key=lambda one: self._history_of(one).retry_at)
        return peer, self._history_of(peer).retry_at - now

    def ended(self, peer: str, now: float, lifetime_s: float) -> None:
        """Take note that a dial failed or a stream ended."""
        past = self._history_of(peer)
        if lifetime_s >= STABLE_STREAM_S:
            past.backoff.reset()
        past.retry_at = now + past.backoff.next_delay()

    def refused(self, peer: str, now: float, retry_after_s: float) -> None:
        spread = self.randomness.uniform(1, 1.25)
        self._history_of(peer).retry_at = now + retry_after_s * spread

    def keep_only(self, candidates: Sequence[str]) -> None:
        """Forget peers that are no candidates any more."""
        for peer in set(self.past) - set(candidates):
            del self.past[peer]

    def _history_of(self, peer: str) -> PeerHistory:
        found = self.past.get(peer)
        if found is None:
            found = self.past[peer] = PeerHistory(Backoff(self.randomness))
        return found
