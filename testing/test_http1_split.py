"""Messages parse the same for any split; damaged ones stay bounded."""

import random

import httptools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from peridotpost.platform import headers
from peridotpost.proxy import http1

REQUESTS = (
    b'GET /read/x?a=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n\r\n'
    b'POST /write/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n'
    b'X-Deadline-Remaining-Ms: 50\r\nX-Caller-Service: forged\r\n\r\nhello'
    b'PUT /w HTTP/1.1\r\nhost: h\r\nTransfer-Encoding: chunked\r\n'
    b'Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n'
    b'3\r\nabc\r\n0\r\n\r\n'
)
ANSWERS = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n'
    b'Content-Length: 3\r\nKeep-Alive: timeout=7\r\n\r\nabc'
    b'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'2\r\nhi\r\n0\r\n\r\n'
)


class Sink:
    """Collects the messages of a reader."""

    def __init__(self) -> None:
        self.messages: list[http1.Message] = []

    def head_read(self, message: http1.Message) -> None:
        """Ignored."""

    def message_read(self, message: http1.Message) -> None:
        self.messages.append(message)


def parse(raw: bytes, sizes: list[int], answers: bool) -> list[http1.Message]:
    sink = Sink()
    reader = http1.MessageReader(headers.HEADERS, sink)
    make = http1.response_parser if answers else http1.request_parser
    parser = make(reader)
    start = 0
    for size in [*sizes, len(raw)]:
        reader.feed(parser, raw[start : start + size])
        start += size
        if start >= len(raw):
            break
    return sink.messages


def compared_fields(messages: list[http1.Message]) -> list[tuple[object, ...]]:
    return [
        (
            bytes(one.head),
            one.body,
            one.target,
            one.attempt_id,
            one.deadline_ms,
            one.not_run,
            one.signed,
            one.framed,
            one.keep_alive_s,
        )
        for one in messages
    ]


@pytest.mark.parametrize(
    ('raw', 'answers'),
    [
        pytest.param(REQUESTS, False, id='requests'),
        pytest.param(ANSWERS, True, id='answers'),
    ],
)
@settings(max_examples=80, deadline=None, derandomize=True)
@given(seed=strategies.integers(0, 100_000))
def test_any_split_gives_the_same_messages(
    raw: bytes, answers: bool, seed: int
) -> None:
    source = random.Random(seed)
    sizes = [source.choice([1, 1, 2, 3, 17, 90]) for _ in range(len(raw))]
    whole = compared_fields(parse(raw, [], answers))
    assert len(whole) == 3
    assert compared_fields(parse(raw, sizes, answers)) == whole


def test_hop_by_hop_and_internal_headers_are_not_forwarded() -> None:
    heads = [bytes(one.head).lower() for one in parse(REQUESTS, [], False)]
    for name in (b'x-caller-service', b'x-hop', b'connection', b'content-le'):
        assert not any(name in head for head in heads)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    at=strategies.integers(0, len(REQUESTS) - 1),
    noise=strategies.binary(min_size=1, max_size=8),
)
def test_damaged_requests_are_errors_or_other_requests(
    at: int, noise: bytes
) -> None:
    raw = REQUESTS[:at] + noise + REQUESTS[at + len(noise) :]
    try:
        messages = parse(raw, [], False)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return
    assert sum(len(one.body) for one in messages) <= len(raw)
