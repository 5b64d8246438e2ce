"""Writes and reads the versions of the operators' configuration text.

The head key holds the current version.  A new version is accepted by a
compare-and-swap on that key, and the store revision of the write orders
the versions.  Each value carries a unique write id, so that after a lost
response a read shows whether this write or another one took effect.
"""

import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hashlib
import json
import zlib

import result

from peridotpost.border import document
from peridotpost.border import mesh_document as text_border
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.store import store

HISTORY_SLOTS = 32
"""Versions kept besides the head: 4-5 minutes at 10,000 changes a day.
A write whose response was lost and whose version was then superseded is
recognised for that long."""
MAX_VALUE_BYTES = 1_048_576
MAX_ATTEMPTS = 8

Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedVersion:
    """A configuration version as it is stored.

    :param revision: the store revision, which orders versions.
    :param number: sequence number of accepted versions; 0 for none.
    :param at: Unix time on the accepting operator's clock.
    :param base_revision: revision of the version that this one replaces.
    """

    revision: int
    number: int
    write_id: str
    author: str
    note: str
    at: float
    base_revision: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The version was written.

    :param superseded_by: the head, if a later version has replaced it.
    """

    revision: int
    superseded_by: AcceptedVersion | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Another version was accepted first; nothing was written."""

    current: AcceptedVersion | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The outcome is unknown; retrying with the same write id is safe."""

    write_id: str
    error: errors.StoreError


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The store rejected every call; nothing was written."""

    error: errors.StoreRefused


AcceptResult = Committed | LostRace | NotWritten | Undecided


def head_key(mesh: str) -> str:
    return f'peridotpost/{mesh}/head'


def history_prefix(mesh: str) -> str:
    return f'peridotpost/{mesh}/history/'


def encode_version(version: AcceptedVersion) -> bytes:
    """Serialise a version to JSON with compressed text."""
    raw = version.text.encode()
    plain = {
        'format': 1,
        'number': version.number,
        'write_id': version.write_id,
        'author': version.author,
        'note': version.note,
        'at': version.at,
        'base_revision': version.base_revision,
        'sha256': hashlib.sha256(raw).hexdigest(),
        'text': base64.b64encode(zlib.compress(raw, 9)).decode(),
    }
    return json.dumps(plain, sort_keys=True).encode()


def decode_version(
    kv: store.KeyValue,
) -> result.Result[AcceptedVersion, errors.StoreError]:
    """Deserialise a stored version and verify its hash."""
    try:
        plain = json.loads(kv.value)
        packed = base64.b64decode(plain['text'], validate=True)
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(packed, text_border.MAX_TEXT_BYTES + 1)
        if hashlib.sha256(raw).hexdigest() != plain['sha256']:
            raise ValueError('the text does not match its hash')
        return result.Ok(
            AcceptedVersion(
                revision=kv.revision,
                number=int(plain['number']),
                write_id=str(plain['write_id']),
                author=str(plain['author']),
                note=str(plain['note']),
                at=float(plain['at']),
                base_revision=int(plain['base_revision']),
                text=raw.decode(),
            )
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
        zlib.error,
    ) as error:
        return result.Err(
            errors.StoreProtocolError(
                f'value is not a valid version: {error}; accept a valid one',
                step='version.read',
                peer=kv.key,
            )
        )


def compile_version(
    version: AcceptedVersion,
) -> result.Result[config.ConfigVersion, errors.StoreError]:
    """Validate the stored text again and compile it to a configuration.

    A value that was not written by ``peridotctl`` may be invalid and must
    not reach any daemon.
    """
    try:
        mesh = text_border.parse_mesh(version.text, 'accepted text')
    except document.DocumentError as error:
        return result.Err(
            errors.StoreProtocolError(
                f'stored text is invalid: {error}',
                step='version.compile',
                peer=f'revision {version.revision}',
            )
        )
    return result.Ok(
        text_border.to_config(mesh, version.revision, version.write_id)
    )


async def read_head(
    platform: store.Store, mesh: str
) -> result.Result[AcceptedVersion | None, errors.StoreError]:
    """Read the current version; None before the first."""
    head = await platform.read(head_key(mesh))
    if isinstance(head, result.Err):
        return head
    if head.ok_value is None:
        return result.Ok(None)
    return decode_version(head.ok_value)


async def read_history(
    platform: store.Store, mesh: str
) -> result.Result[list[AcceptedVersion], errors.StoreError]:
    """Read the retained versions, newest first; skip invalid ones."""
    entries = await platform.read_prefix(history_prefix(mesh))
    if isinstance(entries, result.Err):
        return entries
    decoded = [decode_version(kv) for kv in entries.ok_value]
    valid = [
        entry.ok_value for entry in decoded if isinstance(entry, result.Ok)
    ]
    return result.Ok(sorted(valid, key=lambda version: -version.revision))


async def accept(
    platform: store.Store,
    mesh: str,
    proposed: AcceptedVersion,
    sleep: Sleep,
    attempts: int = MAX_ATTEMPTS,
) -> AcceptResult:
    """Make `proposed` the head if its ``base_revision`` still is.

    The swap is retried while responses are lost.  It can take effect only
    once, because a success changes the head's revision.

    :param proposed: its ``revision`` and ``number`` are ignored.
    :raises document.DocumentError: the stored value would exceed the
        store's size limit.
    """
    failure = errors.StoreError('not attempted', step='version.accept')
    only_refused = True
    for attempt in range(attempts):
        outcome = await _try_accept(platform, mesh, proposed)
        if not isinstance(outcome, errors.StoreError):
            return outcome
        failure = outcome
        only_refused = only_refused and isinstance(
            outcome, errors.StoreRefused
        )
        if isinstance(outcome, errors.StoreRefused) and not isinstance(
            outcome, errors.StoreOverloaded
        ):
            break
        if attempt + 1 < attempts:
            await sleep(min(2.0, 0.1 * 2**attempt))
    if only_refused and isinstance(failure, errors.StoreRefused):
        return NotWritten(failure)
    return Undecided(proposed.write_id, failure)


async def _try_accept(
    platform: store.Store, mesh: str, proposed: AcceptedVersion
) -> Committed | LostRace | errors.StoreError:
    head = await read_head(platform, mesh)
    if isinstance(head, result.Err):
        return head.err_value
    current = head.ok_value
    current_revision = 0 if current is None else current.revision
    if current is not None and current.write_id == proposed.write_id:
        return Committed(current.revision)
    if current_revision != proposed.base_revision:
        return await _resolve_from_history(platform, mesh, proposed, current)
    number = 1 if current is None else current.number + 1
    value = encode_version(dataclasses.replace(proposed, number=number))
    if len(value) > MAX_VALUE_BYTES:
        message = (
            f'is {len(value)} bytes when stored, over the platform limit of '
            f'{MAX_VALUE_BYTES} bytes; shorten it'
        )
        problem = document.Problem('the text', '', 0, message)
        raise document.DocumentError([problem])
    slot = f'{history_prefix(mesh)}{number % HISTORY_SLOTS:03d}'
    swapped = await platform.swap(
        head_key(mesh),
        current_revision,
        [store.Put(head_key(mesh), value), store.Put(slot, value)],
    )
    if isinstance(swapped, result.Err):
        return swapped.err_value
    if isinstance(swapped.ok_value, store.Swapped):
        return Committed(swapped.ok_value.revision)
    return await _resolve_conflict(platform, mesh, proposed)


async def _resolve_conflict(
    platform: store.Store, mesh: str, proposed: AcceptedVersion
) -> Committed | LostRace | errors.StoreError:
    head = await read_head(platform, mesh)
    if isinstance(head, result.Err):
        return head.err_value
    current = head.ok_value
    if current is not None and current.write_id == proposed.write_id:
        return Committed(current.revision)
    return await _resolve_from_history(platform, mesh, proposed, current)


async def _resolve_from_history(
    platform: store.Store,
    mesh: str,
    proposed: AcceptedVersion,
    current: AcceptedVersion | None,
) -> Committed | LostRace | errors.StoreError:
    """Distinguish a superseded write with a lost response from a lost race."""
    history = await read_history(platform, mesh)
    if isinstance(history, result.Err):
        return history.err_value
    for version in history.ok_value:
        if version.write_id == proposed.write_id:
            return Committed(version.revision, superseded_by=current)
    return LostRace(current)
