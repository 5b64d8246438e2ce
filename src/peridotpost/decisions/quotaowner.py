"""The account of a customer's quota over all hosts, kept by its owner.

Load pattern: a customer's demand rises to 9.3 times its usual level within a
second, on all hosts or in one zone, while reports are up to 0.3 s old; its
owner is lost, restarts or is cut off with a part of the hosts.

- The account is a token bucket that may go into debt.  The admitted rate is
  lowered before the bucket is empty, in time for reports that are late.
- In the steady state of a limit the debt is half of what the rule tolerates;
  the other half covers reports and verdicts that are under way.
- What hosts admitted in the last window determines the bucket of a new owner.
- A new account starts empty in a process that is younger than a window, and
  if a host reports that it was limited before.  Otherwise the hosts' reports
  on the last window give its level, also in a zone that was just cut off.
- Retries of refused requests get a share of what new requests leave, and a
  limit lasts until both together are below the rate.  Otherwise the retries
  that wait for its end would all be admitted at once.
- Hosts that are cut off leave their part of the rate to themselves.
- Once an account runs low, hosts ask for each request.  Those are admitted in
  the order of arrival, by a second bucket with the same debt: requests that
  were admitted beyond it cost later ones nothing, as long as the window's
  total stays within the rule.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import math

from peridotpost.decisions import quotaaccount
from peridotpost.model import quotas

HORIZON_S = 1.0
"""Time over which the bucket is brought to its target level.  Reports and
verdicts take 0.35 s together; the loop overshoots if the horizon is shorter
than that delay times e."""
STEADY_DEBT = 0.4
"""Debt in the steady state of a limit, as a part of the tolerance."""
RELEASE_MARGIN = 1.05
"""A limit ends when this multiple of the demand may be admitted."""
MAX_GAP_S = 2 * quotas.REPORT_INTERVAL_S
"""A longer time without any call shows that this process was stalled."""
DECIDE_INTERVAL_S = 0.02
"""Minimum interval between two computations of a share, which take 50 us."""
BROADCAST_CHANGE = 0.2
"""Relative change of a share that all hosts are told at once."""
BROADCAST_INTERVAL_S = 0.2
BROADCAST_HOSTS_PER_S = 3_000
"""Limits the rate of broadcasts by the hosts that have reported.  By all known
hosts, 5,200 of them learn of a limit too late and exceed the rule."""
REFRESH_FRACTION = 0.3
"""Fraction of the window after which an unchanged share is sent again.  Hosts
keep it for a window, so that it outlasts the detection of a lost owner and
the time that its successor takes to settle, 3.6 s together."""
ANSWER_CHANGE = 0.02
"""Relative difference of a host's share that is corrected."""
LOW_LEVEL = 0.5
ENOUGH_LEVEL = 0.7
"""Parts of the burst: below the first, hosts begin to ask for each request if
the demand exceeds the rate; from the second on, they stop."""
CALM_DEMAND = 0.8
"""Part of the rate below which the demand is no reason to ask any longer."""
WINDOW_MARGIN = 0.97
"""Part of what the rule allows in a window that asked requests may fill.  They
are admitted faster than the rate by what this leaves, since requests overtake
each other on their way and some within the quota would be refused."""
MAX_RETRY_AFTER_S = 5.0
MIN_RETRY_AFTER_S = 0.1
MAX_PROCESSES = 4
"""Latest processes of a host whose report numbers are remembered."""


class QuotaOwner:
    """Keeps the accounts of the customers that one daemon owns.

    :param started_at: when the process started.
    :param last_reports: number of the last report by host and incarnation.
    """

    def __init__(self, rule: quotas.QuotaRule, started_at: float) -> None:
        self.rule = rule
        self.started_at = started_at
        self.fraction = 1.0
        self.quotas: dict[str, quotas.Quota] = {}
        self.accounts: dict[str, quotaaccount.Account] = {}
        self.last_reports: dict[str, dict[int, int]] = {}
        self.last_number = 0
        self.active_at = math.inf

    def set_quotas(self, given: Iterable[quotas.Limited]) -> None:
        """Put the quotas of a configuration version in force."""
        self.quotas = {
            one.name: quotas.Quota(one.name, one.rate_per_s, one.burst)
            for one in given
            if one.rate_per_s > 0.0
        }
        for name in list(self.accounts):
            quota = self.quotas.get(name)
            if quota is None:
                del self.accounts[name]
            else:
                self.accounts[name].quota = quota

    def set_reachable(self, reachable: int, known: int, now: float) -> None:
        """Set how many of the known hosts reach this daemon and are reached.

        A smaller part of the rate applies from now on.  A larger one applies
        to the past as well, of which the hosts that are back will tell; until
        they have, the bucket of a limited customer starts empty.
        """
        fraction = min(1.0, reachable / max(1, known))
        if fraction == self.fraction:
            return
        for account in self.accounts.values():
            account.advance(now)
            if fraction > account.fraction:
                account.restart(fraction)
                account.exact_level = 0.0
                account.exact_at = now
                if account.share < 1.0:
                    account.set_empty()
            else:
                account.scale_demand(fraction / account.fraction)
            account.fraction = fraction
        self.fraction = fraction

    def report(
        self,
        sender: quotas.Owner,
        number: int,
        uses: Sequence[quotas.Use],
        now: float,
    ) -> list[quotas.Verdict]:
        """Take in the report of a host and return what to answer.

        :param number: increases with each report of a process; reports that
            are duplicated or overtaken are ignored.  Processes of a host are
            not ordered: a restart may set back the clock that their
            incarnations come from.
        """
        last_numbers = self.last_reports.setdefault(sender.host, {})
        if number <= last_numbers.get(sender.incarnation, -1):
            return []
        last_numbers[sender.incarnation] = number
        if len(last_numbers) > MAX_PROCESSES:
            del last_numbers[next(iter(last_numbers))]
        self._notice_stall(now)
        answers = []
        for use in uses:
            account = self._account(use.customer, now)
            if account is None:
                continue
            account.advance(now)
            account.add(use, now)
            if use.history and now < account.settled_at:
                if use.share < 1.0 <= account.lowest_share:
                    account.set_empty()
                account.lowest_share = min(account.lowest_share, use.share)
            self._decide(account, now)
            if _differs(account.share, use.share):
                answers.append(self._verdict(account))
        return answers

    def knows(self, customer: str) -> bool:
        """Whether the configuration in force has a quota of a customer."""
        return customer in self.quotas

    def ask(
        self, customer: str, now: float, is_retry: bool = False
    ) -> float | None:
        """Decide on one request of a customer that this owner knows.

        :param is_retry: whether the quota did not admit it before.
        :return: None if it is admitted, else seconds until a retry.
        """
        account = self._account(customer, now)
        if account is None:
            raise ValueError(f'no quota of customer {customer}')
        self._notice_stall(now)
        account.advance(now)
        allowed = account.fraction * self.rule.allowed(account.quota)
        tolerance = account.fraction * self.rule.tolerance(account.quota)
        admitted = account.take(
            WINDOW_MARGIN * allowed, STEADY_DEBT * tolerance, is_retry, now
        )
        self._decide(account, now)
        if admitted:
            return None
        return max(MIN_RETRY_AFTER_S, account.retry_after_s)

    def broadcasts(self, now: float) -> list[quotas.Verdict]:
        """Return what all reachable hosts are to be told now."""
        self._notice_stall(now)
        due = []
        refresh_s = REFRESH_FRACTION * self.rule.window_s
        interval_s = max(
            BROADCAST_INTERVAL_S,
            len(self.last_reports) / BROADCAST_HOSTS_PER_S,
        )
        for name, account in list(self.accounts.items()):
            account.advance(now)
            self._decide(account, now)
            waited_s = now - account.announced_at
            ended = account.share >= 1.0 and account.announced < 1.0
            change = abs(account.share - account.announced)
            started = account.share < 1.0 and account.announced >= 1.0
            retry_change = abs(
                account.retry_share - account.announced_retry_share
            )
            changed = (
                change > BROADCAST_CHANGE * account.announced
                or retry_change > BROADCAST_CHANGE
                or ended
                or started
            )
            outdated = account.share < 1.0 and waited_s > max(
                interval_s, refresh_s
            )
            if outdated or (changed and waited_s > interval_s):
                if account.announced >= 1.0:
                    account.limited_since = now
                account.announced = account.share
                account.announced_retry_share = account.retry_share
                account.announced_at = now
                due.append(self._verdict(account))
            if now - account.used_at > 2 * self.rule.window_s:
                if account.announced >= 1.0:
                    del self.accounts[name]
        return due

    def forget_host(self, host: str) -> None:
        """Drop what is remembered of a host that is known no longer."""
        self.last_reports.pop(host, None)

    def _notice_stall(self, now: float) -> None:
        """Keep all limits for a while if this process was stalled.

        What hosts admitted meanwhile waits to be read, so that accounts look
        unused.
        """
        gap_s = now - self.active_at
        self.active_at = now
        if gap_s <= MAX_GAP_S:
            return
        for account in self.accounts.values():
            if account.share < 1.0:
                account.settled_at = now + quotaaccount.SETTLE_S
                account.lowest_share = account.share
                account.exact_level = 0.0
                account.exact_at = now

    def _account(self, name: str, now: float) -> quotaaccount.Account | None:
        account = self.accounts.get(name)
        quota = self.quotas.get(name)
        if account is None and quota is not None:
            account = quotaaccount.Account(
                quota, self.fraction, self.rule.window_s, now
            )
            is_young = now - self.started_at < self.rule.window_s
            if is_young:
                account.set_empty()
            self.accounts[name] = account
        return account

    def _decide(self, account: quotaaccount.Account, now: float) -> None:
        """Set the share from the level and the demand."""
        if now - account.decided_at < DECIDE_INTERVAL_S:
            return
        account.decided_at = now
        quota = account.quota
        part = account.fraction
        # While hosts are cut off, what they admit until their new owner is
        # in force takes more of the tolerance, but for the constant slack:
        # chance alone empties the bucket of a small customer.
        debt = max(0.0, part - 1.0 + STEADY_DEBT)
        floor = -part * max(
            debt * self.rule.tolerance(quota), STEADY_DEBT * self.rule.slack
        )
        free = (account.level(now) - floor) / HORIZON_S
        admissible = max(0.0, part * quota.rate_per_s + free)
        demand = account.demand_per_s(now)
        margin = 1.0 if account.share >= 1.0 else RELEASE_MARGIN
        share = 1.0
        if admissible < demand * margin:
            share = min(1.0, admissible / demand)
        if share >= 1.0 and self._runs_low(account, demand, now):
            share = quotas.NEARLY_ALL
        if now < account.settled_at:
            # Hosts that have not reported yet may have used up the quota.
            share = min(share, account.lowest_share)
        account.share = share
        account.retry_share = 0.0
        account.retry_after_s = 0.0
        if share >= 1.0:
            return
        backlog = (demand - admissible) * HORIZON_S
        served_per_s = quota.rate_per_s
        if share >= quotas.NEARLY_ALL:
            retries_per_s = account.recent_retries_per_s(now)
            room_per_s = max(0.0, admissible - demand)
            account.retry_share = 1.0
            if retries_per_s > room_per_s:
                account.retry_share = room_per_s / retries_per_s
            backlog = retries_per_s * HORIZON_S
            served_per_s = max(room_per_s, 1.0 / MAX_RETRY_AFTER_S)
        account.retry_after_s = min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, backlog / served_per_s),
        )

    @staticmethod
    def _runs_low(
        account: quotaaccount.Account, demand_per_s: float, now: float
    ) -> bool:
        """Whether hosts are to ask for each request from now on."""
        limited = account.share < 1.0
        part = account.fraction
        retries_per_s = account.recent_retries_per_s(now)
        if (
            limited
            and demand_per_s + retries_per_s > part * account.quota.rate_per_s
        ):
            # Without the limit, hosts would admit all retries at once.
            return True
        level_bound = ENOUGH_LEVEL if limited else LOW_LEVEL
        demand_bound = CALM_DEMAND if limited else 1.0
        return (
            account.level(now) < level_bound * part * account.quota.burst
            and demand_per_s > demand_bound * part * account.quota.rate_per_s
        )

    def _verdict(self, account: quotaaccount.Account) -> quotas.Verdict:
        self.last_number += 1
        return quotas.Verdict(
            self.last_number,
            account.quota.name,
            account.share,
            account.retry_after_s,
            account.retry_share,
        )


def _differs(share: float, applied: float) -> bool:
    """Whether a host that applies another share has to be told."""
    if share >= 1.0 or applied >= 1.0:
        return share != applied
    return abs(share - applied) > ANSWER_CHANGE * applied
