"""Decides for which customer a request is served, or refuses it."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

from peridotpost.decisions import customers
from peridotpost.model import forwarding
from peridotpost.model import mesh
from peridotpost.proxy import customerusage
from peridotpost.proxy import headernames
from peridotpost.proxy import http1
from peridotpost.proxy import problems

NOT_CURRENT_RETRY_AFTER_S = 0.5
"""Retry-After while a key may be unknown only because the configuration is
out of date."""


class QuotaGate(Protocol):
    """Admits the requests of customers by their quotas."""

    def admit(
        self, customer: mesh.Customer, now: float, is_retry: bool
    ) -> float | None:
        """Count a request; None if it is admitted.

        Otherwise returns the seconds until the next one is allowed.

        :param is_retry: whether the request was refused here before.
        """

    def ask(
        self,
        customer: mesh.Customer,
        decided: Callable[[float | None], None],
        now: float,
        is_retry: bool,
    ) -> bool:
        """Have another host decide on a request, if one is to.

        :param decided: called later with what `admit` would return.
        :return: whether it will be called.
        """

    def refund(self, name: str, now: float) -> None:
        """Return the share of an admitted request that has not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """How an accepted request is served.

    :param customer: the customer, if there is one.
    :param head: header lines for the target.
    """

    customer: mesh.Customer | None
    head: bytes
    rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Denial:
    """Why a request is refused; it has not run.

    :param customer: name of the customer if it is known, else empty.
    :param quota_per_s: rate of the customer's quota.
    :param allowance: what limits the customer on this host, if known.
    """

    problem: problems.Problem
    customer: str = ''
    quota_per_s: float = 0.0
    allowance: customerusage.Allowance | None = None


class Identification:
    """Identifies the customer of each request and decides by its quota.

    :param is_current: whether a newer configuration would be known at a
        given time.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        is_current: Callable[[float], bool],
        quotas: QuotaGate,
    ) -> None:
        self.header_names = header_names
        self.is_current = is_current
        self.quotas = quotas
        self.scheme = header_names.credentials_scheme.lower()
        self.usage = customerusage.CustomerUsage()

    def identify(
        self,
        message: http1.Message,
        route: mesh.PathRoute,
        table: mesh.CustomerLookup | None,
        parent: forwarding.Order | None,
        now: float,
    ) -> Identity | Denial:
        """Return how to serve a request whose route is known.

        :param table: customers of the configuration in force, if it has any.
        :param parent: the run that made the request as a call, if known.
        """
        if table is None:
            return Identity(None, bytes(message.head), route.rank)
        customer = self._customer_of(message, table)
        if customer is None and not route.anonymous:
            if message.credentials_count:
                return self._deny('unknown-credentials', now)
            if parent is None:
                return self._deny('no-credentials', now)
        head = http1.head_without_identity(message, self.header_names)
        priority = 0
        if customer is not None:
            priority = customer.priority
            name = customer.name.encode()
            head += b'%s: %s\r\n' % (self.header_names.customer, name)
        if parent is not None:
            # A call is as urgent as the request whose run waits for it.
            priority = customers.priority_of(parent.rank)
        rank = customers.request_rank(priority, route.rank, parent is not None)
        return Identity(customer, head, rank)

    def admit(
        self,
        customer: mesh.Customer,
        decided: Callable[[Denial | None], None],
        now: float,
        is_retry: bool = False,
    ) -> None:
        """Decide by the customer's quota; `decided` receives a refusal."""

        def apply(wait_s: float | None) -> None:
            if wait_s is None:
                self.usage.count_admitted(customer.name)
                decided(None)
            else:
                decided(self._deny_over_quota(customer, wait_s))

        if not self.quotas.ask(customer, apply, now, is_retry):
            apply(self.quotas.admit(customer, now, is_retry))

    def _customer_of(
        self, message: http1.Message, table: mesh.CustomerLookup
    ) -> mesh.Customer | None:
        """Return the customer named by well-formed, single credentials."""
        if message.credentials_count != 1:
            return None
        scheme, _, key = message.credentials.partition(b' ')
        if scheme.lower() != self.scheme:
            return None
        return table.find(key.lstrip(b' '))

    def _deny_over_quota(
        self, customer: mesh.Customer, wait_s: float
    ) -> Denial:
        self.usage.count_over_quota(customer.name)
        return Denial(
            problems.Problem(429, 'over-quota', wait_s),
            customer.name,
            customer.rate_per_s,
            self.usage.allowance(customer.name),
        )

    def _deny(self, reason: str, now: float) -> Denial:
        if not self.is_current(now):
            self.usage.denied['config-not-current'] += 1
            return Denial(
                problems.Problem(
                    503, 'config-not-current', NOT_CURRENT_RETRY_AFTER_S
                )
            )
        self.usage.denied[reason] += 1
        challenge = self.header_names.credentials_scheme
        return Denial(problems.Problem(401, reason, challenge=challenge))
