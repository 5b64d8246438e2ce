"""The guard's ledger of dispatches, and the handover of ledgers."""

import asyncio
import dataclasses
import random

import pytest

from peridotpost.calls import ledger
from peridotpost.calls import ledger_handover
from peridotpost.calls import peers
from peridotpost.decisions import idempotency
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import calls
from peridotpost.model import config

CALL = calls.Call('r', 's', 'POST', '/', (), b'', 100, False, 'k', attempt=5)
ANSWER = calls.Answer(200, 'OK', (), b'done')
REFUSED = calls.NotRun(calls.NotRunReason.FULL, 'full')
LOST = calls.OutcomeUnknown('lost')


@pytest.mark.parametrize(
    ('first', 'attempt', 'runs', 'expected'),
    [
        pytest.param(REFUSED, 5, 1, REFUSED, id='refused-arrives-twice'),
        pytest.param(REFUSED, 6, 2, ANSWER, id='refused-then-the-next'),
        pytest.param(REFUSED, 4, 1, None, id='refused-then-an-older'),
        pytest.param(
            ANSWER, 5, 1, ledger.ANSWER_AT_OWNER, id='ran-arrives-twice'
        ),
        pytest.param(
            ANSWER, 6, 1, ledger.ANSWER_AT_OWNER, id='ran-then-the-next'
        ),
        pytest.param(LOST, 6, 1, LOST, id='lost-then-the-next'),
    ],
)
async def test_guard_runs_a_key_again_only_after_a_refusal(
    first: calls.Outcome,
    attempt: int,
    runs: int,
    expected: calls.Outcome | None,
) -> None:
    guarded = ledger.DispatchLedger()
    outcomes = [ANSWER, first]
    assert await guarded.run(CALL, lambda: answered(outcomes)) == first
    later = dataclasses.replace(CALL, attempt=attempt)
    outcome = await guarded.run(later, lambda: answered(outcomes))
    if expected is None:
        assert isinstance(outcome, calls.OutcomeUnknown)
    else:
        assert outcome == expected
    assert len(outcomes) == 2 - runs


async def answered(outcomes: list[calls.Outcome]) -> calls.Outcome:
    return outcomes.pop()


async def test_run_continues_after_its_caller_disconnects() -> None:
    """The caller disconnects during the run; a resend joins the run."""
    guarded = ledger.DispatchLedger()
    end = asyncio.Event()
    started = asyncio.Event()

    async def work() -> calls.Outcome:
        started.set()
        await end.wait()
        return ANSWER

    first = asyncio.ensure_future(guarded.run(CALL, work))
    await started.wait()
    first.cancel()
    second = asyncio.ensure_future(guarded.run(CALL, work))
    await asyncio.wait({first})
    end.set()
    assert await second == ANSWER


@pytest.fixture
def handover(randomness: random.Random) -> ledger_handover.LedgerHandover:
    counts = counters.Counters()
    clock = timers.TimerService(randomness)
    events = timeline.Timeline('successor', clock.wall)
    replica = replicas.Replica(
        'successor', config.Interest(), clock, events, counts
    )
    return ledger_handover.LedgerHandover(
        replica, peers.PeerStreams(counts), counts
    )


def handover_of(
    host: str, count: int, size: int
) -> idempotency.HandoverLedger:
    answer = calls.Answer(200, 'OK', (), b'x' * size)
    entries = tuple(
        idempotency.HandoverEntry(key_of(host, 50 + one).text, b'', answer)
        for one in range(count)
    )
    return idempotency.HandoverLedger(host, frozenset({1}), 10, 99, entries)


def key_of(host: str, timestamp_ms: int) -> idempotency.Key:
    return idempotency.generate_key(
        timestamp_ms, random.Random(timestamp_ms), 'z', host
    )


def test_only_the_last_chunk_proves_keys_not_run(
    handover: ledger_handover.LedgerHandover,
) -> None:
    whole = handover_of('h', 5, ledger_handover.MAX_CHUNK_BYTES // 2)
    *pieces, last = ledger_handover.split_into_chunks(whole)
    assert len(pieces) == 4
    for piece in pieces:
        handover.store(piece, 100)
    unsent = key_of('h', 30)
    assert isinstance(
        handover.look_up(unsent, 'h', None), calls.OutcomeUnknown
    )
    handover.store(last, 100)
    assert isinstance(handover.look_up(unsent, 'h', None), calls.NotRun)
    for entry in whole.entries:
        key = idempotency.parse(entry.key)
        assert handover.look_up(key, 'h', None) == entry.answer


@pytest.mark.parametrize(
    'timestamp_ms', [10, 100], ids=['before-its-record', 'after-it-stopped']
)
def test_successor_proves_nothing_outside_the_ledgers_period(
    handover: ledger_handover.LedgerHandover, timestamp_ms: int
) -> None:
    handover.store(handover_of('h', 1, 1), 100)
    outcome = handover.look_up(key_of('h', timestamp_ms), 'h', None)
    assert isinstance(outcome, calls.OutcomeUnknown)


def test_stored_ledgers_are_bounded(
    handover: ledger_handover.LedgerHandover,
) -> None:
    for number in range(40):
        for piece in ledger_handover.split_into_chunks(
            handover_of(f'h{number}', 2, 1_000_000)
        ):
            handover.store(piece, 100)
    assert (
        sum(one.size for one in handover.ledgers.values())
        <= ledger_handover.MAX_STORED_BYTES
    )
    assert 'h39' in handover.ledgers and 'h0' not in handover.ledgers
    handover.store(handover_of('late', 1, 1), 100 + 3_600_001)
    assert list(handover.ledgers) == ['late']
