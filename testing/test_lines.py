"""The JSON log writes complete lines, rate-limited and non-blocking."""

import json
import os

import pytest

from peridotpost.decisions import logbudget
from peridotpost.kernel import jsonlog


class Clock:
    """A wall clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def pipe() -> tuple[int, int]:
    """A pipe for the log, as (read end, write end)."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    return reading, writing


def read_lines(reading: int) -> list[dict[str, object]]:
    raw = os.read(reading, 1 << 20)
    return [json.loads(line) for line in raw.splitlines() if line]


def test_line_has_time_host_and_event(pipe: tuple[int, int]) -> None:
    log = jsonlog.JsonLog('host-1', pipe[1], Clock())
    log.state('config', before=1, version=2, source='store')
    assert read_lines(pipe[0]) == [
        {
            'at': 1000.0,
            'host': 'host-1',
            'event': 'config',
            'before': 1,
            'version': 2,
            'source': 'store',
        }
    ]


def test_burst_of_refusals_is_limited_and_counted(
    pipe: tuple[int, int],
) -> None:
    clock = Clock()
    log = jsonlog.JsonLog('h', pipe[1], clock)
    for number in range(5000):
        log.request('refused', request=str(number))
    assert len(read_lines(pipe[0])) == logbudget.BURST_LINES
    clock.now += 1.0
    log.request('refused', request='later')
    (line,) = read_lines(pipe[0])
    assert line['left_out'] == 5000 - logbudget.BURST_LINES
    log.request('refused', request='next')
    (line,) = read_lines(pipe[0])
    assert 'left_out' not in line


def test_state_changes_are_never_left_out(pipe: tuple[int, int]) -> None:
    log = jsonlog.JsonLog('h', pipe[1], Clock())
    for number in range(300):
        log.request('refused', request=str(number))
        log.state('member', peer=str(number), to='known')
    events = [line['event'] for line in read_lines(pipe[0])]
    assert events.count('member') == 300


def test_full_pipe_does_not_block(pipe: tuple[int, int]) -> None:
    """A blocking write to a pipe that nobody reads would stop the process.

    Lines that do not fit are counted, and later lines are complete again.
    """
    log = jsonlog.JsonLog('h', pipe[1], Clock())
    for _ in range(3000):
        log.state('config', detail='x' * 100)
    assert log.dropped
    dropped = log.dropped
    while True:
        try:
            os.read(pipe[0], 1 << 20)
        except BlockingIOError:
            break
    log.state('config', detail='after')
    written = [
        json.loads(line)
        for line in os.read(pipe[0], 1 << 20).splitlines()
        if line
    ]
    assert written[-1]['detail'] == 'after'
    assert written[-1]['dropped'] == dropped


def test_lines_about_steps_leave_room_for_outcomes(
    pipe: tuple[int, int],
) -> None:
    """Four guards may decline a request before its caller gets a response.

    Their lines are written first and are more numerous.  They must not use
    up the rate limit of the line about the outcome, which a search for the
    request's id should find.
    """
    log = jsonlog.JsonLog('h', pipe[1], Clock())
    for number in range(1000):
        if log.try_reserve(logbudget.LinePriority.STEP):
            log.write('declined', {'request': str(number)})
    for number in range(30):
        log.request('refused', request=str(number))
    events = [line['event'] for line in read_lines(pipe[0])]
    assert events.count('refused') == 30
    assert 0 < events.count('declined') < logbudget.BURST_LINES


def test_one_served_request_per_second_is_logged(
    pipe: tuple[int, int],
) -> None:
    log = jsonlog.JsonLog('h', pipe[1], Clock())
    for number in range(400):
        if log.try_reserve_served(number / 100):
            log.write('served', {'request': str(number)})
    logged = [line['request'] for line in read_lines(pipe[0])]
    assert logged == ['0', '100', '200', '300']
