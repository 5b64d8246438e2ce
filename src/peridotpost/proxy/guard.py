"""The guard: the only sender to the target of its host.

Being the only one, it knows the slots in use exactly, its refusal proves
that nothing ran, and the drain that it acknowledges is the drain that it
keeps, whatever the rest of the fleet has heard.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from peridotpost.decisions import attempts
from peridotpost.decisions import budget
from peridotpost.decisions import failures
from peridotpost.decisions import incarnations
from peridotpost.decisions import logbudget
from peridotpost.decisions import slots as slot_rules
from peridotpost.kernel import counters
from peridotpost.kernel import hooks
from peridotpost.kernel import lines
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import deadlines
from peridotpost.proxy import http1
from peridotpost.proxy import names
from peridotpost.proxy import reachability
from peridotpost.proxy import upstream

FAILING_SHARE = 0.25
FAILING_TOLD_S = 1.0
"""A target that fails this share of its requests is reported to all peers,
at most so often; other figures go with the answers."""
DEADLINE_SLACK_S = 0.1
"""How long after the deadline the guard cuts a run: its ingress does so at
the deadline, the guard only where the ingress is gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run, `at` seconds since boot."""

    order: forwarding.Order
    outcome: forwarding.Outcome
    at: float


class Guard:
    """Slots, queue and connections of one target.

    :param siblings: tells how many targets the own service has.
    """

    def __init__(
        self,
        header_names: names.HeaderNames,
        randomness: random.Random,
        sweep: deadlines.Deadlines,
        retry_budget: budget.RetryBudget,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.names = header_names
        self.sweep = sweep
        self.budget = retry_budget
        self.siblings: Callable[[], int] = lambda: 1
        self.counts = counts
        self.log = log
        self.instances = incarnations.InstanceLog()
        self.queue = slot_rules.SlotQueue(0, randomness)
        self.idle = upstream.IdlePool()
        self.running: dict[forwarding.Order, upstream.TargetConnection] = {}
        self.running_by_attempt: dict[bytes, forwarding.Order] = {}
        self.opening: dict[forwarding.Order, asyncio.Task[None]] = {}
        self.awaiting_body: set[forwarding.Order] = set()
        self.expiries: dict[forwarding.Order, int] = {}
        self.reach = reachability.Reachability(self, log)
        self.failures = failures.FailureShare()
        self.failing_told_at = 0.0
        self.leaving = False
        self.withheld = False
        self.run_ended: hooks.Hook[RunEnd] = hooks.Hook('run-ended')
        self.changed: hooks.Hook[instances.TargetStatus] = hooks.Hook('target')
        self.instance_header = b''

    @property
    def in_flight(self) -> int:
        started = (
            len(self.running) + len(self.opening) + len(self.awaiting_body)
        )
        return started + len(self.queue.waiting)

    def status(self) -> instances.TargetStatus:
        known = self.instances.current
        if known is None:
            return instances.TargetStatus('', '', 0, False)
        return instances.TargetStatus(
            known.service,
            known.instance,
            known.slots,
            self.expects_target() and not self.reach.down,
            known.version,
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
            self.failures = failures.FailureShare()
            self.reach.replaced()
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

    def withhold(self, withheld: bool) -> None:
        """Give the target no new work, or work again; what runs ends."""
        if withheld != self.withheld:
            self.withheld = withheld
            self._status_changed()

    @property
    def is_idle(self) -> bool:
        """Whether the target runs nothing for this guard."""
        return not (self.running or self.opening or self.awaiting_body)

    def stop_taking(self) -> None:
        """Take no work any more; what runs ends."""
        self.leaving = True
        self._status_changed()

    def submit(self, order: forwarding.Order) -> None:
        """Run `order` as soon as its turn comes, or settle it refused."""
        known = self.instances.current
        if not self.expects_target() or known is None:
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        if known.service != order.service:
            order.settle(forwarding.Refused(forwarding.Refusal.WRONG_SERVICE))
            return
        if self.reach.down:
            order.settle(
                forwarding.Refused(
                    forwarding.Refusal.UNREACHABLE, self.reach.pause_s
                )
            )
            return
        now = deadlines.now()
        if not self._has_budget(order, now):
            self._refuse_repeat(order)
            return
        verdict = self.queue.arrive(order, now)
        if not verdict.started and not verdict.refused:
            self._expire_at(self.queue.hopeless_at(order), order)
        if order.fetch_body is not None and not verdict.refused:
            order.fetch_body()
        self._apply(verdict)

    def body_came(self, order: forwarding.Order, body: bytes) -> None:
        """Take the body of an order that came without it."""
        order.body = body
        order.fetch_body = None
        if order not in self.awaiting_body:
            return
        if self.expects_target():
            self.awaiting_body.discard(order)
            self._start(order)
        else:
            self._abort(order)
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))

    def cancel(self, order: forwarding.Order) -> None:
        """Take back an order; settles it as not run if it still waits."""
        if order.settled:
            return
        connection = self.running.get(order)
        if connection is None and not self._is_starting(order):
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

    def expects_target(self) -> bool:
        """Whether the target is announced and may get work."""
        known = self.instances.current
        return (
            not self.leaving
            and not self.withheld
            and known is not None
            and known.state is instances.InstanceState.READY
        )

    def _status_changed(self) -> None:
        if not self.expects_target():
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
            return_s = self.queue.return_s(order, deadlines.now())
            self._log_declined(order, return_s)
            order.settle(forwarding.Refused(forwarding.Refusal.FULL, return_s))
        for order in verdict.started:
            self._start(order)

    def _log_declined(self, order: forwarding.Order, return_s: float) -> None:
        if not self.log.has_room(logbudget.Weight.STEP):
            return
        now = deadlines.now()
        queue = self.queue
        fields = {
            'request': order.attempt_id.decode('latin-1'),
            'route': order.route,
            'rank': order.rank,
            'last': order.last,
            'running': queue.running,
            'waiting': len(queue.waiting),
            'slots': queue.slots,
            'wait_ms': round(queue.expected_wait_s(order, now) * 1000),
            'run_ms': round(queue.times.expected_s(order.route) * 1000),
            'objective_ms': round((order.objective - now) * 1000),
            'left_ms': round((order.deadline - now) * 1000),
            'return_ms': round(return_s * 1000),
        }
        self.log.tell('declined', fields)

    def _expire_at(self, at: float, order: forwarding.Order) -> None:
        self._forget(order)
        self.expiries[order] = self.sweep.add(
            at, order, lambda: self._expired(order)
        )

    def _is_starting(self, order: forwarding.Order) -> bool:
        """Whether an order has a slot and was not sent yet."""
        return order in self.opening or order in self.awaiting_body

    def _start(self, order: forwarding.Order) -> None:
        self._expire_at(order.deadline + DEADLINE_SLACK_S, order)
        if order.fetch_body is not None:
            self.awaiting_body.add(order)
            return
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
            connection = await self.connect()
        except OSError as error:
            self._unreachable(order, error)
            return
        self.counts.add('target.connections')
        if self.opening.pop(order, None) is None or order.settled:
            connection.close()
            return
        if not self.expects_target() or self.instances.current is not known:
            # The drain was acknowledged while the connection opened.
            connection.close()
            self._forget(order)
            self._apply(self.queue.release(order, deadlines.now()))
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        self._send(order, connection)

    def _send(
        self, order: forwarding.Order, connection: upstream.TargetConnection
    ) -> None:
        now = deadlines.now()
        left_ms = int((order.deadline - now) * 1000)
        if left_ms <= 0 or not self._has_budget(order, now):
            # The process stood still since the decision, or other repeats
            # went first while this one waited.
            self.idle.add(connection)
            self._forget(order)
            self._apply(self.queue.release(order, now))
            if left_ms > 0:
                self._refuse_repeat(order)
            else:
                order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))
            return
        self.budget.sent(order.repeat, order.inherited, now)
        if order.repeat:
            self.counts.add('requests.repeated')
        self.running[order] = connection
        self.running_by_attempt[order.attempt_id] = order
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

    def repeat_share(self) -> float:
        """Return the share of repeats among the runs, 0 to 1."""
        if not self.running:
            return 0.0
        weight = sum(order.repeat_weight for order in self.running)
        return weight / len(self.running)

    def _has_budget(self, order: forwarding.Order, now: float) -> bool:
        if not order.repeat:
            return True
        return self.budget.admits(order.repeat, self.siblings(), now)

    def _refuse_repeat(self, order: forwarding.Order) -> None:
        self.counts.add('requests.no-retry-budget')
        order.settle(forwarding.Refused(forwarding.Refusal.NO_RETRY_BUDGET))

    def _ended(
        self,
        order: forwarding.Order,
        done: Callable[[forwarding.Outcome], None],
        outcome: forwarding.Outcome,
    ) -> None:
        """The run of `order` is over; its slot goes to the next."""
        now = deadlines.now()
        connection = self.running.pop(order, None)
        self.running_by_attempt.pop(order.attempt_id, None)
        self._forget(order)
        if connection is not None and connection.usable(now):
            self.idle.add(connection)
        if isinstance(outcome, forwarding.TargetAnswer):
            verdict = self.queue.finish(order, now)
        else:
            verdict = self.queue.release(order, now)
        if isinstance(outcome, forwarding.Lost):
            self.reach.answer_lost(order)
        if connection is None or not connection.abandoned:
            self._note_outcome(outcome, now)
            if self.run_ended.subscribers:
                self.run_ended.fire(RunEnd(order, outcome, now))
        done(outcome)
        self._apply(verdict)

    def _note_outcome(self, outcome: forwarding.Outcome, now: float) -> None:
        if isinstance(outcome, forwarding.Refused):
            # Not run, so another target can still have it.
            return
        failed = not isinstance(outcome, forwarding.TargetAnswer) or (
            outcome.status >= attempts.FAILED_STATUS
        )
        self.failures.note(failed, now)
        if not failed or self.failures.value(now) < FAILING_SHARE:
            return
        if now - self.failing_told_at >= FAILING_TOLD_S:
            self.failing_told_at = now
            self.changed.fire(self.status())

    def _connection_left(
        self, connection: upstream.TargetConnection, in_use: bool
    ) -> None:
        if connection.closed:
            self.idle.discard(connection)

    def _unreachable(self, order: forwarding.Order, error: OSError) -> None:
        if self.opening.pop(order, None) is None:
            return
        self._forget(order)
        self.reach.refused(error)
        self._apply(self.queue.release(order, deadlines.now()))
        order.settle(
            forwarding.Refused(
                forwarding.Refusal.UNREACHABLE, reachability.DOWN_PAUSE_S
            )
        )

    async def connect(self) -> upstream.TargetConnection:
        """Open a connection to the target that is announced.

        :raises OSError: it takes none.
        """
        known = self.instances.current
        assert known is not None
        return await upstream.connect(
            known.address, known.port, self.names, self._connection_left
        )

    def keep(self, connection: upstream.TargetConnection) -> None:
        """Take a connection that was opened to see whether it can be."""
        connection.idle_since = deadlines.now()
        self.idle.add(connection)

    def target_down(self) -> None:
        """Hand back what waits; other targets can still have it."""
        for order in self.queue.drain():
            self._forget(order)
            order.settle(forwarding.Refused(forwarding.Refusal.UNREACHABLE))
        self.changed.fire(self.status())

    def target_up(self) -> None:
        """Take work again."""
        known = self.instances.current
        instance = known.instance if known is not None else ''
        self.log.state('target', to='reachable', instance=instance)
        self.changed.fire(self.status())

    def _expired(self, order: forwarding.Order) -> None:
        self.expiries.pop(order, None)
        if order.settled:
            return
        if order not in self.running and not self._is_starting(order):
            self.queue.withdraw(order)
            return_s = self.queue.return_s(order, deadlines.now())
            self._log_declined(order, return_s)
            order.settle(
                forwarding.Refused(forwarding.Refusal.TOO_LATE, return_s)
            )
            return
        started = order in self.running
        self._abort(order)
        if started:
            self.failures.note(True, deadlines.now())
            order.settle(forwarding.Lost('no answer by the deadline'))
        else:
            order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))

    def _abort(self, order: forwarding.Order) -> None:
        """Stop a run or a connection attempt; frees its slot."""
        task = self.opening.pop(order, None)
        if task is not None or order in self.awaiting_body:
            if task is not None:
                task.cancel()
            self.awaiting_body.discard(order)
            self._forget(order)
            self._apply(self.queue.release(order, deadlines.now()))
            return
        connection = self.running.get(order)
        if connection is not None:
            connection.abandon()

    def _forget(self, order: forwarding.Order) -> None:
        slot = self.expiries.pop(order, None)
        if slot is not None:
            self.sweep.discard(slot, order)
