"""Drives target choice and ejection with calls on a clock of its own.

Several ingress daemons, each with its own view, send to targets behind
real gates; what counts is what callers receive.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from peridotpost.decisions import admission
from peridotpost.decisions import choice
from peridotpost.decisions import ejection
from peridotpost.decisions import fairness
from peridotpost.model import calls
from peridotpost.model import routing
from testing import gateload

SLOTS = 12
WORK_S = 0.02
DEADLINE_S = 0.5
GOOD = 'good'
FAILED = 'failed'
REFUSED = 'refused'


def endpoint(
    number: int, zone: str = 'a', cold: bool = False
) -> routing.Endpoint:
    return routing.Endpoint(
        f'h{number}', zone, '127.0.0.1', 1, f't{number}', SLOTS, cold
    )


@dataclasses.dataclass(slots=True)
class FakeTarget:
    """How a target behaves; times in seconds.

    :param fails_after_s: it fails each call after so long, if set.
    :param unreachable: each call is refused as unreachable.
    :param ends_at: from then on it is well.
    """

    endpoint: routing.Endpoint
    work_s: float = WORK_S
    fails_after_s: float | None = None
    unreachable: bool = False
    recovers_at: float = 1e9


class Ingress:
    """One daemon's choice; subclasses are the baselines."""

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.book = choice.LoadBook()
        self.ejector = ejection.Ejector(zone, randomness)

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        out = self.ejector.excluded(map(subject, endpoints), now)
        found = choice.choose(
            endpoints, self.zone, self.book, out, now, self.randomness
        )
        assert found is not None
        return found


class RandomIngress(Ingress):
    """Baseline: any target, whatever is known of it."""

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        return self.randomness.choice(endpoints)


class NoEjection(Ingress):
    """Baseline: by load alone."""

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        found = choice.choose(
            endpoints, self.zone, self.book, (), now, self.randomness
        )
        assert found is not None
        return found


def subject(one: routing.Endpoint) -> ejection.Subject:
    return ejection.Subject(
        choice.key_of(one), one.host, one.availability_zone
    )


@dataclasses.dataclass(slots=True)
class Run:
    """What callers received, and which target got how many calls."""

    outcomes: collections.Counter[str]
    calls: collections.Counter[str]
    latest: collections.Counter[str]

    def share(self, word: str) -> float:
        return self.outcomes[word] / self.outcomes.total()

    def share_of(self, number: int) -> float:
        return self.calls[f'h{number}'] / self.calls.total()


@dataclasses.dataclass(slots=True)
class Call:
    ingress: Ingress
    target: FakeTarget
    ticket: fairness.Ticket
    failing: bool


def drive(
    targets: list[FakeTarget],
    make: Callable[[str, random.Random], Ingress],
    *,
    zones: tuple[str, ...] = ('a',) * 8,
    load: float = 0.6,
    seconds: float = 4.0,
) -> Run:
    """Send at `load` of the capacity that the targets have when well."""
    randomness = random.Random(7)
    ingresses = [make(zone, randomness) for zone in zones]
    endpoints = [one.endpoint for one in targets]
    by_host = {one.endpoint.host: one for one in targets}
    gates = {
        one.endpoint.host: admission.Gate(SLOTS, 64, randomness)
        for one in targets
    }
    run = Run(
        collections.Counter(), collections.Counter(), collections.Counter()
    )
    order = itertools.count()
    open_calls: dict[fairness.Ticket, Call] = {}
    rate = load * len(targets) * SLOTS / WORK_S
    events: list[tuple[float, int, fairness.Ticket | None]] = [
        (one.at, next(order), None)
        for one in gateload.poisson(
            rate, seconds, 3, work_s=WORK_S, deadline_s=DEADLINE_S
        )
    ]
    heapq.heapify(events)

    def end(call: Call, outcome: calls.Outcome, now: float) -> None:
        one = call.target.endpoint
        key = choice.key_of(one)
        call.ingress.book.settled(key)
        call.ingress.book.report(key, gates[one.host].load(), now)
        others = [choice.key_of(it) for it in endpoints if it is not one]
        verdict = ejection.verdict_of(outcome)
        call.ingress.ejector.note(subject(one), verdict, others, now)
        late = now > call.ticket.deadline + 1e-9
        if isinstance(outcome, calls.NotRun):
            unreachable = outcome.reason is calls.NotRunReason.UNREACHABLE
            run.outcomes[FAILED if unreachable else REFUSED] += 1
        elif verdict is ejection.CallSignal.GOOD and not late:
            run.outcomes[GOOD] += 1
        else:
            run.outcomes[FAILED] += 1

    def take(step: admission.Step, now: float) -> None:
        for ticket in step.started:
            call = open_calls[ticket]
            well = now >= call.target.recovers_at
            takes = WORK_S if well else call.target.work_s
            if call.target.fails_after_s is not None and not well:
                call.failing = True
                takes = call.target.fails_after_s
            heapq.heappush(events, (now + takes, next(order), ticket))
        for ticket in step.refused:
            full = calls.NotRun(calls.NotRunReason.FULL, '')
            end(open_calls.pop(ticket), full, now)

    while events:
        now, number, event = heapq.heappop(events)
        if event is not None:
            call = open_calls.pop(event)
            host = call.target.endpoint.host
            take(gates[host].finish(event, now), now)
            status = 500 if call.failing else 200
            end(call, calls.Answer(status, '', (), b''), now)
            continue
        ingress = ingresses[number % len(ingresses)]
        chosen = ingress.choose(endpoints, now)
        target = by_host[chosen.host]
        key = choice.key_of(chosen)
        run.calls[chosen.host] += 1
        if now > seconds / 2:
            run.latest[chosen.host] += 1
        ingress.book.sent(key)
        ingress.ejector.trying(key, now)
        ticket = fairness.Ticket('', '', gateload.SHORT, now, now + DEADLINE_S)
        call = Call(ingress, target, ticket, False)
        if target.unreachable and now < target.recovers_at:
            cut = calls.NotRun(calls.NotRunReason.UNREACHABLE, '')
            end(call, cut, now)
            continue
        open_calls[ticket] = call
        take(gates[chosen.host].arrive(ticket, now), now)
    return run
