"""What a caller may send, and what it gets for it; on real sockets."""

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

BAD_NUMBER = 'a' * 5
ENDLESS_NUMBER = '9' * 5000


@contextlib.asynccontextmanager
async def path(
    service: str = 'read', **options: object
) -> AsyncIterator[tuple[callpath.Node, standin.Target]]:
    """Run a node with one stand-in target of `service`."""
    async with callpath.node('h1') as node:
        async with callpath.standin_target(service, **options) as target:
            node.announce(service, target.settings.port)
            yield node, target


@pytest.mark.parametrize(
    ('raw', 'status', 'word', 'kind'),
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
                    f'Peridot-Timeout-Ms: {BAD_NUMBER}',
                    f'Peridot-Timeout-Ms: {ENDLESS_NUMBER}',
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
async def test_bad_request_gets_a_clear_answer_and_reaches_no_target(
    raw: bytes, status: int, word: str, kind: str
) -> None:
    async with path() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(raw)
            reply = await caller.reply()
            assert (reply.status, reply.word) == (status, word)
            if kind:
                problem = json.loads(reply.body)
                assert problem['type'].endswith(kind)
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
async def test_request_cut_short_reaches_no_target(raw: bytes) -> None:
    """A caller dies while it sends; a part must not run as the whole."""
    async with path() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(raw)
        async with callpath.caller(node.port) as caller:
            assert (await caller.ask('read')).status == 200
        assert target.counts['ran'] == 1
        assert target.running == 0


async def test_oversized_header_closes_the_connection() -> None:
    async with path() as (node, target):
        async with callpath.caller(node.port) as caller:
            raw = callpath.request(
                'read', 'GET', '/', b'', 'X: ' + 'x' * 10**5
            )
            with contextlib.suppress(ConnectionError):
                await caller.send(raw)
            assert await caller.ended()
        assert target.counts['ran'] == 0


async def test_expected_body_is_asked_for() -> None:
    async with path('write') as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(
                b'POST / HTTP/1.1\r\nHost: write\r\nContent-Length: 2\r\n'
                b'Expect: 100-continue\r\n\r\n'
            )
            assert (await caller.reply()).status == 100
            await caller.send(b'ab')
            assert json.loads((await caller.reply()).body)['body'] == 'ab'
        assert target.counts['ran'] == 1


async def test_connection_is_reused_and_pipelined_requests_keep_order() -> (
    None
):
    async with path() as (node, target):
        async with callpath.caller(node.port) as caller:
            for number in range(3):
                reply = await caller.ask('read', 'GET', f'/{number}')
                assert json.loads(reply.body)['path'] == f'/{number}'
            both = callpath.request(
                'read', 'GET', '/slow', b'', 'Standin-Work-Ms: 30'
            )
            await caller.send(both + callpath.request('read', 'GET', '/fast'))
            for wanted in ('/slow', '/fast'):
                reply = await caller.reply()
                assert json.loads(reply.body)['path'] == wanted
        assert target.counts['ran'] == 5
        assert node.counts.totals['connection.opened'] == 1


@pytest.mark.parametrize(
    ('size', 'status', 'word'),
    [
        pytest.param(4999, 200, 'answered', id='below'),
        pytest.param(5000, 200, 'answered', id='at'),
        pytest.param(5001, 502, 'unknown', id='over'),
    ],
)
async def test_answer_is_whole_up_to_the_limit(
    size: int, status: int, word: str
) -> None:
    async with path() as (node, _):
        async with callpath.caller(node.port) as caller:
            reply = await caller.ask(
                'read', 'GET', '/', b'', f'Standin-Answer-Bytes: {size}'
            )
            assert (reply.status, reply.word) == (status, word)
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


async def canned(
    state: callpath.Scripted,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        request = await state.read_request(reader)
        writer.write(ANSWERS[request.split(b' ')[1].decode()])


async def test_answers_without_a_body_and_headers_both_ways() -> None:
    """Headers of one connection stay on it, all others pass, repeated too."""
    async with (
        callpath.node('h1') as node,
        callpath.scripted(canned) as target,
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
async def test_caller_that_leaves(
    service: str, cancelled: int, ran: int, remote: bool
) -> None:
    """A caller hangs up while its call runs at the target.

    A read that nobody waits for gives its slot back at once; a dispatch
    goes on, so that a resend of its key finds the answer.
    """
    async with (
        callpath.node('h1') as front,
        callpath.node('h2') as back,
        callpath.standin_target(service) as target,
    ):
        host = back if remote else front
        host.announce(service, target.settings.port)
        front.meet(back)
        async with callpath.caller(front.port) as caller:
            # Longer than the test waits, if it is to be cancelled.
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
            await conditions.until(lambda: target.running == 1, 'it runs')
        await conditions.until(lambda: target.running == 0, 'it ended')
        await conditions.until(lambda: host.guard.in_flight == 0, 'it is free')
        # It ended because its caller had gone, not by its deadline.
        assert host.counts.totals['guard.deadline'] == 0
        assert target.counts['cancelled'] == cancelled
        assert target.counts['ran'] == ran
        for gate in host.guard.gates.held.values():
            assert gate.gate.running == gate.gate.waiting == 0


async def test_caller_that_leaves_while_its_call_waits_for_a_slot() -> None:
    """Nobody is left to answer: its place in the queue goes to others."""
    async with path(slots=1) as (node, target):
        node.announce('read', target.settings.port, slots=1)
        async with contextlib.AsyncExitStack() as stack:
            callers = [
                await stack.enter_async_context(callpath.caller(node.port))
                for _ in range(3)
            ]
            gates = node.guard.gates.held
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
                    'it waits',
                )
            callers[1].writer.close()
            await conditions.until(
                lambda: next(iter(gates.values())).gate.waiting == 1, 'gone'
            )
            assert (await callers[0].reply()).status == 200
            assert (await callers[2].reply()).status == 200
        assert target.counts['ran'] == 2
        assert target.counts['cancelled'] == 0


async def test_sender_that_stops_in_the_middle_is_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A body that never ends must not hold its memory for good."""
    monkeypatch.setattr(ingress, 'BODY_TIMEOUT_S', 0.05)
    async with path() as (node, target):
        async with callpath.caller(node.port) as caller:
            await caller.send(callpath.request('read', 'PUT', '/', b'xy')[:-1])
            assert await caller.ended()
        assert target.counts['ran'] == 0


async def test_bodies_held_together_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many callers send large bodies at once, slowly.

    What does not fit is refused with a time to come back, and what was
    held is given back when its callers have their answers or are gone.
    """
    monkeypatch.setattr(requests, 'MAX_HELD_BYTES', 1500)
    async with path() as (node, target):
        async with (
            callpath.caller(node.port) as first,
            callpath.caller(node.port) as gone,
            callpath.caller(node.port) as second,
        ):
            body = b'x' * 1000
            raw = callpath.request('read', 'PUT', '/', body)
            await gone.send(raw[:-500])
            await conditions.until(lambda: held(node) == 500, 'held')
            await first.send(raw[:-1])
            await conditions.until(lambda: held(node) == 1499, 'held')
            reply = await second.ask('read', 'PUT', '/', body)
            assert (reply.status, reply.word) == (503, 'not-run')
            assert reply.header('Retry-After') == '1'
            gone.writer.close()
            await first.send(raw[-1:])
            assert (await first.reply()).status == 200
            await conditions.until(lambda: held(node) == 0, 'given back')
        assert target.counts['ran'] == 1


def held(node: callpath.Node) -> int:
    return node.ingress.held_bytes


async def test_fault_of_ours_is_answered_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A defect raises in the middle of a call, which may have run.

    The caller once got nothing and waited for its own timeout.
    """
    async with path() as (node, _):

        async def broken(call: object) -> object:
            raise RuntimeError('broken')

        monkeypatch.setattr(node.router, 'route', broken)
        async with callpath.caller(node.port) as caller:
            reply = await caller.ask('read')
        assert (reply.status, reply.word) == (502, 'unknown')


async def test_many_callers_at_once_each_get_their_own_answer() -> None:
    async with path(slots=64) as (node, target):
        node.announce('read', target.settings.port, slots=64)

        async def one(number: int) -> callpath.Reply:
            async with callpath.caller(node.port) as caller:
                return await caller.ask(
                    'read',
                    'GET',
                    f'/{number}',
                    b'',
                    f'Peridot-Caller: {number}',
                )

        replies = await asyncio.gather(*(one(n) for n in range(300)))
        told_run = 0
        for number, reply in enumerate(replies):
            if reply.status == 200:
                told_run += 1
                assert json.loads(reply.body)['path'] == f'/{number}'
            else:
                assert reply.word == 'not-run'
                assert int(reply.header('Retry-After')) >= 1
        assert target.counts['ran'] == told_run
