"""Fair queueing among callers and keys at a full target."""

import random

import pytest

from peridotpost.decisions import admission
from peridotpost.decisions import fairness
from testing import gateload

SLOTS = 12
CAPACITY_PER_S = 600.0


def flow(factor: float, seed: int, **of: object) -> list[gateload.Request]:
    return gateload.poisson(
        factor * CAPACITY_PER_S, 4, seed, work_s=0.02, deadline_s=1.0, **of
    )


@pytest.mark.parametrize(
    ('hot', 'others', 'least'),
    [
        pytest.param(
            [{'caller': 'hot'}], [{'caller': 'b'}], 0.97, id='one-hot-caller'
        ),
        # All requests have the same key, so the callers' shares decide.
        pytest.param(
            [{'caller': 'hot', 'key': '/'}],
            [{'caller': 'b', 'key': '/'}],
            0.97,
            id='hot-caller-same-key',
        ),
        pytest.param(
            [{'caller': c, 'key': 'hot'} for c in 'vwxyz'],
            [{'caller': c, 'key': c} for c in 'vwxyz'],
            0.85,
            id='hot-key-of-all-callers',
        ),
    ],
)
def test_hot_flow_does_not_starve_others(
    hot: list[dict[str, str]], others: list[dict[str, str]], least: float
) -> None:
    """Guards against a hot flow that starves the others.

    One caller, or all callers about one key, send three times what the target
    can run; the others need 30% of the capacity.  First come, first served,
    the others get late answers.
    """
    requests = [
        one
        for seed, (factor, of) in enumerate(
            [(3 / len(hot), one) for one in hot]
            + [(0.3 / len(others), one) for one in others]
        )
        for one in flow(factor, seed, **of)
    ]
    fifo = gateload.drive(gateload.PlainFifo(SLOTS), requests)
    gated = gateload.drive(
        admission.Gate(SLOTS, 64, random.Random(1)), requests
    )
    for of in others:
        assert gateload.share(fifo, gateload.IN_TIME, **of) < 0.2
        assert gateload.share(gated, gateload.IN_TIME, **of) >= least
    # Capacity that the others don't use goes to the hot flow.
    assert gateload.share(gated, gateload.IN_TIME, **hot[0]) >= 0.18
    assert gateload.share(gated, gateload.LATE) == 0


def test_idle_caller_accumulates_no_credit() -> None:
    """Guards against a returning caller that blocks all others.

    One caller is served a thousand times while another is idle.  The other
    must not be served a thousand times in a row afterwards.
    """
    shares = fairness.FairShares()
    queue = fairness.FairQueue()

    def ticket(caller: str, at: float) -> fairness.Ticket:
        return fairness.Ticket(caller, caller, gateload.SHORT, at, 9.0)

    shares.start(ticket('returning', 0.0), True)
    for _ in range(1000):
        shares.start(ticket('busy', 0.0), True)
    shares.running_by_key.clear()
    for number in range(10):
        queue.push(ticket('busy', number))
        queue.push(ticket('returning', number))
    served = []
    for _ in range(10):
        popped = queue.pop(shares, SLOTS, newest_first=False)
        assert popped is not None
        shares.start(popped, True)
        shares.finish(popped)
        served.append(popped.caller)
    assert served.count('busy') >= 4


@pytest.mark.parametrize('standing_queue', [False, True])
def test_table_of_callers_is_bounded(standing_queue: bool) -> None:
    gate = admission.Gate(1, 8, random.Random(1))
    if standing_queue:
        for _ in range(2):
            gate.submit(fairness.Ticket('a', '', gateload.LONG, 0.0, 9.0), 0.0)
    running: tuple[fairness.Ticket, ...] = ()
    for number in range(9000):
        ticket = fairness.Ticket(str(number), 'k', gateload.SHORT, 0.0, 9.0)
        running = gate.submit(ticket, 0.0).started or running
        if running:
            running = gate.finish(running[0], 0.0).started
    assert len(gate.shares.virtual_times) <= fairness.MAX_CALLERS
    assert len(gate.shares.running_by_key) <= 1
