"""The immutable routing table, which a daemon replaces as a whole."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from peridotpost.model import config
from peridotpost.model import members


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A target that can be called through the daemon of its host."""

    host: str
    availability_zone: str
    address: str
    call_port: int
    name: str
    slots: int
    cold: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A service and the endpoints that calls to it may be sent to."""

    spec: config.ServiceSpec
    endpoints: tuple[Endpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingTable:
    """All routes of one configuration version; self-contained."""

    revision: int
    routes: Mapping[str, Route]

    def may_call(self, from_service: str, to_service: str) -> bool:
        """Whether `from_service` declares a dependency on `to_service`."""
        caller = self.routes.get(from_service)
        return caller is not None and to_service in caller.spec.depends_on


EMPTY_TABLE = RoutingTable(0, {})


class DanglingRoute(ValueError):
    """A routing table refers to an unknown service or host."""


def compile_table(
    version: config.ConfigVersion, fleet: Iterable[members.MemberRecord]
) -> RoutingTable:
    """Build the table for `version` from the live members of `fleet`.

    ``decisions.tables`` updates a table incrementally; the result must equal
    the one built here.

    :raises DanglingRoute: the result violates its invariant.
    """
    live = [member for member in fleet if member.live]
    routes = {
        name: build_route(spec, live)
        for name, spec in version.services.items()
    }
    table = RoutingTable(version.revision, routes)
    check_no_dangling(table, version, {member.host for member in live})
    return table


def build_route(
    spec: config.ServiceSpec, live: Iterable[members.MemberRecord]
) -> Route:
    """Return the route to the targets of `live` that accept calls."""
    endpoints = [
        _endpoint(member, target)
        for member in live
        for target in member.targets
        if target.service == spec.name
        and target.state is not members.TargetState.DRAINING
    ]
    endpoints.sort(key=lambda endpoint: (endpoint.host, endpoint.name))
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
    """Raise :class:`DanglingRoute` if a route refers to an unknown part."""
    for name, route in table.routes.items():
        if version.services.get(name) is not route.spec:
            raise DanglingRoute(f'route {name!r} refers to an unknown service')
        for endpoint in route.endpoints:
            if endpoint.host not in hosts:
                raise DanglingRoute(
                    f'route {name!r} refers to unknown host {endpoint.host!r}'
                )
