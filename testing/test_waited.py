"""Callers that come again are told from new ones by what they still wait."""

import pytest

from peridotpost.decisions import waited


@pytest.mark.parametrize(
    ('told', 'expected'),
    [
        pytest.param([1.2], 0.0, id='first of all'),
        pytest.param([1.2, 1.19], 0.0, id='a slow way here'),
        pytest.param([1.2, 0.8], 0.4, id='come again'),
        pytest.param([0.8, 1.2], 0.0, id='longest so far'),
    ],
)
def test_time_waited_is_what_is_missing(
    told: list[float], expected: float
) -> None:
    book = waited.DeadlineBook()
    found = [book.waited_s('r', one, 0.0) for one in told]
    assert found[-1] == pytest.approx(expected)


def test_a_caller_with_a_longer_deadline_is_forgotten() -> None:
    book = waited.DeadlineBook()
    book.waited_s('r', 60.0, 0.0)
    assert book.waited_s('r', 1.2, 1.0) > 0
    later = 3 * waited.WINDOW_S
    assert book.waited_s('r', 1.2, later) == 0.0


def test_routes_do_not_mix() -> None:
    book = waited.DeadlineBook()
    book.waited_s('long', 60.0, 0.0)
    assert book.waited_s('short', 0.2, 0.0) == 0.0
