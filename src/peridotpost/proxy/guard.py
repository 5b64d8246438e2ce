"""The guard: admission control in front of a host's target.

All requests to the target go through its guard.  The guard therefore knows
exactly how many slots are in use, a refusal by it proves that the request has
not run, and a drain that it acknowledged holds even while other hosts have
not heard of it.
"""

import asyncio
from collections.abc import Callable
import enum
import random

from peridotpost.decisions import attempts
from peridotpost.decisions import budget
from peridotpost.decisions import connectionreuse
from peridotpost.decisions import failures
from peridotpost.decisions import incarnations
from peridotpost.decisions import slots as slot_rules
from peridotpost.decisions import targetspeed
from peridotpost.kernel import hooks
from peridotpost.kernel import jsonlog
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.proxy import bodies
from peridotpost.proxy import deadlines
from peridotpost.proxy import expiries
from peridotpost.proxy import guardlog
from peridotpost.proxy import headernames
from peridotpost.proxy import http1
from peridotpost.proxy import listener
from peridotpost.proxy import reachability
from peridotpost.proxy import targetadverts
from peridotpost.proxy import upstream

FAILING_SHARE = 0.25
"""Share of failed requests from which peers are told that a target fails.
Lower shares are only sent along with responses."""
FAILING_REPORT_INTERVAL_S = 1.0
"""Minimum interval between two such reports."""
DEADLINE_SLACK_S = 0.1
"""Delay after the deadline before the guard aborts a run.  The ingress cancels
it at the deadline; the guard acts only if the ingress is gone."""


class Withholding(enum.Enum):
    """Reason for which a target that announced itself gets no new work.

    ``RELEASE``: a release does not allow its version.
    ``DEPARTURES``: whether it left before this daemon started is unknown.
    """

    RELEASE = enum.auto()
    DEPARTURES = enum.auto()


class Guard:
    """Manages the slots, queue and connections of one target.

    :param target_count: returns the number of targets of this service; None
        if it is unknown.
    """

    def __init__(
        self,
        header_names: headernames.HeaderNames,
        randomness: random.Random,
        retry_budget: budget.RetryBudget,
        room: bodies.Room,
        log: jsonlog.JsonLog,
    ) -> None:
        self.header_names = header_names
        self.room = room
        self.deadline_timer = room.timer
        self.budget = retry_budget
        self.retry_log = guardlog.RetryLog(log, retry_budget)
        self.target_count: Callable[[], int | None] = lambda: 1
        self.counts = room.counts
        self.log = log
        self.instances = incarnations.InstanceTracker()
        self.queue = slot_rules.SlotQueue(0, randomness)
        self.idle = upstream.IdlePool()
        self.reuse = connectionreuse.ConnectionReuse()
        self.running: dict[forwarding.Order, upstream.TargetConnection] = {}
        self.running_by_attempt: dict[bytes, forwarding.Order] = {}
        self.connecting: dict[forwarding.Order, asyncio.Task[None]] = {}
        self.awaiting_body: set[forwarding.Order] = set()
        self.expiries = expiries.OrderExpiries(room.timer, self._expired)
        self.wakes_at = 0.0
        self.reachability = reachability.Reachability(self, log)
        self.adverts = targetadverts.TargetAdverts(room.counts, log)
        self.adverts.leaving_stated.subscribe(self._end_incarnation)
        self.failures = failures.FailureRate()
        self.speed = targetspeed.TargetSpeed(False)
        self.failing_reported_at = 0.0
        self.leaving = False
        self.withheld: set[Withholding] = set()
        self.run_ended: hooks.Hook[forwarding.RunEnd] = hooks.Hook('run-ended')
        self.status_changed: hooks.Hook[instances.TargetStatus] = hooks.Hook(
            'target'
        )
        self.instance_header = b''

    @property
    def in_flight(self) -> int:
        """Number of orders that run, wait or are about to be sent."""
        started = (
            len(self.running) + len(self.connecting) + len(self.awaiting_body)
        )
        return started + len(self.queue.waiting)

    def status(self) -> instances.TargetStatus:
        current = self.instances.current
        if current is None:
            return instances.TargetStatus(
                '', '', 0, False, stated=self.adverts.stated
            )
        return instances.TargetStatus(
            current.service,
            current.instance,
            current.slots,
            self.expects_target() and not self.reachability.down,
            current.version,
            self.adverts.stated,
        )

    def restore_statement(self, heard: instances.TargetStatement) -> None:
        """Apply what a target stated before this daemon started."""
        self.adverts.restore(heard)
        self._apply_limit(deadlines.now())
        self._apply_verdict(self.queue.fill(deadlines.now()))

    def accept_announcement(
        self, announcement: instances.Announcement
    ) -> None:
        """Apply an announcement of the target; it is in force on return."""
        before = self.instances.current
        if not self.instances.offer(announcement):
            return
        if before is None or before.incarnation != announcement.incarnation:
            self.idle.close()
            self.reuse = connectionreuse.ConnectionReuse()
            self.failures = failures.FailureRate()
            self.speed = targetspeed.TargetSpeed(self.speed.refuses)
            self.reachability.instance_replaced()
            self.adverts.instance_replaced(announcement.incarnation)
            self._apply_limit(deadlines.now())
            self.instance_header = (
                self.header_names.instance
                + b': '
                + announcement.instance.encode()
                + b'\r\n'
            )
        if announcement.state is not instances.InstanceState.READY:
            self.adverts.left()
        self.queue.slots = announcement.slots
        self.log.state(
            'target',
            instance=announcement.instance,
            service=announcement.service,
            to=announcement.state.value,
            born=announcement.started_ms,
            sequence=announcement.sequence,
            slots=announcement.slots,
        )
        self._status_changed()

    def handle_departure(self, incarnation: instances.Incarnation) -> None:
        """Handle a target's notice that it is leaving."""
        self._end_incarnation(incarnation)

    def _end_incarnation(self, incarnation: instances.Incarnation) -> None:
        """Give no more work to an incarnation, whatever it announces."""
        instance = incarnation.instance
        if self.instances.leave(instance, incarnation.started_ms):
            self.adverts.left()
            self.log.state('target', instance=instance, to='gone')
            self._status_changed()

    def withhold(self, reason: Withholding, withheld: bool) -> None:
        """Suspend or resume new work for the target; runs continue."""
        if withheld == (reason in self.withheld):
            return
        if withheld:
            self.withheld.add(reason)
        else:
            self.withheld.discard(reason)
        self._status_changed()

    @property
    def has_no_work(self) -> bool:
        """Whether no order has a slot of the target."""
        return not (self.running or self.connecting or self.awaiting_body)

    def stop_accepting(self) -> None:
        """Refuse new work from now on; runs continue to their end."""
        self.leaving = True
        self._status_changed()

    def submit(self, order: forwarding.Order) -> None:
        """Start or queue `order`, or settle it as refused."""
        current = self.instances.current
        if not self.expects_target() or current is None:
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        if current.service != order.service:
            order.settle(forwarding.Refused(forwarding.Refusal.WRONG_SERVICE))
            return
        if self.reachability.down:
            order.settle(
                forwarding.Refused(
                    forwarding.Refusal.UNREACHABLE,
                    self.reachability.reconnect_pause_s,
                )
            )
            return
        now = deadlines.now()
        if not self._has_budget(order, now):
            self._refuse_retry(order)
            return
        if not order.reserve_body():
            self.counts.add('requests.no-room')
            order.settle(
                forwarding.Refused(
                    forwarding.Refusal.NO_ROOM, listener.NO_ROOM_RETRY_AFTER_S
                )
            )
            return
        if self.speed.declines(order, self.queue.load(now), now):
            verdict = slot_rules.Decision([], [order])
        else:
            verdict = self.queue.submit(order, now)
        refused = order in verdict.refused
        if not refused and order not in verdict.started:
            self.expiries.set(self.queue.latest_start(order), order)
        if order.fetch_body is not None and not refused:
            order.fetch_body()
        self._apply_verdict(verdict)

    def receive_body(self, order: forwarding.Order, body: bodies.Body) -> None:
        """Store the body of an order that was sent without it."""
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
        """Cancel an order; one that was not sent is settled as refused."""
        if order.settled:
            return
        connection = self.running.get(order)
        if connection is None and not self._is_starting(order):
            self.queue.withdraw(order)
            self.expiries.clear(order)
            order.settle(forwarding.Refused(forwarding.Refusal.WITHDRAWN))
            return
        if not order.idempotent and connection is not None:
            # A non-idempotent run that is aborted halfway can neither be
            # completed nor retried.
            return
        self._abort(order)
        if connection is None:
            order.settle(forwarding.Refused(forwarding.Refusal.WITHDRAWN))
        else:
            order.settle(forwarding.ResponseLost('cancelled by its ingress'))

    def close(self) -> None:
        for task in self.connecting.values():
            task.cancel()
        for connection in list(self.running.values()):
            connection.close()
        self.idle.close()

    def expects_target(self) -> bool:
        """Whether the target is announced as ready and may be given work."""
        current = self.instances.current
        return (
            not self.leaving
            and not self.withheld
            and current is not None
            and current.state is instances.InstanceState.READY
        )

    def _status_changed(self) -> None:
        if not self.expects_target():
            # Queued orders must not reach the target after its drain was
            # acknowledged; they can still run on other targets.
            for order in self.queue.drain():
                self.expiries.clear(order)
                order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            self.idle.close()
        self.status_changed.fire(self.status())

    def _apply_verdict(self, verdict: slot_rules.Decision) -> None:
        for order in verdict.refused:
            self.expiries.clear(order)
            retry_after_s = self.queue.retry_after_s(order, deadlines.now())
            guardlog.log_declined(self.log, self.queue, order, retry_after_s)
            order.settle(
                forwarding.Refused(forwarding.Refusal.FULL, retry_after_s)
            )
        for order in verdict.started:
            self._start(order)
        self._wake_at_next_start()

    def _wake_at_next_start(self) -> None:
        """Set a timer for the next start that the rate limit allows."""
        now = deadlines.now()
        start_at = self.queue.next_start_at(now)
        if start_at is None or now <= self.wakes_at <= start_at:
            return
        self.wakes_at = start_at
        self.deadline_timer.add(start_at, self, self._start_due)

    def _start_due(self) -> None:
        self.wakes_at = 0.0
        self._apply_verdict(self.queue.fill(deadlines.now()))

    def _is_starting(self, order: forwarding.Order) -> bool:
        """Whether an order has a slot but was not sent to the target yet."""
        return order in self.connecting or order in self.awaiting_body

    def _start(self, order: forwarding.Order) -> None:
        if order.settled:
            # It was cancelled after it got a slot, and its caller was told
            # that it has not run.
            self.expiries.clear(order)
            self._apply_verdict(self.queue.release(order, deadlines.now()))
            return
        self.expiries.set(order.deadline + DEADLINE_SLACK_S, order)
        if order.fetch_body is not None:
            self.awaiting_body.add(order)
            return
        now = deadlines.now()
        connection = None
        if self.reuse.allows(order, now):
            connection = self.idle.take(now, not order.idempotent)
        if connection is not None:
            self._send(order, connection)
            return
        self.connecting[order] = asyncio.ensure_future(
            self._connect_and_send(order)
        )

    async def _connect_and_send(self, order: forwarding.Order) -> None:
        announced = self.instances.current
        assert announced is not None
        try:
            connection = await self.connect()
        except OSError as error:
            self._connect_failed(order, error)
            return
        self.counts.add('target.connections')
        if self.connecting.pop(order, None) is None or order.settled:
            connection.close()
            return
        if (
            not self.expects_target()
            or self.instances.current is not announced
        ):
            # The target began to drain or was replaced while the connection
            # was being opened.
            connection.close()
            self.expiries.clear(order)
            self._apply_verdict(self.queue.release(order, deadlines.now()))
            order.settle(forwarding.Refused(forwarding.Refusal.LEAVING))
            return
        self._send(order, connection)

    def _send(
        self, order: forwarding.Order, connection: upstream.TargetConnection
    ) -> None:
        now = deadlines.now()
        remaining_ms = int((order.deadline - now) * 1000)
        if remaining_ms <= 0 or not self._has_budget(order, now):
            # The process was stalled since the decision, or other retries used
            # the retry budget while this one was waiting.
            self.idle.add(connection)
            self.expiries.clear(order)
            self._apply_verdict(self.queue.release(order, now))
            if remaining_ms > 0:
                self._refuse_retry(order)
            else:
                order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))
            return
        self.budget.sent(order.retry_cause, order.inherited_retry_weight, now)
        self.counts.add('target.requests')
        if order.retry_cause:
            self.counts.add('requests.repeated')
            self.retry_log.note(order.service, admitted=True)
        self.running[order] = connection
        self.speed.started(order, now)
        self.running_by_attempt[order.attempt_id] = order
        head = b'%s%s%s: %d\r\n' % (
            order.head,
            self.instance_header,
            self.header_names.deadline,
            remaining_ms,
        )
        payload = http1.render_request(
            order.method, order.target, head, order.body
        )
        done = order.done
        order.done = lambda outcome: self._run_finished(order, done, outcome)
        connection.send(order, payload)

    def retry_share(self) -> float:
        """Return the share of retries among current runs, 0 to 1."""
        if not self.running:
            return 0.0
        weight = sum(order.retry_weight for order in self.running)
        return weight / len(self.running)

    def _has_budget(self, order: forwarding.Order, now: float) -> bool:
        if not order.retry_cause:
            return True
        return self.budget.admits(order.retry_cause, self.target_count(), now)

    def _refuse_retry(self, order: forwarding.Order) -> None:
        self.counts.add('requests.no-retry-budget')
        self.retry_log.note(order.service, admitted=False)
        order.settle(forwarding.Refused(forwarding.Refusal.NO_RETRY_BUDGET))

    def _run_finished(
        self,
        order: forwarding.Order,
        done: Callable[[forwarding.Outcome], None],
        outcome: forwarding.Outcome,
    ) -> None:
        """Handle the end of a run and give its slot to the next order."""
        now = deadlines.now()
        connection = self.running.pop(order, None)
        self.running_by_attempt.pop(order.attempt_id, None)
        self.expiries.clear(order)
        if connection is not None and connection.is_usable(now):
            self.idle.add(connection)
        if connection is not None:
            self._note_advertisement(connection, order, now)
            if isinstance(outcome, forwarding.Refused):
                self.reuse.note_rejected(order, now)
                guardlog.log_rejected(
                    self.log, order, outcome, connection.response_count
                )
        answered = isinstance(outcome, forwarding.TargetAnswer)
        self.speed.ended(order, answered, now)
        end_run = self.queue.finish if answered else self.queue.release
        verdict = end_run(order, now)
        if isinstance(outcome, forwarding.ResponseLost):
            if connection is not None and connection.too_long:
                self.reachability.answer_too_long()
            else:
                self.reachability.answer_lost(order)
        if connection is None or not connection.aborted:
            self._record_outcome(outcome, now)
            if self.run_ended.subscribers:
                self.run_ended.fire(forwarding.RunEnd(order, outcome, now))
        done(outcome)
        self._apply_verdict(verdict)

    def _note_advertisement(
        self,
        connection: upstream.TargetConnection,
        order: forwarding.Order,
        now: float,
    ) -> None:
        """Apply what the response to `order` states about the target."""
        stated = connection.advertisement
        if stated is None:
            return
        self.adverts.response_read(
            connection.incarnation, stated, order.started, now
        )
        self._apply_limit(now)

    def _apply_limit(self, now: float) -> None:
        """Set the target's limit; peers are told when it begins or ends."""
        before = self.queue.limit_per_s
        self.queue.set_limit(self.adverts.limit.per_s, now)
        if (before is None) != (self.queue.limit_per_s is None):
            self.status_changed.fire(self.status())

    def _record_outcome(self, outcome: forwarding.Outcome, now: float) -> None:
        if isinstance(outcome, forwarding.Refused):
            # The target did not run it, so its failure rate is unaffected.
            return
        failed = not isinstance(
            outcome, forwarding.TargetAnswer
        ) or attempts.is_failure(outcome.status)
        self.failures.note(failed, now)
        if not failed or self.failures.value(now) < FAILING_SHARE:
            return
        if now - self.failing_reported_at >= FAILING_REPORT_INTERVAL_S:
            self.failing_reported_at = now
            self.status_changed.fire(self.status())

    def _connection_released(
        self, connection: upstream.TargetConnection, in_use: bool
    ) -> None:
        if connection.closed:
            self.idle.discard(connection)

    def _response_unidentified(self, is_first: bool) -> None:
        self.reuse.note_response_without_id(is_first, deadlines.now())

    def _connect_failed(self, order: forwarding.Order, error: OSError) -> None:
        if self.connecting.pop(order, None) is None:
            return
        self.expiries.clear(order)
        self.reachability.connect_failed(error)
        self._apply_verdict(self.queue.release(order, deadlines.now()))
        order.settle(
            forwarding.Refused(
                forwarding.Refusal.UNREACHABLE,
                reachability.MIN_RECONNECT_PAUSE_S,
            )
        )

    async def connect(self) -> upstream.TargetConnection:
        """Open a connection to the announced target.

        :raises OSError: the connection could not be opened.
        """
        current = self.instances.current
        assert current is not None
        return await upstream.connect(
            current,
            self.header_names,
            self._connection_released,
            self._response_unidentified,
            self.room,
        )

    def adopt_connection(self, connection: upstream.TargetConnection) -> None:
        """Add a connection opened as a reachability check to the idle pool."""
        connection.idle_since = deadlines.now()
        self.idle.add(connection)

    def target_down(self) -> None:
        """Refuse all queued orders, which can still run on other targets."""
        for order in self.queue.drain():
            self.expiries.clear(order)
            order.settle(forwarding.Refused(forwarding.Refusal.UNREACHABLE))
        self.status_changed.fire(self.status())

    def target_up(self) -> None:
        """Announce that the target accepts connections again."""
        current = self.instances.current
        instance = current.instance if current is not None else ''
        self.log.state('target', to='reachable', instance=instance)
        self.status_changed.fire(self.status())

    def _expired(self, order: forwarding.Order) -> None:
        if order.settled:
            return
        if order not in self.running and not self._is_starting(order):
            self.queue.withdraw(order)
            retry_after_s = self.queue.retry_after_s(order, deadlines.now())
            guardlog.log_declined(self.log, self.queue, order, retry_after_s)
            order.settle(
                forwarding.Refused(forwarding.Refusal.TOO_LATE, retry_after_s)
            )
            return
        started = order in self.running
        self._abort(order)
        if started:
            self.failures.note(True, deadlines.now())
            order.settle(forwarding.ResponseLost('no answer by the deadline'))
        else:
            order.settle(forwarding.Refused(forwarding.Refusal.TOO_LATE))

    def _abort(self, order: forwarding.Order) -> None:
        """Stop an order that has a slot, and free the slot."""
        task = self.connecting.pop(order, None)
        if task is not None or order in self.awaiting_body:
            if task is not None:
                task.cancel()
            self.awaiting_body.discard(order)
            self.expiries.clear(order)
            self._apply_verdict(self.queue.release(order, deadlines.now()))
            return
        connection = self.running.get(order)
        if connection is not None:
            connection.abort()
