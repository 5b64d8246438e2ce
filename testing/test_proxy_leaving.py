"""Targets and proxies that leave get no new work and abort no running work."""

import asyncio

import pytest

from peridotpost.decisions import incarnations
from peridotpost.decisions import memoryaccount
from peridotpost.model import instances
from testing import conditions
from testing import proxies

READY = instances.InstanceState.READY
DRAINING = instances.InstanceState.DRAINING


def announcement(
    instance: str = 'i-1',
    born: int = 1000,
    sequence: int = 1,
    state: instances.InstanceState = READY,
) -> instances.Announcement:
    return instances.Announcement(
        instance, born, sequence, 'register', '127.0.0.1', 80, 4, state
    )


@pytest.mark.parametrize(
    ('before', 'late', 'current'),
    [
        pytest.param([], announcement(), 'i-1', id='first'),
        pytest.param(
            [announcement(sequence=5, state=DRAINING)],
            announcement(sequence=4),
            None,
            id='ready from before the drain',
        ),
        pytest.param(
            [announcement(sequence=5, state=DRAINING)],
            announcement(sequence=6),
            None,
            id='ready again after the drain',
        ),
        pytest.param(
            [announcement('i-2', born=2000)],
            announcement('i-1', born=1000, sequence=99),
            'i-2',
            id='delayed message of a dead incarnation',
        ),
        pytest.param(
            [announcement(born=1000, sequence=50)],
            announcement(born=2000, sequence=1),
            'i-1',
            id='same id, restarted',
        ),
        pytest.param(
            [
                announcement(born=1000, state=DRAINING),
                announcement(born=2000, sequence=1),
            ],
            announcement(born=1000, sequence=99),
            'i-1',
            id='same id, message of the earlier incarnation',
        ),
        pytest.param(
            [announcement(sequence=99)],
            announcement(sequence=5, state=DRAINING),
            None,
            id='drain with an earlier sequence number',
        ),
        pytest.param(
            [announcement(born=2000)],
            announcement(born=1000, sequence=99, state=DRAINING),
            'i-1',
            id='drain of the earlier incarnation',
        ),
    ],
)
def test_late_announcement_never_revives_a_target(
    before: list[instances.Announcement],
    late: instances.Announcement,
    current: str | None,
) -> None:
    log = incarnations.InstanceTracker()
    for one in before:
        log.offer(one)
    log.offer(late)
    known = log.current
    ready = known.instance if known and known.state is READY else None
    assert ready == current


def test_target_that_left_is_ignored_until_it_restarts() -> None:
    log = incarnations.InstanceTracker()
    log.offer(announcement(born=1000, sequence=3))
    assert log.leave('i-1', 1000)
    assert not log.offer(announcement(born=1000, sequence=4))
    assert log.offer(announcement(born=3000, sequence=1))


async def test_target_with_acknowledged_drain_gets_no_requests() -> None:
    """A target begins to drain while requests are queued for its slots.

    The queued requests go to another target, and it gets no further ones.
    """
    async with proxies.running() as mesh:
        # With this latency objective all ten requests may queue for the four
        # slots of the only target.
        write = proxies.route('write', '/write/', 'unsafe', 1, 'register')
        write |= {'targetLatencyMs': 3900}
        await mesh.kv.configure(proxies.config(routes=[write]))
        first = await mesh.add('a')
        second = await mesh.add('b')
        await first.announce()
        await mesh.wait_ready()
        held = [
            asyncio.ensure_future(
                first.ask('/write/hold', method='POST', attempt=f'h{number}')
            )
            for number in range(10)
        ]
        queue = first.proxy.guard.queue
        await conditions.until(
            lambda: len(first.worker.runs) == 4 and len(queue.waiting) == 6
        )
        await second.announce()
        await mesh.wait_ready()
        assert await first.announce(state='draining') == 200
        assert not queue.waiting
        await conditions.until(lambda: len(second.worker.runs) == 4)
        for host in (first, second):
            host.worker.release.set()
        answers = await asyncio.gather(*held)
        later = [
            await first.ask('/write/ok', method='POST', attempt=f'l{number}')
            for number in range(5)
        ]
        assert {one.status for one in [*answers, *later]} == {200}
        assert len(first.worker.runs) == 4
        assert len(second.worker.runs) == 6 + 5


async def test_drain_is_kept_after_a_heartbeat_of_another_writer() -> None:
    """Guards against an acknowledged drain without effect.

    Another process had sent a heartbeat of the target with a higher sequence
    number.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        assert await host.announce(seq=1000) == 200
        assert await host.announce(state='draining') == 200
        assert not host.proxy.guard.status().ready
        assert await host.announce(seq=1001) == 200
        assert not host.proxy.guard.status().ready
        assert (await host.ask('/read/ok')).status == 503
        assert host.worker.runs == []


async def test_target_that_leaves_without_drain_gets_no_requests() -> None:
    async with proxies.pair() as (_, first, second):
        status = await first.send_rpc(
            'instances.leave', 'i-a', b'{"born":1000}'
        )
        assert status == 200
        for number in range(5):
            answer = await second.ask('/read/ok', attempt=f'l{number}')
            assert answer.status == 200
        assert not first.worker.runs


@pytest.mark.parametrize(
    'body',
    [
        pytest.param(b'', id='empty'),
        pytest.param(b'\xff\x00', id='not JSON'),
        pytest.param(b'{"service":"register"}', id='fields missing'),
        pytest.param(
            b'{"service":"register","address":"127.0.0.1:80","slots":"4",'
            b'"state":"ready","seq":1}',
            id='field of another type',
        ),
        pytest.param(
            b'{"service":"register","address":"127.0.0.1:80","slots":4,'
            b'"state":"dancing","seq":1}',
            id='unknown state',
        ),
        pytest.param(
            b'{"service":"unknown","address":"127.0.0.1:80","slots":4,'
            b'"state":"ready","seq":1}',
            id='another service',
        ),
    ],
)
async def test_invalid_announcement_is_rejected(body: bytes) -> None:
    async with proxies.pair() as (_, first, _second):
        before = first.proxy.guard.status()
        status = await first.send_rpc('instances.heartbeat', 'i-x', body)
        assert status == 400
        assert first.proxy.guard.status() == before


async def test_stopping_proxy_answers_its_pending_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A proxy answers all its requests before it stops.

    At the stop it has a request of a caller and one from another proxy.
    """
    monkeypatch.setattr('peridotpost.mesh.daemon.GUARD_STOP_DELAY_S', 0.0)
    monkeypatch.setattr('peridotpost.mesh.daemon.LISTEN_STOP_DELAY_S', 0.0)
    async with proxies.pair() as (_, first, second):
        await second.send_rpc('instances.leave', 'i-b', b'')
        await conditions.until(
            lambda: not second.proxy.directory.own_candidate.ready
        )
        from_caller = asyncio.ensure_future(
            first.ask('/read/hold', attempt='h1')
        )
        from_peer = asyncio.ensure_future(
            second.ask('/write/hold', method='POST', attempt='h2')
        )
        await conditions.until(lambda: len(first.worker.runs) == 2)
        leaving = asyncio.ensure_future(first.proxy.leave())
        await conditions.until(lambda: first.proxy.guard.leaving)
        first.worker.release.set()
        answers = await asyncio.gather(from_caller, from_peer)
        await leaving
        assert [one.status for one in answers] == [200, 200]
        assert answers[0].headers['connection'] == 'close'


async def test_stopping_proxy_accepts_no_new_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stopping proxy that never becomes idle.

    It still has a long request running.  Callers keep sending requests on open
    and new connections, and the last ones that it accepted are aborted when it
    is killed.
    """
    monkeypatch.setattr('peridotpost.mesh.daemon.GUARD_STOP_DELAY_S', 0.0)
    monkeypatch.setattr('peridotpost.mesh.daemon.LISTEN_STOP_DELAY_S', 0.0)
    async with proxies.pair() as (_, first, _second):
        held = asyncio.ensure_future(first.ask('/read/hold'))
        await conditions.until(lambda: first.proxy.requests.busy_count == 1)
        async with first.caller() as idle:
            assert (await idle.ask('/read/ok')).status == 200
            leaving = asyncio.ensure_future(first.proxy.leave())
            assert await idle.reader.read() == b''
        with pytest.raises(ConnectionRefusedError):
            await first.ask('/read/ok')
        assert not held.done()
        for host in (first, _second):
            host.worker.release.set()
        assert (await held).status == 200
        await leaving


async def leave_and_list_undelivered(host: proxies.Host) -> list[object]:
    """Stop a proxy; return what was not delivered when it was done."""
    await host.proxy.leave()
    deliveries: list[object] = [
        one for one in host.proxy.requests.connections if one.occupied
    ]
    deliveries += [
        one for one in host.proxy.directory.accepted_streams if one.delivers
    ]
    return deliveries


@pytest.mark.parametrize('remote', [False, True])
async def test_stopping_proxy_delivers_responses_to_slow_readers(
    remote: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that cuts off responses in write buffers.

    They counted as sent, so the process ended within its grace period with
    most of a response unsent.
    """
    monkeypatch.setattr('peridotpost.mesh.daemon.GUARD_STOP_DELAY_S', 0.0)
    monkeypatch.setattr('peridotpost.mesh.daemon.LISTEN_STOP_DELAY_S', 0.0)
    size = 20_000_000
    async with proxies.pair() as (_, first, second):
        await second.send_rpc('instances.leave', 'i-b', b'')
        await conditions.until(
            lambda: not second.proxy.directory.own_candidate.ready
        )
        account = second.proxy.memory
        taken = account.limits[memoryaccount.Kind.RESPONSE]
        if remote:
            # The other proxy does not ask for the response yet.
            assert account.take(memoryaccount.Kind.RESPONSE, taken)
        ingress = second if remote else first
        async with ingress.caller() as caller:
            caller.send(f'/read/sized?size={size}')
            await conditions.until(
                lambda: bool(
                    account.waiting_count
                    if remote
                    else any(
                        one.delivering
                        for one in first.proxy.requests.connections
                    )
                )
            )
            leaving = asyncio.ensure_future(leave_and_list_undelivered(first))
            await conditions.until(lambda: first.proxy.requests.server is None)
            if remote:
                account.give_back(taken)
            answer = await caller.receive()
            assert len(answer.body) == size
        assert await leaving == []
