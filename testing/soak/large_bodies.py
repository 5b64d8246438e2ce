"""Large bodies in a run, and callers that read slowly."""

import random

MEMORY_MB = 64
MAX_BODY_BYTES = 16_000_000
MIN_BODY_BYTES = 200_000
LARGE_PROBABILITY = 0.1
SLOW_READER_PROBABILITY = 0.1
MAX_PAUSE_SHARE = 0.5
"""Part of the deadline for which a slow reader may wait before it reads."""
FILLER = b'.'


class LargeBodies:
    """Draws the sizes of one caller's messages.

    It has a random generator of its own, so that the other choices of a seed
    are the same with and without large bodies.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def draw_size(self) -> int:
        """Return a size up to the limit, or 0 for no large body."""
        if self.rng.random() >= LARGE_PROBABILITY:
            return 0
        ratio = MAX_BODY_BYTES / MIN_BODY_BYTES
        return int(MIN_BODY_BYTES * ratio ** self.rng.random())

    def draw_pause_s(self, deadline_s: float) -> float:
        """Return how long the caller waits before it reads a response."""
        if self.rng.random() >= SLOW_READER_PROBABILITY:
            return 0.0
        return self.rng.uniform(0.0, MAX_PAUSE_SHARE * deadline_s)


def without_filler(body: bytes, size: int) -> bytes:
    """Return a response body without its filler, if that is complete."""
    if body.endswith(FILLER * size):
        return body[: len(body) - size]
    return body
