"""Settings of ``peridot-proxy``, validated before any resource is opened.

They are JSON and decoded by msgspec, which validates while decoding and needs
a quarter of the memory of pydantic, which the operators' programs use.
"""

import os
from typing import Annotated

import msgspec

from peridotpost.model import errors

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]


class InvalidSettings(errors.PeridotError):
    """The settings file is invalid; the message names the field."""


class _Lenient(msgspec.Struct, frozen=True):
    """Ignores unknown fields, which newer platforms may add."""


class Listen(_Lenient, frozen=True):
    """Listen addresses, each ``IP:PORT``.

    :param requests: requests of callers on this host and of its target.
    :param readiness: readiness probes, which ask whether this host accepts
        requests of callers.
    :param announcements: announcements of the host's target.
    :param peers: connections from other daemons.
    :param metrics: counters and histograms; empty to disable.
    """

    requests: str
    readiness: str
    announcements: str
    peers: str
    metrics: str = ''


class Retries(_Lenient, frozen=True):
    """Retry budget of a service, over the whole fleet, in any window.

    :param ratio: retries allowed per request.
    :param extra: retries allowed per window in addition.
    :param window_s: length of the window in seconds.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2
    extra: Annotated[float, msgspec.Meta(ge=0)] = 60.0
    window_s: PositiveFloat = 10.0


class Releases(_Lenient, frozen=True):
    """Limits on the release of a version.

    :param exposure: maximum fraction of a service's requests that a faulty
        version may get between the order and its deadline.
    """

    exposure: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.1


class Hedging(_Lenient, frozen=True):
    """Second dispatches of idempotent requests whose answers are late.

    :param share: hedges of a host per request that it accepts, at most; they
        count as retries too.
    """

    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class Quotas(_Lenient, frozen=True):
    """How closely the quotas of customers are kept over the whole fleet.

    In any window, at most (rate x window + burst) x (1 + overshoot) + slack
    requests of a customer run.

    :param window_s: length of the window in seconds.
    :param overshoot: share of a quota by which it may be exceeded.
    :param slack: requests by which it may be exceeded in addition.
    """

    window_s: Annotated[float, msgspec.Meta(ge=1, le=60)] = 5.0
    overshoot: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.1
    slack: Annotated[float, msgspec.Meta(ge=0)] = 20.0


class Shutdown(_Lenient, frozen=True):
    """Timing of a shutdown.

    :param grace_s: seconds from the request to stop until the process is
        killed.
    """

    grace_s: PositiveFloat = 6.0


class ProxySettings(_Lenient, frozen=True):
    """All settings of ``peridot-proxy``.

    :param host: name of this host, which is the same after each restart.
    :param availability_zone: availability zone of the host.
    :param address: IP address at which other daemons connect to this one.
    :param service: service that this host's target runs.
    :param target: address of this host's target.
    :param hedging: if present, late requests are hedged.
    :param link_mbps: bandwidth of the host's network link in Mbit/s.
    :param memory_mb: memory that the process may take, in MB; requests that
        would exceed it wait or are rejected.
    :param store: address of the platform's store.
    """

    host: Name
    availability_zone: Name
    address: Name
    service: Name
    target: Name
    listen: Listen
    store: Name
    link_mbps: PositiveFloat = 1000.0
    memory_mb: Annotated[float, msgspec.Meta(ge=64)] = 256.0
    retries: Retries = Retries()
    releases: Releases = Releases()
    hedging: Hedging | None = None
    quotas: Quotas = Quotas()
    shutdown: Shutdown = Shutdown()


def load(path: str | os.PathLike[str]) -> ProxySettings:
    """Read and validate a settings file.

    :raises InvalidSettings: with the file, the field and the error.
    """
    try:
        with open(path, 'rb') as file:
            raw = file.read()
        settings = msgspec.json.decode(raw, type=ProxySettings)
        for name in msgspec.structs.asdict(settings.listen):
            value = getattr(settings.listen, name)
            if value:
                split_address(value, f'listen.{name}')
        split_address(settings.store, 'store')
        split_address(settings.target, 'target')
    except (OSError, msgspec.MsgspecError, ValueError) as error:
        raise InvalidSettings(
            f'{error}; correct the file and start again',
            step='settings.load',
            peer=str(path),
        ) from error
    return settings


def split_address(address: str, field: str = '') -> tuple[str, int]:
    """Return host and port of ``IP:PORT``.

    :raises ValueError: `address` is malformed; the message names `field`.
    """
    host, _, port = address.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError(f'{field}: {address!r} is not IP:PORT')
    return host, int(port)
