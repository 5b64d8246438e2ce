"""Adapter to a key-value service that speaks etcd's v3 JSON gateway.

Source of the protocol: etcd's published "gRPC gateway" page (v3 API):
keys and values in base64, 64-bit integers as strings, zero fields left
out, streams as one JSON object a line.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import itertools
import json
from typing import Any

import result
from tornado import httpclient
from tornado import simple_httpclient

from peridotpost.kernel import counters
from peridotpost.kernel import tasks
from peridotpost.model import errors
from peridotpost.platform import store

MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class EtcdStore:
    """The platform's service over HTTP; see :class:`store.Store`.

    :param endpoints: base addresses, tried in turn.
    :param timeout_s: seconds for one call.
    :param watch_s: seconds after which a waiting watch is ended, so that
        a connection that silently died is noticed.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        timeout_s: float,
        watch_s: float,
        counts: counters.Counters,
    ) -> None:
        self.endpoints = tuple(endpoints)
        self.timeout_s = timeout_s
        self.watch_s = watch_s
        self.counts = counts
        self.turn = itertools.cycle(self.endpoints)
        self.endpoint = next(self.turn)
        # A watch waits on its connection, so it has its own client: on a
        # shared one, waiting watches would use up every connection and a
        # write would time out in the client's queue.
        self.client = _client()
        self.watch_client = _client()

    def close(self) -> None:
        self.client.close()
        self.watch_client.close()

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        answer = await self._call('kv/range', {'key': _encode(key)})
        return answer.and_then(
            lambda body: self._parse(lambda: _first(body.get('kvs')))
        )

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[store.KeyValue], errors.StoreError]:
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        query = {'key': _encode(prefix), 'range_end': _encode(end)}
        answer = await self._call('kv/range', query)
        return answer.and_then(
            lambda body: self._parse(
                lambda: [_key_value(kv) for kv in body.get('kvs', [])]
            )
        )

    async def swap(
        self, key: str, expected_revision: int, puts: Sequence[store.Put]
    ) -> result.Result[store.Swapped | store.Conflict, errors.StoreError]:
        compare = {
            'key': _encode(key),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_revision),
        }
        transaction = {
            'compare': [compare],
            'success': [{'request_put': _put(put)} for put in puts],
            'failure': [{'request_range': {'key': _encode(key)}}],
        }
        answer = await self._call('kv/txn', transaction)
        return answer.and_then(
            lambda body: self._parse(lambda: _swapped(body))
        )

    async def grant(self, ttl_s: int) -> result.Result[int, errors.StoreError]:
        answer = await self._call('lease/grant', {'TTL': str(ttl_s)})
        return answer.and_then(
            lambda body: self._parse(lambda: int(body['ID']))
        )

    async def keep_alive(
        self, lease: int
    ) -> result.Result[bool, errors.StoreError]:
        answer = await self._call('lease/keepalive', {'ID': str(lease)})
        return answer.and_then(
            lambda body: self._parse(
                lambda: int(body['result'].get('TTL', 0)) > 0
            )
        )

    async def revoke(
        self, lease: int
    ) -> result.Result[None, errors.StoreError]:
        answer = await self._call('lease/revoke', {'ID': str(lease)})
        return answer.map(lambda _: None)

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[result.Result[store.KeyValue, errors.StoreError]]:
        lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        request = self._request(
            'watch',
            {
                'create_request': {
                    'key': _encode(key),
                    'start_revision': str(from_revision),
                }
            },
            self.watch_s,
        )
        request.streaming_callback = _LineSplitter(lines).feed
        self.counts.add('store.watch')
        fetching = asyncio.ensure_future(self._fetch_watch(request, lines))
        try:
            while (line := await lines.get()) is not None:
                for item in self._events(line):
                    yield item
                    if item.is_err():
                        return
            failure = await fetching
            if failure is not None:
                yield result.Err(failure)
        finally:
            await tasks.end(fetching)

    async def _fetch_watch(
        self,
        request: httpclient.HTTPRequest,
        lines: asyncio.Queue[bytes | None],
    ) -> errors.StoreError | None:
        future = self.watch_client.fetch(request)
        future.add_done_callback(lambda done: done.exception())
        try:
            # Cancelling the fetch itself would make tornado log an error;
            # left alone, it ends with its bounded wait.
            await asyncio.wait({future})
            future.result()
        except simple_httpclient.HTTPTimeoutError as error:
            if 'during request' in str(error):
                return None
            return self._unavailable('watch', error)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            return self._unavailable('watch', error)
        finally:
            lines.put_nowait(None)
        return None

    def _events(
        self, line: bytes
    ) -> list[result.Result[store.KeyValue, errors.StoreError]]:
        try:
            message = json.loads(line)['result']
            if message.get('canceled'):
                return [result.Err(self._garbage('watch', 'was cancelled'))]
            return [
                result.Ok(_key_value(event['kv']))
                for event in message.get('events', [])
                if event.get('type', 'PUT') == 'PUT'
            ]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return [result.Err(self._garbage('watch', repr(error)))]

    async def _call(
        self, method: str, body: dict[str, Any]
    ) -> result.Result[dict[str, Any], errors.StoreError]:
        self.counts.add('store.' + method.replace('/', '.'))
        request = self._request(method, body, self.timeout_s)
        try:
            answer = await self.client.fetch(request)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            return result.Err(self._unavailable(method, error))
        try:
            parsed = json.loads(answer.body)
        except ValueError as error:
            return result.Err(self._garbage(method, repr(error)))
        if not isinstance(parsed, dict):
            return result.Err(self._garbage(method, 'is no JSON object'))
        return result.Ok(parsed)

    def _request(
        self, method: str, body: dict[str, Any], timeout_s: float
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            f'{self.endpoint}/v3/{method}',
            method='POST',
            body=json.dumps(body),
            headers={'Content-Type': 'application/json'},
            connect_timeout=self.timeout_s,
            request_timeout=timeout_s,
        )

    def _parse(self, read: Any) -> result.Result[Any, errors.StoreError]:
        try:
            return result.Ok(read())
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return result.Err(self._garbage('answer', repr(error)))

    def _unavailable(
        self, step: str, error: Exception
    ) -> errors.StoreUnavailable:
        self.counts.add('store.unavailable')
        failed = self.endpoint
        self.endpoint = next(self.turn)
        return errors.StoreUnavailable(
            f'{error}; the write or read may be repeated',
            step=f'store.{step}',
            peer=failed,
        )

    def _garbage(self, step: str, detail: str) -> errors.StoreGarbage:
        self.counts.add('store.garbage')
        return errors.StoreGarbage(
            f'unusable answer: {detail}',
            step=f'store.{step}',
            peer=self.endpoint,
        )


def _client() -> simple_httpclient.SimpleAsyncHTTPClient:
    client = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_CONNECTIONS,
        max_body_size=MAX_ANSWER_BYTES,
    )
    return client


class _LineSplitter:
    """Cuts a stream of bytes into lines."""

    def __init__(self, lines: asyncio.Queue[bytes | None]) -> None:
        self.lines = lines
        self.rest = b''

    def feed(self, chunk: bytes) -> None:
        *whole, self.rest = (self.rest + chunk).split(b'\n')
        for line in whole:
            if line:
                self.lines.put_nowait(line)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _put(put: store.Put) -> dict[str, str]:
    return {
        'key': _encode(put.key),
        'value': base64.b64encode(put.value).decode(),
        'lease': str(put.lease),
    }


def _key_value(kv: dict[str, Any]) -> store.KeyValue:
    return store.KeyValue(
        key=base64.b64decode(kv['key'], validate=True).decode(),
        value=base64.b64decode(kv.get('value', ''), validate=True),
        revision=int(kv['mod_revision']),
        lease=int(kv.get('lease', 0)),
    )


def _first(kvs: list[dict[str, Any]] | None) -> store.KeyValue | None:
    return _key_value(kvs[0]) if kvs else None


def _swapped(body: dict[str, Any]) -> store.Swapped | store.Conflict:
    if body.get('succeeded'):
        return store.Swapped(int(body['header']['revision']))
    found = body['responses'][0]['response_range'].get('kvs')
    return store.Conflict(_first(found))


@contextlib.contextmanager
def etcd_store(
    endpoints: Sequence[str],
    timeout_s: float,
    watch_s: float,
    counts: counters.Counters,
) -> Iterator[EtcdStore]:
    """Own an :class:`EtcdStore` and close its connections."""
    opened = EtcdStore(endpoints, timeout_s, watch_s, counts)
    try:
        yield opened
    finally:
        opened.close()
