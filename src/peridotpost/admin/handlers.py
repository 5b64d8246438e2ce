"""Request handlers of the admin API."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import resource

import pydantic
from tornado import httpserver
from tornado import web

from peridotpost.admin import models
from peridotpost.admin import rollout
from peridotpost.calls import sockets as ports
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server as control
from peridotpost.distribution import storewatcher
from peridotpost.distribution import uplinks
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.membership import targets as local_targets
from peridotpost.model import members

MEMORY_PAGE_BYTES = 4096


class ApiHandler(web.RequestHandler):
    """Base class of the handlers; reports errors as JSON."""

    kernel: registry.ServiceRegistry

    def initialize(self, kernel: registry.ServiceRegistry) -> None:
        self.kernel = kernel

    def write_error(self, status_code: int, **kwargs: object) -> None:
        self.finish({'status': status_code, 'detail': self._reason})

    def reply(self, model: pydantic.BaseModel) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(model.model_dump_json())


class StatusHandler(ApiHandler):
    """``GET /v1/status``."""

    def get(self) -> None:
        self.reply(daemon_status(self.kernel))


class CountersHandler(ApiHandler):
    """``GET /v1/counters``."""

    def get(self) -> None:
        counts = self.kernel.find('counters', counters.Counters)
        clock = self.kernel.find('timers', timers.TimerService)
        local_member = self.kernel.find('myself', myself.LocalMember)
        self.reply(
            models.CountersResponse(
                host=local_member.record.host,
                at=clock.now(),
                totals=dict(counts.totals),
            )
        )


class RolloutHandler(ApiHandler):
    """``GET /v1/rollout``."""

    def get(self) -> None:
        self.reply(rollout.rollout_page(self.kernel))


class TimelineHandler(ApiHandler):
    """``GET /v1/timeline?request_id=&revision=``."""

    def get(self) -> None:
        events = self.kernel.find('timeline', timeline.Timeline)
        try:
            revision = int(self.get_query_argument('revision', '0'))
        except ValueError as error:
            raise web.HTTPError(
                400, reason='revision: not a number'
            ) from error
        selected = events.select(
            request_id=self.get_query_argument('request_id', ''),
            revision=revision,
        )
        self.reply(
            models.TimelineResponse(
                events=[
                    models.TimelineEvent(**dataclasses.asdict(event))
                    for event in selected
                ]
            )
        )


class TargetHandler(ApiHandler):
    """``PUT`` and ``DELETE /v1/targets/SERVICE``, called by targets."""

    def put(self, service: str) -> None:
        try:
            announcement = models.Announcement.model_validate_json(
                self.request.body
            )
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            field = '.'.join(str(part) for part in first['loc'])
            raise web.HTTPError(
                400, reason=f'announcement: {field}: {first["msg"]}'[:200]
            ) from error
        targets = self.kernel.find('targets', local_targets.LocalTargets)
        clock = self.kernel.find('timers', timers.TimerService)
        target = local_targets.LocalTarget(
            service=service,
            name=announcement.name,
            port=announcement.port,
            slots=announcement.slots,
            connections=announcement.connections,
            state=members.TargetState[announcement.state.upper()],
            expires_at=clock.now() + targets.ttl_s,
        )
        try:
            targets.announce(target)
        except local_targets.NameTaken as error:
            raise web.HTTPError(409, reason=error.message) from error
        self.finish({})

    def delete(self, service: str) -> None:
        """Withdraw the target ``name``, or all targets of the service."""
        targets = self.kernel.find('targets', local_targets.LocalTargets)
        name = self.get_query_argument('name', '')
        for target in targets.of_service(service):
            if name in ('', target.name):
                targets.withdraw(
                    service, target.name, 'withdrawn by the target'
                )
        self.finish({})


def daemon_status(kernel: registry.ServiceRegistry) -> models.DaemonStatus:
    """Return the daemon's status."""
    local_member = kernel.find('myself', myself.LocalMember)
    replica = kernel.find('replica', replicas.Replica)
    uplink_set = kernel.find('uplinks', uplinks.UplinkManager)
    store_watcher = kernel.find('source', storewatcher.StoreWatcher)
    servicer = kernel.find('control', control.ControlServicer)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return models.DaemonStatus(
        host=replica.host,
        availability_zone=local_member.record.availability_zone,
        stage=local_member.stage.value,
        revision=replica.version.revision,
        write_id=replica.version.write_id,
        digest=replica.version.digest.hex(),
        relay=uplink_set.position.relay,
        parent=[parent.peer for parent in uplink_set.by_name.values()],
        children=servicer.children,
        store_reachable=store_watcher.reachable,
        resident_kib=resident_kib(),
        cpu_s=usage.ru_utime + usage.ru_stime,
        routes=[
            models.RouteStatus(
                service=name,
                endpoints=[
                    f'{endpoint.host}/{endpoint.name}'
                    for endpoint in route.endpoints
                ],
            )
            for name, route in sorted(replica.table.routes.items())
        ],
        members=[
            _member_status(record)
            for _, record in sorted(replica.fleet.records.items())
        ],
    )


def _member_status(record: members.MemberRecord) -> models.MemberStatus:
    return models.MemberStatus(
        host=record.host,
        availability_zone=record.availability_zone,
        status=record.status.name.lower(),
        incarnation=record.incarnation,
        targets=[
            f'{target.service}/{target.name} {target.state.name.lower()}'
            for target in record.targets
        ],
    )


def resident_kib() -> int:
    """Return the resident memory of this process in KiB."""
    with open('/proc/self/statm') as pages:
        return int(pages.read().split()[1]) * MEMORY_PAGE_BYTES // 1024


@contextlib.asynccontextmanager
async def serving(
    kernel: registry.ServiceRegistry, address: str, port: int
) -> AsyncIterator[int]:
    """Serve the admin API and yield its port.

    :raises errors.PeridotError: the port is in use.
    """
    arguments = {'kernel': kernel}
    handlers = [
        (r'/v1/status', StatusHandler, arguments),
        (r'/v1/counters', CountersHandler, arguments),
        (r'/v1/rollout', RolloutHandler, arguments),
        (r'/v1/timeline', TimelineHandler, arguments),
        (r'/v1/targets/([a-z][a-z0-9-]{0,62})', TargetHandler, arguments),
    ]
    server = httpserver.HTTPServer(web.Application(handlers))
    sockets = ports.bind(address, port, 'admin_port')
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
