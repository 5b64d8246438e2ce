"""Faults of targets, and the responses that callers get."""

import asyncio
import dataclasses
import functools

import pytest

from peridotpost.decisions import poison
from peridotpost.proxy import guard
from peridotpost.proxy import http1
from peridotpost.proxy import peers
from testing import conditions
from testing import proxies


@pytest.mark.parametrize(
    ('action', 'read_status', 'write_status'),
    [
        pytest.param('ok', 200, 200, id='answers'),
        pytest.param('reset', 502, 502, id='resets instead of an answer'),
        pytest.param('closed', 502, 502, id='closes instead of an answer'),
        pytest.param('truncated', 502, 502, id='truncates its answer'),
        pytest.param('garbage', 502, 502, id='sends invalid HTTP'),
        pytest.param('unsigned', 502, 502, id='success without signature'),
        pytest.param('encoded', 502, 502, id='unrequested encoding'),
        pytest.param('failed', 500, 500, id='fails'),
        pytest.param('shed', 503, 503, id='reports that it was not run'),
        pytest.param('unframed', 200, 200, id='ends its answer by closing'),
        pytest.param('second', 200, 200, id='answers twice'),
        pytest.param('foreign-first', 200, 200, id='late answer comes first'),
    ],
)
async def test_status_for_each_target_fault(
    action: str, read_status: int, write_status: int
) -> None:
    async with proxies.pair() as (_, first, second):
        read = await first.ask(f'/read/{action}')
        write = await first.ask(
            f'/write/{action}', method='POST', attempt='w1', body=b'x'
        )
        assert (read.status, write.status) == (read_status, write_status)
        if write.status == 200:
            assert write.body == read.body == b'done'
        ran = first.worker.attempts() + second.worker.attempts()
        # A read runs on at most two targets, a write on at most one.
        assert ran.count('a1') <= 2
        assert ran.count('w1') <= 1


@pytest.mark.parametrize('size', [1, 9, 13, 16, 25, 45, 80, 120])
async def test_surplus_response_that_breaks_off_is_not_continued(
    size: int,
) -> None:
    """Guards against a parser that continues it with the next response.

    Callers got the status of one response with the body of another, or a
    non-idempotent request was taken for one that had not run.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as caller:
            for number in range(3):
                path = f'/read/second-breaks-off?bytes={size}'
                answer = await caller.ask(path, attempt=f'r{number}')
                assert (answer.status, answer.body) == (200, b'done')
                answer = await caller.ask(
                    '/write/failed',
                    method='POST',
                    attempt=f'w{number}',
                    body=b'x',
                )
                assert answer.status == 500
        assert host.worker.attempts() == ['r0', 'w0', 'r1', 'w1', 'r2', 'w2']


@pytest.mark.parametrize('size', range(1, 61))
async def test_late_response_that_breaks_off_is_not_continued(
    size: int,
) -> None:
    """Guards against a response made of two.

    A target runs the request and fails.  A late response to another one, which
    broke off, says that it was not run.
    """
    async with proxies.pair() as (_, first, second):
        answer = await first.ask(
            f'/write/broken-first?bytes={size}',
            method='POST',
            attempt='w1',
            body=b'x',
        )
        assert answer.status in (500, 502)
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran == ['w1']


async def test_response_that_names_the_protocol_of_a_hop_is_whole() -> None:
    """Guards against responses taken for spliced ones."""
    async with proxies.pair() as (_, first, second):
        for host in (first, second):
            host.worker.extra_headers = 'Via: HTTP/1.1 cache\r\n'
        answer = await first.ask('/read/ok')
        assert answer.status == 200
        assert answer.headers['via'] == 'HTTP/1.1 cache'


async def test_surplus_response_is_not_given_to_the_next_request() -> None:
    """Guards against responses shifted by one request on a connection.

    A target sends a second response to a request.  The next request on that
    connection would get it, and each later one the response before its own.
    """
    async with proxies.pair() as (_, first, _second):
        async with first.caller() as caller:
            for number in range(20):
                action = 'second' if number % 3 == 0 else 'ok'
                answer = await caller.ask(
                    f'/read/{action}', attempt=f'n{number}'
                )
                assert answer.headers['x-attempt-id'] == f'n{number}'
                assert answer.body == b'done'


async def test_response_before_the_whole_body_was_read() -> None:
    """Guards against body bytes being read as part of the next request.

    A target responds to a large write after reading its headers only, and
    reads on later.  The rest of the body was not sent yet at that time; if the
    connection was reused, body and next request were mixed up.
    """
    bodies = {
        f'w{number}': bytes([65 + number]) * 6_000_000 for number in (1, 2)
    }
    async with proxies.running() as mesh:
        limits = {'maxBodyBytes': 8_000_000}
        await mesh.kv.configure(proxies.config(limits=limits))
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as caller:
            for attempt in bodies:
                early = await caller.ask(
                    '/write/early',
                    method='POST',
                    attempt=attempt,
                    body=bodies[attempt],
                )
                assert early.status == 200
                assert early.headers['x-attempt-id'] == attempt
            host.worker.release.set()
            after = await caller.ask('/read/ok', attempt='r1')
            assert after.headers['x-attempt-id'] == 'r1'
        await conditions.until(lambda: 'r1' in host.worker.attempts())
        for run in host.worker.runs:
            assert run.body in (b'', bodies.get(run.attempt))


async def test_target_that_took_over_an_address_refuses_requests() -> None:
    """A target ends unannounced and another one takes over its address.

    Requests for the first target reach the second one, which refuses them
    because they name another incarnation.  They run on other targets.
    """
    async with proxies.pair() as (_, first, second):
        first.worker.instance = 'i-another'
        answer = await first.ask('/write/ok', method='POST', body=b'x')
        assert answer.status == 200
        assert not first.worker.runs
        assert len(second.worker.runs) == 1


async def test_crashed_target_gets_no_requests() -> None:
    async with proxies.pair() as (_, first, second):
        await first.worker.crash()
        answers = [
            await first.ask('/write/ok', method='POST', attempt=f'w{number}')
            for number in range(4)
        ]
        assert [one.status for one in answers] == [200] * 4
        assert len(second.worker.runs) == 4


async def test_write_is_not_sent_on_a_long_idle_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against writes lost on connections that the target dropped.

    A target drops its idle connections silently, and the next request on one
    is reset.  A read is retried, but a write would be lost.
    """
    monkeypatch.setattr(
        'peridotpost.proxy.upstream.NON_IDEMPOTENT_IDLE_S', 0.0
    )
    async with proxies.pair() as (_, first, second):
        for host in (first, second):
            await host.ask('/read/ok', attempt=f'r{host.name}')
            host.worker.reset_connections_on_reuse()
        for number in range(4):
            answer = await first.ask(
                '/write/ok', method='POST', attempt=f'w{number}'
            )
            assert answer.status == 200


async def test_concurrent_requests_do_not_exceed_the_slots() -> None:
    """The target never gets a request that it has no free slot for.

    It would never respond on that connection again.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a', slots=2)
        await host.announce()
        await mesh.wait_ready()
        asked = [
            asyncio.ensure_future(host.ask('/read/hold', attempt=f'h{number}'))
            for number in range(6)
        ]
        await conditions.until(lambda: len(host.worker.runs) == 2)
        host.worker.release.set()
        answers = await asyncio.gather(*asked)
        assert {one.status for one in answers} <= {200, 503}
        assert host.worker.max_concurrency == 2


async def test_queued_request_is_refused_before_its_deadline() -> None:
    """Guards against an unknown outcome for a write that never started.

    No slot becomes free before the write's deadline.  At the deadline the
    ingress could only report that the write may have run, after which it
    can't be retried.  The guard knows that it has not run and refuses it
    before the deadline.
    """
    async with proxies.saturated_host() as host:
        answer = await host.ask(
            '/write/ok',
            method='POST',
            attempt='waits',
            body=b'x',
            X_Deadline_Remaining_Ms='700',
        )
        assert answer.status == 503
        assert 'retry-after' in answer.headers
        assert host.worker.attempts() == ['holds']


async def test_idempotent_run_is_aborted_when_its_caller_disconnects() -> None:
    async with proxies.pair() as (_, first, second):
        async with first.caller() as caller:
            caller.send('/read/hold')
            await conditions.until(
                lambda: bool(first.worker.runs or second.worker.runs)
            )
        await conditions.until(
            lambda: bool(first.worker.dropped or second.worker.dropped)
        )


async def test_write_continues_when_its_caller_disconnects() -> None:
    """A non-idempotent run is not aborted when its caller disconnects.

    Aborted halfway, it could not be retried.
    """
    async with proxies.pair() as (_, first, second):
        async with first.caller() as caller:
            caller.send('/write/hold', method='POST', body=b'x')
            await conditions.until(
                lambda: bool(first.worker.runs or second.worker.runs)
            )
        await conditions.until(
            lambda: not first.proxy.forwarder.completion.in_flight
        )
        for host in (first, second):
            host.worker.release.set()
            await conditions.until(functools.partial(_runs_nothing, host))
            assert not host.worker.dropped


def _runs_nothing(host: proxies.Host) -> bool:
    return not host.worker.running


async def test_request_that_crashes_its_targets_is_refused() -> None:
    """Guards against the loss of all targets to one crashing request.

    The request crashes each target that runs it, and its caller retries it.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        hosts = [await mesh.add(name) for name in 'abcd']
        for host in hosts:
            await host.announce()
        await mesh.wait_ready()
        for number in range(6):
            answer = await hosts[0].ask('/read/crash', attempt=f'c{number}')
            assert answer.status in (502, 503, 504)
            crashed = sum(one.worker.server is None for one in hosts)
            await conditions.until(
                lambda crashed=crashed: (  # type: ignore[misc]
                    sum(one.proxy.guard.reachability.down for one in hosts)
                    == crashed
                )
            )
        alive = [one for one in hosts if one.worker.server is not None]
        assert alive
        answer = await hosts[0].ask('/read/ok')
        assert answer.status == 200


async def test_restarted_proxy_learns_of_requests_that_crash_targets() -> None:
    """Guards against a new process that lets a crashing request through.

    It was not told of the crashes before its start.
    """
    async with proxies.pair() as (mesh, first, second):
        request = http1.Message(method=b'GET', target=b'/read/crash')
        history = second.proxy.forwarder.history
        names = [poison.fingerprint(b'GET', b'/read/crash', b'')]
        for incident in ('1', '2'):
            history.crashed(names, 'c', incident)
        assert not first.proxy.forwarder.history.is_poison(request)
        restarted = await mesh.restart_proxy('a')
        assert await restarted.announce() == 200
        second.proxy.directory.add_record(restarted.proxy.own_record)
        await conditions.until(
            lambda: restarted.proxy.forwarder.history.is_poison(request)
        )
        assert (await restarted.ask('/read/crash')).status == 503
        assert not first.worker.runs


async def test_failure_is_delivered_when_its_retry_is_refused() -> None:
    """The target's failed response is delivered instead of a refusal."""
    async with proxies.pair() as (_mesh, first, second):
        for host in (first, second):
            host.proxy.guard.budget.extra = 0.0
        answer = await first.ask('/read/failed')
        assert answer.status == 500
        assert answer.headers['x-response-signature']
        assert len(first.worker.runs) + len(second.worker.runs) == 1
        refused = [
            host.proxy.counts.totals['requests.no-retry-budget']
            for host in (first, second)
        ]
        assert sum(refused) == 1


async def test_idle_ingress_learns_which_target_fails() -> None:
    """Guards against each ingress losing writes to a failing target.

    An ingress only learned of the failures from its own lost writes.
    """
    async with proxies.pair() as (mesh, first, _second):
        observer = await mesh.add('c', service='vault')
        await mesh.wait_ready()
        for number in range(8):
            await first.ask(
                '/write/reset', method='POST', attempt=f'w{number}'
            )
        directory = observer.proxy.directory
        await conditions.until(
            lambda: any(
                one.reported_failures.rate >= guard.FAILING_SHARE
                for one in directory.candidates('register')
            )
        )


async def test_second_stream_to_a_peer_does_not_close_the_first() -> None:
    """A peer connects to a dead host's address that this host took over."""
    async with proxies.pair() as (_mesh, first, second):
        directory = first.proxy.directory
        stream = directory.peers['b'].stream
        assert stream is not None
        await first.announce(state='draining')
        async with first.caller() as caller:
            caller.send('/read/hold', attempt='held')
            await second.worker.run_started.wait()
            wrong = dataclasses.replace(second.proxy.own_record, host='gone')
            again = await peers.dial(directory, first.proxy.guard, wrong)
            await conditions.until(lambda: again.closed)
            second.worker.release.set()
            assert (await caller.receive()).status == 200
        assert directory.peers['b'].stream is stream


async def test_address_taken_over_by_another_host_is_not_dialled() -> None:
    """A host's record outlives the host, and a new host has its address."""
    async with proxies.pair() as (_mesh, first, second):
        gone = dataclasses.replace(
            second.proxy.own_record,
            host='gone',
            incarnation=second.proxy.own_record.incarnation - 1,
        )
        for host in (first, second):
            directory = host.proxy.directory
            dialled = host.proxy.counts.totals['peers.dialled']
            directory.add_record(gone, from_store=True)
            directory.sweep()
            assert directory.peers['gone'].dialling is None
            assert 'gone' not in [one.host for one in directory.known_hosts()]
            assert host.proxy.counts.totals['peers.dialled'] == dialled


async def test_shed_requests_are_not_counted_as_failures() -> None:
    async with proxies.pair() as (_mesh, first, second):
        for number in range(8):
            await first.ask('/write/shed', method='POST', attempt=f'w{number}')
        for host in (first, second):
            assert host.proxy.guard.failures.rate == 0.0
