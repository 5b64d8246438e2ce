"""Drives gates with requests on a clock of the test's own.

Requests arrive open loop: no arrival waits for an answer.  What counts is
what callers receive: an answer in time, a refusal and how soon, a late
answer.
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
    """What one caller got, and how long after it had asked."""

    request: Request
    outcome: str
    after_s: float


class GateUnderTest(Protocol):
    def arrive(self, ticket: fairness.Ticket, now: float) -> admission.Step:
        """Decide on a request."""

    def finish(self, ticket: fairness.Ticket, now: float) -> admission.Step:
        """Give a slot back."""


class PlainFifo:
    """The baseline: first come, first served, nobody refused."""

    def __init__(self, slots: int) -> None:
        self.free = slots
        self.queue: collections.deque[fairness.Ticket] = collections.deque()

    def arrive(self, ticket: fairness.Ticket, now: float) -> admission.Step:
        self.queue.append(ticket)
        return self._fill()

    def finish(self, ticket: fairness.Ticket, now: float) -> admission.Step:
        self.free += 1
        return self._fill()

    def _fill(self) -> admission.Step:
        if not self.free or not self.queue:
            return admission.Step()
        self.free -= 1
        return admission.Step((self.queue.popleft(),))


def poisson(
    rate: float, until_s: float, seed: int, **request: object
) -> list[Request]:
    """Return requests at `rate` a second with random gaps."""
    randomness = random.Random(seed)
    found: list[Request] = []
    at = randomness.expovariate(rate)
    while at < until_s:
        found.append(Request(at=at, **request))  # type: ignore[arg-type]
        at += randomness.expovariate(rate)
    return found


def drive(
    gate: GateUnderTest,
    requests: Iterable[Request],
    retry_delay: Callable[[float], float] | None = None,
) -> list[Received]:
    """Run all requests to their end and return what callers received.

    :param comes_back: seconds, at the time given, after which a refused
        caller sends again, ``MAX_SENDINGS`` times at most; None for never.
    """
    order = itertools.count()
    tickets: dict[fairness.Ticket, Request] = {}
    received: list[Received] = []
    events: list[tuple[float, int, Request | fairness.Ticket]] = [
        (one.at, next(order), one) for one in requests
    ]
    heapq.heapify(events)

    def take(step: admission.Step, now: float) -> None:
        for ticket in step.started:
            end = now + tickets[ticket].work_s
            heapq.heappush(events, (end, next(order), ticket))
        for ticket in step.refused:
            one = tickets.pop(ticket)
            received.append(Received(one, REFUSED, now - one.at))
            if retry_delay is not None and one.attempt < MAX_ATTEMPTS:
                at = now + retry_delay(now)
                again = dataclasses.replace(
                    one, at=at, attempt=one.attempt + 1
                )
                heapq.heappush(events, (at, next(order), again))

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
            take(gate.arrive(ticket, now), now)
        else:
            one = tickets.pop(event)
            word = IN_TIME if now <= event.deadline + 1e-9 else LATE
            received.append(Received(one, word, now - one.at))
            take(gate.finish(event, now), now)
    assert not tickets, 'a request got no word at all'
    return received


def share(received: Iterable[Received], word: str, **of: object) -> float:
    """Return which share of the requests `of` that kind got `word`."""
    chosen = [
        one
        for one in received
        if all(
            getattr(one.request, name) == value for name, value in of.items()
        )
    ]
    return sum(one.outcome == word for one in chosen) / len(chosen)


def quantile(received: Iterable[Received], word: str, q: float) -> float:
    """Return the `q` quantile of the time until `word` was received."""
    times = sorted(one.after_s for one in received if one.outcome == word)
    return times[min(len(times) - 1, int(q * len(times)))] if times else 0.0
