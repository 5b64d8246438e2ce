"""Whose waiting request is served next, and whose gives way.

Load pattern: one caller sends most of the requests (a batch job, a loop
gone wrong), or most requests are about one thing, such as the one bond
that a signing day turns on.  First come, first served hands such a flow
the share of the slots that it asks for, and the others wait behind it.

Each caller has a virtual time that grows by one with each request served
(start-time fair queueing); the caller with the least is served next, so
that callers who wait share the slots evenly, however many requests each
of them sent.  One key may fill half of the slots while others wait: its
requests tend to wait for the same lock within the target, so that more
slots would only hold more waiters.  When the queue is full the heaviest
caller or key gives way, not whoever came last.
"""

import collections
import dataclasses
import operator

from peridotpost.model import config

HOT_KEY_SHARE = 0.5
"""The least share at which a hot key's throughput is still limited by its
own lock, not by us, and yet half of the slots stay for all others."""

MAX_CALLERS = 4096
"""Callers told apart while a queue stands: some 400 KB."""


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request at a gate, compared by identity.

    :param caller: who sent it; empty if unknown, which is a flow as well.
    :param key: what it is about, for example the path of a read.
    :param arrived: seconds, by the clock of the gate's owner.
    :param deadline: the moment at which its caller gives up.
    """

    caller: str
    key: str
    work_class: config.WorkClass
    arrived: float
    deadline: float
    started: float = 0.0


@dataclasses.dataclass(slots=True)
class FairShares:
    """What each caller was served and each key holds, over all classes."""

    served: dict[str, float] = dataclasses.field(default_factory=dict)
    running_keys: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    virtual_clock: float = 0.0

    def start(self, ticket: Ticket, contended: bool) -> None:
        """Note that `ticket` runs; charged if others wait meanwhile."""
        self.running_keys[ticket.key] += 1
        if not contended:
            return
        before = self.virtual_time(ticket.caller)
        self.virtual_clock = max(self.virtual_clock, before)
        if len(self.served) >= MAX_CALLERS:
            self.reset()
        self.served[ticket.caller] = before + 1

    def finish(self, ticket: Ticket) -> None:
        self.running_keys[ticket.key] -= 1
        if not self.running_keys[ticket.key]:
            del self.running_keys[ticket.key]

    def virtual_time(self, caller: str) -> float:
        # A caller that was away must not have saved up a claim.
        return max(self.served.get(caller, 0.0), self.virtual_clock)

    def reset(self) -> None:
        """Make all callers equal again, as nobody waits any more.

        Charges are about who waits for whom; kept beyond that they would
        also let the table grow with every caller that ever came.
        """
        self.served.clear()


class FairQueue:
    """The waiting requests of one work class, by caller in arrival order."""

    def __init__(self) -> None:
        self.by_caller: dict[str, list[Ticket]] = {}
        self.keys: collections.Counter[str] = collections.Counter()
        self.size = 0

    def push(self, ticket: Ticket) -> None:
        self.by_caller.setdefault(ticket.caller, []).append(ticket)
        self.keys[ticket.key] += 1
        self.size += 1

    def remove(self, ticket: Ticket) -> bool:
        """Take `ticket` out; False if it does not wait here."""
        held = self.by_caller.get(ticket.caller)
        if held is None or ticket not in held:
            return False
        held.remove(ticket)
        if not held:
            del self.by_caller[ticket.caller]
        self.keys[ticket.key] -= 1
        if not self.keys[ticket.key]:
            del self.keys[ticket.key]
        self.size -= 1
        return True

    def tickets(self) -> list[Ticket]:
        return [one for held in self.by_caller.values() for one in held]

    def waiting_count(self, caller: str) -> int:
        return len(self.by_caller.get(caller, ()))

    def pop(
        self, shares: FairShares, slots: int, newest_first: bool
    ) -> Ticket | None:
        """Take out the request to serve next, None when there is none."""
        end = -1 if newest_first else 0
        heads = [held[end] for held in self.by_caller.values()]
        if not heads:
            return None
        bound = max(1, int(slots * HOT_KEY_SHARE))
        best = min(
            heads,
            key=lambda one: (
                shares.running_keys[one.key] >= bound,
                shares.virtual_time(one.caller),
                -one.arrived if newest_first else one.arrived,
            ),
        )
        if shares.running_keys[best.key] >= bound:
            best = self._first_below_key_limit(shares, bound, newest_first) or best
        self.remove(best)
        return best

    def _first_below_key_limit(
        self, shares: FairShares, bound: int, newest_first: bool
    ) -> Ticket | None:
        """Return a request behind the heads whose key is not hot."""
        cool = [
            one
            for one in self.tickets()
            if shares.running_keys[one.key] < bound
        ]
        if not cool:
            return None
        pick = max if newest_first else min
        return pick(cool, key=operator.attrgetter('arrived'))

    def drop_candidate(self, oldest: bool) -> Ticket | None:
        """Return the request that gives way when the queue is full.

        It belongs to the caller with the most waiting; if most of what
        waits, but not all, is about one key, to the one with the most
        waiting for that.

        :param oldest: the oldest of that flow, else its newest.
        """
        if not self.size:
            return None
        flows = self.by_caller
        key, count = max(self.keys.items(), key=operator.itemgetter(1))
        if self.size / 2 < count < self.size:
            flows = {
                caller: [one for one in held if one.key == key]
                for caller, held in self.by_caller.items()
            }
        held = max(flows.values(), key=len)
        pick = min if oldest else max
        return pick(held, key=operator.attrgetter('arrived'))
