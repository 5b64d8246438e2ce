"""Next step after each outcome of a dispatch, for reads and writes."""

import pytest

from peridotpost.decisions import attempts
from peridotpost.model import forwarding

ANSWER = forwarding.TargetAnswer(200, b'OK', b'', b'')
FAILED = forwarding.TargetAnswer(500, b'', b'', b'')
LOST = forwarding.ResponseLost('reset')
FULL = forwarding.Refused(forwarding.Refusal.FULL)
TOO_LATE = forwarding.Refused(forwarding.Refusal.TOO_LATE)
SHED = forwarding.Refused(forwarding.Refusal.SHED, arrived=True)
NO_BUDGET = forwarding.Refused(forwarding.Refusal.NO_RETRY_BUDGET)
AGAIN = attempts.Action.RETRY
GIVE_UP = attempts.Action.GIVE_UP
DONE = attempts.Action.ANSWER


@pytest.mark.parametrize(
    ('outcomes', 'read', 'write'),
    [
        pytest.param([ANSWER], DONE, DONE, id='answered'),
        pytest.param([FAILED], AGAIN, DONE, id='failed'),
        pytest.param([FAILED, FAILED], DONE, DONE, id='failed twice'),
        pytest.param([LOST], AGAIN, GIVE_UP, id='lost'),
        pytest.param([LOST, LOST], GIVE_UP, GIVE_UP, id='lost twice'),
        pytest.param([LOST, FULL], AGAIN, AGAIN, id='lost, then refused'),
        pytest.param([FULL], AGAIN, AGAIN, id='refused'),
        pytest.param([TOO_LATE], GIVE_UP, GIVE_UP, id='too late'),
        pytest.param([FULL] * 4, GIVE_UP, GIVE_UP, id='refused by all'),
        pytest.param([SHED], AGAIN, AGAIN, id='shed by the target'),
        pytest.param([SHED] * 2, AGAIN, AGAIN, id='shed by two'),
        pytest.param([SHED] * 4, GIVE_UP, GIVE_UP, id='shed by four'),
        pytest.param([SHED, LOST], AGAIN, GIVE_UP, id='shed, then lost'),
        pytest.param(
            [SHED, LOST, LOST], GIVE_UP, GIVE_UP, id='shed, then lost twice'
        ),
        pytest.param([LOST, SHED], AGAIN, AGAIN, id='lost, then shed'),
        pytest.param([SHED, NO_BUDGET], AGAIN, AGAIN, id='no budget at one'),
        pytest.param(
            [SHED, NO_BUDGET, NO_BUDGET],
            GIVE_UP,
            GIVE_UP,
            id='no budget at two',
        ),
        pytest.param([SHED, FULL, SHED], AGAIN, AGAIN, id='shed, full, shed'),
    ],
)
def test_step_after(
    outcomes: list[forwarding.Outcome],
    read: attempts.Action,
    write: attempts.Action,
) -> None:
    for idempotent, expected in ((True, read), (False, write)):
        request = attempts.Attempts(idempotent, 2, deadline=1.0)
        steps = [request.after(outcome, 0.0) for outcome in outcomes]
        assert steps[-1] is expected


@pytest.mark.parametrize('outcome', [LOST, SHED], ids=['lost', 'refused'])
def test_no_retry_without_time(outcome: forwarding.Outcome) -> None:
    request = attempts.Attempts(True, 2, deadline=1.0)
    assert request.after(outcome, 0.99) is GIVE_UP


@pytest.mark.parametrize('idempotent', [True, False])
def test_shed_call_uses_up_no_attempt(idempotent: bool) -> None:
    """Guards against failed calls at a target that sheds half of its load.

    If a shed call used up an attempt, every second call would fail.
    """
    request = attempts.Attempts(idempotent, 1, deadline=1.0)
    assert request.after(SHED, 0.0) is AGAIN
    assert request.after(ANSWER, 0.1) is DONE


def test_refusal_after_a_lost_response_does_not_prove_not_run() -> None:
    request = attempts.Attempts(True, 2, deadline=1.0)
    request.after(LOST, 0.0)
    for _ in range(attempts.MAX_REFUSALS):
        step = request.after(FULL, 0.1)
    assert step is GIVE_UP
    assert request.lost_detail == 'reset'


@pytest.mark.parametrize(
    ('outcomes', 'repeat'),
    [
        pytest.param([FULL, FULL], forwarding.RetryCause.NONE, id='full'),
        pytest.param([SHED], forwarding.RetryCause.REFUSED_OR_LOST, id='shed'),
        pytest.param(
            [LOST, FULL], forwarding.RetryCause.REFUSED_OR_LOST, id='lost'
        ),
        pytest.param(
            [FAILED, SHED], forwarding.RetryCause.AFTER_FAILURE, id='failed'
        ),
    ],
)
def test_dispatch_after_an_arrival_is_a_retry(
    outcomes: list[forwarding.Outcome], repeat: forwarding.RetryCause
) -> None:
    request = attempts.Attempts(True, 2, deadline=1.0)
    for outcome in outcomes:
        request.after(outcome, 0.0)
    assert request.retry_cause is repeat


@pytest.mark.parametrize(
    'second', [FULL, NO_BUDGET, LOST], ids=['full', 'no budget', 'lost']
)
def test_failure_answer_is_kept_after_a_failed_retry(
    second: forwarding.Outcome,
) -> None:
    """Guards against reporting a read that ran and failed as not run."""
    request = attempts.Attempts(True, 2, deadline=1.0)
    request.after(FAILED, 0.0)
    while request.after(second, 0.0) is AGAIN:
        pass
    assert request.failure_answer is FAILED
