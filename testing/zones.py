"""Daemons of several availability zones on one loop, with partitions.

Two interfaces are faked: the dialler through which daemons open channels to
each other, and the platform.  Each zone has its own stand-in of the platform,
so that a single zone can lose it; all stand-ins share one state.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import functools

from grpc import aio

from peridotpost.border import mesh_document as text_border
from peridotpost.border import settings as settings_border
from peridotpost.daemon import assembly
from peridotpost.daemon import control
from peridotpost.distribution import grpcchannels
from peridotpost.distribution import links
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import uplinks
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.model import errors
from peridotpost.standins import platform as platform_standin
from peridotpost.store import etcd
from peridotpost.store import versions
from testing import conditions

WAIT_S = 30.0
RECONCILE_INTERVAL_S = 0.5
TIMING = settings_border.TimingSettings(
    probe_period_s=0.5,
    suspicion_s=2.0,
    reconcile_period_s=600.0,
    seed_period_s=0.5,
    watch_timeout_s=5.0,
    drain_s=1.0,
)


class ZonedMesh:
    """A mesh in one process, whose zones a test partitions and heals."""

    def __init__(self, text: str, stack: contextlib.AsyncExitStack) -> None:
        self.text = text
        self.mesh = text_border.parse_mesh(text, 'text')
        self.stack = stack
        self.platforms: dict[str, platform_standin.Platform] = {}
        self.endpoints: dict[str, str] = {}
        self.daemons: dict[str, assembly.Daemon] = {}
        self.zone_by_address: dict[str, str] = {}
        self.partitions: set[frozenset[str]] = set()
        self.stream_partitions: set[frozenset[str]] = set()
        self.channels: list[tuple[frozenset[str], aio.Channel]] = []
        self.last_revisions: dict[str, int] = {}

    async def open_platform(self) -> None:
        for zone in self.mesh.availability_zones:
            platform = platform_standin.Platform()
            if self.platforms:
                platform.state = next(iter(self.platforms.values())).state
                platform.lease_ids = next(
                    iter(self.platforms.values())
                ).lease_ids
            port = await self.stack.enter_async_context(
                platform_standin.serving(platform, '127.0.0.1', 0)
            )
            self.platforms[zone] = platform
            self.endpoints[zone] = f'http://127.0.0.1:{port}'

    async def start(self, host: str, zone: str, *peers: str) -> None:
        """Start a daemon and wait until it is ready."""
        plain = {
            'host': host,
            'availability_zone': zone,
            'mesh': self.mesh.mesh,
            'peers': list(peers),
            'store': {'endpoints': [self.endpoints[zone]], 'timeout_s': 0.5},
            'listen': dict.fromkeys(
                settings_border.ListenSettings.model_fields, 0
            ),
        }
        settings = settings_border.DaemonSettings.model_validate(plain)
        settings = settings.model_copy(update={'timing': TIMING})
        daemon = assembly.Daemon(settings, seed=len(self.daemons))
        self.daemons[host] = daemon
        after_control = daemon.components.index(control.installed) + 1
        daemon.components.insert(after_control, self.respect_partitions(zone))
        await self.stack.enter_async_context(daemon.running())
        self.last_revisions[host] = self.revision(host)
        self.replica(host).changed.subscribe(
            lambda _: self._check_not_lower(host)
        )

    def respect_partitions(self, zone: str) -> assembly.Component:
        """Return a component that makes dialling respect the partitions."""

        @contextlib.asynccontextmanager
        async def installed(
            kernel: registry.ServiceRegistry,
        ) -> AsyncIterator[None]:
            uplink_set = kernel.find('uplinks', uplinks.UplinkManager)
            reconciler = kernel.find('reconciler', reconcile.Reconciler)
            uplink_set.dial = self.dial_from(zone, self.stream_partitions)
            reconciler.dial = self.dial_from(zone, self.partitions)
            record = kernel.find('myself', myself.LocalMember).record
            self.zone_by_address[record.control_address] = zone
            yield

        return installed

    def _check_not_lower(self, host: str) -> None:
        revision = self.revision(host)
        assert revision >= self.last_revisions[host]
        self.last_revisions[host] = revision

    def dial_from(
        self, zone: str, partitions: set[frozenset[str]]
    ) -> grpcchannels.Dial:
        @contextlib.asynccontextmanager
        async def dial(address: str) -> AsyncIterator[aio.Channel]:
            pair = frozenset({zone, self.zone_by_address[address]})
            if pair in partitions:
                raise errors.PeridotError(
                    'partitioned by the test', step='test.dial', peer=address
                )
            async with grpcchannels.dial(address) as channel:
                entry = (pair, channel)
                self.channels.append(entry)
                try:
                    yield channel
                finally:
                    self.channels.remove(entry)

        return dial

    async def partition(self, *pairs: tuple[str, str]) -> None:
        """Partition pairs of zones; existing streams are closed as well."""
        self.partitions |= {frozenset(pair) for pair in pairs}
        await self.partition_streams(*pairs)

    async def partition_streams(self, *pairs: tuple[str, str]) -> None:
        """Partition only the streams; single requests still get through."""
        self.stream_partitions |= {frozenset(pair) for pair in pairs}
        for pair, channel in tuple(self.channels):
            if pair in self.stream_partitions:
                await channel.close()

    def heal(self) -> None:
        self.partitions.clear()
        self.stream_partitions.clear()
        for platform in self.platforms.values():
            platform.set_faults(platform_standin.Faults())

    def reconcile_frequently(self) -> None:
        """Let every daemon reconcile with a random member each half second."""
        for daemon in self.daemons.values():
            reconciler = daemon.kernel.find('reconciler', reconcile.Reconciler)
            clock = daemon.kernel.find('timers', timers.TimerService)
            clock.subscribe(
                'test-reconcile', RECONCILE_INTERVAL_S, reconciler.tick
            )

    def start_platform_outage(self, zone: str) -> None:
        faults = platform_standin.Faults(outage=True)
        self.platforms[zone].set_faults(faults)

    def others(self, zone: str) -> list[str]:
        return [
            other for other in self.mesh.availability_zones if other != zone
        ]

    async def accept(self, note: str, via: str) -> int:
        """Accept the same configuration again and return its revision."""
        with etcd.etcd_store(
            [self.endpoints[via]], 1.0, 5.0, counters.Counters()
        ) as store:
            head = (await versions.read_head(store, self.mesh.mesh)).unwrap()
            proposed = versions.AcceptedVersion(
                revision=0,
                number=0,
                write_id=note,
                author='test',
                note=note,
                at=0.0,
                base_revision=head.revision if head else 0,
                text=self.text,
            )
            outcome = await versions.accept(
                store, self.mesh.mesh, proposed, asyncio.sleep
            )
        assert isinstance(outcome, versions.Committed)
        return outcome.revision

    def replica(self, host: str) -> replicas.Replica:
        return self.daemons[host].kernel.find('replica', replicas.Replica)

    def links(self, host: str) -> links.LinkTable:
        return self.daemons[host].kernel.find('links', links.LinkTable)

    def revision(self, host: str) -> int:
        return self.replica(host).version.revision

    def address(self, host: str) -> str:
        kernel = self.daemons[host].kernel
        return kernel.find('myself', myself.LocalMember).record.control_address

    def has_in_force(self, host: str, revision: int) -> bool:
        return self.revision(host) >= revision

    def knows(self, host: str, count: int) -> bool:
        """Whether `host` knows exactly `count` live members."""
        return len(list(self.replica(host).fleet.live())) == count

    def have_converged(self) -> bool:
        """Whether all daemons have the same record of every member."""
        fleets = {
            tuple(self.replica(host).fleet.bucket_sums)
            for host in self.daemons
        }
        return len(fleets) == 1

    async def wait_until_in_force(self, revision: int, *hosts: str) -> None:
        for host in hosts or self.daemons:
            await conditions.until(
                functools.partial(self.has_in_force, host, revision),
                f'{revision} is in force on {host}',
            )


@contextlib.asynccontextmanager
async def running(
    text: str, hosts_per_zone: int = 2
) -> AsyncIterator[ZonedMesh]:
    """Start every zone's daemons and wait until they know each other."""
    async with contextlib.AsyncExitStack() as stack:
        zones = ZonedMesh(text, stack)
        await zones.open_platform()
        names = [
            (f'{zone}-{number}', zone)
            for zone in zones.mesh.availability_zones
            for number in range(hosts_per_zone)
        ]
        await asyncio.gather(*(zones.start(*name) for name in names))
        count = len(names)
        for host, _ in names:
            await conditions.until(
                functools.partial(zones.knows, host, count),
                f'{host} knows all others',
            )
        yield zones
