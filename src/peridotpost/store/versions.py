"""Accepting versions of the operators' text, and reading them back.

The head key holds the text in force.  A version is accepted by one
compare-and-swap on it; the store's revision of that write orders versions.
Each value carries a unique write id: when the answer to a write is lost, a
read tells "mine took effect" from "another's did".
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
from peridotpost.border import text as text_border
from peridotpost.model import config
from peridotpost.model import errors
from peridotpost.store import store

HISTORY_SLOTS = 32
"""Versions kept besides the head; at 10,000 changes a day, 4-5 minutes of
them, enough for a lost answer to be recognised after it was superseded."""
MAX_VALUE_BYTES = 1_048_576
ATTEMPTS = 8

Sleep = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A version as the store holds it.

    :param number: counts accepted versions; 0 for none.
    :param revision: the store's revision, by which versions are ordered.
    :param base_revision: the version this one was written on top of.
    :param at: seconds since 1970 by the accepting operator's clock.
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
class Won:
    """The version is in the store.

    :param superseded_by: the head, where another version came after it.
    """

    revision: int
    superseded_by: Accepted | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LostRace:
    """Another version was accepted first; nothing was overwritten."""

    current: Accepted | None


@dataclasses.dataclass(frozen=True, slots=True)
class Undecided:
    """The store gave no answer; accepting again with the id is safe."""

    write_id: str
    error: errors.StoreError


@dataclasses.dataclass(frozen=True, slots=True)
class NotWritten:
    """The store said no to each call; nothing was written."""

    error: errors.StoreRefused


Acceptance = Won | LostRace | NotWritten | Undecided


def head_key(mesh: str) -> str:
    return f'peridotpost/{mesh}/head'


def history_prefix(mesh: str) -> str:
    return f'peridotpost/{mesh}/history/'


def to_value(version: Accepted) -> bytes:
    """Return the stored form; the text is compressed to stay small."""
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


def from_value(
    kv: store.KeyValue,
) -> result.Result[Accepted, errors.StoreError]:
    """Read a stored version and check it against its own hash."""
    try:
        plain = json.loads(kv.value)
        packed = base64.b64decode(plain['text'], validate=True)
        unpacker = zlib.decompressobj()
        raw = unpacker.decompress(packed, text_border.MAX_TEXT_BYTES + 1)
        if hashlib.sha256(raw).hexdigest() != plain['sha256']:
            raise ValueError('its text does not match its hash')
        return result.Ok(
            Accepted(
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
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        return result.Err(
            errors.StoreGarbage(
                f'is no accepted version: {error}; accept a good one',
                step='version.read',
                peer=kv.key,
            )
        )


def compile_version(
    version: Accepted,
) -> result.Result[config.ConfigVersion, errors.StoreError]:
    """Check a stored text again and turn it into a configuration.

    A value written past ``peridotctl`` may be anything; it must not reach
    a single daemon.
    """
    try:
        mesh = text_border.read_text(version.text, 'accepted text')
    except document.DocumentError as error:
        return result.Err(
            errors.StoreGarbage(
                f'holds a wrong text: {error}',
                step='version.compile',
                peer=f'revision {version.revision}',
            )
        )
    return result.Ok(
        text_border.to_config(mesh, version.revision, version.write_id)
    )


async def read_head(
    platform: store.Store, mesh: str
) -> result.Result[Accepted | None, errors.StoreError]:
    """Read the version in force; None before the first."""
    found = await platform.read(head_key(mesh))
    if isinstance(found, result.Err):
        return found
    if found.ok_value is None:
        return result.Ok(None)
    return from_value(found.ok_value)


async def read_history(
    platform: store.Store, mesh: str
) -> result.Result[list[Accepted], errors.StoreError]:
    """Read the kept versions, newest first."""
    found = await platform.read_prefix(history_prefix(mesh))
    if isinstance(found, result.Err):
        return found
    read = [from_value(kv) for kv in found.ok_value]
    kept = [one.ok_value for one in read if isinstance(one, result.Ok)]
    return result.Ok(sorted(kept, key=lambda one: -one.revision))


async def accept(
    platform: store.Store,
    mesh: str,
    proposed: Accepted,
    sleep: Sleep,
    attempts: int = ATTEMPTS,
) -> Acceptance:
    """Put `proposed` in force if its ``base_revision`` still is.

    The same swap is repeated while answers are lost: it can take effect
    only once, since each success moves the head off the base revision.

    :param proposed: ``revision`` and ``number`` are ignored.
    :raises document.DocumentError: the stored value would be over the
        store's limit.
    """
    failure = errors.StoreError('was not asked', step='version.accept')
    only_refused = True
    for attempt in range(attempts):
        step = await _try_accept(platform, mesh, proposed)
        if not isinstance(step, errors.StoreError):
            return step
        failure = step
        only_refused = only_refused and isinstance(step, errors.StoreRefused)
        if isinstance(step, errors.StoreRefused) and not isinstance(
            step, errors.StoreOverloaded
        ):
            break
        if attempt + 1 < attempts:
            await sleep(min(2.0, 0.1 * 2**attempt))
    if only_refused and isinstance(failure, errors.StoreRefused):
        return NotWritten(failure)
    return Undecided(proposed.write_id, failure)


async def _try_accept(
    platform: store.Store, mesh: str, proposed: Accepted
) -> Won | LostRace | errors.StoreError:
    head = await read_head(platform, mesh)
    if isinstance(head, result.Err):
        return head.err_value
    current = head.ok_value
    standing = 0 if current is None else current.revision
    if current is not None and current.write_id == proposed.write_id:
        return Won(current.revision)
    if standing != proposed.base_revision:
        return await _find_superseded(platform, mesh, proposed, current)
    number = 1 if current is None else current.number + 1
    value = to_value(dataclasses.replace(proposed, number=number))
    if len(value) > MAX_VALUE_BYTES:
        message = (
            f'is {len(value)} bytes when stored, over the platform limit of '
            f'{MAX_VALUE_BYTES}; shorten it'
        )
        problem = document.Problem('the text', '', 0, message)
        raise document.DocumentError([problem])
    slot = f'{history_prefix(mesh)}{number % HISTORY_SLOTS:03d}'
    swapped = await platform.swap(
        head_key(mesh),
        standing,
        [store.Put(head_key(mesh), value), store.Put(slot, value)],
    )
    if isinstance(swapped, result.Err):
        return swapped.err_value
    if isinstance(swapped.ok_value, store.Swapped):
        return Won(swapped.ok_value.revision)
    return await _after_conflict(platform, mesh, proposed)


async def _after_conflict(
    platform: store.Store, mesh: str, proposed: Accepted
) -> Won | LostRace | errors.StoreError:
    head = await read_head(platform, mesh)
    if isinstance(head, result.Err):
        return head.err_value
    current = head.ok_value
    if current is not None and current.write_id == proposed.write_id:
        return Won(current.revision)
    return await _find_superseded(platform, mesh, proposed, current)


async def _find_superseded(
    platform: store.Store,
    mesh: str,
    proposed: Accepted,
    current: Accepted | None,
) -> Won | LostRace | errors.StoreError:
    """Tell a lost answer whose version was superseded from a lost race."""
    history = await read_history(platform, mesh)
    if isinstance(history, result.Err):
        return history.err_value
    for version in history.ok_value:
        if version.write_id == proposed.write_id:
            return Won(version.revision, superseded_by=current)
    return LostRace(current)
