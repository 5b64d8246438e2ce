"""The guard's record of dispatches, and ledgers kept for others."""

import asyncio
import dataclasses
import random

import pytest

from peridotpost.calls import heirs
from peridotpost.calls import ledger
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
    ('first', 'attempt', 'runs', 'told'),
    [
        pytest.param(REFUSED, 5, 1, REFUSED, id='refused-arrives-twice'),
        pytest.param(REFUSED, 6, 2, ANSWER, id='refused-then-the-next'),
        pytest.param(REFUSED, 4, 1, None, id='refused-then-an-older'),
        pytest.param(ANSWER, 5, 1, ledger.ANSWERED, id='ran-arrives-twice'),
        pytest.param(ANSWER, 6, 1, ledger.ANSWERED, id='ran-then-the-next'),
        pytest.param(LOST, 6, 1, LOST, id='lost-then-the-next'),
    ],
)
async def test_guard_runs_a_key_again_only_after_a_refusal(
    first: calls.Outcome, attempt: int, runs: int, told: calls.Outcome | None
) -> None:
    guarded = ledger.DispatchLedger()
    outcomes = [ANSWER, first]
    assert await guarded.run(CALL, lambda: answered(outcomes)) == first
    later = dataclasses.replace(CALL, attempt=attempt)
    outcome = await guarded.run(later, lambda: answered(outcomes))
    if told is None:
        assert isinstance(outcome, calls.OutcomeUnknown)
    else:
        assert outcome == told
    assert len(outcomes) == 2 - runs


async def answered(outcomes: list[calls.Outcome]) -> calls.Outcome:
    return outcomes.pop()


async def test_run_goes_on_when_its_caller_leaves() -> None:
    """The caller's stream closes while the target works; a resend joins."""
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
def kept(randomness: random.Random) -> heirs.Heirs:
    counts = counters.Counters()
    clock = timers.TimerService(randomness)
    events = timeline.Timeline('heir', clock.wall)
    replica = replicas.Replica(
        'heir', config.Interest(), clock, events, counts
    )
    return heirs.Heirs(replica, peers.PeerStreams(counts), counts)


def handed(host: str, count: int, size: int) -> idempotency.HandedLedger:
    answer = calls.Answer(200, 'OK', (), b'x' * size)
    entries = tuple(
        idempotency.HandedEntry(key_of(host, 50 + one).text, b'', answer)
        for one in range(count)
    )
    return idempotency.HandedLedger(host, frozenset({1}), 10, 99, entries)


def key_of(host: str, stamp_ms: int) -> idempotency.Key:
    return idempotency.mint(stamp_ms, random.Random(stamp_ms), 'z', host)


def test_ledger_in_pieces_proves_with_the_last_one(kept: heirs.Heirs) -> None:
    whole = handed('h', 5, heirs.PIECE_BYTES // 2)
    *pieces, last = heirs.pieces_of(whole)
    assert len(pieces) == 4
    for piece in pieces:
        kept.take(piece, 100)
    unsent = key_of('h', 30)
    assert isinstance(kept.look_up(unsent, 'h', None), calls.OutcomeUnknown)
    kept.take(last, 100)
    assert isinstance(kept.look_up(unsent, 'h', None), calls.NotRun)
    for entry in whole.entries:
        key = idempotency.parse(entry.key)
        assert kept.look_up(key, 'h', None) == entry.answer


@pytest.mark.parametrize(
    'stamp_ms', [10, 100], ids=['before-its-record', 'after-it-stopped']
)
def test_heir_proves_nothing_beyond_the_record(
    kept: heirs.Heirs, stamp_ms: int
) -> None:
    kept.take(handed('h', 1, 1), 100)
    outcome = kept.look_up(key_of('h', stamp_ms), 'h', None)
    assert isinstance(outcome, calls.OutcomeUnknown)


def test_kept_ledgers_are_bounded(kept: heirs.Heirs) -> None:
    for number in range(40):
        for piece in heirs.pieces_of(handed(f'h{number}', 2, 1_000_000)):
            kept.take(piece, 100)
    assert sum(one.size for one in kept.kept.values()) <= heirs.MAX_BYTES
    assert 'h39' in kept.kept and 'h0' not in kept.kept
    kept.take(handed('late', 1, 1), 100 + 3_600_001)
    assert list(kept.kept) == ['late']
