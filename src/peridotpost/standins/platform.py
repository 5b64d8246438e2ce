"""Stand-in for the platform's key-value service.

Implements the part of etcd's v3 JSON gateway that the system uses, counts
calls, enforces quotas, and injects faults on command: outage, slowness,
invalid answers, and answers that are lost after the write took effect.
"""

import asyncio
import base64
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import itertools
import json
import time
from typing import Any

import pydantic
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from peridotpost.standins import keyvalue

EXPIRY_CHECK_INTERVAL_S = 0.2
WRITE_METHODS = frozenset(
    {'kv/txn', 'lease/grant', 'lease/keepalive', 'lease/revoke'}
)


GRPC_UNKNOWN = 2
GRPC_CODE_BY_HTTP_STATUS = {400: 3, 404: 5, 429: 8}


class Faults(pydantic.BaseModel):
    """Faults to inject until the next command.

    :param outage: calls are not answered, and connections are closed.
    :param delay_s: delay of each call.
    :param lose_answers: number of writes that take effect but are not
        answered.
    :param garbage: answers are not valid in the protocol.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    garbage: bool = False


class Quota:
    """Limits the calls in each second; 0 for no limit."""

    def __init__(self, per_second: int) -> None:
        self.per_second = per_second
        self.current_second = 0
        self.used = 0

    def take(self, now: float) -> bool:
        """Count a call at `now`; return whether it is within the limit."""
        if int(now) != self.current_second:
            self.current_second, self.used = int(now), 0
        self.used += 1
        return not self.per_second or self.used <= self.per_second


class Platform:
    """State, injected faults and counts of one stand-in."""

    def __init__(
        self,
        writes_per_s: int = 0,
        reads_per_s: int = 0,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.state = keyvalue.KeyValueState(now)
        self.faults = Faults()
        self.faults_changed = asyncio.Event()
        self.counts: collections.Counter[str] = collections.Counter()
        self.write_quota = Quota(writes_per_s)
        self.read_quota = Quota(reads_per_s)
        self.lease_ids = itertools.count(1001)

    def set_faults(self, faults: Faults) -> None:
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def within_quota(self, method: str) -> bool:
        quota = (
            self.write_quota if method in WRITE_METHODS else self.read_quota
        )
        return quota.take(time.monotonic())

    def answer(self, method: str, body: dict[str, Any]) -> dict[str, Any]:
        """Execute a call other than a watch.

        :raises web.HTTPError: the method is unknown.
        """
        self.state.expire()
        handler = {
            'kv/range': self._range,
            'kv/txn': self._transaction,
            'lease/grant': self._grant,
            'lease/keepalive': self._keep_alive,
            'lease/revoke': self._revoke,
        }.get(method)
        if handler is None:
            raise web.HTTPError(404, reason='no such method')
        return handler(body)

    def header(self) -> dict[str, str]:
        return {'revision': str(self.state.revision)}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        entries = self.state.range(
            _bytes(body['key']), _bytes(body.get('range_end', ''))
        )
        kvs = [_entry_to_json(entry) for entry in entries]
        return {
            'header': self.header(),
            'kvs': kvs,
            'count': str(len(kvs)),
        }

    def _transaction(self, body: dict[str, Any]) -> dict[str, Any]:
        condition_holds = all(
            self._compare(condition) for condition in body.get('compare', [])
        )
        operations = body.get('success' if condition_holds else 'failure', [])
        for put in (
            put_operation['request_put']
            for put_operation in operations
            if 'request_put' in put_operation
        ):
            # Atomic: a refused put must leave no earlier put applied.
            self.state.check_put(
                _bytes(put.get('value', '')), int(put.get('lease', 0))
            )
        revision = self.state.revision + 1
        responses = [
            self._apply_operation(operation, revision)
            for operation in operations
        ]
        return {
            'header': self.header(),
            'succeeded': condition_holds,
            'responses': responses,
        }

    def _compare(self, condition: dict[str, Any]) -> bool:
        entry = self.state.entries.get(_bytes(condition['key']))
        modified = entry.modified_revision if entry else 0
        return modified == int(condition.get('mod_revision', 0))

    def _apply_operation(
        self, operation: dict[str, Any], revision: int
    ) -> dict[str, Any]:
        if 'request_put' in operation:
            put = operation['request_put']
            value = _bytes(put.get('value', ''))
            lease = int(put.get('lease', 0))
            self.state.put(_bytes(put['key']), value, lease, revision)
            return {'response_put': {'header': self.header()}}
        if 'request_delete_range' in operation:
            key = _bytes(operation['request_delete_range']['key'])
            self.state.delete(key, revision)
            return {'response_delete_range': {'header': self.header()}}
        return {'response_range': self._range(operation['request_range'])}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease = self.state.grant(int(body['TTL']), next(self.lease_ids))
        return {'ID': str(lease.lease_id), 'TTL': str(lease.ttl_s)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        ttl = self.state.keep_alive(int(body['ID']))
        return {'result': {'ID': str(body['ID']), 'TTL': str(ttl)}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.state.revoke(int(body['ID']))
        return {'header': self.header()}


class CallHandler(web.RequestHandler):
    """A call of the v3 JSON gateway."""

    platform: Platform

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        code = GRPC_CODE_BY_HTTP_STATUS.get(status_code, GRPC_UNKNOWN)
        self.finish({'error': self._reason, 'code': code})

    async def post(self, method: str) -> None:
        platform = self.platform
        platform.counts[method] += 1
        if not platform.within_quota(method):
            platform.counts['over-quota'] += 1
            raise web.HTTPError(429, reason='over the quota')
        await self._inject_fault_before_call()
        try:
            body = json.loads(self.request.body)
            if method == 'watch':
                await self._watch(body['create_request'])
                return
            answer = platform.answer(method, body)
        except keyvalue.ValueTooLarge as error:
            raise web.HTTPError(400, reason=str(error)) from error
        except keyvalue.LeaseNotFound as error:
            raise web.HTTPError(404, reason='lease not found') from error
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise web.HTTPError(400, reason='malformed') from error
        self._inject_lost_answer(method)
        self.finish(answer)

    async def _inject_fault_before_call(self) -> None:
        faults = self.platform.faults
        if faults.outage:
            self._drop_connection()
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if self.platform.faults.outage:
            self._drop_connection()
        if faults.garbage:
            raise web.Finish(b'<html>not what you expect')

    def _inject_lost_answer(self, method: str) -> None:
        if method in WRITE_METHODS and self.platform.faults.lose_answers > 0:
            self.platform.faults.lose_answers -= 1
            self._drop_connection()

    def _drop_connection(self) -> None:
        self.detach().close()
        raise web.Finish()

    async def _watch(self, request: dict[str, Any]) -> None:
        key = _bytes(request['key'])
        end = _bytes(request.get('range_end', ''))
        state = self.platform.state
        revision = int(request.get('start_revision', 0)) or state.revision + 1
        self._write_line({'header': self.platform.header(), 'created': True})
        self.platform.counts['watching'] += 1
        try:
            await self._stream_changes(key, end, revision)
        except iostream.StreamClosedError:
            return
        finally:
            self.platform.counts['watching'] -= 1

    async def _stream_changes(
        self, key: bytes, end: bytes, revision: int
    ) -> None:
        state = self.platform.state
        while True:
            if revision < state.compacted_revision:
                self._cancel_watch(state.compacted_revision)
                return
            changes = state.changes_since(key, end, revision)
            revision = max(revision, state.revision + 1)
            if changes:
                events = [_event_to_json(change) for change in changes]
                self._write_line(
                    {'header': self.platform.header(), 'events': events}
                )
            await self.flush()
            changed = state.changed
            await self._wait_for_change(changed)
            if self.platform.faults.outage:
                self._drop_connection()

    def _cancel_watch(self, compacted_revision: int) -> None:
        self._write_line(
            {
                'header': self.platform.header(),
                'canceled': True,
                'compact_revision': str(compacted_revision),
            }
        )

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        waiters = [
            asyncio.ensure_future(changed.wait()),
            asyncio.ensure_future(self.platform.faults_changed.wait()),
            asyncio.ensure_future(self._close_event().wait()),
        ]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()
        if self._close_event().is_set():
            raise iostream.StreamClosedError

    def _close_event(self) -> asyncio.Event:
        if not hasattr(self, 'gone_event'):
            self.gone_event = asyncio.Event()
        return self.gone_event

    def on_connection_close(self) -> None:
        self._close_event().set()

    def _write_line(self, message: dict[str, Any]) -> None:
        self.write(json.dumps({'result': message}) + '\n')


class ControlHandler(web.RequestHandler):
    """Control interface for tests: read counts, set faults."""

    platform: Platform

    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    def get(self, page: str) -> None:
        self.finish(dict(self.platform.counts))

    def put(self, page: str) -> None:
        try:
            faults = Faults.model_validate_json(self.request.body)
        except pydantic.ValidationError as error:
            raise web.HTTPError(400, reason='wrong faults') from error
        self.platform.set_faults(faults)
        self.finish({})


def _bytes(encoded: str) -> bytes:
    return base64.b64decode(encoded, validate=True)


def _entry_to_json(entry: keyvalue.Entry) -> dict[str, str]:
    return {
        'key': base64.b64encode(entry.key).decode(),
        'value': base64.b64encode(entry.value).decode(),
        'create_revision': str(entry.created_revision),
        'mod_revision': str(entry.modified_revision),
        'version': str(entry.version),
        'lease': str(entry.lease),
    }


def _event_to_json(change: keyvalue.Change) -> dict[str, Any]:
    event: dict[str, Any] = {'kv': _entry_to_json(change.entry)}
    if change.deleted:
        event['type'] = 'DELETE'
    return event


@contextlib.asynccontextmanager
async def serving(
    platform: Platform, address: str, port: int
) -> AsyncIterator[int]:
    """Serve `platform` and yield the bound port."""
    handlers = [
        (r'/v3/(.+)', CallHandler, {'platform': platform}),
        (r'/control/(counts|faults)', ControlHandler, {'platform': platform}),
    ]
    server = httpserver.HTTPServer(web.Application(handlers))
    sockets = netutil.bind_sockets(port, address)
    server.add_sockets(sockets)
    expiry = asyncio.ensure_future(_expire(platform))
    try:
        yield sockets[0].getsockname()[1]
    finally:
        expiry.cancel()
        server.stop()
        await server.close_all_connections()


async def _expire(platform: Platform) -> None:
    while True:
        await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
        platform.state.expire()
