"""The guard of this host's targets: the last to decide before a run.

A refusal by the guard is the proof that a request was not run, since it
alone writes to the target.  It runs each dispatch of a key at most once;
the key's owner (``calls.owner``) keeps its answer.
"""

import asyncio
import dataclasses

from peridotpost.calls import connections
from peridotpost.calls import gates
from peridotpost.calls import ledger
from peridotpost.decisions import poison
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import targets as local
from peridotpost.model import calls
from peridotpost.model import config
from peridotpost.model import members

SAME_CRASH_S = 1.0
"""Calls lost within this were lost in one crash of the target: a restart
takes longer, and one request must not be blamed twice for it."""
TIMEOUT_HEADER = 'Peridot-Timeout-Ms'
DEPTH_HEADER = 'Peridot-Depth'
REQUEST_ID_HEADER = 'Peridot-Request-Id'


class Guard:
    """Runs calls on this host's targets."""

    def __init__(
        self,
        replica: replicas.Replica,
        targets: local.LocalTargets,
        pool: connections.ConnectionPool,
        clock: timers.TimerService,
        events: timeline.Timeline,
        counts: counters.Counters,
    ) -> None:
        self.replica = replica
        self.targets = targets
        self.pool = pool
        self.clock = clock
        self.events = events
        self.counts = counts
        self.gates = gates.Gates(clock)
        self.ledger = ledger.DispatchLedger()
        self.poison = poison.PoisonList()
        self.crashed_at: dict[tuple[str, str], float] = {}
        self.in_flight = 0
        self.leaving = False

    async def run(self, call: calls.Call, target: str) -> calls.Outcome:
        """Run `call` on the local target named `target`."""
        self.in_flight += 1
        try:
            if call.idempotent:
                return await self._run_once(call, target)
            return await self._run_keyed(call, target)
        finally:
            self.in_flight -= 1

    async def _run_keyed(self, call: calls.Call, target: str) -> calls.Outcome:
        """Run a dispatch of a non-idempotent call, or join its run."""
        return await self.ledger.run(
            call, lambda: self._run_once(call, target)
        )

    async def _run_once(self, call: calls.Call, name: str) -> calls.Outcome:
        # Counted beside `run`: a non-idempotent call goes on when its
        # caller leaves, and a graceful stop must wait for it too.
        self.in_flight += 1
        try:
            return await self._admit(call, name)
        finally:
            self.in_flight -= 1

    async def _admit(self, call: calls.Call, name: str) -> calls.Outcome:
        began = self.clock.now()
        refusal = self._refusal(call, name)
        if refusal is not None:
            return self._refused(call, refusal)
        spec = self.replica.version.services[call.service]
        target = self.targets.found[(call.service, name)]
        gate = self.gates.of(target, spec)
        ticket = gates.ticket_for(call, spec, began)
        if not await self.gates.wait_turn(gate, ticket):
            return self._refused(call, self._full(call, gate, name))
        with self.gates.slot(gate, ticket):
            # The target may have begun to drain while the call waited.
            refusal = self._refusal(call, name)
            if refusal is not None:
                return self._refused(call, refusal)
            spent_ms = (self.clock.now() - began) * 1000
            return await self._dispatch(call, target, spec, spent_ms)

    def _refusal(self, call: calls.Call, name: str) -> calls.NotRun | None:
        if self.leaving:
            return calls.NotRun(
                calls.NotRunReason.DRAINING, 'the host is leaving', 100
            )
        refused_s = self.poison.refused_for_s(call, self.clock.now())
        if refused_s > 0:
            return calls.NotRun(
                calls.NotRunReason.POISON,
                'this request crashed the targets that ran it',
                round(refused_s * 1000),
            )
        if call.service not in self.replica.version.services:
            return calls.NotRun(
                calls.NotRunReason.NO_SERVICE,
                f'{call.service!r} is not in the configuration here',
            )
        target = self.targets.found.get((call.service, name))
        if target is None:
            return calls.NotRun(
                calls.NotRunReason.NO_TARGET, f'target {name!r} is gone', 100
            )
        if target.state is members.TargetState.DRAINING:
            return calls.NotRun(
                calls.NotRunReason.DRAINING, f'{name!r} is draining', 100
            )
        return None

    def _full(
        self, call: calls.Call, gate: gates.TargetGate, name: str
    ) -> calls.NotRun:
        now = self.clock.now()
        if call.budget_ms <= 0:
            return calls.NotRun(
                calls.NotRunReason.DEADLINE, 'its deadline has passed'
            )
        return calls.NotRun(
            calls.NotRunReason.FULL,
            f'target {name!r} is full',
            gate.gate.retry_after_ms(now),
        )

    def _refused(
        self, call: calls.Call, refusal: calls.NotRun
    ) -> calls.NotRun:
        self.counts.add(f'guard.refused.{refusal.reason.value}')
        self.events.record(
            'call.refused', refusal.detail, request_id=call.request_id
        )
        return dataclasses.replace(refusal, peer=self.replica.host)

    def load_of(self, service: str, name: str) -> float:
        """Return what runs and waits at a target, per slot."""
        return self.gates.load_of((service, name))

    async def _dispatch(
        self,
        call: calls.Call,
        target: local.LocalTarget,
        spec: config.ServiceSpec,
        spent_ms: float,
    ) -> calls.Outcome:
        left_ms = int(call.budget_ms - spent_ms)
        if left_ms <= 0:
            return self._refused(
                call,
                calls.NotRun(
                    calls.NotRunReason.DEADLINE, 'its deadline has passed'
                ),
            )
        outgoing = _for_target(call, left_ms)
        self.events.record(
            'call.dispatched', target.name, request_id=call.request_id
        )
        try:
            # `wait_for` would start a task for it.
            async with asyncio.timeout(left_ms / 1000):
                answer = await self.pool.fetch(
                    target.port,
                    outgoing,
                    spec.limits.answer_bytes,
                    self.clock.now(),
                )
        except connections.ConnectFailed as error:
            # Nobody listens: the target is gone before its announcement
            # lapses, so it is withdrawn and the call may go elsewhere.
            self.targets.withdraw(target.service, target.name, str(error))
            return self._refused(
                call,
                calls.NotRun(
                    calls.NotRunReason.TARGET_GONE,
                    f'{target.name!r} refuses connections',
                    100,
                ),
            )
        except connections.AnswerLost as error:
            self.counts.add('guard.answer-lost')
            if await self.pool.refuses(target.port):
                return self._crashed(call, target)
            return self._unknown(f'{target.name!r}: {error}')
        except TimeoutError:
            self.counts.add('guard.deadline')
            return self._unknown(f'{target.name!r} passed the deadline')
        self.counts.add('guard.answered')
        self.poison.answered(call)
        return answer

    def _crashed(
        self, call: calls.Call, target: local.LocalTarget
    ) -> calls.OutcomeUnknown:
        """Note a crash under `call`; calls lost together share an incident."""
        key = (target.service, target.name)
        now = self.clock.now()
        if now - self.crashed_at.get(key, -SAME_CRASH_S) >= SAME_CRASH_S:
            self.crashed_at[key] = now
        self.targets.withdraw(*key, 'crashed')
        incident = f'{self.crashed_at[key]:.3f}'
        self.heard_of_crash(
            poison.fingerprints(call),
            f'{self.replica.host}/{target.name}',
            incident,
        )
        return calls.OutcomeUnknown(
            f'{target.name!r} ended while it ran the request',
            self.replica.host,
            incident,
        )

    def heard_of_crash(
        self, names: tuple[str, ...], target: str, incident: str
    ) -> None:
        """Note that a request crashed a target here or elsewhere."""
        self.counts.add('guard.crash-noted')
        self.poison.crashed(names, target, incident, self.clock.now())

    def forget(self) -> None:
        """Drop what is kept of targets that are gone for good."""
        self.gates.forget(self.targets.found)
        for key in tuple(self.crashed_at):
            if key not in self.targets.found:
                del self.crashed_at[key]

    def _unknown(self, detail: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(detail, self.replica.host)


def _for_target(call: calls.Call, left_ms: int) -> calls.Call:
    """Return the call with the headers that a target is to see."""
    added = [
        calls.Header(TIMEOUT_HEADER, str(left_ms)),
        calls.Header(DEPTH_HEADER, str(call.depth + 1)),
        calls.Header(REQUEST_ID_HEADER, call.request_id),
    ]
    if call.key:
        added.append(calls.Header('Idempotency-Key', call.key))
    return dataclasses.replace(call, headers=(*call.headers, *added))
