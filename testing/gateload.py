"""Load generator for admission control on a simulated clock.

Requests arrive in an open loop: no arrival waits for an answer.  Tests judge
what callers receive: an answer in time, a late answer, or a refusal and how
soon it came.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
import random
from typing import Protocol

from peridotpost.decisions import admission
from peridotpost.decisions import fairness
from peridotpost.model import config

SHORT = config.WorkClass.SHORT
LONG = config.WorkClass.LONG
IN_TIME = 'in time'
LATE = 'late'
REFUSED = 'refused'
MAX_ATTEMPTS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    at: float
    work_s: float
    deadline_s: float
    caller: str = 'a'
    key: str = ''
    work_class: config.WorkClass = SHORT
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Outcome of one request, and the time from its arrival to it."""

    request: Request
    outcome: str
    after_s: float


class GateUnderTest(Protocol):
    def submit(
        self, ticket: fairness.Ticket, now: float
    ) -> admission.Decision:
        """Start, queue or refuse a request."""

    def finish(
        self, ticket: fairness.Ticket, now: float
    ) -> admission.Decision:
        """Free the slot of a request."""


class PlainFifo:
    """Baseline: first come, first served, without refusals."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.queue: collections.deque[fairness.Ticket] = collections.deque()

    def submit(
        self, ticket: fairness.Ticket, now: float
    ) -> admission.Decision:
        self.queue.append(ticket)
        return self._fill()

    def finish(
        self, ticket: fairness.Ticket, now: float
    ) -> admission.Decision:
        self.free += 1
        return self._fill()

    def _fill(self) -> admission.Decision:
        if not self.free or not self.queue:
            return admission.Decision()
        self.free -= 1
        return admission.Decision((self.queue.popleft(),))


def poisson(
    rate: float, until_s: float, seed: int, **request: object
) -> list[Request]:
    """Return the requests of a Poisson process, `rate` per second."""
    randomness = random.Random(seed)
    requests: list[Request] = []
    at = randomness.expovariate(rate)
    while at < until_s:
        requests.append(Request(at=at, **request))  # type: ignore[arg-type]
        at += randomness.expovariate(rate)
    return requests


def drive(
    gate: GateUnderTest,
    requests: Iterable[Request],
    retry_delay: Callable[[float], float] | None = None,
) -> list[Received]:
    """Run all requests to completion and return what callers received.

    :param retry_delay: returns the seconds after which a caller that was
        refused at the given time retries, up to ``MAX_ATTEMPTS`` attempts;
        None for no retries.
    """
    sequence = itertools.count()
    tickets: dict[fairness.Ticket, Request] = {}
    received: list[Received] = []
    events: list[tuple[float, int, Request | fairness.Ticket]] = [
        (request.at, next(sequence), request) for request in requests
    ]
    heapq.heapify(events)

    def apply(decision: admission.Decision, now: float) -> None:
        for ticket in decision.started:
            end = now + tickets[ticket].work_s
            heapq.heappush(events, (end, next(sequence), ticket))
        for ticket in decision.refused:
            request = tickets.pop(ticket)
            received.append(Received(request, REFUSED, now - request.at))
            if retry_delay is not None and request.attempt < MAX_ATTEMPTS:
                at = now + retry_delay(now)
                retry = dataclasses.replace(
                    request, at=at, attempt=request.attempt + 1
                )
                heapq.heappush(events, (at, next(sequence), retry))

    while events:
        now, _, event = heapq.heappop(events)
        if isinstance(event, Request):
            ticket = fairness.Ticket(
                event.caller,
                event.key,
                event.work_class,
                now,
                now + event.deadline_s,
            )
            tickets[ticket] = event
            apply(gate.submit(ticket, now), now)
        else:
            request = tickets.pop(event)
            outcome = IN_TIME if now <= event.deadline + 1e-9 else LATE
            received.append(Received(request, outcome, now - request.at))
            apply(gate.finish(event, now), now)
    assert not tickets, 'a request got no outcome'
    return received


def share(received: Iterable[Received], outcome: str, **of: object) -> float:
    """Return the share of requests with the outcome.

    :param of: attributes by which requests are selected.
    """
    chosen = [
        one
        for one in received
        if all(
            getattr(one.request, name) == value for name, value in of.items()
        )
    ]
    return sum(one.outcome == outcome for one in chosen) / len(chosen)


def quantile(received: Iterable[Received], outcome: str, q: float) -> float:
    """Return the `q` quantile of the time until the outcome."""
    times = sorted(one.after_s for one in received if one.outcome == outcome)
    return times[min(len(times) - 1, int(q * len(times)))] if times else 0.0
