"""The schedule keeper against a fake store that injects faults."""

from collections.abc import AsyncIterator
import contextlib
import random
import zlib

import pytest

from peridotpost.calls import frames
from peridotpost.calls import peer_server
from peridotpost.calls import peers
from peridotpost.calls import schedule_keeper
from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import calls
from peridotpost.model import config
from peridotpost.model import members
from peridotpost.standins import platform as standin
from peridotpost.store import store as stores
from testing import conftest

START_S = 1_700_000_000.0


class Clock(timers.TimerService):
    """A clock that the test sets."""

    at = START_S

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


class StoreAndKeepers:
    """A fake store and the keepers of two hosts, of which `a` is a writer."""

    def __init__(self, under_test: conftest.StoreUnderTest) -> None:
        self.platform = under_test.platform
        self.store = under_test.store
        self.clock = Clock(random.Random(1))
        self.counts = counters.Counters()
        self.keepers = {host: self.keeper(host) for host in 'ab'}

    def keeper(
        self, host: str, call_port: int = 1
    ) -> schedule_keeper.ScheduleKeeper:
        events = timeline.Timeline(host, self.clock.wall)
        replica = replicas.Replica(
            host, config.Interest(), self.clock, events, self.counts
        )
        for name in 'ab':
            alive = members.Status.ALIVE
            replica.offer_member(
                members.MemberRecord(
                    name, 'z', 1, alive, 1, '127.0.0.1', 1, 1, call_port, 1
                ),
                '',
            )
        return schedule_keeper.ScheduleKeeper(
            self.store,
            'm',
            replica,
            self.clock,
            self.counts,
            60_000,
            peers.PeerStreams(self.counts),
            random.Random(1),
        )

    def now_ms(self) -> int:
        return round(self.clock.at * 1000)

    def fail(self, **faults: object) -> None:
        self.platform.set_faults(standin.Faults.model_validate(faults))


@pytest.fixture
def opened(
    etcd_store: conftest.StoreFactory,
) -> contextlib.AbstractAsyncContextManager[StoreAndKeepers]:
    @contextlib.asynccontextmanager
    async def setup() -> AsyncIterator[StoreAndKeepers]:
        async with etcd_store() as under_test:
            yield StoreAndKeepers(under_test)

    return setup()


async def test_copies_agree_and_few_writes_are_made(
    opened: contextlib.AbstractAsyncContextManager[StoreAndKeepers],
) -> None:
    async with opened as setup:
        for _ in range(600):
            for keeper in setup.keepers.values():
                await keeper.tick()
            setup.clock.at += 1
        one, two = (keeper.current for keeper in setup.keepers.values())
        assert one is not None and two is not None
        assert ownership.is_consistent(one, two)
        key = idempotency.generate_key(setup.now_ms(), random.Random(1))
        assert one.owner_of(key) == two.owner_of(key)
        # A lead of 60 s makes 40 writes in 600 s; the initial, shorter
        # leads add some.
        assert setup.counts.totals['schedule.offered'] < 60
        assert len(one.spans) == 2


@pytest.mark.parametrize(
    'faults',
    [
        pytest.param({'outage': True}, id='outage'),
        pytest.param({'garbage': True}, id='garbage'),
        pytest.param({'lose_answers': 1}, id='lost-answer'),
    ],
)
async def test_only_schedules_confirmed_by_the_store_are_adopted(
    opened: contextlib.AbstractAsyncContextManager[StoreAndKeepers],
    faults: dict[str, object],
) -> None:
    """A write fails because of a fault, which then ends."""
    async with opened as setup:
        keeper = setup.keepers['a']
        setup.fail(**faults)
        await keeper.tick()
        assert keeper.current is None
        setup.fail()
        setup.clock.at += schedule_keeper.REFRESH_INTERVAL_S
        found = await keeper.schedule_covering(setup.now_ms())
        assert found is not None and found.covers(setup.now_ms())
        await setup.keepers['b'].tick()
        assert setup.keepers['b'].current == found


class ScheduleServer:
    """Answers schedule requests like the owner of a daemon."""

    def __init__(self, keeper: schedule_keeper.ScheduleKeeper) -> None:
        self.keeper = keeper

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome:
        assert isinstance(frame, frames.ScheduleFrame)
        return self.keeper.to_answer()


async def test_daemon_that_starts_in_an_outage_asks_a_member(
    opened: contextlib.AbstractAsyncContextManager[StoreAndKeepers],
) -> None:
    async with opened as setup:
        held = setup.keepers['a']
        await held.tick()
        setup.fail(outage=True)
        server = peer_server.PeerServer(
            None,  # type: ignore[arg-type]
            setup.counts,
        )
        server.owner = ScheduleServer(held)
        async with peer_server.serving(server, '127.0.0.1', 0) as port:
            fresh = setup.keeper('b', port)
            await fresh.tick()
            await fresh.streams.close()
        assert fresh.current == held.current
        assert fresh.revision == held.revision


async def test_contradictory_schedule_is_not_adopted(
    opened: contextlib.AbstractAsyncContextManager[StoreAndKeepers],
) -> None:
    """The record is replaced by a contradictory or an invalid one."""
    async with opened as setup:
        keeper = setup.keepers['a']
        await keeper.tick()
        held = keeper.current
        other = ownership.initial_schedule(
            [ownership.Candidate('c', 'z', 1)], setup.now_ms()
        )
        for value in (
            schedule_keeper.encode(other),
            b'',
            zlib.compress(b'[]'),
        ):
            read = await setup.store.read(keeper.key)
            current = read.unwrap()
            assert current is not None
            await setup.store.swap(
                keeper.key,
                current.revision,
                [stores.Put(keeper.key, value)],
            )
            setup.clock.at += 1
            await keeper.tick()
            assert keeper.current is held
        assert setup.counts.totals['schedule.contradicted'] == 1
