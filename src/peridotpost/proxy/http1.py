"""Reading and writing HTTP/1.1 messages on a C parser (``httptools``).

Messages are read whole.  That makes a cut answer visible before a byte of
it reaches the caller, and lets an idempotent request be sent again.
"""

import dataclasses
import http
from typing import Protocol

import httptools

from peridotpost.proxy import names

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
"""Headers that concern one connection only (RFC 9110, 7.6.1), and those
that frame the body, which each sender writes anew."""

REASONS = {one.value: one.phrase.encode() for one in http.HTTPStatus}


@dataclasses.dataclass(eq=False, slots=True)
class Message:
    """A request or an answer as it came, less the connection's headers."""

    head: bytearray = dataclasses.field(default_factory=bytearray)
    head_bytes: int = 0
    body: bytes = b''
    target: bytes = b''
    method: bytes = b''
    status: int = 0
    reason: bytes = b''
    host: bytes = b''
    attempt_id: bytes = b''
    deadline_ms: bytes = b''
    not_run: bool = False
    proof: bool = False
    encoded: bool = False
    keep_alive: bool = True
    keep_alive_s: float | None = None
    expects_continue: bool = False
    framed: bool = False
    hosts: int = 0
    nominated: list[bytes] = dataclasses.field(default_factory=list)
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    size: int = 0


class TooLarge(Exception):
    """A message is over its limit."""


class MessageSink(Protocol):
    """What is done with messages once read."""

    def head_read(self, message: Message) -> None:
        """Handle a message whose headers are in."""

    def message_read(self, message: Message) -> None:
        """Handle a whole message."""


class MessageReader:
    """Callbacks of the parser; builds one `Message` after the other.

    Bodies over ``max_body`` bytes and headers over ``max_head`` raise
    `TooLarge` out of the parser.
    """

    def __init__(
        self, header_names: names.HeaderNames, sink: MessageSink
    ) -> None:
        self.names = header_names
        self.sink = sink
        self.max_body = 1 << 30
        self.max_head = 1 << 20
        self.message = Message()
        self.own = {
            header_names.deadline,
            header_names.instance,
            header_names.caller,
        }

    def on_message_begin(self) -> None:
        self.message = Message()

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_status(self, status: bytes) -> None:
        self.message.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        message = self.message
        message.head_bytes += len(name) + len(value)
        if message.head_bytes > self.max_head:
            raise TooLarge
        lower = name.lower()
        known = self.names
        if lower in CONNECTION_HEADERS:
            self._note_connection(lower, value)
            return
        if lower in self.own:
            if lower == known.deadline:
                message.deadline_ms = value
            return
        if lower == known.attempt:
            message.attempt_id = value
        elif lower == b'host':
            message.host = value
            message.hosts += 1
        elif lower == known.proof:
            message.proof = True
        elif lower == known.not_run:
            message.not_run = True
        elif lower == b'content-encoding':
            message.encoded = True
        message.head += name + b': ' + value + b'\r\n'

    def _note_connection(self, lower: bytes, value: bytes) -> None:
        message = self.message
        if lower == b'connection':
            for token in value.lower().split(b','):
                name = token.strip()
                if name not in (b'close', b'keep-alive', b''):
                    message.nominated.append(name)
        elif lower == b'keep-alive':
            message.keep_alive_s = _timeout_of(value)
        elif lower in (b'content-length', b'transfer-encoding'):
            message.framed = True
        elif lower == b'expect':
            message.expects_continue = value.lower() == b'100-continue'

    def on_headers_complete(self) -> None:
        if self.message.nominated:
            _drop_headers(self.message)
        self.sink.head_read(self.message)

    def on_body(self, body: bytes) -> None:
        message = self.message
        message.size += len(body)
        if message.size > self.max_body:
            raise TooLarge
        message.pieces.append(body)

    def on_message_complete(self) -> None:
        message = self.message
        pieces = message.pieces
        message.body = pieces[0] if len(pieces) == 1 else b''.join(pieces)
        message.pieces = []
        self.sink.message_read(message)


def _timeout_of(value: bytes) -> float | None:
    """Return the seconds of ``Keep-Alive: timeout=N``, None without."""
    for part in value.lower().split(b','):
        name, _, figure = part.strip().partition(b'=')
        if name == b'timeout' and figure.strip().isdigit():
            return float(figure)
    return None


def _drop_headers(message: Message) -> None:
    """Take out the headers that ``Connection`` names as its own."""
    kept = [
        line
        for line in bytes(message.head).split(b'\r\n')
        if line.partition(b':')[0].lower() not in message.nominated
    ]
    message.head = bytearray(b'\r\n'.join(kept))


def request_parser(reader: MessageReader) -> httptools.HttpRequestParser:
    return httptools.HttpRequestParser(reader)


def response_parser(reader: MessageReader) -> httptools.HttpResponseParser:
    return httptools.HttpResponseParser(reader)


def render_answer(
    status: int, reason: bytes, head: bytes, body: bytes, close: bool
) -> bytes:
    """Return an answer to a caller as one piece."""
    closing = b'Connection: close\r\n' if close else b''
    if status in (204, 304):
        length = b''
    else:
        length = b'Content-Length: %d\r\n' % len(body)
    return b'HTTP/1.1 %d %s\r\n%s%s%s\r\n%s' % (
        status,
        reason or REASONS.get(status, b'Unknown'),
        head,
        length,
        closing,
        body,
    )


def render_request(
    method: bytes, target: bytes, head: bytes, body: bytes
) -> bytes:
    """Return a request to a target as one piece."""
    if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
        return b'%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s' % (
            method,
            target,
            head,
            len(body),
            body,
        )
    return b'%s %s HTTP/1.1\r\n%s\r\n' % (method, target, head)
