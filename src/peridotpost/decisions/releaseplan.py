"""How a release goes on: the decisions of its coordinator.

Load pattern: a service at its usual load whose targets are to be replaced by
as many of another version within ``duration_s``.  A bad version may get no
more than a share of the requests (``exposure``), and nothing soon after it
shows; the old targets are stopped without a drain as soon as the release is
said to have completed.

- ``CANARY``: part of the share goes to one new target at a time, so that it
  is as busy as it will be later, while the verdict is open.  As late as the
  deadline allows, since some versions turn bad after a while.
- ``SHIFT``: the share grows in steps, each long enough to see a bad version
  by the runs that it gets then.
- ``DRAIN``: the old version's guards refuse new requests.  A release
  completes when each target of it was reported to run nothing.  A target
  that can't be asked holds the release up: stopped, it would cut its runs.
- A bad verdict at any of these stages rolls back.  It is told to the fleet
  before it is written to the store, which may be out; ``COMPLETED`` is
  written first.
- Without the store nothing moves on, so that at most one coordinator
  completes a release.
"""

from collections.abc import Collection
import dataclasses

from peridotpost.decisions import verdict
from peridotpost.model import release

CANARY_PART = 0.5
"""Of the exposure; the rest is for the requests of the shift."""
SHIFT_SHARES = (0.25, 0.5)
STEP_S = 0.5
DRAIN_S = 2.0
"""Time that is kept for the runs of the old version to end."""
LEAST_CANARY_S = 3.0
LEAST_RUNS = 30
"""Of the new version before it gets a larger share."""
FOCUS_S = 1.0
UNSEEN_S = 10.0
"""After the deadline: a version without a target is given up."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """What a coordinator knows of a service's targets.

    :param new_hosts: with a ready target of the new version.
    :param old_hosts: with a target of another version that may still run.
    :param store_answers: whether the store can be written to.
    """

    reports: Collection[release.TargetReport]
    new_hosts: Collection[str]
    old_hosts: Collection[str]
    store_answers: bool


class ReleasePlan:
    """The course of one release.

    :param exposure: most of the service's requests that a bad version may
        get, 0 to 1.
    :param started: when the order was given, by the caller's clock.
    :param stage: where a coordinator before this one had come to.
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
        self.stage_at = now
        self.begun = now
        self.seen_at = now
        self.verdict = verdict.Verdict()
        self.finding: verdict.Finding | None = None

    @property
    def deadline(self) -> float:
        return self.started + self.order.duration_s

    @property
    def shift_at(self) -> float:
        """When the shift begins if nothing speaks against the version."""
        needed_s = len(SHIFT_SHARES) * STEP_S + DRAIN_S
        return max(self.started + LEAST_CANARY_S, self.deadline - needed_s)

    def step(self, view: FleetView, now: float) -> None:
        """Move on to the stage that follows from what is known now.

        The caller writes ``COMPLETED`` to the store and calls ``complete``
        once ``is_drained`` says so.
        """
        self.seen_at = now
        if self.stage.is_final:
            return
        version = self.order.version
        new = [one for one in view.reports if one.version == version]
        old = [one for one in view.reports if one.version != version]
        new_runs = verdict.pooled(new)
        self.finding = self.verdict.judge(verdict.pooled(old), new_runs)
        if self.finding is not None:
            self._enter(release.Stage.ROLLED_BACK, now)
        elif self.stage is release.Stage.CANARY:
            self._step_canary(view, new_runs, now)
        elif self.stage is release.Stage.SHIFT:
            if now - self.stage_at >= len(SHIFT_SHARES) * STEP_S:
                self._enter(release.Stage.DRAIN, now)

    def is_drained(self, view: FleetView) -> bool:
        """Whether nothing runs on the old version, nor will."""
        if self.stage is not release.Stage.DRAIN or not view.store_answers:
            return False
        if not self._is_settled:
            return False
        drained = {one.host for one in view.reports if one.drained}
        return drained.issuperset(view.old_hosts)

    def complete(self, now: float) -> None:
        self._enter(release.Stage.COMPLETED, now)

    def share(self, now: float) -> float:
        """Return the share of requests for the new version, 0 to 1."""
        if self.stage is release.Stage.CANARY:
            return CANARY_PART * self.exposure
        if self.stage is release.Stage.SHIFT:
            step = int((now - self.stage_at) / STEP_S)
            return SHIFT_SHARES[min(step, len(SHIFT_SHARES) - 1)]
        return 0.0 if self.stage is release.Stage.ROLLED_BACK else 1.0

    def focus(self, view: FleetView, now: float) -> str:
        """Return the host whose target gets the canary share; '' for all."""
        if self.stage is not release.Stage.CANARY or not view.new_hosts:
            return ''
        turn = int((now - self.started) / FOCUS_S)
        return sorted(view.new_hosts)[turn % len(view.new_hosts)]

    def _step_canary(
        self,
        view: FleetView,
        new_runs: dict[str, release.RouteRuns],
        now: float,
    ) -> None:
        if not view.new_hosts:
            if now > self.deadline + UNSEEN_S:
                self._enter(release.Stage.ROLLED_BACK, now)
            return
        if not view.store_answers:
            return
        if not view.old_hosts:
            # Nothing has to move, or nothing is left to fall back to.
            if self._is_settled:
                self._enter(release.Stage.DRAIN, now)
            return
        runs = sum(one.runs for one in new_runs.values())
        if now >= self.shift_at and runs >= LEAST_RUNS:
            self._enter(release.Stage.SHIFT, now)

    @property
    def _is_settled(self) -> bool:
        """Whether this coordinator has had time to meet all targets."""
        return self.seen_at - self.begun >= LEAST_CANARY_S

    def _enter(self, stage: release.Stage, now: float) -> None:
        self.stage = stage
        self.stage_at = now
