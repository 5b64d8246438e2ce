"""What a target may do wrong, and what the caller is told; real sockets."""

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
    [callpath.Scripted, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


def sends(raw: bytes, then_close: bool = True) -> Script:
    """Return a target that answers each request with `raw`."""

    async def script(
        state: callpath.Scripted,
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


async def closes_unread(
    state: callpath.Scripted,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Close each connection as soon as it is open."""


async def never_answers(
    state: callpath.Scripted,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    await state.read_request(reader)
    await reader.read(1)


@contextlib.asynccontextmanager
async def path(
    script: Script, service: str
) -> AsyncIterator[tuple[callpath.Node, callpath.Scripted, callpath.Caller]]:
    async with (
        callpath.node('h1') as node,
        callpath.scripted(script) as target,
        callpath.caller(node.port) as caller,
    ):
        node.announce(service, target.port)
        yield node, target, caller


@pytest.mark.parametrize('service', ['read', 'write'])
@pytest.mark.parametrize(
    ('script', 'status', 'word', 'body'),
    [
        pytest.param(sends(OK), 200, 'answered', b'ok', id='good'),
        pytest.param(sends(b''), 502, 'unknown', None, id='closes-silently'),
        pytest.param(closes_unread, 502, 'unknown', None, id='closes-at-once'),
        pytest.param(
            sends(OK[:20]), 502, 'unknown', None, id='cut-in-the-headers'
        ),
        pytest.param(sends(OK[:-1]), 502, 'unknown', None, id='cut-body'),
        pytest.param(
            sends(b'HTTP/1.1 200 OK\r\n\r\nok'),
            502,
            'unknown',
            None,
            id='end-cannot-be-told',
        ),
        pytest.param(
            sends(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'
            ),
            200,
            'answered',
            b'ok',
            id='chunked',
        ),
        pytest.param(
            sends(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1\r\no\r\n'
            ),
            502,
            'unknown',
            None,
            id='chunked-without-an-end',
        ),
        pytest.param(
            sends(
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'1389\r\n' + b'x' * 5001 + b'\r\n0\r\n\r\n'
            ),
            502,
            'unknown',
            None,
            id='chunked-over-the-limit',
        ),
        pytest.param(
            sends(b'\x00\xff garbage\r\n\r\n'),
            502,
            'unknown',
            None,
            id='garbage',
        ),
        pytest.param(
            sends(b'SSH-2.0-OpenSSH\r\n'), 502, 'unknown', None, id='no-http'
        ),
        pytest.param(
            sends(b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n'),
            502,
            'unknown',
            None,
            id='negative-length',
        ),
        pytest.param(
            sends(
                b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
                b'Content-Length: 2\r\n\r\nok'
            ),
            502,
            'unknown',
            None,
            id='two-lengths',
        ),
        pytest.param(
            sends(
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
            sends(b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 70_000 + b'\r\n\r\n'),
            502,
            'unknown',
            None,
            id='header-too-large',
        ),
        pytest.param(
            sends(b'HTTP/1.1 100 Continue\r\n\r\n' + OK),
            200,
            'answered',
            b'ok',
            id='100-first',
        ),
        pytest.param(
            sends(b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + OK),
            200,
            'answered',
            b'ok',
            id='103-first',
        ),
        pytest.param(
            sends(b'HTTP/1.1 100 Continue\r\n\r\n'),
            502,
            'unknown',
            None,
            id='100-only',
        ),
        pytest.param(
            sends(b'HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n'),
            500,
            'answered',
            b'',
            id='500',
        ),
    ],
)
async def test_caller_gets_the_whole_answer_or_a_definite_word(
    service: str, script: Script, status: int, word: str, body: bytes | None
) -> None:
    async with path(script, service) as (node, target, caller):
        reply = await caller.ask(service, 'POST', '/', b'x')
        assert (reply.status, reply.word) == (status, word)
        if body is not None:
            assert reply.body == body
        # A single target: there is no other to try, and the request is
        # written once only.
        assert len(target.requests) <= 1
        assert node.guard.gates.held[(service, 't-h1')].gate.running == 0


async def test_target_that_refuses_connections_is_withdrawn() -> None:
    """Nobody listens: a proof that nothing ran, and no need to try again."""
    async with callpath.scripted(closes_unread) as gone:
        pass
    async with (
        callpath.node('h1') as node,
        callpath.caller(node.port) as caller,
    ):
        node.announce('write', gone.port)
        reply = await caller.ask('write', 'POST', '/', b'x')
        assert (reply.status, reply.word) == (503, 'not-run')
        assert node.targets.found == {}


async def test_target_that_never_answers_costs_one_deadline() -> None:
    async with path(never_answers, 'write') as (node, target, caller):
        reply = await caller.ask(
            'write', 'POST', '/', b'x', 'Peridot-Timeout-Ms: 100'
        )
        assert (reply.status, reply.word) == (502, 'unknown')
        assert len(target.requests) == 1
        assert node.counts.totals['guard.deadline'] == 1


def answers_then(last: Callable[[asyncio.StreamWriter], None]) -> Script:
    """Return a target that answers once, and acts on the next request."""

    async def script(
        state: callpath.Scripted,
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


def cuts_answer(writer: asyncio.StreamWriter) -> None:
    writer.write(OK[:-1])


@pytest.mark.parametrize(
    ('service', 'last', 'word', 'requests'),
    [
        # The kept connection closes exactly while the request is under
        # way: no byte of an answer, but perhaps the target read it.
        pytest.param('read', resets, 'answered', 3, id='idempotent-again'),
        pytest.param('write', resets, 'unknown', 2, id='other-unknown'),
        # Once an answer has begun it is no stale connection.
        pytest.param('read', cuts_answer, 'unknown', 2, id='answer-cut'),
    ],
)
async def test_kept_connection_closed_between_two_calls(
    service: str,
    last: Callable[[asyncio.StreamWriter], None],
    word: str,
    requests: int,
) -> None:
    async with path(answers_then(last), service) as (node, target, caller):
        assert (await caller.ask(service, 'POST', '/', b'1')).body == b'ok'
        reply = await caller.ask(service, 'POST', '/', b'2')
        assert reply.word == word
        assert len(target.requests) == requests


@pytest.mark.parametrize('service', ['read', 'write'])
async def test_target_that_ends_on_a_kept_connection(service: str) -> None:
    """The target answers one call and dies under the next.

    The new connection for the idempotent resend is refused, which alone
    would read as "nothing was sent"; the first sending may have run.
    """
    held: list[asyncio.Server] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state = callpath.Scripted()
        await state.read_request(reader)
        writer.write(OK)
        await state.read_request(reader)
        held[0].close()
        writer.transport.abort()

    held.append(await asyncio.start_server(script, '127.0.0.1', 0))
    port = held[0].sockets[0].getsockname()[1]
    async with (
        callpath.node('h1') as node,
        callpath.caller(node.port) as caller,
    ):
        node.announce(service, port)
        assert (await caller.ask(service, 'POST', '/', b'1')).body == b'ok'
        reply = await caller.ask(service, 'POST', '/', b'2')
        assert (reply.status, reply.word) == (502, 'unknown')
        assert node.counts.totals['guard.crash-noted'] >= 1
        assert node.targets.found == {}


async def closes_after_answer(
    state: callpath.Scripted,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer, and close without having said so."""
    await state.read_request(reader)
    writer.write(OK)


async def says_too_much(
    state: callpath.Scripted,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer each request twice on one connection."""
    while True:
        request = await state.read_request(reader)
        body = request[-1:]
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        writer.write(head + body + head + body)


@pytest.mark.parametrize('script', [closes_after_answer, says_too_much])
async def test_connection_that_is_not_clean_is_not_used_again(
    script: Script,
) -> None:
    """A target closes early, or answers twice.

    The next caller's request would be lost with the connection, or that
    caller would be given the answer to somebody else's request.
    """
    async with path(script, 'write') as (node, target, caller):
        for body in b'123':
            reply = await caller.ask('write', 'POST', '/', bytes([body]))
            assert reply.status == 200
            if script is says_too_much:
                assert reply.body == bytes([body])
            kept = node.guard.pool.idle.get(target.port) or ()
            # The close, and the second answer, arrive a moment later.
            await conditions.until(
                lambda: (
                    not any(connections._is_clean(one.stream) for one in kept)
                ),
                'it shows',
            )
        assert target.accepted == 3


@pytest.mark.parametrize(
    ('slots', 'bound', 'most'),
    [
        pytest.param(8, 40, 8, id='slots-bound'),
        pytest.param(8, 3, 3, id='connections-bound'),
    ],
)
async def test_announced_bounds_hold_at_the_target(
    slots: int, bound: int, most: int
) -> None:
    open_now = 0
    highest = 0

    async def script(
        state: callpath.Scripted,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        nonlocal open_now, highest
        open_now += 1
        highest = max(highest, open_now)
        try:
            while True:
                await state.read_request(reader)
                await asyncio.sleep(0)
                writer.write(OK)
        finally:
            open_now -= 1

    async with (
        callpath.node('h1') as node,
        callpath.scripted(script) as target,
    ):
        node.announce('write', target.port, slots=slots, connections=bound)

        async def one() -> str:
            async with callpath.caller(node.port) as caller:
                return (await caller.ask('write', 'POST', '/', b'x')).word

        words = await asyncio.gather(*(one() for _ in range(50)))
        assert set(words) == {'answered'}
        assert highest <= most
        assert node.counts.totals['connection.opened'] <= most


async def test_draining_target_gets_no_new_work() -> None:
    async with path(sends(OK), 'write') as (node, target, caller):
        node.announce('write', target.port, state=members.TargetState.DRAINING)
        reply = await caller.ask('write', 'POST', '/', b'x')
        assert reply.word == 'not-run'
        assert target.requests == []


async def test_busy_threads_do_not_make_a_listening_target_look_gone() -> None:
    """A target listens, and its first request is refused all the same.

    The machine was busy, so a thread that looked up the loopback address
    got no turn for a second.  The connection counted as refused, and the
    target was withdrawn for every caller.
    """
    loop = asyncio.get_running_loop()
    release = threading.Event()
    threads = futures.ThreadPoolExecutor(1)
    loop.set_default_executor(threads)
    threads.submit(release.wait)
    try:
        async with path(sends(OK), 'read') as (node, _, caller):
            answer = await caller.ask('read')
        assert answer.status == 200
    finally:
        release.set()


async def test_stall_while_connecting_does_not_make_a_target_look_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process stands still while a connection opens, past its limit.

    The kernel has accepted the connection meanwhile.  When the process
    runs again, the timer is due as well, and must not win.
    """
    monkeypatch.setattr(connections, 'CONNECT_S', 1e-6)
    pool = connections.ConnectionPool(counters.Counters())
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
        opening = asyncio.ensure_future(pool._connect(port))
        await asyncio.sleep(0)
        # Stands still until the kernel has accepted.
        accepted, _ = listening.accept()
        stream = await opening
        stream.close()
        accepted.close()


async def test_a_target_that_is_just_ending_is_seen_to_end() -> None:
    """A request crashes every target though crashes are remembered.

    A process that ends closes its connections before the socket on which it
    listens.  Asked between the two whether it still listens, the kernel
    says yes, the crash is taken for a lost answer, and the same request is
    sent to the next target.
    """
    pool = connections.ConnectionPool(counters.Counters())
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setblocking(False)
    port = listening.getsockname()[1]
    asked = asyncio.ensure_future(pool.refuses(port))
    connected = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_reader(listening, connected.set)
    await connected.wait()
    loop.remove_reader(listening)
    listening.close()
    assert await asked


async def test_a_target_that_goes_on_listening_does_not_refuse() -> None:
    pool = connections.ConnectionPool(counters.Counters())
    with socket.create_server(('127.0.0.1', 0)) as listening:
        assert not await pool.refuses(listening.getsockname()[1])


async def test_a_target_that_resets_what_is_too_much_does_not_refuse() -> None:
    """A target is full of connections and resets the next; it still runs."""
    pool = connections.ConnectionPool(counters.Counters())
    listening = socket.create_server(('127.0.0.1', 0))
    listening.setblocking(False)
    loop = asyncio.get_running_loop()

    def reset() -> None:
        listening.accept()[0].close()

    loop.add_reader(listening, reset)
    assert not await pool.refuses(listening.getsockname()[1])
    loop.remove_reader(listening)
    listening.close()


async def test_a_name_is_looked_up_and_a_closed_port_refuses() -> None:
    with socket.create_server(('127.0.0.1', 0)) as listening:
        port = listening.getsockname()[1]
        stream = await dialling.open_stream('localhost', port, 5.0)
        stream.close()
    with pytest.raises(ConnectionRefusedError):
        await dialling.open_stream('127.0.0.1', port, 5.0)
