"""Requests that crash every target that runs them."""

from collections.abc import Callable
import dataclasses
import json

import pytest

from peridotpost.decisions import poison
from peridotpost.model import calls
from testing import processes

CALL = calls.Call(
    'r',
    'read',
    'GET',
    '/x',
    (calls.Header('A', '1'), calls.Header('Date', 'today')),
    b'body',
    1000,
    True,
)
NAMES = poison.fingerprints(CALL)


def changed(**changes: object) -> calls.Call:
    return dataclasses.replace(CALL, **changes)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ('other', 'same'),
    [
        pytest.param(changed(request_id='s', budget_ms=1), True, id='again'),
        pytest.param(
            changed(headers=(calls.Header('a', '1'),)), True, id='other-date'
        ),
        pytest.param(
            changed(headers=(calls.Header('A', '2'),)), False, id='header'
        ),
        pytest.param(changed(body=b'other'), False, id='body'),
        pytest.param(changed(path='/y'), False, id='path'),
        pytest.param(changed(method='HEAD'), False, id='method'),
        pytest.param(changed(service='write'), False, id='service'),
    ],
)
def test_what_counts_as_the_same_request(
    other: calls.Call, same: bool
) -> None:
    assert (poison.fingerprints(other) == NAMES) is same


def test_same_key_with_another_body_is_the_same_request() -> None:
    first = poison.fingerprints(changed(key='k'))
    assert set(first) & set(poison.fingerprints(changed(key='k', body=b'')))


@pytest.mark.parametrize(
    ('crashes', 'at', 'refused_s'),
    [
        pytest.param([], 0, 0, id='none'),
        pytest.param([('a', '1')], 1, 0, id='one'),
        pytest.param([('a', '1'), ('b', '1')], 1, 60, id='two-targets'),
        pytest.param([('a', '1'), ('a', '2')], 1, 60, id='one-target-twice'),
        pytest.param([('a', '1'), ('a', '1')], 1, 0, id='reported-twice'),
        pytest.param(
            [('a', '1'), ('b', '1'), ('c', '1')], 1, 120, id='three-targets'
        ),
        pytest.param([('a', '1'), ('b', '1')], 62, 0, id='refusal-expired'),
    ],
)
def test_when_a_request_is_refused(
    crashes: list[tuple[str, str]], at: float, refused_s: float
) -> None:
    one = poison.PoisonList()
    for target, incident in crashes:
        one.record_crash(NAMES, target, incident, 1.0)
    assert one.refusal_remaining_s(CALL, at) == pytest.approx(refused_s)
    assert one.refusal_remaining_s(changed(path='/y'), at) == 0


def test_request_that_is_answered_is_cleared() -> None:
    """A frequent read is running on most targets that get killed.

    Two killed targets must not cause that read to be refused for everyone.
    """
    one = poison.PoisonList()
    one.record_crash(NAMES, 'a', '1', 0.0)
    one.record_answer(CALL)
    one.record_crash(NAMES, 'b', '1', 1.0)
    assert one.refusal_remaining_s(CALL, 1.0) == 0


def test_crash_that_was_cleared_is_not_believed_again() -> None:
    """Guards against blaming a request again that a target answered.

    Daemons that did not see the answer still remember the crash.
    """
    here, there, new = (poison.PoisonList() for _ in range(3))
    for incident in ('1', '2'):
        for one in (here, there):
            one.record_crash(NAMES, 'a', incident, 1.0)
    here.clear(NAMES)
    for crash in there.known_crashes(5.0):
        for one in (here, new, new):
            one.record_told(crash)
    assert here.refusal_remaining_by_names_s(NAMES, 5.0) == 0.0
    remaining_s = there.refusal_remaining_by_names_s(NAMES, 5.0)
    assert new.refusal_remaining_by_names_s(NAMES, 5.0) == remaining_s > 0


def test_crash_records_are_bounded_and_expire() -> None:
    one = poison.PoisonList()
    for number in range(2 * poison.MAX_SUSPECTS):
        one.record_crash((str(number),), 'a', '1', float(number))
    assert len(one.suspects) == poison.MAX_SUSPECTS
    one.forget(1e9)
    assert not one.suspects


TEXT = """
mesh: poison
availability_zones: [a, b, c, d]
services:
  read: {idempotent: true, deadline_ms: 3000}
"""


@pytest.mark.processes
def test_retried_crash_request_leaves_targets_running(
    running_mesh: Callable[..., processes.RunningMesh],
) -> None:
    """One request crashes every target, and its caller keeps retrying it.

    The caller goes through each daemon in turn.  Without a record of the
    crashes all four targets are down after four attempts, and no read of
    any caller is answered.
    """
    one = running_mesh(TEXT)
    one.wait_ready()
    one.wait_in_force(one.accept_config(TEXT))
    one.wait_targets(4)
    outcomes: list[str] = []
    for number in range(12):
        host = one.plan.hosts[number % 4]
        answer = processes.call(
            host, 'read', path='/', headers={'Standin-Crash': 'yes'}
        )
        outcomes.append(answer.outcome)
        if answer.outcome == 'not-run':
            problem = json.loads(answer.body)
            assert problem['type'].endswith('poison')
            assert int(answer.headers['Retry-After']) >= 30
    assert outcomes[0] == 'unknown'
    assert set(outcomes[4:]) == {'not-run'}
    running = [
        host
        for host in one.plan.hosts
        if one.processes[f'target-{host.host}'].poll() is None
    ]
    assert len(running) >= 2
    for host in one.plan.hosts:
        assert processes.call(host, 'read').status == 200
