"""Targets' incarnations, as they announce themselves, and hosts' records."""

import dataclasses
import enum


class InstanceState(enum.StrEnum):
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself.

    :param born_ms: its start; tells two incarnations under one id apart.
    :param sequence: rises with each announcement of one incarnation.
    :param version: of the target's software.
    :param cold_s: for how long it stays slow after its start.
    """

    instance: str
    born_ms: int
    sequence: int
    service: str
    address: str
    port: int
    slots: int
    state: InstanceState
    version: str = ''
    cold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """How a host's daemon is reached, as it writes to the store.

    :param incarnation: rises with each start of the daemon.
    """

    host: str
    availability_zone: str
    address: str
    port: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a guard tells others of its target and of itself.

    :param ready: whether new work may be sent.
    :param version: of the target's software.
    """

    service: str
    instance: str
    slots: int
    ready: bool
    version: str = ''
