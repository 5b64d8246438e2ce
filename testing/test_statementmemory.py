"""What an ingress remembers of the statements of targets."""

import pytest

from peridotpost.decisions import advertisedlimit
from peridotpost.decisions import statementmemory
from peridotpost.model import advertisement
from peridotpost.model import instances

Statement = instances.TargetStatement
LIMITED = Statement('i-1', 1000, False, 5.0)
LEAVING = Statement('i-1', 1000, True)
RESTARTED = Statement('i-1', 2000, False, 9.0)


@pytest.mark.parametrize(
    ('events', 'expected'),
    [
        pytest.param([LIMITED], LIMITED, id='limit'),
        pytest.param([LIMITED, None], None, id='answer without it'),
        pytest.param([LIMITED, LEAVING], LEAVING, id='leaving after a limit'),
        pytest.param(
            [LEAVING, LIMITED], LEAVING, id='limit of a leaving target'
        ),
        pytest.param([LEAVING, None], LEAVING, id='leaving is not taken back'),
        pytest.param([LEAVING, RESTARTED], RESTARTED, id='restarted'),
        pytest.param(
            [RESTARTED, LEAVING], RESTARTED, id='late word of an earlier start'
        ),
    ],
)
def test_statement_in_force(
    events: list[Statement | None], expected: Statement | None
) -> None:
    """None stands for an answer that states nothing."""
    memory = statementmemory.StatementMemory()
    for event in events:
        if event is None:
            memory.answered_without('a')
        else:
            memory.note('a', event)
    assert memory.get('a') == expected


def test_memory_is_bounded() -> None:
    memory = statementmemory.StatementMemory()
    for number in range(statementmemory.MAX_REMEMBERED + 10):
        memory.note(f'h{number}', LIMITED)
    assert len(memory.by_host) == statementmemory.MAX_REMEMBERED
    assert memory.get('h0') is None


def test_own_response_outdates_what_other_hosts_heard() -> None:
    limit = advertisedlimit.AdvertisedLimit()
    assert limit.restore(8.0)
    assert not limit.restore(9.0)
    assert limit.restore(5.0)
    assert limit.note(advertisement.Advertisement(), sent_at=1.0, now=2.0)
    assert not limit.restore(5.0)
    assert limit.per_s is None
