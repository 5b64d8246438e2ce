"""Validated models of what the admin page takes in and gives out."""

from typing import Annotated
from typing import Literal

import pydantic

from peridotpost.border import text

Port = Annotated[int, pydantic.Field(gt=0, le=65535, strict=True)]


class Announcement(pydantic.BaseModel):
    """A target tells of itself; to be repeated before its time is up."""

    model_config = pydantic.ConfigDict(extra='forbid')

    name: text.Name
    port: Port
    slots: Annotated[int, pydantic.Field(gt=0, le=100_000)]
    connections: Annotated[int, pydantic.Field(gt=0, le=1_000_000)] = 128
    state: Literal['cold', 'ready', 'draining']


class MemberStatus(pydantic.BaseModel):
    """A member as the asked daemon knows it."""

    host: str
    availability_zone: str
    status: str
    incarnation: int
    targets: list[str]


class RouteStatus(pydantic.BaseModel):
    """A route of the table in force."""

    service: str
    endpoints: list[str]


class DaemonStatus(pydantic.BaseModel):
    """What a daemon says of itself."""

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
    """A relay and where its admin page is."""

    host: str
    admin: str


class ZoneView(pydantic.BaseModel):
    """An availability zone as the asked daemon knows it."""

    availability_zone: str
    live: int
    relays: list[RelayAddress]


class RolloutPage(pydantic.BaseModel):
    """How far versions have come at the asked daemon and below it.

    `daemons` counts the asked daemon and all that report to it;
    `covers_zone` says whether those are just the live ones of its zone.
    """

    host: str
    availability_zone: str
    revision: int
    lowest_revision: int
    daemons: int
    covers_zone: bool
    zones: list[ZoneView]


class TimelineEvent(pydantic.BaseModel):
    """An event of the daemon's ring."""

    at: float
    number: int
    host: str
    kind: str
    request_id: str
    revision: int
    detail: str


class TimelinePage(pydantic.BaseModel):
    events: list[TimelineEvent]


class CountersPage(pydantic.BaseModel):
    host: str
    at: float
    totals: dict[str, int]
