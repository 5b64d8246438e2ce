"""Operations of ``peridotctl``, independent of its command line."""

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
from peridotpost.border import mesh_document
from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.store import etcd
from peridotpost.store import store
from peridotpost.store import versions

PAGE_TIMEOUT_S = 2.0
MAX_PAGE_BYTES = 64 * 1024 * 1024
MAX_CONCURRENT_REQUESTS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply:
    """A daemon's admin page, or the error of the request."""

    address: str
    page: pydantic.BaseModel | None
    error: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsReply:
    """A daemon's metrics page, or the error of the request."""

    address: str
    text: str
    error: str = ''


def open_store(endpoints: tuple[str, ...], timeout_s: float) -> etcd.EtcdStore:
    return etcd.EtcdStore(endpoints, timeout_s, timeout_s, counters.Counters())


def store_session(
    endpoints: tuple[str, ...], timeout_s: float
) -> contextlib.AbstractContextManager[etcd.EtcdStore]:
    """Open a store for the duration of one command."""
    return contextlib.closing(open_store(endpoints, timeout_s))


def read_file(file: pathlib.Path) -> str:
    """Read a text file.

    :raises document.DocumentError: the file cannot be read.
    """
    try:
        return file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = document.Problem(str(file), '', 0, f'{error}')
        raise document.DocumentError([problem]) from error


def read_mesh_text(mesh: str, file: pathlib.Path) -> str:
    """Read and validate a text that must be of `mesh`.

    :raises document.DocumentError: it is invalid, or of another mesh.
    """
    text = read_file(file)
    text_mesh = parse_mesh(text, str(file)).mesh
    if text_mesh != mesh:
        message = f'is {text_mesh!r}, not {mesh!r}; give its mesh with --mesh'
        problem = document.Problem(str(file), 'mesh', 0, message)
        raise document.DocumentError([problem])
    return text


def unified_diff(old: str, new: str, old_name: str, new_name: str) -> str:
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
) -> result.Result[versions.AcceptedVersion, errors.PeridotError]:
    """Return the version in force, or that of `revision` if it is not 0."""
    head = await versions.read_head(platform, mesh)
    if isinstance(head, result.Err):
        return result.Err(head.err_value)
    found = head.ok_value
    if revision and (found is None or found.revision != revision):
        history = await versions.read_history(platform, mesh)
        if isinstance(history, result.Err):
            return result.Err(history.err_value)
        by_revision = {
            version.revision: version for version in history.ok_value
        }
        found = by_revision.get(revision)
    if found is not None:
        return result.Ok(found)
    return result.Err(
        errors.PeridotError(
            'there is no such version; see peridotctl history',
            step='version.show',
            peer=str(revision or mesh),
        )
    )


def make_version(
    text: str, author: str, note: str, base_revision: int, write_id: str
) -> versions.AcceptedVersion:
    """Create a version to be accepted; generate a write ID if it is empty."""
    return versions.AcceptedVersion(
        revision=0,
        number=0,
        write_id=write_id or uuid.uuid4().hex,
        author=author,
        note=note,
        at=time.time(),
        base_revision=base_revision,
        text=text,
    )


def parse_mesh(text: str, file: str) -> mesh_document.MeshDocument:
    """Parse and validate a text.

    :raises document.DocumentError: with the line of each error.
    """
    return mesh_document.parse_mesh(text, file)


async def fetch_pages(
    addresses: tuple[str, ...], path: str, model: type[pydantic.BaseModel]
) -> list[DaemonReply]:
    """Fetch a page from each daemon, with limited concurrency."""
    client = httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
    )
    try:
        return await asyncio.gather(
            *(
                _fetch_page(client, address, path, model)
                for address in addresses
            )
        )
    finally:
        client.close()


async def fetch_metrics(addresses: tuple[str, ...]) -> list[MetricsReply]:
    """Fetch the metrics page of each daemon, with limited concurrency."""
    client = httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=MAX_CONCURRENT_REQUESTS
    )
    try:
        return await asyncio.gather(
            *(_fetch_metrics(client, address) for address in addresses)
        )
    finally:
        client.close()


async def _fetch_metrics(
    client: httpclient.AsyncHTTPClient, address: str
) -> MetricsReply:
    try:
        answer = await client.fetch(
            f'http://{address}/metrics', request_timeout=PAGE_TIMEOUT_S
        )
        return MetricsReply(address, answer.body.decode())
    except (httpclient.HTTPError, OSError, ValueError) as error:
        return MetricsReply(address, '', str(error) or type(error).__name__)


async def _fetch_page(
    client: httpclient.AsyncHTTPClient,
    address: str,
    path: str,
    model: type[pydantic.BaseModel],
) -> DaemonReply:
    try:
        answer = await client.fetch(
            f'http://{address}{path}', request_timeout=PAGE_TIMEOUT_S
        )
        return DaemonReply(address, model.model_validate_json(answer.body))
    except (httpclient.HTTPError, OSError, ValueError) as error:
        return DaemonReply(address, None, str(error))
