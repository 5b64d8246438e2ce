"""The schedule against the store's stand-in, with its faults."""

from collections.abc import AsyncIterator
import contextlib
import random
import zlib

import pytest

from peridotpost.calls import frames
from peridotpost.calls import peer_server
from peridotpost.calls import peers
from peridotpost.calls import views
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
    """Time that passes when told to."""

    at = START_S

    def now(self) -> float:
        return self.at

    def wall(self) -> float:
        return self.at


class Kept:
    """A store stand-in and keepers of two hosts, `a` being a writer."""

    def __init__(self, under_test: conftest.StoreUnderTest) -> None:
        self.platform = under_test.platform
        self.store = under_test.store
        self.clock = Clock(random.Random(1))
        self.counts = counters.Counters()
        self.keepers = {host: self.keeper(host) for host in 'ab'}

    def keeper(self, host: str, call_port: int = 1) -> views.ScheduleKeeper:
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
        return views.ScheduleKeeper(
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
) -> contextlib.AbstractAsyncContextManager[Kept]:
    @contextlib.asynccontextmanager
    async def kept() -> AsyncIterator[Kept]:
        async with etcd_store() as under_test:
            yield Kept(under_test)

    return kept()


async def test_copies_agree_and_few_writes_are_made(
    opened: contextlib.AbstractAsyncContextManager[Kept],
) -> None:
    async with opened as kept:
        for _ in range(600):
            for keeper in kept.keepers.values():
                await keeper.tick()
            kept.clock.at += 1
        one, two = (keeper.current for keeper in kept.keepers.values())
        assert one is not None and two is not None
        assert ownership.agrees(one, two)
        key = idempotency.mint(kept.now_ms(), random.Random(1))
        assert one.owner_of(key) == two.owner_of(key)
        # 600 s at a lead of 60 s are 40; the shorter ones before add some.
        assert kept.counts.totals['schedule.offered'] < 60
        assert len(one.spans) == 2


@pytest.mark.parametrize(
    'faults',
    [
        pytest.param({'outage': True}, id='outage'),
        pytest.param({'garbage': True}, id='garbage'),
        pytest.param({'lose_answers': 1}, id='lost-answer'),
    ],
)
async def test_only_what_the_store_confirmed_is_held(
    opened: contextlib.AbstractAsyncContextManager[Kept],
    faults: dict[str, object],
) -> None:
    """A write meets a fault; then the store is well again."""
    async with opened as kept:
        keeper = kept.keepers['a']
        kept.fail(**faults)
        await keeper.tick()
        assert keeper.current is None
        kept.fail()
        kept.clock.at += views.ASK_AGAIN_S
        found = await keeper.reach(kept.now_ms())
        assert found is not None and found.covers(kept.now_ms())
        await kept.keepers['b'].tick()
        assert kept.keepers['b'].current == found


class Answering:
    """Answers as the owner's part of a daemon does."""

    def __init__(self, keeper: views.ScheduleKeeper) -> None:
        self.keeper = keeper

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome:
        assert isinstance(frame, frames.ScheduleFrame)
        return self.keeper.to_answer()


async def test_daemon_that_starts_in_an_outage_asks_a_member(
    opened: contextlib.AbstractAsyncContextManager[Kept],
) -> None:
    async with opened as kept:
        held = kept.keepers['a']
        await held.tick()
        kept.fail(outage=True)
        server = peer_server.PeerServer(
            None,  # type: ignore[arg-type]
            kept.counts,
        )
        server.owner = Answering(held)
        async with peer_server.serving(server, '127.0.0.1', 0) as port:
            fresh = kept.keeper('b', port)
            await fresh.tick()
            await fresh.streams.close()
        assert fresh.current == held.current
        assert fresh.revision == held.revision


async def test_store_that_lost_its_data_is_not_followed(
    opened: contextlib.AbstractAsyncContextManager[Kept],
) -> None:
    """The record is replaced by one that names other owners."""
    async with opened as kept:
        keeper = kept.keepers['a']
        await keeper.tick()
        held = keeper.current
        other = ownership.founded(
            [ownership.Candidate('c', 'z', 1)], kept.now_ms()
        )
        for value in (views.encode(other), b'', zlib.compress(b'[]')):
            read = await kept.store.read(keeper.key)
            current = read.unwrap()
            assert current is not None
            await kept.store.swap(
                keeper.key,
                current.revision,
                [stores.Put(keeper.key, value)],
            )
            kept.clock.at += 1
            await keeper.tick()
            assert keeper.current is held
        assert kept.counts.totals['schedule.contradicted'] == 1
