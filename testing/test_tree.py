"""The distribution tree computed for thousands of members."""

import collections
import functools

import pytest

from peridotpost.decisions import tree

ZONES = [f'z{number:02d}' for number in range(11)]
FLEET = 5200


def hosts_of(zone: str, count: int) -> tuple[str, ...]:
    return tuple(f'{zone}-host-{number}' for number in range(count))


@functools.cache
def places(zone: str, hosts: tuple[str, ...]) -> dict[str, tree.TreePosition]:
    return {host: tree.position_of(host, zone, hosts) for host in hosts}


def depth_of(host: str, found: dict[str, tree.TreePosition]) -> int:
    """Return the steps from a relay to `host` over preferred parents."""
    steps = 0
    while not found[host].relay:
        host = found[host].parents[0]
        steps += 1
    return steps


@pytest.mark.parametrize(
    ('count', 'depth'),
    [
        pytest.param(1, 0, id='one'),
        pytest.param(2, 0, id='relays-only'),
        pytest.param(34, 1, id='two-full-relays'),
        pytest.param(35, 2, id='first-intermediate-parents'),
        pytest.param(473, 2, id='zone-of-the-required-size'),
        pytest.param(600, 2, id='larger-zone'),
    ],
)
def test_tree_of_a_zone_is_shallow_and_no_parent_overloaded(
    count: int, depth: int
) -> None:
    hosts = hosts_of('z', count)
    found = places('z', hosts)
    relays = [host for host, place in found.items() if place.relay]
    assert len(relays) == min(count, tree.RELAYS_PER_ZONE)
    assert max(depth_of(host, found) for host in hosts) == depth
    children = collections.Counter(
        place.parents[0] for place in found.values() if place.parents
    )
    assert all(found[host].has_children for host in children)
    assert max(children.values(), default=0) <= tree.MAX_CHILDREN


@pytest.mark.parametrize(
    'position',
    [
        pytest.param(0, id='first-relay-leaves'),
        pytest.param(1, id='second-relay-leaves'),
        pytest.param(2, id='intermediate-parent-leaves'),
        pytest.param(472, id='leaf-leaves'),
    ],
)
def test_one_departure_of_5200_moves_few_children(position: int) -> None:
    # One host fails.  If the children were redistributed, all daemons of
    # its zone would dial another parent, at each of the day's 482 losses
    # and replacements.  Remote zones must not change at all.
    zone, size = ZONES[0], FLEET // len(ZONES) + 1
    hosts = hosts_of(zone, size)
    order = tree.ranked(zone, hosts)
    removed = order[position]
    before = places(zone, hosts)
    after = places(zone, tuple(host for host in hosts if host != removed))
    moved = [
        host
        for host in after
        if before[host].parents[:1] != after[host].parents[:1]
    ]
    # Losing a relay moves its intermediate parents, the children of the
    # daemon that replaces it and those of the new intermediate parent: 63.
    assert len(moved) <= 5 * tree.FAN_OUT


def test_relays_and_their_watches_do_not_grow_with_the_fleet() -> None:
    relays = [
        host
        for zone in ZONES
        for host in tree.relays_of(zone, hosts_of(zone, 473))
    ]
    assert len(relays) == 22


@functools.cache
def relays_of_all() -> list[tree.ZoneRelays]:
    return [
        tree.ZoneRelays(zone, tuple(tree.relays_of(zone, hosts_of(zone, 473))))
        for zone in ZONES
    ]


def linked_zones(lost: frozenset[str]) -> set[frozenset[str]]:
    """Return the pairs of zones that stay linked without `lost` hosts."""
    zones = relays_of_all()
    pairs = set()
    for mine in zones:
        others = [one for one in zones if one.zone != mine.zone]
        for host in mine.relays:
            called = tree.links_between_zones(
                host, mine.zone, mine.relays, others
            )
            pairs |= {
                frozenset((mine.zone, peer[:3]))
                for peer in called
                if not {host, peer} & lost
            }
    return pairs


def test_any_one_frozen_relay_leaves_every_pair_of_zones_linked() -> None:
    # A relay freezes.  If both relays of a remote zone are connected to it,
    # no update passes between the two zones until it is declared dead, and
    # calls still go to targets that have left.
    every_pair = len(ZONES) * (len(ZONES) - 1) // 2
    for zone in relays_of_all():
        for relay in zone.relays:
            assert len(linked_zones(frozenset({relay}))) == every_pair


@pytest.mark.parametrize(
    ('mine', 'others', 'pairs'),
    [
        pytest.param(1, 2, {('m-0', 'o-0'), ('m-0', 'o-1')}, id='one-two'),
        pytest.param(2, 1, {('m-0', 'o-0'), ('m-1', 'o-0')}, id='two-one'),
        pytest.param(1, 1, {('m-0', 'o-0')}, id='one-one'),
        pytest.param(1, 0, set(), id='zone-without-hosts'),
    ],
)
def test_small_zones_are_linked_by_every_relay(
    mine: int, others: int, pairs: set[tuple[str, str]]
) -> None:
    hosts = [f'm-{number}' for number in range(mine)]
    relays = tuple(f'o-{number}' for number in range(others))
    called = {
        (host, peer)
        for host in hosts
        for peer in tree.links_between_zones(
            host, 'm', hosts, [tree.ZoneRelays('o', relays)]
        )
    }
    assert called == pairs


def test_suspected_parents_come_last_in_the_order_they_had() -> None:
    order = tree.suspects_last(('a', 'b', 'c', 'd'), {'a', 'c'})
    assert order == ('b', 'd', 'a', 'c')
