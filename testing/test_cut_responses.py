"""Responses that break off, perhaps within their heads."""

import asyncio
import contextlib

import pytest

from peridotpost.model import forwarding
from peridotpost.proxy import client
from peridotpost.proxy import frames
from peridotpost.proxy import peers
from testing import orders
from testing import proxies
from testing.standins import worker as worker_standin

HEAD_END = b'\r\n\r\n'


def rendered(form: str) -> bytes:
    """Return the whole response of a target, of whichever length ids have."""
    request = worker_standin.Request(
        'POST', '/', {'x-attempt-id': 'w000'}, b''
    )
    return worker_standin.RENDERED[form](worker_standin.Worker('i-a'), request)


@pytest.mark.parametrize('resets', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('form', ['framed', 'chunked', 'unframed'])
async def test_response_cut_in_its_head_is_not_taken_for_a_whole_one(
    form: str, resets: bool
) -> None:
    """Guards against a success with an empty or short body, framed as whole.

    A target stops within its response and closes or resets the connection.  A
    body without a length ends with its connection, unless that is reset.
    """
    action = f'cut-{form}-reset' if resets else f'cut-{form}'
    whole = rendered(form)
    head_size = whole.index(HEAD_END) + len(HEAD_END)
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        async with host.caller() as caller:
            for size in range(1, len(whole)):
                answer = await caller.ask(
                    f'/write/{action}?bytes={size}',
                    method='POST',
                    attempt=f'w{size:03}',
                    body=b'x',
                )
                if form == 'unframed' and size >= head_size and not resets:
                    body = whole[head_size:size]
                    assert (answer.status, answer.body) == (200, body)
                else:
                    assert answer.status == 502
        assert len(host.worker.runs) == len(whole) - 1


async def test_idempotent_request_is_tried_again_after_a_cut_head() -> None:
    """Guards against a cut response that is passed on instead."""
    async with proxies.pair() as (_, first, second):
        first.worker.forced_action = 'cut-framed'
        while not first.worker.runs:
            answer = await first.ask('/read/ok?bytes=40')
            assert (answer.status, answer.body) == (200, b'done')


async def test_response_of_another_host_that_breaks_off_is_lost() -> None:
    """Guards against a frame that is taken for a whole one.

    The daemon of the target sends a part of the response and closes.
    """
    raw = frames.encode(
        frames.Answered(1, 200, b'OK', b'X: y\r\n', b'done', 0, 0)
    )
    async with proxies.pair() as (_, first, _second):
        outcomes: list[forwarding.Outcome] = []
        for size in range(len(raw)):
            stream = peers.PeerStream(first.proxy.directory, first.proxy.guard)
            order = orders.order(1)
            order.done = outcomes.append
            stream.sent_orders[1] = order
            stream.data_received(raw[:size])
            stream.connection_lost(None)
        assert len(outcomes) == len(raw)
        assert all(
            isinstance(one, forwarding.ResponseLost) for one in outcomes
        )


@pytest.mark.parametrize('size', [1, 9, 20, 43, 44, 60])
async def test_response_of_the_store_that_breaks_off_is_an_error(
    size: int,
) -> None:
    """Guards against an empty or short answer of the store."""
    response = (
        b'HTTP/1.1 200 OK\r\nContent-Type: a/json\r\n'
        b'Content-Length: 20\r\n\r\n{"at": 1234567890123'
    )

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(HEAD_END)
        writer.write(response[:size])
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        http = client.HttpClient('127.0.0.1', port, 1.0)
        with pytest.raises(OSError):
            await http.call(b'GET', b'/', b'', 5.0)


async def test_surplus_response_of_the_store_is_not_that_of_the_next() -> None:
    """Guards against the answer to an earlier call on a kept connection."""
    numbers = iter(range(9))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        with contextlib.closing(writer), contextlib.suppress(EOFError):
            while True:
                await reader.readuntil(HEAD_END)
                # In one write: later bytes may meet the next call.
                body = b'%d' % next(numbers)
                writer.write(head + body + head[:30])

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        http = client.HttpClient('127.0.0.1', port, 1.0)
        for number in range(3):
            response = await http.call(b'GET', b'/', b'', 5.0)
            assert (response.status, response.body) == (200, b'%d' % number)
        http.close()
