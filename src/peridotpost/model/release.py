"""Releases: moving a service's traffic to targets of another version."""

import dataclasses
import enum


class Stage(enum.IntEnum):
    """How far a release is; the last two are final.

    ``CANARY``: the new version gets a small share.  ``SHIFT``: its share
    grows.  ``DRAIN``: the old version gets nothing new and ends its runs.
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
    """An operator's order.

    :param version: of the targets that are to take the service over.
    :param duration_s: from the order to its deadline.
    :param revision: of the store, when the order was written.
    """

    service: str
    version: str
    duration_s: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseState:
    """What a coordinator tells all daemons of a release.

    :param epoch: of the coordinator; a later one has a higher one.
    :param number: rises with each state of one coordinator.
    :param share: of the service's requests for the new version, 0 to 1.
    :param focus: host whose target gets the canary share; empty for all.
    :param elapsed_s: since the order.
    :param coordinator: host of the daemon that decides.
    :param banned: versions of earlier orders that did not complete.
    """

    order: ReleaseOrder
    epoch: int
    number: int
    stage: Stage
    share: float
    focus: str
    elapsed_s: float
    coordinator: str
    banned: tuple[str, ...] = ()

    def supersedes(self, known: 'ReleaseState | None') -> bool:
        """Whether this state replaces the one that is known.

        A final state holds against any other of its order: a coordinator
        that was paused must not send work to a version that was rolled
        back, nor to one whose targets were stopped.
        """
        if known is None or known.order.revision != self.order.revision:
            return known is None or known.order.revision < self.order.revision
        if known.stage.is_final or self.stage.is_final:
            return self.stage.is_final and not known.stage.is_final
        return (known.epoch, known.number) < (self.epoch, self.number)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """The outcome as the platform's store holds it.

    :param revision: of the store, when it was written; 0 if it was not.
    """

    stage: Stage | None
    version: str
    revision: int


@dataclasses.dataclass(slots=True)
class RouteRuns:
    """Runs of one route on one target since an order.

    :param failed: ended with a failure of the target's own.
    :param by_time: counts by run time, see ``decisions.verdict``.
    """

    runs: int = 0
    failed: int = 0
    by_time: dict[int, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class TargetReport:
    """What a guard tells the coordinator of its target.

    :param drained: whether it refuses new work and runs none, as the
        stage ``DRAIN`` asks of the old version.
    """

    host: str
    version: str
    drained: bool
    by_route: dict[str, RouteRuns]
