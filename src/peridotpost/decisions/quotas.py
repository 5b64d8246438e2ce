"""Admission of customers' requests at one ingress.

Load pattern: a customer's demand rises to several times its quota within a
second and moves between hosts and zones, while the owner of its account
fails or is unreachable.

- Requests are admitted by a share, which is 1 unless the customer's owner
  limits it, so that a customer below its quota is never held up and no
  request waits for a message.
- A share holds until the next verdict, at most for one window.
- With ``ASK_OWNER``, the owner of a limited customer is asked for each request
  and admits them in the order of their arrival.
- Retries of refused requests get what new requests leave.  A retry mostly
  misses its objective while a new request would meet it.
- Two requests within a report interval are reported at once, so that an owner
  notices a rise of demand before the burst is used up.
- No host admits more than the whole quota by itself, even without an owner,
  or more than its part while hosts are cut off from it.  Where its part of a
  burst is less than one request, chance decides whether it admits the first.
- While the owner leaves reports unanswered, a host goes on at its pace of the
  last window but does not admit more, since nobody adds up the increases.
- A report to an owner contains what was admitted in the last window and not
  yet reported to it, so that an owner can start without any state.
- Refused requests count as demand, refunded ones do not count.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
from typing import TypeVar

from peridotpost.model import quotas

ENABLED = 1
"""0 admits every request, for comparison in the model."""
UNCONFIRMED_AFTER_S = 0.3
"""A report unanswered for this long, five round trips between zones, may not
have arrived.  A hot customer uses up its burst in about 0.6 s."""
MAX_REPORT_GAP_S = 2 * quotas.REPORT_INTERVAL_S
"""A longer interval between reports shows that this process was stalled."""
TAKEOVER_S = 0.6
"""Time that the successor of a silent owner needs until its verdicts are in
force: a report, the estimate of the demand, and the answer."""
MIN_SILENT_OWNERS = 2
"""One silent owner is a slow host, not a zone that is cut off."""
EARLY_REPORT_COUNT = 2
"""Unreported requests of a customer at which a host reports at once."""
ASK_OWNER = 0
"""1 asks the owner of a limited customer for each request.  That costs half a
kilobyte a second and host, and serves no more requests than the share."""
MAX_OWNERS = 4
"""Owners for which the time of the last report is remembered."""

ValueT = TypeVar('ValueT')
OwnerOf = Callable[[str], quotas.Owner | None]


@dataclasses.dataclass(slots=True)
class _Pace:
    """Token bucket of a host whose reports are not answered."""

    rate_per_s: float
    capacity: float
    level: float
    at: float

    def take(self, now: float) -> bool:
        gained = self.rate_per_s * (now - self.at)
        self.level = min(self.capacity, self.level + gained)
        self.at = now
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class _Admitted:
    """Requests of a customer that this host admitted.

    :param owner: the owner that admitted them itself, if one did.
    """

    at: float
    count: int
    owner: quotas.Owner | None = None


class _Use:
    """State of one customer at this host."""

    __slots__ = (
        'admitted',
        'asked',
        'credit',
        'last_verdicts',
        'level',
        'level_at',
        'limit',
        'owner',
        'pace',
        'pace_until',
        'recent',
        'reported',
        'retried',
        'retry_after_s',
        'retry_credit',
        'retry_share',
        'share',
        'share_until',
        'used_at',
    )

    def __init__(self, credit: float, now: float) -> None:
        self.admitted = 0
        self.asked = 0
        self.credit = credit
        self.level = math.inf
        self.level_at = now
        self.limit = math.inf
        self.share = 1.0
        self.share_until = -math.inf
        self.retried = 0
        self.retry_after_s = 0.0
        self.retry_credit = credit
        self.retry_share = 0.0
        self.used_at = now
        self.owner: quotas.Owner | None = None
        self.pace: _Pace | None = None
        self.pace_until = -math.inf
        self.recent: collections.deque[_Admitted] = collections.deque()
        self.reported: dict[quotas.Owner, float] = {}
        self.last_verdicts: dict[quotas.Owner, int] = {}

    def current_share(self, now: float) -> float:
        return self.share if now < self.share_until else 1.0


class HostQuotas:
    """Admits the requests of customers with a quota at one host.

    :param reached_part: part of the known hosts that are not cut off from
        this one.
    """

    def __init__(
        self, rule: quotas.QuotaRule, randomness: random.Random
    ) -> None:
        self.rule = rule
        self.randomness = randomness
        self.uses: dict[str, _Use] = {}
        self.unanswered: dict[quotas.Owner, float] = {}
        self.answered: dict[quotas.Owner, float] = {}
        self.known_hosts = 1
        self.reached_part = 1.0
        self.reported_at = -math.inf

    def admit(
        self, customer: quotas.Limited, now: float, is_retry: bool = False
    ) -> float | None:
        """Admit a request.

        :param is_retry: whether the quota did not admit it before; while the
            customer is limited, retries have a share of their own.
        :return: None if it is admitted, otherwise the seconds until the next
            request is allowed, different for each caller.
        """
        if customer.rate_per_s <= 0.0 or not ENABLED:
            return None
        use = self.uses.get(customer.name)
        if use is None:
            use = self._new_use(customer.name, now)
        use.used_at = now
        self._fill(use, customer, now)
        if not self._has_share(use, now, is_retry):
            return self._spread(use.retry_after_s)
        if use.level < 1.0:
            rate_per_s = self.reached_part * customer.rate_per_s
            return self._spread(
                max(use.retry_after_s, (1.0 - use.level) / rate_per_s)
            )
        if not self._keeps_pace(use, customer, now):
            return self._spread(max(use.retry_after_s, UNCONFIRMED_AFTER_S))
        use.level -= 1.0
        use.admitted += 1
        return None

    def _fill(self, use: _Use, customer: quotas.Limited, now: float) -> None:
        """Fill the bucket of what this host may admit by itself."""
        part = self.reached_part
        limit = part * (customer.burst + self.rule.tolerance(customer) / 2)
        if limit != use.limit:
            if math.isinf(use.level):
                # A new bucket is full.
                use.level = limit
            elif use.limit > 0.0:
                use.level *= limit / use.limit
            if limit < 1.0:
                use.level += self.randomness.random()
            use.limit = limit
        gained = part * customer.rate_per_s * (now - use.level_at)
        use.level = min(max(1.0, limit), use.level + gained)
        use.level_at = now

    def _has_share(self, use: _Use, now: float, is_retry: bool) -> bool:
        """Count a request and return whether it is within its share."""
        share = use.current_share(now)
        if is_retry and share < 1.0:
            use.retried += 1
            use.retry_credit += use.retry_share
            if use.retry_credit < 1.0:
                return False
            use.retry_credit -= 1.0
            return True
        use.asked += 1
        if share < 1.0:
            use.credit += share
            if use.credit < 1.0:
                return False
            use.credit -= 1.0
        return True

    def owner_to_ask(
        self, customer: quotas.Limited, now: float
    ) -> quotas.Owner | None:
        """Return the owner that decides on each request now, if any."""
        use = self.uses.get(customer.name)
        if use is None or not ASK_OWNER or use.current_share(now) >= 1.0:
            return None
        owner = use.owner
        if owner is None or now < use.pace_until:
            return None
        overdue_s = now - self.unanswered.get(owner, now)
        return owner if overdue_s <= UNCONFIRMED_AFTER_S else None

    def decided_by_owner(
        self, name: str, owner: quotas.Owner, admitted: bool, now: float
    ) -> None:
        """Note the owner's decision; it counted the request itself."""
        use = self.uses.get(name)
        if use is None:
            return
        use.used_at = now
        if not admitted:
            return
        use.level -= 1.0
        last = use.recent[-1] if use.recent else None
        if (
            last is not None
            and last.owner == owner
            and now - last.at < quotas.HISTORY_SLOT_S
        ):
            # One entry for each request would be hundreds in a window.
            last.count += 1
        else:
            use.recent.append(_Admitted(now, 1, owner))

    def decided_too_late(
        self, name: str, owner: quotas.Owner, admitted: bool, now: float
    ) -> None:
        """Return what an owner counted after `admit` had decided."""
        use = self.uses.get(name)
        if use is not None and admitted and use.owner == owner:
            self.decided_by_owner(name, owner, admitted, now)
            self.refund(name, now)

    def has_early_report(self, name: str) -> bool:
        """Whether a customer's requests are to be reported at once."""
        use = self.uses.get(name)
        return use is not None and use.admitted >= EARLY_REPORT_COUNT

    def early_report(
        self, name: str, owner: quotas.Owner, now: float
    ) -> quotas.Use | None:
        """Return a report of one customer, ahead of the next interval."""
        use = self.uses[name]
        if use.owner != owner:
            return None
        report = self._report(name, use, owner, now)
        use.recent.append(_Admitted(now, use.admitted))
        use.admitted = 0
        use.asked = 0
        use.retried = 0
        self.unanswered.setdefault(owner, now)
        return report

    def refund(self, name: str, now: float) -> None:
        """Return the share of a request that was admitted and did not run."""
        use = self.uses.get(name)
        if use is not None:
            use.admitted -= 1
            use.asked -= 1
            use.level += 1.0

    def reports(
        self, now: float, owner_of: OwnerOf
    ) -> dict[quotas.Owner, list[quotas.Use]]:
        """Return what to report to each owner and start the next interval."""
        by_owner: dict[quotas.Owner, list[quotas.Use]] = {}
        if now - self.reported_at > MAX_REPORT_GAP_S:
            # This process was stalled, and answers may wait to be read.
            self.unanswered = dict.fromkeys(self.unanswered, now)
        self.reported_at = now
        owners = set()
        for name, use in list(self.uses.items()):
            while use.recent and now - use.recent[0].at > self.rule.window_s:
                use.recent.popleft()
            idle = not (use.asked or use.admitted or use.recent or use.retried)
            if idle:
                if now > max(use.share_until, use.used_at):
                    self._forget_if_idle(name, use, now)
                continue
            owner = owner_of(name)
            self._change_owner(use, owner, now)
            if owner is not None:
                owners.add(owner)
                report = self._report(name, use, owner, now)
                if report is not None:
                    by_owner.setdefault(owner, []).append(report)
            if use.admitted:
                use.recent.append(_Admitted(now, use.admitted))
            use.admitted = 0
            use.asked = 0
            use.retried = 0
        for owner in self.unanswered.keys() - owners:
            del self.unanswered[owner]
        for owner in self.answered.keys() - owners:
            del self.answered[owner]
        for owner in by_owner:
            self.unanswered.setdefault(owner, now)
        return by_owner

    def acknowledge(self, owner: quotas.Owner, now: float) -> None:
        """Note that an owner has answered a report."""
        self.unanswered.pop(owner, None)
        self.answered[owner] = now

    def silent_owners(self, now: float) -> list[str]:
        """Return the hosts of the owners whose answers are overdue."""
        return [
            owner.host
            for owner, since in self.unanswered.items()
            if now - since > UNCONFIRMED_AFTER_S
        ]

    def silent_zones(
        self, zone_of: Callable[[str], str], now: float
    ) -> set[str]:
        """Return the availability zones whose owners are mostly silent.

        :param zone_of: returns the zone of a host; '' for this one.
        """
        silent = collections.Counter(map(zone_of, self.silent_owners(now)))
        answering = self._answering_owners(zone_of, now)
        return {
            zone
            for zone, count in silent.items()
            if count >= MIN_SILENT_OWNERS and count > answering[zone]
        }

    def answering_zones(
        self, zone_of: Callable[[str], str], now: float
    ) -> set[str]:
        """Return the zones of other hosts that have just answered a report.

        :param zone_of: as for `silent_zones`.
        """
        return set(self._answering_owners(zone_of, now)) - {''}

    def _answering_owners(
        self, zone_of: Callable[[str], str], now: float
    ) -> collections.Counter[str]:
        return collections.Counter(
            zone_of(owner.host)
            for owner, at in self.answered.items()
            if now - at < UNCONFIRMED_AFTER_S
        )

    def apply(
        self,
        verdict: quotas.Verdict,
        sender: quotas.Owner,
        now: float,
        is_owner: bool = True,
    ) -> bool:
        """Apply a verdict; old ones are ignored.

        :param is_owner: whether this host takes the sender for the owner.
            Hosts with little traffic are the last to notice that an owner is
            cut off, so a lower share of its successor applies.  If it is no
            successor, the owner's answer to the next report corrects it.
        :return: whether it applies.
        """
        if (
            not is_owner
            and verdict.share >= self.share_of(verdict.customer, now)[0]
        ):
            return False
        use = self.uses.get(verdict.customer)
        if use is None:
            if verdict.share >= 1.0:
                return True
            use = self._new_use(verdict.customer, now)
        if verdict.number <= use.last_verdicts.get(sender, -1):
            return False
        _remember(use.last_verdicts, sender, verdict.number)
        use.share = verdict.share
        use.retry_after_s = verdict.retry_after_s
        use.retry_share = verdict.retry_share
        use.share_until = now + self.rule.window_s
        return True

    def share_of(self, name: str, now: float) -> tuple[float, float]:
        """Return the share of a customer and the age of its verdict."""
        use = self.uses.get(name)
        if use is None or now >= use.share_until:
            return 1.0, 0.0
        return use.share, now - (use.share_until - self.rule.window_s)

    def _new_use(self, name: str, now: float) -> _Use:
        # The first credit is random: with the same one on every host, the
        # first requests of all hosts would be admitted or refused together.
        use = _Use(self.randomness.random(), now)
        self.uses[name] = use
        return use

    def _change_owner(
        self, use: _Use, owner: quotas.Owner | None, now: float
    ) -> None:
        if use.owner == owner:
            return
        if use.owner in self.unanswered:
            since = self.unanswered[use.owner]
            if now - since > quotas.REPORT_INTERVAL_S / 2:
                use.pace_until = now + TAKEOVER_S
        use.owner = owner

    def _report(
        self, name: str, use: _Use, owner: quotas.Owner, now: float
    ) -> quotas.Use | None:
        since = use.reported.get(owner, -math.inf)
        history: list[int] = []
        for one in use.recent:
            if one.at > since and one.owner != owner:
                slot = int((now - one.at) / quotas.HISTORY_SLOT_S)
                history += [0] * (slot + 1 - len(history))
                history[slot] += one.count
        if not (use.asked or use.admitted or history or use.retried):
            return None
        _remember(use.reported, owner, now)
        return quotas.Use(
            name,
            use.admitted,
            use.asked,
            use.current_share(now),
            history,
            use.retried,
        )

    def _keeps_pace(
        self, use: _Use, customer: quotas.Limited, now: float
    ) -> bool:
        """Whether a request may run if no owner confirms the reports."""
        since = self.unanswered.get(use.owner, now) if use.owner else now
        if now - since <= UNCONFIRMED_AFTER_S and now >= use.pace_until:
            use.pace = None
            return True
        if use.pace is None:
            before = sum(
                one.count
                for one in use.recent
                if one.at < now - UNCONFIRMED_AFTER_S
            )
            rate_per_s = max(
                before / self.rule.window_s,
                customer.rate_per_s / self.known_hosts,
            )
            spare = self.rule.tolerance(customer) / 4 / self.known_hosts
            level = self.randomness.random() + spare
            use.pace = _Pace(rate_per_s, 1.0 + spare, level, now)
        return use.pace.take(now)

    def _forget_if_idle(self, name: str, use: _Use, now: float) -> None:
        if now - use.used_at > self.rule.window_s:
            del self.uses[name]

    def _spread(self, mean_s: float) -> float:
        return mean_s * (0.5 + self.randomness.random())


def _remember(
    by_owner: dict[quotas.Owner, ValueT], owner: quotas.Owner, value: ValueT
) -> None:
    by_owner.pop(owner, None)
    by_owner[owner] = value
    if len(by_owner) > MAX_OWNERS:
        del by_owner[next(iter(by_owner))]
