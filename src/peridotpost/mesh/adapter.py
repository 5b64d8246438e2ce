"""What a platform's adapter gives to ``peridot-proxy``."""

from collections.abc import Callable
import dataclasses

from peridotpost.mesh import storefeed
from peridotpost.mesh import versions
from peridotpost.model import instances
from peridotpost.proxy import http1
from peridotpost.proxy import names


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A target goes.

    :param born_ms: its start; 0 where it does not say.
    """

    instance: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """A call that names no target to use; `status` answers it."""

    status: int
    detail: str


Told = instances.Announcement | Leaving | Unusable


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Translations between a platform and the product.

    :param decode: reads a configuration; raises ``versions.BadConfig``.
    :param read_announcement: tells what a target's call says.
    """

    headers: names.HeaderNames
    feed: storefeed.Feed
    decode: versions.Decode
    read_announcement: Callable[[http1.Message], Told]
