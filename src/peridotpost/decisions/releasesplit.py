"""Splits the requests of a service between the versions of its targets.

Load pattern: targets of a new version start beside the old ones, equal in
number and idle.  If targets were selected by load alone, the new ones would
get half of the requests at once, including the failures of a bad version.

- Without an order, the first version that the service's targets had gets all
  requests as long as one of those targets is ready.  For a daemon that just
  started, this is the version that most targets have.  A target that is
  suspected for a moment still counts; another version only takes the place of
  the first one once no target of the first was ready for ``DISCOVERY_S``.
- During a release the new version gets one request for each
  ``(1 - share) / share`` requests that the old one has run, counted by each
  ingress for its own requests.  The total over any number of ingresses keeps
  to the share, whichever of them join, restart or are cut off.
- An ingress that got no update from the coordinator for ``UPDATE_TIMEOUT_S``
  sends nothing to the new version.
- A version that was rolled back gets no requests; once a release has
  completed, no other version gets any.
"""

import collections
from collections.abc import Collection
import dataclasses

from peridotpost.decisions import targetstate
from peridotpost.model import release

UPDATE_TIMEOUT_S = 1.5
"""Three times the interval of a coordinator's updates."""
DISCOVERY_S = 3.0
"""Time in which a daemon that started connects to the others, and in which a
target that only seemed unreachable is back.  Earlier, the first version it
sees may be that of its own target, which is to replace theirs."""
MAX_CREDIT = 2.0
"""Bound on the requests that an ingress may owe to the new version."""


@dataclasses.dataclass(slots=True)
class _Release:
    """A release as known to this daemon.

    :param last_update_at: when the coordinator's last update arrived.
    :param started_at: when the order was given, by this process's clock.
    :param credit: number of requests that may go to the new version.
    """

    state: release.ReleaseState
    last_update_at: float
    started_at: float
    credit: float = 0.0


@dataclasses.dataclass(slots=True)
class _Discovery:
    """Search for the first version of a service without a release.

    :param started_at: when no target of a known first version was ready.
    :param version_by_host: versions of all targets seen ready since then.
    """

    started_at: float
    version_by_host: dict[str, str] = dataclasses.field(default_factory=dict)

    def most_common_version(
        self, ready: Collection[targetstate.Candidate]
    ) -> str:
        """Add ready targets; return the version of most targets seen."""
        for candidate in ready:
            self.version_by_host[candidate.host] = candidate.version
        counts = collections.Counter(self.version_by_host.values())
        served = {candidate.version for candidate in ready}
        return max(sorted(served), key=counts.__getitem__)


class ReleaseSplit:
    """The releases known to one daemon, by service."""

    def __init__(self) -> None:
        self.releases: dict[str, _Release] = {}
        self.discoveries: dict[str, _Discovery] = {}
        self.first_version_by_service: dict[str, str] = {}

    def offer(self, state: release.ReleaseState, now: float) -> bool:
        """Apply a coordinator's update; return whether it was newer."""
        service = state.order.service
        known_release = self.releases.get(service)
        before = known_release.state if known_release is not None else None
        if not state.supersedes(before):
            return False
        if (
            known_release is None
            or before is None
            or before.order != state.order
        ):
            started_at = now - state.elapsed_s
            self.releases[service] = _Release(state, now, started_at)
            return True
        known_release.state = state
        known_release.last_update_at = now
        return True

    def versions_to_reject(
        self, order: release.ReleaseOrder
    ) -> tuple[str, ...]:
        """Return the `rejected_versions` of a new order's states.

        A version that was rolled back, or whose release did not complete,
        must not get the old version's share.
        """
        state = self.state(order.service)
        if state is None or state.order.revision >= order.revision:
            return state.rejected_versions if state is not None else ()
        versions = set(state.rejected_versions)
        if state.stage is not release.Stage.COMPLETED:
            versions.add(state.order.version)
        return tuple(sorted(versions - {order.version}))

    def state(self, service: str) -> release.ReleaseState | None:
        known_release = self.releases.get(service)
        return known_release.state if known_release is not None else None

    def last_update_at(self, service: str) -> float:
        known_release = self.releases.get(service)
        return (
            known_release.last_update_at if known_release is not None else 0.0
        )

    def spend_canary_credit(self, service: str, now: float) -> bool:
        """Whether the next request goes to the new version; spends credit."""
        known_release = self.releases.get(service)
        if known_release is None or known_release.state.stage.is_final:
            return False
        if known_release.state.stage is release.Stage.DRAIN:
            return True
        if (
            known_release.credit < 1
            or now - known_release.last_update_at > UPDATE_TIMEOUT_S
        ):
            return False
        known_release.credit -= 1
        return True

    def record_run(self, service: str, version: str) -> None:
        """Record that a target of `version` ran a request of this ingress."""
        known_release = self.releases.get(service)
        if known_release is None or known_release.state.stage.is_final:
            return
        if version != known_release.state.order.version:
            share = min(0.99, known_release.state.share)
            # The share is capped because 1 would earn infinite credit.
            earned = share / (1 - share)
            known_release.credit = min(
                MAX_CREDIT, known_release.credit + earned
            )

    def refuses_new_work(self, service: str, version: str) -> bool:
        """Whether a guard withholds new work from its target of `version`."""
        state = self.state(service)
        if state is None:
            return False
        is_new = version == state.order.version
        if version in state.rejected_versions:
            return True
        if state.stage is release.Stage.ROLLED_BACK:
            return is_new
        return state.stage >= release.Stage.DRAIN and not is_new

    def eligible_targets(
        self,
        service: str,
        candidates: Collection[targetstate.Candidate],
        new: bool,
        now: float,
    ) -> list[targetstate.Candidate]:
        """Return the targets that a request may be sent to.

        :param new: whether the request is for the new version.
        """
        state = self.state(service)
        if state is None:
            return self._targets_of_first_version(service, candidates, now)
        version = state.order.version
        stage = state.stage
        if state.rejected_versions:
            candidates = [
                candidate
                for candidate in candidates
                if candidate.version not in state.rejected_versions
            ]
        if stage is release.Stage.ROLLED_BACK:
            return [
                candidate
                for candidate in candidates
                if candidate.version != version
            ]
        if stage >= release.Stage.DRAIN:
            return [
                candidate
                for candidate in candidates
                if candidate.version == version
            ]
        if not new:
            return [
                candidate
                for candidate in candidates
                if candidate.version != version
            ]
        new_targets = [
            candidate
            for candidate in candidates
            if candidate.version == version
        ]
        canary_targets = [
            candidate
            for candidate in new_targets
            if candidate.host == state.canary_host
        ]
        return canary_targets or new_targets

    def _targets_of_first_version(
        self,
        service: str,
        candidates: Collection[targetstate.Candidate],
        now: float,
    ) -> list[targetstate.Candidate]:
        first_version = self.first_version_by_service.get(service)
        targets = [
            candidate
            for candidate in candidates
            if candidate.version == first_version
        ]
        if any(candidate.ready for candidate in targets):
            self.discoveries.pop(service, None)
            return targets
        ready = [candidate for candidate in candidates if candidate.ready]
        if not ready:
            return targets
        discovery = self.discoveries.setdefault(service, _Discovery(now))
        version = discovery.most_common_version(ready)
        if now - discovery.started_at >= DISCOVERY_S:
            self.first_version_by_service[service] = version
            del self.discoveries[service]
        return [
            candidate for candidate in ready if candidate.version == version
        ]
