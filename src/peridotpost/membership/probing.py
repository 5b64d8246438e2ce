"""Runs the probes of each period and applies ``decisions.observer``."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import random
from typing import Protocol

from peridotpost.decisions import observer as observers
from peridotpost.decisions import suspicion
from peridotpost.kernel import counters
from peridotpost.kernel import timers
from peridotpost.membership import pings
from peridotpost.model import members


class MemberView(Protocol):
    """The part of the replica that the prober needs."""

    def record_of(self, host: str) -> members.MemberRecord | None: ...

    def live(self) -> Collection[members.MemberRecord]: ...

    def offer(self, record: members.MemberRecord) -> None: ...


class Prober:
    """Probes members each period and acts on the conclusions."""

    def __init__(
        self,
        host: str,
        zone: str,
        fleet: MemberView,
        clock: timers.TimerService,
        counts: counters.Counters,
        randomness: random.Random,
        period_s: float,
        timeout_s: float,
        suspicion_s: float,
    ) -> None:
        self.host = host
        self.zone = zone
        self.fleet = fleet
        self.clock = clock
        self.counts = counts
        self.period_s = period_s
        self.timeout_s = timeout_s
        self.observer = observers.Observer(randomness, suspicion_s)
        self.pause_detector = suspicion.PauseDetector(period_s, clock.now())
        self.pause_listeners: list[Callable[[], None]] = []
        self.pings = pings.ProbeEndpoint(
            host, fleet, counts, randomness, timeout_s
        )

    def observe(self, record: members.MemberRecord) -> None:
        """Update the suspicions with a member's record from any source."""
        self.observer.suspicions.observe(record, self.clock.now())

    async def tick(self) -> None:
        """Probe the members due in this period and act on the results."""
        now = self.clock.now()
        if self.pause_detector.paused(now):
            # After a pause all timers have expired; acting on them would
            # declare half of the zone dead.
            self._handle_own_pause(now)
            return
        others = [one for one in self.fleet.live() if one.host != self.host]
        candidates = suspicion.hosts_to_probe(self.zone, others)
        subjects = self.observer.select_subjects(candidates, now)
        await asyncio.gather(
            *(self._probe(subject, others) for subject in subjects)
        )
        ended_at = self.clock.now()
        if suspicion.wait_overran(
            pings.TIMEOUTS_PER_PROBE * self.timeout_s,
            ended_at - now,
            self.period_s,
        ):
            self._handle_own_pause(ended_at)
        self.pause_detector.reset(ended_at)

    def _handle_own_pause(self, now: float) -> None:
        self.counts.add('probe.own-pause')
        self.observer.suspicions.restart(now)
        for listener in self.pause_listeners:
            listener()

    async def _probe(
        self, subject: str, others: list[members.MemberRecord]
    ) -> None:
        record = self.fleet.record_of(subject)
        if record is None:
            return
        result = await self._probe_result(record, others)
        latest = self.fleet.record_of(subject)
        if latest is None or latest.incarnation != record.incarnation:
            return
        verdict = self.observer.evaluate(latest, result, self.clock.now())
        self.counts.add(f'probe.{verdict.value}')
        if verdict is observers.Verdict.SUSPECTED:
            self.fleet.offer(suspicion.suspected(latest))
        elif verdict is observers.Verdict.DEAD:
            self.fleet.offer(suspicion.dead(latest))

    async def _probe_result(
        self,
        record: members.MemberRecord,
        others: list[members.MemberRecord],
    ) -> observers.ProbeResult:
        started = self.clock.now()
        if await self.pings.ping(record):
            return observers.ProbeResult(answered=True)
        zone_hosts = [
            one.host for one in others if one.availability_zone == self.zone
        ]
        remote_hosts = [
            one.host for one in others if one.availability_zone != self.zone
        ]
        helpers = self.observer.probe_round.helpers(
            record.host, zone_hosts, remote_hosts
        )
        answered, heard = await self.pings.ping_via(record, helpers)
        elapsed_s = self.clock.now() - started
        return observers.ProbeResult(
            answered,
            len(helpers),
            heard,
            suspicion.wait_overran(
                pings.TIMEOUTS_PER_PROBE * self.timeout_s,
                elapsed_s,
                self.period_s,
            ),
        )

    async def answers(self, host: str) -> bool:
        """Whether `host` answers a probe now; its status is unaffected.

        A host without a record yet is assumed to answer.
        """
        record = self.fleet.record_of(host)
        return record is None or await self.pings.ping(record)
