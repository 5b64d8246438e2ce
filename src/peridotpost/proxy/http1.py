"""Reading and writing of HTTP/1.1 messages with a C parser (``httptools``).

Messages are buffered completely.  A truncated response is thus detected
before any byte of it reaches the caller, and an idempotent request can be
retried.

The parser itself holds an incomplete target, reason or header and joins its
parts anew with each read, so bytes are counted before it gets them.
"""

from collections.abc import Container
import dataclasses
import http
import re
from typing import Protocol

import httptools

from peridotpost.decisions import memoryaccount
from peridotpost.proxy import bodies
from peridotpost.proxy import headernames

CONNECTION_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and headers for body framing,
which each sender generates itself."""

FEED_BYTES = 16 * 1024
"""Bytes that are parsed at once.  Those parsed together with the beginning or
the end of a message are not counted."""
HEAD_FRAMING = 2
"""A head may have this many times the bytes of its headers' limit, for the
first line, separators and white space."""
BODY_FRAMING = 8
"""Bytes of framing for each byte of a body; a chunk of one byte takes 5."""
MAX_HEAD_BYTES = 64 * 1024
"""Limit of the headers of a message unless the configuration has one."""
PROTOCOL = b'HTTP/1.'
STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d{3}')
REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}


@dataclasses.dataclass(eq=False, slots=True)
class Message:
    """A received request or response.

    :param head: header lines without those of the connection.
    :param head_bytes: size of all headers received.
    :param not_run: value of the header by which a target states that it did
        not run the request.
    :param signed: whether the response bears the target's signature header.
    :param rate_limit: value of the rate limit header of a response.
    :param leaving: value of the header by which a target says that it is
        shutting down.
    :param framed: whether the headers delimit the body.
    :param content_length: length of the body that the headers state, if any.
    :param incoming: a body that is large or of unknown length, until all of
        it has arrived and has room.
    :param charged: bytes that are charged for the message itself.
    :param host_header_count: number of ``Host`` headers.
    :param head_complete: whether the headers have ended; what follows are
        trailers, which count for nothing and are not passed on.
    :param spliced: whether another response begins within its head.
    :param nominated_headers: header names listed in ``Connection``.
    :param credentials: value of the last header with credentials.
    :param credentials_count: number of headers with credentials.
    :param names_customer: whether the sender sent the header that names the
        customer.
    """

    head: bytearray = dataclasses.field(default_factory=bytearray)
    head_bytes: int = 0
    body: bodies.Body = b''
    target: bytes = b''
    method: bytes = b''
    status: int = 0
    reason: bytes = b''
    host: bytes = b''
    attempt_id: bytes = b''
    deadline_ms: bytes = b''
    not_run: bytes = b''
    signed: bool = False
    content_encoded: bool = False
    rate_limit: bytes = b''
    leaving: bytes = b''
    keep_alive: bool = True
    keep_alive_s: float | None = None
    expects_continue: bool = False
    framed: bool = False
    content_length: int | None = None
    incoming: bodies.IncomingBody | None = None
    charged: int = 0
    head_complete: bool = False
    spliced: bool = False
    host_header_count: int = 0
    nominated_headers: list[bytes] = dataclasses.field(default_factory=list)
    body_chunks: list[bytes] = dataclasses.field(default_factory=list)
    body_size: int = 0
    credentials: bytes = b''
    credentials_count: int = 0
    names_customer: bool = False


NO_MESSAGE = Message()
"""Stands for the message of a reader that is between two messages."""


class TooLarge(Exception):
    """A message exceeds its size limit."""


class MessageSink(Protocol):
    """Receiver of parsed messages."""

    def head_read(self, message: Message) -> None:
        """Handle a message whose headers are complete."""

    def message_read(self, message: Message) -> None:
        """Handle a complete message."""


class MessageReader:
    """Parser callbacks that build one `Message` after another.

    Bodies over `max_body_bytes` and headers over `max_head_bytes` raise
    `TooLarge` from within the parser, and so does everything else that is no
    part of a body, such as trailers and extensions of chunks, once it is
    clearly longer than a head may be.

    :param memory: account for large bodies; None if they are not charged.
    :param kind: what they are charged as; a response without a length ends
        with its connection, a request without one has no body.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        sink: MessageSink,
        memory: memoryaccount.MemoryAccount | None = None,
        kind: memoryaccount.Kind = memoryaccount.Kind.RESPONSE,
    ) -> None:
        self.header_names = header_names
        self.sink = sink
        self.memory = memory
        self.kind = kind
        self.max_body_bytes = 1 << 30
        self.max_head_bytes = MAX_HEAD_BYTES
        self.parsed_bytes = 0
        self.message = NO_MESSAGE
        self.resumed: Message | None = None
        self.proxy_headers = {
            header_names.deadline,
            header_names.instance,
            header_names.caller,
        }

    @property
    def in_progress(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self.message is not NO_MESSAGE

    def resume(self, message: Message) -> None:
        """Add the body that a new parser reads to a message."""
        self.resumed = message

    def feed(
        self,
        parser: httptools.HttpRequestParser | httptools.HttpResponseParser,
        data: bytes,
    ) -> None:
        """Parse received bytes.

        :raises TooLarge: the message exceeds its limits.
        :raises httptools.HttpParserError: the bytes are no such message.
        :raises httptools.HttpParserUpgrade: the message offers an upgrade;
            carries the number of bytes that were parsed.
        """
        for start in range(0, len(data), FEED_BYTES):
            part = data[start : start + FEED_BYTES]
            self.parsed_bytes += len(part)
            try:
                parser.feed_data(part)
            except httptools.HttpParserUpgrade as upgrade:
                offset = start + upgrade.args[0]
                raise httptools.HttpParserUpgrade(offset) from None
            allowed = HEAD_FRAMING * self.max_head_bytes
            allowed += (1 + BODY_FRAMING) * self.message.body_size
            if self.parsed_bytes > allowed:
                raise TooLarge

    def on_message_begin(self) -> None:
        self.parsed_bytes = 0
        self.message = self.resumed or Message()

    def on_url(self, url: bytes) -> None:
        if self.resumed is None:
            self.message.target += url

    def on_status(self, status: bytes) -> None:
        self.message.reason += status
        if STATUS_LINE.search(self.message.reason):
            self.message.spliced = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.resumed is not None:
            return
        message = self.message
        message.head_bytes += len(name) + len(value)
        if message.head_bytes > self.max_head_bytes:
            raise TooLarge
        if PROTOCOL in value and STATUS_LINE.search(value):
            message.spliced = True
        if message.head_complete:
            return
        lower = name.lower()
        header_names = self.header_names
        if lower in CONNECTION_HEADERS:
            self._read_connection_header(lower, value)
            return
        if lower in self.proxy_headers:
            if lower == header_names.deadline:
                message.deadline_ms = value
            return
        if lower == header_names.attempt:
            # Targets name one request in a response; callers may repeat it.
            if self.kind is memoryaccount.Kind.RESPONSE:
                value = _combine(message.attempt_id, value)
            message.attempt_id = value
        elif lower == b'host':
            message.host = value
            message.host_header_count += 1
        elif lower == header_names.signature:
            message.signed = True
        elif lower == header_names.not_run:
            message.not_run = _combine(message.not_run, value)
        elif lower == b'content-encoding':
            message.content_encoded = True
        elif lower == header_names.rate_limit:
            message.rate_limit = _combine(message.rate_limit, value)
        elif lower == header_names.leaving:
            message.leaving = _combine(message.leaving, value)
        elif lower == header_names.credentials:
            message.credentials = value
            message.credentials_count += 1
        elif lower == header_names.customer:
            message.names_customer = True
        message.head += name + b': ' + value + b'\r\n'

    def _read_connection_header(self, lower: bytes, value: bytes) -> None:
        message = self.message
        if lower == b'connection':
            for token in value.lower().split(b','):
                name = token.strip()
                if name not in (b'close', b'keep-alive', b''):
                    message.nominated_headers.append(name)
        elif lower == b'keep-alive':
            message.keep_alive_s = _keep_alive_timeout_s(value)
        elif lower == b'content-length':
            message.framed = True
            if value.isdigit():
                message.content_length = int(value)
        elif lower == b'transfer-encoding':
            message.framed = True
            message.content_length = None
        elif lower == b'expect':
            message.expects_continue = value.lower() == b'100-continue'

    def on_headers_complete(self) -> None:
        if self.resumed is not None:
            self.resumed = None
            return
        message = self.message
        message.head_complete = True
        if message.nominated_headers:
            _drop_nominated_headers(message)
        length = self.expected_length(message)
        if length is not None and length > self.max_body_bytes:
            message.body_size = length
            raise TooLarge
        if self.memory is not None and (
            length is None or length > bodies.SMALL_BODY_BYTES
        ):
            message.incoming = bodies.IncomingBody(
                self.memory, self.kind, length
            )
        self.sink.head_read(message)

    def expected_length(self, message: Message) -> int | None:
        """Return the length that a body will have; None if unknown."""
        if not message.framed and self.kind is memoryaccount.Kind.REQUEST:
            return 0
        return message.content_length

    def on_body(self, body: bytes) -> None:
        message = self.message
        message.body_size += len(body)
        if message.body_size > self.max_body_bytes:
            raise TooLarge
        if message.incoming is not None:
            message.incoming.append(body)
        else:
            message.body_chunks.append(body)

    def on_message_complete(self) -> None:
        message = self.message
        # A connection that idles keeps no message.
        self.message = NO_MESSAGE
        self.parsed_bytes = 0
        if message.incoming is None:
            chunks = message.body_chunks
            message.body = chunks[0] if len(chunks) == 1 else b''.join(chunks)
            message.body_chunks = []
        self.sink.message_read(message)


def complete_body(message: Message) -> None:
    """Set a body that was charged as it arrived, if there is room for it."""
    incoming = message.incoming
    if incoming is not None and incoming.claim():
        message.body = incoming.finish()
        message.incoming = None


def _combine(earlier: bytes, value: bytes) -> bytes:
    """Join the values of a repeated header (RFC 9110, section 5.3)."""
    return earlier + b', ' + value if earlier else value


def _keep_alive_timeout_s(value: bytes) -> float | None:
    """Return the timeout in a ``Keep-Alive`` header, None if absent."""
    for part in value.lower().split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None


def _drop_nominated_headers(message: Message) -> None:
    """Remove the headers that ``Connection`` declares hop-by-hop."""
    message.head = bytearray(
        _without_headers(message.head, message.nominated_headers)
    )


def head_without_identity(
    message: Message, header_names: headernames.HeaderNames
) -> bytes:
    """Return the head without credentials and the name of a customer.

    The reader can't remove them: whether the configuration has customers is
    known when the request is handled, and without customers they are passed
    on.
    """
    if not message.credentials_count and not message.names_customer:
        return bytes(message.head)
    return _without_headers(
        message.head, (header_names.credentials, header_names.customer)
    )


def _without_headers(head: bytearray, names: Container[bytes]) -> bytes:
    kept = [
        line
        for line in bytes(head).split(b'\r\n')
        if line.partition(b':')[0].lower() not in names
    ]
    return b'\r\n'.join(kept)


def request_parser(reader: MessageReader) -> httptools.HttpRequestParser:
    return httptools.HttpRequestParser(reader)


def render_body_head(message: Message) -> bytes:
    """Return a head that has a parser read the body of a request."""
    framing = b''
    if message.content_length is not None:
        framing = b'Content-Length: %d\r\n' % message.content_length
    elif message.framed:
        framing = b'Transfer-Encoding: chunked\r\n'
    if not message.keep_alive:
        framing += b'Connection: close\r\n'
    return b'%s / HTTP/1.1\r\n%s\r\n' % (message.method, framing)


def response_parser(reader: MessageReader) -> httptools.HttpResponseParser:
    return httptools.HttpResponseParser(reader)


def render_response(
    status: int, reason: bytes, head: bytes, body: bodies.Body, close: bool
) -> list[bodies.Body]:
    """Serialize a response to a caller, as buffers to write."""
    connection_header = b'Connection: close\r\n' if close else b''
    if status in (204, 304):
        length_header = b''
    else:
        length_header = b'Content-Length: %d\r\n' % len(body)
    return _with_body(
        b'HTTP/1.1 %d %s\r\n%s%s%s\r\n'
        % (
            status,
            reason or REASON_PHRASES.get(status, b'Unknown'),
            head,
            length_header,
            connection_header,
        ),
        body,
    )


def render_request(
    method: bytes, target: bytes, head: bytes, body: bodies.Body
) -> list[bodies.Body]:
    """Serialize a request to a target, as buffers to write."""
    length_header = b''
    if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
        length_header = b'Content-Length: %d\r\n' % len(body)
    return _with_body(
        b'%s %s HTTP/1.1\r\n%s%s\r\n' % (method, target, head, length_header),
        body,
    )


def _with_body(head: bytes, body: bodies.Body) -> list[bodies.Body]:
    """Return a message as buffers; a large body is not copied."""
    if isinstance(body, bytes):
        return [head + body]
    return [head, body]
