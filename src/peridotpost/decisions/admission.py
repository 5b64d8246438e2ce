"""Which request runs on a target now, which waits, which is refused.

Load pattern: a burst or a surge brings more requests than a target has
slots, each with its own deadline, short reads mixed with long jobs.
Without a bound the queue grows until every answer comes after its caller
has given up, and the target spends all its slots on answers that nobody
waits for.

- A request waits only if its turn can come before its deadline at the
  present service time; else it is refused at once.  One that waits and can
  no longer make it is refused the moment that this is known.
- By the estimate alone a target that was slow would get no call ever
  again; one at a time runs, whatever the estimate says.
- While a class's queue empties now and then, it is served in order.
  When it has not emptied for ``OVERLOAD_AFTER_S`` (and two service times),
  the newest is served first and at most one request waits for each slot: the
  oldest of the heaviest flow gives way at once.  In order, all would wait
  their whole deadline, and any error in the estimate makes all late;
  newest first, those that are served are served fresh.
- Long jobs leave a quarter of the slots to short ones, as long as short
  ones came within ``CLASS_MEMORY_S``; and a class that runs on less than
  a quarter of the slots is served before the other.
- A refused caller is told to come back when those refused before it have
  been served at the present drain rate, with a spread of half: all would
  otherwise return in the same instant, as the burst that they were.

Grounds for the figures: 100 ms is the usual bound between a burst and a
standing queue (CoDel's interval); a quarter keeps at least one of four
slots for each class without giving up much; the service time is a moving
average with TCP's weight of 1/8: eight answers move it most of the way.
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
"""An estimate that fits to the millisecond is wrong half of the time."""
SHORT_ACTIVITY_WINDOW_S = 60.0
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 30_000

SHORT = config.WorkClass.SHORT
LONG = config.WorkClass.LONG


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What an event at the gate led to."""

    started: tuple[fairness.Ticket, ...] = ()
    refused: tuple[fairness.Ticket, ...] = ()


@dataclasses.dataclass(slots=True)
class ClassState:
    """One work class: what runs, what waits, how long a run takes."""

    service_s: float = INITIAL_SERVICE_S
    running: int = 0
    last_seen: float = -math.inf
    busy_since: float | None = None
    queue: fairness.FairQueue = dataclasses.field(
        default_factory=fairness.FairQueue
    )


class Gate:
    """Slots and queue of one target.

    :param slots: requests that the target runs at once.
    :param queue: requests of one class that may wait for a slot.
    :param randomness: spreads the times at which the refused come back.
    """

    def __init__(
        self, slots: int, queue: int, randomness: random.Random
    ) -> None:
        self.slots = slots
        self.queue = queue
        self.randomness = randomness
        self.classes = {one: ClassState() for one in config.WorkClass}
        self.states = tuple(self.classes.values())
        self.shares = fairness.FairShares()
        self.owed = 0.0
        self.owed_at = 0.0

    @property
    def running(self) -> int:
        short, long = self.states
        return short.running + long.running

    @property
    def waiting(self) -> int:
        short, long = self.states
        return short.queue.size + long.queue.size

    def load(self) -> float:
        """Return what runs and waits, as a share of the slots."""
        return (self.running + self.waiting) / max(1, self.slots)

    def arrive(self, ticket: fairness.Ticket, now: float) -> Step:
        """Decide on a request; it waits if the step does not name it."""
        state = self.classes[ticket.work_class]
        state.last_seen = now
        refused = self._remove_expired(now)
        if not self._may_run(state, ticket, now):
            return Step((), (*refused, ticket))
        if not state.queue.size and self._may_start(ticket.work_class, now):
            self._start(ticket, now, self.waiting > 0)
            return Step((ticket,), refused)
        overloaded = self.overloaded(ticket.work_class, now)
        if not self._can_wait(ticket, overloaded, now):
            return Step((), (*refused, ticket))
        if state.busy_since is None:
            state.busy_since = now
        state.queue.push(ticket)
        refused += self._trim(state, overloaded)
        return Step(self._start_waiting(now), refused)

    def finish(self, ticket: fairness.Ticket, now: float) -> Step:
        """Give a slot back and decide who gets it."""
        state = self.classes[ticket.work_class]
        state.running -= 1
        self.shares.finish(ticket)
        held_s = now - ticket.started
        state.service_s += SERVICE_TIME_WEIGHT * (held_s - state.service_s)
        refused = self._remove_expired(now)
        return Step(self._start_waiting(now), refused)

    def withdraw(self, ticket: fairness.Ticket) -> None:
        """Forget a waiting request whose caller has gone."""
        self.classes[ticket.work_class].queue.remove(ticket)
        self._reset_if_empty()

    def overloaded(self, work_class: config.WorkClass, now: float) -> bool:
        """Whether the queue stands instead of passing a burst on."""
        state = self.classes[work_class]
        if state.busy_since is None:
            return False
        bound = max(OVERLOAD_AFTER_S, OVERLOAD_SERVICE_TIMES * state.service_s)
        return now - state.busy_since > bound

    def retry_after_ms(self, now: float) -> int:
        """Return when a caller refused now finds a slot; counts it in."""
        rate = max(1, self.slots) / self._mean_service_s()
        passed = now - self.owed_at
        self.owed = max(0.0, self.owed - passed * rate) + 1
        self.owed_at = now
        seconds = (self.waiting + self.owed) / rate
        seconds *= 1 + RETRY_AFTER_JITTER * self.randomness.random()
        ms = max(MIN_RETRY_AFTER_MS, round(seconds * 1000))
        return min(MAX_RETRY_AFTER_MS, ms)

    def _mean_service_s(self) -> float:
        """Return the mean time that a slot is held, over the classes."""
        weights = [
            (max(one.running + one.queue.size, 0), one.service_s)
            for one in self.classes.values()
        ]
        total = sum(count for count, _ in weights)
        if not total:
            return self.classes[SHORT].service_s
        return sum(count * time for count, time in weights) / total

    def _may_run(
        self, state: ClassState, ticket: fairness.Ticket, now: float
    ) -> bool:
        if now + state.service_s <= ticket.deadline:
            return True
        # By the estimate it will be late; yet one at a time is run, since
        # the estimate of a target that was slow would else never change.
        return not state.running and now < ticket.deadline

    def _can_wait(
        self, ticket: fairness.Ticket, overloaded: bool, now: float
    ) -> bool:
        state = self.classes[ticket.work_class]
        ahead = 0
        if not overloaded:
            # Callers take turns, so one with little waiting is not
            # behind all that another one has sent.
            own = state.queue.waiting_count(ticket.caller)
            callers = len(state.queue.by_caller) + (own == 0)
            ahead = min(state.queue.size, own * callers + callers - 1)
        wait_s = (ahead + 1) * self._mean_service_s() / max(1, self.slots)
        return now + WAIT_SAFETY_FACTOR * wait_s + state.service_s <= ticket.deadline

    def _remove_expired(self, now: float) -> tuple[fairness.Ticket, ...]:
        """Take out those whose run could not end in time any more."""
        if not self.waiting:
            return ()
        found = [
            one
            for state in self.states
            for one in state.queue.tickets()
            if now + state.service_s > one.deadline
        ]
        self._drop(found)
        return tuple(found)

    def _trim(
        self, state: ClassState, overloaded: bool
    ) -> tuple[fairness.Ticket, ...]:
        """Have the heaviest flow give way until the queue fits."""
        bound = self.queue
        if overloaded:
            bound = min(bound, self.slots * OVERLOAD_QUEUE_PER_SLOT)
        dropped: list[fairness.Ticket] = []
        while state.queue.size > bound:
            victim = state.queue.drop_candidate(oldest=overloaded)
            assert victim is not None
            self._drop([victim])
            dropped.append(victim)
        return tuple(dropped)

    def _drop(self, tickets: Iterable[fairness.Ticket]) -> None:
        for ticket in tickets:
            self.classes[ticket.work_class].queue.remove(ticket)
        self._reset_if_empty()

    def _reset_if_empty(self) -> None:
        for state in self.states:
            if not state.queue.size:
                state.busy_since = None
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
            one
            for one, state in self.classes.items()
            if state.queue.size and self._may_start(one, now)
        ]
        if not ready:
            return None
        reserved = self._reserved_slots()
        # Short first among equals: it gives its slot back sooner.
        return min(
            ready,
            key=lambda one: (
                self.classes[one].running >= reserved,
                one is LONG,
            ),
        )

    def _may_start(self, work_class: config.WorkClass, now: float) -> bool:
        if self.running >= self.slots:
            return False
        if work_class is SHORT:
            return True
        short_seen = now - self.classes[SHORT].last_seen < SHORT_ACTIVITY_WINDOW_S
        bound = self.slots - (self._reserved_slots() if short_seen else 0)
        return self.classes[LONG].running < max(1, bound)

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
