"""The guard of this host's targets, which makes the final decision on a run.

Only the guard writes to a target, so its refusal proves that a request was
not run.  It runs each dispatch of a key at most once; the key's owner
(``calls.owner``) stores the answer.
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

SAME_CRASH_WINDOW_S = 1.0
"""Calls lost within this time are attributed to the same crash of a target:
a restart takes longer, and a request must not be counted twice for one
crash."""
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
        self.last_crash_at: dict[tuple[str, str], float] = {}
        self.in_flight = 0
        self.leaving = False

    async def run(self, call: calls.Call, target: str) -> calls.Outcome:
        """Run `call` on the local target named `target`."""
        self.in_flight += 1
        try:
            if call.idempotent:
                return await self._run_counted(call, target)
            return await self._run_keyed(call, target)
        finally:
            self.in_flight -= 1

    async def _run_keyed(self, call: calls.Call, target: str) -> calls.Outcome:
        """Run a dispatch of a non-idempotent call, or join a running one."""
        return await self.ledger.run(
            call, lambda: self._run_counted(call, target)
        )

    async def _run_counted(self, call: calls.Call, name: str) -> calls.Outcome:
        # Counted in addition to `run`: a non-idempotent call continues
        # after its caller disconnects, and a graceful stop has to wait for
        # it.
        self.in_flight += 1
        try:
            return await self._admit(call, name)
        finally:
            self.in_flight -= 1

    async def _admit(self, call: calls.Call, name: str) -> calls.Outcome:
        began = self.clock.now()
        refusal = self._find_refusal(call, name)
        if refusal is not None:
            return self._report_refusal(call, refusal)
        spec = self.replica.version.services[call.service]
        target = self.targets.by_name[(call.service, name)]
        target_gate = self.gates.for_target(target, spec)
        ticket = gates.ticket_for(call, spec, began)
        if not await self.gates.acquire_slot(target_gate, ticket):
            return self._report_refusal(
                call, self._full_refusal(call, target_gate, name)
            )
        with self.gates.hold_slot(target_gate, ticket):
            # The target may have started draining while the call waited.
            refusal = self._find_refusal(call, name)
            if refusal is not None:
                return self._report_refusal(call, refusal)
            spent_ms = (self.clock.now() - began) * 1000
            return await self._dispatch(call, target, spec, spent_ms)

    def _find_refusal(
        self, call: calls.Call, name: str
    ) -> calls.NotRun | None:
        if self.leaving:
            return calls.NotRun(
                calls.NotRunReason.DRAINING, 'the host is leaving', 100
            )
        refusal_s = self.poison.refusal_remaining_s(call, self.clock.now())
        if refusal_s > 0:
            return calls.NotRun(
                calls.NotRunReason.POISON,
                'this request crashed the targets that ran it',
                round(refusal_s * 1000),
            )
        if call.service not in self.replica.version.services:
            return calls.NotRun(
                calls.NotRunReason.NO_SERVICE,
                f'{call.service!r} is not in the configuration here',
            )
        target = self.targets.by_name.get((call.service, name))
        if target is None:
            return calls.NotRun(
                calls.NotRunReason.NO_TARGET,
                f'target {name!r} no longer exists',
                100,
            )
        if target.state is members.TargetState.DRAINING:
            return calls.NotRun(
                calls.NotRunReason.DRAINING, f'{name!r} is draining', 100
            )
        return None

    def _full_refusal(
        self, call: calls.Call, target_gate: gates.TargetGate, name: str
    ) -> calls.NotRun:
        now = self.clock.now()
        if call.budget_ms <= 0:
            return calls.NotRun(
                calls.NotRunReason.DEADLINE, 'its deadline has passed'
            )
        return calls.NotRun(
            calls.NotRunReason.FULL,
            f'target {name!r} is full',
            target_gate.gate.retry_after_ms(now),
        )

    def _report_refusal(
        self, call: calls.Call, refusal: calls.NotRun
    ) -> calls.NotRun:
        self.counts.add(f'guard.refused.{refusal.reason.value}')
        self.events.record(
            'call.refused', refusal.detail, request_id=call.request_id
        )
        return dataclasses.replace(refusal, peer=self.replica.host)

    def load_of(self, service: str, name: str) -> float:
        """Return the running and waiting calls of a target, per slot."""
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
            return self._report_refusal(
                call,
                calls.NotRun(
                    calls.NotRunReason.DEADLINE, 'its deadline has passed'
                ),
            )
        outgoing = _with_target_headers(call, left_ms)
        self.events.record(
            'call.dispatched', target.name, request_id=call.request_id
        )
        try:
            # Unlike `wait_for`, this does not create a task.
            async with asyncio.timeout(left_ms / 1000):
                answer = await self.pool.fetch(
                    target.port,
                    outgoing,
                    spec.limits.answer_bytes,
                    self.clock.now(),
                )
        except connections.ConnectFailed as error:
            # Nothing listens at the port: the target exited before its
            # announcement expired.  It is withdrawn, and the call may be
            # sent to another target.
            self.targets.withdraw(target.service, target.name, str(error))
            return self._report_refusal(
                call,
                calls.NotRun(
                    calls.NotRunReason.TARGET_GONE,
                    f'{target.name!r} refuses connections',
                    100,
                ),
            )
        except connections.AnswerLost as error:
            self.counts.add('guard.answer-lost')
            if await self.pool.target_has_exited(target.port):
                return self._target_crashed(call, target)
            return self._unknown(f'{target.name!r}: {error}')
        except TimeoutError:
            self.counts.add('guard.deadline')
            return self._unknown(f'{target.name!r} exceeded the deadline')
        self.counts.add('guard.answered')
        self.poison.record_answer(call)
        return answer

    def _target_crashed(
        self, call: calls.Call, target: local.LocalTarget
    ) -> calls.OutcomeUnknown:
        """Record a crash; calls lost in the same crash share an incident."""
        key = (target.service, target.name)
        now = self.clock.now()
        if (
            now - self.last_crash_at.get(key, -SAME_CRASH_WINDOW_S)
            >= SAME_CRASH_WINDOW_S
        ):
            self.last_crash_at[key] = now
        self.targets.withdraw(*key, 'crashed')
        incident = f'{self.last_crash_at[key]:.3f}'
        self.record_crash(
            poison.fingerprints(call),
            f'{self.replica.host}/{target.name}',
            incident,
        )
        return calls.OutcomeUnknown(
            f'{target.name!r} exited while it ran the request',
            self.replica.host,
            incident,
        )

    def record_crash(
        self, fingerprints: tuple[str, ...], target: str, incident: str
    ) -> None:
        """Record that a request crashed a target on this or another host."""
        self.counts.add('guard.crash-noted')
        self.poison.record_crash(
            fingerprints, target, incident, self.clock.now()
        )

    def discard_gone(self) -> None:
        """Discard the state of targets that no longer exist."""
        self.gates.discard_gone(self.targets.by_name)
        for key in tuple(self.last_crash_at):
            if key not in self.targets.by_name:
                del self.last_crash_at[key]

    def _unknown(self, detail: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(detail, self.replica.host)


def _with_target_headers(call: calls.Call, left_ms: int) -> calls.Call:
    """Return `call` with the headers that are added for the target."""
    added = [
        calls.Header(TIMEOUT_HEADER, str(left_ms)),
        calls.Header(DEPTH_HEADER, str(call.depth + 1)),
        calls.Header(REQUEST_ID_HEADER, call.request_id),
    ]
    if call.key:
        added.append(calls.Header('Idempotency-Key', call.key))
    return dataclasses.replace(call, headers=(*call.headers, *added))
