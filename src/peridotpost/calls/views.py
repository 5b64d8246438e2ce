"""The schedule of owners: read from the store, carried on by a few.

One record for the mesh.  It is written once in a quarter of its lead (or
sooner while the mesh is young), never for a call; each daemon reads it
eight times in a lead: at an hour and 5,200 daemons, 12 reads a second.
"""

import asyncio
import json
import random
import zlib

import result

from peridotpost.calls import frames
from peridotpost.calls import peers
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.kernel import timers
from peridotpost.model import calls
from peridotpost.model import errors
from peridotpost.store import store as stores

TICK_S = 1.0
MS_IN_S = 1000
READS_PER_LEAD = 8
FOUND = 200
ASK_AGAIN_S = 0.5
"""Between two reads for calls whose stamps the copy does not cover."""


def schedule_key(mesh: str) -> str:
    return f'peridotpost/{mesh}/owners'


def encode(schedule: ownership.Schedule) -> bytes:
    plain = {
        'founded_ms': schedule.founded_ms,
        'floor_ms': schedule.floor_ms,
        'horizon_ms': schedule.horizon_ms,
        'spans': [_to_row(one) for one in schedule.spans],
    }
    return zlib.compress(json.dumps(plain).encode())


def decode(kv: stores.KeyValue) -> ownership.Schedule:
    """Read a record.

    :raises errors.StoreGarbage: it is none.
    """
    try:
        plain = json.loads(zlib.decompress(kv.value))
        return ownership.Schedule(
            int(plain['founded_ms']),
            int(plain['floor_ms']),
            int(plain['horizon_ms']),
            tuple(_from_row(*row) for row in plain['spans']),
        )
    except (zlib.error, ValueError, KeyError, TypeError) as error:
        raise errors.StoreGarbage(
            repr(error), step='schedule.read', peer=kv.key
        ) from error


Row = tuple[str, str, int, int, int]


def _to_row(span: ownership.Span) -> Row:
    return (
        span.host,
        span.zone,
        span.incarnation,
        span.since_ms,
        span.until_ms,
    )


def _from_row(
    host: str, zone: str, incarnation: int, since_ms: int, until_ms: int
) -> ownership.Span:
    return ownership.Span(
        str(host), str(zone), int(incarnation), int(since_ms), int(until_ms)
    )


class ScheduleKeeper:
    """Holds a copy of the schedule; only what the store confirmed."""

    def __init__(
        self,
        store: stores.Store,
        mesh: str,
        replica: replicas.Replica,
        clock: timers.TimerService,
        counts: counters.Counters,
        lead_ms: int,
        streams: peers.PeerStreams,
        randomness: random.Random,
    ) -> None:
        self.store = store
        self.key = schedule_key(mesh)
        self.replica = replica
        self.clock = clock
        self.counts = counts
        self.lead_ms = lead_ms
        self.streams = streams
        self.randomness = randomness
        self.current: ownership.Schedule | None = None
        self.revision = 0
        self.read_at_ms = 0
        self.asked_at = 0.0
        self.reaching: asyncio.Task[None] | None = None

    def now_ms(self) -> int:
        return int(self.clock.wall() * MS_IN_S)

    async def tick(self) -> None:
        """Read when it is time; carry on when it falls to this daemon."""
        if self.current is None or self.now_ms() >= self.read_at_ms:
            if not await self._read():
                await self._ask_peer()
                return
        now_ms = self.now_ms()
        if self.current is not None and not ownership.is_due(
            self.current, now_ms, self.lead_ms, 0
        ):
            # Not even the first writer's turn: going through 5,200
            # members to learn whose it is would cost each daemon
            # milliseconds every second.
            return
        live = self._live()
        writers = ownership.writers(live)
        if self.replica.host in writers:
            rank = writers.index(self.replica.host)
            await self._carry_on(live, rank)

    async def reach(self, stamp_ms: int) -> ownership.Schedule | None:
        """Return a copy that covers `stamp_ms`, None if there is none.

        Asks the store at most once in a while for all waiting calls.
        """
        if not self._covers(stamp_ms) and self._ahead(stamp_ms):
            await self._reach_now()
        return self.current if self._covers(stamp_ms) else None

    def _covers(self, stamp_ms: int) -> bool:
        return self.current is not None and self.current.covers(stamp_ms)

    def _ahead(self, stamp_ms: int) -> bool:
        return self.current is None or stamp_ms >= self.current.horizon_ms

    async def _reach_now(self) -> None:
        if self.reaching is None:
            if self.clock.now() < self.asked_at + ASK_AGAIN_S:
                return
            self.asked_at = self.clock.now()
            self.reaching = asyncio.ensure_future(self._read_and_carry_on())
            self.reaching.add_done_callback(self._reached)
        await asyncio.shield(self.reaching)

    def _reached(self, work: asyncio.Task[None]) -> None:
        self.reaching = None

    async def _read_and_carry_on(self) -> None:
        self.counts.add('schedule.asked-for-a-call')
        if await self._read():
            await self._carry_on(self._live())
        else:
            await self._ask_peer()

    async def _ask_peer(self) -> None:
        """Ask a member for its copy while the store is out.

        A daemon that returns in an outage would know no owner of keys that
        callers made, and one cut off from the store would fall behind.
        """
        others = [
            one
            for one in self.replica.fleet.live()
            if one.host != self.replica.host
        ]
        if not others:
            return
        peer = self.randomness.choice(others)
        stream = await self.streams.reach(
            peer.address, peer.call_port, peer.host
        )
        if stream is None:
            return
        outcome = await stream.exchange(frames.ScheduleFrame, ASK_AGAIN_S)
        if isinstance(outcome, calls.Answer) and outcome.status == FOUND:
            revision = int(outcome.headers[0].value)
            self._adopt_read(stores.KeyValue(self.key, outcome.body, revision))

    def to_answer(self) -> calls.Answer:
        """Return the copy held here, for a member that asks for it."""
        if self.current is None:
            return calls.Answer(404, 'None', (), b'')
        revision = calls.Header('Revision', str(self.revision))
        return calls.Answer(FOUND, 'OK', (revision,), encode(self.current))

    def _live(self) -> dict[str, ownership.Candidate]:
        return {
            one.host: ownership.Candidate(
                one.host, one.availability_zone, one.incarnation
            )
            for one in self.replica.fleet.live()
        }

    async def _read(self) -> bool:
        """Read the record; say whether the store answered."""
        read = await self.store.read(self.key)
        if isinstance(read, result.Err):
            self.counts.add('schedule.unread')
            return False
        if read.ok_value is not None:
            self._adopt_read(read.ok_value)
        now_ms = self.now_ms()
        lead_ms = ownership.MIN_LEAD_MS
        if self.current is not None:
            lead_ms = ownership.lead_of(self.current, now_ms, self.lead_ms)
        self.read_at_ms = now_ms + lead_ms // READS_PER_LEAD
        return True

    def _adopt_read(self, kv: stores.KeyValue) -> None:
        if kv.revision <= self.revision:
            return
        try:
            self._adopt(decode(kv), kv.revision)
        except errors.StoreGarbage:
            self.counts.add('schedule.garbage')

    def _adopt(self, schedule: ownership.Schedule, revision: int) -> None:
        """Take a copy, unless it rewrites the past.

        Failure answered: a store that lost its data, or came back from an
        old copy, names other owners for keys that ran.  It shows as two
        schedules that differ below both horizons; the copy held stays.
        """
        held = self.current
        if held is not None and not ownership.agrees(held, schedule):
            self.counts.add('schedule.contradicted')
            logs.state_changed(
                'schedule', to='contradicted', revision=revision
            )
            return
        self.current = schedule
        self.revision = revision
        self.counts.add('schedule.adopted')

    async def _carry_on(
        self, live: dict[str, ownership.Candidate], rank: int = 0
    ) -> None:
        now_ms = self.now_ms()
        if self.current is None:
            new = ownership.founded(live.values(), now_ms)
        elif ownership.is_due(self.current, now_ms, self.lead_ms, rank):
            new = ownership.extended(
                self.current, live.values(), now_ms, self.lead_ms
            )
        else:
            return
        self.counts.add('schedule.offered')
        swapped = await self.store.swap(
            self.key, self.revision, [stores.Put(self.key, encode(new))]
        )
        if isinstance(swapped, result.Err):
            # It may have taken effect; the next read tells.
            self.read_at_ms = 0
        elif isinstance(swapped.ok_value, stores.Swapped):
            self._adopt(new, swapped.ok_value.revision)
        elif swapped.ok_value.current is not None:
            self._adopt_read(swapped.ok_value.current)
