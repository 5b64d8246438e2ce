"""Releases, which move a service's traffic to targets of another version."""

import dataclasses
import enum


class Stage(enum.IntEnum):
    """Stage of a release; the last two are final.

    ``CANARY``: the new version gets a small share of the requests.
    ``SHIFT``: its share is increased.  ``DRAIN``: the old version gets no new
    requests and finishes those that are running.
    """

    CANARY = 1
    SHIFT = 2
    DRAIN = 3
    COMPLETED = 4
    ROLLED_BACK = 5

    @property
    def is_final(self) -> bool:
        return self >= Stage.COMPLETED


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """An operator's order to release a version.

    :param version: version of the targets that take over the service.
    :param duration_s: time from the order to its deadline.
    :param revision: store revision of the order's write.
    """

    service: str
    version: str
    duration_s: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseState:
    """State of a release, which the coordinator sends to all daemons.

    :param epoch: epoch of the coordinator; a later coordinator has a higher
        one.
    :param number: increases with each state of the same coordinator.
    :param share: fraction of the service's requests that the new version
        gets, 0 to 1.
    :param canary_host: host whose target gets the canary share; empty for
        all hosts.
    :param elapsed_s: time since the order.
    :param coordinator: host of the coordinating daemon.
    :param rejected_versions: versions of earlier orders that did not
        complete.
    """

    order: ReleaseOrder
    epoch: int
    number: int
    stage: Stage
    share: float
    canary_host: str
    elapsed_s: float
    coordinator: str
    rejected_versions: tuple[str, ...] = ()

    def supersedes(self, known: 'ReleaseState | None') -> bool:
        """Whether this state replaces the `known` one.

        A final state overrides every other state of its order, whatever the
        epoch: a coordinator that was paused must not send requests to a
        version that was rolled back or whose targets were stopped.
        """
        if known is None or known.order.revision != self.order.revision:
            return known is None or known.order.revision < self.order.revision
        if known.stage.is_final or self.stage.is_final:
            return self.stage.is_final and not known.stage.is_final
        return (known.epoch, known.number) < (self.epoch, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """Status of a release as recorded in the platform's store.

    :param revision: store revision of its write; 0 if it was not written.
    """

    stage: Stage | None
    version: str
    revision: int


@dataclasses.dataclass(slots=True)
class RouteRunCounts:
    """Counts of a route's runs on one target since an order.

    :param failed: runs that ended with a failure of the target itself.
    :param by_run_time: histogram of run times, see ``decisions.verdict``.
    """

    runs: int = 0
    failed: int = 0
    by_run_time: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class TargetReport:
    """What a guard reports to the coordinator about its target.

    :param drained: whether it refuses new requests and runs none, as the
        ``DRAIN`` stage requires of the old version.
    """

    host: str
    version: str
    drained: bool
    by_route: dict[str, RouteRunCounts]
