"""The stages of a release, as decided by its coordinator.

Load pattern: a service at its usual load, whose targets are to be replaced by
as many targets of another version within ``duration_s``.  A bad version may
get no more than a share of the requests (``exposure``), and none soon after
it is detected.  The platform stops the old targets without draining them as
soon as the release is reported as completed.

- ``CANARY``: part of the exposure goes to one new target at a time, so that
  this target is as busy as it will be later, while the version is evaluated.
  The stage lasts as long as the deadline allows, since some versions turn bad
  only after a while.
- ``SHIFT``: the share grows in steps, each long enough to detect a bad
  version by its additional runs.
- ``DRAIN``: the guards of the old version refuse new requests.  The release
  completes when each old target is reported to be idle.  An old target that
  can't be reached delays completion: stopping it would cut off its runs.
- A bad version is rolled back at any of these stages.  A roll-back is
  announced to the fleet before it is written to the store, which may be
  unavailable; ``COMPLETED`` is written first.
- Without the store the release doesn't advance, so that at most one
  coordinator completes it.
"""

from collections.abc import Collection
import dataclasses

from peridotpost.decisions import verdict
from peridotpost.model import release

CANARY_EXPOSURE_FRACTION = 0.5
"""The rest of the exposure is left for the requests of the shift."""
SHIFT_SHARES = (0.25, 0.5)
SHIFT_STEP_S = 0.5
DRAIN_ALLOWANCE_S = 2.0
"""Time reserved before the deadline for runs of the old version to end."""
MIN_CANARY_S = 3.0
"""Also the time in which a new coordinator connects to all targets."""
MIN_NEW_RUNS = 30
"""Runs of the new version that are needed before its share grows."""
CANARY_HOST_INTERVAL_S = 1.0
NO_TARGET_TIMEOUT_S = 10.0
"""A version without a target is rolled back this long after the deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """What a coordinator knows about a service's targets.

    :param new_hosts: hosts with a ready target of the new version.
    :param old_hosts: hosts whose target may still run another version.
    :param store_answers: whether the store can be written to.
    """

    reports: Collection[release.TargetReport]
    new_hosts: Collection[str]
    old_hosts: Collection[str]
    store_answers: bool


class ReleasePlan:
    """The state machine of one release.

    :param exposure: largest share of the service's requests that a bad
        version may get, 0 to 1.
    :param started: when the order was given, by the caller's clock.
    :param stage: stage that the previous coordinator reached.
    """

    def __init__(
        self,
        order: release.ReleaseOrder,
        exposure: float,
        started: float,
        now: float,
        stage: release.Stage = release.Stage.CANARY,
    ) -> None:
        self.order = order
        self.exposure = exposure
        self.started = started
        self.stage = stage
        self.stage_entered_at = now
        self.created_at = now
        self.last_step_at = now
        self.judge = verdict.CanaryJudge()
        self.finding: verdict.Finding | None = None

    @property
    def deadline(self) -> float:
        return self.started + self.order.duration_s

    @property
    def shift_at(self) -> float:
        """When the shift begins unless the version is found to be bad."""
        remaining_stages_s = (
            len(SHIFT_SHARES) * SHIFT_STEP_S + DRAIN_ALLOWANCE_S
        )
        return max(
            self.started + MIN_CANARY_S, self.deadline - remaining_stages_s
        )

    def step(self, view: FleetView, now: float) -> None:
        """Evaluate the new version and advance to the next stage if due.

        When ``is_drained`` returns True, the caller writes ``COMPLETED`` to
        the store and calls ``complete``.
        """
        self.last_step_at = now
        if self.stage.is_final:
            return
        version = self.order.version
        new = [report for report in view.reports if report.version == version]
        old = [report for report in view.reports if report.version != version]
        new_runs = verdict.runs_by_route(new)
        self.finding = self.judge.judge(verdict.runs_by_route(old), new_runs)
        if self.finding is not None:
            self._enter(release.Stage.ROLLED_BACK, now)
        elif self.stage is release.Stage.CANARY:
            self._step_canary(view, new_runs, now)
        elif self.stage is release.Stage.SHIFT:
            if now - self.stage_entered_at >= len(SHIFT_SHARES) * SHIFT_STEP_S:
                self._enter(release.Stage.DRAIN, now)

    def is_drained(self, view: FleetView) -> bool:
        """Whether the old version runs nothing and gets no new requests."""
        if self.stage is not release.Stage.DRAIN or not view.store_answers:
            return False
        if not self._is_settled:
            return False
        drained = {report.host for report in view.reports if report.drained}
        return drained.issuperset(view.old_hosts)

    def complete(self, now: float) -> None:
        self._enter(release.Stage.COMPLETED, now)

    def share(self, now: float) -> float:
        """Return the new version's share of the requests, 0 to 1."""
        if self.stage is release.Stage.CANARY:
            return CANARY_EXPOSURE_FRACTION * self.exposure
        if self.stage is release.Stage.SHIFT:
            step = int((now - self.stage_entered_at) / SHIFT_STEP_S)
            return SHIFT_SHARES[min(step, len(SHIFT_SHARES) - 1)]
        return 0.0 if self.stage is release.Stage.ROLLED_BACK else 1.0

    def canary_host(self, view: FleetView, now: float) -> str:
        """Return the host whose target gets the canary share; '' for all."""
        if self.stage is not release.Stage.CANARY or not view.new_hosts:
            return ''
        turn = int((now - self.started) / CANARY_HOST_INTERVAL_S)
        return sorted(view.new_hosts)[turn % len(view.new_hosts)]

    def _step_canary(
        self,
        view: FleetView,
        new_runs: dict[str, release.RouteRunCounts],
        now: float,
    ) -> None:
        if not view.new_hosts:
            if now > self.deadline + NO_TARGET_TIMEOUT_S:
                self._enter(release.Stage.ROLLED_BACK, now)
            return
        if not view.store_answers:
            return
        if not view.old_hosts:
            # There is nothing to shift from, or to roll back to.
            if self._is_settled:
                self._enter(release.Stage.DRAIN, now)
            return
        runs = sum(route_runs.runs for route_runs in new_runs.values())
        if now >= self.shift_at and runs >= MIN_NEW_RUNS:
            self._enter(release.Stage.SHIFT, now)

    @property
    def _is_settled(self) -> bool:
        """Whether this coordinator has had time to connect to all targets."""
        return self.last_step_at - self.created_at >= MIN_CANARY_S

    def _enter(self, stage: release.Stage, now: float) -> None:
        self.stage = stage
        self.stage_entered_at = now
