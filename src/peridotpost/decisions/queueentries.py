"""Entries of a target's queue, and which of them later arrivals displaced.

Load pattern: a target is full, and requests arrive that go before queued ones:
of a more urgent rank, or of a customer within its share beside one that asks
for a multiple of it.  Requests that were queued to be answered in time then
wait until their objective is nearly over.

- A queued request that is displaced so far that its answer would be late is
  refused at once: another target may still be in time, or its caller learns
  it sooner.  Kept, it would be started late, in a slot in which another
  request would have been in time.
- Work ahead of a request is the expected run time of all entries that are
  started before it.
"""

from collections.abc import Iterable
import dataclasses

from peridotpost.model import forwarding

REFUSE_DISPLACED = 1
"""0: displaced requests of customers stay queued until a slot is free."""


@dataclasses.dataclass(order=True, slots=True)
class QueueEntry:
    """A queued order; the smallest entry is started first.

    :param rank: including the offset by the customer's share.
    :param due: arrival time plus the full objective of the route.
    :param number: sequence number of the entry.
    :param run_s: expected run time.
    """

    rank: float
    late: bool
    due: float
    number: int
    order: forwarding.Order = dataclasses.field(compare=False)
    run_s: float = dataclasses.field(compare=False)


@dataclasses.dataclass(slots=True)
class QueuedWork:
    """Number and expected run time of queued requests."""

    requests: int = 0
    work_s: float = 0.0


def work_ahead(
    waiting: Iterable[QueueEntry], rank: float, late: bool, due: float
) -> QueuedWork:
    """Return the queued work that is started before a new entry."""
    position = (rank, late, due)
    ahead = QueuedWork()
    for entry in waiting:
        if (entry.rank, entry.late, entry.due) > position:
            break
        ahead.requests += 1
        ahead.work_s += entry.run_s
    return ahead


def displaced(
    waiting: Iterable[QueueEntry], next_free_s: float, slots: int, now: float
) -> list[QueueEntry]:
    """Return entries of customers that can no longer be answered in time.

    :param next_free_s: run time after which one slot is free, per slot.
    """
    found: list[QueueEntry] = []
    if not REFUSE_DISPLACED:
        return found
    work_s = next_free_s
    for entry in waiting:
        wait_s = work_s / max(1, slots)
        ends = now + wait_s + entry.run_s
        order = entry.order
        if order.customer and not entry.late and ends > order.objective:
            found.append(entry)
        else:
            work_s += entry.run_s
    return found
