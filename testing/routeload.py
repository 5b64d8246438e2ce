"""Load generator for load balancing and ejection on a simulated clock.

Several ingress daemons, each with its own state, send calls to targets behind
real admission control.  Tests judge what callers receive.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from peridotpost.decisions import admission
from peridotpost.decisions import ejection
from peridotpost.decisions import fairness
from peridotpost.decisions import loadbalancing
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
    """Behaviour of a target; times in seconds.

    :param fails_after_s: if set, each call fails after this time.
    :param unreachable: each call is refused as unreachable.
    :param recovers_at: time from which the target is healthy.
    """

    endpoint: routing.Endpoint
    work_s: float = WORK_S
    fails_after_s: float | None = None
    unreachable: bool = False
    recovers_at: float = 1e9


class Ingress:
    """Load balancing of one daemon; subclasses are the baselines."""

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self.zone = zone
        self.randomness = randomness
        self.loads = loadbalancing.LoadTracker()
        self.ejector = ejection.Ejector(zone, randomness)

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        excluded = self.ejector.excluded(map(target_id, endpoints), now)
        chosen = loadbalancing.choose(
            endpoints, self.zone, self.loads, excluded, now, self.randomness
        )
        assert chosen is not None
        return chosen


class RandomIngress(Ingress):
    """Baseline: a random target."""

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        return self.randomness.choice(endpoints)


class NoEjection(Ingress):
    """Baseline: load balancing without ejection."""

    def choose(
        self, endpoints: list[routing.Endpoint], now: float
    ) -> routing.Endpoint:
        chosen = loadbalancing.choose(
            endpoints, self.zone, self.loads, (), now, self.randomness
        )
        assert chosen is not None
        return chosen


def target_id(endpoint: routing.Endpoint) -> ejection.TargetId:
    return ejection.TargetId(
        loadbalancing.target_key(endpoint),
        endpoint.host,
        endpoint.availability_zone,
    )


@dataclasses.dataclass(slots=True)
class Run:
    """Outcomes of the calls, and the number of calls by host.

    ``second_half_calls`` counts those sent in the second half of the run.
    """

    outcomes: collections.Counter[str]
    calls: collections.Counter[str]
    second_half_calls: collections.Counter[str]

    def share(self, outcome: str) -> float:
        return self.outcomes[outcome] / self.outcomes.total()

    def call_share(self, number: int) -> float:
        """Return the share of all calls sent to host `number`."""
        return self.calls[f'h{number}'] / self.calls.total()


@dataclasses.dataclass(slots=True)
class Call:
    ingress: Ingress
    target: FakeTarget
    ticket: fairness.Ticket
    failing: bool


def drive(
    targets: list[FakeTarget],
    make_ingress: Callable[[str, random.Random], Ingress],
    *,
    zones: tuple[str, ...] = ('a',) * 8,
    load: float = 0.6,
    seconds: float = 4.0,
) -> Run:
    """Send calls at `load` times the capacity of the targets when healthy.

    :param zones: the availability zone of each ingress.
    """
    randomness = random.Random(7)
    ingresses = [make_ingress(zone, randomness) for zone in zones]
    endpoints = [one.endpoint for one in targets]
    by_host = {one.endpoint.host: one for one in targets}
    gates = {
        one.endpoint.host: admission.Gate(SLOTS, 64, randomness)
        for one in targets
    }
    run = Run(
        collections.Counter(), collections.Counter(), collections.Counter()
    )
    sequence = itertools.count()
    open_calls: dict[fairness.Ticket, Call] = {}
    rate = load * len(targets) * SLOTS / WORK_S
    events: list[tuple[float, int, fairness.Ticket | None]] = [
        (request.at, next(sequence), None)
        for request in gateload.poisson(
            rate, seconds, 3, work_s=WORK_S, deadline_s=DEADLINE_S
        )
    ]
    heapq.heapify(events)

    def end(call: Call, outcome: calls.Outcome, now: float) -> None:
        called = call.target.endpoint
        key = loadbalancing.target_key(called)
        call.ingress.loads.settled(key)
        call.ingress.loads.report(key, gates[called.host].load(), now)
        others = [
            loadbalancing.target_key(other)
            for other in endpoints
            if other is not called
        ]
        signal = ejection.classify(outcome)
        call.ingress.ejector.note(target_id(called), signal, others, now)
        late = now > call.ticket.deadline + 1e-9
        if isinstance(outcome, calls.NotRun):
            unreachable = outcome.reason is calls.NotRunReason.UNREACHABLE
            run.outcomes[FAILED if unreachable else REFUSED] += 1
        elif signal is ejection.CallSignal.GOOD and not late:
            run.outcomes[GOOD] += 1
        else:
            run.outcomes[FAILED] += 1

    def apply(decision: admission.Decision, now: float) -> None:
        for ticket in decision.started:
            call = open_calls[ticket]
            healthy = now >= call.target.recovers_at
            run_s = WORK_S if healthy else call.target.work_s
            if call.target.fails_after_s is not None and not healthy:
                call.failing = True
                run_s = call.target.fails_after_s
            heapq.heappush(events, (now + run_s, next(sequence), ticket))
        for ticket in decision.refused:
            full = calls.NotRun(calls.NotRunReason.FULL, '')
            end(open_calls.pop(ticket), full, now)

    while events:
        now, number, event = heapq.heappop(events)
        if event is not None:
            call = open_calls.pop(event)
            host = call.target.endpoint.host
            apply(gates[host].finish(event, now), now)
            status = 500 if call.failing else 200
            end(call, calls.Answer(status, '', (), b''), now)
            continue
        ingress = ingresses[number % len(ingresses)]
        chosen = ingress.choose(endpoints, now)
        target = by_host[chosen.host]
        key = loadbalancing.target_key(chosen)
        run.calls[chosen.host] += 1
        if now > seconds / 2:
            run.second_half_calls[chosen.host] += 1
        ingress.loads.sent(key)
        ingress.ejector.note_attempt(key, now)
        ticket = fairness.Ticket('', '', gateload.SHORT, now, now + DEADLINE_S)
        call = Call(ingress, target, ticket, False)
        if target.unreachable and now < target.recovers_at:
            unreachable = calls.NotRun(calls.NotRunReason.UNREACHABLE, '')
            end(call, unreachable, now)
            continue
        open_calls[ticket] = call
        apply(gates[chosen.host].submit(ticket, now), now)
    return run
