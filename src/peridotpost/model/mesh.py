"""Routes by host and path prefix, as used by a proxy.

A ``MeshConfig`` holds one complete version and is immutable: a daemon
replaces the reference, so that no request sees a mix of two versions.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Protocol

import msgspec


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a traffic split and its share of the requests."""

    service: str
    weight: float


class PathRoute(msgspec.Struct, frozen=True):
    """Route of the requests under one path prefix of one host.

    A frozen data class takes ten times as long to create (2.6 us), and a
    version with thousands of routes must not stall the event loop.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: maximum duration of a request.
    :param objective_s: objective for the response time.
    :param rank: priority; 0 is the most urgent.
    :param max_attempts: number of targets that a request may be sent to.
    :param anonymous: whether requests without a customer are served if the
        configuration has customers.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    shares: tuple[WeightedService, ...]
    anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer that requests are served for.

    :param priority: 0 is the most urgent.
    :param rate_per_s: quota of requests per second over all hosts; 0 for no
        limit.
    :param burst: requests allowed beyond the rate.
    """

    name: str
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class CustomerLookup(Protocol):
    """The interface of ``decisions.customers.CustomerTable``.

    The model may not depend on the decisions.
    """

    by_name: dict[str, Customer]

    def find(self, key: bytes) -> Customer | None:
        """Return the customer who holds a key; None if nobody does."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Limits that apply to each target of a service."""

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size, duration and idle time of callers' connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class MeshConfig:
    """One complete, immutable configuration version.

    :param routes: their prefixes begin and end with a slash.
    :param customers: None if the configuration has no customers.
    """

    def __init__(
        self,
        version: int,
        routes: Sequence[PathRoute],
        services: Mapping[str, ServiceLimits],
        limits: CallerLimits,
        customers: CustomerLookup | None = None,
    ) -> None:
        self.version = version
        self.services = services
        self.limits = limits
        self.customers = customers
        self._by_host: dict[str, dict[str, PathRoute]] = {}
        self._longest_prefix = 0
        for route in routes:
            # The first of several routes with the same prefix is in force.
            self._by_host.setdefault(route.host, {}).setdefault(
                route.prefix, route
            )
            self._longest_prefix = max(self._longest_prefix, len(route.prefix))

    def find(self, host: str, path: str) -> PathRoute | None:
        """Return the route with the longest prefix that matches `path`.

        Takes one lookup for each slash in `path`, up to the length of the
        longest prefix, however many routes there are.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/', 0, self._longest_prefix) + 1
        while end:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None
