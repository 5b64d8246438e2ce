"""Store adapter for key-value services with etcd's v3 JSON gateway.

The protocol follows etcd's documentation of its gRPC gateway (v3 API):
keys and values are base64, 64-bit integers are strings, zero fields are
omitted, and streams have one JSON object per line.
"""

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import json
from typing import Any
from typing import TypeVar

import result
from tornado import httpclient
from tornado import simple_httpclient

from peridotpost.kernel import counters
from peridotpost.model import errors
from peridotpost.store import etcdmessages
from peridotpost.store import linestream
from peridotpost.store import store

MAX_CONNECTIONS = 8
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
BAD_REQUEST = 400
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
ParsedT = TypeVar('ParsedT')


class EtcdStore:
    """Implements :class:`store.Store` over HTTP.

    :param endpoints: base URLs; after a failure the next one is used.
    :param timeout_s: timeout of one call.
    :param max_watch_s: maximum duration of a watch.  It bounds how long a
        silently lost connection goes unnoticed.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        timeout_s: float,
        max_watch_s: float,
        counts: counters.Counters,
    ) -> None:
        self.endpoints = tuple(endpoints)
        self.timeout_s = timeout_s
        self.max_watch_s = max_watch_s
        self.counts = counts
        self.endpoint = self.endpoints[0]
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    def close(self) -> None:
        self.client.close()

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        read = await self._read_snapshot(key)
        return read.map(lambda snapshot: snapshot.key_value)

    async def _read_snapshot(
        self, key: str
    ) -> result.Result[etcdmessages.Snapshot, errors.StoreError]:
        return await self._call(
            'kv/range',
            {'key': etcdmessages.to_base64(key.encode())},
            lambda body: etcdmessages.parse_snapshot(body, key),
        )

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[store.KeyValue], errors.StoreError]:
        first, end = etcdmessages.prefix_range(prefix)
        return await self._call(
            'kv/range',
            {
                'key': etcdmessages.to_base64(first),
                'range_end': etcdmessages.to_base64(end),
            },
            lambda body: etcdmessages.parse_prefix_range(body, prefix),
        )

    async def swap(
        self, key: str, expected_revision: int, puts: Sequence[store.Put]
    ) -> result.Result[store.Swapped | store.Conflict, errors.StoreError]:
        encoded = etcdmessages.to_base64(key.encode())
        compare = {
            'key': encoded,
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_revision),
        }
        transaction = {
            'compare': [compare],
            'success': [
                {'request_put': etcdmessages.put_request(put)} for put in puts
            ],
            'failure': [{'request_range': {'key': encoded}}],
        }
        return await self._call(
            'kv/txn',
            transaction,
            lambda body: etcdmessages.parse_swap(body, key),
        )

    async def grant(self, ttl_s: int) -> result.Result[int, errors.StoreError]:
        return await self._call(
            'lease/grant',
            {'TTL': str(ttl_s)},
            lambda body: etcdmessages.parse_positive(body['ID']),
        )

    async def keep_alive(
        self, lease: int
    ) -> result.Result[bool, errors.StoreError]:
        return await self._call(
            'lease/keepalive',
            {'ID': str(lease)},
            lambda body: etcdmessages.parse_keep_alive(body, lease),
        )

    async def revoke(
        self, lease: int
    ) -> result.Result[None, errors.StoreError]:
        revoked: result.Result[None, errors.StoreError] = await self._call(
            'lease/revoke', {'ID': str(lease)}, lambda body: None
        )
        if isinstance(revoked, result.Err) and isinstance(
            revoked.err_value, errors.LeaseExpired
        ):
            return result.Ok(None)
        return revoked

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncGenerator[
        result.Result[store.KeyValue, errors.StoreError], None
    ]:
        deadline = asyncio.get_running_loop().time() + self.max_watch_s
        failure: errors.StoreError | None = None
        async with contextlib.aclosing(
            self._watch_once(key, from_revision, deadline)
        ) as items:
            async for item in items:
                if isinstance(item, result.Err):
                    failure = item.err_value
                    break
                yield item
        if not isinstance(failure, errors.StoreCompacted):
            if failure is not None:
                yield result.Err(failure)
            return
        # The last write of a rarely written key is soon compacted, and a
        # watch that starts right after it would be cancelled every time.
        # Restart from the revision at which the key was read.
        self.counts.add('store.watch-compacted')
        read = await self._read_snapshot(key)
        if isinstance(read, result.Err):
            yield read
            return
        snapshot = read.ok_value
        latest = snapshot.key_value
        if latest is not None and latest.revision >= from_revision:
            yield result.Ok(latest)
        async with contextlib.aclosing(
            self._watch_once(key, snapshot.revision + 1, deadline)
        ) as items:
            async for item in items:
                yield item

    async def _watch_once(
        self, key: str, from_revision: int, deadline: float
    ) -> AsyncGenerator[
        result.Result[store.KeyValue, errors.StoreError], None
    ]:
        """Watch until an ``Err`` or until `deadline` on the loop's clock."""
        self.counts.add('store.watch')
        endpoint = self.endpoint
        request = {
            'create_request': {
                'key': etcdmessages.to_base64(key.encode()),
                'start_revision': str(from_revision),
            }
        }
        url = f'{endpoint}/v3/watch'
        body = json.dumps(request).encode()
        try:
            async with linestream.open_line_stream(
                url, body, self.timeout_s
            ) as stream:
                # The first line has the timeout of a call, to detect early
                # a service that accepts connections but never responds.
                line = await stream.next_line(self.timeout_s)
                while True:
                    for item in self._watch_items(line, key, endpoint):
                        yield item
                        if item.is_err():
                            return
                    remaining_s = deadline - asyncio.get_running_loop().time()
                    try:
                        line = await stream.next_line(remaining_s)
                    except TimeoutError:
                        return
        except linestream.StreamError as error:
            yield result.Err(self._stream_error('watch', endpoint, error))
        except (OSError, ValueError) as error:
            yield result.Err(self._unavailable_error('watch', endpoint, error))

    def _stream_error(
        self, step: str, endpoint: str, error: linestream.StreamError
    ) -> errors.StoreError:
        if error.status:
            return self._status_to_error(
                step, endpoint, error.status, f'HTTP {error.status} {error}'
            )
        return self._unavailable_error(step, endpoint, error)

    def _watch_items(
        self, line: bytes, key: str, endpoint: str
    ) -> list[result.Result[store.KeyValue, errors.StoreError]]:
        try:
            message = etcdmessages.parse_watch_message(line, key)
        except etcdmessages.DECODE_ERRORS as error:
            return [
                result.Err(
                    self._protocol_error('watch', endpoint, repr(error))
                )
            ]
        if message.compact_revision:
            return [
                result.Err(
                    errors.StoreCompacted(
                        f'changes before revision {message.compact_revision} '
                        'were compacted',
                        step='store.watch',
                        peer=endpoint,
                    )
                )
            ]
        items: list[result.Result[store.KeyValue, errors.StoreError]] = [
            result.Ok(write) for write in message.writes
        ]
        if message.cancelled:
            cause = RuntimeError('the service cancelled the watch')
            items.append(
                result.Err(self._unavailable_error('watch', endpoint, cause))
            )
        return items

    async def _call(
        self,
        method: str,
        body: dict[str, Any],
        parse: Callable[[dict[str, Any]], ParsedT],
    ) -> result.Result[ParsedT, errors.StoreError]:
        """Call `method` once and return any failure as an ``Err``."""
        self.counts.add('store.' + method.replace('/', '.'))
        endpoint = self.endpoint
        request = self._request(endpoint, method, body)
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            return result.Err(self._unavailable_error(method, endpoint, error))
        if answer.code != linestream.OK:
            return result.Err(
                self._status_to_error(
                    method,
                    endpoint,
                    answer.code,
                    f'HTTP {answer.code} {answer.reason}',
                    etcdmessages.is_not_found_error(answer.body),
                )
            )
        try:
            return result.Ok(
                parse(etcdmessages.parse_json_object(answer.body))
            )
        except etcdmessages.DECODE_ERRORS as error:
            return result.Err(
                self._protocol_error(method, endpoint, repr(error))
            )

    def _request(
        self, endpoint: str, method: str, body: dict[str, Any]
    ) -> httpclient.HTTPRequest:
        return httpclient.HTTPRequest(
            f'{endpoint}/v3/{method}',
            method='POST',
            body=json.dumps(body),
            headers={'Content-Type': 'application/json'},
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            follow_redirects=False,
        )

    def _status_to_error(
        self,
        step: str,
        endpoint: str,
        status: int,
        detail: str,
        not_found: bool = False,
    ) -> errors.StoreError:
        """Map an HTTP status to an error.

        ``StoreRefused`` means that the call was not executed; after the
        other errors it may have been.
        """
        if status >= SERVER_ERROR or status == REQUEST_TIMEOUT:
            return self._unavailable_error(
                step, endpoint, RuntimeError(detail)
            )
        if status < BAD_REQUEST or (status == NOT_FOUND and not not_found):
            return self._protocol_error(step, endpoint, detail)
        self.counts.add('store.refused')
        kind: type[errors.StoreRefused] = errors.StoreRefused
        hint = 'the service does not accept this request'
        if status == TOO_MANY_REQUESTS:
            kind, hint = errors.StoreOverloaded, 'retry later'
        elif status == NOT_FOUND:
            kind, hint = errors.LeaseExpired, 'request a new lease'
        return kind(f'{detail}; {hint}', step=f'store.{step}', peer=endpoint)

    def _unavailable_error(
        self, step: str, endpoint: str, error: Exception
    ) -> errors.StoreUnavailable:
        self.counts.add('store.unavailable')
        self._switch_endpoint(endpoint)
        return errors.StoreUnavailable(
            f'{str(error) or type(error).__name__}; the call may be retried',
            step=f'store.{step}',
            peer=endpoint,
        )

    def _protocol_error(
        self, step: str, endpoint: str, detail: str
    ) -> errors.StoreProtocolError:
        self.counts.add('store.garbage')
        self._switch_endpoint(endpoint)
        return errors.StoreProtocolError(
            f'invalid response: {detail[:200]}',
            step=f'store.{step}',
            peer=endpoint,
        )

    def _switch_endpoint(self, failed: str) -> None:
        """Switch to the next endpoint unless another call has done so.

        With two endpoints, two calls that fail concurrently would
        otherwise switch twice, back to the endpoint that failed.
        """
        if failed == self.endpoint:
            index = self.endpoints.index(failed)
            self.endpoint = self.endpoints[(index + 1) % len(self.endpoints)]


@contextlib.contextmanager
def etcd_store(
    endpoints: Sequence[str],
    timeout_s: float,
    max_watch_s: float,
    counts: counters.Counters,
) -> Iterator[EtcdStore]:
    """Yield an :class:`EtcdStore` and close its connections on exit."""
    opened = EtcdStore(endpoints, timeout_s, max_watch_s, counts)
    try:
        yield opened
    finally:
        opened.close()
