"""Joining the fleet: initial state, discovery of members, timers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

import result

from peridotpost.border import settings as settings_border
from peridotpost.calls import schedule_keeper
from peridotpost.daemon import discovery
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import storewatcher as sources
from peridotpost.distribution import uplinks
from peridotpost.kernel import logs
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.membership import targets as local_targets
from peridotpost.model import config
from peridotpost.model import members

RECONCILE_JITTER = 0.5
"""Fraction of the period by which the interval of reconciliations varies."""
FORGET_INTERVAL_S = 60.0


@contextlib.asynccontextmanager
async def joined(kernel: registry.ServiceRegistry) -> AsyncIterator[None]:
    """Join the fleet; the daemon is ready when the body runs."""
    _subscribe_listeners(kernel)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            sources.following(kernel.find('source', sources.StoreWatcher))
        )
        # A change may schedule a plan before the uplinks run, and a stop
        # during the start must not leave it.
        uplink_manager = kernel.find('uplinks', uplinks.UplinkManager)
        stack.callback(uplink_manager.close)
        await _read_initial_state(kernel)
        await stack.enter_async_context(uplinks.running(uplink_manager))
        member_discovery = discovery.MemberDiscovery(kernel)
        _subscribe_timers(kernel, member_discovery)
        await member_discovery.discover_members()
        await _follow_schedule(kernel)
        local_member = kernel.find('myself', myself.LocalMember)
        local_member.stage = myself.Stage.READY
        logs.state_changed(
            'stage',
            host=local_member.record.host,
            to='ready',
            incarnation=local_member.record.incarnation,
        )
        yield


def _subscribe_listeners(kernel: registry.ServiceRegistry) -> None:
    """Subscribe the services to each other's changes."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    local_member = kernel.find('myself', myself.LocalMember)
    prober = kernel.find('prober', probing.Prober)
    targets = kernel.find('targets', local_targets.LocalTargets)
    reconciler = kernel.find('reconciler', reconcile.Reconciler)

    def on_own_record_changed(record: members.MemberRecord) -> None:
        replica.offer_member(record, '')
        if not replica.interest.everything:
            replica.set_interest(
                config.Interest(
                    ingress=settings.ingress, hosted=targets.services()
                )
            )

    def on_fact_changed(change: replicas.FactChange) -> None:
        if change.member is None:
            return
        prober.observe(change.member)
        if change.member.host == settings.host and change.source:
            local_member.refute(change.member)

    def reconcile_after_pause() -> None:
        # Fetch at once what was missed while this process was paused.
        asyncio.ensure_future(reconciler.tick())

    replica.offer_member(local_member.record, '')
    local_member.changed.subscribe(on_own_record_changed)
    replica.changed.subscribe(on_fact_changed)
    prober.pause_listeners.append(reconcile_after_pause)


async def _read_initial_state(kernel: registry.ServiceRegistry) -> None:
    """Adopt the highest version found in the store and on several peers.

    A daemon that restarts during an outage of the store would otherwise
    serve nothing, or the outdated version of a single peer.
    """
    settings = kernel.find('settings', settings_border.DaemonSettings)
    rng = kernel.find('randomness', random.Random)
    store_watcher = kernel.find('source', sources.StoreWatcher)
    uplink_manager = kernel.find('uplinks', uplinks.UplinkManager)
    seed_keeper = kernel.find('seeds', seeds.SeedKeeper)
    own_address = kernel.find(
        'myself', myself.LocalMember
    ).record.control_address
    pacing = seed_rules.StartPacing(rng, settings.timing.start_spread_s)
    await asyncio.sleep(pacing.first_delay())
    while True:
        stored_seeds = await seed_keeper.find(settings.availability_zone, rng)
        store_read = False
        addresses = list(settings.peers)
        rng.shuffle(addresses)
        if isinstance(stored_seeds, result.Ok):
            store_read = await store_watcher.read_once()
            addresses += [
                seed.control_address for seed in stored_seeds.ok_value
            ]
        elif not pacing.failures:
            logs.state_changed(
                'start',
                to='waiting-for-store',
                error=str(stored_seeds.err_value),
            )
        addresses = [
            address for address in addresses if address != own_address
        ]
        uplink_manager.bootstrap = tuple(addresses)
        if await _ask_peers(kernel, store_read, addresses):
            return
        await asyncio.sleep(pacing.next_delay())


async def _ask_peers(
    kernel: registry.ServiceRegistry, store_read: bool, addresses: list[str]
) -> bool:
    """Ask peers in small groups; return whether enough have a version."""
    reconciler = kernel.find('reconciler', reconcile.Reconciler)
    group_size = version_rules.MIN_STARTUP_PEERS
    with_version = 0
    for start in range(0, max(1, len(addresses)), group_size):
        group = addresses[start : start + group_size]
        revisions = await asyncio.gather(*map(reconciler.fetch_facts, group))
        with_version += sum(bool(revision) for revision in revisions)
        asked = start + len(group)
        if version_rules.heard_from_enough_peers(
            store_read, with_version, asked, len(addresses)
        ):
            return True
    return False


def _subscribe_timers(
    kernel: registry.ServiceRegistry,
    member_discovery: discovery.MemberDiscovery,
) -> None:
    timing = kernel.find('settings', settings_border.DaemonSettings).timing
    clock = kernel.find('timers', timers.TimerService)
    replica = kernel.find('replica', replicas.Replica)
    targets = kernel.find('targets', local_targets.LocalTargets)
    prober = kernel.find('prober', probing.Prober)
    reconciler = kernel.find('reconciler', reconcile.Reconciler)

    def expire_targets() -> None:
        targets.expire(clock.now())

    def forget_departed() -> None:
        replica.fleet.forget(clock.now())

    clock.subscribe('probe', timing.probe_period_s, prober.tick)
    clock.subscribe(
        'reconcile',
        timing.reconcile_period_s,
        reconciler.tick,
        RECONCILE_JITTER,
    )
    clock.subscribe(
        'seeds', timing.seed_period_s, member_discovery.maintain_seed
    )
    clock.subscribe(
        'target-expiry',
        timing.target_ttl_s / local_targets.EXPIRY_CHECKS_PER_TTL,
        expire_targets,
    )
    clock.subscribe('forget', FORGET_INTERVAL_S, forget_departed)


async def _follow_schedule(kernel: registry.ServiceRegistry) -> None:
    """Load the schedule of key owners before the first call is accepted."""
    keeper = kernel.find('schedule', schedule_keeper.ScheduleKeeper)
    await keeper.tick()
    clock = kernel.find('timers', timers.TimerService)
    clock.subscribe('schedule', schedule_keeper.TICK_S, keeper.tick)
