"""The rules of keys, ledgers and the schedule; the holes found on paper."""

import random

import pytest

from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.model import calls
from testing import once_world

HOSTS = ('a0', 'a1', 'b0')
UUID7 = '01936f3e-8d2a-7c41-9b0e-5f1c7a2d3e4f'


@pytest.fixture
def world() -> once_world.World:
    """Three daemons that hold the first schedule, well after their start."""
    one = once_world.World(HOSTS)
    for host in HOSTS:
        one.see(host, HOSTS)
    extend(one)
    one.now_ms += 60_000
    extend(one)
    return one


def extend(world: once_world.World) -> None:
    for host in HOSTS:
        if world.daemons[host].works:
            world.read(host)
            world.swap(host, world.store, world.prepare(host))
    for host in HOSTS:
        world.read(host)


def fresh(world: once_world.World, owner: str) -> idempotency.Key:
    """Make a plain key of now that falls to `owner`."""
    assert world.store is not None
    for number in range(1000):
        key = idempotency.mint(world.now_ms, random.Random(number))
        span = world.store.owner_of(key)
        if span is not None and span.host == owner:
            return key
    raise AssertionError(f'{owner} owns nothing')


def settle(world: once_world.World) -> None:
    for _ in range(100):
        if world.network:
            world.deliver()


def last(world: once_world.World) -> calls.Outcome:
    return world.told[-1][1]


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
    assert key.stamp_ms == 0x01936F3E8D2A
    assert key.text == text.lower()


@pytest.mark.parametrize(
    'text',
    ['', 'order-17', UUID7.replace('-7c', '-4c'), f'{UUID7}@', f'{UUID7}@a/',
     f'{UUID7} x', UUID7.replace('-', ''), f'{UUID7}@a/b/c', 'k' * 10_000],
)  # fmt: skip
def test_other_keys_are_refused_with_how_to_mend_them(text: str) -> None:
    with pytest.raises(idempotency.BadKey, match='UUIDv7'):
        idempotency.parse(text)


def test_minted_key_reads_back(randomness: random.Random) -> None:
    key = idempotency.mint(1_700_000_000_123, randomness, 'z', 'h')
    assert idempotency.parse(key.text) == key


@pytest.mark.parametrize(
    ('max_entries', 'max_bytes'),
    [pytest.param(2, 100, id='entries'), pytest.param(9, 9, id='bytes')],
)
def test_ledger_forgets_the_oldest_stamps_and_says_so(
    randomness: random.Random, max_entries: int, max_bytes: int
) -> None:
    ledger = idempotency.Ledger(max_entries, max_bytes)
    for stamp in (30, 10, 20):
        entry = ledger.begin(idempotency.mint(stamp, randomness), b'')
        ledger.settle(entry, once_world.ANSWER)
    assert sorted(one.key.stamp_ms for one in ledger.known()) == [20, 30]
    assert ledger.forgotten_ms == 10
    assert ledger.kept_bytes == 8


def test_too_long_an_answer_is_recorded_as_run(
    randomness: random.Random,
) -> None:
    ledger = idempotency.Ledger()
    entry = ledger.begin(idempotency.mint(1, randomness), b'')
    body = b'x' * (idempotency.MAX_ANSWER_BYTES + 1)
    ledger.settle(entry, calls.Answer(200, 'OK', (), body))
    assert isinstance(entry.outcome, calls.OutcomeUnknown)
    assert not entry.never_ran


def test_owner_of_a_stamp_never_changes(world: once_world.World) -> None:
    """A copy of any age names the owner that the latest names.

    Writers with wrong views change the members five hundred times.
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
            ownership.extended(copies[-1], live, now_ms, once_world.LEAD_MS)
        )
    final = copies[-1]
    for copy in copies[-300:]:
        assert ownership.agrees(copy, final)
        for _ in range(10):
            stamp = draw.randrange(copy.floor_ms, copy.horizon_ms)
            key = idempotency.mint(stamp, draw, draw.choice(['', 'a']))
            mine, finals = copy.owner_of(key), final.owner_of(key)
            if final.covers(stamp) and mine is not None:
                assert finals is not None and mine.host == finals.host
    assert len(final.spans) < 2000


def test_another_history_is_not_taken(world: once_world.World) -> None:
    """The store comes back from an old copy, or was emptied."""
    assert world.store is not None
    other = ownership.founded(
        [ownership.Candidate('a0', 'a', 9)], world.now_ms - 1
    )
    assert not ownership.agrees(world.store, other)


def test_writer_cut_off_from_most_ends_no_span(
    world: once_world.World,
) -> None:
    """A herd kills most of a view, or the writer is the one cut off.

    The few left take nothing over, and keys of the dead get `unknown`.
    """
    world.now_ms += 60_000
    world.see('a0', ['a0'])
    for host in ('a1', 'b0'):
        world.kill(host)
    world.swap('a0', world.store, world.prepare('a0'))
    assert world.store is not None
    world.read('a0')
    world.send('a0', fresh(world, 'b0'))
    settle(world)
    assert last(world) == once_world.UNKNOWN
    key = world.mint('a0')
    assert key is not None
    settle(world)
    world.time_out('a0')
    assert world.runs[key.text] <= 1


def test_old_copies_name_the_same_owner(world: once_world.World) -> None:
    """Confirmations chain: B acts on knowledge that is itself old.

    a1 was cut off from the store while the members changed; the key that
    it and b0 receive goes to one owner all the same.
    """
    key = fresh(world, 'a0')
    world.see('b0', ['a1', 'b0'])
    world.daemons['a1'].paused = True
    world.now_ms += 60_000
    for _ in range(2):
        world.swap('b0', world.store, world.prepare('b0'))
    world.daemons['a1'].paused = False
    for host in ('a1', 'b0', 'a1'):
        world.send(host, key)
    settle(world)
    assert world.runs[key.text] == 1
    assert last(world) == once_world.ANSWER


def test_processes_that_wake_together_need_no_confirmation(
    world: once_world.World,
) -> None:
    """All pause for an hour with a dispatch under way, and wake."""
    key = fresh(world, 'a0')
    world.send('a1', key)
    for daemon in world.daemons.values():
        daemon.paused = True
    world.now_ms += 3_600_000
    for daemon in world.daemons.values():
        daemon.paused = False
    world.send('b0', key)
    settle(world)
    assert world.runs[key.text] == 1


def test_pause_between_the_check_and_the_write(
    world: once_world.World,
) -> None:
    """The owner judged, and its dispatch leaves an hour later.

    Meanwhile the key was sent again and its owner left the schedule.
    """
    key = fresh(world, 'a0')
    world.send('a1', key)
    world.deliver()
    late = world.network.pop()
    world.daemons['a0'].paused = True
    world.see('b0', ['a1', 'b0'])
    for _ in range(3):
        world.now_ms += 1_200_000
        world.swap('b0', world.store, world.prepare('b0'))
    world.send('b0', key)
    world.daemons['a0'].paused = False
    world.network.insert(0, late)
    settle(world)
    assert world.runs[key.text] == 1


def test_same_key_at_two_ingresses_as_a_view_takes_effect(
    world: once_world.World,
) -> None:
    """a1 holds the schedule before, b0 the one after.

    The keys' stamps are just before, at, and just after the old horizon.
    """
    assert world.store is not None
    horizon = world.store.horizon_ms
    world.now_ms = horizon
    world.see('b0', ['a1', 'b0'])
    world.swap('b0', world.store, world.prepare('b0'))
    for number in range(60):
        stamp = horizon - 1 + number % 3
        key = idempotency.mint(stamp, random.Random(number))
        world.send('a1', key)
        world.send('b0', key)
        settle(world)
        assert world.runs[key.text] <= 1


def test_resend_after_the_ledger_forgot_is_not_run(
    world: once_world.World,
) -> None:
    """The caller's slowest resend against the ledger's retention."""
    key = fresh(world, 'a0')
    world.send('a0', key)
    settle(world)
    ledger = world.daemons['a0'].ledger
    ledger.max_entries = 1
    world.now_ms += 1000
    world.send('a0', fresh(world, 'a0'))
    settle(world)
    assert key.text not in ledger.entries
    world.send('b0', key)
    settle(world)
    assert world.runs[key.text] == 1
    assert last(world) == once_world.UNKNOWN


@pytest.mark.parametrize('graceful', [False, True], ids=['killed', 'stopped'])
def test_restarted_owner_runs_no_key_of_its_former_process(
    world: once_world.World, graceful: bool
) -> None:
    """A key ran, its owner's process ended and another took its place.

    The host's clock was set back by twice the bound in between.
    """
    world.daemons['a0'].skew_ms = once_world.BOUND.error_ms
    world.now_ms += once_world.BOUND.ahead_ms
    key = fresh(world, 'a0')
    world.send('a0', key)
    settle(world)
    world.stop('a0') if graceful else world.kill('a0')
    world.send('b0', key)
    settle(world)
    expected = once_world.ANSWER if graceful else once_world.UNKNOWN
    assert last(world) == expected
    world.start('a0', -once_world.BOUND.error_ms)
    world.send('b0', key)
    settle(world)
    assert last(world) == expected
    assert world.runs[key.text] == 1


def test_heir_calls_no_key_of_a_later_process_not_run(
    world: once_world.World,
) -> None:
    """a0 stops gracefully; its next process runs a key and is killed.

    The heir of the first process knows nothing of that key.
    """
    world.daemons['a0'].skew_ms = once_world.BOUND.error_ms
    world.stop('a0')
    world.start('a0', -once_world.BOUND.error_ms)
    world.see('a0', HOSTS)
    key = world.mint('a0')
    assert key is not None
    settle(world)
    world.kill('a0')
    world.send('b0', key)
    settle(world)
    assert last(world) == once_world.UNKNOWN


def test_heir_proves_a_key_not_run_that_was_never_sent(
    world: once_world.World,
) -> None:
    key = fresh(world, 'a0')
    world.now_ms += 3_000
    world.stop('a0')
    world.send('b0', key)
    settle(world)
    assert last(world) == once_world.REFUSED


def test_lost_answer_of_a_swap_does_no_harm(world: once_world.World) -> None:
    """The write took effect and its writer does not know.

    It goes on with the copy before; its next swap loses and it reads.
    """
    world.now_ms += 60_000
    before = world.daemons['a0'].schedule
    world.swap('a0', world.store, world.prepare('a0'), answer_lost=True)
    assert world.daemons['a0'].schedule is before
    world.now_ms += 1
    world.swap('a0', before, world.prepare('a0'))
    world.read('a0')
    assert world.daemons['a0'].schedule is world.store


def test_doubled_dispatch_that_was_refused_is_not_run_later(
    world: once_world.World,
) -> None:
    """A guard refuses, and the owner sends the key elsewhere.

    There it runs; then the first dispatch arrives once more.
    """
    key = fresh(world, 'a0')
    world.send('a0', key)
    world.deliver()
    world.deliver(keep=True, full=True)
    settle(world)
    assert world.runs[key.text] <= 1


def test_key_from_the_future_is_not_run_and_not_later_either(
    world: once_world.World,
) -> None:
    key = idempotency.mint(
        world.now_ms + once_world.BOUND.never_taken_ms,
        random.Random(1),
        'a',
        'a0',
    )
    world.send('b0', key)
    settle(world)
    assert last(world) == once_world.REFUSED
    world.kill('a0')
    world.start('a0', 0)
    world.send('b0', key)
    settle(world)
    assert last(world) == once_world.UNKNOWN
    assert not world.runs
