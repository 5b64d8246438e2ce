"""A daemon's settings: JSON, checked before anything is opened."""

import pathlib
from typing import Annotated
from typing import Literal

import pydantic

from peridotpost.border import document
from peridotpost.border import text

Port = Annotated[int, pydantic.Field(ge=0, le=65535, strict=True)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class StoreSettings(_Strict):
    """Where the platform's key-value service is reached."""

    endpoints: Annotated[list[str], pydantic.Field(min_length=1)]
    timeout_s: Seconds = 2.0


class StatsdSettings(_Strict):
    """Where counters go."""

    address: str = '127.0.0.1'
    port: Port = 8125


class ListenSettings(_Strict):
    """Ports; 0 lets the host choose, for tests only."""

    caller_port: Port = 8080
    egress_port: Port = 8081
    admin_port: Port = 8082
    control_port: Port = 8083
    call_port: Port = 8084
    probe_port: Port = 8085


class TimingSettings(_Strict):
    """Periods of the timer service's subscribers, in seconds."""

    probe_period_s: Seconds = 1.0
    probe_timeout_s: Seconds = 0.3
    suspicion_s: Seconds = 4.0
    reconcile_period_s: Seconds = 10.0
    seed_period_s: Seconds = 5.0
    target_ttl_s: Seconds = 3.0
    watch_timeout_s: Seconds = 30.0
    drain_s: Seconds = 30.0
    start_spread_s: Annotated[float, pydantic.Field(ge=0, le=600)] = 8.0


class OnceSettings(_Strict):
    """How non-idempotent calls are kept from running twice.

    :param lead_s: how far ahead the owners of keys are fixed: the longest
        outage of the store that keys made by callers survive, and the
        longest time for which a lost host's share of them is refused.
    :param clock_bound_s: how far a host's or caller's clock may be wrong.
    """

    lead_s: Annotated[float, pydantic.Field(ge=10, le=86_400)] = 3600.0
    clock_bound_s: Annotated[float, pydantic.Field(ge=0.01, le=60)] = 1.0


class DaemonSettings(_Strict):
    """Everything that ``peridotd`` is told."""

    host: text.Name
    availability_zone: text.Name
    mesh: text.Name
    address: str = '127.0.0.1'
    ingress: bool = True
    peers: list[str] = []
    store: StoreSettings
    listen: ListenSettings = ListenSettings()
    statsd: StatsdSettings | None = None
    timing: TimingSettings = TimingSettings()
    once: OnceSettings = OnceSettings()
    log_level: Literal['state', 'off'] = 'state'


def load_settings(path: pathlib.Path) -> DaemonSettings:
    """Read and check a settings file.

    :raises document.DocumentError: each problem with file, path and line.
    """
    try:
        raw = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot be read: {error}; give --settings a JSON file'
        raise document.DocumentError(
            [document.Problem(str(path), '', 0, message)]
        ) from error
    read = document.read_json(raw, str(path))
    try:
        return DaemonSettings.model_validate(read.data)
    except pydantic.ValidationError as error:
        raise document.DocumentError(read.problems_of(error)) from error
