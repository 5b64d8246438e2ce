"""Which version of a service's targets an ingress sends a request to.

Load pattern: targets of a new version start beside the old ones, as many as
these and idle.  Chosen by load alone they would get half of the requests at
once, the failures of a bad version with them.

- Without an order, the version that a service's targets had first gets all
  requests as long as one of these targets is ready; to a daemon that just
  started, the one that most of them have.
- During a release the new version gets a request for each
  ``(1 - share) / share`` that the old one has run, counted by each ingress
  for its own requests.  The sum over any number of ingresses keeps the
  share, whoever joins, restarts or is cut off.
- An ingress that has not heard from the coordinator for ``HOLD_S`` sends
  nothing to the new version.
- A version that was rolled back gets nothing; once a release has completed,
  all others get nothing.
"""

from collections.abc import Collection
import dataclasses

from peridotpost.decisions import targetstate
from peridotpost.model import release

HOLD_S = 1.5
"""Three times the pause between two updates of a coordinator."""
SETTLED_S = 3.0
"""By then a daemon has met the others.  Before, the version that it saw first
may be that of its own target, which came to replace theirs."""
MOST_CREDIT = 2.0
"""Requests that an ingress may hold back for the new version."""


@dataclasses.dataclass(slots=True)
class _Release:
    """A release as this daemon knows it.

    :param heard: when the coordinator's last update came.
    :param started: when the order was given, by this process's clock.
    :param credit: requests that may go to the new version.
    """

    state: release.ReleaseState
    heard: float
    started: float
    credit: float = 0.0


class ReleaseSplit:
    """The releases that one daemon knows, by service."""

    def __init__(self) -> None:
        self.releases: dict[str, _Release] = {}
        self.started: float | None = None
        self.first_version: dict[str, str] = {}

    def offer(self, state: release.ReleaseState, now: float) -> bool:
        """Take a coordinator's update; return whether it is news."""
        service = state.order.service
        known = self.releases.get(service)
        before = known.state if known is not None else None
        if not state.supersedes(before):
            return False
        if known is None or before is None or before.order != state.order:
            started = now - state.elapsed_s
            self.releases[service] = _Release(state, now, started)
            return True
        known.state = state
        known.heard = now
        return True

    def banned(self, order: release.ReleaseOrder) -> tuple[str, ...]:
        """Return the versions that a new order leaves without work.

        What was rolled back, or was not yet judged, is not to get the
        share of the old version.
        """
        state = self.state(order.service)
        if state is None or state.order.revision >= order.revision:
            return state.banned if state is not None else ()
        found = set(state.banned)
        if state.stage is not release.Stage.COMPLETED:
            found.add(state.order.version)
        return tuple(sorted(found - {order.version}))

    def state(self, service: str) -> release.ReleaseState | None:
        known = self.releases.get(service)
        return known.state if known is not None else None

    def heard_at(self, service: str) -> float:
        known = self.releases.get(service)
        return known.heard if known is not None else 0.0

    def takes_canary(self, service: str, now: float) -> bool:
        """Whether the next request goes to the new version; takes credit."""
        known = self.releases.get(service)
        if known is None or known.state.stage.is_final:
            return False
        if known.state.stage is release.Stage.DRAIN:
            return True
        if known.credit < 1 or now - known.heard > HOLD_S:
            return False
        known.credit -= 1
        return True

    def ran(self, service: str, version: str) -> None:
        """Note that a target of `version` ran a request of this ingress."""
        known = self.releases.get(service)
        if known is None or known.state.stage.is_final:
            return
        if version != known.state.order.version:
            share = min(0.99, known.state.share)
            earned = share / (1 - share)
            known.credit = min(MOST_CREDIT, known.credit + earned)

    def refuses(self, service: str, version: str) -> bool:
        """Whether a guard gives its target, of `version`, nothing new."""
        state = self.state(service)
        if state is None:
            return False
        is_new = version == state.order.version
        if version in state.banned:
            return True
        if state.stage is release.Stage.ROLLED_BACK:
            return is_new
        return state.stage >= release.Stage.DRAIN and not is_new

    def allowed(
        self,
        service: str,
        known: Collection[targetstate.Candidate],
        new: bool,
        now: float,
    ) -> list[targetstate.Candidate]:
        """Return the targets that a request may go to.

        :param new: whether the request is for the new version.
        """
        state = self.state(service)
        if state is None:
            return self._of_first_version(service, known, now)
        version = state.order.version
        stage = state.stage
        if state.banned:
            known = [one for one in known if one.version not in state.banned]
        if stage is release.Stage.ROLLED_BACK:
            return [one for one in known if one.version != version]
        if stage >= release.Stage.DRAIN:
            return [one for one in known if one.version == version]
        if not new:
            return [one for one in known if one.version != version]
        found = [one for one in known if one.version == version]
        focused = [one for one in found if one.host == state.focus]
        return focused or found

    def _of_first_version(
        self,
        service: str,
        known: Collection[targetstate.Candidate],
        now: float,
    ) -> list[targetstate.Candidate]:
        first = self.first_version.get(service)
        found = [one for one in known if one.version == first]
        if any(one.ready for one in found):
            return found
        ready = [one for one in known if one.ready]
        if not ready:
            return found
        first = _commonest(ready)
        if self.started is None:
            self.started = now
        if now - self.started >= SETTLED_S:
            self.first_version[service] = first
        return [one for one in ready if one.version == first]


def _commonest(ready: Collection[targetstate.Candidate]) -> str:
    counts: dict[str, int] = {}
    for one in ready:
        counts[one.version] = counts.get(one.version, 0) + 1
    return max(sorted(counts), key=counts.__getitem__)
