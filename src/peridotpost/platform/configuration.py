"""The format of the operators' configuration in the platform's store."""

from typing import Annotated

import msgspec

from peridotpost.mesh import versions
from peridotpost.model import mesh

IDEMPOTENT_KINDS = frozenset({'safe'})
MS_IN_S = 1000.0

Positive = Annotated[float, msgspec.Meta(gt=0)]


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


class _Service(msgspec.Struct, rename='camel'):
    name: str
    max_connections: int = 0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: Positive = 3000.0
    idle_timeout_ms: Positive = 15_000.0


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


DECODER = msgspec.json.Decoder(_Document)


def decode(raw: bytes) -> mesh.MeshConfig:
    """Decode a configuration as a whole.

    :raises versions.InvalidConfig: with the path of the invalid field.
    """
    try:
        document = DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise versions.InvalidConfig(str(error)) from error
    services = {
        entry.name: mesh.ServiceLimits(entry.name, entry.max_connections)
        for entry in document.services
    }
    routes = [_route(entry, services) for entry in document.routes]
    limits = mesh.CallerLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_ms / MS_IN_S,
        document.limits.idle_timeout_ms / MS_IN_S,
    )
    return mesh.MeshConfig(document.version, routes, services, limits)


def _route(
    route: _Route, services: dict[str, mesh.ServiceLimits]
) -> mesh.PathRoute:
    shares = tuple(
        mesh.WeightedService(share.service, share.weight)
        for share in route.traffic_split
    )
    if route.service is not None and not shares:
        shares = (mesh.WeightedService(route.service, 1.0),)
    problem = ''
    if not shares or not any(share.weight > 0 for share in shares):
        problem = 'names no service'
    elif any(share.service not in services for share in shares):
        problem = 'names a service that is not listed'
    elif not route.host:
        problem = 'has no host'
    elif not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        problem = f'prefix {route.prefix!r} does not begin and end with /'
    if problem:
        raise versions.InvalidConfig(f'route {route.name!r} {problem}')
    return mesh.PathRoute(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        idempotent=route.kind in IDEMPOTENT_KINDS,
        timeout_s=route.timeout_ms / MS_IN_S,
        objective_s=route.target_latency_ms / MS_IN_S,
        rank=route.priority,
        max_attempts=max(1, route.max_attempts),
        shares=tuple(share for share in shares if share.weight > 0),
    )
