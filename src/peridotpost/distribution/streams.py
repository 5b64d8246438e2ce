"""Transports the frames of a link over a gRPC stream, on either side."""

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

BATCH_DELAY_S = 0.02
"""Facts that arrive within this time are sent in one message, such as the
some forty records of a lost rack.  It adds to the latency of each hop of
the tree."""
HEARTBEAT_S = 1.0
"""Interval at which the dialling side probes the other by a datagram, so
that it leaves a frozen parent after 3-4 s.  Heartbeats on the stream itself
took 1.5 ms of CPU per stream and second on each side, which put a parent of
16 children over its share of a core.  The accepting side relies on gRPC's
slower keepalive to end the stream of a frozen child."""
HELLO_TIMEOUT_S = 2.0
"""Timeout of the peer's first frame.  The kernel of a frozen peer still
accepts connections, so only this frame shows that the process runs."""

Read = Callable[[], Awaitable[Any]]
Write = Callable[[control_pb2.Frame], Coroutine[Any, Any, None]]


async def run_link(
    link: links.Link, read: Read, write: Write, closing: asyncio.Event
) -> None:
    """Run a link until a side ends it, the peer is silent or `closing` is set.

    Sending and receiving end together.  If only the sender failed, the
    link would look alive but send the peer nothing more.

    :raises errors.CodecError: the peer sent an invalid frame.
    """
    link.table.attach(link)
    clock = link.replica.clock
    heartbeat = None
    if link.ping is not None:
        heartbeat = clock.subscribe(
            f'beat {link.peer}', HEARTBEAT_S, link.check_heartbeat
        )
    running = [
        asyncio.ensure_future(coroutine)
        for coroutine in (
            _send(link, write),
            _receive(link, read),
            closing.wait(),
            link.ended.wait(),
        )
    ]
    try:
        done, _ = await asyncio.wait(
            running, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            task.result()
    finally:
        link.table.detach(link)
        if heartbeat is not None:
            clock.cancel(heartbeat)
        await tasks.cancel_and_wait(*running)


async def _send(link: links.Link, write: Write) -> None:
    while True:
        link.wake.clear()
        for frame in links.pending_frames(link):
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
        await asyncio.sleep(BATCH_DELAY_S)


async def _receive(link: links.Link, read: Read) -> None:
    while (frame := await read()) is not aio.EOF:
        link.counts.add('link.received-bytes', frame.ByteSize())
        link.counts.add('link.received-messages')
        link.handle_frame(frame)
