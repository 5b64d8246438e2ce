"""Admission control for one target: start, queue or refuse each request.

Load pattern: a burst or a surge brings more requests than a target has slots,
each with its own deadline, short reads mixed with long jobs.  Without a limit
the queue grows until every answer comes after its caller has given up, and the
target spends all its slots on answers that nobody waits for.

- A request is queued only if it can be served before its deadline at the
  current service time; otherwise it is refused at once.  A queued request
  that can no longer meet its deadline is refused as soon as this is known.
- By the estimate alone, a target that was slow would never get another call.
  One request at a time therefore runs regardless of the estimate.
- While the queue of a class empties now and then, it is served in order.  If
  it has not emptied for ``OVERLOAD_AFTER_S`` (and two service times), the
  newest request is served first and at most one request is queued per slot:
  the oldest request of the heaviest flow is dropped at once.  In order, all
  requests would wait for their whole deadline, and any error in the estimate
  would make all of them late.  Newest first, those that are served have waited
  little.
- Long jobs leave a quarter of the slots to short requests if one arrived
  within ``SHORT_ACTIVITY_WINDOW_S``.  A class that uses less than a quarter of
  the slots is served before the other.
- A refused caller is told to retry when those refused before it have been
  served at the current drain rate, with a jitter of half that time.  Otherwise
  all would return at the same instant, as the burst that they were.

Grounds for the figures: 100 ms is the usual bound between a burst and a
standing queue (CoDel's interval).  A quarter keeps at least one of four slots
for each class without giving up much.  The service time is a moving average
with TCP's weight of 1/8, which eight answers move most of the way.
"""

from collections.abc import Iterable
import dataclasses
import math
import random

from peridotpost.decisions import fairness
from peridotpost.model import config

SERVICE_TIME_WEIGHT = 1 / 8
INITIAL_SERVICE_S = 0.02
OVERLOAD_AFTER_S = 0.1
OVERLOAD_SERVICE_TIMES = 2
OVERLOAD_QUEUE_PER_SLOT = 1
RESERVED_SHARE = 0.25
WAIT_SAFETY_FACTOR = 1.1
"""Without a margin, half of the requests that just fit would be late."""
SHORT_ACTIVITY_WINDOW_S = 60.0
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000

SHORT = config.WorkClass.SHORT
LONG = config.WorkClass.LONG


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Requests that one event started or refused."""

    started: tuple[fairness.Ticket, ...] = ()
    refused: tuple[fairness.Ticket, ...] = ()


@dataclasses.dataclass(slots=True)
class ClassState:
    """Running and queued requests of one work class.

    :param service_s: moving average of the time that a request holds a slot.
    :param last_arrival_at: time of the latest arrival of the class.
    :param queued_since: time since which the queue has not been empty.
    """

    service_s: float = INITIAL_SERVICE_S
    running: int = 0
    last_arrival_at: float = -math.inf
    queued_since: float | None = None
    queue: fairness.FairQueue = dataclasses.field(
        default_factory=fairness.FairQueue
    )


class Gate:
    """Admission control with the slots and queues of one target.

    :param slots: requests that the target runs concurrently.
    :param max_queue: maximum queue length of each work class.
    :param randomness: source of jitter for the retries of refused callers.
    """

    def __init__(
        self, slots: int, max_queue: int, randomness: random.Random
    ) -> None:
        self.slots = slots
        self.max_queue = max_queue
        self.randomness = randomness
        self.classes = {
            work_class: ClassState() for work_class in config.WorkClass
        }
        self.states = tuple(self.classes.values())
        self.shares = fairness.FairShares()
        # Refused callers that are expected to retry, as of
        # `expected_retries_at`.
        self.expected_retries = 0.0
        self.expected_retries_at = 0.0

    @property
    def running(self) -> int:
        short, long = self.states
        return short.running + long.running

    @property
    def waiting(self) -> int:
        short, long = self.states
        return short.queue.size + long.queue.size

    def load(self) -> float:
        """Return the number of running and queued requests per slot."""
        return (self.running + self.waiting) / max(1, self.slots)

    def submit(self, ticket: fairness.Ticket, now: float) -> Decision:
        """Start, queue or refuse a request.

        A request that the result names neither started nor refused is queued.
        """
        state = self.classes[ticket.work_class]
        state.last_arrival_at = now
        refused = self._remove_expired(now)
        if not self._may_run(state, ticket, now):
            return Decision((), (*refused, ticket))
        if not state.queue.size and self._may_start(ticket.work_class, now):
            self._start(ticket, now, self.waiting > 0)
            return Decision((ticket,), refused)
        overloaded = self.overloaded(ticket.work_class, now)
        if not self._can_wait(ticket, overloaded, now):
            return Decision((), (*refused, ticket))
        if state.queued_since is None:
            state.queued_since = now
        state.queue.push(ticket)
        refused += self._trim(state, overloaded)
        return Decision(self._start_waiting(now), refused)

    def finish(self, ticket: fairness.Ticket, now: float) -> Decision:
        """Free the slot of a request and assign it to queued ones."""
        state = self.classes[ticket.work_class]
        state.running -= 1
        self.shares.finish(ticket)
        held_s = now - ticket.started
        state.service_s += SERVICE_TIME_WEIGHT * (held_s - state.service_s)
        refused = self._remove_expired(now)
        return Decision(self._start_waiting(now), refused)

    def withdraw(self, ticket: fairness.Ticket) -> None:
        """Remove a queued request whose caller is gone."""
        self.classes[ticket.work_class].queue.remove(ticket)
        self._reset_if_empty()

    def overloaded(self, work_class: config.WorkClass, now: float) -> bool:
        """Whether the class has a standing queue, as opposed to a burst."""
        state = self.classes[work_class]
        if state.queued_since is None:
            return False
        threshold_s = max(
            OVERLOAD_AFTER_S, OVERLOAD_SERVICE_TIMES * state.service_s
        )
        return now - state.queued_since > threshold_s

    def retry_after_ms(self, now: float) -> int:
        """Return the time until a caller refused now is likely to get a slot.

        The caller counts as one that will retry.
        """
        rate_per_s = max(1, self.slots) / self._mean_service_s()
        elapsed_s = now - self.expected_retries_at
        self.expected_retries = (
            max(0.0, self.expected_retries - elapsed_s * rate_per_s) + 1
        )
        self.expected_retries_at = now
        seconds = (self.waiting + self.expected_retries) / rate_per_s
        seconds *= 1 + RETRY_AFTER_JITTER * self.randomness.random()
        ms = max(MIN_RETRY_AFTER_MS, round(seconds * 1000))
        return min(MAX_RETRY_AFTER_MS, ms)

    def _mean_service_s(self) -> float:
        """Return the mean service time, weighted by each class's requests."""
        weights = [
            (max(state.running + state.queue.size, 0), state.service_s)
            for state in self.classes.values()
        ]
        total = sum(count for count, _ in weights)
        if not total:
            return self.classes[SHORT].service_s
        return sum(count * time_s for count, time_s in weights) / total

    def _may_run(
        self, state: ClassState, ticket: fairness.Ticket, now: float
    ) -> bool:
        if now + state.service_s <= ticket.deadline:
            return True
        # The estimate says that the answer will be late.  One request at a
        # time runs nevertheless: the estimate of a target that was slow would
        # never change otherwise.
        return not state.running and now < ticket.deadline

    def _can_wait(
        self, ticket: fairness.Ticket, overloaded: bool, now: float
    ) -> bool:
        state = self.classes[ticket.work_class]
        ahead = 0
        if not overloaded:
            # Callers are served in turn, so the request of a caller with few
            # queued ones is not behind all requests of another caller.
            own_count = state.queue.waiting_count(ticket.caller)
            callers = len(state.queue.by_caller) + (own_count == 0)
            ahead = min(state.queue.size, own_count * callers + callers - 1)
        wait_s = (ahead + 1) * self._mean_service_s() / max(1, self.slots)
        return (
            now + WAIT_SAFETY_FACTOR * wait_s + state.service_s
            <= ticket.deadline
        )

    def _remove_expired(self, now: float) -> tuple[fairness.Ticket, ...]:
        """Remove the queued requests that can't meet their deadline."""
        if not self.waiting:
            return ()
        expired = [
            ticket
            for state in self.states
            for ticket in state.queue.tickets()
            if now + state.service_s > ticket.deadline
        ]
        self._drop(expired)
        return tuple(expired)

    def _trim(
        self, state: ClassState, overloaded: bool
    ) -> tuple[fairness.Ticket, ...]:
        """Drop requests of the heaviest flow until the queue fits."""
        max_size = self.max_queue
        if overloaded:
            max_size = min(max_size, self.slots * OVERLOAD_QUEUE_PER_SLOT)
        dropped: list[fairness.Ticket] = []
        while state.queue.size > max_size:
            ticket = state.queue.drop_candidate(oldest=overloaded)
            assert ticket is not None
            self._drop([ticket])
            dropped.append(ticket)
        return tuple(dropped)

    def _drop(self, tickets: Iterable[fairness.Ticket]) -> None:
        for ticket in tickets:
            self.classes[ticket.work_class].queue.remove(ticket)
        self._reset_if_empty()

    def _reset_if_empty(self) -> None:
        for state in self.states:
            if not state.queue.size:
                state.queued_since = None
        if not self.waiting:
            self.shares.reset()

    def _start_waiting(self, now: float) -> tuple[fairness.Ticket, ...]:
        if not self.waiting:
            return ()
        started: list[fairness.Ticket] = []
        while (work_class := self._next_class(now)) is not None:
            queue = self.classes[work_class].queue
            newest_first = self.overloaded(work_class, now)
            ticket = queue.pop(self.shares, self.slots, newest_first)
            assert ticket is not None
            self._start(ticket, now, True)
            started.append(ticket)
        self._reset_if_empty()
        return tuple(started)

    def _next_class(self, now: float) -> config.WorkClass | None:
        ready = [
            work_class
            for work_class, state in self.classes.items()
            if state.queue.size and self._may_start(work_class, now)
        ]
        if not ready:
            return None
        reserved = self._reserved_slots()
        # On a tie the short class is first: it frees its slot sooner.
        return min(
            ready,
            key=lambda work_class: (
                self.classes[work_class].running >= reserved,
                work_class is LONG,
            ),
        )

    def _may_start(self, work_class: config.WorkClass, now: float) -> bool:
        if self.running >= self.slots:
            return False
        if work_class is SHORT:
            return True
        short_active = (
            now - self.classes[SHORT].last_arrival_at < SHORT_ACTIVITY_WINDOW_S
        )
        limit = self.slots - (self._reserved_slots() if short_active else 0)
        return self.classes[LONG].running < max(1, limit)

    def _reserved_slots(self) -> int:
        if self.slots < 2:
            return 0
        return max(1, int(self.slots * RESERVED_SHARE))

    def _start(
        self, ticket: fairness.Ticket, now: float, contended: bool
    ) -> None:
        ticket.started = now
        self.classes[ticket.work_class].running += 1
        self.shares.start(ticket, contended)
