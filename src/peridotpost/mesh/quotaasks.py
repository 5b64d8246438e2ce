"""Requests of this host's ingress that wait for a decision on their quota.

The owner of a limited customer decides on each request.  Where it does not
answer in time, the ingress decides by the share that it last heard of.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
from typing import Protocol

from peridotpost.kernel import counters
from peridotpost.model import quotas

ANSWER_TIMEOUT_S = 0.06
"""Twenty round trips between zones.  A request waits at most this long for
its quota, a third of the shortest known objective."""

MAX_TIMED_OUT = 256
"""Requests without an answer that are remembered for a late one."""

Decided = Callable[[float | None], None]
"""Receives None if the request is admitted, else seconds until a retry."""


class Ingress(Protocol):
    """What decides on requests at this host; see ``HostQuotas``."""

    def admit(
        self, customer: quotas.Limited, now: float, is_retry: bool = False
    ) -> float | None:
        """Decide by the share and count the request."""

    def decided_by_owner(
        self, name: str, owner: quotas.Owner, admitted: bool, now: float
    ) -> None:
        """Note the owner's decision."""

    def decided_too_late(
        self, name: str, owner: quotas.Owner, admitted: bool, now: float
    ) -> None:
        """Return what the owner counted after `admit` had decided."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request that waits for the answer of its customer's owner."""

    customer: quotas.Limited
    owner: quotas.Owner
    decided: Decided
    is_retry: bool
    timeout: asyncio.TimerHandle


class QuotaAsks:
    """Requests of one ingress that wait for their owners."""

    def __init__(
        self,
        ingress: Ingress,
        counts: counters.Counters,
        clock: Callable[[], float],
    ) -> None:
        self.ingress = ingress
        self.counts = counts
        self.clock = clock
        self.numbers = itertools.count(1)
        self.pending: dict[int, Ask] = {}
        self.timed_out: dict[int, tuple[str, quotas.Owner]] = {}

    def add(
        self,
        customer: quotas.Limited,
        owner: quotas.Owner,
        decided: Decided,
        is_retry: bool,
    ) -> int:
        """Register a request and return the number to ask with."""
        number = next(self.numbers)
        loop = asyncio.get_running_loop()
        timeout = loop.call_later(ANSWER_TIMEOUT_S, self._time_out, number)
        self.pending[number] = Ask(customer, owner, decided, is_retry, timeout)
        self.counts.add('quotas.asked')
        return number

    def answer(
        self, number: int, owner: quotas.Owner, wait_s: float | None
    ) -> None:
        """Settle a request by its owner's decision.

        A request whose answer is late was decided by the share.  If the owner
        admitted it as well, its count is returned: an owner that is slow all
        the time would count each request twice.
        """
        ask = self._settle(number, owner)
        if ask is None:
            name, asked_owner = self.timed_out.pop(number, ('', None))
            if asked_owner == owner:
                self.ingress.decided_too_late(
                    name, owner, wait_s is None, self.clock()
                )
            return
        self.ingress.decided_by_owner(
            ask.customer.name, owner, wait_s is None, self.clock()
        )
        ask.decided(wait_s)

    def leave_to_ingress(self, number: int, owner: quotas.Owner) -> None:
        """Decide by the share, as the host that was asked does not."""
        ask = self._settle(number, owner)
        if ask is not None:
            self._decide_here(ask)

    def _time_out(self, number: int) -> None:
        ask = self.pending.pop(number)
        self.counts.add('quotas.unanswered')
        if len(self.timed_out) >= MAX_TIMED_OUT:
            del self.timed_out[next(iter(self.timed_out))]
        self.timed_out[number] = (ask.customer.name, ask.owner)
        self._decide_here(ask)

    def _settle(self, number: int, owner: quotas.Owner) -> Ask | None:
        ask = self.pending.get(number)
        if ask is None or ask.owner != owner:
            return None
        del self.pending[number]
        ask.timeout.cancel()
        return ask

    def _decide_here(self, ask: Ask) -> None:
        ask.decided(
            self.ingress.admit(ask.customer, self.clock(), ask.is_retry)
        )
