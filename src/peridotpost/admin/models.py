"""Validated models of the requests and responses of the admin API."""

from typing import Annotated
from typing import Literal

import pydantic

from peridotpost.border import mesh_document

Port = Annotated[int, pydantic.Field(gt=0, le=65535, strict=True)]


class Announcement(pydantic.BaseModel):
    """Announcement by a target, to be renewed before it expires."""

    model_config = pydantic.ConfigDict(extra='forbid')

    name: mesh_document.Name
    port: Port
    slots: Annotated[int, pydantic.Field(gt=0, le=100_000)]
    connections: Annotated[int, pydantic.Field(gt=0, le=1_000_000)] = 128
    state: Literal['cold', 'ready', 'draining']


class MemberStatus(pydantic.BaseModel):
    """A member as known to the responding daemon."""

    host: str
    availability_zone: str
    status: str
    incarnation: int
    targets: list[str]


class RouteStatus(pydantic.BaseModel):
    """A route of the active routing table."""

    service: str
    endpoints: list[str]


class DaemonStatus(pydantic.BaseModel):
    """Status of the responding daemon."""

    host: str
    availability_zone: str
    stage: str
    revision: int
    write_id: str
    digest: str
    relay: bool
    parent: list[str]
    children: int
    store_reachable: bool
    resident_kib: int
    cpu_s: float
    routes: list[RouteStatus]
    members: list[MemberStatus]


class RelayAddress(pydantic.BaseModel):
    """A relay and the address of its admin API."""

    host: str
    admin: str


class ZoneView(pydantic.BaseModel):
    """An availability zone as known to the responding daemon."""

    availability_zone: str
    live: int
    relays: list[RelayAddress]


class RolloutResponse(pydantic.BaseModel):
    """Rollout progress of the responding daemon and those that report to it.

    `daemons` counts the responding daemon and all that report to it;
    `covers_zone` says whether these are exactly the live ones of its zone.
    """

    host: str
    availability_zone: str
    revision: int
    lowest_revision: int
    daemons: int
    covers_zone: bool
    zones: list[ZoneView]


class TimelineEvent(pydantic.BaseModel):
    """An event from the daemon's ring buffer."""

    at: float
    number: int
    host: str
    kind: str
    request_id: str
    revision: int
    detail: str


class TimelineResponse(pydantic.BaseModel):
    """Recent events, filtered by the query."""

    events: list[TimelineEvent]


class CountersResponse(pydantic.BaseModel):
    """Current values of all counters."""

    host: str
    at: float
    totals: dict[str, int]
