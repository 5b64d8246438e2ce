"""Runs non-idempotent calls at their keys' owners, at most once each.

The ingress determines the owner from the schedule or the key itself; the
owner records the key and then dispatches the call.  The owner of a key
never changes, so after the key is recorded neither the clock nor the
schedule is checked again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import random

import eliot

from peridotpost.calls import frames
from peridotpost.calls import ledger_handover as handovers
from peridotpost.calls import peers
from peridotpost.calls import schedule_keeper
from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.membership import myself as own
from peridotpost.model import calls
from peridotpost.model import members

DispatchCall = Callable[[calls.Call, int], Awaitable[calls.Outcome]]
"""Sends a call to targets, with dispatch numbers above the given one."""
RETRY_AFTER_MS = 1000


class Owner:
    """Routes calls to the owners of their keys, and owns this host's keys."""

    def __init__(
        self,
        replica: replicas.Replica,
        zone: str,
        dispatch: DispatchCall,
        streams: peers.PeerStreams,
        keeper: schedule_keeper.ScheduleKeeper,
        myself: own.LocalMember,
        events: timeline.Timeline,
        counts: counters.Counters,
        randomness: random.Random,
        clock_bound: ownership.ClockBound,
    ) -> None:
        self.replica = replica
        self.zone = zone
        self.dispatch = dispatch
        self.streams = streams
        self.keeper = keeper
        self.events = events
        self.counts = counts
        self.randomness = randomness
        self.clock_bound = clock_bound
        self.ledger = idempotency.Ledger()
        self.handover = handovers.LedgerHandover(replica, streams, counts)
        self.running: dict[str, asyncio.Task[calls.Outcome]] = {}
        self.closed = False
        self.process = ownership.Process(
            replica.host,
            keeper.now_ms(),
            frozenset({myself.record.incarnation}),
        )
        myself.changed.subscribe(self._record_changed)

    def _record_changed(self, record: members.MemberRecord) -> None:
        """Record a new incarnation of this process.

        A gap in the numbers is caused by the record of an earlier process,
        for example after the host's clock was set back.  That process may
        have used this incarnation and later ones, so none of them is
        attributed to this process.
        """
        increment = record.incarnation - max(self.process.incarnations)
        if increment != 1:
            return
        self.process = ownership.Process(
            self.process.host,
            self.process.started_ms,
            self.process.incarnations | {record.incarnation},
        )

    def generate_key(self) -> str:
        """Return a new key, owned by this host, for a call without one."""
        key = idempotency.generate_key(
            self.keeper.now_ms(),
            self.randomness,
            self.zone,
            self.replica.host,
        )
        self.ledger.record_generated(key)
        self.counts.add('owner.minted')
        return key.text

    async def route(self, call: calls.Call) -> calls.Outcome:
        """Have the owner of the call's key run the call."""
        key = idempotency.parse(call.key)
        ahead_ms = key.timestamp_ms - self.keeper.now_ms()
        if ahead_ms > self.clock_bound.max_accepted_ahead_ms:
            return self._future_key_refusal(ahead_ms)
        if key.host:
            return await self._run_at(key.host, call, key, None)
        schedule = await self.keeper.schedule_covering(key.timestamp_ms)
        if schedule is None:
            self.counts.add('owner.not-covered')
            return self._unknown(
                'the schedule here does not cover the time of the key; '
                'a call sent without a key is run and returns its key'
            )
        span = schedule.owner_of(key)
        if span is None:
            return calls.NotRun(
                calls.NotRunReason.BAD_KEY,
                f'no host of {key.zone!r} owns keys of this time; send a '
                'new key without a zone or with another one',
                peer=self.replica.host,
            )
        return await self._run_at(span.host, call, key, span)

    async def _run_at(
        self,
        host: str,
        call: calls.Call,
        key: idempotency.Key,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        if host == self.replica.host:
            return await self.run(call, span)
        record = self.replica.fleet.records.get(host)
        stream = None
        if record is not None:
            stream = await self.streams.connect_or_none(
                record.address, record.call_port, host
            )
        if stream is None:
            return await self._ask_successors(key, host, span)
        return await stream.exchange(
            lambda number: frames.OwnedCallFrame(number, call, span),
            call.budget_ms / 1000 + peers.ANSWER_GRACE_S,
        )

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome:
        """Handle a request of another daemon."""
        if isinstance(frame, frames.OwnedCallFrame):
            return await self.run(frame.call, frame.span)
        if isinstance(frame, frames.LookUpFrame):
            key = idempotency.parse(frame.key)
            return self.handover.look_up(key, frame.host, frame.span)
        if isinstance(frame, frames.ScheduleFrame):
            return self.keeper.to_answer()
        self.handover.store(frame.ledger, self.keeper.now_ms())
        return handovers.CHUNK_STORED

    async def run(
        self, call: calls.Call, span: ownership.Span | None
    ) -> calls.Outcome:
        """Run the call here, join its run, or replay its outcome."""
        key = idempotency.parse(call.key)
        fingerprint = fingerprint_of(call)
        entry = self.ledger.entries.get(key.text)
        if entry is not None and not entry.never_ran:
            if entry.fingerprint != fingerprint:
                return self._different_request()
        running = self.running.get(key.text)
        if running is not None:
            self._record_event('joined', call)
            return await asyncio.shield(running)
        if entry is None:
            refusal = await self._find_refusal(key, span)
            if refusal is not None:
                return refusal
        elif entry.outcome is not None and not entry.never_ran:
            self._record_event('replayed', call)
            return entry.outcome
        if self.closed:
            return calls.NotRun(
                calls.NotRunReason.DRAINING,
                "the key's owner is stopping; send a new key",
                RETRY_AFTER_MS,
                self.replica.host,
            )
        return await asyncio.shield(self._start(call, key, fingerprint))

    def _start(
        self, call: calls.Call, key: idempotency.Key, fingerprint: bytes
    ) -> asyncio.Task[calls.Outcome]:
        entry = self.ledger.begin(key, fingerprint)
        self._record_event('recorded', call)
        running = asyncio.ensure_future(self._run(call, entry))
        self.running[key.text] = running
        return running

    async def _run(
        self, call: calls.Call, entry: idempotency.Entry
    ) -> calls.Outcome:
        # An exception may occur after the call was dispatched.
        outcome: calls.Outcome = self._unknown('its run failed')
        try:
            outcome = await self.dispatch(call, entry.last_reserved_attempt)
        except Exception:
            self.counts.add('owner.broken-off')
            eliot.write_traceback()
        finally:
            self.ledger.finish(entry, outcome)
            del self.running[entry.key.text]
        return outcome

    async def _find_refusal(
        self, key: idempotency.Key, span: ownership.Span | None
    ) -> calls.Outcome | None:
        """Return the outcome of a key that must not be run, else None."""
        now_ms = self.keeper.now_ms()
        decision = ownership.decide(
            key,
            span,
            self.process,
            self.ledger.evicted_through_ms,
            now_ms,
            self.clock_bound,
        )
        if decision is ownership.Decision.RUN:
            return None
        self.counts.add(f'owner.{decision.value}')
        if decision is ownership.Decision.FROM_THE_FUTURE:
            return self._future_key_refusal(key.timestamp_ms - now_ms)
        if decision is ownership.Decision.EARLIER_PROCESS:
            return await self._ask_successors(key, self.replica.host, span)
        return self._unknown(f'the owner has no record ({decision.value})')

    async def _ask_successors(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Query the successors of a process that cannot be reached."""
        outcome = await self.handover.ask_successors(key, host, span)
        if isinstance(outcome, calls.OutcomeUnknown):
            self.events.record('key.unknown', f'{key.text} of {host}')
        return outcome

    def _future_key_refusal(self, ahead_ms: int) -> calls.NotRun:
        return calls.NotRun(
            calls.NotRunReason.BAD_KEY,
            f'the timestamp of the key is {ahead_ms} ms ahead of the clock '
            'here; correct the clock and send a new key',
            peer=self.replica.host,
        )

    def _different_request(self) -> calls.OutcomeUnknown:
        """Return the outcome of a request that differs from the first one.

        It may be the same call with, for example, another time in its
        body.  After `not run`, its caller would send it under a new key,
        and it would run twice.
        """
        self.counts.add('owner.other-request')
        return self._unknown(
            'the key ran with another request (service, method, path or '
            'body); this one was not run'
        )

    def _unknown(self, detail: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(detail, self.replica.host)

    def _record_event(self, what: str, call: calls.Call) -> None:
        self.counts.add(f'owner.{what}')
        self.events.record(f'key.{what}', call.key, request_id=call.request_id)

    async def hand_over(self) -> None:
        """Stop running calls and hand the ledger over to the successors."""
        self.closed = True
        ledger = ownership.hand_over(
            self.process, self.ledger, self.keeper.now_ms(), self.clock_bound
        )
        hosts = await self.handover.transfer(ledger)
        self.events.record(
            'ledger.handed-over',
            f'{len(ledger.entries)} keys to {", ".join(hosts) or "nobody"}',
        )


def fingerprint_of(call: calls.Call) -> bytes:
    """Return a hash that distinguishes different requests for a key."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(call.body)
    return digest.digest()
