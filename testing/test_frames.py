"""Frames decode for any split of the stream; invalid data is rejected."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from peridotpost.proxy import frames

SAMPLES: list[frames.Frame] = [
    frames.Ping(7),
    frames.Dispatch(
        1,
        'register',
        'r',
        b'a1',
        b'POST',
        b'/x',
        b'Host: x\r\n',
        b'body' * 500,
        False,
        True,
        -1,
        500,
        200,
    ),
    frames.Answered(1, 200, b'OK', b'', b'\x00' * 3000, 50, 12),
    frames.RefusedFrame(2, 'full', 50, False, 100, 12),
    frames.Known([frames.Hello('a', 'z', '127.0.0.1', 1, 2, 3)]),
]


def stream(compressed: bool) -> bytes:
    raw = frames.encode(
        frames.Hello('a', 'z', '127.0.0.1', 1, 2, 3, compressed)
    )
    rest = b''.join(frames.encode(one) for one in SAMPLES)
    if not compressed:
        return raw + rest
    deflater = frames.deflater()
    return raw + deflater.compress(rest) + deflater.flush(2)


@pytest.mark.parametrize('compressed', [False, True])
@settings(max_examples=60, deadline=None, derandomize=True)
@given(seed=strategies.integers(0, 10_000))
def test_any_split_gives_the_same_frames(compressed: bool, seed: int) -> None:
    source = random.Random(seed)
    raw = stream(compressed)
    reader = frames.FrameReader()
    found: list[frames.Frame] = []
    while raw:
        size = source.choice([1, 2, 7, 100, 5000])
        found += reader.feed(raw[:size])
        raw = raw[size:]
    assert found[1:] == SAMPLES


@settings(max_examples=200, deadline=None, derandomize=True)
@given(noise=strategies.binary(max_size=400))
def test_random_bytes_are_rejected_or_treated_as_incomplete(
    noise: bytes,
) -> None:
    reader = frames.FrameReader()
    try:
        reader.feed(noise)
    except frames.BadFrame:
        return
    assert len(reader.buffer) <= len(noise)
