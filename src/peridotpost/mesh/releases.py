"""Releases of a version, as one daemon takes part in them.

Every daemon keeps to the newest state that a coordinator told: its ingress by
``releasesplit``, its guard by giving its target nothing new or by counting
its runs.  A daemon that reads an order from the store sees to it that there
is a coordinator (``mesh.releasecoordinator``).
"""

import asyncio
import random

from peridotpost.decisions import releasesplit
from peridotpost.decisions import verdict
from peridotpost.kernel import counters
from peridotpost.kernel import lines
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import releasecoordinator
from peridotpost.mesh import storefeed
from peridotpost.model import forwarding
from peridotpost.model import release
from peridotpost.proxy import deadlines
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import orders
from peridotpost.proxy import peers

REPORT_S = 0.25
"""Pause between two reports of a guard to the coordinator."""
FAILED_STATUS = 500


class Releases:
    """The part of one daemon in the releases of all services."""

    def __init__(
        self,
        split: releasesplit.ReleaseSplit,
        exposure: float,
        directory: directories.Directory,
        guard: guards.Guard,
        feed: storefeed.StoreFeed,
        randomness: random.Random,
        counts: counters.Counters,
        log: lines.LineLog,
    ) -> None:
        self.split = split
        self.exposure = exposure
        self.directory = directory
        self.guard = guard
        self.feed = feed
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.own = release.TargetReport(directory.own.host, '', False, {})
        self.own_instance = ''
        self.own_revision = 0
        self.cold_until = 0.0
        self.reporting: asyncio.Task[None] | None = None
        self.coordinating: dict[str, asyncio.Task[None]] = {}
        self.reports: dict[tuple[str, int], dict[str, release.TargetReport]]
        self.reports = {}
        directory.noticed.subscribe(self._noticed)
        directory.met_hook.subscribe(self._met)
        guard.changed.subscribe(lambda status: self._follow_own_service())
        feed.ordered.subscribe(self._ordered)

    async def close(self) -> None:
        ending = list(self.coordinating.values())
        if self.reporting is not None:
            ending.append(self.reporting)
        if ending:
            await tasks.end(*ending)

    # What a coordinator asks.

    def offer(self, state: release.ReleaseState) -> bool:
        """Keep to a state from now on; False if a newer one is known."""
        before = self.split.state(state.order.service)
        if not self.split.offer(state, deadlines.now()):
            return False
        if before is None or (before.order, before.stage) != (
            state.order,
            state.stage,
        ):
            self.log.state(
                'release',
                service=state.order.service,
                target_version=state.order.version,
                to=state.stage.name.lower(),
                coordinator=state.coordinator,
                epoch=state.epoch,
                elapsed_ms=round(state.elapsed_s * 1000),
            )
        self._follow_own_service()
        return True

    def broadcast(self, state: release.ReleaseState) -> None:
        self.directory.broadcast(orders.update_of(state))

    def view(
        self, order: release.ReleaseOrder
    ) -> releasecoordinator.ServiceTargets:
        """Return what this daemon knows of the service's targets.

        A host whose target is not known yet may run an old one.
        """
        new: list[str] = []
        old: list[str] = []
        for host, candidate, told in self.directory.known_targets():
            if not told:
                old.append(host)
            elif candidate.service != order.service:
                continue
            elif candidate.version != order.version:
                old.append(host)
            elif candidate.ready:
                new.append(host)
        reports = dict(self.reports.get((order.service, order.revision), {}))
        if self.own_revision == order.revision:
            reports[self.own.host] = self._own_report()
        return releasecoordinator.ServiceTargets(
            list(reports.values()), new, old
        )

    # Orders and words of others.

    def _ordered(self, order: release.ReleaseOrder) -> None:
        known = self.split.state(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        for key in list(self.reports):
            if key[0] == order.service:
                del self.reports[key]
        running = self.coordinating.get(order.service)
        if running is not None:
            running.cancel()
        self.counts.add('releases.ordered')
        coordinator = releasecoordinator.Coordinator(
            order, self, self.feed.feed, self.randomness, self.log
        )
        self.coordinating[order.service] = asyncio.ensure_future(
            coordinator.run()
        )

    def _met(self, stream: peers.PeerStream) -> None:
        """Tell a daemon that joins of the releases that are known."""
        if stream.dialled:
            return
        for known in self.split.releases.values():
            stream.send(orders.update_of(known.state))

    def _noticed(self, notice: directories.Notice) -> None:
        frame = notice.frame
        if isinstance(frame, frames.ReleaseUpdate):
            self.offer(orders.state_of(frame))
        elif isinstance(frame, frames.ReleaseReport):
            held = self.reports.setdefault((frame.service, frame.revision), {})
            host = notice.stream.host
            held[host] = orders.report_of(host, frame)

    # The own target.

    def _follow_own_service(self) -> None:
        """Do for the own target what the release of its service asks."""
        target = self.guard.instances.current
        if target is None:
            return
        state = self.split.state(target.service)
        self.guard.withhold(
            self.split.refuses_new_work(target.service, target.version)
        )
        if state is None:
            return
        is_active = not state.stage.is_final
        if is_active and self.own_revision != state.order.revision:
            self.own_revision = state.order.revision
            self.own.by_route = {}
        if target.instance != self.own_instance:
            self.own_instance = target.instance
            self.cold_until = deadlines.now() + target.cold_s
        self.own.version = target.version
        if is_active and self.reporting is None:
            self.guard.run_ended.subscribe(self._count)
            self.reporting = asyncio.ensure_future(self._report(state.order))

    async def _report(self, order: release.ReleaseOrder) -> None:
        """Report to the coordinator until the release is over."""
        try:
            while not tasks.cancelled():
                state = self.split.state(order.service)
                if state is None or state.stage.is_final:
                    return
                if state.coordinator != self.own.host:
                    report = self._own_report()
                    self.directory.tell(
                        state.coordinator,
                        orders.report_frame(state.order, report),
                    )
                await asyncio.sleep(REPORT_S)
        finally:
            self.guard.run_ended.unsubscribe(self._count)
            self.reporting = None

    def _own_report(self) -> release.TargetReport:
        gone = self.guard.instances.current is None
        self.own.drained = self.guard.is_idle and (gone or self.guard.withheld)
        return self.own

    def _count(self, end: guards.RunEnd) -> None:
        """Count a run of the own target."""
        runs = self.own.by_route.setdefault(
            end.order.route, release.RouteRuns()
        )
        answered = isinstance(end.outcome, forwarding.TargetAnswer)
        if not answered and not isinstance(end.outcome, forwarding.Lost):
            return
        if end.order.call_failed:
            # It failed for the calls that it made.
            return
        runs.runs += 1
        status = getattr(end.outcome, 'status', FAILED_STATUS)
        runs.failed += status >= FAILED_STATUS
        if end.at >= self.cold_until:
            bucket = verdict.bucket_of(end.at - end.order.started)
            runs.by_time[bucket] = runs.by_time.get(bucket, 0) + 1

    def own_stage(self) -> int:
        """Return the stage of the own service's release, 0 without one."""
        state = self.split.state(self.directory.own_candidate.service)
        return int(state.stage) if state is not None else 0
