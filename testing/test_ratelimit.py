"""Token bucket of a target that limits its request rate."""

import pytest

from peridotpost.decisions import ratelimit


@pytest.mark.parametrize('per_s', [0.0, 0.3, 4.5, 33.7, 70.0])
def test_request_is_admitted_at_the_announced_time(per_s: float) -> None:
    """Guards against a timer that fires again and again without a start."""
    limit = ratelimit.RateLimit()
    now = 1234.567
    limit.set(per_s, now)
    for _ in range(200):
        now += limit.wait_s(0, now)
        assert limit.admits(now)
        limit.take(now)


def test_bucket_starts_empty_and_keeps_a_short_burst() -> None:
    limit = ratelimit.RateLimit()
    limit.set(8.0, 10.0)
    assert not limit.admits(10.0)
    assert limit.wait_s(0, 10.0) == pytest.approx(1 / 8)
    assert limit.wait_s(3, 10.0) == pytest.approx(4 / 8)
    limit.admits(60.0)
    assert limit.tokens == pytest.approx(8.0 * ratelimit.BURST_S)


def test_lower_limit_takes_excess_tokens_away() -> None:
    limit = ratelimit.RateLimit()
    limit.set(100.0, 0.0)
    limit.admits(5.0)
    limit.set(2.0, 5.0)
    assert limit.tokens == ratelimit.MIN_BURST


def test_everything_is_admitted_without_a_limit() -> None:
    limit = ratelimit.RateLimit()
    limit.set(1.0, 0.0)
    limit.set(None, 0.0)
    for _ in range(1000):
        assert limit.admits(0.0)
        limit.take(0.0)
    assert limit.wait_s(50, 0.0) == 0.0
