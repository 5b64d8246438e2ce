"""The coordinator of a release: one elected daemon decides for the fleet.

The leader is elected through the store: the daemon that writes the
coordinator's key under a short lease leads, and every write of the status is
conditional on that key being unchanged.  A coordinator that was paused or cut
off for longer than its lease may still send updates to the fleet, which the
higher epoch of its successor overrides, but it can't write that the release
has completed.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
from typing import Protocol

from peridotpost.decisions import releaseplan
from peridotpost.kernel import jsonlog
from peridotpost.kernel import tasks
from peridotpost.mesh import storefeed
from peridotpost.model import errors
from peridotpost.model import release
from peridotpost.proxy import deadlines

TICK_INTERVAL_S = 0.1
ANNOUNCE_INTERVAL_S = 0.5
"""Interval of a coordinator's updates while nothing changes."""
LEASE_TTL_S = 2.0
RENEW_INTERVAL_S = 0.6
STORE_ANSWER_MAX_AGE_S = 1.3
"""How long after a renewal the store counts as reachable."""
MAX_FIRST_CLAIM_DELAY_S = 0.15
"""Upper bound of the random delay before a daemon claims the lead, since all
daemons read an order at the same time."""
COORDINATOR_TIMEOUT_S = 2.5
"""Another coordinator is needed after this time without an update."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTargets:
    """The targets of a service; see ``releaseplan.FleetView``."""

    reports: list[release.TargetReport]
    new_hosts: list[str]
    old_hosts: list[str]


class Fleet(Protocol):
    """The coordinator's access to its own and the other daemons.

    :param exposure: largest share of the service's requests that a bad
        version may get, see ``releaseplan.ReleasePlan``.
    """

    exposure: float
    own_report: release.TargetReport

    @property
    def split(self) -> 'KnownReleases':
        """The releases known to this daemon."""

    def offer(self, state: release.ReleaseState) -> bool:
        """Apply a state here; return False if a newer one is known."""

    def broadcast(self, state: release.ReleaseState) -> None:
        """Send a state to all other daemons."""

    def service_targets(self, order: release.ReleaseOrder) -> ServiceTargets:
        """Return the known targets of the order's service."""


class KnownReleases(Protocol):
    """The releases known to a daemon."""

    def state(self, service: str) -> release.ReleaseState | None:
        """Return the newest state of a service's release."""

    def last_update_at(self, service: str) -> float:
        """Return when the coordinator's last update arrived."""

    def versions_to_reject(
        self, order: release.ReleaseOrder
    ) -> tuple[str, ...]:
        """Return the versions that get no requests under an order."""


class Coordinator:
    """Claims the lead of one release and leads it until it is final.

    :param epoch: epoch of the claim; 0 while this daemon does not lead.
    :param update_number: number of the last update that it announced.
    """

    def __init__(
        self,
        order: release.ReleaseOrder,
        fleet: Fleet,
        feed: storefeed.Feed,
        randomness: random.Random,
        log: jsonlog.JsonLog,
    ) -> None:
        self.order = order
        self.fleet = fleet
        self.feed = feed
        self.randomness = randomness
        self.log = log
        # When the order was given, as far as known to this daemon.
        self.ordered_at = deadlines.now()
        self.epoch = 0
        self.update_number = 0
        self.renewed_at = 0.0
        self.completing = False
        self.rejected_versions = fleet.split.versions_to_reject(order)

    async def run(self) -> None:
        """Ensure that the release has a coordinator until it is final."""
        await asyncio.sleep(MAX_FIRST_CLAIM_DELAY_S * self.randomness.random())
        while not tasks.cancelled() and not self._has_ended():
            if not self._has_coordinator():
                try:
                    await self._claim_and_lead()
                except errors.StoreError as error:
                    self.log.state(
                        'release',
                        service=self.order.service,
                        to='not-led',
                        error=str(error),
                    )
            await asyncio.sleep(
                RENEW_INTERVAL_S * (0.5 + self.randomness.random())
            )
        await self._ensure_roll_back_written()

    async def _ensure_roll_back_written(self) -> None:
        """Write a roll-back if its coordinator stopped before writing it."""
        while not tasks.cancelled():
            state = self._known_state()
            if state is None:
                return
            if state.order.revision != self.order.revision:
                return
            if state.stage is not release.Stage.ROLLED_BACK:
                return
            await asyncio.sleep(
                COORDINATOR_TIMEOUT_S * (1 + self.randomness.random())
            )
            try:
                if (
                    await self._adopt_final_status()
                    or await self._write_as_successor()
                ):
                    return
            except errors.StoreError as error:
                self._log_write_failure(error)

    async def _write_as_successor(self) -> bool:
        """Claim the lead only to write the roll-back."""
        async with self._holding_claim() as claimed:
            return bool(claimed) and await self._write_status(
                release.Stage.ROLLED_BACK
            )

    def _known_state(self) -> release.ReleaseState | None:
        """Return the newest state of this order or a later one."""
        state = self.fleet.split.state(self.order.service)
        if state is None or state.order.revision < self.order.revision:
            return None
        return state

    def _has_ended(self) -> bool:
        """Whether it is final or replaced by a later order."""
        state = self._known_state()
        if state is None:
            return False
        later = state.order.revision > self.order.revision
        return later or state.stage.is_final

    def _has_coordinator(self) -> bool:
        if self._known_state() is None:
            return False
        updated_at = self.fleet.split.last_update_at(self.order.service)
        return deadlines.now() - updated_at < COORDINATOR_TIMEOUT_S

    async def _claim_and_lead(self) -> None:
        if await self._adopt_final_status():
            return
        async with self._holding_claim() as claimed:
            # The previous leader may have ended the release since the read.
            if claimed and not await self._adopt_final_status():
                self.log.state(
                    'release',
                    service=self.order.service,
                    target_version=self.order.version,
                    to='led',
                    epoch=self.epoch,
                )
                await self._lead()

    async def _adopt_final_status(self) -> bool:
        """Announce the release's final status if the store has one."""
        status = await self.feed.read_status(self.order.service)
        if status.stage is None or not status.stage.is_final:
            return False
        same_version = status.version == self.order.version
        if not same_version or status.revision < self.order.revision:
            return False
        self._announce(status.stage, 0.0, '')
        return True

    @contextlib.asynccontextmanager
    async def _holding_claim(self) -> AsyncIterator[bool]:
        """Hold the lead unless another daemon holds it."""
        lease = await self.feed.grant_lease(LEASE_TTL_S)
        renewing = asyncio.ensure_future(self._renew(lease))
        try:
            epoch = await self.feed.claim(
                self.order.service, self.fleet.own_report.host, lease
            )
            self.epoch = epoch or 0
            self.renewed_at = deadlines.now()
            yield epoch is not None
        finally:
            await tasks.cancel_and_wait(renewing)
            await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        try:
            await self.feed.end_lease(lease)
        except errors.StoreError as error:
            self.log.state(
                'release',
                service=self.order.service,
                to='left-to-lapse',
                error=str(error),
            )

    async def _renew(self, lease: int) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(RENEW_INTERVAL_S)
            try:
                if not await self.feed.renew_lease(lease):
                    self.epoch = 0
                    return
                self.renewed_at = deadlines.now()
            except errors.StoreError as error:
                self.log.state(
                    'release',
                    service=self.order.service,
                    to='store-lost',
                    error=str(error),
                )

    async def _lead(self) -> None:
        """Advance the release through its stages while this daemon leads."""
        plan = self._make_plan()
        await self._write_status(release.Stage.CANARY)
        announced_at = 0.0
        last_update: tuple[release.Stage, float, str] | None = None
        while self.epoch and not self._has_ended():
            now = deadlines.now()
            view = self._fleet_view()
            if not self.completing:
                plan.step(view, now)
            if plan.is_drained(view):
                # The write may take effect although its answer is lost, and
                # the old targets are stopped then: no more steps from here.
                self.completing = True
                if await self._write_status(release.Stage.COMPLETED):
                    plan.complete(now)
            share, canary_host = plan.share(now), plan.canary_host(view, now)
            update = (plan.stage, share, canary_host)
            if (
                update != last_update
                or now - announced_at >= ANNOUNCE_INTERVAL_S
            ):
                self._announce(plan.stage, share, canary_host)
                announced_at, last_update = now, update
            if plan.stage is release.Stage.ROLLED_BACK:
                await self._roll_back(plan)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _make_plan(self) -> releaseplan.ReleasePlan:
        """Return a plan that resumes at the stage the predecessor reached."""
        now = deadlines.now()
        state = self._known_state()
        stage = release.Stage.CANARY
        if state is not None:
            self.ordered_at = min(self.ordered_at, now - state.elapsed_s)
            stage = state.stage
        return releaseplan.ReleasePlan(
            self.order, self.fleet.exposure, self.ordered_at, now, stage
        )

    def _fleet_view(self) -> releaseplan.FleetView:
        targets = self.fleet.service_targets(self.order)
        store_answers = (
            deadlines.now() - self.renewed_at < STORE_ANSWER_MAX_AGE_S
        )
        return releaseplan.FleetView(
            targets.reports,
            targets.new_hosts,
            targets.old_hosts,
            store_answers,
        )

    def _announce(
        self, stage: release.Stage, share: float, canary_host: str
    ) -> None:
        self.update_number += 1
        state = release.ReleaseState(
            order=self.order,
            epoch=self.epoch,
            number=self.update_number,
            stage=stage,
            share=share,
            canary_host=canary_host,
            elapsed_s=max(0.0, deadlines.now() - self.ordered_at),
            coordinator=self.fleet.own_report.host,
            rejected_versions=self.rejected_versions,
        )
        self.fleet.offer(state)
        self.fleet.broadcast(state)

    async def _roll_back(self, plan: releaseplan.ReleasePlan) -> None:
        """Log an announced roll-back and retry until it is written."""
        finding = plan.finding
        self.log.state(
            'release',
            service=self.order.service,
            target_version=self.order.version,
            to='rolled-back',
            route=finding.route if finding else '',
            measure=finding.measure if finding else 'unseen',
            share=round(finding.share, 3) if finding else 0.0,
            usual=round(finding.usual, 3) if finding else 0.0,
            runs=finding.runs if finding else 0,
        )
        while self.epoch and not await self._write_status(
            release.Stage.ROLLED_BACK
        ):
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _write_status(self, stage: release.Stage) -> bool:
        """Write a status; return False unless the write is confirmed."""
        try:
            written = await self.feed.write_status(
                self.order, self.epoch, stage
            )
        except errors.StoreError as error:
            self._log_write_failure(error)
            return False
        if not written:
            self.epoch = 0
        return written

    def _log_write_failure(self, error: errors.StoreError) -> None:
        self.log.state(
            'release',
            service=self.order.service,
            to='not-written',
            error=str(error),
        )
