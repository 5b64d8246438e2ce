"""Fakes that implement the interfaces without a network."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools

import result

from peridotpost.model import errors
from peridotpost.standins import keyvalue
from peridotpost.store import store

WatchItem = result.Result[store.KeyValue, errors.StoreError]


@dataclasses.dataclass(slots=True)
class Clock:
    """A clock that only the test advances."""

    at: float = 0.0

    def now(self) -> float:
        return self.at


class FakeStore:
    """In-memory store with injectable faults.

    `lost` counts, by call, the responses to lose after the call took
    effect.
    """

    def __init__(self, clock: Clock) -> None:
        self.state = keyvalue.KeyValueState(clock.now)
        self.outage = False
        self.lost: collections.Counter[str] = collections.Counter()
        self.over_quota = False
        self.ends_watches = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.leases = itertools.count(1)

    def error(self, kind: type[errors.StoreError]) -> errors.StoreError:
        return kind('injected fault', step='fake', peer='fake')

    def before(self, call: str) -> result.Result[None, errors.StoreError]:
        self.calls[call] += 1
        self.state.expire()
        if self.outage:
            return result.Err(self.error(errors.StoreUnavailable))
        if self.over_quota:
            return result.Err(self.error(errors.StoreOverloaded))
        return result.Ok(None)

    def after(self, call: str) -> result.Result[None, errors.StoreError]:
        if self.lost[call]:
            self.lost[call] -= 1
            return result.Err(self.error(errors.StoreUnavailable))
        return result.Ok(None)

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        ready = self.before('read')
        if isinstance(ready, result.Err):
            return ready
        return result.Ok(self.get(key))

    def get(self, key: str) -> store.KeyValue | None:
        entries = self.state.range(key.encode(), b'')
        return to_key_value(entries[0]) if entries else None

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[store.KeyValue], errors.StoreError]:
        ready = self.before('read')
        if isinstance(ready, result.Err):
            return ready
        entries = self.state.range(b'\0', keyvalue.NO_END)
        pairs = [to_key_value(entry) for entry in entries]
        return result.Ok([kv for kv in pairs if kv.key.startswith(prefix)])

    async def swap(
        self, key: str, expected_revision: int, puts: Sequence[store.Put]
    ) -> result.Result[store.Swapped | store.Conflict, errors.StoreError]:
        ready = self.before('swap')
        if isinstance(ready, result.Err):
            return ready
        current = self.get(key)
        if (current.revision if current else 0) != expected_revision:
            return result.Ok(store.Conflict(current))
        revision = self.state.revision + 1
        try:
            for put in puts:
                self.state.check_put(put.value, put.lease)
        except keyvalue.ValueTooLarge:
            return result.Err(self.error(errors.StoreRefused))
        except keyvalue.LeaseNotFound:
            return result.Err(self.error(errors.LeaseExpired))
        for put in puts:
            self.state.put(put.key.encode(), put.value, put.lease, revision)
        return self.after('swap').map(lambda _: store.Swapped(revision))

    async def grant(self, ttl_s: int) -> result.Result[int, errors.StoreError]:
        ready = self.before('grant')
        if isinstance(ready, result.Err):
            return ready
        lease = self.state.grant(ttl_s, next(self.leases))
        return self.after('grant').map(lambda _: lease.lease_id)

    async def keep_alive(
        self, lease: int
    ) -> result.Result[bool, errors.StoreError]:
        ready = self.before('keep_alive')
        if isinstance(ready, result.Err):
            return ready
        renewed = self.state.keep_alive(lease) > 0
        return self.after('keep_alive').map(lambda _: renewed)

    async def revoke(
        self, lease: int
    ) -> result.Result[None, errors.StoreError]:
        ready = self.before('revoke')
        if isinstance(ready, result.Err):
            return ready
        with contextlib.suppress(keyvalue.LeaseNotFound):
            self.state.revoke(lease)
        return self.after('revoke')

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[WatchItem]:
        ready = self.before('watch')
        revision = from_revision
        if revision < self.state.compacted_revision:
            latest = self.get(key)
            revision = self.state.revision + 1
            if latest is not None and latest.revision >= from_revision:
                yield result.Ok(latest)
        while not (self.outage or self.over_quota):
            if self.ends_watches:
                return
            changes = self.state.changes_since(key.encode(), b'', revision)
            revision = max(revision, self.state.revision + 1)
            for change in changes:
                if not change.deleted:
                    yield result.Ok(to_key_value(change.entry))
            await asyncio.sleep(0)
        if isinstance(ready, result.Err):
            yield ready
        else:
            yield result.Err(self.error(errors.StoreUnavailable))


def to_key_value(entry: keyvalue.Entry) -> store.KeyValue:
    return store.KeyValue(
        entry.key.decode(), entry.value, entry.modified_revision, entry.lease
    )


@contextlib.asynccontextmanager
async def raw_server(answer: bytes, hold: bool = False) -> AsyncIterator[str]:
    """Send `answer` verbatim on every connection; yield the base URL.

    :param hold: keep the connection open afterwards.
    """
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            await reader.read(65536)
            writer.write(answer)
            await writer.drain()
            if hold:
                await closed.wait()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        closed.set()
        server.close()


def http_response(
    body: bytes, status: str = '200 OK', more: str = ''
) -> bytes:
    head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n'
    return head.encode() + body
