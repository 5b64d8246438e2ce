"""Keeps a copy of the ownership schedule, and extends it in the store.

The schedule is one record for the mesh.  Its lead is the time from the
present to its horizon (``decisions.ownership``).  The record is written once
in a quarter of the lead, or more often while the mesh is new, but never for
a call.
Each daemon reads it eight times per lead: with a lead of an hour and 5,200
daemons, 12 reads a second.
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
"""Interval of the calls to `ScheduleKeeper.tick`."""
MS_IN_S = 1000
READS_PER_LEAD = 8
STATUS_OK = 200
REFRESH_INTERVAL_S = 0.5
"""Minimum interval of reads caused by keys that the copy does not cover;
also the timeout for asking a peer."""


def schedule_key(mesh: str) -> str:
    return f'peridotpost/{mesh}/owners'


def encode(schedule: ownership.Schedule) -> bytes:
    plain = {
        'founded_ms': schedule.founded_ms,
        'floor_ms': schedule.floor_ms,
        'horizon_ms': schedule.horizon_ms,
        'spans': [_to_row(span) for span in schedule.spans],
    }
    return zlib.compress(json.dumps(plain).encode())


def decode(kv: stores.KeyValue) -> ownership.Schedule:
    """Decode a schedule record.

    :raises errors.StoreProtocolError: the record is invalid.
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
        raise errors.StoreProtocolError(
            repr(error), step='schedule.read', peer=kv.key
        ) from error


SpanRow = tuple[str, str, int, int, int]


def _to_row(span: ownership.Span) -> SpanRow:
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
    """Holds a copy of the schedule as confirmed by the store."""

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
        self.next_read_ms = 0
        self.refreshed_at = 0.0
        self.refreshing: asyncio.Task[None] | None = None

    def now_ms(self) -> int:
        return int(self.clock.wall() * MS_IN_S)

    async def tick(self) -> None:
        """Read the schedule when due; extend it if this host is a writer."""
        if self.current is None or self.now_ms() >= self.next_read_ms:
            if not await self._read():
                await self._fetch_from_peer()
                return
        now_ms = self.now_ms()
        if self.current is not None and not ownership.needs_extension(
            self.current, now_ms, self.lead_ms, 0
        ):
            # Not due even for the first writer.  Determining the writers
            # among 5,200 members would take each daemon milliseconds
            # every second.
            return
        candidates = self._candidates()
        writers = ownership.writers(candidates)
        if self.replica.host in writers:
            rank = writers.index(self.replica.host)
            await self._extend(candidates, rank)

    async def schedule_covering(
        self, timestamp_ms: int
    ) -> ownership.Schedule | None:
        """Return the schedule if it covers `timestamp_ms`, else None.

        A key past the horizon causes a read of the store, at most one in
        `REFRESH_INTERVAL_S`, for which concurrent calls wait together.
        """
        if not self._covers(timestamp_ms) and self._is_past_horizon(
            timestamp_ms
        ):
            await self._refresh()
        return self.current if self._covers(timestamp_ms) else None

    def _covers(self, timestamp_ms: int) -> bool:
        return self.current is not None and self.current.covers(timestamp_ms)

    def _is_past_horizon(self, timestamp_ms: int) -> bool:
        return self.current is None or timestamp_ms >= self.current.horizon_ms

    async def _refresh(self) -> None:
        if self.refreshing is None:
            if self.clock.now() < self.refreshed_at + REFRESH_INTERVAL_S:
                return
            self.refreshed_at = self.clock.now()
            self.refreshing = asyncio.ensure_future(self._read_and_extend())
            self.refreshing.add_done_callback(self._on_refreshed)
        await asyncio.shield(self.refreshing)

    def _on_refreshed(self, task: asyncio.Task[None]) -> None:
        self.refreshing = None

    async def _read_and_extend(self) -> None:
        self.counts.add('schedule.asked-for-a-call')
        if await self._read():
            await self._extend(self._candidates())
        else:
            await self._fetch_from_peer()

    async def _fetch_from_peer(self) -> None:
        """Fetch a member's copy while the store is unavailable.

        Otherwise a daemon that starts during an outage could not determine
        the owners of callers' keys, and the copy of one that is partitioned
        from the store would expire.
        """
        others = [
            record
            for record in self.replica.fleet.live()
            if record.host != self.replica.host
        ]
        if not others:
            return
        peer = self.randomness.choice(others)
        stream = await self.streams.connect_or_none(
            peer.address, peer.call_port, peer.host
        )
        if stream is None:
            return
        outcome = await stream.exchange(
            frames.ScheduleFrame, REFRESH_INTERVAL_S
        )
        if isinstance(outcome, calls.Answer) and outcome.status == STATUS_OK:
            revision = int(outcome.headers[0].value)
            self._adopt_stored(
                stores.KeyValue(self.key, outcome.body, revision)
            )

    def to_answer(self) -> calls.Answer:
        """Return the local copy as the answer to a member's request."""
        if self.current is None:
            return calls.Answer(404, 'None', (), b'')
        revision = calls.Header('Revision', str(self.revision))
        return calls.Answer(STATUS_OK, 'OK', (revision,), encode(self.current))

    def _candidates(self) -> dict[str, ownership.Candidate]:
        return {
            record.host: ownership.Candidate(
                record.host, record.availability_zone, record.incarnation
            )
            for record in self.replica.fleet.live()
        }

    async def _read(self) -> bool:
        """Read the record; return whether the store answered."""
        read = await self.store.read(self.key)
        if isinstance(read, result.Err):
            self.counts.add('schedule.unread')
            return False
        if read.ok_value is not None:
            self._adopt_stored(read.ok_value)
        now_ms = self.now_ms()
        lead_ms = ownership.MIN_LEAD_MS
        if self.current is not None:
            lead_ms = ownership.effective_lead_ms(
                self.current, now_ms, self.lead_ms
            )
        self.next_read_ms = now_ms + lead_ms // READS_PER_LEAD
        return True

    def _adopt_stored(self, kv: stores.KeyValue) -> None:
        if kv.revision <= self.revision:
            return
        try:
            self._adopt(decode(kv), kv.revision)
        except errors.StoreProtocolError:
            self.counts.add('schedule.garbage')

    def _adopt(self, schedule: ownership.Schedule, revision: int) -> None:
        """Replace the copy, unless the new schedule contradicts it.

        A store that lost its data or was restored from a backup may name
        other owners for keys that have run.  Such a schedule differs from
        the copy where their ranges overlap, and is ignored.
        """
        current = self.current
        if current is not None and not ownership.is_consistent(
            current, schedule
        ):
            self.counts.add('schedule.contradicted')
            logs.state_changed(
                'schedule', to='contradicted', revision=revision
            )
            return
        self.current = schedule
        self.revision = revision
        self.counts.add('schedule.adopted')

    async def _extend(
        self, candidates: dict[str, ownership.Candidate], rank: int = 0
    ) -> None:
        now_ms = self.now_ms()
        if self.current is None:
            new = ownership.initial_schedule(candidates.values(), now_ms)
        elif ownership.needs_extension(
            self.current, now_ms, self.lead_ms, rank
        ):
            new = ownership.extend_schedule(
                self.current, candidates.values(), now_ms, self.lead_ms
            )
        else:
            return
        self.counts.add('schedule.offered')
        swapped = await self.store.swap(
            self.key, self.revision, [stores.Put(self.key, encode(new))]
        )
        if isinstance(swapped, result.Err):
            # The write may have succeeded; the next read shows it.
            self.next_read_ms = 0
        elif isinstance(swapped.ok_value, stores.Swapped):
            self._adopt(new, swapped.ok_value.revision)
        elif swapped.ok_value.current is not None:
            self._adopt_stored(swapped.ok_value.current)
