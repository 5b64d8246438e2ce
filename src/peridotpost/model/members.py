"""Records of the fleet's members and of the targets they announce."""

import dataclasses
import enum


class Status(enum.IntEnum):
    """A member's state; at equal incarnations the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class TargetState(enum.IntEnum):
    """A target's state as known to the daemon of its host."""

    COLD = 0
    READY = 1
    DRAINING = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRecord:
    """An announced target, with its service and number of slots."""

    service: str
    name: str
    state: TargetState
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class MemberMark:
    """Sort key of records of the same member; the highest is the latest."""

    incarnation: int
    status: Status
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemberRecord:
    """What the fleet knows about one daemon.

    Only the daemon itself changes the content of its record; others change
    only `status`, to suspect or dead, for the incarnation they observed.

    :param incarnation: increases with each start and each refuted suspicion.
    :param sequence: increases with each change of the content.
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
        """Whether the member is alive or merely suspected."""
        return self.status in (Status.ALIVE, Status.SUSPECT)

    @property
    def control_address(self) -> str:
        return f'{self.address}:{self.control_port}'
