"""What a target stated outlives a restart of the daemon beside it."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from peridotpost.model import instances
from peridotpost.proxy import guard as guards
from peridotpost.proxy import peers
from testing import conditions
from testing import proxies

HELD = 60


@contextlib.asynccontextmanager
async def three_hosts() -> AsyncIterator[
    tuple[proxies.Mesh, proxies.Host, proxies.Host]
]:
    """Run two targets and a host of another zone that calls them."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        target = await mesh.add('a', slots=HELD)
        other = await mesh.add('b', slots=HELD)
        sender = await mesh.add('c', zone='hel-b', service='vault')
        await target.announce()
        await other.announce()
        await mesh.wait_ready()
        yield mesh, target, sender


async def _announce_until_ready(mesh: proxies.Mesh, name: str) -> None:
    """Announce a target as ready until all hosts are connected to it."""
    host = mesh.hosts[name]
    assert await host.announce() == 200
    for one in mesh.hosts.values():
        if one is host:
            continue
        known = one.proxy.directory.peers
        await conditions.until(
            lambda known=known: (  # type: ignore[misc]
                name in known
                and known[name].stream is not None
                and known[name].status_known
                and known[name].record.incarnation
                == host.proxy.own_record.incarnation
            )
        )


async def test_leaving_target_gets_nothing_after_its_daemon_restarts() -> None:
    """Guards against a restarted daemon that believes a late heartbeat."""
    async with three_hosts() as (mesh, target, sender):
        target.worker.leaving = '1'
        await sender.ask_until_run_by(target)
        before = len(target.worker.runs)
        await mesh.restart_proxy('a')
        await _announce_until_ready(mesh, 'a')
        for number in range(20):
            answer = await sender.ask('/read/ok', attempt=f'n{number}')
            assert answer.status == 200
        assert len(target.worker.runs) == before


async def test_limit_holds_after_the_daemon_of_the_target_restarts() -> None:
    """Guards against a full set of slots until the first answer is read."""
    async with three_hosts() as (mesh, target, sender):
        target.worker.limit = '2'
        await sender.ask_until_run_by(target)
        before = len(target.worker.runs)
        target = await mesh.restart_proxy('a')
        await _announce_until_ready(mesh, 'a')
        other = mesh.hosts['b']
        held = [
            asyncio.ensure_future(
                sender.ask('/write/hold', method='POST', attempt=f'h{number}')
            )
            for number in range(HELD)
        ]
        queue = target.proxy.guard.queue

        def all_placed() -> bool:
            running = target.worker.running + other.worker.running
            return running + len(queue.waiting) == HELD

        await conditions.until(all_placed)
        reached = len(target.worker.runs) - before
        for host in (target, other):
            host.worker.release.set()
        answers = await asyncio.gather(*held)
        assert {one.status for one in answers} == {200}
        assert reached <= 5


async def test_statement_reaches_a_daemon_that_restarted_in_a_cut(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a host that comes back from a cut and sends first."""
    cut = False
    dial = peers.dial

    async def dial_unless_cut(
        owner: peers.StreamOwner,
        guard: guards.Guard,
        record: instances.HostRecord,
    ) -> peers.PeerStream:
        if cut:
            raise OSError('cut off')
        return await dial(owner, guard, record)

    async with three_hosts() as (mesh, target, sender):
        target.worker.leaving = '1'
        await sender.ask_until_run_by(target)
        before = len(target.worker.runs)
        monkeypatch.setattr(peers, 'dial', dial_unless_cut)
        cut = True
        for stream in sender.proxy.directory.streams():
            stream.close()
        target = await mesh.restart_proxy('a')
        assert await target.announce() == 200
        await conditions.until(
            lambda: sender.proxy.directory.peers['a'].stream is None
        )
        cut = False
        await _announce_until_ready(mesh, 'a')
        other = sender.proxy.directory.peers['b']
        await conditions.until(lambda: other.candidate.ready)
        for number in range(20):
            answer = await sender.ask('/read/ok', attempt=f'n{number}')
            assert answer.status == 200
        assert len(target.worker.runs) == before


@pytest.mark.parametrize(
    'leaves_first',
    [
        pytest.param(False, id='draining'),
        pytest.param(True, id='deregistered'),
    ],
)
async def test_late_heartbeat_does_not_revive_a_target_after_a_restart(
    leaves_first: bool,
) -> None:
    """Guards against a heartbeat from before a drain that was acknowledged."""
    async with three_hosts() as (mesh, target, sender):
        if leaves_first:
            await target.send_rpc('instances.leave', 'i-a', b'{"born":1000}')
        else:
            await target.announce(state='draining')
        known = sender.proxy.directory.peers['a'].candidate
        await conditions.until(lambda: not known.ready)
        await mesh.restart_proxy('a')
        await _announce_until_ready(mesh, 'a')
        for number in range(20):
            answer = await sender.ask('/read/ok', attempt=f'n{number}')
            assert answer.status == 200
        assert not target.worker.runs
        assert await mesh.hosts['a'].announce(born=3000) == 200
        await conditions.until(lambda: known.ready)
