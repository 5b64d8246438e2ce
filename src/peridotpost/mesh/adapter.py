"""The interface between ``peridot-proxy`` and a platform's adapter."""

from collections.abc import Callable
import dataclasses

from peridotpost.mesh import storefeed
from peridotpost.mesh import versions
from peridotpost.model import instances
from peridotpost.proxy import headernames
from peridotpost.proxy import http1


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target announces that it is leaving.

    :param born_ms: start time of the target; 0 if not given.
    """

    instance: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidCall:
    """A call that can't be used; it is answered with `status`."""

    status: int
    detail: str


TargetCall = instances.Announcement | Departure | InvalidCall


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Translates between a platform and the proxy.

    :param decode: parses a configuration; raises ``versions.InvalidConfig``.
    :param read_announcement: parses an announcement call of a target.
    """

    headers: headernames.HeaderNames
    feed: storefeed.Feed
    decode: versions.Decode
    read_announcement: Callable[[http1.Message], TargetCall]
