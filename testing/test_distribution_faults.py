"""Distribution of versions while daemons are killed, paused or cut off."""

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
FAST_TIMING = {
    'timing': {
        'probe_period_s': 0.5,
        'suspicion_s': 2.0,
        'seed_period_s': 1.0,
        'reconcile_period_s': 2.0,
    }
}
pytestmark = pytest.mark.processes


def start_mesh(
    running_mesh: StartMesh, text: str, hosts_per_zone: int = 2
) -> processes.RunningMesh:
    """Start a mesh without targets and wait for complete member lists."""
    running = running_mesh(
        text,
        hosts_per_zone=hosts_per_zone,
        targets=False,
        settings=FAST_TIMING,
    )
    running.wait_ready()
    wait_live(running, len(running.plan.hosts))
    return running


def wait_live(running: processes.RunningMesh, count: int) -> None:
    for host in running.plan.hosts:
        running.wait(
            functools.partial(has_live, running, host, count),
            f'{host.host} knows {count} live members',
        )


def live_count(running: processes.RunningMesh, host: mesh.PlannedHost) -> int:
    members = running.status(host)['members']
    return sum(member['status'] in ('alive', 'suspect') for member in members)


def has_live(
    running: processes.RunningMesh, host: mesh.PlannedHost, count: int
) -> bool:
    return live_count(running, host) == count


def wait_for_counter(
    running: processes.RunningMesh,
    host: mesh.PlannedHost,
    name: str,
    count: int,
) -> None:
    running.wait(
        lambda: counter_value(running, host, name) >= count,
        f'{host.host} counted {count} of {name}',
    )


def with_deadline(text: str, deadline_ms: int) -> str:
    return text.replace('deadline_ms: 2000', f'deadline_ms: {deadline_ms}')


def kill_daemons(
    running: processes.RunningMesh, hosts: list[mesh.PlannedHost]
) -> None:
    for host in hosts:
        running.signal(f'daemon-{host.host}', signal.SIGKILL)
    for host in hosts:
        running.kill(f'daemon-{host.host}')


def relays(
    running: processes.RunningMesh, zone: str
) -> list[mesh.PlannedHost]:
    hosts = [h for h in running.plan.hosts if h.availability_zone == zone]
    return [host for host in hosts if running.status(host)['relay']]


def check_revisions_never_decrease(running: processes.RunningMesh) -> None:
    """Check in each daemon's timeline that its revision never decreased."""
    for host in running.plan.hosts:
        page = processes.get_json(f'http://{host.admin}/v1/timeline')
        revisions = [
            event['revision']
            for event in page['events']
            if event['kind'] == 'config.in-force'
        ]
        assert revisions == sorted(revisions), host.host


def test_version_reaches_zone_whose_relays_were_killed(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Both relays of a zone are killed, and a version is accepted right
    # after.  The remaining daemon becomes the relay of its zone and gets
    # the version, as do the killed daemons after their restart.
    running = start_mesh(running_mesh, mesh_text, hosts_per_zone=3)
    zone = running.plan.hosts[0].availability_zone
    running.wait_in_force(running.accept_config(mesh_text))
    killed = relays(running, zone)
    assert len(killed) == 2
    kill_daemons(running, killed)
    revision = running.accept_config(with_deadline(mesh_text, 2100))
    survivors = tuple(
        host for host in running.plan.hosts if host not in killed
    )
    running.wait_in_force(revision, survivors)
    for host in killed:
        running.start_daemon(host)
    running.wait_in_force(revision)
    check_revisions_never_decrease(running)


def test_half_of_daemons_killed_and_restarted(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Half of all daemons are killed at once, a version is accepted, and
    # they restart together.  All daemons get the newest version and know
    # all members again.
    running = start_mesh(running_mesh, mesh_text)
    running.wait_in_force(running.accept_config(mesh_text))
    killed = list(running.plan.hosts[::2])
    kill_daemons(running, killed)
    revision = running.accept_config(with_deadline(mesh_text, 2100))
    running.wait_in_force(revision, running.plan.hosts[1::2])
    for host in killed:
        running.start_daemon(host)
    running.wait_in_force(revision)
    wait_live(running, len(running.plan.hosts))
    check_revisions_never_decrease(running)


def test_all_daemons_restart_during_platform_outage(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # All daemons are killed and restart together during an outage of the
    # platform.  They can only ask each other, and none may report ready,
    # as none has a version.  After the outage all of them reach the
    # platform at once, and their calls must stay bounded.
    running = start_mesh(running_mesh, mesh_text)
    first = running.accept_config(mesh_text)
    running.wait_in_force(first)
    kill_daemons(running, list(running.plan.hosts))
    running.set_faults(outage=True)
    for host in running.plan.hosts:
        write_peers_setting(host, running.plan.hosts)
        running.start_daemon(host)
    for host in running.plan.hosts:
        wait_for_counter(running, host, 'reconcile.asked', 4)
        assert running.status(host)['stage'] == 'starting'
    before = store_calls(running)
    running.set_faults(outage=False)
    running.wait_ready()
    for host in running.plan.hosts:
        assert running.status(host)['revision'] == first
    wait_live(running, len(running.plan.hosts))
    calls = store_calls(running) - before
    assert calls < 20 * len(running.plan.hosts), calls


def write_peers_setting(
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


def store_calls(running: processes.RunningMesh) -> int:
    counts = processes.get_json(f'{running.plan.store}/control/counts')
    return sum(counts.values())


def test_replaced_daemon_gets_version_during_platform_outage(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # A host is replaced during a long outage of the platform; its settings
    # name a few peers.  It gets the fleet's version from them before it
    # reports ready.
    running = start_mesh(running_mesh, mesh_text)
    revision = running.accept_config(mesh_text)
    running.wait_in_force(revision)
    running.set_faults(outage=True)
    replaced, *others = running.plan.hosts
    kill_daemons(running, [replaced])
    write_peers_setting(replaced, others[:3])
    running.start_daemon(replaced)
    running.wait(
        lambda: running.is_ready(replaced), 'the replaced daemon is ready'
    )
    assert running.status(replaced)['revision'] == revision
    wait_live(running, len(running.plan.hosts))


def test_resumed_relay_applies_newest_missed_version(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # A relay is stopped by SIGSTOP while its streams stay open.  Its
    # children must switch to another parent and get two versions.  Once
    # continued, the relay applies the newest directly and never an older
    # one.
    running = start_mesh(running_mesh, mesh_text, hosts_per_zone=3)
    running.wait_in_force(running.accept_config(mesh_text))
    zone = running.plan.hosts[0].availability_zone
    paused = parent_of_leaf(running, zone)
    running.signal(f'daemon-{paused.host}', signal.SIGSTOP)
    others = tuple(host for host in running.plan.hosts if host is not paused)
    running.wait_in_force(
        running.accept_config(with_deadline(mesh_text, 2100)), others
    )
    newest = running.accept_config(with_deadline(mesh_text, 2200))
    running.wait_in_force(newest, others)
    running.signal(f'daemon-{paused.host}', signal.SIGCONT)
    running.wait_in_force(newest)
    check_revisions_never_decrease(running)


def parent_of_leaf(
    running: processes.RunningMesh, zone: str
) -> mesh.PlannedHost:
    """Return the relay that is the parent of a leaf daemon in `zone`."""
    hosts = [h for h in running.plan.hosts if h.availability_zone == zone]
    leaf = next(h for h in hosts if not running.status(h)['relay'])
    parents = running.status(leaf)['parent']
    return next(host for host in hosts if host.host in parents)


def test_invalid_value_under_head_key_is_ignored(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    # Another client of the platform overwrites the head key with invalid
    # JSON, with a text of the wrong type, and with a text that does not
    # match its hash.  No daemon may apply these; the relays count them.  A
    # valid version written afterwards is in force everywhere.
    running = start_mesh(running_mesh, mesh_text, hosts_per_zone=1)
    first = running.accept_config(mesh_text)
    running.wait_in_force(first)
    valid = asyncio.run(overwrite_head(running, b'\x00\xff'))
    mismatched = valid.replace(b'"sha256": "', b'"sha256": "0')
    for rejected_count, value in enumerate(
        (b'{"format": 1, "text": 7}', mismatched)
    ):
        for host in running.plan.hosts:
            wait_for_counter(
                running, host, 'source.rejected', rejected_count + 1
            )
        asyncio.run(overwrite_head(running, value))
    for host in running.plan.hosts:
        wait_for_counter(running, host, 'source.rejected', 3)
        assert running.status(host)['revision'] == first
    asyncio.run(overwrite_head(running, valid))
    running.wait_in_force(first + 4)
    check_revisions_never_decrease(running)


def counter_value(
    running: processes.RunningMesh, host: mesh.PlannedHost, name: str
) -> int:
    page = processes.get_json(f'http://{host.admin}/v1/counters')
    return int(page['totals'].get(name, 0))


async def overwrite_head(
    running: processes.RunningMesh, value: bytes
) -> bytes:
    """Overwrite the head key and return its previous value."""
    with etcd.etcd_store(
        [running.plan.store], 2.0, 5.0, counters.Counters()
    ) as client:
        key = versions.head_key(running.plan.mesh)
        current = (await client.read(key)).unwrap()
        assert current is not None
        put = store.Put(key, value)
        (await client.swap(key, current.revision, [put])).unwrap()
    return current.value
