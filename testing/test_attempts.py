"""What follows each outcome, for requests of each kind."""

import pytest

from peridotpost.decisions import attempts
from peridotpost.model import forwarding

ANSWER = forwarding.TargetAnswer(200, b'OK', b'', b'')
FAILED = forwarding.TargetAnswer(500, b'', b'', b'')
LOST = forwarding.Lost('reset')
FULL = forwarding.Refused(forwarding.Refusal.FULL)
TOO_LATE = forwarding.Refused(forwarding.Refusal.TOO_LATE)
SHED = forwarding.Refused(forwarding.Refusal.SHED, arrived=True)
NO_BUDGET = forwarding.Refused(forwarding.Refusal.NO_RETRY_BUDGET)
AGAIN = attempts.Step.AGAIN
GIVE_UP = attempts.Step.GIVE_UP
DONE = attempts.Step.ANSWER


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
        pytest.param([TOO_LATE], GIVE_UP, GIVE_UP, id='too late elsewhere'),
        pytest.param([FULL] * 4, GIVE_UP, GIVE_UP, id='refused by all'),
        pytest.param([SHED], AGAIN, AGAIN, id='refused by the target'),
        pytest.param([SHED] * 2, AGAIN, AGAIN, id='by two targets'),
        pytest.param([SHED] * 4, GIVE_UP, GIVE_UP, id='by four targets'),
        pytest.param([SHED, LOST], AGAIN, GIVE_UP, id='by one, then lost'),
        pytest.param(
            [SHED, LOST, LOST], GIVE_UP, GIVE_UP, id='by one, lost twice'
        ),
        pytest.param([LOST, SHED], AGAIN, AGAIN, id='lost, then by one'),
        pytest.param([SHED, NO_BUDGET], AGAIN, AGAIN, id='no budget there'),
        pytest.param(
            [SHED, NO_BUDGET, NO_BUDGET], GIVE_UP, GIVE_UP, id='no budget'
        ),
        pytest.param([SHED, FULL, SHED], AGAIN, AGAIN, id='room at neither'),
    ],
)
def test_step_after(
    outcomes: list[forwarding.Outcome],
    read: attempts.Step,
    write: attempts.Step,
) -> None:
    for idempotent, expected in ((True, read), (False, write)):
        one = attempts.Attempts(idempotent, 2, deadline=1.0)
        steps = [one.after(it, 0.0) for it in outcomes]
        assert steps[-1] is expected


@pytest.mark.parametrize('outcome', [LOST, SHED], ids=['lost', 'refused'])
def test_no_repeat_without_time(outcome: forwarding.Outcome) -> None:
    one = attempts.Attempts(True, 2, deadline=1.0)
    assert one.after(outcome, 0.99) is GIVE_UP


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_refusal_by_the_target_is_no_attempt(idempotent: bool) -> None:
    """Each second call of a target that sheds half of its load failed."""
    one = attempts.Attempts(idempotent, 1, deadline=1.0)
    assert one.after(SHED, 0.0) is AGAIN
    assert one.after(ANSWER, 0.1) is DONE


def test_a_refusal_after_a_loss_is_no_proof_of_not_run() -> None:
    one = attempts.Attempts(True, 2, deadline=1.0)
    one.after(LOST, 0.0)
    for _ in range(attempts.MAX_REFUSALS):
        step = one.after(FULL, 0.1)
    assert step is GIVE_UP
    assert one.lost == 'reset'


@pytest.mark.parametrize(
    ('outcomes', 'repeat'),
    [
        pytest.param([FULL, FULL], forwarding.Repeat.NONE, id='never there'),
        pytest.param([SHED], forwarding.Repeat.AGAIN, id='turned away'),
        pytest.param([LOST, FULL], forwarding.Repeat.AGAIN, id='lost'),
        pytest.param(
            [FAILED, SHED], forwarding.Repeat.AFTER_FAILURE, id='failed'
        ),
    ],
)
def test_what_arrived_before_is_a_repeat(
    outcomes: list[forwarding.Outcome], repeat: forwarding.Repeat
) -> None:
    one = attempts.Attempts(True, 2, deadline=1.0)
    for outcome in outcomes:
        one.after(outcome, 0.0)
    assert one.repeat is repeat


@pytest.mark.parametrize(
    'second', [FULL, NO_BUDGET, LOST], ids=['full', 'no budget', 'lost']
)
def test_a_failure_that_was_answered_is_kept(
    second: forwarding.Outcome,
) -> None:
    """A read that ran and failed was said not to have run."""
    one = attempts.Attempts(True, 2, deadline=1.0)
    one.after(FAILED, 0.0)
    while one.after(second, 0.0) is AGAIN:
        pass
    assert one.failed is FAILED
