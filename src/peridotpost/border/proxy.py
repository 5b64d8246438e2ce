"""Settings of ``peridot-proxy``: JSON, checked before anything is opened.

Read with msgspec, which checks as it decodes and needs a quarter of the
memory of the validator that the operators' programs use.
"""

import pathlib
from typing import Annotated

import msgspec

from peridotpost.model import errors

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class BadSettings(errors.PeridotError):
    """The settings file can't be used; says which field and why."""


class _Checked(msgspec.Struct, frozen=True):
    """Fields that are not known are left alone: newer platforms add some."""


class Listen(_Checked, frozen=True):
    """Addresses, each ``IP:PORT``.

    :param requests: for callers on this host, and for its target.
    :param readiness: asked for whether callers may be sent here.
    :param announcements: where the host's target tells how it is.
    :param peers: for other daemons.
    :param metrics: counters and histograms; empty for none.
    """

    requests: str
    readiness: str
    announcements: str
    peers: str
    metrics: str = ''


class Retries(_Checked, frozen=True):
    """Bound on repeats at one service, over the fleet, in any window.

    :param ratio: repeats for each request.
    :param extra: repeats besides, in a window.
    :param window_s: length of the window, seconds.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    extra: Annotated[float, msgspec.Meta(ge=0)] = 60.0
    window_s: Positive = 10.0


class Releases(_Checked, frozen=True):
    """Bounds on releases of a version.

    :param exposure: most of a service's requests that a bad version may
        get, from the order to its deadline.
    """

    exposure: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.1


class Shutdown(_Checked, frozen=True):
    """How a stop goes, in seconds after it was asked for.

    :param grace_s: when the process is killed.
    """

    grace_s: Positive = 6.0


class ProxySettings(_Checked, frozen=True):
    """Everything that ``peridot-proxy`` is told.

    :param host: name of this host, the same after each restart.
    :param availability_zone: where the host stands.
    :param address: IP address that other daemons reach it at.
    :param service: the service of this host's target.
    :param target: address of this host's target.
    :param link_mbps: what the host's network link carries, Mbit/s.
    :param store: address of the platform's store.
    """

    host: Name
    availability_zone: Name
    address: Name
    service: Name
    target: Name
    listen: Listen
    store: Name
    link_mbps: Positive = 1000.0
    retries: Retries = Retries()
    releases: Releases = Releases()
    shutdown: Shutdown = Shutdown()


def load(path: pathlib.Path) -> ProxySettings:
    """Read and check a settings file.

    :raises BadSettings: with the file, the field and what is wrong.
    """
    try:
        raw = path.read_bytes()
        found = msgspec.json.decode(raw, type=ProxySettings)
        for name in msgspec.structs.asdict(found.listen):
            value = getattr(found.listen, name)
            if value:
                split_address(value, f'listen.{name}')
        split_address(found.store, 'store')
        split_address(found.target, 'target')
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise BadSettings(
            f'{error}; correct the file and start again',
            step='settings.load',
            peer=str(path),
        ) from error
    return found


def split_address(address: str, field: str = '') -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    :raises ValueError: it is none; names `field`.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'{field}: {address!r} is not IP:PORT')
    return host, int(port)
