"""The coordinator of one release: one daemon at a time decides for all.

The store's lease makes it one: whoever writes the coordinator's key under a
lease of some seconds leads, and each status is written only while that key
stands as it was written.  A coordinator that was paused or cut off for longer
than its lease can tell the fleet things, which a later one's epoch overrules,
but can't write that the release has completed.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
from typing import Protocol

from peridotpost.decisions import releaseplan
from peridotpost.kernel import lines
from peridotpost.kernel import tasks
from peridotpost.mesh import storefeed
from peridotpost.model import errors
from peridotpost.model import release
from peridotpost.proxy import deadlines

TICK_S = 0.1
ANNOUNCE_S = 0.5
"""Pause between two updates of a coordinator while nothing changes."""
LEASE_S = 2.0
RENEW_S = 0.6
STORE_SILENT_S = 1.3
"""After a renewal: how long the store counts as answering."""
FIRST_CLAIM_S = 0.15
"""Most that a daemon waits before it claims; all read an order at once."""
CLAIM_AGAIN_S = 2.5
"""Without an update of a coordinator for so long, another one is needed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTargets:
    """The targets of a service; see ``releaseplan.FleetView``."""

    reports: list[release.TargetReport]
    new_hosts: list[str]
    old_hosts: list[str]


class Fleet(Protocol):
    """How a coordinator reaches the other daemons."""

    exposure: float
    own: release.TargetReport

    @property
    def split(self) -> 'KnownReleases':
        """What was heard of releases."""

    def offer(self, state: release.ReleaseState) -> bool:
        """Keep to a state on this daemon."""

    def broadcast(self, state: release.ReleaseState) -> None:
        """Send it to all other daemons."""

    def view(self, order: release.ReleaseOrder) -> ServiceTargets:
        """Return what is known of the service's targets."""


class KnownReleases(Protocol):
    """The releases that a daemon knows."""

    def state(self, service: str) -> release.ReleaseState | None:
        """Return the newest state of a service's release."""

    def last_update_at(self, service: str) -> float:
        """Return when the coordinator's last update came."""

    def banned(self, order: release.ReleaseOrder) -> tuple[str, ...]:
        """Return the versions that an order leaves without work."""


class Coordinator:
    """Claims the lead of one release, and leads until it is final."""

    def __init__(
        self,
        order: release.ReleaseOrder,
        fleet: Fleet,
        feed: storefeed.Feed,
        randomness: random.Random,
        log: lines.LineLog,
    ) -> None:
        self.order = order
        self.fleet = fleet
        self.feed = feed
        self.randomness = randomness
        self.log = log
        # When the order was given, as far as this daemon knows.
        self.seen = deadlines.now()
        self.epoch = 0
        self.number = 0
        self.renewed = 0.0
        self.completing = False
        self.banned = fleet.split.banned(order)

    async def run(self) -> None:
        """See to it that the release has a coordinator, until it is final."""
        await asyncio.sleep(FIRST_CLAIM_S * self.randomness.random())
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
            await asyncio.sleep(RENEW_S * (0.5 + self.randomness.random()))
        await self._ensure_roll_back_written()

    async def _ensure_roll_back_written(self) -> None:
        """Write a roll-back whose coordinator ended before it did."""
        while not tasks.cancelled():
            state = self._heard()
            if state is None:
                return
            if state.order.revision != self.order.revision:
                return
            if state.stage is not release.Stage.ROLLED_BACK:
                return
            await asyncio.sleep(CLAIM_AGAIN_S * (1 + self.randomness.random()))
            try:
                if (
                    await self._adopt_final_status()
                    or await self._write_as_successor()
                ):
                    return
            except errors.StoreError as error:
                self._not_written(error)

    async def _write_as_successor(self) -> bool:
        """Claim the lead only to write the roll-back."""
        async with self._claimed() as claimed:
            return bool(claimed) and await self._write(
                release.Stage.ROLLED_BACK
            )

    def _heard(self) -> release.ReleaseState | None:
        """Return the newest state of this order or of a later one."""
        state = self.fleet.split.state(self.order.service)
        if state is None or state.order.revision < self.order.revision:
            return None
        return state

    def _has_ended(self) -> bool:
        state = self._heard()
        if state is None:
            return False
        later = state.order.revision > self.order.revision
        return later or state.stage.is_final

    def _has_coordinator(self) -> bool:
        if self._heard() is None:
            return False
        heard_at = self.fleet.split.last_update_at(self.order.service)
        return deadlines.now() - heard_at < CLAIM_AGAIN_S

    async def _claim_and_lead(self) -> None:
        if await self._adopt_final_status():
            return
        async with self._claimed() as claimed:
            # Who led before may have ended the release since it was read.
            if claimed and not await self._adopt_final_status():
                self.log.state(
                    'release',
                    service=self.order.service,
                    target_version=self.order.version,
                    to='led',
                    epoch=self.epoch,
                )
                await self._decide()

    async def _adopt_final_status(self) -> bool:
        """Tell of the release's end if the store holds one."""
        status = await self.feed.read_status(self.order.service)
        if status.stage is None or not status.stage.is_final:
            return False
        is_this = status.version == self.order.version
        if not is_this or status.revision < self.order.revision:
            return False
        self._announce(status.stage, 0.0, '')
        return True

    @contextlib.asynccontextmanager
    async def _claimed(self) -> AsyncIterator[bool]:
        """Hold the lead, if no other daemon does."""
        lease = await self.feed.grant_lease(LEASE_S)
        renewing = asyncio.ensure_future(self._renew(lease))
        try:
            epoch = await self.feed.claim(
                self.order.service, self.fleet.own.host, lease
            )
            self.epoch = epoch or 0
            self.renewed = deadlines.now()
            yield epoch is not None
        finally:
            await tasks.end(renewing)
            await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        try:
            await self.feed.end(lease)
        except errors.StoreError as error:
            self.log.state(
                'release',
                service=self.order.service,
                to='left-to-lapse',
                error=str(error),
            )

    async def _renew(self, lease: int) -> None:
        while not tasks.cancelled():
            await asyncio.sleep(RENEW_S)
            try:
                if not await self.feed.renew(lease):
                    self.epoch = 0
                    return
                self.renewed = deadlines.now()
            except errors.StoreError as error:
                self.log.state(
                    'release',
                    service=self.order.service,
                    to='store-lost',
                    error=str(error),
                )

    async def _decide(self) -> None:
        """Take the release from stage to stage while this daemon leads."""
        plan = self._plan()
        await self._write(release.Stage.CANARY)
        announced_at = 0.0
        announced: tuple[release.Stage, float, str] | None = None
        while self.epoch and not self._has_ended():
            now = deadlines.now()
            view = self._view()
            if not self.completing:
                plan.step(view, now)
            if plan.is_drained(view):
                # Its answer may be lost, and the old targets be stopped.
                self.completing = True
                if await self._write(release.Stage.COMPLETED):
                    plan.complete(now)
            share, focus = plan.share(now), plan.focus(view, now)
            news = (plan.stage, share, focus)
            if news != announced or now - announced_at >= ANNOUNCE_S:
                self._announce(plan.stage, share, focus)
                announced_at, announced = now, news
            if plan.stage is release.Stage.ROLLED_BACK:
                await self._roll_back(plan)
            await asyncio.sleep(TICK_S)

    def _plan(self) -> releaseplan.ReleasePlan:
        """Return a plan that goes on where the one before had come to."""
        now = deadlines.now()
        state = self._heard()
        stage = release.Stage.CANARY
        if state is not None:
            self.seen = min(self.seen, now - state.elapsed_s)
            stage = state.stage
        return releaseplan.ReleasePlan(
            self.order, self.fleet.exposure, self.seen, now, stage
        )

    def _view(self) -> releaseplan.FleetView:
        known = self.fleet.view(self.order)
        answers = deadlines.now() - self.renewed < STORE_SILENT_S
        return releaseplan.FleetView(
            known.reports, known.new_hosts, known.old_hosts, answers
        )

    def _announce(
        self, stage: release.Stage, share: float, focus: str
    ) -> None:
        self.number += 1
        state = release.ReleaseState(
            order=self.order,
            epoch=self.epoch,
            number=self.number,
            stage=stage,
            share=share,
            focus=focus,
            elapsed_s=max(0.0, deadlines.now() - self.seen),
            coordinator=self.fleet.own.host,
            banned=self.banned,
        )
        self.fleet.offer(state)
        self.fleet.broadcast(state)

    async def _roll_back(self, plan: releaseplan.ReleasePlan) -> None:
        """Write a roll-back that the fleet was told of until it stands."""
        found = plan.finding
        self.log.state(
            'release',
            service=self.order.service,
            target_version=self.order.version,
            to='rolled-back',
            route=found.route if found else '',
            measure=found.measure if found else 'unseen',
            share=round(found.share, 3) if found else 0.0,
            usual=round(found.usual, 3) if found else 0.0,
            runs=found.runs if found else 0,
        )
        while self.epoch and not await self._write(release.Stage.ROLLED_BACK):
            await asyncio.sleep(RENEW_S)

    async def _write(self, stage: release.Stage) -> bool:
        """Write a status; False where it does not stand for sure."""
        try:
            written = await self.feed.write_status(
                self.order, self.epoch, stage
            )
        except errors.StoreError as error:
            self._not_written(error)
            return False
        if not written:
            self.epoch = 0
        return written

    def _not_written(self, error: errors.StoreError) -> None:
        self.log.state(
            'release',
            service=self.order.service,
            to='not-written',
            error=str(error),
        )
