"""Fair queueing among callers and keys.

Load pattern: one caller sends most of the requests (a batch job, a runaway
loop), or most requests are about one key, such as the one bond that is signed
on a given day.  First come, first served gives such a flow the share of the
slots that it asks for, and the others wait behind it.

Each caller has a virtual time that increases by one with each of its requests
that is served (start-time fair queueing).  The caller with the lowest virtual
time is served next, so that waiting callers share the slots evenly regardless
of how many requests they sent.  While others wait, one key may use half of the
slots: its requests tend to wait for the same lock within the target, so more
slots would only hold more waiters.  When the queue is full, a request of the
heaviest caller or key is dropped, not the latest arrival.
"""

import collections
import dataclasses
import operator

from peridotpost.model import config

HOT_KEY_SHARE = 0.5
"""The smallest share at which a hot key's throughput is still limited by its
own lock and not by this bound; half of the slots stay for all others."""

MAX_CALLERS = 4096
"""Maximum number of callers tracked while a queue stands; about 400 KB."""


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request under admission control, compared by identity.

    :param caller: name of the sender; empty if unknown.  Requests of unknown
        callers form a flow of their own.
    :param key: subject of the request, for example the path of a read.
    :param arrived: arrival time in seconds, by the clock of the gate's owner.
    :param deadline: time at which the caller gives up.
    """

    caller: str
    key: str
    work_class: config.WorkClass
    arrived: float
    deadline: float
    started: float = 0.0


@dataclasses.dataclass(slots=True)
class FairShares:
    """Virtual time of each caller and slots of each key, over all classes."""

    virtual_times: dict[str, float] = dataclasses.field(default_factory=dict)
    running_by_key: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    virtual_clock: float = 0.0

    def start(self, ticket: Ticket, contended: bool) -> None:
        """Record the start of a request.

        :param contended: others are waiting, so the caller is charged.
        """
        self.running_by_key[ticket.key] += 1
        if not contended:
            return
        start_time = self.virtual_time(ticket.caller)
        self.virtual_clock = max(self.virtual_clock, start_time)
        if len(self.virtual_times) >= MAX_CALLERS:
            self.reset()
        self.virtual_times[ticket.caller] = start_time + 1

    def finish(self, ticket: Ticket) -> None:
        self.running_by_key[ticket.key] -= 1
        if not self.running_by_key[ticket.key]:
            del self.running_by_key[ticket.key]

    def virtual_time(self, caller: str) -> float:
        # An idle caller must not accumulate credit.
        return max(self.virtual_times.get(caller, 0.0), self.virtual_clock)

    def reset(self) -> None:
        """Clear all charges once no request is queued.

        Charges only order the callers that wait for each other.  Kept longer,
        the table would grow with every caller ever seen.
        """
        self.virtual_times.clear()


class FairQueue:
    """Queued requests of one work class, by caller in order of arrival."""

    def __init__(self) -> None:
        self.by_caller: dict[str, list[Ticket]] = {}
        self.count_by_key: collections.Counter[str] = collections.Counter()
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        self.by_caller.setdefault(ticket.caller, []).append(ticket)
        self.count_by_key[ticket.key] += 1
        self.size += 1

    def remove(self, ticket: Ticket) -> bool:
        """Remove `ticket`; return False if it is not queued here."""
        flow = self.by_caller.get(ticket.caller)
        if flow is None or ticket not in flow:
            return False
        flow.remove(ticket)
        if not flow:
            del self.by_caller[ticket.caller]
        self.count_by_key[ticket.key] -= 1
        if not self.count_by_key[ticket.key]:
            del self.count_by_key[ticket.key]
        self.size -= 1
        return True

    def tickets(self) -> list[Ticket]:
        return [ticket for flow in self.by_caller.values() for ticket in flow]

    def waiting_count(self, caller: str) -> int:
        return len(self.by_caller.get(caller, ()))

    def pop(
        self, shares: FairShares, slots: int, newest_first: bool
    ) -> Ticket | None:
        """Remove and return the request to serve next, or None if empty."""
        end = -1 if newest_first else 0
        heads = [flow[end] for flow in self.by_caller.values()]
        if not heads:
            return None
        key_limit = max(1, int(slots * HOT_KEY_SHARE))
        best = min(
            heads,
            key=lambda ticket: (
                shares.running_by_key[ticket.key] >= key_limit,
                shares.virtual_time(ticket.caller),
                -ticket.arrived if newest_first else ticket.arrived,
            ),
        )
        if shares.running_by_key[best.key] >= key_limit:
            best = (
                self._first_below_key_limit(shares, key_limit, newest_first)
                or best
            )
        self.remove(best)
        return best

    def _first_below_key_limit(
        self, shares: FairShares, key_limit: int, newest_first: bool
    ) -> Ticket | None:
        """Return the first request whose key is below the limit.

        It may be queued behind the first request of its caller.
        """
        below_limit = [
            ticket
            for ticket in self.tickets()
            if shares.running_by_key[ticket.key] < key_limit
        ]
        if not below_limit:
            return None
        pick = max if newest_first else min
        return pick(below_limit, key=operator.attrgetter('arrived'))

    def drop_candidate(self, oldest: bool) -> Ticket | None:
        """Return the request to drop when the queue is full.

        It belongs to the caller with the most queued requests.  If more than
        half of the queue, but not all of it, is about one key, it belongs to
        the caller with the most queued requests about that key.

        :param oldest: return the oldest request of that flow, not the newest.
        """
        if not self.size:
            return None
        flows = self.by_caller
        key, count = max(self.count_by_key.items(), key=operator.itemgetter(1))
        if self.size / 2 < count < self.size:
            flows = {
                caller: [ticket for ticket in flow if ticket.key == key]
                for caller, flow in self.by_caller.items()
            }
        heaviest = max(flows.values(), key=len)
        pick = min if oldest else max
        return pick(heaviest, key=operator.attrgetter('arrived'))
