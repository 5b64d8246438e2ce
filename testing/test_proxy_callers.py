"""Guarantees to callers, and requests that are rejected."""

import pytest

from peridotpost.model import forwarding
from peridotpost.proxy import listener
from testing import conditions
from testing import proxies

HOST = f'Host: {proxies.HOST}\r\n'.encode()


async def test_request_and_answer_pass_unchanged() -> None:
    async with proxies.pair() as (_, first, second):
        answer = await first.ask(
            '/write/ok?page=2&q=%20x',
            method='PUT',
            attempt='w1',
            body=b'{"bond": 7}',
            X_Own='kept',
            X_Caller_Service='forged',
            Connection='keep-alive, X-Hop',
            X_Hop='dropped',
        )
        assert answer.status == 200
        assert answer.headers['x-response-signature'] in ('i-a', 'i-b')
        (run,) = first.worker.runs + second.worker.runs
        assert (run.method, run.target) == ('PUT', '/write/ok?page=2&q=%20x')
        assert run.body == b'{"bond": 7}'
        assert run.headers['x-own'] == 'kept'
        assert run.headers['x-caller-service'] == 'register'
        assert 'x-hop' not in run.headers
        assert 0 < int(run.headers['x-deadline-remaining-ms']) <= 4000
        assert run.headers['x-expected-instance'] in ('i-a', 'i-b')


async def test_chunked_body_arrives_whole() -> None:
    async with proxies.pair() as (_, first, second):
        async with first.caller() as caller:
            caller.writer.write(
                b'POST /write/ok HTTP/1.1\r\n' + HOST + b'X-Attempt-Id: w1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n'
                b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
            )
            assert (await caller.receive()).status == 200
        (run,) = first.worker.runs + second.worker.runs
        assert run.body == b'abcde'


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        pytest.param(b'nonsense\r\n\r\n', 400, id='no HTTP'),
        pytest.param(
            b'POST /write/ok HTTP/1.1\r\n' + HOST + b'Content-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
            id='two framings',
        ),
        pytest.param(
            b'POST /write/ok HTTP/1.1\r\n' + HOST + b'Content-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            400,
            id='two lengths',
        ),
        pytest.param(
            b'GET /read/ok HTTP/1.1\r\n\r\n', 400, id='no host named'
        ),
        pytest.param(
            b'GET /read/ok HTTP/1.1\r\n' + HOST + HOST + b'\r\n',
            400,
            id='two hosts named',
        ),
        pytest.param(
            b'GET /read/ok HTTP/1.1\r\n'
            + HOST
            + b'X: '
            + b'x' * 5000
            + b'\r\n\r\n',
            431,
            id='headers over the limit',
        ),
        pytest.param(
            b'GET /read/' + b'x' * 40_000,
            414,
            id='target that does not end',
        ),
        pytest.param(
            b'GET /read/ok HTTP/1.1\r\nX: ' + b'x' * 40_000,
            431,
            id='header that does not end',
        ),
        pytest.param(
            b'POST /write/ok HTTP/1.1\r\n'
            + HOST
            + b'Content-Length: 100001\r\n\r\n'
            + b'x' * 100_001,
            413,
            id='body over the limit',
        ),
        pytest.param(
            b'GET /nowhere/x HTTP/1.1\r\n' + HOST + b'\r\n',
            404,
            id='no route',
        ),
        pytest.param(
            b'GET /read/ok HTTP/1.1\r\nHost: other.example\r\n\r\n',
            404,
            id='no such host',
        ),
        pytest.param(
            b'GET /other/ok HTTP/1.1\r\n' + HOST + b'\r\n',
            503,
            id='no target of the service',
        ),
    ],
)
async def test_rejected_request_gets_its_status_and_is_not_run(
    raw: bytes, status: int
) -> None:
    async with proxies.pair() as (_, first, second):
        async with first.caller() as caller:
            caller.writer.write(raw)
            answer = await caller.receive()
        assert answer.status == status
        assert not first.worker.runs + second.worker.runs


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with proxies.pair() as (_, first, _second):
        async with first.caller() as caller:
            for number in range(5):
                caller.send('/read/ok', attempt=f'p{number}')
            answers = [await caller.receive() for _ in range(5)]
        found = [one.headers['x-attempt-id'] for one in answers]
        assert found == [f'p{number}' for number in range(5)]


async def test_refusal_by_a_full_queue_has_retry_after() -> None:
    async with proxies.saturated_host() as host:
        host.proxy.guard.queue.times.mean_s = 10.0
        refused = await host.ask('/read/ok', attempt='h2')
        assert refused.status == 503
        assert float(refused.headers['retry-after']) > 0
        assert host.worker.attempts() == ['holds']


async def test_configured_route_timeout_is_enforced() -> None:
    async with proxies.running() as mesh:
        text = proxies.config()
        for route in text['routes']:
            route['timeoutMs'] = 100
        await mesh.kv.configure(text)
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        assert (await host.ask('/read/hold')).status == 504
        await conditions.until(lambda: bool(host.worker.dropped))


async def test_target_in_a_remote_zone_is_called_through_its_guard() -> None:
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        local_host = await mesh.add('a', zone='hel-a')
        remote_host = await mesh.add('b', zone='hel-b', service='vault')
        await local_host.announce()
        await remote_host.announce()
        await mesh.wait_ready('vault')
        answer = await local_host.ask(
            '/other/ok', method='POST', body=b'y' * 5000
        )
        assert answer.status == 200
        (run,) = remote_host.worker.runs
        assert run.headers['x-caller-service'] == 'register'
        assert run.body == b'y' * 5000


@pytest.mark.parametrize(
    ('attempt', 'inherited'),
    [
        pytest.param('repeats.1', 1.0, id='call of a retried run'),
        pytest.param('first.1', 0.0, id='call of a first run'),
        pytest.param('fresh', 0.0, id='request of a caller'),
    ],
)
async def test_calls_inherit_the_retry_weight_of_their_parent_run(
    attempt: str, inherited: float
) -> None:
    """Guards against callers' requests counted as retries.

    While a host ran retries, all requests of its callers were counted as
    retries too.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as one, host.caller() as other:
            one.send('/read/hold', attempt='repeats')
            other.send('/read/hold', attempt='first')
            guard = host.proxy.guard
            await conditions.until(lambda: len(guard.running) == 2)
            guard.running_by_attempt[
                b'repeats'
            ].retry_cause = forwarding.RetryCause.REFUSED_OR_LOST
            # From the first call with a parent id on, the ingress knows that
            # calls carry them.
            await host.ask('/read/ok', attempt='first.0')
            seen = []
            submit = guard.submit

            def note(order: forwarding.Order) -> None:
                seen.append(order.inherited_retry_weight)
                submit(order)

            guard.submit = note  # type: ignore[method-assign]
            assert (await host.ask('/read/ok', attempt=attempt)).status == 200
            assert seen == [inherited]
            host.worker.release.set()
            await one.receive()
            await other.receive()


async def test_caller_that_stalls_within_its_headers_is_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against connections that stalled callers keep for ever."""
    async with proxies.pair() as (_mesh, first, _second):
        port = first.proxy.requests
        async with first.caller() as caller:
            caller.writer.write(
                b'GET /read/ok HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n'
            )
            await conditions.until(
                lambda: any(one.reading_message for one in port.connections)
            )
            monkeypatch.setattr(listener, 'IDLE_SLACK_S', -3600.0)
            port.close_timed_out()
            assert (await caller.receive()).status == 408


async def test_caller_with_a_slow_body_is_not_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against applying the limit of headers to bodies."""
    async with proxies.pair() as (_mesh, first, _second):
        port = first.proxy.requests
        async with first.caller() as caller:
            caller.send('/write/ok', method='POST', Content_Length='1')
            await conditions.until(
                lambda: any(one.head_complete for one in port.connections)
            )
            monkeypatch.setattr(listener, 'IDLE_SLACK_S', -3600.0)
            port.close_timed_out()
            monkeypatch.undo()
            caller.writer.write(b'x')
            assert (await caller.receive()).status == 200


async def test_open_connection_follows_the_limits_in_force() -> None:
    """Guards against size limits of the version when it was opened."""
    async with proxies.running() as mesh:
        limits = {'maxHeaderBytes': 4096, 'maxBodyBytes': 1000}
        await mesh.kv.configure(proxies.config(1, limits=limits))
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as caller:
            assert (await caller.ask('/read/ok')).status == 200
            limits = {'maxHeaderBytes': 4096, 'maxBodyBytes': 100_000}
            await mesh.kv.configure(proxies.config(2, limits=limits))
            await conditions.until(lambda: host.proxy.versions.version == 2)
            answer = await caller.ask(
                '/write/ok', method='POST', attempt='w1', body=b'x' * 50_000
            )
            assert answer.status == 200
            limits = {'maxHeaderBytes': 200, 'maxBodyBytes': 1000}
            await mesh.kv.configure(proxies.config(3, limits=limits))
            await conditions.until(lambda: host.proxy.versions.version == 3)
            answer = await caller.ask(
                '/write/ok', method='POST', attempt='w2', body=b'x' * 50_000
            )
            assert answer.status == 413
        assert host.worker.attempts() == ['a1', 'w1']


@pytest.mark.parametrize('whole', [True, False], ids=['whole', 'split'])
@pytest.mark.parametrize('framing', ['length', 'chunked', 'none'])
@pytest.mark.parametrize('size', [700, 90_000])
async def test_request_that_offers_an_upgrade_keeps_its_body(
    framing: str, size: int, whole: bool
) -> None:
    """Guards against requests that run without their bodies.

    The parser took the body for data of the protocol that was offered.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        body = b'' if framing == 'none' else b'x' * size
        lines = {
            'length': f'Content-Length: {size}\r\n',
            'chunked': 'Transfer-Encoding: chunked\r\n',
            'none': '',
        }[framing]
        content = body
        if framing == 'chunked':
            content = b'%x\r\n%b\r\n0\r\n\r\n' % (size, body)
        async with host.caller() as caller:
            for number in range(2):
                head = (
                    f'POST /write/ok HTTP/1.1\r\nHost: {proxies.HOST}\r\n'
                    f'X-Attempt-Id: w{number}\r\n'
                    'Connection: Upgrade, HTTP2-Settings\r\n'
                    f'Upgrade: h2c\r\nHTTP2-Settings: AAMA\r\n{lines}\r\n'
                ).encode()
                request = head + content
                if not whole:
                    caller.writer.write(request[: len(head) - 9])
                    await conditions.until(
                        lambda: any(
                            one.reading_message
                            for one in host.proxy.requests.connections
                        )
                    )
                    request = request[len(head) - 9 :]
                caller.writer.write(request)
                assert (await caller.receive()).status == 200
            assert (await caller.ask('/read/ok')).status == 200
        runs = host.worker.runs
        assert [run.attempt for run in runs] == ['w0', 'w1', 'a1']
        assert [run.body for run in runs] == [body, body, b'']
        assert 'http2-settings' not in runs[0].headers
        assert host.proxy.memory.used == 0
