"""Admission of calls to the slots of this host's targets.

``decisions.admission`` decides which calls run, wait or are refused; this
module holds the futures of waiting calls and resolves them.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import dataclasses

from peridotpost.decisions import admission
from peridotpost.decisions import fairness
from peridotpost.kernel import timers
from peridotpost.membership import targets as local
from peridotpost.model import calls
from peridotpost.model import config


@dataclasses.dataclass(slots=True)
class TargetGate:
    """A target's admission gate and the futures of its waiting calls.

    The result of a future is whether its call may run.
    """

    gate: admission.Gate
    waiters: dict[fairness.Ticket, asyncio.Future[bool]]


def ticket_for(
    call: calls.Call, spec: config.ServiceSpec, now: float
) -> fairness.Ticket:
    """Return the ticket that represents `call` at a gate."""
    # The idempotent calls of a service with long jobs are status queries.
    long = spec.work_class is config.WorkClass.LONG and not call.idempotent
    return fairness.Ticket(
        caller=call.caller,
        key=call.key or call.path,
        work_class=config.WorkClass.LONG if long else config.WorkClass.SHORT,
        arrived=now,
        deadline=now + call.budget_ms / 1000,
    )


class Gates:
    """The admission gates of a host, by service and target name."""

    def __init__(self, clock: timers.TimerService) -> None:
        self.clock = clock
        self.by_target: dict[tuple[str, str], TargetGate] = {}

    def for_target(
        self, target: local.LocalTarget, spec: config.ServiceSpec
    ) -> TargetGate:
        """Return the gate of `target`, updated to the current limits."""
        key = (target.service, target.name)
        # Each slot needs a connection, so the lower limit applies.
        slots = min(target.slots, target.connections)
        target_gate = self.by_target.get(key)
        if target_gate is None:
            gate = admission.Gate(
                slots, spec.limits.queue, self.clock.randomness
            )
            target_gate = self.by_target[key] = TargetGate(gate, {})
        target_gate.gate.slots = slots
        target_gate.gate.max_queue = spec.limits.queue
        return target_gate

    def load_of(self, key: tuple[str, str]) -> float:
        """Return the running and waiting calls of a target, per slot."""
        target_gate = self.by_target.get(key)
        return target_gate.gate.load() if target_gate is not None else 0.0

    def discard_gone(self, present: Collection[tuple[str, str]]) -> None:
        """Remove the gates of absent targets that have no calls left."""
        for key, target_gate in tuple(self.by_target.items()):
            busy = target_gate.gate.running or target_gate.gate.waiting
            if key not in present and not busy:
                del self.by_target[key]

    async def acquire_slot(
        self, target_gate: TargetGate, ticket: fairness.Ticket
    ) -> bool:
        """Wait for a slot; return False if the call is refused instead."""
        decision = target_gate.gate.submit(ticket, self.clock.now())
        self._apply_decision(target_gate, decision)
        if ticket in decision.started:
            return True
        if ticket in decision.refused:
            return False
        loop = asyncio.get_running_loop()
        admitted: asyncio.Future[bool] = loop.create_future()
        target_gate.waiters[ticket] = admitted
        # The gate refuses expired calls only when another call arrives or
        # finishes.  The timer covers a target that hangs, whose gate sees
        # neither.
        left_s = ticket.deadline - self.clock.now()
        timer = loop.call_later(left_s, _time_out, admitted)
        try:
            may_run = await admitted
        except asyncio.CancelledError:
            if (
                admitted.done()
                and not admitted.cancelled()
                and admitted.result()
            ):
                self._release_slot(target_gate, ticket)
            target_gate.gate.withdraw(ticket)
            raise
        finally:
            timer.cancel()
            target_gate.waiters.pop(ticket, None)
        if not may_run:
            target_gate.gate.withdraw(ticket)
        return may_run

    @contextlib.contextmanager
    def hold_slot(
        self, target_gate: TargetGate, ticket: fairness.Ticket
    ) -> Iterator[None]:
        """Hold an acquired slot, and release it to the next call on exit."""
        try:
            yield
        finally:
            self._release_slot(target_gate, ticket)

    def _release_slot(
        self, target_gate: TargetGate, ticket: fairness.Ticket
    ) -> None:
        self._apply_decision(
            target_gate, target_gate.gate.finish(ticket, self.clock.now())
        )

    def _apply_decision(
        self, target_gate: TargetGate, decision: admission.Decision
    ) -> None:
        for ticket in decision.refused:
            admitted = target_gate.waiters.get(ticket)
            if admitted is not None and not admitted.done():
                admitted.set_result(False)
        for ticket in decision.started:
            admitted = target_gate.waiters.get(ticket)
            if admitted is None:
                continue
            if admitted.done():
                # Timed out or cancelled in this iteration of the event loop.
                self._release_slot(target_gate, ticket)
            else:
                admitted.set_result(True)


def _time_out(admitted: asyncio.Future[bool]) -> None:
    if not admitted.done():
        admitted.set_result(False)
