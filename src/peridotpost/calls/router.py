"""Selects targets for calls and retries refused or failed attempts."""

import asyncio
import dataclasses
import random
from typing import Protocol

from peridotpost.calls import guard as guards
from peridotpost.calls import peers
from peridotpost.decisions import ejection
from peridotpost.decisions import loadbalancing
from peridotpost.decisions import poison
from peridotpost.decisions import retry
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import calls
from peridotpost.model import routing

CLEANUP_PERIOD_S = 60.0


class KeyedCalls(Protocol):
    """Routes non-idempotent calls to the owners of their keys."""

    def generate_key(self) -> str: ...

    async def route(self, call: calls.Call) -> calls.Outcome: ...


class Router:
    """Sends calls to targets and retries them.

    ``decisions.loadbalancing`` selects the target, ``decisions.retry``
    decides on a retry.
    """

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
        self.load_tracker = loadbalancing.LoadTracker()
        self.ejector = ejection.Ejector(zone, randomness)
        self.retry_budgets: dict[str, retry.RetryBudget] = {}
        self.keyed: KeyedCalls | None = None
        streams.load_reported.subscribe(self._record_load)
        clock.subscribe('router.forget', CLEANUP_PERIOD_S, self._clean_up)

    async def route(self, call: calls.Call) -> calls.Outcome:
        """Send `call` to a target and return its final outcome."""
        if call.idempotent or self.keyed is None:
            return await self.dispatch(call)
        return await self.keyed.route(call)

    async def dispatch(
        self, call: calls.Call, previous_attempts: int = 0
    ) -> calls.Outcome:
        """Send `call` to one target after another until an outcome is final.

        Only the owner of a key may pass a call with a key, and only while
        no target can have run it.  A request that crashes targets is
        refused here as `not run`, which would be wrong for a call that may
        have run before.

        :param previous_attempts: dispatch numbers start above this one.
        """
        refusal_s = self.guard.poison.refusal_remaining_s(
            call, self.clock.now()
        )
        if refusal_s > 0:
            return self._poison_refusal(refusal_s)
        if previous_attempts:
            call = dataclasses.replace(call, attempt=previous_attempts)
        return retry.mark_retried(await self._try_targets(call))

    async def _try_targets(self, call: calls.Call) -> calls.Outcome:
        budget = self.retry_budgets.setdefault(
            call.service, retry.RetryBudget()
        )
        budget.earn()
        began = self.clock.now()
        tried: set[str] = set()
        current = call
        best: calls.Outcome | None = None
        while True:
            outcome = await self._attempt(current, tried)
            best = retry.combined_outcome(best, outcome)
            spent_ms = int((self.clock.now() - began) * 1000)
            left_ms = call.budget_ms - spent_ms
            if not retry.may_retry(
                outcome, call.idempotent, len(tried), left_ms
            ):
                return best
            if (
                self.guard.poison.refusal_remaining_s(call, self.clock.now())
                > 0
            ):
                return best
            if not self._has_untried_target(call, tried) or not budget.spend():
                return best
            self.counts.add('router.retried')
            self.events.record(
                'call.retried', str(outcome), request_id=call.request_id
            )
            current = dataclasses.replace(call, budget_ms=left_ms)

    def _poison_refusal(self, refusal_s: float) -> calls.NotRun:
        self.counts.add('router.poisoned')
        return calls.NotRun(
            calls.NotRunReason.POISON,
            'this request crashed the targets that ran it; correct it, or '
            'send it again later',
            round(refusal_s * 1000),
            self.replica.host,
        )

    def _endpoints(self, call: calls.Call) -> tuple[routing.Endpoint, ...]:
        route = self.replica.table.routes.get(call.service)
        return route.endpoints if route is not None else ()

    def _has_untried_target(self, call: calls.Call, tried: set[str]) -> bool:
        return any(
            loadbalancing.target_key(endpoint) not in tried
            for endpoint in self._endpoints(call)
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
        key = loadbalancing.target_key(endpoint)
        tried.add(key)
        if not call.idempotent:
            attempt = call.attempt + len(tried)
            call = dataclasses.replace(call, attempt=attempt)
        self.load_tracker.sent(key)
        self.ejector.note_attempt(key, self.clock.now())
        try:
            outcome = await self._send(call, endpoint)
        finally:
            self.load_tracker.settled(key)
        await self._record_outcome(call, endpoint, outcome)
        return outcome

    async def _record_outcome(
        self,
        call: calls.Call,
        endpoint: routing.Endpoint,
        outcome: calls.Outcome,
    ) -> None:
        """Update the state that later target selections depend on."""
        key = loadbalancing.target_key(endpoint)
        others = (
            loadbalancing.target_key(other)
            for other in self._endpoints(call)
            if other is not endpoint
        )
        self.ejector.note(
            _target_id(endpoint),
            ejection.classify(outcome),
            others,
            self.clock.now(),
        )
        if isinstance(outcome, calls.OutcomeUnknown) and outcome.incident:
            await self._report_crash(call, key, outcome.incident)
        elif isinstance(outcome, calls.Answer):
            self.guard.poison.record_answer(call)

    async def _report_crash(
        self, call: calls.Call, target: str, incident: str
    ) -> None:
        """Report a request that crashed a target to the service's guards.

        The next attempt may come through any daemon, but always ends at a
        guard.  The caller's answer is delayed, by a second at most, until
        the guards have confirmed the report, since the caller may resend as
        soon as it has its answer: without waiting, a third target crashed
        in one of four runs on a loaded machine.
        """
        fingerprints = poison.fingerprints(call)
        self.guard.record_crash(fingerprints, target, incident)
        crash = peers.CrashReport(fingerprints, target, incident)
        endpoint_by_host = {
            endpoint.host: endpoint for endpoint in self._endpoints(call)
        }
        endpoint_by_host.pop(self.replica.host, None)
        await asyncio.gather(
            *(
                self.streams.report_crash(
                    endpoint.address,
                    endpoint.call_port,
                    endpoint.host,
                    crash,
                )
                for endpoint in endpoint_by_host.values()
            )
        )

    def _record_load(self, report: peers.LoadReport) -> None:
        key = f'{report.peer}/{report.target}'
        self.load_tracker.report(key, report.load, self.clock.now())

    def _choose(
        self, call: calls.Call, tried: set[str]
    ) -> routing.Endpoint | None:
        endpoints = self._endpoints(call)
        now = self.clock.now()
        ejected = self.ejector.excluded(map(_target_id, endpoints), now)
        chosen = self._choose_among(endpoints, tried | ejected, now)
        if chosen is None and ejected:
            # All other targets were tried: an ejected one is better than none.
            chosen = self._choose_among(endpoints, tried, now)
        return chosen

    def _choose_among(
        self,
        endpoints: tuple[routing.Endpoint, ...],
        excluded: set[str],
        now: float,
    ) -> routing.Endpoint | None:
        return loadbalancing.choose(
            endpoints,
            self.zone,
            self.load_tracker,
            excluded,
            now,
            self.randomness,
        )

    def _clean_up(self) -> None:
        now = self.clock.now()
        self.load_tracker.forget(now)
        self.ejector.forget(now)
        self.guard.poison.forget(now)
        self.guard.discard_gone()

    async def _send(
        self, call: calls.Call, endpoint: routing.Endpoint
    ) -> calls.Outcome:
        if endpoint.host == self.replica.host:
            outcome = await self.guard.run(call, endpoint.name)
            self.load_tracker.report(
                loadbalancing.target_key(endpoint),
                self.guard.load_of(call.service, endpoint.name),
                self.clock.now(),
            )
            return outcome
        return await self.streams.run(
            endpoint.address,
            endpoint.call_port,
            endpoint.host,
            call,
            endpoint.name,
        )


def _target_id(endpoint: routing.Endpoint) -> ejection.TargetId:
    return ejection.TargetId(
        loadbalancing.target_key(endpoint),
        endpoint.host,
        endpoint.availability_zone,
    )
