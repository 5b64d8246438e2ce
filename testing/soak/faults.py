"""Injects the generated faults into a running fleet and reverts them."""

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
from testing.soak import large_bodies
from testing.soak import plan
from testing.soak import records
from testing.soak import worker_program
from testing.standins import kv as kv_standin

HOST_RECORD_PREFIX = 'peridotpost/hosts/'
STARTUP_S = 1.0
"""Startup time of a process, during which it counts as disrupted."""


class Environment:
    """The fleet, store and shared state that faults act on."""

    def __init__(
        self,
        fleet: dict[str, hosts.Host],
        kv: kv_standin.KvStore,
        observed: records.Records,
        shared: callers.SharedState,
    ) -> None:
        self.fleet = fleet
        self.kv = kv
        self.observed = observed
        self.shared = shared
        self.config_lock = asyncio.Lock()
        self.process_locks: dict[str, asyncio.Lock] = {}

    def process_lock(self, process: str) -> asyncio.Lock:
        """Return the lock that serializes stops and starts of a process."""
        return self.process_locks.setdefault(process, asyncio.Lock())

    async def publish_next_version(self) -> None:
        """Write the next configuration version to the store."""
        async with self.config_lock:
            version = self.shared.version + 1
            text = proxies.config(version)
            if self.shared.large_bodies:
                text['limits']['maxBodyBytes'] = large_bodies.MAX_BODY_BYTES
            first = max(1, version - records.KEPT_VERSIONED_ROUTES + 1)
            text['routes'] += [
                proxies.route(f'v{one}', f'/v{one}/', 'safe', 2, 'register')
                for one in range(first, version + 1)
            ]
            fleet_customers = self.shared.customers
            if fleet_customers is not None:
                anonymous = proxies.route(
                    'open', '/open/', 'safe', 2, 'register'
                )
                text['routes'].append(anonymous | {'anonymous': True})
                text['tenants'] = fleet_customers.tenants()
            started = time.monotonic()
            await self.kv.configure(text)
            if fleet_customers is not None:
                fleet_customers.record_version(started, time.monotonic())
            self.shared.version = version
            self.observed.versions[version] = time.monotonic()

    @contextlib.asynccontextmanager
    async def recording_disruption(
        self, host: str, what: str, planned: bool = False
    ) -> AsyncIterator[None]:
        """Record a disruption that lasts from entry to exit."""
        start = time.monotonic()
        try:
            yield
        finally:
            self.observed.disruptions.append(
                records.Disruption(
                    start, time.monotonic(), host, what, planned
                )
            )


async def _pause(
    send: Callable[[signal.Signals], None], seconds: float
) -> None:
    """Suspend a process with SIGSTOP for some time."""
    send(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    send(signal.SIGCONT)


@functools.singledispatch
async def inject(fault: plan.Fault, env: Environment) -> None:
    """Inject a fault, wait until it expires, and revert it."""
    raise NotImplementedError(type(fault))


@inject.register
async def _(fault: plan.LinkFault, env: Environment) -> None:
    link = env.fleet[fault.host].links[fault.link]
    what = f'{fault.link} {fault.how}'
    async with env.recording_disruption(fault.host, what):
        match fault.how:
            case 'reset':
                link.reset()
            case 'silence':
                link.blackhole()
            case 'refuse':
                link.reset_new_connections = True
                link.reset()
            case 'delay':
                link.delay_s = fault.delay_s
            case 'cut-up':
                link.to_upstream_open.clear()
            case 'cut-down':
                link.to_client_open.clear()
        await asyncio.sleep(fault.lasts_s)
        link.reset_new_connections = False
        link.delay_s = 0.0
        link.to_upstream_open.set()
        link.to_client_open.set()


@inject.register
async def _(fault: plan.DaemonFault, env: Environment) -> None:
    host = env.fleet[fault.host]
    async with env.process_lock(f'{fault.host} daemon'):
        if fault.how == 'reload':
            async with env.recording_disruption(
                fault.host, 'reload', planned=True
            ):
                host.signal_daemon(signal.SIGHUP)
            return
        planned = fault.how == 'stop'
        async with env.recording_disruption(fault.host, fault.how, planned):
            if fault.how == 'pause':
                await _pause(host.signal_daemon, fault.lasts_s)
                return
            signal_number = signal.SIGTERM if planned else signal.SIGKILL
            await host.stop_daemon(signal_number)
            await asyncio.sleep(fault.lasts_s)
            await host.start_daemon(fault.clock_s)
            await asyncio.sleep(STARTUP_S)


@inject.register
async def _(fault: plan.TargetFault, env: Environment) -> None:
    host = env.fleet[fault.host]
    async with env.process_lock(f'{fault.host} target'):
        async with env.recording_disruption(fault.host, f'target {fault.how}'):
            if fault.how == 'pause':
                await _pause(host.signal_target, fault.lasts_s)
                return
            graceful = fault.how == 'drain'
            signal_number = signal.SIGTERM if graceful else signal.SIGKILL
            await host.stop_target(signal_number)
            await asyncio.sleep(fault.lasts_s)
            await host.start_target(fault.same_id)
            await asyncio.sleep(STARTUP_S)


@inject.register
async def _(fault: plan.StoreFault, env: Environment) -> None:
    kv = env.kv
    async with (
        env.process_lock('store'),
        env.recording_disruption('', f'store {fault.how}'),
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
async def _(fault: plan.ConfigChange, env: Environment) -> None:
    await env.publish_next_version()


@inject.register
async def _(fault: plan.CustomerChange, env: Environment) -> None:
    assert env.shared.customers is not None
    env.shared.customers.change(fault.customer, fault.how)
    await env.publish_next_version()


@inject.register
async def _(fault: plan.PowerLoss, env: Environment) -> None:
    async with contextlib.AsyncExitStack() as stack:
        for name in sorted(env.fleet):
            # Locks are taken in a fixed order, so that overlapping power
            # losses can't deadlock.
            for process in ('daemon', 'target'):
                await stack.enter_async_context(
                    env.process_lock(f'{name} {process}')
                )
            await stack.enter_async_context(
                env.recording_disruption(name, 'target and daemon lost power')
            )
        hosts = env.fleet.values()
        await asyncio.gather(
            *(one.stop_daemon(signal.SIGKILL) for one in hosts),
            *(one.stop_target(signal.SIGKILL) for one in hosts),
        )
        await asyncio.sleep(fault.lasts_s)
        delayed = [env.fleet[name] for name in fault.stay_away]
        for host in hosts:
            if host not in delayed:
                await _start_both(host)
        await asyncio.sleep(plan.LATE_START_S)
        for host in delayed:
            await _start_both(host)
        await asyncio.sleep(STARTUP_S)


async def _start_both(host: hosts.Host) -> None:
    await host.start_daemon()
    await host.start_target(same_id=False)


@inject.register
async def _(fault: plan.TurnedAway, env: Environment) -> None:
    kv = env.kv
    async with contextlib.AsyncExitStack() as stack:
        for name in fault.hosts:
            await stack.enter_async_context(
                env.recording_disruption(name, 'store rejects this host')
            )
            link = env.fleet[name].links['store']
            link.reset_new_connections = True
            link.reset()
            record = kv.items.get(f'{HOST_RECORD_PREFIX}{name}')
            if record is not None:
                await kv.end_lease(record.lease)
        await asyncio.sleep(fault.lasts_s)
        for name in fault.hosts:
            env.fleet[name].links['store'].reset_new_connections = False


@inject.register
async def _(fault: plan.Shedding, env: Environment) -> None:
    for name in fault.hosts:
        env.fleet[name].signal_target(signal.SIGUSR1)
    await asyncio.sleep(fault.lasts_s)
    for name in fault.hosts:
        env.fleet[name].signal_target(signal.SIGUSR2)


@inject.register
async def _(fault: plan.Limiting, env: Environment) -> None:
    host = env.fleet[fault.host]
    signals = {
        limit: number
        for number, limit in worker_program.LIMIT_BY_SIGNAL.items()
    }
    host.signal_target(signals[fault.limit])
    await asyncio.sleep(fault.lasts_s)
    host.signal_target(signals[''])


@inject.register
async def _(fault: plan.ScaleIn, env: Environment) -> None:
    host = env.fleet[fault.host]
    async with env.process_lock(f'{fault.host} target'):
        async with env.recording_disruption(
            fault.host, 'target removed for good'
        ):
            host.target_removed = True
            await host.stop_target(signal.SIGTERM)


@inject.register
async def _(fault: plan.RetryAbuse, env: Environment) -> None:
    env.shared.retry_abuse = True
    await asyncio.sleep(fault.lasts_s)
    env.shared.retry_abuse = False
