"""A departure that was acknowledged holds after all processes were killed."""

import asyncio

import pytest

from peridotpost.decisions import departures
from peridotpost.model import instances
from testing import conditions
from testing import proxies

LEFT = instances.Incarnation('i-a', 1000)


async def kill_all(mesh: proxies.Mesh) -> None:
    """End all proxies, and start new ones beside the same targets."""
    for host in mesh.hosts.values():
        await host.exit_stack.aclose()
    for name in list(mesh.hosts):
        await mesh.restart_proxy(name)


async def announce_departure(host: proxies.Host, how: str) -> int:
    if how == 'leave':
        return await host.send_rpc(
            'instances.leave', host.worker.instance, b'{"born":1000}'
        )
    if how == 'leave without a start time':
        return await host.send_rpc(
            'instances.leave', host.worker.instance, b''
        )
    return await host.announce(state='draining')


@pytest.mark.parametrize(
    'how', ['leave', 'leave without a start time', 'draining']
)
async def test_late_heartbeat_after_a_loss_of_all_processes_is_ignored(
    how: str,
) -> None:
    """Guards against a departure that only processes remember.

    All were killed after the acknowledgement, and a heartbeat from before
    brought the target back.
    """
    async with proxies.pair() as (mesh, leaving, _):
        late = leaving.sequence + 1
        leaving.sequence += 1
        assert await announce_departure(leaving, how) == 200
        await kill_all(mesh)
        leaving, other = mesh.hosts.values()
        assert await leaving.announce(seq=late) == 200
        assert not leaving.proxy.guard.status().ready
        await other.announce()
        await mesh.wait_ready()
        for number in range(5):
            answer = await leaving.ask('/read/ok', attempt=f'l{number}')
            assert answer.status == 200
        assert not leaving.worker.runs
        # A new start of the target under its id is not affected.
        assert await leaving.announce(seq=1, born=2000) == 200
        assert leaving.proxy.guard.status().ready


async def test_departure_stated_in_a_response_is_stored() -> None:
    """Guards against a stated departure that only processes remember."""
    async with proxies.pair() as (mesh, leaving, other):
        leaving.worker.leaving = '1'
        await other.ask_until_run_by(leaving)
        await conditions.until(
            lambda: leaving.proxy.departures.departures.is_complete
        )
        await kill_all(mesh)
        leaving, _ = mesh.hosts.values()
        assert await leaving.announce() == 200
        assert not leaving.proxy.guard.status().ready


async def test_departure_is_acknowledged_only_once_it_is_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an acknowledgement that a lost process takes along.

    The store is away.  The departure takes effect all the same, and is
    acknowledged when the store is back.
    """
    monkeypatch.setattr('peridotpost.mesh.departures.ANSWER_TIMEOUT_S', 0.05)
    async with proxies.pair() as (mesh, leaving, other):
        mesh.kv.status = 503
        assert await announce_departure(leaving, 'leave') == 503
        assert await announce_departure(leaving, 'draining') == 503
        assert (await other.ask('/read/ok')).status == 200
        assert not leaving.worker.runs
        mesh.kv.status = 0
        await conditions.until(
            lambda: leaving.proxy.departures.departures.is_complete
        )
        assert await announce_departure(leaving, 'leave') == 200


async def test_repeated_departure_makes_no_more_calls() -> None:
    """Guards against a call to the store for each heartbeat of a drain."""
    async with proxies.pair() as (mesh, leaving, _):
        assert await announce_departure(leaving, 'draining') == 200
        before = mesh.kv.calls.count('/-/kv-txn')
        for how in ('draining', 'draining', 'leave', 'leave'):
            assert await announce_departure(leaving, how) == 200
        without_start = 'leave without a start time'
        assert await announce_departure(leaving, without_start) == 200
        assert mesh.kv.calls.count('/-/kv-txn') == before


async def test_write_with_a_lost_answer_is_acknowledged_later() -> None:
    """Guards against a write that is repeated for ever, or forgotten."""
    async with proxies.pair() as (mesh, leaving, _):
        mesh.kv.lose_answers = True
        asking = asyncio.ensure_future(announce_departure(leaving, 'leave'))
        key = 'peridotpost/departures/a'
        await conditions.until(lambda: mesh.kv.calls.count('/-/kv-lease') > 3)
        mesh.kv.lose_answers = False
        await asking
        await conditions.until(
            lambda: leaving.proxy.departures.departures.is_complete
        )
        assert b'"i-a":1000' in mesh.kv.items[key].value
        assert await announce_departure(leaving, 'leave') == 200


async def test_departures_of_an_earlier_process_are_kept() -> None:
    """Guards against a write that replaces what another process wrote."""
    async with proxies.pair() as (mesh, leaving, _):
        await mesh.kv.put(
            'peridotpost/departures/a', b'{"ended":{"i-before":900}}'
        )
        assert await announce_departure(leaving, 'leave') == 200
        value = mesh.kv.items['peridotpost/departures/a'].value
        assert b'"i-before":900' in value and b'"i-a":1000' in value


async def test_unreadable_entry_of_another_writer_is_replaced() -> None:
    async with proxies.pair() as (mesh, leaving, _):
        await mesh.kv.put('peridotpost/departures/a', b'\xff')
        assert await announce_departure(leaving, 'leave') == 200
        value = mesh.kv.items['peridotpost/departures/a'].value
        assert b'"i-a":1000' in value


async def test_restarted_proxy_without_the_store_trusts_its_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a target without work until the store is back.

    A peer that followed the process before knows whether the target left.
    """
    monkeypatch.setattr('peridotpost.mesh.departures.ANSWER_TIMEOUT_S', 0.05)
    async with proxies.pair() as (mesh, _, other):
        await mesh.hosts['a'].exit_stack.aclose()
        mesh.kv.status = 503
        restarted = await mesh.restart_proxy('a')
        assert await restarted.announce() == 200
        assert not restarted.proxy.guard.status().ready
        # The peer finds the new process, as it would by its host record.
        other.proxy.directory.add_record(restarted.proxy.own_record)
        await conditions.until(lambda: restarted.proxy.guard.status().ready)


async def test_new_proxy_without_the_store_gives_its_target_no_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against believing a heartbeat before departures are known."""
    monkeypatch.setattr('peridotpost.mesh.departures.ANSWER_TIMEOUT_S', 0.05)
    async with proxies.pair() as (mesh, leaving, _):
        assert await announce_departure(leaving, 'leave') == 200
        for host in mesh.hosts.values():
            await host.exit_stack.aclose()
        mesh.kv.status = 503
        first = await mesh.restart_proxy('a')
        second = await mesh.restart_proxy('b')
        second.proxy.directory.add_record(first.proxy.own_record)
        first.proxy.directory.add_record(second.proxy.own_record)
        await conditions.until(
            lambda: len(first.proxy.directory.streams()) == 2
        )
        assert await first.announce() == 200
        assert not first.proxy.guard.status().ready
        mesh.kv.status = 0
        await conditions.until(lambda: first.proxy.departures.is_known)
        assert not first.proxy.guard.status().ready


def test_only_the_latest_departures_are_kept() -> None:
    log = departures.DepartureLog()
    for number in range(departures.MAX_ENTRIES + 3):
        log.announce(instances.Incarnation(f'i-{number}', number))
    assert len(log.announced) == departures.MAX_ENTRIES
    assert 'i-0' not in log.announced
    written = dict(log.announced)
    log.note_written(written, 7)
    assert log.is_complete
    log.announce(instances.Incarnation('i-5', 4))
    assert log.is_complete
    log.announce(instances.Incarnation('i-5', 6))
    assert not log.is_complete


@pytest.mark.parametrize(
    ('read_failed', 'vouched', 'known'),
    [
        pytest.param(False, True, False, id='store not asked yet'),
        pytest.param(True, False, False, id='nobody knows'),
        pytest.param(True, True, True, id='a peer knows'),
    ],
)
def test_departures_are_known_without_the_store_from_a_peer(
    read_failed: bool, vouched: bool, known: bool
) -> None:
    log = departures.DepartureLog(read_failed=read_failed, vouched=vouched)
    log.announce(LEFT)
    assert log.is_known == known
    assert log.note_read(instances.StoredDepartures({}, 0)) == []
    assert log.is_known
    assert not log.is_complete
