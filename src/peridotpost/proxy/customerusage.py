"""Counts the requests of each customer at one ingress."""

import collections
from collections.abc import Callable
import dataclasses

MAX_NAMES = 200
"""Number of customers counted by name; later ones are counted as `OTHER`."""
OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """The part of a customer's requests that this host may admit.

    :param share: from 0 to 1.
    :param age_s: time since the share was set.
    """

    share: float
    age_s: float


def no_allowance(name: str) -> Allowance | None:
    """Return no allowance: nothing limits the customer on this host."""
    return None


class CustomerUsage:
    """Counters since the start of the process.

    :ivar admitted: requests by customer that its quota admitted, including
        those that were refused later for another reason.
    :ivar over_quota: requests by customer that were refused for its quota.
    :ivar denied: requests refused for their credentials, by reason.  Their
        customer is unknown.
    :ivar allowance: returns what limits a customer on this host, if anything.
    """

    def __init__(self) -> None:
        self.admitted: collections.Counter[str] = collections.Counter()
        self.over_quota: collections.Counter[str] = collections.Counter()
        self.denied: collections.Counter[str] = collections.Counter()
        self.allowance: Callable[[str], Allowance | None] = no_allowance
        self.names: set[str] = set()

    def count_admitted(self, customer: str) -> None:
        self.admitted[self._label(customer)] += 1

    def count_over_quota(self, customer: str) -> None:
        self.over_quota[self._label(customer)] += 1

    def _label(self, customer: str) -> str:
        if customer not in self.names:
            if len(self.names) >= MAX_NAMES:
                return OTHER
            self.names.add(customer)
        return customer
