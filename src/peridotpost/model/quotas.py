"""Quotas of customers and the messages by which hosts keep them together."""

from collections.abc import Sequence
import dataclasses
from typing import Protocol


class Limited(Protocol):
    """Whatever has a quota: a customer or a `Quota`."""

    @property
    def name(self) -> str: ...

    @property
    def rate_per_s(self) -> float: ...

    @property
    def burst(self) -> float: ...


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The quota of a customer over all hosts; a rate of 0 is no limit."""

    name: str
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRule:
    """How closely quotas are kept.

    In any window, at most ``(rate * window_s + burst) * (1 + overshoot) +
    slack`` requests of a customer run.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def allowed(self, quota: Limited) -> float:
        """Return how many requests may run in any window."""
        return self._exact(quota) + self.tolerance(quota)

    def tolerance(self, quota: Limited) -> float:
        """Return what the rule tolerates in a window beyond the quota."""
        return self.overshoot * self._exact(quota) + self.slack

    def _exact(self, quota: Limited) -> float:
        return quota.rate_per_s * self.window_s + quota.burst


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """One process that keeps the account of some customers."""

    host: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """What a host admitted of a customer since its last report.

    :param admitted: requests admitted, less those refunded.
    :param asked: requests that the host was asked to admit.
    :param share: admission share that the host applies.
    :param history: what the host admitted before and did not report to this
        owner, in slots of ``HISTORY_SLOT_S``, the most recent one first.
    :param retries: retries of refused requests that came during a limit;
        they are not part of `asked`.
    """

    customer: str
    admitted: int
    asked: int
    share: float = 1.0
    history: Sequence[int] = ()
    retries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The share of a customer's requests that each host may admit.

    :param number: increases with each verdict of an owner.
    :param retry_after_s: mean time after which a refused caller returns.
    :param retry_share: share of the retries to admit while `share` is below 1.
    """

    number: int
    customer: str
    share: float
    retry_after_s: float
    retry_share: float = 0.0


HISTORY_SLOT_S = 0.25
REPORT_INTERVAL_S = 0.2
"""Interval of a host's reports.  The reaction to a rise of demand takes about
two intervals, in which a hot customer may use up what the rule tolerates."""
NEARLY_ALL = 0.9999
"""Share while all new requests are admitted, but retries only by their own
share.  With ``decisions.quotas.ASK_OWNER``, hosts then ask the owner for each
request, so the limit begins at the right one."""
