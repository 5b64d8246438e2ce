"""The format of the operators' configuration in the platform's store."""

from collections.abc import Container
from collections.abc import Iterator
import math
from typing import Annotated

import msgspec

from peridotpost.decisions import customers
from peridotpost.mesh import versions
from peridotpost.model import mesh

IDEMPOTENT_KINDS = frozenset({'safe'})
MS_IN_S = 1000.0

Positive = Annotated[float, msgspec.Meta(gt=0)]
Priority = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
"""The bound keeps ranks derived from it within 64 bits."""


class _Share(msgspec.Struct):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, rename='camel'):
    """A route; its requests may be repeated if `kind` is ``safe``."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Positive
    target_latency_ms: Positive
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    anonymous: bool = False


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: Positive = 3000.0
    idle_timeout_ms: Positive = 15_000.0


class _Tenant(msgspec.Struct, rename='camel'):
    """A customer; a rate of 0 means that there is no limit."""

    name: str
    api_keys: list[str]
    priority: Priority = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Document(msgspec.Struct):
    version: int
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _DecodedDocument(_Document):
    routes: list[_Route]  # type: ignore[assignment]


DECODER = msgspec.json.Decoder(_Document)
ROUTE_DECODER = msgspec.json.Decoder(_Route)


def decode(raw: bytes, secret: bytes) -> mesh.MeshConfig:
    """Decode a configuration as a whole.

    Routes are decoded one after the other, and equal hosts and services are
    stored once, as memory peaks while two versions exist.

    :param secret: under which the customers' keys are hashed.
    :raises versions.InvalidConfig: with the path of the invalid field.
    """
    try:
        return _config(DECODER.decode(raw), secret)
    except msgspec.MsgspecError as error:
        raise versions.InvalidConfig(_describe(error, raw)) from error
    except RecursionError as error:
        raise versions.InvalidConfig('text is nested too deeply') from error


def _describe(error: msgspec.MsgspecError, raw: bytes) -> str:
    """Return the message with the path of the field within the document."""
    try:
        msgspec.json.decode(raw, type=_DecodedDocument)
    except msgspec.MsgspecError as error_with_path:
        return str(error_with_path)
    except RecursionError:
        pass
    return str(error)


def _config(document: _Document, secret: bytes) -> mesh.MeshConfig:
    services = {
        entry.name: mesh.ServiceLimits(entry.name, entry.max_connections)
        for entry in document.services
    }
    reader = _RouteReader(services)
    routes = [
        reader.read(ROUTE_DECODER.decode(entry)) for entry in document.routes
    ]
    limits = mesh.CallerLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_ms / MS_IN_S,
        document.limits.idle_timeout_ms / MS_IN_S,
    )
    table = None
    if document.tenants:
        _validate_tenants(document.tenants)
        table = customers.CustomerTable(
            map(_customer, document.tenants), secret
        )
    return mesh.MeshConfig(document.version, routes, services, limits, table)


def _customer(tenant: _Tenant) -> tuple[mesh.Customer, Iterator[bytes]]:
    customer = mesh.Customer(
        tenant.name, tenant.priority, tenant.rate_per_s, tenant.burst
    )
    return customer, (key.encode() for key in tenant.api_keys)


def _validate_tenants(tenants: list[_Tenant]) -> None:
    """Check what the types can't express; messages never contain a key.

    :raises versions.InvalidConfig: with the path of the invalid field.
    """
    index_by_name: dict[str, int] = {}
    index_by_key: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        path = f'$.tenants[{index}]'
        # Control characters would end the header that names the customer.
        if not tenant.name or not tenant.name.isprintable():
            problem = f'{tenant.name!r} is empty or not printable'
            raise versions.InvalidConfig(f'{problem} - at `{path}.name`')
        other = index_by_name.setdefault(tenant.name, index)
        if other != index:
            problem = f'{tenant.name!r} is also the name of tenant {other}'
            raise versions.InvalidConfig(f'{problem} - at `{path}.name`')
        for field, value in (
            ('ratePerS', tenant.rate_per_s),
            ('burst', tenant.burst),
        ):
            if not 0 <= value < math.inf:
                problem = f'{value} is negative or not finite'
                raise versions.InvalidConfig(
                    f'{problem} - at `{path}.{field}`'
                )
        for number, key in enumerate(tenant.api_keys):
            problem = ''
            if not key:
                problem = 'key is empty'
            elif index_by_key.setdefault(key, index) != index:
                problem = f'key is also held by tenant {index_by_key[key]}'
            if problem:
                raise versions.InvalidConfig(
                    f'{problem} - at `{path}.apiKeys[{number}]`'
                )


class _RouteReader:
    """Converts routes; validates equal traffic splits only once.

    Thousands of routes share a few splits, and building each split again took
    half of the time that a version blocks the event loop.
    """

    def __init__(self, services: Container[str]) -> None:
        self.services = services
        self._hosts: dict[str, str] = {}
        self._shares_by_split: dict[
            tuple[tuple[str, float], ...], tuple[mesh.WeightedService, ...]
        ] = {}

    def read(self, route: _Route) -> mesh.PathRoute:
        """Convert a route.

        :raises versions.InvalidConfig: with the name of the route.
        """
        split = tuple(
            [(share.service, share.weight) for share in route.traffic_split]
        )
        if route.service is not None and not split:
            split = ((route.service, 1.0),)
        shares = self._shares_by_split.get(split)
        problem = ''
        if shares is None:
            problem = self._problem_of(split)
            shares = tuple(
                mesh.WeightedService(service, weight)
                for service, weight in split
                if weight > 0
            )
        prefix = route.prefix
        if problem:
            pass
        elif not route.host:
            problem = 'has no host'
        elif not (prefix.startswith('/') and prefix.endswith('/')):
            problem = f'prefix {prefix!r} does not begin and end with /'
        if problem:
            raise versions.InvalidConfig(f'route {route.name!r} {problem}')
        self._shares_by_split[split] = shares
        host = route.host.lower()
        return mesh.PathRoute(
            route.name,
            self._hosts.setdefault(host, host),
            prefix,
            route.kind in IDEMPOTENT_KINDS,
            route.timeout_ms / MS_IN_S,
            route.target_latency_ms / MS_IN_S,
            route.priority,
            max(1, route.max_attempts),
            shares,
            route.anonymous,
        )

    def _problem_of(self, split: tuple[tuple[str, float], ...]) -> str:
        if not any(weight > 0 for _, weight in split):
            return 'names no service'
        if any(service not in self.services for service, _ in split):
            return 'names a service that is not listed'
        return ''
