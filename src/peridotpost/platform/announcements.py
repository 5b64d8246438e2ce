"""What targets say of themselves on the platform's calls."""

from urllib import parse

import msgspec

from peridotpost.border import proxy as border
from peridotpost.mesh import adapter
from peridotpost.model import instances
from peridotpost.proxy import http1

PATH = '/-/rpc'
HEARTBEAT = 'instances.heartbeat'
LEAVE = 'instances.leave'
MAX_SLOTS = 100_000
MS_IN_S = 1000


class _Heartbeat(msgspec.Struct, rename='camel'):
    """What a target sends.

    :param born: start of the target, Unix milliseconds.
    :param version: of its software.
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


HEARTBEATS = msgspec.json.Decoder(_Heartbeat)
LEAVES = msgspec.json.Decoder(_Leave)


def read(message: http1.Message) -> adapter.Told:
    """Tell what a call to the announcements' address says."""
    target = parse.urlsplit(message.target.decode('latin-1'))
    if target.path != PATH or message.method != b'POST':
        return adapter.Unusable(404, f'no such call: {target.path}')
    query = parse.parse_qs(target.query)
    call = query.get('call', [''])[0]
    instance = query.get('of', [''])[0]
    if not instance or call not in (HEARTBEAT, LEAVE):
        return adapter.Unusable(400, f'call {call!r} of {instance!r}')
    if call == LEAVE:
        return _leave(instance, message.body)
    return _heartbeat(instance, message.body)


def _leave(instance: str, body: bytes) -> adapter.Told:
    if not body:
        return adapter.Leaving(instance, 0)
    try:
        return adapter.Leaving(instance, LEAVES.decode(body).born)
    except msgspec.MsgspecError as error:
        return adapter.Unusable(400, str(error))


def _heartbeat(instance: str, body: bytes) -> adapter.Told:
    """Read a heartbeat; one that other writers spoiled names no target."""
    try:
        told = HEARTBEATS.decode(body)
        host, port = border.split_address(told.address, 'address')
        state = instances.InstanceState(told.state)
    except (msgspec.MsgspecError, ValueError) as error:
        return adapter.Unusable(400, str(error))
    if not 0 < told.slots <= MAX_SLOTS or not told.service:
        return adapter.Unusable(
            400, f'slots {told.slots}, service {told.service!r}'
        )
    return instances.Announcement(
        instance=instance,
        born_ms=told.born,
        sequence=told.seq,
        service=told.service,
        address=host,
        port=port,
        slots=told.slots,
        state=state,
        version=told.version,
        cold_s=max(0.0, told.cold_remaining_ms / MS_IN_S),
    )
