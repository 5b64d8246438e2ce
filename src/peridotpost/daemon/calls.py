"""Installs the services for calls, and the admin API."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from peridotpost.admin import handlers
from peridotpost.border import settings as settings_border
from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import owner as owners
from peridotpost.calls import peer_server
from peridotpost.calls import peers
from peridotpost.calls import router as routers
from peridotpost.calls import schedule_keeper
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.membership import targets as local_targets
from peridotpost.store import etcd

EGRESS_ADDRESS = '127.0.0.1'


@dataclasses.dataclass(frozen=True, slots=True)
class HttpListener:
    """A port for HTTP requests of callers or of this host's targets."""

    name: str
    address: str
    port: int
    setting: str
    for_targets: bool


def _http_listeners(
    settings: settings_border.DaemonSettings,
) -> list[HttpListener]:
    listen = settings.listen
    for_targets = HttpListener(
        'egress', EGRESS_ADDRESS, listen.egress_port, 'egress_port', True
    )
    if not settings.ingress:
        return [for_targets]
    for_callers = HttpListener(
        'ingress', settings.address, listen.caller_port, 'caller_port', False
    )
    return [for_callers, for_targets]


@contextlib.asynccontextmanager
async def installed(kernel: registry.ServiceRegistry) -> AsyncIterator[None]:
    """Open the ports for calls and the admin API."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    async with contextlib.AsyncExitStack() as stack:
        guard = _add_guard(kernel, stack)
        streams = peers.PeerStreams(kernel.find('counters', counters.Counters))
        stack.push_async_callback(streams.close)
        router = _add_router(kernel, guard, streams)
        call_port = await _serve_peers(kernel, stack, router, streams)
        for listener in _http_listeners(settings):
            await _serve_requests(kernel, stack, router, listener)
        admin_port = await stack.enter_async_context(
            handlers.serving(
                kernel, settings.address, settings.listen.admin_port
            )
        )
        kernel.find('myself', myself.LocalMember).set_ports(
            call_port, admin_port
        )
        yield


def _add_guard(
    kernel: registry.ServiceRegistry, stack: contextlib.AsyncExitStack
) -> guards.Guard:
    settings = kernel.find('settings', settings_border.DaemonSettings)
    counts = kernel.find('counters', counters.Counters)
    targets = local_targets.LocalTargets(
        kernel.find('myself', myself.LocalMember),
        settings.timing.target_ttl_s,
        counts,
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
    kernel: registry.ServiceRegistry,
    guard: guards.Guard,
    streams: peers.PeerStreams,
) -> routers.Router:
    settings = kernel.find('settings', settings_border.DaemonSettings)
    router = routers.Router(
        kernel.find('replica', replicas.Replica),
        guard,
        streams,
        kernel.find('timers', timers.TimerService),
        kernel.find('timeline', timeline.Timeline),
        kernel.find('counters', counters.Counters),
        settings.availability_zone,
        kernel.find('randomness', random.Random),
    )
    kernel.register('router', router)
    return router


async def _serve_peers(
    kernel: registry.ServiceRegistry,
    stack: contextlib.AsyncExitStack,
    router: routers.Router,
    streams: peers.PeerStreams,
) -> int:
    settings = kernel.find('settings', settings_border.DaemonSettings)
    server = peer_server.PeerServer(
        router.guard, kernel.find('counters', counters.Counters)
    )
    router.keyed = server.owner = _add_owner(kernel, router, streams)
    return await stack.enter_async_context(
        peer_server.serving(
            server, settings.address, settings.listen.call_port
        )
    )


def _add_owner(
    kernel: registry.ServiceRegistry,
    router: routers.Router,
    streams: peers.PeerStreams,
) -> owners.Owner:
    """Register the key owner and the schedule of owners."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    counts = kernel.find('counters', counters.Counters)
    rng = kernel.find('randomness', random.Random)
    keeper = schedule_keeper.ScheduleKeeper(
        kernel.find('store', etcd.EtcdStore),
        settings.mesh,
        replica,
        kernel.find('timers', timers.TimerService),
        counts,
        round(settings.once.lead_s * schedule_keeper.MS_IN_S),
        streams,
        rng,
    )
    kernel.register('schedule', keeper)
    owner = owners.Owner(
        replica,
        settings.availability_zone,
        router.dispatch,
        streams,
        keeper,
        kernel.find('myself', myself.LocalMember),
        kernel.find('timeline', timeline.Timeline),
        counts,
        rng,
        ownership.ClockBound(
            round(settings.once.clock_bound_s * schedule_keeper.MS_IN_S)
        ),
    )
    kernel.register('owner', owner)
    return owner


async def _serve_requests(
    kernel: registry.ServiceRegistry,
    stack: contextlib.AsyncExitStack,
    router: routers.Router,
    listener: HttpListener,
) -> None:
    ingress = _create_ingress(kernel, router, for_targets=listener.for_targets)
    kernel.register(listener.name, ingress)
    await stack.enter_async_context(
        ingresses.serving(
            ingress,
            listener.address,
            listener.port,
            listener.setting,
        )
    )


def _create_ingress(
    kernel: registry.ServiceRegistry,
    router: routers.Router,
    *,
    for_targets: bool,
) -> ingresses.Ingress:
    return ingresses.Ingress(
        kernel.find('replica', replicas.Replica),
        router,
        kernel.find('myself', myself.LocalMember),
        kernel.find('targets', local_targets.LocalTargets),
        kernel.find('timeline', timeline.Timeline),
        kernel.find('counters', counters.Counters),
        kernel.find('randomness', random.Random),
        for_targets=for_targets,
    )
