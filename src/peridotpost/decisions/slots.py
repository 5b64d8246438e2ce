"""Queue of one target: start, queue or refuse each request.

Load pattern: a target receives more requests than it has slots.  Its routes
differ in priority and run time, and refused callers retry.

- The owner of a queue is the only sender to its target, so occupied slots are
  counted exactly and nothing queues inside the target.
- Requests are ordered by rank (0 first), then by their customer's share of the
  slots (``fairshare``), then those that can still meet their objective before
  late ones, then by arrival time plus the full objective of the route.  Short
  calls therefore run before long requests of the same rank, and retries do
  not overtake new requests.
- A request is queued only if its answer is expected within the objective,
  given the work ahead of it and the share of slots that more urgent routes
  leave (``slotshare``).  Otherwise it is refused, so that another target can
  be tried.  A request with no other target left may be queued as late; few of
  these are held for each rank.
- A freed slot goes to a request whose mean run still ends in time.
- A request that can't meet its deadline is refused when a slot frees, or as
  soon as the time left is too short for a run.  At the deadline itself the
  caller would have to be told that the request may have run.
- A queued request that later ones displaced is refused (``queueentries``).
- Of a rank that gets too few slots, some go first (``servedshare``).
- Refused callers are told when a slot is expected, with jitter.
- A target that names a rate limit (``ratelimit``) has fewer usable slots, and
  a free slot is taken only when the limit allows it.
"""

import bisect
import dataclasses
import math
import random

from peridotpost.decisions import fairshare
from peridotpost.decisions import queueentries
from peridotpost.decisions import ratelimit
from peridotpost.decisions import returntimes
from peridotpost.decisions import runtimes
from peridotpost.decisions import servedshare
from peridotpost.decisions import slotshare
from peridotpost.model import forwarding

MARGIN = 1.5
"""Mean deviations of run time added to an estimate before queueing; a
refusal at this point only costs another try."""
RETRY_AFTER_JITTER = 0.5
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
MIN_RUN_SHARE = 0.5
"""Share of the mean run time; a request with less time than this left before
its deadline is not started."""
LATE_SHARE = 0.25
"""Late requests queued for each rank, per slot; at least one."""


@dataclasses.dataclass(slots=True)
class Decision:
    """Requests that one event started or refused."""

    started: list[forwarding.Order]
    refused: list[forwarding.Order]


class SlotQueue:
    """Slots of one target and the requests queued for them.

    :param slots: requests that the target runs concurrently.
    """

    def __init__(self, slots: int, randomness: random.Random) -> None:
        self.slots = slots
        self.randomness = randomness
        self.running = 0
        self.running_work_s = 0.0
        self.waiting: list[queueentries.QueueEntry] = []
        self.last_number = 0
        self.times = runtimes.RunTimes()
        self.shares = slotshare.SlotShares()
        self.customers = fairshare.CustomerShares()
        self.served = servedshare.ServedShares()
        self.returns = returntimes.ReturnTimes()
        self.objective_by_route: dict[str, float] = {}
        self.limit = ratelimit.RateLimit()

    @property
    def limit_per_s(self) -> float | None:
        """Requests per second that the target accepts; None: no limit."""
        return self.limit.per_s

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Set the rate limit of the target; None if it has no limit.

        Queued requests that may now start are returned by the next `fill`.
        """
        self.limit.set(limit_per_s, now)

    @property
    def usable_slots(self) -> float:
        """Slots that are occupied at most, on average; at least one."""
        if self.limit_per_s is None:
            return max(1, self.slots)
        by_limit = self.limit.rate_per_s * self.times.mean_s
        return max(1.0, min(self.slots, by_limit))

    def load(self, now: float) -> float:
        """Return running and queued requests per usable slot.

        A target that may get no request now is full, whatever it runs.
        """
        load = (self.running + len(self.waiting)) / self.usable_slots
        return load if self.limit.admits(now) else max(1.0, load)

    @property
    def _next_free_s(self) -> float:
        return self.running_work_s / max(1, self.running)

    def next_start_at(self, now: float) -> float | None:
        """Return when a queued request may start without a run ending.

        :return: None if nothing is queued or if only a slot is missing.
        """
        if not self.waiting or self.running >= self.slots:
            return None
        return now + self.limit.wait_s(0, now)

    def expected_wait_s(
        self, order: forwarding.Order, now: float, late: bool = False
    ) -> float:
        """Return how long `order` would wait if it arrived now."""
        if self._may_start(now) and not self.waiting:
            return 0.0
        rank = self._effective_rank(order, now, late)
        precedence = self._precedence(order, rank, late)
        ahead = queueentries.work_ahead(
            self.waiting, rank, late, self._due(order)
        )
        wait_s = self.limit.wait_s(ahead.requests, now)
        if self.running >= self.slots:
            work_s = self._next_free_s + ahead.work_s
            wait_s = max(wait_s, work_s / max(1, self.slots))
        available_share = 1 - self.shares.share_ahead_of(
            precedence, self.usable_slots, now
        )
        return wait_s / available_share

    def submit(self, order: forwarding.Order, now: float) -> Decision:
        """Start, queue or refuse an order.

        An order that the result names neither started nor refused is queued.
        The result also names queued orders that may start since the last
        event.
        """
        order.received = now
        self._note_arrival(order, now)
        decision = self.fill(now)
        if order.customer:
            self._update_ranks(now)
        if self._may_start(now):
            if now >= order.deadline:
                self._refuse(order, now, decision)
            else:
                self._start(order, now, order.rank, late=False)
                decision.started.append(order)
            return decision
        wait_s = self.expected_wait_s(order, now)
        run_s = self.times.expected_s(order.route)
        margin_s = MARGIN * self.times.deviation_s(order.route)
        if now + wait_s + run_s + margin_s <= order.objective:
            self._wait(order, now, late=False)
            self._refuse_displaced(now, decision)
        elif order.last and self._accepts_late(order, now):
            self._wait(order, now, late=True)
        else:
            self._refuse(order, now, decision)
        return decision

    def finish(self, order: forwarding.Order, now: float) -> Decision:
        """Free the slot of `order`; return what was started or refused."""
        self.times.add(order.route, now - order.started)
        return self.release(order, now)

    def release(self, order: forwarding.Order, now: float) -> Decision:
        """Free a slot without recording the run time."""
        self.running -= 1
        self.running_work_s -= order.run_s
        if not self.running:
            # Discards the rounding error of repeated additions.
            self.running_work_s = 0.0
        return self.fill(now)

    def fill(self, now: float) -> Decision:
        """Start queued requests while slots are free and the limit allows."""
        decision = Decision([], [])
        while self.waiting and self._may_start(now):
            entry = self.waiting.pop(0)
            if not entry.order.settled:
                self._dispatch(entry, now, decision)
        return decision

    def latest_start(self, order: forwarding.Order) -> float:
        """Return the time after which a queued order misses its deadline."""
        return order.deadline - self._min_run_s(order)

    def withdraw(self, order: forwarding.Order) -> None:
        """Remove a queued order."""
        for index, entry in enumerate(self.waiting):
            if entry.order is order:
                del self.waiting[index]
                return

    def drain(self) -> list[forwarding.Order]:
        """Empty the queue and return its orders."""
        orders = [entry.order for entry in self.waiting]
        self.waiting = []
        return orders

    def retry_after_s(self, order: forwarding.Order, now: float) -> float:
        """Return the seconds after which a refused caller should retry."""
        wait_s = self.expected_wait_s(order, now)
        expected_s = wait_s + self.times.mean_s / 2
        if order.customer:
            run_s = self.times.mean_s / self.usable_slots
            expected_s = self.returns.next_s(expected_s, run_s, now)
        jitter = 1 + RETRY_AFTER_JITTER * self.randomness.random()
        return min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s * jitter)
        )

    def _dispatch(
        self, entry: queueentries.QueueEntry, now: float, decision: Decision
    ) -> None:
        """Start the head of the queue, requeue it as late, or refuse it."""
        order = entry.order
        if now + self._min_run_s(order) > order.deadline:
            self._refuse(order, now, decision)
        elif entry.late or self._ends_in_time(order, now):
            self._start(order, now, entry.rank, entry.late)
            decision.started.append(order)
        elif self._accepts_late(order, now):
            self._wait(order, now, late=True)
        else:
            self._refuse(order, now, decision)

    def _refuse_displaced(self, now: float, decision: Decision) -> None:
        for entry in queueentries.displaced(
            self.waiting, self._next_free_s, self.slots, now
        ):
            self.waiting.remove(entry)
            self._refuse(entry.order, now, decision)

    def _refuse(
        self, order: forwarding.Order, now: float, decision: Decision
    ) -> None:
        if order.customer and order.last:
            self.served.refused(order.rank, now)
        decision.refused.append(order)

    def _may_start(self, now: float) -> bool:
        return self.running < self.slots and self.limit.admits(now)

    def _start(
        self, order: forwarding.Order, now: float, rank: float, late: bool
    ) -> None:
        self.limit.take(now)
        order.started = now
        order.run_s = self.times.expected_s(order.route)
        self.running += 1
        self.running_work_s += order.run_s
        precedence = self._precedence(order, rank, late)
        self.shares.started(precedence, order.run_s, now)
        self.customers.started(order.rank, order.customer, order.run_s, now)
        if order.customer:
            self.served.started(order.rank, now)

    def _precedence(
        self, order: forwarding.Order, rank: float, late: bool
    ) -> slotshare.Precedence:
        """Return the precedence for shares of the slots.

        Steps of use are left out: a customer's own work at smaller steps is
        not ahead of its next requests.
        """
        rank = min(rank, order.rank + fairshare.OVER_SHARE)
        return slotshare.precedence_of(rank, late, self._objective_s(order))

    def _effective_rank(
        self, order: forwarding.Order, now: float, late: bool
    ) -> float:
        """Return the rank by which an order is queued that arrives now."""
        if not order.customer:
            return order.rank
        if late and fairshare.FAIR_SHARES:
            return order.rank + fairshare.LATE
        queued_s = sum(
            entry.run_s
            for entry in self.waiting
            if entry.order.customer == order.customer
            and entry.order is not order
            and entry.order.rank == order.rank
            and not entry.late
        )
        rank = order.rank
        if self.served.is_starved(rank, now):
            rank = min(rank, servedshare.BEFORE_ALL)
        return rank + self.customers.offset(
            order.rank, order.customer, queued_s, self.usable_slots, now
        )

    def _update_ranks(self, now: float) -> None:
        """Reorder the queue by the customers' current shares.

        Requests that a customer had queued before its demand rose would
        otherwise stay ahead of those of others.
        """
        queued_s: dict[tuple[int, str], float] = {}
        for entry in self.waiting:
            order = entry.order
            if entry.late:
                continue
            own_s = queued_s.get((order.rank, order.customer), 0.0)
            offset = self.customers.offset(
                order.rank, order.customer, own_s, self.usable_slots, now
            )
            entry.rank = math.floor(entry.rank) + offset
            queued_s[order.rank, order.customer] = own_s + entry.run_s
        self.waiting.sort()

    def _wait(self, order: forwarding.Order, now: float, late: bool) -> None:
        self.last_number += 1
        entry = queueentries.QueueEntry(
            self._effective_rank(order, now, late),
            late,
            self._due(order),
            self.last_number,
            order,
            self.times.expected_s(order.route),
        )
        bisect.insort(self.waiting, entry)

    def _accepts_late(self, order: forwarding.Order, now: float) -> bool:
        """Whether one more request may be queued that misses its objective.

        Late requests only get slots that no request in time needs.  Under
        sustained load there are none, and a long queue of late requests would
        wait without ever getting a slot.
        """
        rank = self._effective_rank(order, now, late=True)
        queued = sum(
            entry.late and entry.rank == rank for entry in self.waiting
        )
        if queued >= max(1, int(self.usable_slots * LATE_SHARE)):
            return False
        wait_s = self.expected_wait_s(order, now, late=True)
        run_s = self.times.expected_s(order.route)
        return now + wait_s + run_s <= order.deadline

    def _note_arrival(self, order: forwarding.Order, now: float) -> None:
        """Record an arrival and the objective of its route.

        A retry has only part of its objective left, so the largest value seen
        is taken as the route's full objective.
        """
        left_s = order.objective - now
        self.times.note_arrival(order.route, left_s)
        run_s = self.times.expected_s(order.route)
        self.customers.asked(order.rank, order.customer, run_s, now)
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
