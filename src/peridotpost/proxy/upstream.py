"""Connections from a guard to the target on its host."""

import asyncio
from collections.abc import Callable
import socket
from typing import cast

import httptools

from peridotpost.model import advertisement
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import advertisements
from peridotpost.proxy import bodies
from peridotpost.proxy import deadlines
from peridotpost.proxy import headernames
from peridotpost.proxy import http1
from peridotpost.proxy import listener

CONNECT_TIMEOUT_S = 0.5
"""A target on the same host accepts a connection in about a millisecond; one
that takes half a second is considered gone."""
IDLE_MARGIN_S = 1.0
"""A connection is no longer used this long before the target's idle timeout,
as a request sent while the target closes the connection is lost."""
DEFAULT_IDLE_S = 4.0
"""Idle time if the target states no timeout."""
NON_IDEMPOTENT_IDLE_S = 0.5
"""Idle time after which a non-idempotent request gets a new connection.  A
target may drop an idle connection silently and earlier than it stated; the
next request on it is reset, and a non-idempotent one can't be retried.  A new
connection costs a millisecond."""
IDLE_TIMEOUT_SHARE = 0.7
"""Largest part of the stated idle timeout that is used."""
NOT_RUN = b'1'
NO_BODY = frozenset({204, 304})
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_OTHER_ANSWERS = 16
"""Interim answers, and late ones to earlier requests, that may precede the
answer to a request."""

ReleaseCallback = Callable[['TargetConnection', bool], None]
UnidentifiedCallback = Callable[[bool], None]


class TargetConnection(asyncio.Protocol):
    """One connection that carries one request at a time.

    Reading pauses while there is no room for a large response.

    :param room: memory for responses.
    :param incarnation: the target's incarnation when it was opened.
    :param on_release: called when a request ends or the connection is lost,
        with whether it was lost during a request.
    :param on_unidentified: called for each response without an id, with
        whether it is the first one of the connection.
    :ivar advertisement: what the response to the latest request states about
        the target; None before that response and if it states nothing.
    :ivar too_long: whether a response exceeded its limits.
    :ivar response_count: final responses received, of whatever request.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        incarnation: instances.Incarnation,
        on_release: ReleaseCallback,
        on_unidentified: UnidentifiedCallback,
        room: bodies.Room,
    ) -> None:
        self.header_names = header_names
        self.room = room
        self.room_wait: bodies.RoomWait | None = None
        self.incarnation = incarnation
        self.advertisement: advertisement.Advertisement | None = None
        self.on_release = on_release
        self.on_unidentified = on_unidentified
        self.order: forwarding.Order | None = None
        self.outcome: forwarding.Outcome | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = http1.MessageReader(header_names, self, room.account)
        self.reader.max_body_bytes = MAX_BODY_BYTES
        self.parser = http1.response_parser(self.reader)
        self.partial_response: http1.Message | None = None
        self.reusable = True
        self.closed = False
        self.aborted = False
        self.idle_since = 0.0
        self.idle_s = DEFAULT_IDLE_S
        self.other_answers = 0
        self.too_long = False
        self.response_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(
        self, order: forwarding.Order, payload: list[bodies.Body]
    ) -> None:
        assert self.transport is not None
        self.order = order
        self.outcome = None
        self.advertisement = None
        self.other_answers = 0
        self.transport.writelines(payload)

    def is_usable(self, now: float, non_idempotent: bool = False) -> bool:
        """Whether a request may be sent on this idle connection.

        :param non_idempotent: whether the request must not run twice.
        """
        if self.closed or not self.reusable or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        idle_s = (
            min(self.idle_s, NON_IDEMPOTENT_IDLE_S)
            if non_idempotent
            else self.idle_s
        )
        return now - self.idle_since < idle_s

    def data_received(self, data: bytes) -> None:
        if self.order is None:
            # Unsolicited bytes would be read as the start of the next
            # response.
            self.close()
            return
        try:
            self.reader.feed(self.parser, data)
        except (httptools.HttpParserError, http1.TooLarge) as error:
            self.reusable = False
            self.too_long = isinstance(error, http1.TooLarge) or isinstance(
                error.__context__, http1.TooLarge
            )
            if self.outcome is None:
                detail = f'answer is not HTTP: {type(error).__name__}'
                self.outcome = forwarding.ResponseLost(detail)
        if self.outcome is None:
            self._claim_room(self.reader.message)
        if self.outcome is not None:
            self._finish()

    def _claim_room(self, message: http1.Message) -> None:
        """Pause reading while there is no room for a large response.

        The target has run the request, so the response waits until its
        request is given up.
        """
        incoming = message.incoming
        if incoming is None or self.room_wait is not None or incoming.claim():
            return
        wait = bodies.RoomWait(
            incoming, self.room.timer, lambda: self._room_granted(message)
        )
        if wait.claim is None:
            self.reusable = False
            self.outcome = forwarding.ResponseLost('no room for the answer')
            return
        self.room.counts.add('answers.paused')
        self.room_wait = wait
        assert self.transport is not None
        self.transport.pause_reading()

    def _room_granted(self, message: http1.Message) -> None:
        self.room_wait = None
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.resume_reading()
        if self.reader.message is not message and self.order is not None:
            # All of it had arrived before there was room.
            self.message_read(message)
            if self.outcome is not None:
                self._finish()

    def head_read(self, message: http1.Message) -> None:
        self.partial_response = message
        message.status = self.parser.get_status_code()
        if not self.parser.should_keep_alive() or not message.framed:
            self.reusable = False

    def message_read(self, message: http1.Message) -> None:
        self.partial_response = None
        if message.status < 200:
            self._count_other_answer()
            return
        http1.complete_body(message)
        if message.incoming is not None:
            self._claim_room(message)
            return
        self.response_count += 1
        order = self.order
        if order is None or self.outcome is not None:
            self.reusable = False
            return
        if message.spliced:
            # Which of the two the id belongs to can't be told.
            self.reusable = False
            self.outcome = forwarding.ResponseLost(
                'answer within another answer'
            )
            return
        proof = self._proof(message, order)
        if proof is None:
            # A second response to an earlier request; the response to the
            # current one is still outstanding.
            self.reusable = False
            self._count_other_answer()
            return
        self.outcome = classify_response(message, proof)
        self.advertisement = advertisements.read(message, self.outcome)
        if message.keep_alive_s is not None:
            timeout_s = message.keep_alive_s
            self.idle_s = min(
                max(0.0, timeout_s - IDLE_MARGIN_S),
                IDLE_TIMEOUT_SHARE * timeout_s,
            )

    def _proof(
        self, message: http1.Message, order: forwarding.Order
    ) -> forwarding.Proof | None:
        """Return what shows that a response is to the current request.

        :return: None if it may be to an earlier one.
        """
        if message.attempt_id:
            if message.attempt_id == order.attempt_id:
                return forwarding.Proof.IDENTIFIED
            self.room.counts.add('answers.other-id')
            return None
        self.room.counts.add('answers.without-id')
        is_first = self.response_count == 1
        self.on_unidentified(is_first)
        if is_first:
            return forwarding.Proof.FIRST_RESPONSE
        return None

    def _count_other_answer(self) -> None:
        """Count a response that does not answer the current request.

        :raises http1.TooLarge: there are too many of them.
        """
        self.other_answers += 1
        if self.other_answers > MAX_OTHER_ANSWERS:
            raise http1.TooLarge

    def eof_received(self) -> bool:
        message = self.partial_response
        if message is not None and not message.framed and self.order:
            # A response without a length ends with the connection.
            self.reader.message = http1.NO_MESSAGE
            self.message_read(message)
            if self.outcome is not None:
                self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        order = self.order
        self._let_go()
        self.closed = True
        # The parser refers to the reader.  A cycle would keep the connection
        # until the next collection.
        self.reader.sink = listener.NO_SINK
        self.on_release(self, order is not None)
        if order is not None:
            detail = 'target reset' if exc else 'target closed'
            order.settle(forwarding.ResponseLost(f'{detail} the connection'))

    def abort(self) -> None:
        """Abort the current request; the target may stop running it."""
        self.aborted = True
        self._let_go()
        self.close()

    def _let_go(self) -> None:
        """Forget the current request and what has arrived of its response."""
        self.order = None
        self.outcome = None
        self.partial_response = None
        self.reader.message = http1.NO_MESSAGE
        if self.room_wait is not None:
            self.room_wait.cancel()
            self.room_wait = None

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def _finish(self) -> None:
        order, outcome = self.order, self.outcome
        assert order is not None and outcome is not None
        assert self.transport is not None
        self.order = None
        self.outcome = None
        if self.transport.get_write_buffer_size():
            # The target responded before it read the whole body.  It would
            # read the rest of the body as the next request.
            self.reusable = False
        if self.reader.in_progress:
            # A second response has begun.  Its rest would be read as the
            # response to the next request.
            self.reusable = False
        if not self.reusable:
            self.close()
        self.idle_since = deadlines.now()
        self.on_release(self, False)
        order.settle(outcome)


class IdlePool:
    """Idle connections; the most recently used one is taken first.

    The others have been idle for longer, so targets are more likely to have
    closed them.
    """

    def __init__(self) -> None:
        self.connections: list[TargetConnection] = []

    def take(
        self, now: float, non_idempotent: bool
    ) -> TargetConnection | None:
        """Remove and return a usable connection, None if there is none.

        :param non_idempotent: whether the request must not run twice.
        """
        while self.connections:
            connection = self.connections.pop()
            if connection.is_usable(now, non_idempotent):
                return connection
            if connection.is_usable(now):
                # Still usable for idempotent requests; the remaining ones
                # have been idle for longer.
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


def states_not_run(message: http1.Message) -> bool:
    """Whether a response states that the target did not run the request."""
    return message.status >= 400 and message.not_run.strip() == NOT_RUN


def classify_response(
    message: http1.Message, proof: forwarding.Proof
) -> forwarding.Outcome:
    """Return the outcome that a complete response means.

    :param proof: what shows that it is the response to the request.
    """
    status = message.status
    if message.not_run and not states_not_run(message):
        return forwarding.ResponseLost('statement "not run" is not valid')
    if message.not_run or status == 421:
        reason = forwarding.Refusal.SHED
        if status == 421:
            reason = forwarding.Refusal.WRONG_SERVICE
        return forwarding.Refused(reason, arrived=True, proof=proof)
    if status < 300 and not message.signed:
        return forwarding.ResponseLost('answer without the mark of the target')
    if message.content_encoded:
        return forwarding.ResponseLost(
            'answer with an unexpected content encoding'
        )
    return forwarding.TargetAnswer(
        status, message.reason, bytes(message.head), message.body
    )


async def connect(
    announced: instances.Announcement,
    header_names: headernames.HeaderNames,
    on_release: ReleaseCallback,
    on_unidentified: UnidentifiedCallback,
    room: bodies.Room,
) -> TargetConnection:
    """Open a connection to an announced target.

    :raises OSError: it can't be reached; includes ``TimeoutError``.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, protocol = await loop.create_connection(
            lambda: TargetConnection(
                header_names,
                announced.incarnation,
                on_release,
                on_unidentified,
                room,
            ),
            announced.address,
            announced.port,
        )
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return protocol
