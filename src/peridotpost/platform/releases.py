"""The format of release orders and their status in the platform's store."""

from typing import Annotated

import msgspec

from peridotpost.model import release

ORDER_PREFIX = 'op/rollout/'
STATUS_PREFIX = 'status/rollout/'
COORDINATOR_PREFIX = 'peridotpost/coordinators/'
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


def decode_order(key: str, raw: bytes, revision: int) -> release.ReleaseOrder:
    """Decode an order; its key names the service.

    :raises ValueError: if it is invalid; the message names the field.
    """
    service = key.removeprefix(ORDER_PREFIX)
    try:
        order = ORDER_DECODER.decode(raw)
    except msgspec.MsgspecError as error:
        raise ValueError(f'{key}: {error}') from error
    if not service or not order.target_version:
        raise ValueError(f'{key}: names no service or no version')
    return release.ReleaseOrder(
        service, order.target_version, order.duration_s, revision
    )


def encode_status(order: release.ReleaseOrder, stage: release.Stage) -> bytes:
    return msgspec.json.encode(
        _Status(order.service, STATE_BY_STAGE[stage], order.version)
    )


def decode_status(raw: bytes, revision: int) -> release.ReleaseStatus:
    """Decode a status; a malformed one has no stage."""
    try:
        status = STATUS_DECODER.decode(raw)
    except msgspec.MsgspecError:
        return release.ReleaseStatus(None, '', revision)
    return release.ReleaseStatus(
        STAGE_BY_STATE.get(status.state), status.target_version, revision
    )
