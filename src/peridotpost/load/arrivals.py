"""Arrival times of an open loop, which does not wait for answers.

A closed loop sends fewer calls when the system is slow, and so hides the
periods in which callers see high latency.
"""

from collections.abc import Iterator
import enum
import random


class Pattern(enum.StrEnum):
    """Distribution of the intervals between arrivals."""

    CONSTANT = 'constant'
    POISSON = 'poisson'


def arrivals(
    pattern: Pattern, rate: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield arrival times in seconds from the start.

    :param rate: mean arrivals per second.
    """
    arrival_s = 0.0
    while True:
        if pattern is Pattern.POISSON:
            arrival_s += rng.expovariate(rate)
        else:
            arrival_s += 1 / rate
        if arrival_s > seconds:
            return
        yield arrival_s
