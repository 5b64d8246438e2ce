"""Routes by host and path prefix, as a proxy holds them.

One ``MeshConfig`` is one whole version.  It is immutable: a daemon swaps
the reference, so that no request ever sees parts of two versions.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One service of a split and its part of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PathRoute:
    """Where the requests under one path prefix of one host go.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: how long the operator lets a request take.
    :param objective_s: the answer time that the operator aims at.
    :param rank: 0 is the most urgent.
    :param max_attempts: targets that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What a service's targets bear."""

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class MeshConfig:
    """One whole configuration version."""

    def __init__(
        self,
        version: int,
        routes: Sequence[PathRoute],
        services: Mapping[str, ServiceLimits],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self.by_host: dict[str, list[PathRoute]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, []).append(route)
        # Longest prefix first, so that the first match is the right one.
        for held in self.by_host.values():
            held.sort(key=lambda one: -len(one.prefix))

    def find(self, host: str, path: str) -> PathRoute | None:
        """Return the route with the longest prefix that begins `path`."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def routes(self) -> list[PathRoute]:
        return [one for held in self.by_host.values() for one in held]
