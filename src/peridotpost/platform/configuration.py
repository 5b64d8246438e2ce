"""The operators' configuration as the platform's store holds it."""

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
    """:param kind: what may be repeated; not a kind of content."""

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
    """Read a configuration, all of it or nothing.

    :raises versions.BadConfig: with the path of the field that is wrong.
    """
    try:
        document = DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise versions.BadConfig(str(error)) from error
    services = {
        one.name: mesh.ServiceLimits(one.name, one.max_connections)
        for one in document.services
    }
    routes = [_route(one, services) for one in document.routes]
    limits = mesh.CallerLimits(
        document.limits.max_header_bytes,
        document.limits.max_body_bytes,
        document.limits.header_timeout_ms / MS_IN_S,
        document.limits.idle_timeout_ms / MS_IN_S,
    )
    return mesh.MeshConfig(document.version, routes, services, limits)


def _route(
    told: _Route, services: dict[str, mesh.ServiceLimits]
) -> mesh.PathRoute:
    shares = tuple(
        mesh.Share(one.service, one.weight) for one in told.traffic_split
    )
    if told.service is not None and not shares:
        shares = (mesh.Share(told.service, 1.0),)
    problem = ''
    if not shares or not any(one.weight > 0 for one in shares):
        problem = 'names no service'
    elif any(one.service not in services for one in shares):
        problem = 'names a service that is not listed'
    elif not told.host:
        problem = 'has no host'
    elif not (told.prefix.startswith('/') and told.prefix.endswith('/')):
        problem = f'prefix {told.prefix!r} does not begin and end with /'
    if problem:
        raise versions.BadConfig(f'route {told.name!r} {problem}')
    return mesh.PathRoute(
        name=told.name,
        host=told.host.lower(),
        prefix=told.prefix,
        idempotent=told.kind in IDEMPOTENT_KINDS,
        timeout_s=told.timeout_ms / MS_IN_S,
        objective_s=told.target_latency_ms / MS_IN_S,
        rank=told.priority,
        max_attempts=max(1, told.max_attempts),
        shares=tuple(one for one in shares if one.weight > 0),
    )
