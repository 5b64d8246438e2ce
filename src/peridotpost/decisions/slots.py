"""Which request runs on a target now, which waits, which is refused.

Load pattern: more requests come to a target than it has slots, of routes that
differ in urgency and length, and callers that were refused come back.

- The caller of this module is the only sender to its target, so slots are
  counted exactly and nothing queues inside the target.
- The order is by rank (0 first), then requests that still make their
  objective before late ones, then by arrival and the whole objective of the
  route.  Short calls so go before long requests of their rank, and callers
  that come back do not go before fresh ones.
- A request waits only if its answer is expected in time, by the work ahead
  of it and the slots that more urgent routes leave (``slotshare``); else it
  is refused, so that another target can be asked.  The last choice may wait
  as a late one, a few of each rank at a time.
- A slot that frees goes to a request whose mean run still ends in time.
- A request that can't make its deadline is refused when a slot frees, or as
  soon as too little time for a run is left: at the deadline itself its
  caller would have to be told that it may have run.
- The refused are told when a slot is expected, spread over time.
"""

import bisect
import dataclasses
import random

from peridotpost.decisions import runtimes
from peridotpost.decisions import slotshare
from peridotpost.model import forwarding

MARGIN = 1.5
"""Mean deviations of a route's runs, added where a refusal costs only another
try."""
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
MIN_RUN_SHARE = 0.5
"""Of the mean run; a run that has less time left before its deadline is not
started."""
LATE_SHARE = 0.25
"""Late ones of a rank that wait, per slot; one at least."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """What one event led to."""

    started: list[forwarding.Order]
    refused: list[forwarding.Order]


@dataclasses.dataclass(order=True, slots=True)
class QueueEntry:
    """A waiting order; the least one goes first.

    :param due: its arrival and the whole objective of its route.
    :param number: of its arrival.
    :param run_s: the expected time of its run.
    """

    rank: int
    late: bool
    due: float
    number: int
    order: forwarding.Order = dataclasses.field(compare=False)
    run_s: float = dataclasses.field(compare=False)


class SlotQueue:
    """Slots of one target and what waits for them.

    :param slots: requests that the target runs at once.
    """

    def __init__(self, slots: int, randomness: random.Random) -> None:
        self.slots = slots
        self.randomness = randomness
        self.running = 0
        self.running_work_s = 0.0
        self.waiting: list[QueueEntry] = []
        self.arrivals = 0
        self.times = runtimes.RunTimes()
        self.shares = slotshare.SlotShares()
        self.objective_by_route: dict[str, float] = {}

    @property
    def load(self) -> float:
        """What runs and waits, per slot."""
        return (self.running + len(self.waiting)) / max(1, self.slots)

    def expected_wait_s(
        self, order: forwarding.Order, now: float, late: bool = False
    ) -> float:
        """How long `order` waits if it comes now."""
        if self.running < self.slots:
            return 0.0
        turn = slotshare.precedence_of(order.rank, late, self._objective_s(order))
        slots = max(1, self.slots)
        next_s = self.running_work_s / max(1, self.running)
        work_s = next_s + self._work_ahead_s(order, late)
        left = 1 - self.shares.before(turn, slots, now)
        return work_s / slots / left

    def arrive(self, order: forwarding.Order, now: float) -> Verdict:
        """Decide on an order; it waits if the verdict does not name it."""
        order.received = now
        self._note_arrival(order, now)
        if self.running < self.slots:
            if now >= order.deadline:
                return Verdict([], [order])
            self._start(order, now, late=False)
            return Verdict([order], [])
        wait_s = self.expected_wait_s(order, now)
        run_s = self.times.expected_s(order.route)
        margin_s = MARGIN * self.times.deviation_s(order.route)
        if now + wait_s + run_s + margin_s <= order.objective:
            self._wait(order, late=False)
            return Verdict([], [])
        if order.last and self._accepts_late(order, now):
            self._wait(order, late=True)
            return Verdict([], [])
        return Verdict([], [order])

    def finish(self, order: forwarding.Order, now: float) -> Verdict:
        """Give the slot of `order` back; name those that follow."""
        self.times.add(order.route, now - order.started)
        return self.release(order, now)

    def release(self, order: forwarding.Order, now: float) -> Verdict:
        """Give back a slot whose run tells nothing about run times."""
        self.running -= 1
        self.running_work_s -= order.run_s
        if not self.running:
            # Sums of floats drift.
            self.running_work_s = 0.0
        return self.fill(now)

    def fill(self, now: float) -> Verdict:
        """Start what waits while there are slots."""
        verdict = Verdict([], [])
        while self.waiting and self.running < self.slots:
            first = self.waiting.pop(0)
            if not first.order.settled:
                self._dispatch(first, now, verdict)
        return verdict

    def hopeless_at(self, order: forwarding.Order) -> float:
        """When a waiting order can't make its deadline any more."""
        return order.deadline - self._min_run_s(order)

    def withdraw(self, order: forwarding.Order) -> None:
        """Take out a waiting order."""
        for index, one in enumerate(self.waiting):
            if one.order is order:
                del self.waiting[index]
                return

    def drain(self) -> list[forwarding.Order]:
        """Take out all that waits."""
        taken = [one.order for one in self.waiting]
        self.waiting = []
        return taken

    def return_s(self, order: forwarding.Order, now: float) -> float:
        """When a refused caller should come back, seconds from now."""
        wait_s = self.expected_wait_s(order, now)
        expected = wait_s + self.times.mean_s / 2
        spread = 1 + RETRY_AFTER_JITTER * self.randomness.random()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected * spread))

    def _dispatch(self, first: QueueEntry, now: float, verdict: Verdict) -> None:
        """Start who is first, or move it back, or refuse it."""
        order = first.order
        if now + self._min_run_s(order) > order.deadline:
            verdict.refused.append(order)
        elif first.late or self._ends_in_time(order, now):
            self._start(order, now, first.late)
            verdict.started.append(order)
        elif self._accepts_late(order, now):
            self._wait(order, late=True)
        else:
            verdict.refused.append(order)

    def _start(self, order: forwarding.Order, now: float, late: bool) -> None:
        order.started = now
        order.run_s = self.times.expected_s(order.route)
        self.running += 1
        self.running_work_s += order.run_s
        turn = slotshare.precedence_of(order.rank, late, self._objective_s(order))
        self.shares.started(turn, order.run_s, now)

    def _wait(self, order: forwarding.Order, late: bool) -> None:
        self.arrivals += 1
        entry = QueueEntry(
            order.rank,
            late,
            self._due(order),
            self.arrivals,
            order,
            self.times.expected_s(order.route),
        )
        bisect.insort(self.waiting, entry)

    def _accepts_late(self, order: forwarding.Order, now: float) -> bool:
        """Whether one more may wait that will be late anyhow.

        Those get the slots that nobody in time asks for; when there are
        none, a long line of them would wait for nothing.
        """
        late = sum(one.late and one.rank == order.rank for one in self.waiting)
        if late >= max(1, int(self.slots * LATE_SHARE)):
            return False
        wait_s = self.expected_wait_s(order, now, late=True)
        run_s = self.times.expected_s(order.route)
        return now + wait_s + run_s <= order.deadline

    def _work_ahead_s(self, order: forwarding.Order, late: bool) -> float:
        """Return the run times of all that waits and goes before."""
        place = (order.rank, late, self._due(order))
        total_s = 0.0
        for one in self.waiting:
            if (one.rank, one.late, one.due) > place:
                break
            total_s += one.run_s
        return total_s

    def _note_arrival(self, order: forwarding.Order, now: float) -> None:
        """Note an arrival; the largest objective of a route is its whole."""
        left_s = order.objective - now
        self.times.note_arrival(order.route, left_s)
        if left_s > self.objective_by_route.get(order.route, 0.0):
            self.objective_by_route[order.route] = left_s

    def _objective_s(self, order: forwarding.Order) -> float:
        left_s = order.objective - order.received
        return self.objective_by_route.get(order.route, left_s)

    def _due(self, order: forwarding.Order) -> float:
        return order.received + self._objective_s(order)

    def _ends_in_time(self, order: forwarding.Order, now: float) -> bool:
        return now + self.times.expected_s(order.route) <= order.objective

    def _min_run_s(self, order: forwarding.Order) -> float:
        return MIN_RUN_SHARE * self.times.expected_s(order.route)
