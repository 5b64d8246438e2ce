"""Faults of targets and the outcomes callers get, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import threading

import pytest

from peridotpost.calls import connections
from peridotpost.kernel import counters
from peridotpost.kernel import dialling
from peridotpost.model import members
from testing import callpath
from testing import conditions

Script = Callable[
    [callpath.ScriptedServer, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def sends_bytes(raw: bytes, then_close: bool = True) -> Script:
    """Return a script that answers each request with `raw`."""

    async def script(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            await state.read_request(reader)
            writer.write(raw)
            await writer.drain()
            if then_close:
                return

    return script


async def closes_on_accept(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Close each connection without reading."""


async def never_answers(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await state.read_request(reader)
    await reader.read(1)


@contextlib.asynccontextmanager
async def node_with_target(
    script: Script, service: str
) -> AsyncIterator[
    tuple[callpath.Node, callpath.ScriptedServer, callpath.Caller]
]:
    async with (
        callpath.node('h1') as node,
        callpath.scripted_server(script) as target,
        callpath.caller(node.port) as caller,
    ):
        node.announce(service, target.port)
        yield node, target, caller


@pytest.mark.parametrize('service', ['read', 'write'])
@pytest.mark.parametrize(
    ('script', 'status', 'outcome', 'body'),
    [
        pytest.param(sends_bytes(OK), 200, 'answered', b'ok', id='good'),
        pytest.param(
            sends_bytes(b''), 502, 'unknown', None, id='closes-silently'
        ),
        pytest.param(
            closes_on_accept, 502, 'unknown', None, id='closes-at-once'
        ),
        pytest.param(
            sends_bytes(OK[:20]), 502, 'unknown', None, id='cut-in-the-headers'
        ),
        pytest.param(
            sends_bytes(OK[:-1]), 502, 'unknown', None, id='cut-body'
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 200 OK\r\n\r\nok'),
            502,
            'unknown',
            None,
            id='no-length',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'
            ),
            200,
            'answered',
            b'ok',
            id='chunked',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1\r\no\r\n'
            ),
            502,
            'unknown',
            None,
            id='chunked-without-an-end',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1389\r\n' + b'x' * 5001 + b'\r\n0\r\n\r\n'
            ),
            502,
            'unknown',
            None,
            id='chunked-over-the-limit',
        ),
        pytest.param(
            sends_bytes(b'\x00\xff garbage\r\n\r\n'),
            502,
            'unknown',
            None,
            id='garbage',
        ),
        pytest.param(
            sends_bytes(b'SSH-2.0-OpenSSH\r\n'),
            502,
            'unknown',
            None,
            id='no-http',
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n'),
            502,
            'unknown',
            None,
            id='negative-length',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
                b'Content-Length: 2\r\n\r\nok'
            ),
            502,
            'unknown',
            None,
            id='two-lengths',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nContent-Length: '
                + b'9' * 5000
                + b'\r\n\r\n'
            ),
            502,
            'unknown',
            None,
            id='absurd-length',
        ),
        pytest.param(
            sends_bytes(
                b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 70_000 + b'\r\n\r\n'
            ),
            502,
            'unknown',
            None,
            id='header-too-large',
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 100 Continue\r\n\r\n' + OK),
            200,
            'answered',
            b'ok',
            id='100-first',
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + OK),
            200,
            'answered',
            b'ok',
            id='103-first',
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 100 Continue\r\n\r\n'),
            502,
            'unknown',
            None,
            id='100-only',
        ),
        pytest.param(
            sends_bytes(b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'),
            500,
            'answered',
            b'',
            id='500',
        ),
    ],
)
async def test_caller_gets_the_complete_answer_or_a_definite_outcome(
    service: str, script: Script, status: int, outcome: str, body: bytes | None
) -> None:
    async with node_with_target(script, service) as (node, target, caller):
        reply = await caller.ask(service, 'POST', '/', b'x')
        assert (reply.status, reply.outcome) == (status, outcome)
        if body is not None:
            assert reply.body == body
        # The only target: there is none to retry at, so the request is
        # sent at most once.
        assert len(target.requests) <= 1
        assert node.guard.gates.by_target[(service, 't-h1')].gate.running == 0


async def test_connection_refused_withdraws_the_target() -> None:
    """A refused connection proves that nothing ran; no retry is needed."""
    async with callpath.scripted_server(closes_on_accept) as gone:
        pass
    async with (
        callpath.node('h1') as node,
        callpath.caller(node.port) as caller,
    ):
        node.announce('write', gone.port)
        reply = await caller.ask('write', 'POST', '/', b'x')
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert node.targets.by_name == {}


async def test_unresponsive_target_is_called_once_until_the_deadline() -> None:
    async with node_with_target(never_answers, 'write') as (
        node,
        target,
        caller,
    ):
        reply = await caller.ask(
            'write', 'POST', '/', b'x', 'Peridot-Timeout-Ms: 100'
        )
        assert (reply.status, reply.outcome) == (502, 'unknown')
        assert len(target.requests) == 1
        assert node.counts.totals['guard.deadline'] == 1


def answers_once_then(last: Callable[[asyncio.StreamWriter], None]) -> Script:
    """Return a script that answers one request and runs `last` on the next."""

    async def script(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await state.read_request(reader)
        writer.write(OK)
        if state.accepted == 1:
            await state.read_request(reader)
            last(writer)
            return
        await reader.read(1)

    return script


def resets(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


def truncates_answer(writer: asyncio.StreamWriter) -> None:
    writer.write(OK[:-1])


@pytest.mark.parametrize(
    ('service', 'last', 'outcome', 'requests'),
    [
        # The keep-alive connection closes while the request is being sent:
        # there is no answer, but the target may have read the request.
        pytest.param('read', resets, 'answered', 3, id='idempotent-again'),
        pytest.param('write', resets, 'unknown', 2, id='other-unknown'),
        # After the first byte of an answer it is not a stale connection.
        pytest.param('read', truncates_answer, 'unknown', 2, id='answer-cut'),
    ],
)
async def test_keep_alive_connection_closed_between_two_calls(
    service: str,
    last: Callable[[asyncio.StreamWriter], None],
    outcome: str,
    requests: int,
) -> None:
    async with node_with_target(answers_once_then(last), service) as (
        node,
        target,
        caller,
    ):
        assert (await caller.ask(service, 'POST', '/', b'1')).body == b'ok'
        reply = await caller.ask(service, 'POST', '/', b'2')
        assert reply.outcome == outcome
        assert len(target.requests) == requests


@pytest.mark.parametrize('service', ['read', 'write'])
async def test_target_exits_on_a_keep_alive_connection(service: str) -> None:
    """The target answers one call and exits during the next.

    The idempotent retry's new connection is refused, which on its own would
    mean that nothing ran; but the first attempt may have run.
    """
    servers: list[asyncio.Server] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state = callpath.ScriptedServer()
        await state.read_request(reader)
        writer.write(OK)
        await state.read_request(reader)
        servers[0].close()
        writer.transport.abort()

    servers.append(await asyncio.start_server(script, '127.0.0.1', 0))
    port = servers[0].sockets[0].getsockname()[1]
    async with (
        callpath.node('h1') as node,
        callpath.caller(node.port) as caller,
    ):
        node.announce(service, port)
        assert (await caller.ask(service, 'POST', '/', b'1')).body == b'ok'
        reply = await caller.ask(service, 'POST', '/', b'2')
        assert (reply.status, reply.outcome) == (502, 'unknown')
        assert node.counts.totals['guard.crash-noted'] >= 1
        assert node.targets.by_name == {}


async def closes_after_answer(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer and close without a ``Connection: close`` header."""
    await state.read_request(reader)
    writer.write(OK)


async def answers_twice(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Send each answer twice."""
    while True:
        request = await state.read_request(reader)
        body = request[-1:]
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        writer.write(head + body + head + body)


@pytest.mark.parametrize('script', [closes_after_answer, answers_twice])
async def test_dirty_connection_is_not_reused(
    script: Script,
) -> None:
    """A target closes the connection after an answer, or answers twice.

    If the connection were reused, the next request would be lost or get the
    answer to another request.
    """
    async with node_with_target(script, 'write') as (node, target, caller):
        for body in b'123':
            reply = await caller.ask('write', 'POST', '/', bytes([body]))
            assert reply.status == 200
            if script is answers_twice:
                assert reply.body == bytes([body])
            idle = node.guard.pool.idle.get(target.port) or ()
            # The close and the second answer arrive after the first answer.
            await conditions.until(
                lambda: (
                    not any(
                        connections._is_reusable(one.stream) for one in idle
                    )
                ),
                'the connection is known to be dirty',
            )
        assert target.accepted == 3


@pytest.mark.parametrize(
    ('slots', 'max_connections', 'expected_max'),
    [
        pytest.param(8, 40, 8, id='slots-bound'),
        pytest.param(8, 3, 3, id='connections-bound'),
    ],
)
async def test_announced_limits_hold_at_the_target(
    slots: int, max_connections: int, expected_max: int
) -> None:
    open_now = 0
    max_open = 0

    async def script(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal open_now, max_open
        open_now += 1
        max_open = max(max_open, open_now)
        try:
            while True:
                await state.read_request(reader)
                await asyncio.sleep(0)
                writer.write(OK)
        finally:
            open_now -= 1

    async with (
        callpath.node('h1') as node,
        callpath.scripted_server(script) as target,
    ):
        node.announce(
            'write', target.port, slots=slots, connections=max_connections
        )

        async def call() -> str:
            async with callpath.caller(node.port) as caller:
                return (await caller.ask('write', 'POST', '/', b'x')).outcome

        outcomes = await asyncio.gather(*(call() for _ in range(50)))
        assert set(outcomes) == {'answered'}
        assert max_open <= expected_max
        assert node.counts.totals['connection.opened'] <= expected_max


async def test_draining_target_gets_no_new_calls() -> None:
    async with node_with_target(sends_bytes(OK), 'write') as (
        node,
        target,
        caller,
    ):
        node.announce('write', target.port, state=members.TargetState.DRAINING)
        reply = await caller.ask('write', 'POST', '/', b'x')
        assert reply.outcome == 'not-run'
        assert target.requests == []


async def test_busy_thread_pool_does_not_withdraw_a_listening_target() -> None:
    """A busy thread pool delays the name lookup for over a second.

    If the loopback address were looked up in the thread pool, connecting
    would time out, and the target would be withdrawn for every caller.
    """
    loop = asyncio.get_running_loop()
    release = threading.Event()
    threads = futures.ThreadPoolExecutor(1)
    loop.set_default_executor(threads)
    threads.submit(release.wait)
    try:
        async with node_with_target(sends_bytes(OK), 'read') as (
            node,
            _,
            caller,
        ):
            answer = await caller.ask('read')
        assert answer.status == 200
    finally:
        release.set()


async def test_stall_while_connecting_is_not_a_connect_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process stalls while connecting, for longer than the timeout.

    The kernel completes the connection meanwhile.  When the process
    resumes, the expired timer must not make the connect fail.
    """
    monkeypatch.setattr(connections, 'CONNECT_TIMEOUT_S', 1e-6)
    pool = connections.ConnectionPool(counters.Counters())
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
        opening = asyncio.ensure_future(pool._connect(port))
        await asyncio.sleep(0)
        # Blocks the event loop until the connection is accepted.
        accepted, _ = listening.accept()
        stream = await opening
        stream.close()
        accepted.close()


async def test_exiting_target_counts_as_refusing() -> None:
    """A crashing process closes its connections before its listening socket.

    A probe between the two still connects.  If that counted as listening,
    the crash would be taken for a lost answer, and the request that caused
    it would be retried at and crash the next target.
    """
    pool = connections.ConnectionPool(counters.Counters())
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setblocking(False)
    port = listening.getsockname()[1]
    probe = asyncio.ensure_future(pool.target_has_exited(port))
    connected = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(listening, connected.set)
    await connected.wait()
    loop.remove_reader(listening)
    listening.close()
    assert await probe


async def test_listening_target_does_not_count_as_refusing() -> None:
    pool = connections.ConnectionPool(counters.Counters())
    with socket.create_server(('127.0.0.1', 0)) as listening:
        assert not await pool.target_has_exited(listening.getsockname()[1])


async def test_reset_of_excess_connections_does_not_count_as_refusing() -> (
    None
):
    """A target at its connection limit resets new ones but still runs."""
    pool = connections.ConnectionPool(counters.Counters())
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setblocking(False)
    loop = asyncio.get_running_loop()

    def reset() -> None:
        listening.accept()[0].close()

    loop.add_reader(listening, reset)
    assert not await pool.target_has_exited(listening.getsockname()[1])
    loop.remove_reader(listening)
    listening.close()


async def test_host_name_is_resolved_and_a_closed_port_refuses() -> None:
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
        stream = await dialling.open_stream('localhost', port, 5.0)
        stream.close()
    with pytest.raises(ConnectionRefusedError):
        await dialling.open_stream('127.0.0.1', port, 5.0)
