"""Parses the calls by which targets announce themselves."""

from urllib import parse

import msgspec

from peridotpost.border import proxy_settings as border
from peridotpost.mesh import adapter
from peridotpost.model import instances
from peridotpost.proxy import http1

RPC_PATH = '/-/rpc'
HEARTBEAT = 'instances.heartbeat'
LEAVE = 'instances.leave'
MAX_SLOTS = 100_000
MS_IN_S = 1000


class _Heartbeat(msgspec.Struct, rename='camel'):
    """The body of a heartbeat call.

    :param born: start time of the target, Unix milliseconds.
    :param version: version of its software.
    """

    service: str
    address: str
    slots: int
    state: str
    seq: int
    born: int = 0
    version: str = ''
    cold_remaining_ms: float = 0.0


class _Leave(msgspec.Struct):
    born: int = 0


HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
LEAVE_DECODER = msgspec.json.Decoder(_Leave)


def read(message: http1.Message) -> adapter.TargetCall:
    """Parse a call to the address for announcements."""
    target = parse.urlsplit(message.target.decode('latin-1'))
    if target.path != RPC_PATH or message.method != b'POST':
        return adapter.InvalidCall(404, f'no such call: {target.path}')
    query = parse.parse_qs(target.query)
    call = query.get('call', [''])[0]
    instance = query.get('of', [''])[0]
    if not instance or call not in (HEARTBEAT, LEAVE):
        return adapter.InvalidCall(
            400, f'unknown call {call!r} or no instance: {instance!r}'
        )
    if call == LEAVE:
        return _parse_leave(instance, bytes(message.body))
    return _parse_heartbeat(instance, bytes(message.body))


def _parse_leave(instance: str, body: bytes) -> adapter.TargetCall:
    if not body:
        return adapter.Departure(instance, 0)
    try:
        return adapter.Departure(instance, LEAVE_DECODER.decode(body).born)
    except msgspec.MsgspecError as error:
        return adapter.InvalidCall(400, str(error))


def _parse_heartbeat(instance: str, body: bytes) -> adapter.TargetCall:
    """Parse a heartbeat; a malformed one is an invalid call."""
    try:
        heartbeat = HEARTBEAT_DECODER.decode(body)
        host, port = border.split_address(heartbeat.address, 'address')
        state = instances.InstanceState(heartbeat.state)
    except (msgspec.MsgspecError, ValueError) as error:
        return adapter.InvalidCall(400, str(error))
    if not 0 < heartbeat.slots <= MAX_SLOTS or not heartbeat.service:
        return adapter.InvalidCall(
            400,
            f'invalid slots {heartbeat.slots} '
            f'or no service: {heartbeat.service!r}',
        )
    return instances.Announcement(
        instance=instance,
        started_ms=heartbeat.born,
        sequence=heartbeat.seq,
        service=heartbeat.service,
        address=host,
        port=port,
        slots=heartbeat.slots,
        state=state,
        version=heartbeat.version,
        cold_s=max(0.0, heartbeat.cold_remaining_ms / MS_IN_S),
    )
