"""The parts that carry calls, and the admin page."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from peridotpost.admin import pages
from peridotpost.border import settings as settings_border
from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import owner as owners
from peridotpost.calls import peer_server
from peridotpost.calls import peers
from peridotpost.calls import router as routers
from peridotpost.calls import views
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.store import etcd

EGRESS_ADDRESS = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class Entrance:
    """A port for HTTP requests: of callers, or of this host's targets."""

    name: str
    address: str
    port: int
    setting: str
    for_targets: bool


def _entrances(given: settings_border.DaemonSettings) -> list[Entrance]:
    listen = given.listen
    for_targets = Entrance(
        'egress', EGRESS_ADDRESS, listen.egress_port, 'egress_port', True
    )
    if not given.ingress:
        return [for_targets]
    for_callers = Entrance(
        'ingress', given.address, listen.caller_port, 'caller_port', False
    )
    return [for_callers, for_targets]


@contextlib.asynccontextmanager
async def installed(kernel: registry.Kernel) -> AsyncIterator[None]:
    """Open the ports for calls and the admin page."""
    given = kernel.find('settings', settings_border.DaemonSettings)
    async with contextlib.AsyncExitStack() as stack:
        guard = _add_guard(kernel, stack)
        streams = peers.PeerStreams(kernel.find('counters', counters.Counters))
        stack.push_async_callback(streams.close)
        router = _add_router(kernel, guard, streams)
        call_port = await _serve_peers(kernel, stack, router, streams)
        for entrance in _entrances(given):
            await _serve_requests(kernel, stack, router, entrance)
        admin_port = await stack.enter_async_context(
            pages.serving(kernel, given.address, given.listen.admin_port)
        )
        kernel.find('myself', own.Myself).set_ports(call_port, admin_port)
        yield


def _add_guard(
    kernel: registry.Kernel, stack: contextlib.AsyncExitStack
) -> guards.Guard:
    given = kernel.find('settings', settings_border.DaemonSettings)
    counts = kernel.find('counters', counters.Counters)
    targets = local.LocalTargets(
        kernel.find('myself', own.Myself), given.timing.target_ttl_s, counts
    )
    kernel.register('targets', targets)
    pool = connections.ConnectionPool(counts)
    stack.callback(pool.close)
    guard = guards.Guard(
        kernel.find('replica', replicas.Replica),
        targets,
        pool,
        kernel.find('timers', timers.TimerService),
        kernel.find('timeline', timeline.Timeline),
        counts,
    )
    kernel.register('guard', guard)
    return guard


def _add_router(
    kernel: registry.Kernel, guard: guards.Guard, streams: peers.PeerStreams
) -> routers.Router:
    given = kernel.find('settings', settings_border.DaemonSettings)
    router = routers.Router(
        kernel.find('replica', replicas.Replica),
        guard,
        streams,
        kernel.find('timers', timers.TimerService),
        kernel.find('timeline', timeline.Timeline),
        kernel.find('counters', counters.Counters),
        given.availability_zone,
        kernel.find('randomness', random.Random),
    )
    kernel.register('router', router)
    return router


async def _serve_peers(
    kernel: registry.Kernel,
    stack: contextlib.AsyncExitStack,
    router: routers.Router,
    streams: peers.PeerStreams,
) -> int:
    given = kernel.find('settings', settings_border.DaemonSettings)
    server = peer_server.PeerServer(
        router.guard, kernel.find('counters', counters.Counters)
    )
    router.keyed = server.owner = _add_owner(kernel, router, streams)
    return await stack.enter_async_context(
        peer_server.serving(server, given.address, given.listen.call_port)
    )


def _add_owner(
    kernel: registry.Kernel,
    router: routers.Router,
    streams: peers.PeerStreams,
) -> owners.Owner:
    """Register the owner of keys and the keeper of the owners' schedule."""
    given = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    counts = kernel.find('counters', counters.Counters)
    randomness = kernel.find('randomness', random.Random)
    keeper = views.ScheduleKeeper(
        kernel.find('store', etcd.EtcdStore),
        given.mesh,
        replica,
        kernel.find('timers', timers.TimerService),
        counts,
        round(given.once.lead_s * views.MS_IN_S),
        streams,
        randomness,
    )
    kernel.register('schedule', keeper)
    owner = owners.Owner(
        replica,
        given.availability_zone,
        router.carry,
        streams,
        keeper,
        kernel.find('myself', own.Myself),
        kernel.find('timeline', timeline.Timeline),
        counts,
        randomness,
        ownership.ClockBound(round(given.once.clock_bound_s * views.MS_IN_S)),
    )
    kernel.register('owner', owner)
    return owner


async def _serve_requests(
    kernel: registry.Kernel,
    stack: contextlib.AsyncExitStack,
    router: routers.Router,
    entrance: Entrance,
) -> None:
    ingress = _ingress(kernel, router, for_targets=entrance.for_targets)
    kernel.register(entrance.name, ingress)
    await stack.enter_async_context(
        ingresses.serving(
            ingress, entrance.address, entrance.port, entrance.setting
        )
    )


def _ingress(
    kernel: registry.Kernel, router: routers.Router, *, for_targets: bool
) -> ingresses.Ingress:
    return ingresses.Ingress(
        kernel.find('replica', replicas.Replica),
        router,
        kernel.find('myself', own.Myself),
        kernel.find('targets', local.LocalTargets),
        kernel.find('timeline', timeline.Timeline),
        kernel.find('counters', counters.Counters),
        kernel.find('randomness', random.Random),
        for_targets=for_targets,
    )
