"""Memory of message bodies: what is held, what waits, what is rejected."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import gc
import os

import pytest

from bench import body_memory
from peridotpost.decisions import memoryaccount
from testing import conditions
from testing import proxies

MB = 1_000_000
MEMORY_MB = 64.0
MEMORY_LIMIT_KB = 256_000
"""The default of the setting ``memory_mb``."""
BODY = os.urandom(4 * MB)
MAX_BODY_BYTES = 1000 * MB
REQUEST = memoryaccount.Kind.REQUEST
RESPONSE = memoryaccount.Kind.RESPONSE


@contextlib.asynccontextmanager
async def running_pair() -> AsyncIterator[tuple[proxies.Host, proxies.Host]]:
    """Run two hosts that may hold 25.6 MB of messages each.

    The configuration allows far larger bodies.
    """
    async with proxies.running() as mesh:
        mesh.setting_changes = {'memory_mb': MEMORY_MB}
        limits = {'maxHeaderBytes': 4096, 'maxBodyBytes': MAX_BODY_BYTES}
        await mesh.kv.configure(proxies.config(limits=limits))
        first = await mesh.add('a')
        second = await mesh.add('b', service='vault')
        await first.announce()
        await second.announce()
        await mesh.wait_ready()
        yield first, second


@pytest.fixture
def no_collections() -> Iterator[None]:
    """Turns garbage collections off, which are rare in a daemon."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def held(host: proxies.Host) -> int:
    return host.proxy.memory.used


async def upload(
    host: proxies.Host, attempt: str, path: str = '/write/ok'
) -> proxies.Answer:
    return await host.ask(path, method='PUT', attempt=attempt, body=BODY)


async def test_closed_connections_hold_no_bodies(
    no_collections: None,
) -> None:
    """Guards against bodies that closed connections keep.

    A process exceeded its memory after thirteen uploads of 20 MB, as each
    connection was freed by the next garbage collection only.
    """
    async with running_pair() as (host, _):
        for number in range(8):
            assert (await upload(host, f'w{number}')).status == 200
        await conditions.until(lambda: held(host) == 0)
        assert len(host.worker.runs) == 8
        assert all(run.body == BODY for run in host.worker.runs)


@pytest.mark.parametrize('remote', [False, True])
async def test_idle_connections_hold_no_bodies(
    remote: bool, no_collections: None
) -> None:
    """Guards against the last message that an idle connection keeps."""
    async with running_pair() as (first, second):
        host = second if remote else first
        async with contextlib.AsyncExitStack() as stack:
            for number in range(3):
                caller = await stack.enter_async_context(host.caller())
                answer = await caller.ask(
                    f'/read/sized?size={3 * MB}',
                    method='PUT',
                    attempt=f'w{number}',
                    body=BODY,
                )
                assert answer.status == 200
                assert answer.body == b'r' * (3 * MB)
            await conditions.until(lambda: held(first) == held(second) == 0)
        assert all(run.body == BODY for run in first.worker.runs)


async def test_chunked_body_is_held_once_and_returned(
    no_collections: None,
) -> None:
    """Guards against bodies without a length that are not charged."""
    async with running_pair() as (host, _), host.caller() as caller:
        caller.send('/write/hold', method='PUT', Transfer_Encoding='chunked')
        for start in range(0, len(BODY), 100_000):
            part = BODY[start : start + 100_000]
            caller.writer.write(b'%x\r\n%b\r\n' % (len(part), part))
        caller.writer.write(b'0\r\n\r\n')
        await host.worker.run_started.wait()
        assert len(BODY) <= held(host) <= len(BODY) + 2 * MB
        host.worker.release.set()
        assert (await caller.receive()).status == 200
        (run,) = host.worker.runs
        assert run.body == BODY
        await conditions.until(lambda: held(host) == 0)


async def test_body_that_never_ends_is_bounded() -> None:
    """Guards against a body without a length that fills the memory."""
    async with running_pair() as (host, _), host.caller() as caller:
        capacity = host.proxy.memory.capacity
        caller.send('/write/ok', method='PUT', Transfer_Encoding='chunked')
        part = b'%x\r\n%b\r\n' % (len(BODY), BODY)
        answering = asyncio.ensure_future(caller.receive())
        with contextlib.suppress(ConnectionError):
            while not answering.done():
                caller.writer.write(part)
                await caller.writer.drain()
                assert held(host) <= capacity
        answer = await answering
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        await conditions.until(lambda: held(host) == 0)
        assert host.worker.runs == []


async def test_uploads_at_once_wait_or_are_rejected_as_not_run() -> None:
    """Guards against bodies under way that together exceed the memory.

    Small requests are served meanwhile.
    """
    async with running_pair() as (host, _), host.caller() as small:
        capacity = host.proxy.memory.capacity
        uploads = [
            asyncio.ensure_future(upload(host, f'w{number}', '/write/hold'))
            for number in range(16)
        ]
        await conditions.until(
            lambda: host.proxy.counts.totals['requests.paused'] > 0
        )
        answer = await small.ask('/other/ok', attempt='small')
        assert answer.status == 200
        await conditions.until(
            lambda: sum(one.done() for one in uploads) >= 12
        )
        rejected = [one.result() for one in uploads if one.done()]
        assert {one.status for one in rejected} == {503}
        assert all(float(one.headers['retry-after']) > 0 for one in rejected)
        assert host.proxy.memory.peak <= capacity
        host.worker.release.set()
        answers = await asyncio.gather(*uploads)
        served = sum(one.status == 200 for one in answers)
        assert served == len(host.worker.runs) > 0
        await conditions.until(lambda: held(host) == 0)


async def test_upload_continues_when_there_is_room_again() -> None:
    """Guards against connections that stay paused, or fail needlessly."""
    async with running_pair() as (host, _):
        memory = host.proxy.memory
        taken = memory.limits[REQUEST]
        assert memory.take(REQUEST, taken)
        uploading = asyncio.ensure_future(upload(host, 'w1'))
        await conditions.until(lambda: memory.waiting_count == 1)
        assert host.worker.runs == []
        memory.give_back(taken)
        assert (await uploading).status == 200
        (run,) = host.worker.runs
        assert run.body == BODY
        await conditions.until(lambda: held(host) == 0)


async def test_pipelined_requests_keep_their_order_while_one_waits() -> None:
    """Guards against a small request that overtakes one without room."""
    async with running_pair() as (host, _), host.caller() as caller:
        memory = host.proxy.memory
        taken = memory.limits[REQUEST]
        assert memory.take(REQUEST, taken)
        large = b'x' * 100_000
        part = b'%x\r\n%b\r\n0\r\n\r\n' % (len(large), large)
        caller.send('/write/ok', 'PUT', 'w1', Transfer_Encoding='chunked')
        caller.writer.write(part)
        caller.send('/write/ok', 'PUT', 'w2', b'small')
        caller.send('/write/ok', 'PUT', 'w3', Transfer_Encoding='chunked')
        caller.writer.write(part)
        await conditions.until(lambda: memory.waiting_count == 1)
        memory.give_back(taken)
        for _ in range(3):
            assert (await caller.receive()).status == 200
        assert host.worker.attempts() == ['w1', 'w2', 'w3']
        assert [len(run.body) for run in host.worker.runs] == [
            100_000,
            5,
            100_000,
        ]
        await conditions.until(lambda: held(host) == 0)


async def test_declared_length_that_never_fits_is_rejected_at_once() -> None:
    """Guards against requests that wait for room that can't come."""
    async with running_pair() as (host, _), host.caller() as caller:
        caller.send('/write/ok', method='PUT', Content_Length=str(30 * MB))
        answer = await caller.receive()
        assert answer.status == 503
        assert answer.headers['connection'] == 'close'
        assert held(host) == 0


async def test_guard_without_room_refuses_a_body_of_another_host() -> None:
    """Guards against bodies that other hosts push into a full process."""
    async with running_pair() as (first, second):
        memory = first.proxy.memory
        taken = memory.limits[REQUEST]
        assert memory.take(REQUEST, taken)
        answer = await upload(second, 'w1')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert first.worker.runs == []
        memory.give_back(taken)
        assert (await upload(second, 'w2')).status == 200
        (run,) = first.worker.runs
        assert run.body == BODY


@pytest.mark.parametrize('remote', [False, True])
async def test_answer_waits_for_room(remote: bool) -> None:
    """Guards against answers that exceed the memory of a process."""
    async with running_pair() as (first, second):
        host = second if remote else first
        memory = host.proxy.memory
        taken = memory.limits[RESPONSE]
        assert memory.take(RESPONSE, taken)
        asking = asyncio.ensure_future(
            host.ask(f'/write/sized?size={4 * MB}', method='PUT', body=b'x')
        )
        await conditions.until(lambda: memory.waiting_count == 1)
        memory.give_back(taken)
        answer = await asking
        assert answer.status == 200
        assert answer.body == b'r' * (4 * MB)
        assert memory.peak <= memory.capacity
        await conditions.until(lambda: held(first) == held(second) == 0)


@pytest.mark.parametrize('remote', [False, True])
async def test_answer_that_waits_for_room_ends_with_its_deadline(
    remote: bool,
) -> None:
    """Guards against claims of requests that were given up."""
    async with running_pair() as (first, second):
        host = second if remote else first
        memory = host.proxy.memory
        taken = memory.limits[RESPONSE]
        assert memory.take(RESPONSE, taken)
        answer = await host.ask(
            f'/write/sized?size={4 * MB}',
            method='PUT',
            body=b'x',
            X_Deadline_Remaining_Ms='300',
        )
        assert answer.status in (502, 504)
        await conditions.until(lambda: memory.waiting_count == 0)
        memory.give_back(taken)
        await conditions.until(lambda: held(first) == held(second) == 0)
        assert not first.proxy.directory.delivering_count()


async def test_answer_is_held_until_a_slow_reader_has_read_it() -> None:
    """Guards against answers in write buffers that nobody accounts for."""
    size = 20 * MB
    async with running_pair() as (host, _):
        async with host.caller() as caller:
            caller.send(f'/read/sized?size={size}')
            port = host.proxy.requests
            await conditions.until(
                lambda: any(one.delivering for one in port.connections)
            )
            assert held(host) >= size
            answer = await caller.receive()
            assert len(answer.body) == size
            await conditions.until(lambda: held(host) == 0)
            assert (await caller.ask('/read/ok')).status == 200


async def test_answer_is_freed_when_its_reader_leaves() -> None:
    """Guards against answers that are kept for callers that left."""
    async with running_pair() as (host, _):
        async with host.caller() as caller:
            caller.send(f'/read/sized?size={20 * MB}')
            await conditions.until(lambda: held(host) >= 20 * MB)
        await conditions.until(lambda: held(host) == 0)


async def test_reader_that_stops_reading_is_disconnected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against answers that callers never read."""
    async with running_pair() as (host, _), host.caller() as caller:
        caller.send(f'/read/sized?size={20 * MB}')
        port = host.proxy.requests
        await conditions.until(
            lambda: any(one.delivering for one in port.connections)
        )
        (connection,) = port.connections
        limit_s = port.limits.idle_timeout_s
        started = connection.state_since
        connection.close_if_timed_out(started + limit_s - 1)
        assert connection in port.connections
        connection.close_if_timed_out(started + 2 * limit_s + 1)
        await conditions.until(lambda: not port.connections)
        await conditions.until(lambda: held(host) == 0)


@pytest.mark.processes
@pytest.mark.parametrize(
    'scenario',
    [
        body_memory.Scenario('uploads', 16, 20 * MB),
        body_memory.Scenario('remote uploads', 16, 20 * MB, across=True),
        body_memory.Scenario('remote responses', 16, 0, 20 * MB, across=True),
        body_memory.Scenario('slow readers', 16, 0, 20 * MB, slow=True),
    ],
    ids=lambda scenario: scenario.name,
)
async def test_resident_memory_stays_within_the_limit(
    scenario: body_memory.Scenario,
) -> None:
    """Guards against processes that are killed for their memory.

    Sixteen uploads of 20 MB at once took 700 MB, and 445 MB were kept while
    the callers' connections stayed open.
    """
    result = await body_memory.measure(scenario)
    peak_kb = max(result.ingress_peak_kb, result.guard_peak_kb)
    end_kb = max(result.ingress_end_kb, result.guard_end_kb)
    assert peak_kb < MEMORY_LIMIT_KB
    assert end_kb < MEMORY_LIMIT_KB // 4
    assert set(result.statuses) <= {200, 503}
    assert result.statuses[200] > 0
    assert result.small_served > 0
