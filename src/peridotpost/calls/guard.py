"""The guard of this host's targets: the last to decide before a run.

A refusal by the guard is the proof that a request was not run, since it
alone writes to the target.  It runs each dispatch of a key at most once;
the key's owner (``calls.owner``) keeps its answer.
"""

import asyncio
import collections
from collections.abc import Iterator
import contextlib
import dataclasses

from peridotpost.calls import connections
from peridotpost.calls import ledger
from peridotpost.decisions import admission
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.membership import targets as local
from peridotpost.model import calls
from peridotpost.model import config
from peridotpost.model import members

TIMEOUT_HEADER = 'Peridot-Timeout-Ms'
DEPTH_HEADER = 'Peridot-Depth'
REQUEST_ID_HEADER = 'Peridot-Request-Id'


@dataclasses.dataclass(slots=True)
class TargetGate:
    """A target's gate and those who wait at it, first come first."""

    gate: admission.Gate
    waiters: collections.deque[asyncio.Future[None]]


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
        self.gates: dict[tuple[str, str], TargetGate] = {}
        self.ledger = ledger.DispatchLedger()
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
        began = self.clock.now()
        refusal = self._refusal(call, name)
        if refusal is not None:
            return self._refused(call, refusal)
        spec = self.replica.version.services[call.service]
        target = self.targets.found[(call.service, name)]
        gate = self._gate(target, spec)
        if not gate.gate.admits(call.budget_ms):
            return self._refused(call, self._full(gate, name))
        if not await self._wait_turn(gate, call.budget_ms / 1000):
            return self._refused(call, self._full(gate, name))
        with self._slot(gate):
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

    def _full(self, gate: TargetGate, name: str) -> calls.NotRun:
        return calls.NotRun(
            calls.NotRunReason.FULL,
            f'target {name!r} is full',
            gate.gate.retry_after_ms(),
        )

    def _refused(
        self, call: calls.Call, refusal: calls.NotRun
    ) -> calls.NotRun:
        self.counts.add(f'guard.refused.{refusal.reason.value}')
        self.events.record(
            'call.refused', refusal.detail, request_id=call.request_id
        )
        return dataclasses.replace(refusal, peer=self.replica.host)

    def _gate(
        self, target: local.LocalTarget, spec: config.ServiceSpec
    ) -> TargetGate:
        key = (target.service, target.name)
        found = self.gates.get(key)
        if found is None:
            gate = admission.Gate(target.slots, spec.limits.queue)
            found = TargetGate(gate, collections.deque())
            self.gates[key] = found
        found.gate.slots = target.slots
        found.gate.queue = spec.limits.queue
        return found

    async def _wait_turn(self, gate: TargetGate, budget_s: float) -> bool:
        """Wait for a slot; False when the time is up first."""
        if gate.gate.running < gate.gate.slots and not gate.waiters:
            gate.gate.started()
            return True
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        gate.waiters.append(turn)
        gate.gate.waiting += 1
        try:
            await asyncio.wait_for(asyncio.shield(turn), budget_s)
        except TimeoutError:
            if not turn.done():
                return False
        except asyncio.CancelledError:
            if turn.done():
                self._free(gate, 0.0)
            raise
        finally:
            gate.gate.waiting -= 1
            if turn in gate.waiters:
                gate.waiters.remove(turn)
        return True

    @contextlib.contextmanager
    def _slot(self, gate: TargetGate) -> Iterator[None]:
        began = self.clock.now()
        try:
            yield
        finally:
            self._free(gate, (self.clock.now() - began) * 1000)

    def _free(self, gate: TargetGate, held_ms: float) -> None:
        gate.gate.finished(held_ms)
        while gate.waiters and gate.gate.running < gate.gate.slots:
            turn = gate.waiters.popleft()
            if not turn.done():
                gate.gate.started()
                turn.set_result(None)

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
            answer = await asyncio.wait_for(
                self.pool.fetch(
                    target.port,
                    outgoing,
                    spec.limits.answer_bytes,
                    self.clock.now(),
                ),
                left_ms / 1000,
            )
        except connections.ConnectFailed as error:
            # Nobody listens: the target is gone before its announcement
            # lapses, so it is withdrawn and the call may go elsewhere.
            self.targets.withdraw(target.service, target.name, str(error))
            return self._refused(
                call,
                calls.NotRun(
                    calls.NotRunReason.UNREACHABLE,
                    f'{target.name!r} refuses connections',
                    100,
                ),
            )
        except connections.AnswerLost as error:
            self.counts.add('guard.answer-lost')
            return self._unknown(f'{target.name!r}: {error}')
        except TimeoutError:
            self.counts.add('guard.deadline')
            return self._unknown(f'{target.name!r} passed the deadline')
        self.counts.add('guard.answered')
        return answer

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
