"""A message that never ends is given up, at a cost that is bounded."""

import asyncio
import contextlib

import httptools
import pytest

from peridotpost.platform import headers
from peridotpost.proxy import client
from peridotpost.proxy import frames
from peridotpost.proxy import http1
from testing import conditions
from testing import proxies
from testing.standins import worker as worker_standin

READ_BYTES = 256 * 1024
"""What the event loop reads at once."""
LIMIT_BYTES = 16 * 1024


class Sink:
    """Ignores the messages of a reader."""

    def head_read(self, message: http1.Message) -> None:
        """Do nothing."""

    def message_read(self, message: http1.Message) -> None:
        """Do nothing."""


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        pytest.param(b'GET /', b'x', id='target'),
        pytest.param(b'GET / HTTP/1.1\r\nX: ', b'x', id='value'),
        pytest.param(b'GET / HTTP/1.1\r\nX', b'x', id='name'),
        pytest.param(b'GET / HTTP/1.1\r\n', b'X: x\r\n', id='headers'),
        pytest.param(b'', b'\r\n', id='blank lines'),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;',
            b'x',
            id='extension of a chunk',
        ),
        pytest.param(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ',
            b'x',
            id='trailer',
        ),
    ],
)
@pytest.mark.parametrize('read_bytes', [100, READ_BYTES])
def test_reader_holds_a_bounded_part_of_a_message(
    head: bytes, part: bytes, read_bytes: int
) -> None:
    """Guards against a parser that joins the parts of a head for ever."""
    reader = http1.MessageReader(headers.HEADERS, Sink())
    reader.max_head_bytes = LIMIT_BYTES
    parser = http1.request_parser(reader)
    reader.feed(parser, head)
    raw = part * (read_bytes // len(part))
    parsed = 0
    with pytest.raises((http1.TooLarge, httptools.HttpParserError)):
        while parsed < 100 * LIMIT_BYTES:
            before = reader.parsed_bytes
            reader.feed(parser, raw)
            parsed += reader.parsed_bytes - before
    assert parsed <= http1.HEAD_FRAMING * LIMIT_BYTES + http1.FEED_BYTES


def test_small_chunks_are_no_endless_framing() -> None:
    """Guards against a bound that breaks off a body of tiny chunks."""
    reader = http1.MessageReader(headers.HEADERS, Sink())
    reader.max_head_bytes = 100
    parser = http1.request_parser(reader)
    reader.feed(
        parser, b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    for _ in range(3):
        reader.feed(parser, b'1\r\nx\r\n' * 20_000)
    reader.feed(parser, b'0\r\n\r\n')
    assert not reader.in_progress


@pytest.mark.parametrize('kind', worker_standin.ENDLESS_ANSWERS)
async def test_endless_answer_is_broken_off(kind: str) -> None:
    """Guards against one target that holds up the process of its host.

    The outcome of a write is unknown, a read may run elsewhere; requests to a
    sound target are served meanwhile, and the memory stays within its limit.
    """
    action = f'endless-{kind.replace(" ", "-")}'
    async with proxies.pair(memory_mb=64.0) as (_, first, second):
        await second.send_rpc('instances.leave', 'i-b', b'')
        await conditions.until(
            lambda: not second.proxy.directory.own_candidate.ready
        )
        asking = asyncio.ensure_future(
            first.ask(f'/write/{action}', method='POST', attempt='w1')
        )
        await conditions.until(lambda: bool(first.worker.dropped))
        assert (await asking).status == 502
        assert len(first.worker.attempts()) == 1
        # The target is asked again after a pause.
        await conditions.until(lambda: first.proxy.guard.status().ready)
        assert (await first.ask('/read/ok')).status == 200
        account = first.proxy.memory
        assert account.peak <= account.capacity
        assert account.used == 0


async def test_endless_answer_of_the_store_is_broken_off() -> None:
    """Guards against a store client that joins a head for ever."""
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nX: ')
        with contextlib.suppress(OSError):
            while not writer.transport.is_closing():
                writer.write(b'x' * 65_536)
                await writer.drain()
                await asyncio.sleep(0)
        closed.set()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    http_client = client.HttpClient('127.0.0.1', port, 5.0)
    with pytest.raises(OSError, match='connection lost'):
        await http_client.call(b'GET', b'/', b'', proxies.TIMEOUT_S)
    await closed.wait()
    server.close()


def test_frames_inflate_to_a_bounded_size() -> None:
    """Guards against a peer whose few bytes fill the memory of another."""
    deflater = frames.deflater()
    raw = deflater.compress(bytes(frames.MAX_INFLATED_BYTES + 1_000_000))
    raw += deflater.flush()
    reader = frames.FrameReader()
    reader.compressed = True
    with pytest.raises(frames.BadFrame, match='inflated'):
        reader.feed(raw)
