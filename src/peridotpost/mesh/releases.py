"""The part that one daemon takes in releases.

Every daemon applies the newest state sent by a coordinator: its ingress
splits traffic (``releasesplit``), its guard withholds new work from its
target or counts the target's runs.  A daemon that reads an order from the
store ensures that there is a coordinator (``mesh.releasecoordinator``).
"""

import asyncio
import random

from peridotpost.decisions import attempts
from peridotpost.decisions import releasesplit
from peridotpost.decisions import verdict
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.kernel import tasks
from peridotpost.mesh import directory as directories
from peridotpost.mesh import releasecoordinator
from peridotpost.mesh import storefeed
from peridotpost.model import forwarding
from peridotpost.model import release
from peridotpost.proxy import deadlines
from peridotpost.proxy import frameconversion
from peridotpost.proxy import frames
from peridotpost.proxy import guard as guards
from peridotpost.proxy import peers

REPORT_INTERVAL_S = 0.25
"""Interval of a daemon's reports to the coordinator."""


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
        log: jsonlog.JsonLog,
    ) -> None:
        self.split = split
        self.exposure = exposure
        self.directory = directory
        self.guard = guard
        self.feed = feed
        self.randomness = randomness
        self.counts = counts
        self.log = log
        self.own_report = release.TargetReport(
            directory.own_record.host, '', False, {}
        )
        self.own_instance = ''
        self.counted_revision = 0
        self.cold_until = 0.0
        self.report_task: asyncio.Task[None] | None = None
        self.coordinator_tasks: dict[str, asyncio.Task[None]] = {}
        self.reports: dict[tuple[str, int], dict[str, release.TargetReport]]
        self.reports = {}
        directory.frame_received.subscribe(self._handle_frame)
        directory.stream_greeted.subscribe(self._send_known_releases)
        guard.status_changed.subscribe(
            lambda status: self._apply_to_own_target()
        )
        feed.release_ordered.subscribe(self._handle_order)

    async def close(self) -> None:
        running = list(self.coordinator_tasks.values())
        if self.report_task is not None:
            running.append(self.report_task)
        if running:
            await tasks.cancel_and_wait(*running)

    # Interface for the coordinator.

    def offer(self, state: release.ReleaseState) -> bool:
        """Apply a state; return False if a newer one is known."""
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
        self._apply_to_own_target()
        return True

    def broadcast(self, state: release.ReleaseState) -> None:
        self.directory.broadcast(frameconversion.release_update_frame(state))

    def service_targets(
        self, order: release.ReleaseOrder
    ) -> releasecoordinator.ServiceTargets:
        """Return the known targets of the order's service.

        A host whose target is unknown counts as running an old version.
        """
        new_hosts: list[str] = []
        old_hosts: list[str] = []
        for host, candidate, status_known in self.directory.known_targets():
            if not status_known:
                old_hosts.append(host)
            elif candidate.service != order.service:
                continue
            elif candidate.version != order.version:
                old_hosts.append(host)
            elif candidate.ready:
                new_hosts.append(host)
        reports = dict(self.reports.get((order.service, order.revision), {}))
        if self.counted_revision == order.revision:
            reports[self.own_report.host] = self._current_report()
        return releasecoordinator.ServiceTargets(
            list(reports.values()), new_hosts, old_hosts
        )

    # Orders and messages of other daemons.

    def _handle_order(self, order: release.ReleaseOrder) -> None:
        known = self.split.state(order.service)
        if known is not None and known.order.revision >= order.revision:
            return
        for key in list(self.reports):
            if key[0] == order.service:
                del self.reports[key]
        running = self.coordinator_tasks.get(order.service)
        if running is not None:
            running.cancel()
        self.counts.add('releases.ordered')
        coordinator = releasecoordinator.Coordinator(
            order, self, self.feed.feed, self.randomness, self.log
        )
        self.coordinator_tasks[order.service] = asyncio.ensure_future(
            coordinator.run()
        )

    def _send_known_releases(self, stream: peers.PeerStream) -> None:
        """Send the known releases to a daemon that joins."""
        if stream.dialled:
            return
        for known_release in self.split.releases.values():
            stream.send(
                frameconversion.release_update_frame(known_release.state)
            )

    def _handle_frame(self, received: directories.ReceivedFrame) -> None:
        frame = received.frame
        if isinstance(frame, frames.ReleaseUpdate):
            self.offer(frameconversion.release_state_from_frame(frame))
        elif isinstance(frame, frames.ReleaseReport):
            reports_by_host = self.reports.setdefault(
                (frame.service, frame.revision), {}
            )
            host = received.stream.host
            reports_by_host[host] = frameconversion.target_report_from_frame(
                host, frame
            )

    # The own target.

    def _apply_to_own_target(self) -> None:
        """Apply the state of its service's release to the own target."""
        target = self.guard.instances.current
        if target is None:
            return
        state = self.split.state(target.service)
        self.guard.withhold(
            guards.Withholding.RELEASE,
            self.split.refuses_new_work(target.service, target.version),
        )
        if state is None:
            return
        is_active = not state.stage.is_final
        if is_active and self.counted_revision != state.order.revision:
            self.counted_revision = state.order.revision
            self.own_report.by_route = {}
        if target.instance != self.own_instance:
            self.own_instance = target.instance
            self.cold_until = deadlines.now() + target.cold_s
        self.own_report.version = target.version
        if is_active and self.report_task is None:
            self.guard.run_ended.subscribe(self._count_run)
            self.report_task = asyncio.ensure_future(
                self._send_reports(state.order)
            )

    async def _send_reports(self, order: release.ReleaseOrder) -> None:
        """Send reports to the coordinator until the release is over."""
        try:
            while not tasks.cancelled():
                state = self.split.state(order.service)
                if state is None or state.stage.is_final:
                    return
                if state.coordinator != self.own_report.host:
                    report = self._current_report()
                    self.directory.send_frame(
                        state.coordinator,
                        frameconversion.release_report_frame(
                            state.order, report
                        ),
                    )
                await asyncio.sleep(REPORT_INTERVAL_S)
        finally:
            self.guard.run_ended.unsubscribe(self._count_run)
            self.report_task = None

    def _current_report(self) -> release.TargetReport:
        has_no_target = self.guard.instances.current is None
        self.own_report.drained = self.guard.has_no_work and (
            has_no_target or guards.Withholding.RELEASE in self.guard.withheld
        )
        return self.own_report

    def _count_run(self, end: forwarding.RunEnd) -> None:
        """Count a run of the own target."""
        runs = self.own_report.by_route.setdefault(
            end.order.route, release.RouteRunCounts()
        )
        answered = isinstance(end.outcome, forwarding.TargetAnswer)
        if not answered and not isinstance(
            end.outcome, forwarding.ResponseLost
        ):
            return
        if end.order.call_failed:
            # A failed downstream call is not the target's own failure.
            return
        runs.runs += 1
        status = getattr(end.outcome, 'status', attempts.FAILED_STATUS)
        runs.failed += attempts.is_failure(status)
        if end.at >= self.cold_until:
            bucket = verdict.bucket_of(end.at - end.order.started)
            runs.by_run_time[bucket] = runs.by_run_time.get(bucket, 0) + 1

    def own_stage(self) -> int:
        """Return the stage of the own service's release, 0 if it has none."""
        state = self.split.state(self.directory.own_candidate.service)
        return int(state.stage) if state is not None else 0
