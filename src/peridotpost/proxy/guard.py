"""The guard: the only sender to the target of its host.

Being the only one, it knows the slots in use exactly, its refusal proves
that nothing ran, and the drain that it acknowledges is the drain that it
keeps, whatever the rest of the fleet has heard.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random

from peridotpost.decisions import incarnations
from peridotpost.decisions import logbudget
from peridotpost.decisions import poison
from peridotpost.decisions import slots as slot_rules
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import lines
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import deadlines
from peridotpost.proxy import http1
from peridotpost.proxy import names
from peridotpost.proxy import upstream

DOWN_PAUSE_S = 0.1
"""First pause between two tries to reach a target that refuses
connections; doubles up to ``MAX_DOWN_PAUSE_S``."""
MAX_DOWN_PAUSE_S = 0.8
CRASH_WINDOW_S = 1.0
"""A lost request is taken for a cause of the crash if the target refuses
connections within this time; a restart takes longer."""
MAX_LOSSES = 64
"""More than a target has slots; older ones are out of the window."""
DEADLINE_SLACK_S = 0.1
"""How long after the deadline the guard cuts a run: its ingress does so at
the deadline, the guard only where the ingress is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A request whose answer was lost, and when."""

    at: float
    order: forwarding.Order


class Guard:
    """Slots, queue and connections of one target.

    :param service: the service that the host's settings name.
    """

    def __init__(
        self,
        header_names: names.HeaderNames,
        randomness: random.Random,
        sweep: deadlines.Deadlines,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.names = header_names
        self.sweep = sweep
        self.counts = counts
        self.log = log
        self.instances = incarnations.InstanceLog()
        self.queue = slot_rules.SlotQueue(0, randomness)
        self.idle = upstream.IdlePool()
        self.running: dict[forwarding.Order, upstream.TargetConnection] = {}
        self.opening: dict[forwarding.Order, asyncio.Task[None]] = {}
        self.expiries: dict[forwarding.Order, int] = {}
        self.losses: collections.deque[Loss] = collections.deque(
            maxlen=MAX_LOSSES
        )
        self.down = False
        self.down_pause_s = DOWN_PAUSE_S
        self.cold_until = 0.0
        self.leaving = False
        self.changed: hooks.Hook[instances.TargetStatus] = hooks.Hook('target')
        self.crashed: hooks.Hook[tuple[str, ...]] = hooks.Hook('crash')
        self.instance_header = b''

    @property
    def in_flight(self) -> int:
        return len(self.running) + len(self.opening) + len(self.queue.waiting)

    def status(self) -> instances.TargetStatus:
        known = self.instances.current
        if known is None:
            return instances.TargetStatus('', '', 0, False)
        cold_s = max(0.0, self.cold_until - deadlines.now())
        return instances.TargetStatus(
            known.service,
            known.instance,
            known.slots,
            self._takes_work() and not self.down,
            cold_s,
        )

    def announced(self, told: instances.Announcement) -> None:
        """Take what the target says; returns when it is in force."""
        before = self.instances.current
        if not self.instances.offer(told):
            return
        fresh = before is None or (before.instance, before.born_ms) != (
            told.instance,
            told.born_ms,
        )
        if fresh:
            self.idle.close()
            self.down = False
            self.cold_until = deadlines.now() + told.cold_s
            self.instance_header = (
                self.names.instance + b': ' + told.instance.encode() + b'\r\n'
            )
        self.queue.slots = told.slots
        self.log.state(
            'target',
            instance=told.instance,
            service=told.service,
            to=told.state.value,
            born=told.born_ms,
            sequence=told.sequence,
            slots=told.slots,
        )
        self._status_changed()

    def left(self, instance: str, born_ms: int) -> None:
        """Take a target's word that it goes."""
        if self.instances.leave(instance, born_ms):
            self.log.state('target', instance=instance, to='gone')
            self._status_changed()

    def stop_taking(self) -> None:
        """Take no work any more; what runs ends."""
        self.leaving = True
        self._status_changed()

    def submit(self, order: forwarding.Order) -> None:
        """Run `order` as soon as its turn comes, or settle it refused."""
        known = self.instances.current
        if not self._takes_work() or known is None:
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        if known.service != order.service:
            order.settle(forwarding.Refused(forwarding.Refusal.WRONG_SERVICE))
            return
        if self.down:
            order.settle(
                forwarding.Refused(
                    forwarding.Refusal.UNREACHABLE, self.down_pause_s
                )
            )
            return
        now = deadlines.now()
        order.received = now
        verdict = self.queue.arrive(order, now)
        if not verdict.started and not verdict.refused:
            self._expire_at(self.queue.hopeless_at(order), order)
        self._apply(verdict)

    def cancel(self, order: forwarding.Order) -> None:
        """Take back an order; settles it as not run if it still waits."""
        if order.settled:
            return
        connection = self.running.get(order)
        if connection is None and order not in self.opening:
            self.queue.withdraw(order)
            self._forget(order)
            order.settle(forwarding.Refused(forwarding.Refusal.WITHDRAWN))
            return
        if not order.idempotent and connection is not None:
            # It may be half done.  Cut off now it would neither be whole
            # nor could it be sent again.
            return
        self._abort(order)
        if connection is None:
            order.settle(forwarding.Refused(forwarding.Refusal.WITHDRAWN))
        else:
            order.settle(forwarding.Lost('cancelled by its ingress'))

    def close(self) -> None:
        for task in self.opening.values():
            task.cancel()
        for connection in list(self.running.values()):
            connection.close()
        self.idle.close()

    def _takes_work(self) -> bool:
        known = self.instances.current
        return (
            not self.leaving
            and known is not None
            and known.state is instances.InstanceState.READY
        )

    def _status_changed(self) -> None:
        if not self._takes_work():
            # What waits would reach the target after its drain was
            # acknowledged; other targets can still have it.
            for order in self.queue.drain():
                self._forget(order)
                order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            self.idle.close()
        self.changed.fire(self.status())

    def _apply(self, verdict: slot_rules.Verdict) -> None:
        for order in verdict.refused:
            self._forget(order)
            return_s = self.queue.return_s(order.rank)
            self._log_declined(order, return_s)
            order.settle(forwarding.Refused(forwarding.Refusal.FULL, return_s))
        for order in verdict.started:
            self._start(order)

    def _log_declined(self, order: forwarding.Order, return_s: float) -> None:
        now = deadlines.now()
        queue = self.queue
        self.log.request(
            'declined',
            logbudget.Weight.STEP,
            request=order.attempt_id.decode('latin-1'),
            route=order.route,
            rank=order.rank,
            last=order.last,
            running=queue.running,
            waiting=len(queue.waiting),
            slots=queue.slots,
            wait_ms=round(queue.expected_wait_s(order.rank) * 1000),
            run_ms=round(queue.expected_run_s(order.route) * 1000),
            objective_ms=round((order.objective - now) * 1000),
            left_ms=round((order.deadline - now) * 1000),
            return_ms=round(return_s * 1000),
        )

    def _expire_at(self, at: float, order: forwarding.Order) -> None:
        self._forget(order)
        self.expiries[order] = self.sweep.add(
            at, order, lambda: self._expired(order)
        )

    def _start(self, order: forwarding.Order) -> None:
        self._expire_at(order.deadline + DEADLINE_SLACK_S, order)
        now = deadlines.now()
        connection = self.idle.take(now, not order.idempotent)
        if connection is not None:
            self._send(order, connection)
            return
        self.opening[order] = asyncio.ensure_future(self._open(order))

    async def _open(self, order: forwarding.Order) -> None:
        known = self.instances.current
        assert known is not None
        try:
            connection = await upstream.connect(
                known.address, known.port, self.names, self._connection_left
            )
        except OSError as error:
            self._unreachable(order, error)
            return
        self.counts.add('target.connections')
        if self.opening.pop(order, None) is None or order.settled:
            connection.close()
            return
        if not self._takes_work() or self.instances.current is not known:
            # The drain was acknowledged while the connection opened.
            connection.close()
            self._forget(order)
            self._apply(self.queue.release(deadlines.now()))
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        self._send(order, connection)

    def _send(
        self, order: forwarding.Order, connection: upstream.TargetConnection
    ) -> None:
        left_ms = int((order.deadline - deadlines.now()) * 1000)
        if left_ms <= 0:
            # The process stood still between the decision and here.
            self.idle.add(connection)
            self._forget(order)
            self._apply(self.queue.release(deadlines.now()))
            order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))
            return
        self.running[order] = connection
        head = b'%s%s%s: %d\r\n' % (
            order.head,
            self.instance_header,
            self.names.deadline,
            left_ms,
        )
        payload = http1.render_request(
            order.method, order.target, head, order.body
        )
        done = order.done
        order.done = lambda outcome: self._ended(order, done, outcome)
        connection.send(order, payload)

    def _ended(
        self,
        order: forwarding.Order,
        done: Callable[[forwarding.Outcome], None],
        outcome: forwarding.Outcome,
    ) -> None:
        """The run of `order` is over; its slot goes to the next."""
        now = deadlines.now()
        connection = self.running.pop(order, None)
        self._forget(order)
        if connection is not None and connection.usable(now):
            self.idle.add(connection)
        if isinstance(outcome, forwarding.TargetAnswer):
            verdict = self.queue.finish(order, now)
        else:
            verdict = self.queue.release(now)
        if isinstance(outcome, forwarding.Lost):
            self.losses.append(Loss(now, order))
            self._check_target()
        done(outcome)
        self._apply(verdict)

    def _connection_left(
        self, connection: upstream.TargetConnection, in_use: bool
    ) -> None:
        if connection.closed:
            self.idle.discard(connection)

    def _unreachable(self, order: forwarding.Order, error: OSError) -> None:
        if self.opening.pop(order, None) is None:
            return
        now = deadlines.now()
        self._forget(order)
        self._target_down(now, error)
        self._apply(self.queue.release(now))
        order.settle(
            forwarding.Refused(forwarding.Refusal.UNREACHABLE, DOWN_PAUSE_S)
        )

    def _target_down(self, now: float, error: OSError) -> None:
        """The target takes no connection: it crashed or is gone."""
        suspects = tuple(
            poison.fingerprint(
                one.order.method, one.order.target, one.order.body
            )
            for one in self.losses
            if now - one.at <= CRASH_WINDOW_S
        )
        self.losses.clear()
        if suspects:
            self.crashed.fire(suspects)
        if self.down:
            return
        self.down = True
        self.down_pause_s = DOWN_PAUSE_S
        self.log.state(
            'target', to='unreachable', error=str(error) or 'timeout'
        )
        for order in self.queue.drain():
            self._forget(order)
            order.settle(forwarding.Refused(forwarding.Refusal.UNREACHABLE))
        self.changed.fire(self.status())
        self._check_later()

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.down_pause_s, self._check_target)
        self.down_pause_s = min(MAX_DOWN_PAUSE_S, 2 * self.down_pause_s)

    def _check_target(self) -> None:
        """See whether the target takes connections."""
        asyncio.ensure_future(self._try_connection(self.down))

    async def _try_connection(self, was_down: bool) -> None:
        known = self.instances.current
        if known is None or not self._takes_work():
            return
        try:
            connection = await upstream.connect(
                known.address, known.port, self.names, self._connection_left
            )
        except OSError as error:
            self._target_down(deadlines.now(), error)
            if was_down:
                self._check_later()
            return
        connection.idle_since = deadlines.now()
        self.idle.add(connection)
        if was_down and self.down:
            self.down = False
            self.log.state('target', to='reachable', instance=known.instance)
            self.changed.fire(self.status())

    def _expired(self, order: forwarding.Order) -> None:
        self.expiries.pop(order, None)
        if order.settled:
            return
        if order not in self.running and order not in self.opening:
            self.queue.withdraw(order)
            return_s = self.queue.return_s(order.rank)
            self._log_declined(order, return_s)
            order.settle(
                forwarding.Refused(forwarding.Refusal.TOO_LATE, return_s)
            )
            return
        started = order in self.running
        self._abort(order)
        if started:
            order.settle(forwarding.Lost('no answer by the deadline'))
        else:
            order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))

    def _abort(self, order: forwarding.Order) -> None:
        """Stop a run or a connection attempt; frees its slot."""
        task = self.opening.pop(order, None)
        if task is not None:
            task.cancel()
            self._forget(order)
            self._apply(self.queue.release(deadlines.now()))
            return
        connection = self.running.get(order)
        if connection is not None:
            connection.abandon()

    def _forget(self, order: forwarding.Order) -> None:
        slot = self.expiries.pop(order, None)
        if slot is not None:
            self.sweep.discard(slot, order)
