"""Carries the frames of a link over one gRPC stream, on either side."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from grpc import aio

from peridotpost.distribution import links
from peridotpost.generated import control_pb2
from peridotpost.kernel import tasks
from peridotpost.model import errors

GATHER_S = 0.02
"""Facts that arrive within this time leave in one message: a rack's loss
is some forty records, and each hop of the tree adds this once."""
BEAT_S = 1.0
"""The side that dialled asks the other for a sign of life this often, by
one datagram: a frozen parent is left after 3-4 s.  Beats on the stream
itself cost each side 1.5 ms of processor time a stream and second, which
took a parent of 16 over its share of a core.  The side that was dialled
needs no hurry: gRPC's own keepalive ends a stream to a frozen child."""
GREETING_S = 2.0
"""A frozen peer's host still takes connections, so the greeting is what
shows that somebody is there."""

Read = Callable[[], Awaitable[Any]]
Write = Callable[[control_pb2.Frame], Coroutine[Any, Any, None]]


async def converse(
    link: links.Link, read: Read, write: Write, closing: asyncio.Event
) -> None:
    """Exchange facts until one side ends it, falls silent or `closing`.

    Sending and receiving end together: a sender that died by itself would
    leave a link that looks alive and tells its peer nothing more.

    :raises errors.CodecError: the peer sent what cannot be read.
    """
    link.table.attach(link)
    clock = link.replica.clock
    beat = None
    if link.ping is not None:
        beat = clock.subscribe(f'beat {link.peer}', BEAT_S, link.beat)
    parts = [
        asyncio.ensure_future(one)
        for one in (
            _send(link, write),
            _receive(link, read),
            closing.wait(),
            link.over.wait(),
        )
    ]
    try:
        done, _ = await asyncio.wait(
            parts, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
    finally:
        link.table.detach(link)
        if beat is not None:
            clock.cancel(beat)
        await tasks.end(*parts)


async def _send(link: links.Link, write: Write) -> None:
    while True:
        link.wake.clear()
        for frame in links.frames(link):
            link.counts.add('link.sent-bytes', frame.ByteSize())
            link.counts.add('link.sent-messages')
            try:
                await write(frame)
            except asyncio.InvalidStateError as error:
                raise errors.PeridotError(
                    'the stream ended while a frame was sent',
                    step='link.send',
                    peer=link.peer,
                ) from error
        await link.wake.wait()
        await asyncio.sleep(GATHER_S)


async def _receive(link: links.Link, read: Read) -> None:
    while (frame := await read()) is not aio.EOF:
        link.counts.add('link.received-bytes', frame.ByteSize())
        link.counts.add('link.received-messages')
        link.take(frame)
