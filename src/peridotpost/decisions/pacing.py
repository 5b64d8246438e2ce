"""Retry delays, and limits on how many daemons may connect at once.

A large group of daemons may die and reconnect together, or the store may
come back after an outage while all relays wait for it.  Without spreading,
the survivors would get every reconnect within one round trip, fail again,
and meet the next synchronized wave.

Full jitter (uniform between zero and the exponential bound) spreads a wave
over the whole bound; of the common variants it is the only one whose waves
flatten with the first retry.
"""

from collections.abc import Sequence
import dataclasses
import random

BASE_DELAY_S = 0.1
MAX_DELAY_S = 5.0
JOINS_PER_S = 40
JOIN_BURST = 16
"""Rate and burst of ``JoinLimiter``, which gives the reasons."""
MAX_RETRY_AFTER_S = 15.0
"""A daemon without a parent is updated only by reconciliation, about every
10 s; if it had to wait much longer, any other parent would serve it better."""
STABLE_STREAM_S = 5.0
"""A stream that lasted this long counts as a success; a parent may accept a
stream only to drop it at once."""


@dataclasses.dataclass(slots=True)
class Backoff:
    """Exponential back-off with full jitter.

    The bound grows from `base_delay_s` up to `max_delay_s`.
    """

    randomness: random.Random
    base_delay_s: float = BASE_DELAY_S
    max_delay_s: float = MAX_DELAY_S
    failures: int = 0

    def next_delay(self) -> float:
        """Count a failure; return the seconds to wait before the next try."""
        bound_s = min(
            self.max_delay_s, self.base_delay_s * 2 ** min(self.failures, 16)
        )
        self.failures += 1
        return self.randomness.uniform(0, bound_s)

    def reset(self) -> None:
        self.failures = 0


@dataclasses.dataclass(slots=True)
class JoinLimiter:
    """Token bucket for new streams at a parent, with retry slots.

    A child that reconnects with its former state costs its parent under a
    millisecond, and 40 a second admit a zone's children in a second or two.
    A child without state costs 70 to 100 ms at 5,200 members
    (``bench.capacity``): the 16 children of a parent, all of them new,
    occupy one core for one or two seconds.

    Each refused child gets a later slot than the one before.  If all were
    given the same time, a wave of 400 would return as 400 within the time
    of one token, again and again.

    :param last_slot_at: the latest retry time given to a refused child.
    """

    updated_at: float
    rate_per_s: float = JOINS_PER_S
    burst: float = JOIN_BURST
    tokens: float = JOIN_BURST
    last_slot_at: float = 0.0

    def admit(self, now: float) -> float:
        """Return 0 to admit, else the seconds after which to retry."""
        refill = (now - self.updated_at) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + refill)
        self.updated_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        next_token_at = now + (1 - self.tokens) / self.rate_per_s
        self.last_slot_at = max(
            self.last_slot_at + 1 / self.rate_per_s, next_token_at
        )
        if self.last_slot_at > now + MAX_RETRY_AFTER_S:
            self.last_slot_at = next_token_at
        return self.last_slot_at - now


@dataclasses.dataclass(slots=True)
class PeerHistory:
    """The earlier failures and refusals of one parent."""

    backoff: Backoff
    retry_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ParentSelector:
    """Chooses which parent to dial next, and after which delay.

    A parent may be full, overloaded, dead or hung, and then all of its
    children look for another.  Without a history for each parent a refused
    child would wait for the parent that refused it while the next in its
    list is free, and a parent that accepts streams and drops them at once
    would be dialled in a tight loop.

    The delay given with a refusal is never shortened, and lengthened by up
    to a quarter so that children refused together do not return together.
    """

    randomness: random.Random
    history: dict[str, PeerHistory] = dataclasses.field(default_factory=dict)

    def choose(
        self, candidates: Sequence[str], now: float
    ) -> tuple[str, float]:
        """Return the peer to dial and the seconds to wait before dialling."""
        for peer in candidates:
            if self._history_of(peer).retry_at <= now:
                return peer, 0.0
        peer = min(candidates, key=lambda one: self._history_of(one).retry_at)
        return peer, self._history_of(peer).retry_at - now

    def record_end(self, peer: str, now: float, lifetime_s: float) -> None:
        """Record that a dial failed or a stream ended."""
        history = self._history_of(peer)
        if lifetime_s >= STABLE_STREAM_S:
            history.backoff.reset()
        history.retry_at = now + history.backoff.next_delay()

    def refused(self, peer: str, now: float, retry_after_s: float) -> None:
        jitter = self.randomness.uniform(1, 1.25)
        self._history_of(peer).retry_at = now + retry_after_s * jitter

    def retain(self, candidates: Sequence[str]) -> None:
        """Forget peers that are no longer candidates."""
        for peer in set(self.history) - set(candidates):
            del self.history[peer]

    def _history_of(self, peer: str) -> PeerHistory:
        found = self.history.get(peer)
        if found is None:
            found = self.history[peer] = PeerHistory(Backoff(self.randomness))
        return found
