"""The guard of this host's targets: the last to decide before a run.

A refusal by the guard is the proof that a request was not run, since it
alone writes to the target.  It runs each dispatch of a key at most once;
the key's owner (``calls.owner``) keeps its answer.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses

from peridotpost.calls import connections
from peridotpost.calls import ledger
from peridotpost.decisions import admission
from peridotpost.decisions import fairness
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


@dataclasses.dataclass(slots=True)
class TargetGate:
    """A target's gate and the futures of those who wait at it.

    A future gives whether its request may run.
    """

    gate: admission.Gate
    waiters: dict[fairness.Ticket, asyncio.Future[bool]]


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
        gate = self._gate(target, spec)
        ticket = _ticket(call, spec, began)
        if not await self._wait_turn(gate, ticket):
            return self._refused(call, self._full(call, gate, name))
        with self._slot(gate, ticket):
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
        self, call: calls.Call, gate: TargetGate, name: str
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

    def _gate(
        self, target: local.LocalTarget, spec: config.ServiceSpec
    ) -> TargetGate:
        key = (target.service, target.name)
        found = self.gates.get(key)
        if found is None:
            gate = admission.Gate(
                target.slots, spec.limits.queue, self.clock.randomness
            )
            found = TargetGate(gate, {})
            self.gates[key] = found
        found.gate.slots = min(target.slots, target.connections)
        found.gate.queue = spec.limits.queue
        return found

    async def _wait_turn(
        self, gate: TargetGate, ticket: fairness.Ticket
    ) -> bool:
        """Wait for a slot; False if the call is refused instead."""
        step = gate.gate.arrive(ticket, self.clock.now())
        self._take_step(gate, step)
        if ticket in step.started:
            return True
        if ticket in step.refused:
            return False
        turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        gate.waiters[ticket] = turn
        # The gate refuses what it gives up on; this timer is for a target
        # that has stopped altogether, when nothing happens at its gate.
        timer = asyncio.get_running_loop().call_later(
            ticket.deadline - self.clock.now(), _give_up, turn
        )
        try:
            may_run = await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled() and turn.result():
                self._free(gate, ticket)
            gate.gate.withdraw(ticket)
            raise
        finally:
            timer.cancel()
            gate.waiters.pop(ticket, None)
        if not may_run:
            gate.gate.withdraw(ticket)
        return may_run

    @contextlib.contextmanager
    def _slot(
        self, gate: TargetGate, ticket: fairness.Ticket
    ) -> Iterator[None]:
        try:
            yield
        finally:
            self._free(gate, ticket)

    def _free(self, gate: TargetGate, ticket: fairness.Ticket) -> None:
        self._take_step(gate, gate.gate.finish(ticket, self.clock.now()))

    def _take_step(self, gate: TargetGate, step: admission.Step) -> None:
        for ticket in step.refused:
            turn = gate.waiters.get(ticket)
            if turn is not None and not turn.done():
                turn.set_result(False)
        for ticket in step.started:
            turn = gate.waiters.get(ticket)
            if turn is None:
                continue
            if turn.done():
                # Given up on or gone in this same turn of the loop.
                self._free(gate, ticket)
            else:
                turn.set_result(True)

    def load_of(self, service: str, name: str) -> float:
        """Return what runs and waits at a target, per slot."""
        found = self.gates.get((service, name))
        return found.gate.load() if found is not None else 0.0

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
        for key, held in tuple(self.gates.items()):
            gate = held.gate
            if key not in self.targets.found and not gate.running:
                if not gate.waiting:
                    del self.gates[key]
        for key in tuple(self.crashed_at):
            if key not in self.targets.found:
                del self.crashed_at[key]

    def _unknown(self, detail: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(detail, self.replica.host)


def _ticket(
    call: calls.Call, spec: config.ServiceSpec, now: float
) -> fairness.Ticket:
    # The idempotent calls of a service of long jobs are its status reads.
    long = spec.work_class is config.WorkClass.LONG and not call.idempotent
    work_class = config.WorkClass.LONG if long else config.WorkClass.SHORT
    return fairness.Ticket(
        caller=call.caller,
        key=call.key or call.path,
        work_class=work_class,
        arrived=now,
        deadline=now + call.budget_ms / 1000,
    )


def _give_up(turn: asyncio.Future[bool]) -> None:
    if not turn.done():
        turn.set_result(False)


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
