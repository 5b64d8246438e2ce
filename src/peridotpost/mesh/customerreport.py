"""Quota, use and refusals of customers as metrics and as a log line."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from peridotpost.model import mesh
from peridotpost.proxy import customerusage

MAX_LOGGED = 20
"""Customers on a log line, which takes about 1 KB with so many."""
PREFIX = 'peridotpost_customer_'


class CustomerReport:
    """Reports what this host knows about its customers.

    :param config: returns the configuration in force, None before the first.
    """

    def __init__(
        self,
        usage: customerusage.CustomerUsage,
        config: Callable[[], mesh.MeshConfig | None],
    ) -> None:
        self.usage = usage
        self.config = config
        self._logged_admitted: collections.Counter[str] = collections.Counter()
        self._logged_over: collections.Counter[str] = collections.Counter()

    def families(self, core: Any) -> Iterator[Any]:
        """Yield metric families; none if no customer was ever seen.

        :param core: the module ``prometheus_client.core``.
        """
        usage = self.usage
        if not usage.names and not usage.denied:
            return
        requests = core.CounterMetricFamily(
            PREFIX + 'requests',
            'Requests of customers, admitted or refused for quota',
            labels=['customer', 'outcome'],
        )
        for outcome, counts in (
            ('admitted', usage.admitted),
            ('over-quota', usage.over_quota),
        ):
            for name, count in counts.items():
                requests.add_metric([name, outcome], count)
        yield requests
        denied = core.CounterMetricFamily(
            PREFIX + 'denied',
            'Requests refused for their credentials',
            labels=['reason'],
        )
        for reason, count in usage.denied.items():
            denied.add_metric([reason], count)
        yield denied
        yield from self._limits(core)

    def log_fields(self) -> dict[str, Any]:
        """Return use and refusals since the last call; empty if none.

        Customers with most refusals precede those with most requests.
        """
        usage = self.usage
        admitted = usage.admitted - self._logged_admitted
        over = usage.over_quota - self._logged_over
        self._logged_admitted = usage.admitted.copy()
        self._logged_over = usage.over_quota.copy()
        names = sorted(
            admitted | over, key=lambda name: (-over[name], -admitted[name])
        )
        if not names:
            return {}
        rows = [
            self._log_row(name, admitted[name], over[name])
            for name in names[:MAX_LOGGED]
        ]
        return {'usage': rows, 'others': len(names) - len(rows)}

    def _limits(self, core: Any) -> Iterator[Any]:
        rate, burst, share, age = (
            core.GaugeMetricFamily(
                PREFIX + name, help_text, labels=['customer']
            )
            for name, help_text in (
                ('quota_per_second', 'Over all hosts; 0 for no limit'),
                ('quota_burst', 'Requests beyond the rate'),
                ('admission_share', 'Part that this host may admit'),
                ('share_age_seconds', 'Time since the share was set'),
            )
        )
        for name in sorted(self.usage.names):
            customer = self._customer(name)
            if customer is not None:
                rate.add_metric([name], customer.rate_per_s)
                burst.add_metric([name], customer.burst)
            allowance = self.usage.allowance(name)
            if allowance is not None:
                share.add_metric([name], allowance.share)
                age.add_metric([name], allowance.age_s)
        yield from (rate, burst, share, age)

    def _log_row(self, name: str, admitted: int, over: int) -> dict[str, Any]:
        row = {'customer': name, 'admitted': admitted, 'over_quota': over}
        customer = self._customer(name)
        if customer is not None and customer.rate_per_s:
            row['quota_per_s'] = customer.rate_per_s
        allowance = self.usage.allowance(name)
        if allowance is not None:
            row['share'] = round(allowance.share, 3)
            row['share_age_ms'] = round(allowance.age_s * 1000)
        return row

    def _customer(self, name: str) -> mesh.Customer | None:
        config = self.config()
        if config is None or config.customers is None:
            return None
        return config.customers.by_name.get(name)
