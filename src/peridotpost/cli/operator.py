"""What ``peridotctl`` does, apart from its command line."""

import asyncio
import contextlib
import dataclasses
import difflib
import pathlib
import time
import uuid

import pydantic
import result
from tornado import httpclient

from peridotpost.border import document
from peridotpost.border import text as text_border
from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.store import etcd
from peridotpost.store import store
from peridotpost.store import versions

TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 64 * 1024 * 1024
DAEMONS_AT_ONCE = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A daemon's page, or why there is none."""

    address: str
    page: pydantic.BaseModel | None
    error: str = ''


def open_store(endpoints: tuple[str, ...], timeout_s: float) -> etcd.EtcdStore:
    return etcd.EtcdStore(endpoints, timeout_s, timeout_s, counters.Counters())


def opened_store(
    endpoints: tuple[str, ...], timeout_s: float
) -> contextlib.AbstractContextManager[etcd.EtcdStore]:
    """Own a store for one command."""
    return contextlib.closing(open_store(endpoints, timeout_s))


def read_file(file: pathlib.Path) -> str:
    """Read a text.

    :raises document.DocumentError: it cannot be read.
    """
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = document.Problem(str(file), '', 0, f'{error}')
        raise document.DocumentError([problem]) from error


def text_for(mesh: str, file: pathlib.Path) -> str:
    """Read and check a text that is to be one of `mesh`.

    :raises document.DocumentError: it is wrong, or of another mesh.
    """
    text = read_file(file)
    named = mesh_of(text, str(file)).mesh
    if named != mesh:
        message = f'is {named!r}, not {mesh!r}; give its mesh with --mesh'
        problem = document.Problem(str(file), 'mesh', 0, message)
        raise document.DocumentError([problem])
    return text


def difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of two texts."""
    return ''.join(
        difflib.unified_diff(
            old.splitlines(keepends=True),
            new.splitlines(keepends=True),
            old_name,
            new_name,
        )
    )


async def kept_version(
    platform: store.Store, mesh: str, revision: int
) -> result.Result[versions.Accepted, errors.PeridotError]:
    """Return the head, or with `revision` that kept version."""
    head = await versions.read_head(platform, mesh)
    if isinstance(head, result.Err):
        return result.Err(head.err_value)
    found = head.ok_value
    if revision and (found is None or found.revision != revision):
        history = await versions.read_history(platform, mesh)
        if isinstance(history, result.Err):
            return result.Err(history.err_value)
        kept = {one.revision: one for one in history.ok_value}
        found = kept.get(revision)
    if found is not None:
        return result.Ok(found)
    return result.Err(
        errors.PeridotError(
            'there is no such version; see peridotctl history',
            step='version.show',
            peer=str(revision or mesh),
        )
    )


def propose(
    text: str, author: str, note: str, base_revision: int, write_id: str
) -> versions.Accepted:
    """Return a version that is to be accepted."""
    return versions.Accepted(
        revision=0,
        number=0,
        write_id=write_id or uuid.uuid4().hex,
        author=author,
        note=note,
        at=time.time(),
        base_revision=base_revision,
        text=text,
    )


def mesh_of(text: str, file: str) -> text_border.MeshText:
    """Check a text; see ``text.read_text`` for what it raises."""
    return text_border.read_text(text, file)


async def ask_all(
    addresses: tuple[str, ...], path: str, model: type[pydantic.BaseModel]
) -> list[Asked]:
    """Fetch a page of every daemon, some at a time."""
    client = httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=DAEMONS_AT_ONCE
    )
    try:
        return await asyncio.gather(
            *(_ask(client, one, path, model) for one in addresses)
        )
    finally:
        client.close()


async def _ask(
    client: httpclient.AsyncHTTPClient,
    address: str,
    path: str,
    model: type[pydantic.BaseModel],
) -> Asked:
    try:
        answer = await client.fetch(
            f'http://{address}{path}', request_timeout=TIMEOUT_S
        )
        return Asked(address, model.model_validate_json(answer.body))
    except (httpclient.HTTPError, OSError, ValueError) as error:
        return Asked(address, None, str(error))
