"""Adapter to a key-value service that speaks etcd's v3 JSON gateway.

Source of the protocol: etcd's published "gRPC gateway" page (v3 API):
keys and values in base64, 64-bit integers as strings, zero fields left
out, streams as one JSON object a line.
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
from peridotpost.store import answers
from peridotpost.store import lines
from peridotpost.store import store

MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024
BAD_REQUEST = 400
NOT_FOUND = 404
TIMED_OUT = 408
OVER_QUOTA = 429
SERVER_ERROR = 500
ParsedT = TypeVar('ParsedT')


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
        self.endpoint = self.endpoints[0]
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        self.client.close()

    async def read(
        self, key: str
    ) -> result.Result[store.KeyValue | None, errors.StoreError]:
        found = await self._read_at(key)
        return found.map(lambda snapshot: snapshot.found)

    async def _read_at(
        self, key: str
    ) -> result.Result[answers.Snapshot, errors.StoreError]:
        return await self._ask(
            'kv/range',
            {'key': answers.encode(key.encode())},
            lambda body: answers.snapshot(body, key),
        )

    async def read_prefix(
        self, prefix: str
    ) -> result.Result[list[store.KeyValue], errors.StoreError]:
        first, end = answers.prefix_range(prefix)
        return await self._ask(
            'kv/range',
            {'key': answers.encode(first), 'range_end': answers.encode(end)},
            lambda body: answers.all_under(body, prefix),
        )

    async def swap(
        self, key: str, expected_revision: int, puts: Sequence[store.Put]
    ) -> result.Result[store.Swapped | store.Conflict, errors.StoreError]:
        encoded = answers.encode(key.encode())
        compare = {
            'key': encoded,
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': str(expected_revision),
        }
        transaction = {
            'compare': [compare],
            'success': [{'request_put': answers.put(put)} for put in puts],
            'failure': [{'request_range': {'key': encoded}}],
        }
        return await self._ask(
            'kv/txn', transaction, lambda body: answers.swapped(body, key)
        )

    async def grant(self, ttl_s: int) -> result.Result[int, errors.StoreError]:
        return await self._ask(
            'lease/grant',
            {'TTL': str(ttl_s)},
            lambda body: answers.positive(body['ID']),
        )

    async def keep_alive(
        self, lease: int
    ) -> result.Result[bool, errors.StoreError]:
        return await self._ask(
            'lease/keepalive',
            {'ID': str(lease)},
            lambda body: answers.renewed(body, lease),
        )

    async def revoke(
        self, lease: int
    ) -> result.Result[None, errors.StoreError]:
        revoked: result.Result[None, errors.StoreError] = await self._ask(
            'lease/revoke', {'ID': str(lease)}, lambda body: None
        )
        if isinstance(revoked, result.Err) and isinstance(
            revoked.err_value, errors.LeaseLapsed
        ):
            return result.Ok(None)
        return revoked

    async def watch(
        self, key: str, from_revision: int
    ) -> AsyncGenerator[
        result.Result[store.KeyValue, errors.StoreError], None
    ]:
        until = asyncio.get_running_loop().time() + self.watch_s
        lost: errors.StoreError | None = None
        async with contextlib.aclosing(
            self._watch_once(key, from_revision, until)
        ) as items:
            async for item in items:
                if isinstance(item, result.Err):
                    lost = item.err_value
                    break
                yield item
        if not isinstance(lost, errors.StoreCompacted):
            if lost is not None:
                yield result.Err(lost)
            return
        # A key that is seldom written stands at a revision that is soon
        # compacted.  A watcher that reads it and watches from there would
        # be cancelled each time; watching from the revision of the read
        # itself ends that.
        self.counts.add('store.watch-compacted')
        found = await self._read_at(key)
        if isinstance(found, result.Err):
            yield found
            return
        snapshot = found.ok_value
        latest = snapshot.found
        if latest is not None and latest.revision >= from_revision:
            yield result.Ok(latest)
        async with contextlib.aclosing(
            self._watch_once(key, snapshot.revision + 1, until)
        ) as items:
            async for item in items:
                yield item

    async def _watch_once(
        self, key: str, from_revision: int, until: float
    ) -> AsyncGenerator[
        result.Result[store.KeyValue, errors.StoreError], None
    ]:
        """Watch until an ``Err``, or the loop's time is `until`."""
        self.counts.add('store.watch')
        endpoint = self.endpoint
        request = {
            'create_request': {
                'key': answers.encode(key.encode()),
                'start_revision': str(from_revision),
            }
        }
        url = f'{endpoint}/v3/watch'
        body = json.dumps(request).encode()
        try:
            async with lines.posting(url, body, self.timeout_s) as stream:
                # A service that takes connections but does not answer is
                # noticed after a call's time, not after a watch's.
                line = await stream.next_line(self.timeout_s)
                while True:
                    for item in self._events(line, key, endpoint):
                        yield item
                        if item.is_err():
                            return
                    left = until - asyncio.get_running_loop().time()
                    try:
                        line = await stream.next_line(left)
                    except TimeoutError:
                        return
        except lines.StreamFailed as error:
            yield result.Err(self._status_error('watch', endpoint, error))
        except (OSError, ValueError) as error:
            yield result.Err(self._unavailable('watch', endpoint, error))

    def _status_error(
        self, step: str, endpoint: str, error: lines.StreamFailed
    ) -> errors.StoreError:
        if error.status:
            return self._refused(
                step, endpoint, error.status, f'HTTP {error.status} {error}'
            )
        return self._unavailable(step, endpoint, error)

    def _events(
        self, line: bytes, key: str, endpoint: str
    ) -> list[result.Result[store.KeyValue, errors.StoreError]]:
        try:
            heard = answers.watched(line, key)
        except answers.UNREADABLE as error:
            return [result.Err(self._garbage('watch', endpoint, repr(error)))]
        if heard.compacted:
            return [
                result.Err(
                    errors.StoreCompacted(
                        f'changes before {heard.compacted} are not kept',
                        step='store.watch',
                        peer=endpoint,
                    )
                )
            ]
        found: list[result.Result[store.KeyValue, errors.StoreError]] = [
            result.Ok(one) for one in heard.writes
        ]
        if heard.cancelled:
            why = RuntimeError('the service cancelled the watch')
            found.append(result.Err(self._unavailable('watch', endpoint, why)))
        return found

    async def _ask(
        self,
        method: str,
        body: dict[str, Any],
        parse: Callable[[dict[str, Any]], ParsedT],
    ) -> result.Result[ParsedT, errors.StoreError]:
        """Call `method` once; every failure becomes an ``Err``."""
        self.counts.add('store.' + method.replace('/', '.'))
        endpoint = self.endpoint
        request = self._request(endpoint, method, body)
        try:
            answer = await self.client.fetch(request, raise_error=False)
        except (httpclient.HTTPError, OSError, ValueError) as error:
            return result.Err(self._unavailable(method, endpoint, error))
        if answer.code != lines.OK:
            return result.Err(
                self._refused(
                    method,
                    endpoint,
                    answer.code,
                    f'HTTP {answer.code} {answer.reason}',
                    answers.says_not_found(answer.body),
                )
            )
        try:
            return result.Ok(parse(answers.json_object(answer.body)))
        except answers.UNREADABLE as error:
            return result.Err(self._garbage(method, endpoint, repr(error)))

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

    def _refused(
        self,
        step: str,
        endpoint: str,
        status: int,
        detail: str,
        not_found: bool = False,
    ) -> errors.StoreError:
        """Tell "it was not done" from "it may have been done"."""
        if status >= SERVER_ERROR or status == TIMED_OUT:
            return self._unavailable(step, endpoint, RuntimeError(detail))
        if status < BAD_REQUEST or (status == NOT_FOUND and not not_found):
            return self._garbage(step, endpoint, detail)
        self.counts.add('store.refused')
        kind: type[errors.StoreRefused] = errors.StoreRefused
        mend = 'the call is wrong for this service'
        if status == OVER_QUOTA:
            kind, mend = errors.StoreOverloaded, 'repeat it later'
        elif status == NOT_FOUND:
            kind, mend = errors.LeaseLapsed, 'ask for a new lease'
        return kind(f'{detail}; {mend}', step=f'store.{step}', peer=endpoint)

    def _unavailable(
        self, step: str, endpoint: str, error: Exception
    ) -> errors.StoreUnavailable:
        self.counts.add('store.unavailable')
        self._turn_from(endpoint)
        return errors.StoreUnavailable(
            f'{error or type(error).__name__}; the call may be repeated',
            step=f'store.{step}',
            peer=endpoint,
        )

    def _garbage(
        self, step: str, endpoint: str, detail: str
    ) -> errors.StoreGarbage:
        self.counts.add('store.garbage')
        self._turn_from(endpoint)
        return errors.StoreGarbage(
            f'unusable answer: {detail[:200]}',
            step=f'store.{step}',
            peer=endpoint,
        )

    def _turn_from(self, failed: str) -> None:
        """Go on with the next endpoint, unless another call has turned.

        Two calls that fail together on one of two endpoints would
        otherwise turn twice and come back to the one that failed.
        """
        if failed == self.endpoint:
            at = self.endpoints.index(failed)
            self.endpoint = self.endpoints[(at + 1) % len(self.endpoints)]


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
