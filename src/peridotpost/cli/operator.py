"""What ``peridotctl`` does, apart from its command line."""

import asyncio
import dataclasses
import difflib
import time
import uuid

import pydantic
import result
from tornado import httpclient

from peridotpost.border import text as text_border
from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.platform import etcd
from peridotpost.platform import store
from peridotpost.platform import versions

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


async def find_version(
    platform: store.Store, mesh: str, revision: int
) -> result.Result[versions.Accepted | None, errors.StoreError]:
    """Return the head, or with `revision` that kept version."""
    if not revision:
        return await versions.read_head(platform, mesh)
    history = await versions.read_history(platform, mesh)
    if isinstance(history, result.Err):
        return history
    for one in history.ok_value:
        if one.revision == revision:
            return result.Ok(one)
    return result.Ok(None)


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
