"""The bucket, the use and the demand of one customer's account.

Load pattern: reports on a customer's requests arrive from up to 5,200 hosts,
up to 0.3 s late, and an owner may learn of the last window only afterwards.

- Admitted requests are kept in time slots over one window, so that reports on
  the past change the level as if they had arrived in time.
- The demand is taken over the shortest time that holds enough requests, and a
  rise is extrapolated until a verdict is in force.
- Retries of refused requests are no demand of their own; their rate decays.
"""

import collections
import math

from peridotpost.model import quotas

DEMAND_SLOT_S = 0.05
DEMAND_WINDOWS_S = (0.2, 0.4, 0.8, 1.6)
MIN_DEMAND_COUNT = 8
"""The demand is taken over the shortest window with this many requests, so
that its standard deviation is about a third at most."""
TREND_LOOKAHEAD = 1.5
"""Report intervals by which a rise of the demand is extrapolated: half of one
until it is reported, one until the verdict is in force."""
SETTLE_S = 1.5
"""Time until all hosts have reported to a new account: hosts detect within
about a second of each other that the owner before it is unreachable."""
RETRY_LEVEL = 0.5
"""Part of the burst that retries of refused requests leave to new requests.
A customer over its quota sends three times as many requests with its retries,
and a retry mostly misses its objective while a new request would meet it."""
RETRIES_DECAY_S = 0.4
"""Time constant of the rate of retries.  Callers return up to 1.7 s after the
demand has fallen; a limit that ends before would admit all of them at once."""


class Account:
    """The bucket and the demand of one customer."""

    def __init__(
        self, quota: quotas.Quota, fraction: float, window_s: float, now: float
    ) -> None:
        self.quota = quota
        self.fraction = fraction
        self.window_s = window_s
        self.slot_count = round(window_s / quotas.HISTORY_SLOT_S)
        self.index = _slot(now)
        self.used: collections.deque[int] = collections.deque()
        self.gained: collections.deque[float] = collections.deque()
        self.ceiling_index = -1
        self.demand: collections.deque[tuple[int, float]] = collections.deque()
        self.used_at = now
        self.settled_at = now + SETTLE_S
        self.lowest_share = 1.0
        self.decided_at = -math.inf
        self.share = 1.0
        self.retry_after_s = 0.0
        self.retry_share = 0.0
        self.announced_retry_share = 0.0
        self.retries_per_s = 0.0
        self.retried_at = now
        self.announced = 1.0
        self.announced_at = -math.inf
        self.limited_since = 0.0
        self.exact_level = 0.0
        self.exact_at = -math.inf
        self.restart(fraction)

    def restart(self, fraction: float) -> None:
        """Reckon the whole window with the part `fraction` of the rate."""
        self.fraction = fraction
        self.start_level = fraction * self.quota.burst
        slots = self.slot_count + 1
        self.gained = collections.deque([self._gain_per_slot()] * slots)
        self.used = collections.deque(
            [0] * (slots - len(self.used)) + list(self.used)
        )

    def set_empty(self) -> None:
        """Let the level be at most 0 at the present slot."""
        self.ceiling_index = self.index

    def advance(self, now: float) -> None:
        for _ in range(min(_slot(now) - self.index, len(self.used))):
            gained = self.gained.popleft()
            level = min(self._capacity(), self.start_level + gained)
            self.start_level = level - self.used.popleft()
            self.used.append(0)
            self.gained.append(self._gain_per_slot())
        self.index = max(self.index, _slot(now))

    def take(
        self, allowed: float, debt: float, is_retry: bool, now: float
    ) -> bool:
        """Admit one request that a host asks for, if the quota has room.

        :param allowed: requests that may run in a window.
        :param debt: requests beyond the burst that are admitted at once, so
            that chance does not limit a customer below its quota.
        """
        capacity = self._capacity() + debt
        if now - self.exact_at > self.window_s:
            self.exact_level = max(0.0, self.level(now) + debt)
            if now < self.settled_at and self.lowest_share < 1.0:
                # Hosts that have not reported yet may have used up the quota.
                self.exact_level = 0.0
        else:
            rate_per_s = max(
                self.fraction * self.quota.rate_per_s,
                (allowed - capacity) / self.window_s,
            )
            gained = rate_per_s * (now - self.exact_at)
            self.exact_level = min(capacity, self.exact_level + gained)
        self.exact_at = now
        self.used_at = now
        if is_retry:
            needed = max(1.0, RETRY_LEVEL * capacity)
            self._add_retries(now, 1)
        else:
            needed = 1.0
            self._add_demand(now, 1)
        if self.exact_level < needed or sum(self.used) + 1 > allowed:
            return False
        self.exact_level -= 1.0
        self.used[-1] += 1
        return True

    def add(self, use: quotas.Use, now: float) -> None:
        self.used[-1] += use.admitted
        admitted = use.admitted + sum(use.history)
        self.exact_level = max(0.0, self.exact_level - admitted)
        for age, admitted in enumerate(use.history):
            if age < len(self.used):
                self.used[-1 - age] += admitted
            # Not demand: hosts that report here one after the other, and
            # each with its history, would look like a rise.
        self._add_demand(now, use.asked)
        if use.retries > 0:
            self._add_retries(now, use.retries)
        if use.asked > 0 or use.retries > 0:
            self.used_at = now
        elif use.admitted or use.history:
            self.used_at = now

    def _add_retries(self, now: float, count: int) -> None:
        self.retries_per_s = self.recent_retries_per_s(now)
        self.retries_per_s += count / RETRIES_DECAY_S
        self.retried_at = now

    def _add_demand(self, at: float, asked: int) -> None:
        if asked <= 0:
            return
        slot = int(at / DEMAND_SLOT_S)
        if self.demand and self.demand[-1][0] == slot:
            self.demand[-1] = (slot, self.demand[-1][1] + asked)
        else:
            self.demand.append((slot, asked))

    def scale_demand(self, factor: float) -> None:
        """Leave out the demand of hosts that are no longer reached."""
        self.demand = collections.deque(
            (slot, asked * factor) for slot, asked in self.demand
        )

    def level(self, now: float) -> float:
        """Return the tokens in the bucket; negative for a debt."""
        level = self.start_level
        capacity = self._capacity()
        last = len(self.used) - 1
        part = now / quotas.HISTORY_SLOT_S - self.index
        first_index = self.index - last
        for position, (used, gained) in enumerate(
            zip(self.used, self.gained, strict=True)
        ):
            if position == last:
                gained *= part
            level = min(capacity, level + gained)
            if first_index + position == self.ceiling_index:
                level = min(0.0, level)
            level -= used
        return level

    def demand_per_s(self, now: float) -> float:
        """Return the rate of requests to expect until a verdict is in force.

        Reports arrive about half an interval after the requests.
        """
        slot = int(now / DEMAND_SLOT_S)
        oldest = slot - round(2 * DEMAND_WINDOWS_S[-1] / DEMAND_SLOT_S)
        while self.demand and self.demand[0][0] <= oldest:
            self.demand.popleft()
        interval = round(quotas.REPORT_INTERVAL_S / DEMAND_SLOT_S)
        latest = self._asked(slot, interval)
        previous = self._asked(slot - interval, interval)
        rise = latest - previous - 2.0 * math.sqrt(latest + previous)
        trend = max(0.0, rise) * TREND_LOOKAHEAD / quotas.REPORT_INTERVAL_S
        for length_s in DEMAND_WINDOWS_S:
            count = self._asked(slot, round(length_s / DEMAND_SLOT_S))
            if count >= MIN_DEMAND_COUNT:
                break
        return count / length_s + trend

    def recent_retries_per_s(self, now: float) -> float:
        """Return the decayed rate of retries that came during a limit."""
        age_s = now - self.retried_at
        return self.retries_per_s * math.exp(-age_s / RETRIES_DECAY_S)

    def _asked(self, slot: int, count: int) -> float:
        return sum(
            asked for at, asked in self.demand if slot - count < at <= slot
        )

    def _capacity(self) -> float:
        return self.fraction * self.quota.burst

    def _gain_per_slot(self) -> float:
        return self.fraction * self.quota.rate_per_s * quotas.HISTORY_SLOT_S


def _slot(now: float) -> int:
    return int(now / quotas.HISTORY_SLOT_S)
