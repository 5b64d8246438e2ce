"""Runs non-idempotent calls at their keys' owners, at most once each.

The ingress names the owner by the schedule or by the key itself; the owner
records the key, then dispatches.  Who owns a key never changes, so nothing
here asks for the time or for leave once the record is made.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import random

import eliot

from peridotpost.calls import frames
from peridotpost.calls import heirs as heirs_of_calls
from peridotpost.calls import peers
from peridotpost.calls import views
from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.membership import myself as own
from peridotpost.model import calls
from peridotpost.model import members

Carry = Callable[[calls.Call, int], Awaitable[calls.Outcome]]
"""Sends a call to targets, with dispatch numbers above the one given."""
RETRY_AFTER_MS = 1000


class Owner:
    """The ingress's way to owners, and the owner of this host's keys."""

    def __init__(
        self,
        replica: replicas.Replica,
        zone: str,
        carry: Carry,
        streams: peers.PeerStreams,
        keeper: views.ScheduleKeeper,
        myself: own.Myself,
        events: timeline.Timeline,
        counts: counters.Counters,
        randomness: random.Random,
        bound: ownership.ClockBound,
    ) -> None:
        self.replica = replica
        self.zone = zone
        self.carry = carry
        self.streams = streams
        self.keeper = keeper
        self.events = events
        self.counts = counts
        self.randomness = randomness
        self.bound = bound
        self.ledger = idempotency.Ledger()
        self.heirs = heirs_of_calls.Heirs(replica, streams, counts)
        self.running: dict[str, asyncio.Task[calls.Outcome]] = {}
        self.closed = False
        self.process = ownership.Process(
            replica.host,
            keeper.now_ms(),
            frozenset({myself.record.incarnation}),
        )
        myself.changed.subscribe(self._record_changed)

    def _record_changed(self, record: members.MemberRecord) -> None:
        """Note an incarnation of this process.

        One that jumps came of an earlier process's record, as when the
        host's clock was set back; it and those after it may be that
        process's too, so none is taken for ours.
        """
        step = record.incarnation - max(self.process.incarnations)
        if step != 1:
            return
        self.process = ownership.Process(
            self.process.host,
            self.process.started_ms,
            self.process.incarnations | {record.incarnation},
        )

    def mint(self) -> str:
        """Make the key of a call that came without; this host owns it."""
        key = idempotency.mint(
            self.keeper.now_ms(),
            self.randomness,
            self.zone,
            self.replica.host,
        )
        self.ledger.note_minted(key)
        self.counts.add('owner.minted')
        return key.text

    async def route(self, call: calls.Call) -> calls.Outcome:
        """Have the owner of the call's key run it."""
        key = idempotency.parse(call.key)
        ahead_ms = key.stamp_ms - self.keeper.now_ms()
        if ahead_ms > self.bound.never_taken_ms:
            return self._from_the_future(ahead_ms)
        if key.host:
            return await self._at(key.host, call, key, None)
        schedule = await self.keeper.reach(key.stamp_ms)
        if schedule is None:
            self.counts.add('owner.not-covered')
            return self._unknown(
                'no schedule here names the owner of a key of that time; '
                'a call sent without a key is run and returns its key'
            )
        span = schedule.owner_of(key)
        if span is None:
            return calls.NotRun(
                calls.NotRunReason.BAD_KEY,
                f'no host of {key.zone!r} owns keys of that time; send a '
                'new key, without the zone or with another',
                peer=self.replica.host,
            )
        return await self._at(span.host, call, key, span)

    async def _at(
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
            stream = await self.streams.reach(
                record.address, record.call_port, host
            )
        if stream is None:
            return await self._inherited(key, host, span)
        return await stream.exchange(
            lambda number: frames.OwnedCallFrame(number, call, span),
            call.budget_ms / 1000 + peers.ANSWER_GRACE_S,
        )

    async def serve(self, frame: frames.OwnerFrame) -> calls.Outcome:
        """Answer another daemon."""
        if isinstance(frame, frames.OwnedCallFrame):
            return await self.run(frame.call, frame.span)
        if isinstance(frame, frames.LookUpFrame):
            key = idempotency.parse(frame.key)
            return self.heirs.look_up(key, frame.host, frame.span)
        if isinstance(frame, frames.ScheduleFrame):
            return self.keeper.to_answer()
        self.heirs.take(frame.ledger, self.keeper.now_ms())
        return heirs_of_calls.TAKEN

    async def run(
        self, call: calls.Call, span: ownership.Span | None
    ) -> calls.Outcome:
        """Run the call here, join its run, or replay its outcome."""
        key = idempotency.parse(call.key)
        fingerprint = fingerprint_of(call)
        entry = self.ledger.entries.get(key.text)
        if entry is not None and not entry.never_ran:
            if entry.fingerprint != fingerprint:
                return self._other_request()
        running = self.running.get(key.text)
        if running is not None:
            self._note('joined', call)
            return await asyncio.shield(running)
        if entry is None:
            refusal = await self._refusal(key, span)
            if refusal is not None:
                return refusal
        elif entry.outcome is not None and not entry.never_ran:
            self._note('replayed', call)
            return entry.outcome
        if self.closed:
            return calls.NotRun(
                calls.NotRunReason.DRAINING,
                "the key's owner is leaving; send a new key",
                RETRY_AFTER_MS,
                self.replica.host,
            )
        return await asyncio.shield(self._start(call, key, fingerprint))

    def _start(
        self, call: calls.Call, key: idempotency.Key, fingerprint: bytes
    ) -> asyncio.Task[calls.Outcome]:
        entry = self.ledger.begin(key, fingerprint)
        self._note('recorded', call)
        running = asyncio.ensure_future(self._run(call, entry))
        self.running[key.text] = running
        return running

    async def _run(
        self, call: calls.Call, entry: idempotency.Entry
    ) -> calls.Outcome:
        # Whatever breaks the run off may come after the dispatch.
        outcome: calls.Outcome = self._unknown('its run was broken off')
        try:
            outcome = await self.carry(call, entry.attempts)
        except Exception:
            self.counts.add('owner.broken-off')
            eliot.write_traceback()
        finally:
            self.ledger.settle(entry, outcome)
            del self.running[entry.key.text]
        return outcome

    async def _refusal(
        self, key: idempotency.Key, span: ownership.Span | None
    ) -> calls.Outcome | None:
        """Return the answer to a key that is not to be run here."""
        now_ms = self.keeper.now_ms()
        verdict = ownership.judge(
            key,
            span,
            self.process,
            self.ledger.forgotten_ms,
            now_ms,
            self.bound,
        )
        if verdict is ownership.Verdict.RUN:
            return None
        self.counts.add(f'owner.{verdict.value}')
        if verdict is ownership.Verdict.FROM_THE_FUTURE:
            return self._from_the_future(key.stamp_ms - now_ms)
        if verdict is ownership.Verdict.EARLIER_PROCESS:
            return await self._inherited(key, self.replica.host, span)
        return self._unknown(f'the owner has no record ({verdict.value})')

    async def _inherited(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Ask the heirs of a process that is gone or cannot be reached."""
        outcome = await self.heirs.ask(key, host, span)
        if isinstance(outcome, calls.OutcomeUnknown):
            self.events.record('key.unknown', f'{key.text} of {host}')
        return outcome

    def _from_the_future(self, ahead_ms: int) -> calls.NotRun:
        return calls.NotRun(
            calls.NotRunReason.BAD_KEY,
            f'the key is stamped {ahead_ms} ms ahead of the clock here; set '
            'the clock right and send a new key',
            peer=self.replica.host,
        )

    def _other_request(self) -> calls.OutcomeUnknown:
        """Refuse a request that differs from the one the key ran with.

        It may be the same call written anew, with another time in its
        body; told `not run`, its caller would send it under a new key.
        """
        self.counts.add('owner.other-request')
        return self._unknown(
            'the key ran with another request (service, method, path or '
            'body); this one was not run'
        )

    def _unknown(self, detail: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(detail, self.replica.host)

    def _note(self, what: str, call: calls.Call) -> None:
        self.counts.add(f'owner.{what}')
        self.events.record(f'key.{what}', call.key, request_id=call.request_id)

    async def hand_over(self) -> None:
        """Give the ledger to the heirs; nothing is run from now on."""
        self.closed = True
        ledger = ownership.hand_over(
            self.process, self.ledger, self.keeper.now_ms(), self.bound
        )
        taken = await self.heirs.give(ledger)
        self.events.record(
            'ledger.handed-over',
            f'{len(ledger.entries)} keys to {", ".join(taken) or "nobody"}',
        )


def fingerprint_of(call: calls.Call) -> bytes:
    """Return what tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(call.body)
    return digest.digest()
