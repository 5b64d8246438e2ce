"""Versions through kills, freezes and outages of separate processes."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import functools
import json
import pathlib
import signal

import pytest

from peridotpost.kernel import counters
from peridotpost.standins import mesh
from peridotpost.store import etcd
from peridotpost.store import store
from peridotpost.store import versions
from testing import processes

StartMesh = Callable[..., processes.RunningMesh]
QUICK = {
    'timing': {
        'probe_period_s': 0.5,
        'suspicion_s': 2.0,
        'seed_period_s': 1.0,
        'reconcile_period_s': 2.0,
    }
}
pytestmark = pytest.mark.processes


def start(
    running_mesh: StartMesh, text: str, hosts_per_zone: int = 2
) -> processes.RunningMesh:
    """Start a mesh without targets and wait until all know each other."""
    one = running_mesh(
        text, hosts_per_zone=hosts_per_zone, targets=False, settings=QUICK
    )
    one.wait_ready()
    wait_live(one, len(one.plan.hosts))
    return one


def wait_live(one: processes.RunningMesh, count: int) -> None:
    for host in one.plan.hosts:
        one.wait(
            functools.partial(has_live, one, host, count),
            f'{host.host} knows {count} live members',
        )


def live_count(one: processes.RunningMesh, host: mesh.PlannedHost) -> int:
    members = one.status(host)['members']
    return sum(member['status'] in ('alive', 'suspect') for member in members)


def has_live(
    one: processes.RunningMesh, host: mesh.PlannedHost, count: int
) -> bool:
    return live_count(one, host) == count


def wait_counted(
    one: processes.RunningMesh, host: mesh.PlannedHost, name: str, count: int
) -> None:
    one.wait(
        lambda: counted(one, host, name) >= count,
        f'{host.host} counted {count} of {name}',
    )


def changed(text: str, deadline_ms: int) -> str:
    return text.replace('deadline_ms: 2000', f'deadline_ms: {deadline_ms}')


def kill(one: processes.RunningMesh, hosts: list[mesh.PlannedHost]) -> None:
    for host in hosts:
        one.signal(f'daemon-{host.host}', signal.SIGKILL)
    for host in hosts:
        one.kill(f'daemon-{host.host}')


def relays(one: processes.RunningMesh, zone: str) -> list[mesh.PlannedHost]:
    hosts = [h for h in one.plan.hosts if h.availability_zone == zone]
    return [host for host in hosts if one.status(host)['relay']]


def check_never_back(one: processes.RunningMesh) -> None:
    """Check on each daemon's time line that versions only rose."""
    for host in one.plan.hosts:
        page = processes.get_json(f'http://{host.admin}/v1/timeline')
        revisions = [
            event['revision']
            for event in page['events']
            if event['kind'] == 'config.in-force'
        ]
        assert revisions == sorted(revisions), host.host


def test_version_arrives_where_all_relays_of_a_zone_were_killed(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Both relays of a zone die at once, and a version is accepted right
    # after.  The daemon left over is its zone's relay from then on and
    # gets it; so do the dead when they return.
    one = start(running_mesh, mesh_text, hosts_per_zone=3)
    zone = one.plan.hosts[0].availability_zone
    one.wait_in_force(one.accept(mesh_text))
    dead = relays(one, zone)
    assert len(dead) == 2
    kill(one, dead)
    revision = one.accept(changed(mesh_text, 2100))
    left = tuple(host for host in one.plan.hosts if host not in dead)
    one.wait_in_force(revision, left)
    for host in dead:
        one.start_daemon(host)
    one.wait_in_force(revision)
    check_never_back(one)


def test_half_of_all_daemons_die_and_return(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Half of all daemons are killed at once, a version is accepted, and
    # they come back together.  All hold the newest and know all others.
    one = start(running_mesh, mesh_text)
    one.wait_in_force(one.accept(mesh_text))
    dead = list(one.plan.hosts[::2])
    kill(one, dead)
    revision = one.accept(changed(mesh_text, 2100))
    one.wait_in_force(revision, one.plan.hosts[1::2])
    for host in dead:
        one.start_daemon(host)
    one.wait_in_force(revision)
    wait_live(one, len(one.plan.hosts))
    check_never_back(one)


def test_all_daemons_return_at_once_into_an_outage_of_the_platform(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # All daemons die and start together while the platform is out, and
    # ask each other.  None may say that it serves, as none has the
    # version; when the platform returns they come in one wave, which must
    # not flood it.
    one = start(running_mesh, mesh_text)
    first = one.accept(mesh_text)
    one.wait_in_force(first)
    kill(one, list(one.plan.hosts))
    one.set_faults(outage=True)
    for host in one.plan.hosts:
        name_peers(host, one.plan.hosts)
        one.start_daemon(host)
    for host in one.plan.hosts:
        wait_counted(one, host, 'reconcile.asked', 4)
        assert one.status(host)['stage'] == 'starting'
    before = store_calls(one)
    one.set_faults(outage=False)
    one.wait_ready()
    for host in one.plan.hosts:
        assert one.status(host)['revision'] == first
    wait_live(one, len(one.plan.hosts))
    calls = store_calls(one) - before
    assert calls < 20 * len(one.plan.hosts), calls


def name_peers(
    host: mesh.PlannedHost, others: Sequence[mesh.PlannedHost]
) -> None:
    """Write peers into the settings of `host`."""
    file = pathlib.Path(host.settings)
    settings = json.loads(file.read_text())
    settings['peers'] = [
        f'127.0.0.1:{other.ports["control_port"]}'
        for other in others
        if other is not host
    ]
    file.write_text(json.dumps(settings))


def store_calls(one: processes.RunningMesh) -> int:
    counts = processes.get_json(f'{one.plan.store}/control/counts')
    return sum(counts.values())


def test_fresh_daemon_gets_the_version_while_the_platform_is_out(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # The platform is out for long, a host is replaced, and its settings
    # name a few peers.  It has the fleet's version when it says ready.
    one = start(running_mesh, mesh_text)
    revision = one.accept(mesh_text)
    one.wait_in_force(revision)
    one.set_faults(outage=True)
    fresh, *others = one.plan.hosts
    kill(one, [fresh])
    name_peers(fresh, others[:3])
    one.start_daemon(fresh)
    one.wait(lambda: one.is_ready(fresh), 'the fresh daemon is ready')
    assert one.status(fresh)['revision'] == revision
    wait_live(one, len(one.plan.hosts))


def test_thawed_relay_takes_the_newest_of_what_it_missed(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # A relay freezes with its streams standing.  Its children must leave
    # it and hear of two versions; thawed, it goes to the newest at once
    # and never back.
    one = start(running_mesh, mesh_text, hosts_per_zone=3)
    one.wait_in_force(one.accept(mesh_text))
    zone = one.plan.hosts[0].availability_zone
    frozen = parent_of_leaf(one, zone)
    one.signal(f'daemon-{frozen.host}', signal.SIGSTOP)
    others = tuple(host for host in one.plan.hosts if host is not frozen)
    one.wait_in_force(one.accept(changed(mesh_text, 2100)), others)
    newest = one.accept(changed(mesh_text, 2200))
    one.wait_in_force(newest, others)
    one.signal(f'daemon-{frozen.host}', signal.SIGCONT)
    one.wait_in_force(newest)
    check_never_back(one)


def parent_of_leaf(one: processes.RunningMesh, zone: str) -> mesh.PlannedHost:
    """Return the relay from which a daemon of `zone` hears."""
    hosts = [h for h in one.plan.hosts if h.availability_zone == zone]
    leaf = next(h for h in hosts if not one.status(h)['relay'])
    parents = one.status(leaf)['parent']
    return next(host for host in hosts if host.host in parents)


def test_damaged_value_under_the_head_key_changes_nothing(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Another client of the platform writes over the head key: no JSON, no
    # text, a text that does not match its hash.  No daemon may apply any
    # of it; the relays count it; a good version that is put in its place
    # is in force everywhere.
    one = start(running_mesh, mesh_text, hosts_per_zone=1)
    first = one.accept(mesh_text)
    one.wait_in_force(first)
    good = asyncio.run(overwrite_head(one, b'\x00\xff'))
    mismatched = good.replace(b'"sha256": "', b'"sha256": "0')
    for seen, value in enumerate((b'{"format": 1, "text": 7}', mismatched)):
        for host in one.plan.hosts:
            wait_counted(one, host, 'source.rejected', seen + 1)
        asyncio.run(overwrite_head(one, value))
    for host in one.plan.hosts:
        wait_counted(one, host, 'source.rejected', 3)
        assert one.status(host)['revision'] == first
    asyncio.run(overwrite_head(one, good))
    one.wait_in_force(first + 4)
    check_never_back(one)


def counted(
    one: processes.RunningMesh, host: mesh.PlannedHost, name: str
) -> int:
    page = processes.get_json(f'http://{host.admin}/v1/counters')
    return int(page['totals'].get(name, 0))


async def overwrite_head(one: processes.RunningMesh, value: bytes) -> bytes:
    """Write over the head key; return the value that stood there."""
    with etcd.etcd_store(
        [one.plan.store], 2.0, 5.0, counters.Counters()
    ) as client:
        key = versions.head_key(one.plan.mesh)
        standing = (await client.read(key)).unwrap()
        assert standing is not None
        put = store.Put(key, value)
        (await client.swap(key, standing.revision, [put])).unwrap()
    return standing.value
