"""Puts the parts of ``peridotd`` together under the micro-kernel."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import random
import time

import result

from peridotpost.admin import pages
from peridotpost.border import settings as settings_border
from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import owner as owners
from peridotpost.calls import peers
from peridotpost.calls import router as routers
from peridotpost.calls import views
from peridotpost.decisions import ownership
from peridotpost.decisions import pacing
from peridotpost.decisions import seeds as seed_rules
from peridotpost.decisions import versions as version_rules
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server as control
from peridotpost.distribution import source as sources
from peridotpost.distribution import uplinks
from peridotpost.distribution import wire
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.kernel import registry
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.membership import targets as local
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.platform import etcd

MEETING_ATTEMPTS = 5
LEAVE_SPREAD_S = 0.5
"""Time in which the fleet hears that this daemon leaves, before it stops
taking the work of those who had not heard."""


class ReplicaMembers:
    """Shows the replica to the prober."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def record_of(self, host: str) -> members.MemberRecord | None:
        return self.replica.fleet.records.get(host)

    def live(self) -> list[members.MemberRecord]:
        return list(self.replica.fleet.live())

    def offer(self, record: members.MemberRecord) -> None:
        self.replica.offer_member(record, 'probe')


class Daemon:
    """One ``peridotd``; its services are in ``kernel``."""

    def __init__(
        self, settings: settings_border.DaemonSettings, seed: int | None = None
    ) -> None:
        self.settings = settings
        self.randomness = random.Random(seed)
        self.kernel = registry.Kernel()
        self.incarnation = time.time_ns() // 1_000_000
        self.renewals = 0

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator['Daemon']:
        """Start everything, serve, and stop in the opposite order."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start_base(stack)
            await self._start_control(stack)
            await self._start_calls(stack)
            await self._join(stack)
            yield self

    async def _start_base(self, stack: contextlib.AsyncExitStack) -> None:
        given = self.settings
        kernel = self.kernel
        counts = counters.Counters()
        clock = stack.enter_context(timers.timer_service(self.randomness))
        events = timeline.Timeline(given.host, clock.wall)
        kernel.register('counters', counts)
        kernel.register('timers', clock)
        kernel.register('timeline', events)
        if given.statsd is not None:
            export = stack.enter_context(
                counters.statsd_export(
                    counts,
                    given.statsd.address,
                    given.statsd.port,
                    f'peridotd.{given.host}',
                )
            )
            clock.subscribe('statsd', 1.0, export.flush)
        store = stack.enter_context(
            etcd.etcd_store(
                given.store.endpoints,
                given.store.timeout_s,
                given.timing.watch_timeout_s,
                counts,
            )
        )
        kernel.register('store', store)
        replica = replicas.Replica(
            given.host,
            config.Interest(ingress=given.ingress),
            clock,
            events,
            counts,
        )
        kernel.register('replica', replica)

    async def _start_control(self, stack: contextlib.AsyncExitStack) -> None:
        given = self.settings
        kernel = self.kernel
        replica = kernel.find('replica', replicas.Replica)
        counts = kernel.find('counters', counters.Counters)
        clock = kernel.find('timers', timers.TimerService)
        zone = given.availability_zone
        table = links.LinkTable(replica, self.incarnation, zone)
        kernel.register('links', table)
        servicer = control.ControlServicer(replica, table, counts)
        kernel.register('control', servicer)
        control_port = await stack.enter_async_context(
            control.serving(servicer, given.address, given.listen.control_port)
        )
        prober = probing.Prober(
            given.host,
            zone,
            ReplicaMembers(replica),
            clock,
            counts,
            self.randomness,
            given.timing.probe_period_s,
            given.timing.probe_timeout_s,
            given.timing.suspicion_s,
        )
        prober.encode = wire.member_to_wire
        prober.decode = wire.member_from_wire
        kernel.register('prober', prober)
        probe_port = await stack.enter_async_context(
            probing.listening(prober, given.address, given.listen.probe_port)
        )
        record = members.MemberRecord(
            host=given.host,
            availability_zone=zone,
            incarnation=self.incarnation,
            status=members.Status.ALIVE,
            sequence=1,
            address=given.address,
            control_port=control_port,
            probe_port=probe_port,
            call_port=0,
            admin_port=0,
        )
        kernel.register('myself', own.Myself(record))
        ups = uplinks.Uplinks(replica, table, counts, zone, self.randomness)
        ups.ping = prober.answers
        kernel.register('uplinks', ups)
        kernel.register(
            'reconciler',
            reconcile.Reconciler(replica, counts, zone, self.randomness),
        )
        store = kernel.find('store', etcd.EtcdStore)
        source = sources.Source(
            store, given.mesh, replica, counts, self.randomness
        )
        kernel.register('source', source)
        ups.on_place.append(source.follow_place)
        kernel.register(
            'seeds',
            seeds.SeedKeeper(
                store, given.mesh, given.timing.seed_period_s, counts
            ),
        )

    async def _start_calls(self, stack: contextlib.AsyncExitStack) -> None:
        given = self.settings
        kernel = self.kernel
        replica = kernel.find('replica', replicas.Replica)
        counts = kernel.find('counters', counters.Counters)
        clock = kernel.find('timers', timers.TimerService)
        events = kernel.find('timeline', timeline.Timeline)
        myself = kernel.find('myself', own.Myself)
        targets = local.LocalTargets(myself, given.timing.target_ttl_s, counts)
        kernel.register('targets', targets)
        pool = connections.ConnectionPool(counts)
        stack.callback(pool.close)
        guard = guards.Guard(replica, targets, pool, clock, events, counts)
        kernel.register('guard', guard)
        streams = peers.PeerStreams(counts)
        stack.push_async_callback(streams.close)
        router = routers.Router(
            replica,
            guard,
            streams,
            clock,
            events,
            counts,
            given.availability_zone,
            self.randomness,
        )
        kernel.register('router', router)
        server = peers.PeerServer(guard, counts)
        owner = self._own_keys(router, streams)
        router.keyed = server.owner = owner
        call_port = await stack.enter_async_context(
            peers.serving(server, given.address, given.listen.call_port)
        )
        for for_targets, port, setting in (
            (False, given.listen.caller_port, 'caller_port'),
            (True, given.listen.egress_port, 'egress_port'),
        ):
            if not (for_targets or given.ingress):
                continue
            ingress = ingresses.Ingress(
                replica,
                router,
                myself,
                targets,
                events,
                counts,
                self.randomness,
                for_targets=for_targets,
            )
            name = 'egress' if for_targets else 'ingress'
            kernel.register(name, ingress)
            address = '127.0.0.1' if for_targets else given.address
            bound = await stack.enter_async_context(
                ingresses.serving(ingress, address, port, setting)
            )
            kernel.register(f'{name}.port', bound)
        admin_port = await stack.enter_async_context(
            pages.serving(kernel, given.address, given.listen.admin_port)
        )
        myself.set_ports(call_port, admin_port)

    def _own_keys(
        self, router: routers.Router, streams: peers.PeerStreams
    ) -> owners.Owner:
        given = self.settings
        kernel = self.kernel
        replica = kernel.find('replica', replicas.Replica)
        counts = kernel.find('counters', counters.Counters)
        keeper = views.ScheduleKeeper(
            kernel.find('store', etcd.EtcdStore),
            given.mesh,
            replica,
            kernel.find('timers', timers.TimerService),
            counts,
            round(given.once.lead_s * views.MS_IN_S),
            streams,
            self.randomness,
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
            self.randomness,
            ownership.ClockBound(
                round(given.once.clock_bound_s * views.MS_IN_S)
            ),
        )
        kernel.register('owner', owner)
        return owner

    async def _join(self, stack: contextlib.AsyncExitStack) -> None:
        given = self.settings
        kernel = self.kernel
        replica = kernel.find('replica', replicas.Replica)
        myself = kernel.find('myself', own.Myself)
        prober = kernel.find('prober', probing.Prober)
        targets = kernel.find('targets', local.LocalTargets)
        ups = kernel.find('uplinks', uplinks.Uplinks)
        replica.offer_member(myself.record, '')
        myself.changed.subscribe(
            lambda record: self._own_record_changed(record)
        )
        replica.changed.subscribe(self._fact_changed)
        prober.paused.append(self._thawed)
        await stack.enter_async_context(
            sources.following(kernel.find('source', sources.Source))
        )
        await self._first_facts()
        await stack.enter_async_context(uplinks.holding(ups))
        self._subscribe_timers(targets)
        await self._meet_others()
        keeper = kernel.find('schedule', views.ScheduleKeeper)
        await keeper.tick()
        kernel.find('timers', timers.TimerService).subscribe(
            'schedule', views.TICK_S, keeper.tick
        )
        myself.stage = own.Stage.READY
        logs.state_changed(
            'stage', host=given.host, to='ready', incarnation=self.incarnation
        )

    async def _first_facts(self) -> None:
        """Take the highest version of the store and several peers.

        A daemon that returns while the store is out would otherwise serve
        nothing, or what one stale peer still holds.
        """
        given = self.settings
        kernel = self.kernel
        source = kernel.find('source', sources.Source)
        ups = kernel.find('uplinks', uplinks.Uplinks)
        keeper = kernel.find('seeds', seeds.SeedKeeper)
        start = seed_rules.StartPacing(
            self.randomness, given.timing.start_spread_s
        )
        await asyncio.sleep(start.first_delay())
        while True:
            found = await keeper.find(given.availability_zone, self.randomness)
            read = False
            addresses = list(given.peers)
            self.randomness.shuffle(addresses)
            if isinstance(found, result.Ok):
                read = await source.read_once()
                addresses += [one.control_address for one in found.ok_value]
            elif not start.failures:
                logs.state_changed(
                    'start', to='waiting-for-store', error=str(found.err_value)
                )
            mine = kernel.find('myself', own.Myself).record.control_address
            addresses = [one for one in addresses if one != mine]
            ups.bootstrap = tuple(addresses)
            if await self._ask_peers(read, addresses):
                return
            await asyncio.sleep(start.next_delay())

    async def _ask_peers(self, store_read: bool, addresses: list[str]) -> bool:
        """Ask a few peers at a time until enough of them hold a version."""
        reconciler = self.kernel.find('reconciler', reconcile.Reconciler)
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

    def _subscribe_timers(self, targets: local.LocalTargets) -> None:
        kernel = self.kernel
        timing = self.settings.timing
        clock = kernel.find('timers', timers.TimerService)
        prober = kernel.find('prober', probing.Prober)
        reconciler = kernel.find('reconciler', reconcile.Reconciler)
        replica = kernel.find('replica', replicas.Replica)
        clock.subscribe('probe', timing.probe_period_s, prober.tick)
        clock.subscribe(
            'reconcile', timing.reconcile_period_s, reconciler.tick, 0.5
        )
        clock.subscribe('seeds', timing.seed_period_s, self._keep_seed)
        clock.subscribe(
            'target-expiry',
            timing.target_ttl_s / local.EXPIRY_CHECKS,
            lambda: targets.expire(clock.now()),
        )

        def forget() -> None:
            replica.fleet.forget(clock.now())

        clock.subscribe('forget', 60.0, forget)

    async def _meet_others(self) -> None:
        """Look for other members until one is known, a few times.

        A whole fleet that starts at once finds no bootstrap record on its
        first read, since nobody has written one yet.
        """
        replica = self.kernel.find('replica', replicas.Replica)
        backoff = pacing.Backoff(self.randomness, base_s=0.2)
        for _ in range(MEETING_ATTEMPTS):
            await self._keep_seed()
            if len(replica.fleet.records) > 1:
                return
            await asyncio.sleep(backoff.next_delay())

    async def _keep_seed(self) -> None:
        kernel = self.kernel
        keeper = kernel.find('seeds', seeds.SeedKeeper)
        replica = kernel.find('replica', replicas.Replica)
        record = kernel.find('myself', own.Myself).record
        hosts = replica.fleet.live_hosts(record.availability_zone)
        due = await keeper.tick(record, hosts)
        alone = len(hosts) <= 1
        if alone or (
            due and seed_rules.looks_for_others(self.renewals, alone)
        ):
            await self._join_islands()
        self.renewals += due

    async def _join_islands(self) -> None:
        """Ask one seed of each zone that this daemon does not know.

        Two groups that started apart, or were cut off for longer than the
        dead are probed, would otherwise never hear of each other.
        """
        kernel = self.kernel
        given = self.settings
        keeper = kernel.find('seeds', seeds.SeedKeeper)
        replica = kernel.find('replica', replicas.Replica)
        reconciler = kernel.find('reconciler', reconcile.Reconciler)
        found = await keeper.find(given.availability_zone, self.randomness)
        if isinstance(found, result.Err):
            return
        asked: set[str] = set()
        for seed in found.ok_value:
            known = replica.fleet.records.get(seed.host)
            if (known and known.live) or seed.availability_zone in asked:
                continue
            asked.add(seed.availability_zone)
            await reconciler.ask(seed.control_address)

    def _own_record_changed(self, record: members.MemberRecord) -> None:
        replica = self.kernel.find('replica', replicas.Replica)
        targets = self.kernel.find('targets', local.LocalTargets)
        replica.offer_member(record, '')
        if not replica.interest.everything:
            replica.set_interest(
                config.Interest(
                    ingress=self.settings.ingress, hosted=targets.services()
                )
            )

    def _fact_changed(self, change: replicas.FactChange) -> None:
        if change.member is None:
            return
        self.kernel.find('prober', probing.Prober).observe(change.member)
        if change.member.host == self.settings.host and change.source:
            self.kernel.find('myself', own.Myself).refute(change.member)

    def _thawed(self) -> None:
        """After an own pause, learn at once what was missed."""
        reconciler = self.kernel.find('reconciler', reconcile.Reconciler)
        asyncio.ensure_future(reconciler.tick())

    async def leave(self) -> None:
        """Finish what is in flight, taking no new work."""
        kernel = self.kernel
        myself = kernel.find('myself', own.Myself)
        guard = kernel.find('guard', guards.Guard)
        logs.state_changed('stage', host=self.settings.host, to='leaving')
        myself.leave()
        await asyncio.sleep(LEAVE_SPREAD_S)
        guard.leaving = True
        owner = kernel.find('owner', owners.Owner)
        owner.closed = True
        clock = kernel.find('timers', timers.TimerService)
        until = clock.now() + self.settings.timing.drain_s
        while self._in_flight() and clock.now() < until:
            await asyncio.sleep(0.01)
        await owner.hand_over()
        await kernel.find('seeds', seeds.SeedKeeper).withdraw()

    def _in_flight(self) -> int:
        kernel = self.kernel
        count = kernel.find('guard', guards.Guard).in_flight
        count += len(kernel.find('owner', owners.Owner).running)
        for name in ('ingress', 'egress'):
            found = kernel.services.get(name)
            if isinstance(found, ingresses.Ingress):
                count += found.in_flight
        return count
