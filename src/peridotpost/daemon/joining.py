"""How a fresh daemon becomes a member: first facts, others, timers."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random

import result

from peridotpost.border import settings as settings_border
from peridotpost.calls import views
from peridotpost.daemon import meeting
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import source as sources
from peridotpost.distribution import uplinks
from peridotpost.kernel import logs
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.membership import targets as local
from peridotpost.model import config
from peridotpost.model import members

RECONCILE_JITTER = 0.5
FORGET_PERIOD_S = 60.0


@contextlib.asynccontextmanager
async def joined(kernel: registry.Kernel) -> AsyncIterator[None]:
    """Join the fleet; ready once the body runs."""
    _hang_on_hooks(kernel)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            sources.following(kernel.find('source', sources.Source))
        )
        await _first_facts(kernel)
        await stack.enter_async_context(
            uplinks.holding(kernel.find('uplinks', uplinks.Uplinks))
        )
        met = meeting.Meeting(kernel)
        _subscribe_timers(kernel, met)
        await met.meet_others()
        await _follow_schedule(kernel)
        myself = kernel.find('myself', own.Myself)
        myself.stage = own.Stage.READY
        logs.state_changed(
            'stage',
            host=myself.record.host,
            to='ready',
            incarnation=myself.record.incarnation,
        )
        yield


def _hang_on_hooks(kernel: registry.Kernel) -> None:
    """Let each part hear what it has to of the others."""
    given = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    myself = kernel.find('myself', own.Myself)
    prober = kernel.find('prober', probing.Prober)
    targets = kernel.find('targets', local.LocalTargets)
    reconciler = kernel.find('reconciler', reconcile.Reconciler)

    def own_record_changed(record: members.MemberRecord) -> None:
        replica.offer_member(record, '')
        if not replica.interest.everything:
            replica.set_interest(
                config.Interest(
                    ingress=given.ingress, hosted=targets.services()
                )
            )

    def fact_changed(change: replicas.FactChange) -> None:
        if change.member is None:
            return
        prober.observe(change.member)
        if change.member.host == given.host and change.source:
            myself.refute(change.member)

    def thawed() -> None:
        # After an own pause, learn at once what was missed.
        asyncio.ensure_future(reconciler.tick())

    replica.offer_member(myself.record, '')
    myself.changed.subscribe(own_record_changed)
    replica.changed.subscribe(fact_changed)
    prober.paused.append(thawed)


async def _first_facts(kernel: registry.Kernel) -> None:
    """Take the highest version of the store and several peers.

    A daemon that returns while the store is out would otherwise serve
    nothing, or what one stale peer still holds.
    """
    given = kernel.find('settings', settings_border.DaemonSettings)
    randomness = kernel.find('randomness', random.Random)
    source = kernel.find('source', sources.Source)
    ups = kernel.find('uplinks', uplinks.Uplinks)
    keeper = kernel.find('seeds', seeds.SeedKeeper)
    mine = kernel.find('myself', own.Myself).record.control_address
    start = seed_rules.StartPacing(randomness, given.timing.start_spread_s)
    await asyncio.sleep(start.first_delay())
    while True:
        found = await keeper.find(given.availability_zone, randomness)
        read = False
        addresses = list(given.peers)
        randomness.shuffle(addresses)
        if isinstance(found, result.Ok):
            read = await source.read_once()
            addresses += [one.control_address for one in found.ok_value]
        elif not start.failures:
            logs.state_changed(
                'start', to='waiting-for-store', error=str(found.err_value)
            )
        addresses = [one for one in addresses if one != mine]
        ups.bootstrap = tuple(addresses)
        if await _ask_peers(kernel, read, addresses):
            return
        await asyncio.sleep(start.next_delay())


async def _ask_peers(
    kernel: registry.Kernel, store_read: bool, addresses: list[str]
) -> bool:
    """Ask a few peers at a time until enough of them hold a version."""
    reconciler = kernel.find('reconciler', reconcile.Reconciler)
    step = version_rules.FIRST_READ_PEERS
    holding = 0
    for start in range(0, max(1, len(addresses)), step):
        group = addresses[start : start + step]
        answers = await asyncio.gather(*map(reconciler.ask, group))
        holding += sum(bool(revision) for revision in answers)
        asked = start + len(group)
        if version_rules.heard_enough(
            store_read, holding, asked, len(addresses)
        ):
            return True
    return False


def _subscribe_timers(kernel: registry.Kernel, met: meeting.Meeting) -> None:
    timing = kernel.find('settings', settings_border.DaemonSettings).timing
    clock = kernel.find('timers', timers.TimerService)
    replica = kernel.find('replica', replicas.Replica)
    targets = kernel.find('targets', local.LocalTargets)
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
    clock.subscribe('seeds', timing.seed_period_s, met.keep_seed)
    clock.subscribe(
        'target-expiry',
        timing.target_ttl_s / local.EXPIRY_CHECKS,
        expire_targets,
    )
    clock.subscribe('forget', FORGET_PERIOD_S, forget_departed)


async def _follow_schedule(kernel: registry.Kernel) -> None:
    """Hold the owners' schedule before the first call is taken."""
    keeper = kernel.find('schedule', views.ScheduleKeeper)
    await keeper.tick()
    clock = kernel.find('timers', timers.TimerService)
    clock.subscribe('schedule', views.TICK_S, keeper.tick)
