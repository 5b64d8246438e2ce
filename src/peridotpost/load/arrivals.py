"""When calls arrive: an open loop, which does not wait for answers.

A closed loop sends less the slower the system is, and so hides the very
times in which callers suffer.
"""

from collections.abc import Iterator
import enum
import random


class Pattern(enum.StrEnum):
    """How arrivals are spaced."""

    CONSTANT = 'constant'
    POISSON = 'poisson'


def arrivals(
    pattern: Pattern, rate: float, seconds: float, randomness: random.Random
) -> Iterator[float]:
    """Yield the second of each arrival, counted from the start.

    :param rate: mean arrivals a second.
    """
    at = 0.0
    while True:
        if pattern is Pattern.POISSON:
            at += randomness.expovariate(rate)
        else:
            at += 1 / rate
        if at > seconds:
            return
        yield at
