"""Announcements of target instances, and the records of hosts."""

import dataclasses
import enum


class InstanceState(enum.StrEnum):
    """Lifecycle state that a target announces."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """One start of a target.

    :param started_ms: start time, which distinguishes two starts with the
        same id.
    """

    instance: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A target's announcement of its own state.

    :param started_ms: start time, which distinguishes two incarnations with
        the same id.
    :param sequence: increases with each announcement of an incarnation.
    :param version: version of the target's software.
    :param cold_s: warm-up time after the start, during which it is slow.
    """

    instance: str
    started_ms: int
    sequence: int
    service: str
    address: str
    port: int
    slots: int
    state: InstanceState
    version: str = ''
    cold_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(self.instance, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatement:
    """What an incarnation of a target stated in responses or announcements.

    :param leaving: whether it is shutting down.
    :param limit_per_s: requests per second that it accepts from all hosts
        together; None if it has no limit.
    """

    instance: str
    started_ms: int
    leaving: bool
    limit_per_s: float | None = None

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(self.instance, self.started_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """Address of a host's daemon, as the daemon writes it to the store.

    :param incarnation: increases with each start of the daemon.
    """

    host: str
    availability_zone: str
    address: str
    port: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDepartures:
    """Departures of one host's targets, as the platform's store has them.

    :param by_instance: start time of the latest ended incarnation, in ms.
    :param revision: store revision of the entry; 0 if there is none.
    """

    by_instance: dict[str, int]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetStatus:
    """What a guard reports to other daemons about itself and its target.

    :param ready: whether new requests may be sent.
    :param version: version of the target's software.
    :param stated: what the target stated; None if nothing is in force.
    """

    service: str
    instance: str
    slots: int
    ready: bool
    version: str = ''
    stated: TargetStatement | None = None
