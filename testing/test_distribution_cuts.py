"""Distribution while zones are partitioned or have lost the platform."""

import asyncio
from collections.abc import Sequence
import functools

from peridotpost.decisions import progress
from peridotpost.decisions import tree
from peridotpost.distribution import links
from testing import conditions
from testing import zones as zoned

FIRST_ZONE = 'hel-a'
SECOND_ZONE = 'hel-b'
THIRD_ZONE = 'tku-a'


async def test_zone_without_platform_is_updated_through_other_zones(
    mesh_text: str,
) -> None:
    # One zone loses the platform but still reaches the other zones.  A version
    # accepted meanwhile must come into force there through the streams
    # between the relays of the zones.
    async with zoned.running(mesh_text) as zones:
        await zones.wait_until_in_force(
            await zones.accept('first', THIRD_ZONE)
        )
        zones.start_platform_outage(FIRST_ZONE)
        await zones.wait_until_in_force(
            await zones.accept('second', THIRD_ZONE)
        )


async def test_zone_without_streams_is_updated_by_reconciliation(
    mesh_text: str,
) -> None:
    # In addition, the streams between the zones stay down and only single
    # requests get through.  Periodic reconciliation alone must suffice.
    async with zoned.running(mesh_text) as zones:
        await zones.wait_until_in_force(
            await zones.accept('first', THIRD_ZONE)
        )
        zones.start_platform_outage(FIRST_ZONE)
        others = [(FIRST_ZONE, other) for other in zones.others(FIRST_ZONE)]
        await zones.partition_streams(*others)
        second = await zones.accept('second', THIRD_ZONE)
        zones.reconcile_frequently()
        await zones.wait_until_in_force(second)


async def test_isolated_zone_keeps_serving_and_catches_up(
    mesh_text: str,
) -> None:
    # A zone loses the platform and all other zones while two versions are
    # accepted.  It keeps its version and routing table; after healing it has
    # the newest version and the same fleet as all others.
    async with zoned.running(mesh_text) as zones:
        first = await zones.accept('first', THIRD_ZONE)
        await zones.wait_until_in_force(first)
        zones.start_platform_outage(FIRST_ZONE)
        await zones.partition(
            *((FIRST_ZONE, other) for other in zones.others(FIRST_ZONE))
        )
        await zones.accept('second', THIRD_ZONE)
        newest = await zones.accept('third', THIRD_ZONE)
        outside = [host for host in zones.daemons if FIRST_ZONE not in host]
        await zones.wait_until_in_force(newest, *outside)
        for host in (f'{FIRST_ZONE}-0', f'{FIRST_ZONE}-1'):
            assert zones.replica(host).table.revision == first
            assert 'bond-status' in zones.replica(host).table.routes
        zones.heal()
        await zones.wait_until_in_force(newest)
        await conditions.until(zones.have_converged, 'all hold the same fleet')


async def test_version_bypasses_a_partition_through_a_third_zone(
    mesh_text: str,
) -> None:
    # A zone reaches neither the platform nor the only zone that does.  A
    # third zone without the platform reaches both and must pass versions on.
    async with zoned.running(mesh_text) as zones:
        await zones.wait_until_in_force(
            await zones.accept('first', SECOND_ZONE)
        )
        for zone in zones.others(SECOND_ZONE):
            zones.start_platform_outage(zone)
        await zones.partition((FIRST_ZONE, SECOND_ZONE))
        await zones.wait_until_in_force(
            await zones.accept('second', SECOND_ZONE)
        )


async def test_first_relay_of_a_zone_reports_rollout_progress(
    mesh_text: str,
) -> None:
    # An operator asks one relay of each zone whether a version is in force.
    # Its report must cover all daemons of its zone and no others.
    async with zoned.running(mesh_text, hosts_per_zone=3) as zones:
        revision = await zones.accept('first', THIRD_ZONE)
        for zone in zones.mesh.availability_zones:
            hosts = [host for host in zones.daemons if zone in host]
            root = zones.links(tree.relays_of(zone, hosts)[0])
            reports: list[progress.Progress] = []
            await conditions.until(
                functools.partial(
                    is_in_force_on_all, root, revision, hosts, reports
                ),
                f'{zone} has {revision} in force',
            )
            # Links may be replaced before this task runs again.
            assert reports[-1].daemons == 3


def is_in_force_on_all(
    root: links.LinkTable,
    revision: int,
    hosts: Sequence[str],
    reports: list[progress.Progress],
) -> bool:
    """Append the present report and return whether it covers the zone."""
    reports.append(root.progress)
    return progress.in_force(revision, reports[-1], hosts)


async def test_partitioned_zones_converge_after_healing(
    mesh_text: str,
) -> None:
    # The fleet is split in two halves that both reach the platform, and a
    # daemon joins on either side.  Versions reach both halves; after healing
    # each half must know the new member of the other.
    async with zoned.running(mesh_text) as zones:
        halves = (FIRST_ZONE, SECOND_ZONE), (THIRD_ZONE, 'tre-a')
        await zones.partition(*((a, b) for a in halves[0] for b in halves[1]))
        await asyncio.gather(
            zones.start('new-here', FIRST_ZONE),
            zones.start('new-there', THIRD_ZONE),
        )
        await zones.wait_until_in_force(
            await zones.accept('first', FIRST_ZONE)
        )
        assert 'new-there' not in zones.replica('new-here').fleet.records
        zones.heal()
        await conditions.until(zones.have_converged, 'all hold the same fleet')
        assert 'new-there' in zones.replica('new-here').fleet.records


async def test_daemon_started_without_platform_asks_its_peers(
    mesh_text: str,
) -> None:
    # A host is replaced in a zone that has lost the platform.  The first
    # peers in its settings no longer exist.  It must not serve before it has
    # the version that the other daemons have.
    async with zoned.running(mesh_text) as zones:
        revision = await zones.accept('first', THIRD_ZONE)
        await zones.wait_until_in_force(revision)
        zones.start_platform_outage(FIRST_ZONE)
        gone = [f'127.0.0.1:{port}' for port in range(1, 5)]
        zones.zone_by_address.update(dict.fromkeys(gone, FIRST_ZONE))
        known = [
            zones.address(f'{FIRST_ZONE}-0'),
            zones.address(f'{SECOND_ZONE}-0'),
        ]
        await zones.start('fresh', FIRST_ZONE, *gone, *known)
        assert zones.last_revisions['fresh'] == revision
