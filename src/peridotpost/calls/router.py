"""Sends a call to one target after another, within the rules."""

import dataclasses
import random
from typing import Protocol

from peridotpost.calls import guard as guards
from peridotpost.calls import peers
from peridotpost.decisions import choice
from peridotpost.decisions import retry
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import calls
from peridotpost.model import routing


class KeyedCalls(Protocol):
    """The way of non-idempotent calls, to the owner of their key."""

    def mint(self) -> str: ...

    async def route(self, call: calls.Call) -> calls.Outcome: ...


class Router:
    """Chooses targets by ``decisions.choice`` and ``decisions.retry``."""

    def __init__(
        self,
        replica: replicas.Replica,
        guard: guards.Guard,
        streams: peers.PeerStreams,
        clock: timers.TimerService,
        events: timeline.Timeline,
        counts: counters.Counters,
        zone: str,
        randomness: random.Random,
    ) -> None:
        self.replica = replica
        self.guard = guard
        self.streams = streams
        self.clock = clock
        self.events = events
        self.counts = counts
        self.zone = zone
        self.randomness = randomness
        self.outstanding: dict[str, int] = {}
        self.budget = retry.RetryBudget()
        self.keyed: KeyedCalls | None = None

    async def route(self, call: calls.Call) -> calls.Outcome:
        """Carry `call` to a target and return its one outcome."""
        if call.idempotent or self.keyed is None:
            return await self.carry(call)
        return await self.keyed.route(call)

    async def carry(
        self, call: calls.Call, first_attempt: int = 0
    ) -> calls.Outcome:
        """Try one target after another.

        A call with a key comes here once, from its owner.

        :param first_attempt: dispatches are numbered from the next on.
        """
        if first_attempt:
            call = dataclasses.replace(call, attempt=first_attempt)
        began = self.clock.now()
        tried: set[str] = set()
        left = call
        self.budget.earn()
        while True:
            outcome = await self._attempt(left, tried)
            spent_ms = int((self.clock.now() - began) * 1000)
            left_ms = call.budget_ms - spent_ms
            if not retry.may_retry(
                outcome, call.idempotent, len(tried), left_ms
            ):
                return outcome
            if not self._has_other(call, tried) or not self.budget.spend():
                return outcome
            self.counts.add('router.retried')
            self.events.record(
                'call.retried', str(outcome), request_id=call.request_id
            )
            left = dataclasses.replace(call, budget_ms=left_ms)

    def _endpoints(self, call: calls.Call) -> tuple[routing.Endpoint, ...]:
        route = self.replica.table.routes.get(call.service)
        return route.endpoints if route is not None else ()

    def _has_other(self, call: calls.Call, tried: set[str]) -> bool:
        return any(
            choice.key_of(one) not in tried for one in self._endpoints(call)
        )

    async def _attempt(
        self, call: calls.Call, tried: set[str]
    ) -> calls.Outcome:
        endpoint = self._choose(call, tried)
        if endpoint is None:
            return calls.NotRun(
                calls.NotRunReason.NO_TARGET,
                f'{call.service!r} has no live target',
                1000,
                self.replica.host,
            )
        key = choice.key_of(endpoint)
        tried.add(key)
        if not call.idempotent:
            attempt = call.attempt + len(tried)
            call = dataclasses.replace(call, attempt=attempt)
        self.outstanding[key] = self.outstanding.get(key, 0) + 1
        try:
            return await self._send(call, endpoint)
        finally:
            self._settle(key)

    def _settle(self, key: str) -> None:
        left = self.outstanding[key] - 1
        if left:
            self.outstanding[key] = left
        else:
            del self.outstanding[key]

    def _choose(
        self, call: calls.Call, tried: set[str]
    ) -> routing.Endpoint | None:
        endpoints = self._endpoints(call)
        return choice.choose(
            endpoints, self.zone, self.outstanding, tried, self.randomness
        )

    async def _send(
        self, call: calls.Call, endpoint: routing.Endpoint
    ) -> calls.Outcome:
        if endpoint.host == self.replica.host:
            return await self.guard.run(call, endpoint.name)
        return await self.streams.run(
            endpoint.address,
            endpoint.call_port,
            endpoint.host,
            call,
            endpoint.name,
        )
