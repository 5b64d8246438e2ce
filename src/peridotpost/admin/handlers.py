"""Handlers of the admin page."""

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
from peridotpost.distribution import source as sources
from peridotpost.distribution import uplinks
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.model import members

PAGE_BYTES = 4096


class Page(web.RequestHandler):
    """Base of the pages: finds services, answers errors as JSON."""

    kernel: registry.Kernel

    def initialize(self, kernel: registry.Kernel) -> None:
        self.kernel = kernel

    def write_error(self, status_code: int, **kwargs: object) -> None:
        self.finish({'status': status_code, 'detail': self._reason})

    def reply(self, model: pydantic.BaseModel) -> None:
        self.set_header('Content-Type', 'application/json')
        self.finish(model.model_dump_json())


class StatusPage(Page):
    """``GET /v1/status``."""

    def get(self) -> None:
        self.reply(status_of(self.kernel))


class CountersPage(Page):
    """``GET /v1/counters``."""

    def get(self) -> None:
        counts = self.kernel.find('counters', counters.Counters)
        clock = self.kernel.find('timers', timers.TimerService)
        myself = self.kernel.find('myself', own.Myself)
        self.reply(
            models.CountersPage(
                host=myself.record.host,
                at=clock.now(),
                totals=dict(counts.totals),
            )
        )


class RolloutPage(Page):
    """``GET /v1/rollout``."""

    def get(self) -> None:
        self.reply(rollout.page_of(self.kernel))


class TimelinePage(Page):
    """``GET /v1/timeline?request_id=&revision=``."""

    def get(self) -> None:
        events = self.kernel.find('timeline', timeline.Timeline)
        try:
            revision = int(self.get_query_argument('revision', '0'))
        except ValueError as error:
            raise web.HTTPError(400, reason='revision: number') from error
        chosen = events.select(
            request_id=self.get_query_argument('request_id', ''),
            revision=revision,
        )
        self.reply(
            models.TimelinePage(
                events=[
                    models.TimelineEvent(**dataclasses.asdict(one))
                    for one in chosen
                ]
            )
        )


class TargetPage(Page):
    """``PUT`` and ``DELETE /v1/targets/SERVICE``: a target's own word."""

    def put(self, service: str) -> None:
        try:
            heard = models.Announcement.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            place = '.'.join(str(part) for part in first['loc'])
            raise web.HTTPError(
                400, reason=f'announcement: {place}: {first["msg"]}'[:200]
            ) from error
        found = self.kernel.find('targets', local.LocalTargets)
        clock = self.kernel.find('timers', timers.TimerService)
        target = local.LocalTarget(
            service=service,
            name=heard.name,
            port=heard.port,
            slots=heard.slots,
            connections=heard.connections,
            state=members.TargetState[heard.state.upper()],
            good_until=clock.now() + found.ttl_s,
        )
        try:
            found.announce(target)
        except local.NameTaken as error:
            raise web.HTTPError(409, reason=error.message) from error
        self.finish({})

    def delete(self, service: str) -> None:
        """Forget the target of that ``name``, or all of the service."""
        found = self.kernel.find('targets', local.LocalTargets)
        name = self.get_query_argument('name', '')
        for target in found.of_service(service):
            if name in ('', target.name):
                found.withdraw(service, target.name, 'its own word')
        self.finish({})


def status_of(kernel: registry.Kernel) -> models.DaemonStatus:
    """Collect what a daemon says of itself."""
    myself = kernel.find('myself', own.Myself)
    replica = kernel.find('replica', replicas.Replica)
    ups = kernel.find('uplinks', uplinks.Uplinks)
    source = kernel.find('source', sources.Source)
    servicer = kernel.find('control', control.ControlServicer)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return models.DaemonStatus(
        host=replica.host,
        availability_zone=myself.record.availability_zone,
        stage=myself.stage.value,
        revision=replica.version.revision,
        write_id=replica.version.write_id,
        digest=replica.version.digest.hex(),
        relay=ups.place.relay,
        parent=[one.peer for one in ups.wanted.values()],
        children=servicer.children,
        store_reachable=source.reachable,
        resident_kib=resident_kib(),
        cpu_s=usage.ru_utime + usage.ru_stime,
        routes=[
            models.RouteStatus(
                service=name,
                endpoints=[f'{e.host}/{e.name}' for e in route.endpoints],
            )
            for name, route in sorted(replica.table.routes.items())
        ],
        members=[
            _member(one) for _, one in sorted(replica.fleet.records.items())
        ],
    )


def _member(record: members.MemberRecord) -> models.MemberStatus:
    return models.MemberStatus(
        host=record.host,
        availability_zone=record.availability_zone,
        status=record.status.name.lower(),
        incarnation=record.incarnation,
        targets=[
            f'{one.service}/{one.name} {one.state.name.lower()}'
            for one in record.targets
        ],
    )


def resident_kib() -> int:
    """Return the resident memory, from /proc, in KiB."""
    with open('/proc/self/statm') as pages:
        return int(pages.read().split()[1]) * PAGE_BYTES // 1024


@contextlib.asynccontextmanager
async def serving(
    kernel: registry.Kernel, address: str, port: int
) -> AsyncIterator[int]:
    """Serve the admin page and yield the port in use.

    :raises errors.PeridotError: the port is taken.
    """
    arguments = {'kernel': kernel}
    handlers = [
        (r'/v1/status', StatusPage, arguments),
        (r'/v1/counters', CountersPage, arguments),
        (r'/v1/rollout', RolloutPage, arguments),
        (r'/v1/timeline', TimelinePage, arguments),
        (r'/v1/targets/([a-z][a-z0-9-]{0,62})', TargetPage, arguments),
    ]
    server = httpserver.HTTPServer(web.Application(handlers))
    sockets = ports.bind(address, port, 'admin_port')
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
