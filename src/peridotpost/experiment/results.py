"""Results of a simulated run, as its callers see them."""

import dataclasses

from peridotpost.load import histogram

QUANTILES = (0.5, 0.99)


@dataclasses.dataclass(slots=True)
class RouteResult:
    """Outcomes of the requests of one route; a caller's retries count once.

    :param credit: worth earned, of `owed`, which is the worth of all
        requests if each were answered within its objective.
    :param refused_again: requests whose caller was refused more than once.
    :param call_failed: runs that failed because of a call.
    :param arrivals: dispatches that reached a target's process.
    :param repeats: runs of retried requests.
    :param hedges: hedges sent; `hedge_wins` were answered first.
    :param declined: dispatches refused by a target in a slow spell.
    :param crossings: dispatches to a remote zone; `remote_kilobytes` is their
        traffic, `remote_first_kilobytes` the part of first attempts.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    credit: float = 0.0
    owed: float = 0.0
    refused_again: int = 0
    call_failed: int = 0
    arrivals: int = 0
    repeats: int = 0
    crossings: int = 0
    hedges: int = 0
    hedge_wins: int = 0
    declined: int = 0
    remote_kilobytes: float = 0.0
    remote_first_kilobytes: float = 0.0
    latency: histogram.Histogram = dataclasses.field(
        default_factory=histogram.Histogram
    )

    @property
    def asked(self) -> int:
        return self.in_time + self.late + self.refused + self.failed

    @property
    def credit_share(self) -> float:
        return self.credit / self.owed if self.owed else 0.0


class WorthByName:
    """Earned and owed worth, by zone or customer."""

    def __init__(self) -> None:
        self.owed: dict[str, float] = {}
        self.earned: dict[str, float] = {}

    def add(self, name: str, earned: float, owed: float) -> None:
        """Record a request; `owed` is its worth if answered in time."""
        self.owed[name] = self.owed.get(name, 0.0) + owed
        self.earned[name] = self.earned.get(name, 0.0) + earned

    def shares(self) -> dict[str, float]:
        """Return the earned share of the owed worth."""
        return {
            name: self.earned[name] / self.owed[name] for name in self.owed
        }


@dataclasses.dataclass(slots=True)
class Result:
    """Result of one run.

    :param events: simulated events that were run.
    :param credit_by_zone: earned share of the owed worth, by the callers'
        zone.
    :param credit_by_customer: the same by customer; of these,
        `hot_customers` had a higher request rate in some phase.
    """

    policy: str
    seed: int
    hosts: int
    events: int = 0
    routes: dict[str, RouteResult] = dataclasses.field(default_factory=dict)
    credit_by_zone: dict[str, float] = dataclasses.field(default_factory=dict)
    credit_by_customer: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    hot_customers: set[str] = dataclasses.field(default_factory=set)

    @property
    def credit_share(self) -> float:
        owed = sum(route.owed for route in self.routes.values())
        credit = sum(route.credit for route in self.routes.values())
        return credit / owed if owed else 0.0

    @property
    def worst_customers_share(self) -> float:
        """Return the mean credit of the worst tenth of the other customers.

        Customers that were hot are left out: they are to lose first.
        """
        ascending = sorted(
            self.credit_by_customer[customer]
            for customer in self.credit_by_customer
            if customer not in self.hot_customers
        )
        tenth = ascending[: max(1, len(ascending) // 10)]
        return sum(tenth) / max(1, len(tenth))

    @property
    def remote_kilobytes(self) -> float:
        return sum(route.remote_kilobytes for route in self.routes.values())

    @property
    def remote_first_kilobytes(self) -> float:
        return sum(
            route.remote_first_kilobytes for route in self.routes.values()
        )

    def to_json(self) -> dict[str, object]:
        """Return data for JSON, with times in milliseconds."""
        return {
            'policy': self.policy,
            'seed': self.seed,
            'hosts': self.hosts,
            'events': self.events,
            'credit': round(self.credit_share, 4),
            'far_kilobytes': round(self.remote_kilobytes, 1),
            'zones': {
                zone: round(self.credit_by_zone[zone], 4)
                for zone in sorted(self.credit_by_zone)
            },
            'customers': {
                'worst_tenth': round(self.worst_customers_share, 4),
                'hot': {
                    customer: round(self.credit_by_customer[customer], 4)
                    for customer in sorted(self.hot_customers)
                },
            },
            'routes': {
                name: _route_json(route) for name, route in self.routes.items()
            },
        }


def _route_json(route: RouteResult) -> dict[str, float]:
    document: dict[str, float] = {
        'asked': route.asked,
        'in_time': route.in_time,
        'late': route.late,
        'refused': route.refused,
        'failed': route.failed,
        'refused_again': route.refused_again,
        'call_failed': route.call_failed,
        'credit': round(route.credit_share, 4),
        'arrivals': route.arrivals,
        'repeats': route.repeats,
        'hedges': route.hedges,
        'hedge_wins': route.hedge_wins,
        'declined': route.declined,
        'crossings': route.crossings,
        'far_kilobytes': round(route.remote_kilobytes, 1),
    }
    for share in QUANTILES:
        name = f'p{share * 100:g}_ms'
        document[name] = round(route.latency.quantile(share) * 1000, 1)
    return document
