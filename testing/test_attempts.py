"""What follows each outcome, for requests of each kind."""

import pytest

from peridotpost.decisions import attempts
from peridotpost.model import forwarding

ANSWER = forwarding.TargetAnswer(200, b'OK', b'', b'')
FAILED = forwarding.TargetAnswer(500, b'', b'', b'')
LOST = forwarding.Lost('reset')
FULL = forwarding.Refused(forwarding.Refusal.FULL)
SHED = forwarding.Refused(forwarding.Refusal.SHED, arrived=True)
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
        pytest.param([FULL] * 4, GIVE_UP, GIVE_UP, id='refused by all'),
        pytest.param([SHED], AGAIN, AGAIN, id='refused by the target'),
        pytest.param([SHED] * 2, GIVE_UP, GIVE_UP, id='by two targets'),
    ],
)
def test_step_after(
    outcomes: list[forwarding.Outcome],
    read: attempts.Step,
    write: attempts.Step,
) -> None:
    for idempotent, expected in ((True, read), (False, write)):
        one = attempts.Attempts(idempotent, 2, deadline=1.0)
        steps = [one.after(it, 0.0, lambda: True) for it in outcomes]
        assert steps[-1] is expected


@pytest.mark.parametrize(
    ('now', 'budget'),
    [
        pytest.param(0.99, True, id='no time left'),
        pytest.param(0.0, False, id='no budget left'),
    ],
)
def test_no_repeat_without_time_or_budget(now: float, budget: bool) -> None:
    one = attempts.Attempts(True, 2, deadline=1.0)
    assert one.after(LOST, now, lambda: budget) is GIVE_UP


def test_a_refusal_after_a_loss_is_no_proof_of_not_run() -> None:
    one = attempts.Attempts(True, 2, deadline=1.0)
    one.after(LOST, 0.0, lambda: True)
    for _ in range(attempts.MAX_REFUSALS):
        step = one.after(FULL, 0.1, lambda: True)
    assert step is GIVE_UP
    assert one.lost == 'reset'
