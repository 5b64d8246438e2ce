"""Which request runs on a target now, which waits, which is refused.

Load pattern: at twice the usual traffic more requests come to a target
than it has slots, of several routes that differ in urgency and in length,
while half of the other targets ail.  Sent on as they come, they fill the
target's own queue, where every one waits as long, urgent or not, and ends
late.

- The caller of this module is the only sender to its target, so slots are
  counted exactly and nothing waits inside the target.
- What waits is served by the rank that operators gave its route (0
  first).  Within a rank those that still make their objective go first, in
  order of arrival, and those that will be late after them: in one line,
  a queue as long as the objective makes everybody late for ever, at full
  load and with no slot idle.
- A request waits only if its turn comes in time.  A first choice is
  refused once the answer would miss the objective, so that another target
  is asked while that still helps; the last choice is refused only when it
  can't make its deadline.
- Of those that will be late only a few wait at a time.
- One that can't make its deadline any more is refused the moment a slot
  frees; where none does, as soon as what is left is too short for a run.
  At the deadline itself its caller would be told that it may have run.
- The refused are told when a slot is expected, spread over half of that
  time: all would otherwise come back as the burst that they were.

Grounds for the figures: the time of a run is a moving average by route
with TCP's weight of 1/8; until a route has run here, ``FIRST_RUN_S`` is a
usual time of the services known.  Runs of one target vary by a factor of
two, so the mean is no bound: ``SLACK`` of it is added where a refusal
costs only another try, none where it ends the request.
"""

import dataclasses
import heapq
import random

from peridotpost.model import forwarding

RUN_WEIGHT = 1 / 8
FIRST_RUN_S = 0.06
SLACK = 1.2
RETURN_SPREAD = 0.5
MIN_RETURN_S = 0.05
MAX_RETURN_S = 5.0
LEAST_RUN_SHARE = 0.5
"""One in five runs takes less than half of the mean; below that a start
is as good as lost."""
LATE_SHARE = 0.25
"""Late ones that wait, per slot: what some tens of milliseconds of idle
slots serve."""

Turn = tuple[int, bool]
"""Rank, and whether the objective will be missed: who goes first."""
Waiting = tuple[int, bool, int, forwarding.Order]
"""A turn, the number of the arrival, and what waits."""


@dataclasses.dataclass(slots=True)
class Verdict:
    """What one event led to."""

    started: list[forwarding.Order]
    refused: list[forwarding.Order]


class SlotQueue:
    """Slots of one target and what waits for them.

    :param slots: requests that the target runs at once.
    """

    def __init__(self, slots: int, randomness: random.Random) -> None:
        self.slots = slots
        self.randomness = randomness
        self.running = 0
        self.waiting: list[Waiting] = []
        self.arrivals = 0
        self.waiting_by_turn: dict[Turn, int] = {}
        self.run_s: dict[str, float] = {}
        self.mean_s = FIRST_RUN_S

    @property
    def load(self) -> float:
        """What runs and waits, per slot."""
        return (self.running + len(self.waiting)) / max(1, self.slots)

    def expected_run_s(self, route: str) -> float:
        return self.run_s.get(route, self.mean_s)

    def expected_wait_s(self, rank: int, late: bool = False) -> float:
        """How long a request of `rank` waits if it comes now."""
        free = self.slots - self.running
        turn = (rank, late)
        ahead = sum(
            count
            for other, count in self.waiting_by_turn.items()
            if other <= turn
        )
        if ahead < free:
            return 0.0
        return (ahead - free + 1) * self.mean_s / max(1, self.slots)

    def arrive(self, order: forwarding.Order, now: float) -> Verdict:
        """Decide on an order; it waits if the verdict does not name it."""
        run_s = self.expected_run_s(order.route)
        wait_s = self.expected_wait_s(order.rank)
        if wait_s <= 0.0:
            if now >= order.deadline:
                return Verdict([], [order])
            self._start(order, now)
            return Verdict([order], [])
        if now + wait_s + SLACK * run_s <= order.objective:
            self._wait(order, late=False)
            return Verdict([], [])
        if order.last and self._takes_late():
            wait_s = self.expected_wait_s(order.rank, late=True)
            if now + wait_s + run_s <= order.deadline:
                self._wait(order, late=True)
                return Verdict([], [])
        return Verdict([], [order])

    def finish(self, order: forwarding.Order, now: float) -> Verdict:
        """Give the slot of `order` back; name those that follow."""
        self.running -= 1
        held_s = now - order.started
        before = self.run_s.get(order.route, held_s)
        self.run_s[order.route] = before + RUN_WEIGHT * (held_s - before)
        self.mean_s += RUN_WEIGHT * (held_s - self.mean_s)
        return self.fill(now)

    def release(self, now: float) -> Verdict:
        """Give back a slot whose run tells nothing about run times."""
        self.running -= 1
        return self.fill(now)

    def fill(self, now: float) -> Verdict:
        """Start what waits while there are slots."""
        verdict = Verdict([], [])
        while self.waiting and self.running < self.slots:
            rank, late, _, order = heapq.heappop(self.waiting)
            self._count((rank, late), -1)
            if order.settled:
                continue
            least_s = LEAST_RUN_SHARE * self.expected_run_s(order.route)
            if now + least_s > order.deadline:
                verdict.refused.append(order)
            elif not late and now + least_s > order.objective:
                self._wait(order, late=True)
            else:
                self._start(order, now)
                verdict.started.append(order)
        return verdict

    def hopeless_at(self, order: forwarding.Order) -> float:
        """When a waiting order can't make its deadline any more."""
        least_s = LEAST_RUN_SHARE * self.expected_run_s(order.route)
        return order.deadline - least_s

    def withdraw(self, order: forwarding.Order) -> None:
        """Take out a waiting order."""
        for index, (rank, late, _, held) in enumerate(self.waiting):
            if held is order:
                del self.waiting[index]
                heapq.heapify(self.waiting)
                self._count((rank, late), -1)
                return

    def drain(self) -> list[forwarding.Order]:
        """Take out all that waits."""
        taken = [order for _, _, _, order in self.waiting]
        self.waiting = []
        self.waiting_by_turn = {}
        return taken

    def return_s(self, rank: int) -> float:
        """When a refused caller should come back, seconds from now."""
        expected = self.expected_wait_s(rank) + self.mean_s / 2
        spread = 1 + RETURN_SPREAD * self.randomness.random()
        return min(MAX_RETURN_S, max(MIN_RETURN_S, expected * spread))

    def _start(self, order: forwarding.Order, now: float) -> None:
        self.running += 1
        order.started = now

    def _takes_late(self) -> bool:
        """Whether one more may wait that will be late anyhow.

        Those get the slots that nobody in time asks for; when there are
        none, a long line of them would wait for nothing.
        """
        late = sum(
            count for turn, count in self.waiting_by_turn.items() if turn[1]
        )
        return late < max(1, int(self.slots * LATE_SHARE))

    def _wait(self, order: forwarding.Order, late: bool) -> None:
        self.arrivals += 1
        entry = (order.rank, late, self.arrivals, order)
        heapq.heappush(self.waiting, entry)
        self._count((order.rank, late), 1)

    def _count(self, turn: Turn, change: int) -> None:
        self.waiting_by_turn[turn] = self.waiting_by_turn.get(turn, 0) + change
