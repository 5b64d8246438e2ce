"""Connections of a guard to the target on its host."""

import asyncio
from collections.abc import Callable
import socket
from typing import cast

import httptools

from peridotpost.model import forwarding
from peridotpost.proxy import deadlines
from peridotpost.proxy import http1
from peridotpost.proxy import names

CONNECT_TIMEOUT_S = 0.5
"""A target on the same host answers a connect in about a millisecond; half
a second without an answer means that it is gone."""
IDLE_MARGIN_S = 1.0
"""How long before the target's own idle timeout a connection is given up:
a request sent as the target closes is lost."""
DEFAULT_IDLE_S = 4.0
"""Idle time where the target states none."""
ONCE_IDLE_S = 0.5
"""Idle time after which a request that may run once only gets a connection
of its own.  A target may drop an idle connection without a word and sooner
than it said; what is sent next is reset, and such a request can't be sent
again.  Opening one costs a millisecond."""
IDLE_SHARE = 0.7
"""Part of the stated idle timeout that is used at the most."""
NO_BODY = frozenset({204, 304})
MAX_BODY = 64 * 1024 * 1024

LeftHook = Callable[['TargetConnection', bool], None]


class TargetConnection(asyncio.Protocol):
    """One connection, one request at a time.

    :param left: called when it takes no request any more, with whether it
        was lost while a request was on it.
    """

    def __init__(
        self, header_names: names.HeaderNames, left: LeftHook
    ) -> None:
        self.names = header_names
        self.left = left
        self.order: forwarding.Order | None = None
        self.outcome: forwarding.Outcome | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = http1.MessageReader(header_names, self)
        self.reader.max_body = MAX_BODY
        self.parser = http1.response_parser(self.reader)
        self.reading: http1.Message | None = None
        self.reusable = True
        self.closed = False
        self.abandoned = False
        self.idle_since = 0.0
        self.idle_s = DEFAULT_IDLE_S
        self.stray = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, order: forwarding.Order, payload: bytes) -> None:
        assert self.transport is not None
        self.order = order
        self.outcome = None
        self.transport.write(payload)

    def usable(self, now: float, once: bool = False) -> bool:
        """Whether a request may go onto this idle connection.

        :param once: the request may run once only.
        """
        if self.closed or not self.reusable or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        idle_s = min(self.idle_s, ONCE_IDLE_S) if once else self.idle_s
        return now - self.idle_since < idle_s

    def data_received(self, data: bytes) -> None:
        if self.order is None:
            # Bytes that nobody asked for would be taken for the start of
            # the next answer.
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, http1.TooLarge) as error:
            self.reusable = False
            if self.outcome is None:
                detail = f'answer is not HTTP: {type(error).__name__}'
                self.outcome = forwarding.Lost(detail)
        if self.outcome is not None:
            self._finish()

    def head_read(self, message: http1.Message) -> None:
        self.reading = message
        if not self.parser.should_keep_alive() or not message.framed:
            self.reusable = False

    def message_read(self, message: http1.Message) -> None:
        self.reading = None
        message.status = self.parser.get_status_code()
        if message.status < 200:
            return
        order = self.order
        if order is None or self.outcome is not None:
            self.reusable = False
            return
        if message.attempt_id and message.attempt_id != order.attempt_id:
            # A second answer to the request before; ours is still to come.
            self.stray += 1
            self.reusable = False
            return
        self.outcome = judge(message)
        if message.keep_alive_s is not None:
            allowed = message.keep_alive_s
            self.idle_s = min(
                max(0.0, allowed - IDLE_MARGIN_S), IDLE_SHARE * allowed
            )

    def eof_received(self) -> bool:
        message = self.reading
        if message is not None and not message.framed and self.order:
            # An answer without a length ends with its connection.
            message.body = b''.join(message.pieces)
            message.pieces = []
            self.message_read(message)
            if self.outcome is not None:
                self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        order = self.order
        self.order = None
        self.closed = True
        self.left(self, order is not None)
        if order is not None:
            detail = 'target reset' if exc else 'target closed'
            order.settle(forwarding.Lost(f'{detail} the connection'))

    def abandon(self) -> None:
        """Close at once; the target may drop what it runs."""
        self.abandoned = True
        self.order = None
        self.close()

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def _finish(self) -> None:
        order, outcome = self.order, self.outcome
        assert order is not None and outcome is not None
        assert self.transport is not None
        self.order = None
        if self.transport.get_write_buffer_size():
            # The target answered before it took the whole body.  What is
            # left of it would be read as the next request.
            self.reusable = False
        if not self.reusable:
            self.close()
        self.idle_since = deadlines.now()
        self.left(self, False)
        order.settle(outcome)


class IdlePool:
    """Connections that wait for a request; the last one used goes first.

    The others are idle for longer, which is when targets close them.
    """

    def __init__(self) -> None:
        self.connections: list[TargetConnection] = []

    def take(self, now: float, once: bool) -> TargetConnection | None:
        """Return one that may still be used, None without one.

        :param once: for a request that may run once only.
        """
        while self.connections:
            connection = self.connections.pop()
            if connection.usable(now, once):
                return connection
            if connection.usable(now):
                # Still good for others; those below are idle for longer.
                self.connections.append(connection)
                return None
            connection.close()
        return None

    def add(self, connection: TargetConnection) -> None:
        self.connections.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close()
        self.connections.clear()


def judge(message: http1.Message) -> forwarding.Outcome:
    """Tell what a whole answer means for its request."""
    status = message.status
    if message.not_run or status == 421:
        reason = forwarding.Refusal.SHED
        if status == 421:
            reason = forwarding.Refusal.WRONG_SERVICE
        return forwarding.Refused(reason, arrived=True)
    if status < 300 and not message.proof:
        return forwarding.Lost('answer without the mark of the target')
    if message.encoded:
        return forwarding.Lost('answer in an encoding nobody asked for')
    return forwarding.TargetAnswer(
        status, message.reason, bytes(message.head), message.body
    )


async def connect(
    address: str,
    port: int,
    header_names: names.HeaderNames,
    left: LeftHook,
) -> TargetConnection:
    """Open a connection to a target.

    :raises OSError: it is not there; ``TimeoutError`` included.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, protocol = await loop.create_connection(
            lambda: TargetConnection(header_names, left), address, port
        )
    opened = transport.get_extra_info('socket')
    if opened is not None:
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol
