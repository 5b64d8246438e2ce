"""Puts the drawn faults into a running fleet, and heals them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import functools
import signal
import time

from testing import proxies
from testing.soak import callers
from testing.soak import hosts
from testing.soak import plan
from testing.soak import records
from testing.standins import kv as kv_standin

HOST_RECORDS = 'peridotpost/hosts/'
RESTART_S = 1.0
"""From a start until the process answers; it counts as disrupted so long."""


class World:
    """What faults act on."""

    def __init__(
        self,
        fleet: dict[str, hosts.Host],
        kv: kv_standin.Kv,
        seen: records.Records,
        newest: callers.Newest,
    ) -> None:
        self.fleet = fleet
        self.kv = kv
        self.seen = seen
        self.newest = newest
        self.configuring = asyncio.Lock()
        self.busy: dict[str, asyncio.Lock] = {}

    def only_one(self, process: str) -> asyncio.Lock:
        """Return the lock under which a process is ended and started."""
        return self.busy.setdefault(process, asyncio.Lock())

    async def configure(self) -> None:
        """Put the next version into the store."""
        async with self.configuring:
            version = self.newest.version + 1
            text = proxies.config(version)
            first = max(1, version - records.KEPT_ROUTES + 1)
            text['routes'] += [
                proxies.route(f'v{one}', f'/v{one}/', 'safe', 2, 'register')
                for one in range(first, version + 1)
            ]
            await self.kv.configure(text)
            self.newest.version = version
            self.seen.versions[version] = time.monotonic()

    @contextlib.asynccontextmanager
    async def disrupting(
        self, host: str, what: str, planned: bool = False
    ) -> AsyncIterator[None]:
        """Note a disruption from entry to exit."""
        start = time.monotonic()
        try:
            yield
        finally:
            self.seen.disruptions.append(
                records.Disruption(
                    start, time.monotonic(), host, what, planned
                )
            )


async def _paused(
    send: Callable[[signal.Signals], None], seconds: float
) -> None:
    """Have a process stand still."""
    send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    send(signal.SIGCONT)


@functools.singledispatch
async def inject(fault: plan.Fault, world: World) -> None:
    """Put one fault in, wait, heal it."""
    raise NotImplementedError(type(fault))


@inject.register
async def _(fault: plan.LinkFault, world: World) -> None:
    link = world.fleet[fault.host].links[fault.link]
    what = f'{fault.link} {fault.how}'
    async with world.disrupting(fault.host, what):
        match fault.how:
            case 'reset':
                link.reset()
            case 'silence':
                link.silence()
            case 'refuse':
                link.refuse = True
                link.reset()
            case 'delay':
                link.delay_s = fault.delay_s
            case 'cut-up':
                link.open_up.clear()
            case 'cut-down':
                link.open_down.clear()
        await asyncio.sleep(fault.lasts_s)
        link.refuse = False
        link.delay_s = 0.0
        link.open_up.set()
        link.open_down.set()


@inject.register
async def _(fault: plan.DaemonFault, world: World) -> None:
    host = world.fleet[fault.host]
    async with world.only_one(f'{fault.host} daemon'):
        if fault.how == 'reload':
            async with world.disrupting(fault.host, 'reload', planned=True):
                host.signal_daemon(signal.SIGHUP)
            return
        planned = fault.how == 'stop'
        async with world.disrupting(fault.host, fault.how, planned):
            if fault.how == 'pause':
                await _paused(host.signal_daemon, fault.lasts_s)
                return
            how = signal.SIGTERM if planned else signal.SIGKILL
            await host.end_daemon(how)
            await asyncio.sleep(fault.lasts_s)
            await host.start_daemon(fault.clock_s)
            await asyncio.sleep(RESTART_S)


@inject.register
async def _(fault: plan.TargetFault, world: World) -> None:
    host = world.fleet[fault.host]
    async with world.only_one(f'{fault.host} target'):
        async with world.disrupting(fault.host, f'target {fault.how}'):
            if fault.how == 'pause':
                await _paused(host.signal_target, fault.lasts_s)
                return
            drains = fault.how == 'drain'
            how = signal.SIGTERM if drains else signal.SIGKILL
            await host.end_target(how)
            await asyncio.sleep(fault.lasts_s)
            await host.start_target(fault.same_id)
            await asyncio.sleep(RESTART_S)


@inject.register
async def _(fault: plan.StoreFault, world: World) -> None:
    kv = world.kv
    async with (
        world.only_one('store'),
        world.disrupting('', f'store {fault.how}'),
    ):
        match fault.how:
            case 'fail':
                kv.status = 503
            case 'hang':
                kv.hang = True
            case 'lose-answers':
                kv.lose_answers = True
            case 'compact':
                await kv.compact()
            case 'lapse':
                for lease in sorted(kv.leases):
                    await kv.end_lease(lease)
        await asyncio.sleep(fault.lasts_s)
        kv.status = 0
        kv.hang = False
        kv.lose_answers = False


@inject.register
async def _(fault: plan.ConfigChange, world: World) -> None:
    await world.configure()


@inject.register
async def _(fault: plan.PowerLoss, world: World) -> None:
    async with contextlib.AsyncExitStack() as stack:
        for name in sorted(world.fleet):
            # Both in one order for all, so that two losses do not wait for
            # each other.
            for process in ('daemon', 'target'):
                await stack.enter_async_context(
                    world.only_one(f'{name} {process}')
                )
            await stack.enter_async_context(
                world.disrupting(name, 'target and daemon lost power')
            )
        hosts = world.fleet.values()
        await asyncio.gather(
            *(one.end_daemon(signal.SIGKILL) for one in hosts),
            *(one.end_target(signal.SIGKILL) for one in hosts),
        )
        await asyncio.sleep(fault.lasts_s)
        late = [world.fleet[name] for name in fault.stay_away]
        for host in hosts:
            if host not in late:
                await _start(host)
        await asyncio.sleep(plan.AWAY_S)
        for host in late:
            await _start(host)
        await asyncio.sleep(RESTART_S)


async def _start(host: hosts.Host) -> None:
    await host.start_daemon()
    await host.start_target(same_id=False)


@inject.register
async def _(fault: plan.TurnedAway, world: World) -> None:
    kv = world.kv
    async with contextlib.AsyncExitStack() as stack:
        for name in fault.hosts:
            await stack.enter_async_context(
                world.disrupting(name, 'store refuses this host')
            )
            link = world.fleet[name].links['store']
            link.refuse = True
            link.reset()
            record = kv.items.get(f'{HOST_RECORDS}{name}')
            if record is not None:
                await kv.end_lease(record.lease)
        await asyncio.sleep(fault.lasts_s)
        for name in fault.hosts:
            world.fleet[name].links['store'].refuse = False


@inject.register
async def _(fault: plan.Shedding, world: World) -> None:
    for name in fault.hosts:
        world.fleet[name].signal_target(signal.SIGUSR1)
    await asyncio.sleep(fault.lasts_s)
    for name in fault.hosts:
        world.fleet[name].signal_target(signal.SIGUSR2)


@inject.register
async def _(fault: plan.ScaleIn, world: World) -> None:
    host = world.fleet[fault.host]
    async with world.only_one(f'{fault.host} target'):
        async with world.disrupting(fault.host, 'target leaves for good'):
            host.retired = True
            await host.end_target(signal.SIGTERM)


@inject.register
async def _(fault: plan.RetryAbuse, world: World) -> None:
    world.newest.abused = True
    await asyncio.sleep(fault.lasts_s)
    world.newest.abused = False
