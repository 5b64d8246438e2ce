"""The immutable routing table that a daemon swaps whole."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from peridotpost.model import config
from peridotpost.model import members


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A target that calls can be sent to, by way of its host's daemon."""

    host: str
    availability_zone: str
    address: str
    call_port: int
    name: str
    slots: int
    cold: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A service and the targets that may serve it."""

    spec: config.ServiceSpec
    endpoints: tuple[Endpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """Every route of one configuration version, complete in itself."""

    revision: int
    routes: Mapping[str, Route]

    def may_call(self, from_service: str, to_service: str) -> bool:
        """Whether the text lets `from_service` call `to_service`."""
        caller = self.routes.get(from_service)
        return caller is not None and to_service in caller.spec.depends_on


EMPTY_TABLE = RoutingTable(0, {})


class DanglingRoute(ValueError):
    """A table would name a service or target that its holder lacks."""


def compile_table(
    version: config.ConfigVersion, fleet: Iterable[members.MemberRecord]
) -> RoutingTable:
    """Build the whole table for `version` over the live members of `fleet`.

    ``decisions.tables`` keeps it up; this is what it must come to.

    :raises DanglingRoute: the result breaks its own invariant.
    """
    live = [member for member in fleet if member.live]
    routes = {
        name: route_over(spec, live) for name, spec in version.services.items()
    }
    table = RoutingTable(version.revision, routes)
    check_no_dangling(table, version, {member.host for member in live})
    return table


def route_over(
    spec: config.ServiceSpec, live: Iterable[members.MemberRecord]
) -> Route:
    """Return the route to those of the `live` members that take calls."""
    endpoints = [
        _endpoint(member, target)
        for member in live
        for target in member.targets
        if target.service == spec.name
        and target.state is not members.TargetState.DRAINING
    ]
    endpoints.sort(key=lambda one: (one.host, one.name))
    return Route(spec, tuple(endpoints))


def _endpoint(
    member: members.MemberRecord, target: members.TargetRecord
) -> Endpoint:
    return Endpoint(
        host=member.host,
        availability_zone=member.availability_zone,
        address=member.address,
        call_port=member.call_port,
        name=target.name,
        slots=target.slots,
        cold=target.state is members.TargetState.COLD,
    )


def check_no_dangling(
    table: RoutingTable, version: config.ConfigVersion, hosts: set[str]
) -> None:
    """Raise :class:`DanglingRoute` unless every route has what it names."""
    for name, route in table.routes.items():
        if version.services.get(name) is not route.spec:
            raise DanglingRoute(f'route {name!r} has no service')
        for endpoint in route.endpoints:
            if endpoint.host not in hosts:
                raise DanglingRoute(f'{name!r} leads to {endpoint.host!r}')
