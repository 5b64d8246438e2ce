"""Requests of callers and their answers, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json

import pytest

from peridotpost.calls import ingress
from peridotpost.calls import requests
from peridotpost.standins import target as standin
from testing import callpath
from testing import conditions

NON_NUMERIC_TIMEOUT = 'a' * 5
HUGE_TIMEOUT = '9' * 5000
LONG_DEADLINES_TEXT = callpath.MESH_TEXT.replace(': 3000', ': 60000')


@contextlib.asynccontextmanager
async def node_with_target(
    service: str = 'read',
    mesh_text: str = callpath.MESH_TEXT,
    **options: object,
) -> AsyncIterator[tuple[callpath.Node, standin.Target]]:
    """Run a node with one stand-in target of `service`."""
    async with callpath.node('h1', mesh_text=mesh_text) as node:
        async with callpath.standin_target(service, **options) as target:
            node.announce(service, target.settings.port)
            yield node, target


@pytest.mark.parametrize(
    ('raw', 'status', 'outcome', 'problem_type'),
    [
        pytest.param(b'gar bage\r\n\r\n', 400, 'answered', '', id='garbage'),
        pytest.param(
            b'GET / HTTP/1.1\r\nNo colon\r\n\r\n',
            400,
            'answered',
            '',
            id='malformed-header',
        ),
        pytest.param(
            b'GET / HTTP/1.1\r\n\r\n',
            400,
            'not-run',
            'bad-request',
            id='no-host',
        ),
        pytest.param(
            callpath.request('nobody'),
            404,
            'not-run',
            'no-such-service',
            id='unknown-service',
        ),
        pytest.param(
            callpath.request('hidden'),
            403,
            'not-run',
            'forbidden',
            id='internal-service',
        ),
        pytest.param(
            callpath.request('read', 'POST', '/', b'x' * 1001),
            413,
            'not-run',
            'too-large',
            id='body-over-limit',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'3e9\r\n' + b'x' * 1001 + b'\r\n0\r\n\r\n',
            413,
            'not-run',
            'too-large',
            id='chunked-body-over-limit',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\n'
            b'Content-Length: 99999999999\r\n\r\n',
            413,
            'not-run',
            'too-large',
            id='absurd-length',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\nContent-Length: 2000\r\n'
            b'Expect: 100-continue\r\n\r\n',
            413,
            'not-run',
            'too-large',
            id='refused-instead-of-100-continue',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\nContent-Length: x\r\n\r\n',
            400,
            'answered',
            '',
            id='length-is-no-number',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\n'
            b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy',
            400,
            'answered',
            '',
            id='two-lengths',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
            400,
            'answered',
            '',
            id='malformed-chunk',
        ),
        *(
            pytest.param(
                callpath.request('read', 'GET', '/', b'', header),
                400,
                'not-run',
                'bad-request',
                id=f'bad-number-{number}',
            )
            for number, header in enumerate(
                (
                    f'Peridot-Timeout-Ms: {NON_NUMERIC_TIMEOUT}',
                    f'Peridot-Timeout-Ms: {HUGE_TIMEOUT}',
                    'Peridot-Timeout-Ms: -1',
                    'Peridot-Timeout-Ms: 1.5',
                    'Peridot-Depth: x',
                )
            )
        ),
        pytest.param(
            callpath.request('read', 'GET', '/', b'', 'Peridot-Timeout-Ms: 0'),
            504,
            'not-run',
            'deadline',
            id='deadline-has-passed',
        ),
        pytest.param(
            callpath.request('read', 'GET', '/', b'', 'Peridot-Depth: 10'),
            403,
            'not-run',
            'forbidden',
            id='too-deep',
        ),
    ],
)
async def test_invalid_request_is_rejected_and_reaches_no_target(
    raw: bytes, status: int, outcome: str, problem_type: str
) -> None:
    async with node_with_target() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(raw)
            reply = await caller.read_reply()
            assert (reply.status, reply.outcome) == (status, outcome)
            if problem_type:
                problem = json.loads(reply.body)
                assert problem['type'].endswith(problem_type)
                assert problem['status'] == status
                assert problem['detail']
        async with callpath.caller(node.port) as caller:
            assert (await caller.ask('read')).status == 200
        assert target.counts['ran'] == 1


@pytest.mark.parametrize(
    'raw',
    [
        pytest.param(b'GET / HTTP/1.1\r\nHost: re', id='in-the-headers'),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\nContent-Length: 10\r\n\r\n12',
            id='in-the-body',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nHost: read\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n',
            id='before-the-last-chunk',
        ),
    ],
)
async def test_truncated_request_reaches_no_target(raw: bytes) -> None:
    """A caller crashes while sending; the partial request must not run."""
    async with node_with_target() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(raw)
        async with callpath.caller(node.port) as caller:
            assert (await caller.ask('read')).status == 200
        assert target.counts['ran'] == 1
        assert target.running == 0


async def test_oversized_header_closes_the_connection() -> None:
    async with node_with_target() as (node, target):
        async with callpath.caller(node.port) as caller:
            raw = callpath.request(
                'read', 'GET', '/', b'', 'X: ' + 'x' * 10**5
            )
            with contextlib.suppress(ConnectionError):
                await caller.send(raw)
            assert await caller.reads_eof()
        assert target.counts['ran'] == 0


async def test_expect_continue_gets_100_before_the_body() -> None:
    async with node_with_target('write') as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(
                b'POST / HTTP/1.1\r\nHost: write\r\nContent-Length: 2\r\n'
                b'Expect: 100-continue\r\n\r\n'
            )
            assert (await caller.read_reply()).status == 100
            await caller.send(b'ab')
            assert json.loads((await caller.read_reply()).body)['body'] == 'ab'
        assert target.counts['ran'] == 1


async def test_connection_is_reused_and_pipelined_requests_keep_order() -> (
    None
):
    async with node_with_target() as (node, target):
        async with callpath.caller(node.port) as caller:
            for number in range(3):
                reply = await caller.ask('read', 'GET', f'/{number}')
                assert json.loads(reply.body)['path'] == f'/{number}'
            slow = callpath.request(
                'read', 'GET', '/slow', b'', 'Standin-Work-Ms: 30'
            )
            await caller.send(slow + callpath.request('read', 'GET', '/fast'))
            for expected in ('/slow', '/fast'):
                reply = await caller.read_reply()
                assert json.loads(reply.body)['path'] == expected
        assert target.counts['ran'] == 5
        assert node.counts.totals['connection.opened'] == 1


@pytest.mark.parametrize(
    ('size', 'status', 'outcome'),
    [
        pytest.param(4999, 200, 'answered', id='below'),
        pytest.param(5000, 200, 'answered', id='at'),
        pytest.param(5001, 502, 'unknown', id='over'),
    ],
)
async def test_answer_is_complete_up_to_the_size_limit(
    size: int, status: int, outcome: str
) -> None:
    async with node_with_target() as (node, _):
        async with callpath.caller(node.port) as caller:
            reply = await caller.ask(
                'read', 'GET', '/', b'', f'Standin-Answer-Bytes: {size}'
            )
            assert (reply.status, reply.outcome) == (status, outcome)
            if status == 200:
                assert reply.body == b'x' * size


ANSWERS = {
    '/204': b'HTTP/1.1 204 No Content\r\nX-Is: 204\r\n\r\n',
    '/304': b'HTTP/1.1 304 Not Modified\r\nETag: "e"\r\n\r\n',
    '/empty': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n',
    '/many': (
        b'HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n'
        b'Connection: keep-alive\r\nKeep-Alive: timeout=5\r\n'
        b'Proxy-Authenticate: x\r\nX-Kept: yes\r\n'
        b'Content-Length: 2\r\n\r\nok'
    ),
    '/head': b'HTTP/1.1 200 OK\r\nContent-Length: 777\r\n\r\n',
}


async def answer_by_path(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        request = await state.read_request(reader)
        writer.write(ANSWERS[request.split(b' ')[1].decode()])


async def test_bodiless_answers_and_header_forwarding() -> None:
    """Hop-by-hop headers are dropped; others pass, also repeated ones."""
    async with (
        callpath.node('h1') as node,
        callpath.scripted_server(answer_by_path) as target,
        callpath.caller(node.port) as caller,
    ):
        node.announce('read', target.port)
        for name, status in (('/204', 204), ('/304', 304), ('/empty', 200)):
            reply = await caller.ask('read', 'GET', name)
            assert (reply.status, reply.body) == (status, b'')
        assert reply.header('Content-Length') == '0'
        head = await caller.ask('read', 'HEAD', '/head')
        assert head.header('Content-Length') == '777'
        many = await caller.ask(
            'read',
            'GET',
            '/many',
            b'',
            'X-Twice: 1',
            'X-Twice: 2',
            'Keep-Alive: timeout=9',
            'TE: trailers',
            'Upgrade: h2c',
            'Peridot-Request-Id: r-1',
            'Connection: X-Hop',
            'X-Hop: only here',
        )
        assert many.body == b'ok'
        cookies = [v for name, v in many.headers if name == 'Set-Cookie']
        assert cookies == ['a=1', 'b=2']
        assert many.header('X-Kept') == 'yes'
        assert many.header('Keep-Alive') == ''
        assert many.header('Proxy-Authenticate') == ''
        assert many.header('Peridot-Request-Id') == 'r-1'
        sent = target.requests[-1].lower()
        assert sent.count(b'x-twice') == 2
        for hop in (b'keep-alive', b'te:', b'upgrade', b'x-hop'):
            assert hop not in sent
        assert b'host: read' in sent
        assert b'peridot-request-id: r-1' in sent
        assert b'peridot-depth: 1' in sent


@pytest.mark.parametrize(
    ('service', 'cancelled', 'ran'),
    [
        pytest.param('read', 1, 0, id='idempotent-is-cancelled'),
        pytest.param('write', 0, 1, id='non-idempotent-goes-on'),
    ],
)
@pytest.mark.parametrize('remote', [False, True], ids=['same-host', 'peer'])
async def test_caller_disconnects_during_its_call(
    service: str, cancelled: int, ran: int, remote: bool
) -> None:
    """A caller disconnects while its call runs at the target.

    An idempotent call is cancelled, which frees its slot at once.  Any other
    call continues, so that a retry with the same key finds the answer.
    """
    async with (
        callpath.node('h1') as front,
        callpath.node('h2') as back,
        callpath.standin_target(service) as target,
    ):
        host = back if remote else front
        host.announce(service, target.settings.port)
        front.add_members(back)
        async with callpath.caller(front.port) as caller:
            # A call to be cancelled must not end by itself during the test.
            work = 60_000 if cancelled else 200
            await caller.send(
                callpath.request(
                    service,
                    'POST',
                    '/',
                    b'',
                    f'Standin-Work-Ms: {work}',
                    'Peridot-Timeout-Ms: 3000',
                )
            )
            await conditions.until(
                lambda: target.running == 1, 'the call runs'
            )
        await conditions.until(
            lambda: target.running == 0, 'the call has ended'
        )
        await conditions.until(
            lambda: host.guard.in_flight == 0, 'the slot is free'
        )
        # The call ended because of the disconnect, not its deadline.
        assert host.counts.totals['guard.deadline'] == 0
        assert target.counts['cancelled'] == cancelled
        assert target.counts['ran'] == ran
        for held in host.guard.gates.by_target.values():
            assert held.gate.running == held.gate.waiting == 0


async def test_caller_disconnects_while_its_call_is_queued() -> None:
    """The call leaves the queue, and queued calls behind it move up."""
    async with node_with_target(slots=1) as (node, target):
        node.announce('read', target.settings.port, slots=1)
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(callpath.caller(node.port))
                for _ in range(3)
            ]
            gates = node.guard.gates.by_target
            for number, caller in enumerate(callers):
                await caller.send(
                    callpath.request(
                        'read', 'GET', '/', b'', 'Standin-Work-Ms: 150'
                    )
                )
                await conditions.until(
                    lambda: (
                        sum(one.gate.waiting for one in gates.values())
                        == number
                    ),
                    'the call is queued',
                )
            callers[1].writer.close()
            await conditions.until(
                lambda: next(iter(gates.values())).gate.waiting == 1,
                'the call has left the queue',
            )
            assert (await callers[0].read_reply()).status == 200
            assert (await callers[2].read_reply()).status == 200
        assert target.counts['ran'] == 2
        assert target.counts['cancelled'] == 0


async def test_stalled_request_body_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A body that never completes must not occupy memory forever."""
    monkeypatch.setattr(ingress, 'BODY_TIMEOUT_S', 0.05)
    async with node_with_target() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(callpath.request('read', 'PUT', '/', b'xy')[:-1])
            assert await caller.reads_eof()
        assert target.counts['ran'] == 0


async def test_total_buffered_body_bytes_are_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many callers send large bodies slowly at the same time.

    A body over the total limit is rejected with Retry-After.  Buffered bytes
    are released when the caller has its answer or disconnects.
    """
    monkeypatch.setattr(requests, 'MAX_BUFFERED_BYTES', 1500)
    async with node_with_target() as (node, target):
        async with (
            callpath.caller(node.port) as first,
            callpath.caller(node.port) as leaving,
            callpath.caller(node.port) as second,
        ):
            body = b'x' * 1000
            raw = callpath.request('read', 'PUT', '/', body)
            await leaving.send(raw[:-500])
            await conditions.until(
                lambda: buffered_bytes(node) == 500, 'buffered'
            )
            await first.send(raw[:-1])
            await conditions.until(
                lambda: buffered_bytes(node) == 1499, 'buffered'
            )
            reply = await second.ask('read', 'PUT', '/', body)
            assert (reply.status, reply.outcome) == (503, 'not-run')
            assert reply.header('Retry-After') == '1'
            leaving.writer.close()
            await first.send(raw[-1:])
            assert (await first.read_reply()).status == 200
            await conditions.until(
                lambda: buffered_bytes(node) == 0, 'released'
            )
        assert target.counts['ran'] == 1


def buffered_bytes(node: callpath.Node) -> int:
    return node.ingress.buffered_bytes


async def test_internal_error_is_answered_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An exception in the daemon interrupts a call that may have run.

    Without an answer, the caller would wait for its own timeout.
    """
    async with node_with_target() as (node, _):

        async def broken(call: object) -> object:
            raise RuntimeError('broken')

        monkeypatch.setattr(node.router, 'route', broken)
        async with callpath.caller(node.port) as caller:
            reply = await caller.ask('read')
        assert (reply.status, reply.outcome) == (502, 'unknown')


async def test_concurrent_callers_each_get_their_own_answer() -> None:
    # A run that its deadline ends has an unknown outcome, however fast the
    # machine is.
    async with node_with_target(mesh_text=LONG_DEADLINES_TEXT, slots=64) as (
        node,
        target,
    ):
        node.announce('read', target.settings.port, slots=64)

        async def call(number: int) -> callpath.Reply:
            async with callpath.caller(node.port) as caller:
                return await caller.ask(
                    'read',
                    'GET',
                    f'/{number}',
                    b'',
                    f'Peridot-Caller: {number}',
                )

        replies = await asyncio.gather(*(call(n) for n in range(300)))
        answered = 0
        for number, reply in enumerate(replies):
            if reply.status == 200:
                answered += 1
                assert json.loads(reply.body)['path'] == f'/{number}'
            else:
                assert reply.outcome == 'not-run', reply.body
                assert int(reply.header('Retry-After')) >= 1
        assert target.counts['ran'] == answered
