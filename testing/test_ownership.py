"""Rules of keys, ledgers and the schedule, and faults found by analysis."""

import random

import pytest

from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.model import calls
from testing import ownership_model

HOSTS = ('a0', 'a1', 'b0')
UUID7 = '01936f3e-8d2a-7c41-9b0e-5f1c7a2d3e4f'


@pytest.fixture
def world() -> ownership_model.World:
    """Three daemons with an extended schedule, a minute after their start."""
    one = ownership_model.World(HOSTS)
    for host in HOSTS:
        one.set_view(host, HOSTS)
    extend(one)
    one.now_ms += 60_000
    extend(one)
    return one


def extend(world: ownership_model.World) -> None:
    for host in HOSTS:
        if world.daemons[host].is_running:
            world.read(host)
            world.swap(host, world.store, world.prepare(host))
    for host in HOSTS:
        world.read(host)


def fresh_key(world: ownership_model.World, owner: str) -> idempotency.Key:
    """Return a plain key with the current timestamp, owned by `owner`."""
    assert world.store is not None
    for number in range(1000):
        key = idempotency.generate_key(world.now_ms, random.Random(number))
        span = world.store.owner_of(key)
        if span is not None and span.host == owner:
            return key
    raise AssertionError(f'{owner} owns nothing')


def deliver_all(world: ownership_model.World) -> None:
    for _ in range(100):
        if world.network:
            world.deliver()


def last_answer(world: ownership_model.World) -> calls.Outcome:
    return world.answers[-1][1]


@pytest.mark.parametrize(
    ('text', 'zone', 'host'),
    [
        pytest.param(UUID7, '', '', id='plain'),
        pytest.param(UUID7.upper(), '', '', id='upper-case'),
        pytest.param(f'{UUID7}@hel-a', 'hel-a', '', id='zone'),
        pytest.param(f'{UUID7}@hel-a/h-1', 'hel-a', 'h-1', id='host'),
    ],
)
def test_key_is_read(text: str, zone: str, host: str) -> None:
    key = idempotency.parse(text)
    assert (key.zone, key.host) == (zone, host)
    assert key.timestamp_ms == 0x01936F3E8D2A
    assert key.text == text.lower()


@pytest.mark.parametrize(
    'text',
    ['', 'order-17', UUID7.replace('-7c', '-4c'), f'{UUID7}@', f'{UUID7}@a/',
     f'{UUID7} x', UUID7.replace('-', ''), f'{UUID7}@a/b/c', 'k' * 10_000],
)  # fmt: skip
def test_invalid_keys_are_rejected_with_the_valid_format(text: str) -> None:
    with pytest.raises(idempotency.BadKey, match='UUIDv7'):
        idempotency.parse(text)


def test_generated_key_can_be_parsed(randomness: random.Random) -> None:
    key = idempotency.generate_key(1_700_000_000_123, randomness, 'z', 'h')
    assert idempotency.parse(key.text) == key


@pytest.mark.parametrize(
    ('max_entries', 'max_bytes'),
    [pytest.param(2, 100, id='entries'), pytest.param(9, 9, id='bytes')],
)
def test_ledger_evicts_the_oldest_timestamps_and_records_it(
    randomness: random.Random, max_entries: int, max_bytes: int
) -> None:
    ledger = idempotency.Ledger(max_entries, max_bytes)
    for timestamp in (30, 10, 20):
        entry = ledger.begin(
            idempotency.generate_key(timestamp, randomness), b''
        )
        ledger.finish(entry, ownership_model.ANSWER)
    assert sorted(one.key.timestamp_ms for one in ledger.all_entries()) == [
        20,
        30,
    ]
    assert ledger.evicted_through_ms == 10
    assert ledger.total_answer_bytes == 8


def test_too_long_an_answer_is_recorded_as_run(
    randomness: random.Random,
) -> None:
    ledger = idempotency.Ledger()
    entry = ledger.begin(idempotency.generate_key(1, randomness), b'')
    body = b'x' * (idempotency.MAX_ANSWER_BYTES + 1)
    ledger.finish(entry, calls.Answer(200, 'OK', (), body))
    assert isinstance(entry.outcome, calls.OutcomeUnknown)
    assert not entry.never_ran


def test_owner_of_a_timestamp_never_changes(
    world: ownership_model.World,
) -> None:
    """A copy of any age names the same owner as the latest schedule.

    Writers with incorrect member views extend the schedule 500 times.
    """
    draw = random.Random(7)
    assert world.store is not None
    copies = [world.store]
    now_ms = world.now_ms
    for number in range(500):
        now_ms += draw.randrange(9_000)
        live = [
            ownership.Candidate(host, host[0], draw.randrange(2))
            for host in draw.sample(HOSTS, draw.randrange(1, 4))
        ]
        copies.append(
            ownership.extend_schedule(
                copies[-1], live, now_ms, ownership_model.LEAD_MS
            )
        )
    final = copies[-1]
    for copy in copies[-300:]:
        assert ownership.is_consistent(copy, final)
        for _ in range(10):
            timestamp = draw.randrange(copy.floor_ms, copy.horizon_ms)
            key = idempotency.generate_key(
                timestamp, draw, draw.choice(['', 'a'])
            )
            mine, finals = copy.owner_of(key), final.owner_of(key)
            if final.covers(timestamp) and mine is not None:
                assert finals is not None and mine.host == finals.host
    assert len(final.spans) < 2000


def test_contradictory_schedule_is_detected(
    world: ownership_model.World,
) -> None:
    """The store was restored from a backup, or lost its data."""
    assert world.store is not None
    other = ownership.initial_schedule(
        [ownership.Candidate('a0', 'a', 9)], world.now_ms - 1
    )
    assert not ownership.is_consistent(world.store, other)


def test_writer_that_sees_few_owners_ends_no_span(
    world: ownership_model.World,
) -> None:
    """Most owners fail at once, or the writer is partitioned from them.

    The rest take over no spans, and keys of the failed hosts get `unknown`.
    """
    world.now_ms += 60_000
    world.set_view('a0', ['a0'])
    for host in ('a1', 'b0'):
        world.kill(host)
    world.swap('a0', world.store, world.prepare('a0'))
    assert world.store is not None
    world.read('a0')
    world.send('a0', fresh_key(world, 'b0'))
    deliver_all(world)
    assert last_answer(world) == ownership_model.UNKNOWN
    key = world.generate_key('a0')
    assert key is not None
    deliver_all(world)
    world.time_out('a0')
    assert world.runs[key.text] <= 1


def test_old_copies_name_the_same_owner(world: ownership_model.World) -> None:
    """Daemons with copies of different age name the same owner.

    a1 is paused while the members change; it and b0 then receive the same
    key.
    """
    key = fresh_key(world, 'a0')
    world.set_view('b0', ['a1', 'b0'])
    world.daemons['a1'].paused = True
    world.now_ms += 60_000
    for _ in range(2):
        world.swap('b0', world.store, world.prepare('b0'))
    world.daemons['a1'].paused = False
    for host in ('a1', 'b0', 'a1'):
        world.send(host, key)
    deliver_all(world)
    assert world.runs[key.text] == 1
    assert last_answer(world) == ownership_model.ANSWER


def test_key_runs_once_if_all_processes_pause_during_a_dispatch(
    world: ownership_model.World,
) -> None:
    """All processes pause for an hour during a dispatch, then resume."""
    key = fresh_key(world, 'a0')
    world.send('a1', key)
    for daemon in world.daemons.values():
        daemon.paused = True
    world.now_ms += 3_600_000
    for daemon in world.daemons.values():
        daemon.paused = False
    world.send('b0', key)
    deliver_all(world)
    assert world.runs[key.text] == 1


def test_pause_between_the_check_and_the_write(
    world: ownership_model.World,
) -> None:
    """A dispatch arrives an hour after the owner decided to run the key.

    Meanwhile the key is resent and its owner is removed from the schedule.
    """
    key = fresh_key(world, 'a0')
    world.send('a1', key)
    world.deliver()
    late = world.network.pop()
    world.daemons['a0'].paused = True
    world.set_view('b0', ['a1', 'b0'])
    for _ in range(3):
        world.now_ms += 1_200_000
        world.swap('b0', world.store, world.prepare('b0'))
    world.send('b0', key)
    world.daemons['a0'].paused = False
    world.network.insert(0, late)
    deliver_all(world)
    assert world.runs[key.text] == 1


def test_same_key_at_two_ingresses_with_different_schedules(
    world: ownership_model.World,
) -> None:
    """a1 has the schedule before the change, b0 the one after it.

    The timestamps are just before, at and just after the old horizon.
    """
    assert world.store is not None
    horizon = world.store.horizon_ms
    world.now_ms = horizon
    world.set_view('b0', ['a1', 'b0'])
    world.swap('b0', world.store, world.prepare('b0'))
    for number in range(60):
        timestamp = horizon - 1 + number % 3
        key = idempotency.generate_key(timestamp, random.Random(number))
        world.send('a1', key)
        world.send('b0', key)
        deliver_all(world)
        assert world.runs[key.text] <= 1


def test_resend_of_an_evicted_key_is_not_run(
    world: ownership_model.World,
) -> None:
    """A caller resends a key after its entry was evicted."""
    key = fresh_key(world, 'a0')
    world.send('a0', key)
    deliver_all(world)
    ledger = world.daemons['a0'].ledger
    ledger.max_entries = 1
    world.now_ms += 1000
    world.send('a0', fresh_key(world, 'a0'))
    deliver_all(world)
    assert key.text not in ledger.entries
    world.send('b0', key)
    deliver_all(world)
    assert world.runs[key.text] == 1
    assert last_answer(world) == ownership_model.UNKNOWN


@pytest.mark.parametrize('graceful', [False, True], ids=['killed', 'stopped'])
def test_restarted_owner_runs_no_key_of_its_previous_process(
    world: ownership_model.World, graceful: bool
) -> None:
    """A key ran, then its owner's process was replaced by another.

    The host's clock is set back by twice `error_ms` in between.
    """
    world.daemons['a0'].skew_ms = ownership_model.BOUND.error_ms
    world.now_ms += ownership_model.BOUND.max_skew_ms
    key = fresh_key(world, 'a0')
    world.send('a0', key)
    deliver_all(world)
    world.stop('a0') if graceful else world.kill('a0')
    world.send('b0', key)
    deliver_all(world)
    expected = ownership_model.ANSWER if graceful else ownership_model.UNKNOWN
    assert last_answer(world) == expected
    world.start('a0', -ownership_model.BOUND.error_ms)
    world.send('b0', key)
    deliver_all(world)
    assert last_answer(world) == expected
    assert world.runs[key.text] == 1


def test_successor_proves_nothing_about_a_later_process(
    world: ownership_model.World,
) -> None:
    """A successor must not report a later process's key as not run.

    a0 stops gracefully; its next process runs a key and is killed.  The
    successor of the first process has no entry for that key.
    """
    world.daemons['a0'].skew_ms = ownership_model.BOUND.error_ms
    world.stop('a0')
    world.start('a0', -ownership_model.BOUND.error_ms)
    world.set_view('a0', HOSTS)
    key = world.generate_key('a0')
    assert key is not None
    deliver_all(world)
    world.kill('a0')
    world.send('b0', key)
    deliver_all(world)
    assert last_answer(world) == ownership_model.UNKNOWN


def test_successor_proves_that_an_unsent_key_was_not_run(
    world: ownership_model.World,
) -> None:
    key = fresh_key(world, 'a0')
    world.now_ms += 3_000
    world.stop('a0')
    world.send('b0', key)
    deliver_all(world)
    assert last_answer(world) == ownership_model.REFUSED


def test_lost_answer_of_a_swap_is_harmless(
    world: ownership_model.World,
) -> None:
    """A write succeeds, but the writer does not receive the answer.

    It keeps its previous copy, its next swap fails, and it reads again.
    """
    world.now_ms += 60_000
    before = world.daemons['a0'].schedule
    world.swap('a0', world.store, world.prepare('a0'), answer_lost=True)
    assert world.daemons['a0'].schedule is before
    world.now_ms += 1
    world.swap('a0', before, world.prepare('a0'))
    world.read('a0')
    assert world.daemons['a0'].schedule is world.store


def test_duplicate_of_a_refused_dispatch_is_not_run(
    world: ownership_model.World,
) -> None:
    """A duplicate of a refused dispatch arrives after the key has run.

    The guard refused the first copy, so the owner sent the key to another
    guard, which ran it.
    """
    key = fresh_key(world, 'a0')
    world.send('a0', key)
    world.deliver()
    world.deliver(keep=True, full=True)
    deliver_all(world)
    assert world.runs[key.text] <= 1


def test_key_from_the_future_is_never_run(
    world: ownership_model.World,
) -> None:
    key = idempotency.generate_key(
        world.now_ms + ownership_model.BOUND.max_accepted_ahead_ms,
        random.Random(1),
        'a',
        'a0',
    )
    world.send('b0', key)
    deliver_all(world)
    assert last_answer(world) == ownership_model.REFUSED
    world.kill('a0')
    world.start('a0', 0)
    world.send('b0', key)
    deliver_all(world)
    assert last_answer(world) == ownership_model.UNKNOWN
    assert not world.runs
