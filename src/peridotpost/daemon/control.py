"""Installs the services for configuration and membership."""

from collections.abc import AsyncIterator
import contextlib
import random
import time

from peridotpost.border import settings as settings_border
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server
from peridotpost.distribution import storewatcher as sources
from peridotpost.distribution import uplinks
from peridotpost.distribution import wire
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.membership import pings
from peridotpost.membership import probing
from peridotpost.membership import seeds
from peridotpost.model import members
from peridotpost.store import etcd

NS_PER_MS = 1_000_000


class ReplicaMemberView:
    """The prober's view of the members in the replica."""

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica

    def record_of(self, host: str) -> members.MemberRecord | None:
        return self.replica.fleet.records.get(host)

    def live(self) -> list[members.MemberRecord]:
        return list(self.replica.fleet.live())

    def offer(self, record: members.MemberRecord) -> None:
        self.replica.offer_member(record, 'probe')


@contextlib.asynccontextmanager
async def installed(kernel: registry.ServiceRegistry) -> AsyncIterator[None]:
    """Open the control and probe ports and register their services."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    incarnation = time.time_ns() // NS_PER_MS
    servicer = _add_links(kernel, incarnation)
    prober = _add_prober(kernel)
    async with (
        server.serving(
            servicer, settings.address, settings.listen.control_port
        ) as control_port,
        pings.listening(
            prober.pings, settings.address, settings.listen.probe_port
        ) as probe_port,
    ):
        record = members.MemberRecord(
            host=settings.host,
            availability_zone=settings.availability_zone,
            incarnation=incarnation,
            status=members.Status.ALIVE,
            sequence=1,
            address=settings.address,
            control_port=control_port,
            probe_port=probe_port,
            call_port=0,
            admin_port=0,
        )
        kernel.register('myself', myself.LocalMember(record))
        _add_sources(kernel)
        yield


def _add_links(
    kernel: registry.ServiceRegistry, incarnation: int
) -> server.ControlServicer:
    settings = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    counts = kernel.find('counters', counters.Counters)
    table = links.LinkTable(replica, incarnation, settings.availability_zone)
    kernel.register('links', table)
    servicer = server.ControlServicer(replica, table, counts)
    kernel.register('control', servicer)
    return servicer


def _add_prober(kernel: registry.ServiceRegistry) -> probing.Prober:
    settings = kernel.find('settings', settings_border.DaemonSettings)
    prober = probing.Prober(
        settings.host,
        settings.availability_zone,
        ReplicaMemberView(kernel.find('replica', replicas.Replica)),
        kernel.find('timers', timers.TimerService),
        kernel.find('counters', counters.Counters),
        kernel.find('randomness', random.Random),
        settings.timing.probe_period_s,
        settings.timing.probe_timeout_s,
        settings.timing.suspicion_s,
    )
    prober.pings.encode = wire.member_to_wire
    prober.pings.decode = wire.member_from_wire
    kernel.register('prober', prober)
    return prober


def _add_sources(kernel: registry.ServiceRegistry) -> None:
    """Register the sources of updates: uplinks, peers and the store."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    replica = kernel.find('replica', replicas.Replica)
    counts = kernel.find('counters', counters.Counters)
    rng = kernel.find('randomness', random.Random)
    store = kernel.find('store', etcd.EtcdStore)
    zone = settings.availability_zone
    uplink_manager = uplinks.UplinkManager(
        replica,
        kernel.find('links', links.LinkTable),
        counts,
        zone,
        rng,
    )
    uplink_manager.ping = kernel.find('prober', probing.Prober).answers
    kernel.register('uplinks', uplink_manager)
    kernel.register(
        'reconciler', reconcile.Reconciler(replica, counts, zone, rng)
    )
    store_watcher = sources.StoreWatcher(
        store, settings.mesh, replica, counts, rng
    )
    kernel.register('source', store_watcher)
    uplink_manager.position_listeners.append(store_watcher.set_position)
    kernel.register(
        'seeds',
        seeds.SeedKeeper(
            store, settings.mesh, settings.timing.seed_period_s, counts
        ),
    )
