"""Keeps the routing table up to date with the version and the fleet.

Each start, stop, suspicion or drain among 5,200 daemons changes the table,
and calls need it on the same event loop.  Compiling it in full on each
change would delay the next call by 17 to 35 ms (``bench.capacity``), so
only the routes of services hosted by the changed member are recompiled
and the others are reused.

A table that was handed out is never modified; a new one replaces it.
"""

from collections.abc import Iterable

from peridotpost.model import config
from peridotpost.model import members
from peridotpost.model import routing


class TableCompiler:
    """Compiles stale routes when the table is next requested."""

    def __init__(self) -> None:
        self.members_by_service: dict[
            str, dict[str, members.MemberRecord]
        ] = {}
        self.stale_services: set[str] = set()
        self.version = config.NO_CONFIG
        self.table = routing.EMPTY_TABLE

    def member_changed(
        self,
        before: members.MemberRecord | None,
        record: members.MemberRecord,
    ) -> None:
        """Replace `before`, the former record of a member, by `record`."""
        for service in _services(before):
            self.members_by_service[service].pop(record.host, None)
            self.stale_services.add(service)
        for service in _services(record):
            self.members_by_service.setdefault(service, {})[record.host] = (
                record
            )
            self.stale_services.add(service)

    def current(self, version: config.ConfigVersion) -> routing.RoutingTable:
        """Return the table of `version` over the current members.

        :raises routing.DanglingRoute: the table breaks its own invariant.
        """
        if version is not self.version or self.stale_services:
            routes = {
                name: self._route(name, spec)
                for name, spec in version.services.items()
            }
            self.table = routing.RoutingTable(version.revision, routes)
            self.version = version
            self.stale_services.clear()
        return self.table

    def _route(self, name: str, spec: config.ServiceSpec) -> routing.Route:
        cached = self.table.routes.get(name)
        if cached is None or name in self.stale_services:
            hosts = self.members_by_service.get(name, {})
            return routing.build_route(spec, hosts.values())
        if cached.spec is spec:
            return cached
        return routing.Route(spec, cached.endpoints)


def _services(record: members.MemberRecord | None) -> Iterable[str]:
    """Return the services that a member hosts; none unless it is live."""
    if record is None or not record.live:
        return ()
    return {target.service for target in record.targets}
