"""Zones cut off from each other and from the platform, in one process."""

import asyncio
from collections.abc import Sequence
import functools

from peridotpost.decisions import progress
from peridotpost.decisions import tree
from peridotpost.distribution import links
from testing import conditions
from testing import zones as zoned

ZONE = 'hel-a'
MATE = 'hel-b'
THIRD = 'tku-a'


async def test_zone_cut_from_the_platform_hears_by_other_zones(
    mesh_text: str,
) -> None:
    # One zone loses the platform, not the other zones.  A version that
    # is accepted meanwhile must be in force there too, by the streams
    # between the zones' relays.
    async with zoned.running(mesh_text) as zones:
        await zones.until_in_force(await zones.accept('first', THIRD))
        zones.cut_from_platform(ZONE)
        await zones.until_in_force(await zones.accept('second', THIRD))


async def test_zone_without_streams_to_others_hears_by_reconciliation(
    mesh_text: str,
) -> None:
    # The same, while the streams between the zones stay down and single
    # questions get through: the slow comparison alone must do.
    async with zoned.running(mesh_text) as zones:
        await zones.until_in_force(await zones.accept('first', THIRD))
        zones.cut_from_platform(ZONE)
        others = [(ZONE, other) for other in zones.others(ZONE)]
        await zones.cut_streams(*others)
        second = await zones.accept('second', THIRD)
        zones.reconcile_often()
        await zones.until_in_force(second)


async def test_zone_cut_from_all_serves_on_and_catches_up(
    mesh_text: str,
) -> None:
    # A zone loses the platform and all other zones while two versions
    # are accepted.  It keeps the one it has, and its table; after healing
    # it has the newest and the same fleet as all others.
    async with zoned.running(mesh_text) as zones:
        first = await zones.accept('first', THIRD)
        await zones.until_in_force(first)
        zones.cut_from_platform(ZONE)
        await zones.cut(*((ZONE, other) for other in zones.others(ZONE)))
        await zones.accept('second', THIRD)
        newest = await zones.accept('third', THIRD)
        outside = [host for host in zones.daemons if ZONE not in host]
        await zones.until_in_force(newest, *outside)
        for host in (f'{ZONE}-0', f'{ZONE}-1'):
            assert zones.replica(host).table.revision == first
            assert 'bond-status' in zones.replica(host).table.routes
        zones.heal()
        await zones.until_in_force(newest)
        await conditions.until(zones.agree, 'all hold the same fleet')


async def test_version_goes_round_a_cut_by_a_third_zone(
    mesh_text: str,
) -> None:
    # A zone reaches neither the platform nor the one zone that does.  A
    # third zone, itself without the platform, reaches both.
    async with zoned.running(mesh_text) as zones:
        await zones.until_in_force(await zones.accept('first', MATE))
        for zone in zones.others(MATE):
            zones.cut_from_platform(zone)
        await zones.cut((ZONE, MATE))
        await zones.until_in_force(await zones.accept('second', MATE))


async def test_first_relay_of_a_zone_knows_how_far_a_version_is(
    mesh_text: str,
) -> None:
    # An operator asks one relay of each zone whether the version is in
    # force.  Its word covers all of its zone, and no other zone's.
    async with zoned.running(mesh_text, hosts_per_zone=3) as zones:
        revision = await zones.accept('first', THIRD)
        for zone in zones.mesh.availability_zones:
            hosts = [host for host in zones.daemons if zone in host]
            root = zones.links(tree.relays_of(zone, hosts)[0])
            await conditions.until(
                functools.partial(has_all, root, revision, hosts),
                f'{zone} has {revision} in force',
            )
            assert root.progress.daemons == 3


def has_all(
    root: links.LinkTable, revision: int, hosts: Sequence[str]
) -> bool:
    return progress.in_force(revision, root.progress, hosts)


async def test_zones_cut_from_each_other_hold_one_fleet_after_healing(
    mesh_text: str,
) -> None:
    # Two halves of the fleet lose each other while both keep the
    # platform, and a daemon joins on either side.  Versions reach both
    # halves; after healing each knows the other's new member.
    async with zoned.running(mesh_text) as zones:
        halves = (ZONE, MATE), (THIRD, 'tre-a')
        await zones.cut(*((a, b) for a in halves[0] for b in halves[1]))
        await asyncio.gather(
            zones.start('new-here', ZONE), zones.start('new-there', THIRD)
        )
        await zones.until_in_force(await zones.accept('first', ZONE))
        assert 'new-there' not in zones.replica('new-here').fleet.records
        zones.heal()
        await conditions.until(zones.agree, 'all hold the same fleet')
        assert 'new-there' in zones.replica('new-here').fleet.records


async def test_daemon_that_starts_without_the_platform_asks_its_peers(
    mesh_text: str,
) -> None:
    # The platform is out for a zone and a host is replaced there.  Its
    # settings name peers, the first of which are gone.  It must not serve
    # before it has the version that the others hold.
    async with zoned.running(mesh_text) as zones:
        revision = await zones.accept('first', THIRD)
        await zones.until_in_force(revision)
        zones.cut_from_platform(ZONE)
        gone = [f'127.0.0.1:{port}' for port in range(1, 5)]
        zones.zone_at.update(dict.fromkeys(gone, ZONE))
        known = [zones.address(f'{ZONE}-0'), zones.address(f'{MATE}-0')]
        await zones.start('fresh', ZONE, *gone, *known)
        assert zones.lowest['fresh'] == revision
