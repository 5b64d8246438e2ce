"""What the callers of a simulated run received."""

import dataclasses

from peridotpost.load import histogram

QUANTILES = (0.5, 0.99)


@dataclasses.dataclass(slots=True)
class RouteResult:
    """Outcomes of one kind of request, for callers who may come back.

    :param credit: earned of `owed`, by the route's worth.
    :param crossings: dispatches to another zone; `far_kilobytes` are theirs,
        `far_first_kilobytes` those of first choices among them.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    credit: float = 0.0
    owed: float = 0.0
    arrivals: int = 0
    repeats: int = 0
    crossings: int = 0
    far_kilobytes: float = 0.0
    far_first_kilobytes: float = 0.0
    latency: histogram.Histogram = dataclasses.field(
        default_factory=histogram.Histogram
    )

    @property
    def asked(self) -> int:
        return self.in_time + self.late + self.refused + self.failed

    @property
    def credit_share(self) -> float:
        return self.credit / self.owed if self.owed else 0.0


@dataclasses.dataclass(slots=True)
class Result:
    """One run.

    :param credit_by_zone: share of what callers of each zone were owed.
    """

    policy: str
    seed: int
    hosts: int
    events: int = 0
    routes: dict[str, RouteResult] = dataclasses.field(default_factory=dict)
    credit_by_zone: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def credit_share(self) -> float:
        owed = sum(one.owed for one in self.routes.values())
        credit = sum(one.credit for one in self.routes.values())
        return credit / owed if owed else 0.0

    @property
    def far_kilobytes(self) -> float:
        return sum(one.far_kilobytes for one in self.routes.values())

    @property
    def far_first_kilobytes(self) -> float:
        return sum(one.far_first_kilobytes for one in self.routes.values())

    def to_json(self) -> dict[str, object]:
        """Return plain data; times in milliseconds."""
        return {
            'policy': self.policy,
            'seed': self.seed,
            'hosts': self.hosts,
            'events': self.events,
            'credit': round(self.credit_share, 4),
            'far_kilobytes': round(self.far_kilobytes, 1),
            'zones': {
                zone: round(self.credit_by_zone[zone], 4)
                for zone in sorted(self.credit_by_zone)
            },
            'routes': {
                name: _route_json(one) for name, one in self.routes.items()
            },
        }


def _route_json(one: RouteResult) -> dict[str, float]:
    shown: dict[str, float] = {
        'asked': one.asked,
        'in_time': one.in_time,
        'late': one.late,
        'refused': one.refused,
        'failed': one.failed,
        'credit': round(one.credit_share, 4),
        'arrivals': one.arrivals,
        'repeats': one.repeats,
        'crossings': one.crossings,
        'far_kilobytes': round(one.far_kilobytes, 1),
    }
    for share in QUANTILES:
        name = f'p{share * 100:g}_ms'
        shown[name] = round(one.latency.quantile(share) * 1000, 1)
    return shown
