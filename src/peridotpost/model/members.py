"""Members of the fleet and the targets that they announce."""

import dataclasses
import enum


class Status(enum.IntEnum):
    """A member's state; a higher one overrides at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """A target's state as its own daemon knows it."""

    COLD = 0
    READY = 1
    DRAINING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target as announced: the service it runs and its slots."""

    service: str
    name: str
    state: TargetState
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MemberMark:
    """Orders two records of one member; the higher one is the later."""

    incarnation: int
    status: Status
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """All that the fleet knows of one daemon.

    A daemon is the only writer of its own content; others change only
    `status`, to suspect or dead, at the incarnation they saw.

    :param incarnation: rises with each start and each refuted suspicion.
    :param sequence: rises with each change of content.
    """

    host: str
    availability_zone: str
    incarnation: int
    status: Status
    sequence: int
    address: str
    control_port: int
    probe_port: int
    call_port: int
    admin_port: int
    targets: tuple[TargetRecord, ...] = ()

    @property
    def mark(self) -> MemberMark:
        return MemberMark(self.incarnation, self.status, self.sequence)

    @property
    def live(self) -> bool:
        """Whether the member still takes part: alive or merely suspected."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    @property
    def control_address(self) -> str:
        return f'{self.address}:{self.control_port}'
