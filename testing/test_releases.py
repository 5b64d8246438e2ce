"""Tests of releases with complete proxies, a store and two versions."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

import pytest

from peridotpost.decisions import releaseplan
from peridotpost.mesh import releasecoordinator
from peridotpost.model import release
from testing import conditions
from testing import proxies

STATUS = 'status/rollout/register'
COORDINATOR = 'peridotpost/coordinators/register'


@pytest.fixture(autouse=True)
def short_stages(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the stages to about a tenth of their duration."""
    for name, seconds in (
        ('MIN_CANARY_S', 0.3),
        ('DRAIN_ALLOWANCE_S', 0.2),
        ('SHIFT_STEP_S', 0.1),
        ('CANARY_HOST_INTERVAL_S', 0.1),
    ):
        monkeypatch.setattr(releaseplan, name, seconds)
    monkeypatch.setattr(releaseplan, 'MIN_NEW_RUNS', 5)
    monkeypatch.setattr(releasecoordinator, 'COORDINATOR_TIMEOUT_S', 0.8)


@contextlib.asynccontextmanager
async def two_versions() -> AsyncIterator[proxies.Mesh]:
    """Start two hosts with targets of v1, then two with targets of v2."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        for name in ('a', 'b'):
            host = await mesh.add(name, slots=20)
            await host.announce()
        await mesh.wait_ready()
        for name in ('c', 'd'):
            host = await mesh.add(name, slots=20)
            await host.announce(version='v2')
        await mesh.wait_ready()
        yield mesh


async def order(mesh: proxies.Mesh, **given: Any) -> None:
    fields = {'service': 'register', 'targetVersion': 'v2', 'durationS': 1.5}
    await mesh.kv.put(
        'op/rollout/register', json.dumps(fields | given).encode()
    )


def state(mesh: proxies.Mesh) -> str:
    item = mesh.kv.items.get(STATUS)
    if item is None:
        return ''
    status = json.loads(item.value)
    return f'{status["state"]} {status["targetVersion"]}'


async def has_status(mesh: proxies.Mesh, wanted: str) -> None:
    await conditions.until(lambda: state(mesh) == wanted, wanted)


def stage_at(host: proxies.Host) -> release.Stage | None:
    known = host.proxy.releases.split.state('register')
    return known.stage if known is not None else None


async def stop_coordinator(mesh: proxies.Mesh) -> str:
    """Stop the release's coordinator and end its lease; return its host."""
    claim = mesh.kv.items[COORDINATOR]
    host = claim.value.decode()
    await mesh.hosts[host].proxy.releases.close()
    await mesh.kv.end_lease(claim.lease)
    return host


def runs(mesh: proxies.Mesh, *names: str) -> int:
    return sum(len(mesh.hosts[name].worker.runs) for name in names)


@contextlib.asynccontextmanager
async def traffic(
    mesh: proxies.Mesh, action: str = 'ok'
) -> AsyncIterator[list[int]]:
    """Send requests continuously at all hosts; yield the statuses.

    :param action: what targets of the new version do with a request.
    """
    statuses: list[int] = []
    for name in ('c', 'd'):
        mesh.hosts[name].worker.forced_action = action

    async def ask(host: proxies.Host, number: int) -> None:
        count = 0
        async with host.caller() as caller:
            while True:
                count += 1
                answer = await caller.ask(
                    '/read/ok', attempt=f'{host.name}{number}-{count}'
                )
                statuses.append(answer.status)
                await asyncio.sleep(0.002)

    callers = [
        asyncio.ensure_future(ask(host, number))
        for host in mesh.hosts.values()
        for number in range(2)
    ]
    try:
        yield statuses
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def test_new_version_gets_no_requests_without_an_order() -> None:
    async with two_versions() as mesh, traffic(mesh) as statuses:
        await conditions.until(lambda: len(statuses) >= 200)
        assert runs(mesh, 'c', 'd') == 0
        assert set(statuses) == {200}


async def test_healthy_version_replaces_the_old_one() -> None:
    async with two_versions() as mesh, traffic(mesh) as statuses:
        await order(mesh)
        await has_status(mesh, 'running v2')
        await has_status(mesh, 'completed v2')
        assert all(
            mesh.hosts[name].proxy.guard.has_no_work for name in ('a', 'b')
        )
        before, new = runs(mesh, 'a', 'b'), runs(mesh, 'c', 'd')
        await conditions.until(lambda: runs(mesh, 'c', 'd') >= new + 100)
        assert runs(mesh, 'a', 'b') == before
        assert set(statuses) == {200}


async def test_failing_version_is_rolled_back() -> None:
    async with two_versions() as mesh, traffic(mesh, 'failed') as statuses:
        await order(mesh)
        await has_status(mesh, 'rolled_back v2')
        await conditions.until(
            lambda: all(
                stage_at(host) is release.Stage.ROLLED_BACK
                for host in mesh.hosts.values()
            )
        )
        new, old = runs(mesh, 'c', 'd'), runs(mesh, 'a', 'b')
        assert new <= 0.1 * (new + old) + 50
        await conditions.until(lambda: runs(mesh, 'a', 'b') >= old + 100)
        assert runs(mesh, 'c', 'd') == new
        assert set(statuses) <= {200, 500}


async def test_release_continues_after_its_coordinator_is_killed() -> None:
    """The coordinator is killed and its lease lapses."""
    async with two_versions() as mesh, traffic(mesh):
        await order(mesh, durationS=3.0)
        await has_status(mesh, 'running v2')
        former = await stop_coordinator(mesh)
        await has_status(mesh, 'completed v2')
        known = mesh.hosts['a'].proxy.releases.split.state('register')
        assert known is not None and known.coordinator != former


async def test_rollback_is_written_after_its_coordinator_is_killed() -> None:
    """The coordinator is killed after announcing it, before writing it."""
    async with two_versions() as mesh, traffic(mesh, 'failed'):
        await order(mesh, durationS=30.0)
        await has_status(mesh, 'running v2')
        mesh.kv.status = 503
        await conditions.until(
            lambda: stage_at(mesh.hosts['a']) is release.Stage.ROLLED_BACK
        )
        await stop_coordinator(mesh)
        mesh.kv.status = 0
        await has_status(mesh, 'rolled_back v2')


async def test_joining_daemon_learns_of_a_rollback() -> None:
    async with two_versions() as mesh:
        async with traffic(mesh, 'failed'):
            await order(mesh)
            await has_status(mesh, 'rolled_back v2')
        host = await mesh.add('e', slots=20)
        await conditions.until(
            lambda: stage_at(host) is release.Stage.ROLLED_BACK
        )
        await host.announce(version='v2')
        assert not host.proxy.guard.status().ready


async def test_second_order_replaces_the_first() -> None:
    """The operator orders v3 while v2 is still being evaluated."""
    async with two_versions() as mesh, traffic(mesh):
        await order(mesh, durationS=60.0)
        await has_status(mesh, 'running v2')
        host = mesh.hosts['d']
        await host.announce(version='v3', born=2000)
        await order(mesh, targetVersion='v3')
        await has_status(mesh, 'completed v3')
        assert not mesh.hosts['c'].proxy.guard.status().ready


async def test_order_for_the_current_version_completes() -> None:
    async with two_versions() as mesh, traffic(mesh):
        await order(mesh)
        await has_status(mesh, 'completed v2')
        done = mesh.kv.items[STATUS].revision
        for name in ('a', 'b'):
            await mesh.hosts[name].send_rpc(
                'instances.leave', mesh.hosts[name].worker.instance, b''
            )
        await order(mesh)
        await conditions.until(
            lambda: (
                state(mesh) == 'completed v2'
                and mesh.kv.items[STATUS].revision > done
            )
        )


@pytest.mark.parametrize(
    'raw',
    [
        pytest.param(b'no JSON', id='garbage'),
        pytest.param(b'{"targetVersion": "v2"}', id='no duration'),
        pytest.param(
            b'{"targetVersion": "v2", "durationS": -1}', id='negative'
        ),
        pytest.param(b'{"targetVersion": "", "durationS": 5}', id='empty'),
    ],
)
async def test_invalid_order_is_ignored(
    raw: bytes,
) -> None:
    async with two_versions() as mesh, traffic(mesh) as statuses:
        await mesh.kv.put('op/rollout/register', raw)
        await mesh.kv.configure(proxies.config(2))
        await conditions.until(
            lambda: all(
                host.proxy.versions.version == 2
                for host in mesh.hosts.values()
            )
        )
        await conditions.until(lambda: len(statuses) >= 100)
        assert runs(mesh, 'c', 'd') == 0
        assert not state(mesh)
