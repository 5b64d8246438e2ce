"""Orders to release a version, and their status, as the store holds them."""

from typing import Annotated

import msgspec

from peridotpost.model import release

ORDERS = 'op/rollout/'
STATUS = 'status/rollout/'
COORDINATORS = 'peridotpost/coordinators/'
STATE_BY_STAGE = {
    release.Stage.CANARY: 'running',
    release.Stage.SHIFT: 'running',
    release.Stage.DRAIN: 'running',
    release.Stage.COMPLETED: 'completed',
    release.Stage.ROLLED_BACK: 'rolled_back',
}
STAGE_BY_STATE = {
    'running': release.Stage.CANARY,
    'completed': release.Stage.COMPLETED,
    'rolled_back': release.Stage.ROLLED_BACK,
}


class _Order(msgspec.Struct, rename='camel'):
    target_version: str
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _Status(msgspec.Struct, rename='camel'):
    service: str
    state: str
    target_version: str


ORDER_DECODER = msgspec.json.Decoder(_Order)
STATUS_DECODER = msgspec.json.Decoder(_Status)


def order_of(key: str, raw: bytes, revision: int) -> release.ReleaseOrder:
    """Read an order; its key names the service.

    :raises ValueError: it can't be used; says which field is wrong.
    """
    service = key.removeprefix(ORDERS)
    try:
        told = ORDER_DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise ValueError(f'{key}: {error}') from error
    if not service or not told.target_version:
        raise ValueError(f'{key}: names no service or no version')
    return release.ReleaseOrder(
        service, told.target_version, told.duration_s, revision
    )


def encode_status(order: release.ReleaseOrder, stage: release.Stage) -> bytes:
    return msgspec.json.encode(
        _Status(order.service, STATE_BY_STAGE[stage], order.version)
    )


def decode_status(raw: bytes, revision: int) -> release.ReleaseStatus:
    """Read a status; one that can't be read counts as none."""
    try:
        told = STATUS_DECODER.decode(raw)
    except msgspec.MsgspecError:
        return release.ReleaseStatus(None, '', revision)
    return release.ReleaseStatus(
        STAGE_BY_STATE.get(told.state), told.target_version, revision
    )
