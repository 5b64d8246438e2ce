"""Use and quota of each customer over all hosts."""

from collections.abc import Iterable
import dataclasses

from peridotpost.border import loglines

LOG_INTERVAL_S = 10.0
"""Period that a log line about customers covers."""
REQUESTS = 'peridotpost_customer_requests_total'
QUOTA = 'peridotpost_customer_quota_per_second'
SHARE = 'peridotpost_customer_admission_share'


@dataclasses.dataclass(slots=True)
class FleetUse:
    """Use of a customer; rates are sums over the hosts.

    :param quota_per_s: 0 if there is no limit.
    :param lowest_share: lowest admission share of a host; None if no host
        was told one.
    :param hosts: number of hosts that counted requests of the customer.
    """

    customer: str
    admitted_per_s: float = 0.0
    over_quota_per_s: float = 0.0
    quota_per_s: float = 0.0
    lowest_share: float | None = None
    hosts: int = 0

    def add_share(self, share: float) -> None:
        lowest = self.lowest_share
        self.lowest_share = share if lowest is None else min(lowest, share)


class FleetUsage:
    """Collects the use of customers from metrics pages or log lines."""

    def __init__(self) -> None:
        self.by_customer: dict[str, FleetUse] = {}

    def add_pages(self, before: str, after: str, seconds: float) -> None:
        """Add a host by two of its metrics pages.

        A counter that fell belongs to a daemon that has restarted since.

        :raises ValueError: a page is not in the Prometheus text format.
        """
        earlier = {
            (name, *sorted(labels.items())): value
            for name, labels, value in _samples(before)
        }
        customers = set()
        for name, labels, value in _samples(after):
            if name not in (REQUESTS, QUOTA, SHARE):
                continue
            use = self._use(labels['customer'])
            customers.add(use.customer)
            if name == QUOTA:
                use.quota_per_s = max(use.quota_per_s, value)
            elif name == SHARE:
                use.add_share(value)
            else:
                old = earlier.get((name, *sorted(labels.items())), 0.0)
                rate = (value - old if value >= old else value) / seconds
                if labels['outcome'] == 'admitted':
                    use.admitted_per_s += rate
                else:
                    use.over_quota_per_s += rate
        for customer in customers:
            self.by_customer[customer].hosts += 1

    def add_logs(self, lines: Iterable[loglines.LogLine]) -> None:
        """Add the lines about customers of all hosts, sorted by time."""
        lines = [line for line in lines if line.event == 'customers']
        if not lines:
            return
        seconds = lines[-1].at - lines[0].at + LOG_INTERVAL_S
        seen = set()
        for line in lines:
            for row in line.usage:
                use = self._use(row.customer)
                use.admitted_per_s += row.admitted / seconds
                use.over_quota_per_s += row.over_quota / seconds
                use.quota_per_s = row.quota_per_s
                if row.share is not None:
                    use.add_share(row.share)
                use.hosts += (row.customer, line.host) not in seen
                seen.add((row.customer, line.host))

    def rows(self) -> list[FleetUse]:
        """Return the customers, those with most refusals first."""
        return sorted(
            self.by_customer.values(),
            key=lambda use: (
                -use.over_quota_per_s,
                -use.admitted_per_s,
                use.customer,
            ),
        )

    def _use(self, customer: str) -> FleetUse:
        return self.by_customer.setdefault(customer, FleetUse(customer))


def format_use(use: FleetUse) -> str:
    quota = f'{use.quota_per_s:g}' if use.quota_per_s else 'no limit'
    share = '' if use.lowest_share is None else f'{use.lowest_share:.0%}'
    return (
        f'{use.customer}: {use.admitted_per_s:.1f} requests per second '
        f'(quota: {quota}), {use.over_quota_per_s:.1f} refused for quota'
        f'{f", lowest admission share {share}" if share else ""}, '
        f'on {use.hosts} hosts'
    )


def _samples(page: str) -> list[tuple[str, dict[str, str], float]]:
    from prometheus_client import parser

    return [
        (sample.name, sample.labels, sample.value)
        for family in parser.text_string_to_metric_families(page)
        for sample in family.samples
    ]
