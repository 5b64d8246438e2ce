"""Waiting at the gates of this host's targets.

``decisions.admission`` decides who runs, waits or is refused; this module
keeps the futures of those who wait and tells them.
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
    """A target's gate and the futures of those who wait at it.

    A future gives whether its request may run.
    """

    gate: admission.Gate
    waiters: dict[fairness.Ticket, asyncio.Future[bool]]


def ticket_for(
    call: calls.Call, spec: config.ServiceSpec, now: float
) -> fairness.Ticket:
    """Return the ticket with which `call` stands at a gate."""
    # The idempotent calls of a service of long jobs are its status reads.
    long = spec.work_class is config.WorkClass.LONG and not call.idempotent
    return fairness.Ticket(
        caller=call.caller,
        key=call.key or call.path,
        work_class=config.WorkClass.LONG if long else config.WorkClass.SHORT,
        arrived=now,
        deadline=now + call.budget_ms / 1000,
    )


class Gates:
    """The gates of one host, by service and name of the target."""

    def __init__(self, clock: timers.TimerService) -> None:
        self.clock = clock
        self.held: dict[tuple[str, str], TargetGate] = {}

    def of(
        self, target: local.LocalTarget, spec: config.ServiceSpec
    ) -> TargetGate:
        """Return the gate of `target`, with the bounds that hold now."""
        key = (target.service, target.name)
        # A slot needs a connection, so that the lesser bound counts.
        slots = min(target.slots, target.connections)
        found = self.held.get(key)
        if found is None:
            gate = admission.Gate(
                slots, spec.limits.queue, self.clock.randomness
            )
            found = self.held[key] = TargetGate(gate, {})
        found.gate.slots = slots
        found.gate.queue = spec.limits.queue
        return found

    def load_of(self, key: tuple[str, str]) -> float:
        """Return what runs and waits at a target, per slot."""
        found = self.held.get(key)
        return found.gate.load() if found is not None else 0.0

    def forget(self, present: Collection[tuple[str, str]]) -> None:
        """Drop gates of targets that are gone, once nothing runs there."""
        for key, one in tuple(self.held.items()):
            busy = one.gate.running or one.gate.waiting
            if key not in present and not busy:
                del self.held[key]

    async def wait_turn(
        self, gate: TargetGate, ticket: fairness.Ticket
    ) -> bool:
        """Wait for a slot; False if the request is refused instead."""
        step = gate.gate.arrive(ticket, self.clock.now())
        self._take_step(gate, step)
        if ticket in step.started:
            return True
        if ticket in step.refused:
            return False
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[bool] = loop.create_future()
        gate.waiters[ticket] = turn
        # The gate refuses what it gives up on; this timer is for a target
        # that has stopped altogether, when nothing happens at its gate.
        left_s = ticket.deadline - self.clock.now()
        timer = loop.call_later(left_s, _give_up, turn)
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
    def slot(
        self, gate: TargetGate, ticket: fairness.Ticket
    ) -> Iterator[None]:
        """Hold the slot that the turn gave, and hand it on at the end."""
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


def _give_up(turn: asyncio.Future[bool]) -> None:
    if not turn.done():
        turn.set_result(False)
