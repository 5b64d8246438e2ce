"""Takes callers' HTTP requests, from outside and from this host's targets.

The service is named by the Host header.  Bodies are read whole, within the
service's bound, before anything is sent on, so that a request cut short
never reaches a target in part.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import peers
from peridotpost.calls import problems
from peridotpost.calls import router as routers
from peridotpost.decisions import idempotency
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.model import calls

MAX_DEPTH = 10
MAX_BODY_BYTES = 16_777_216
KEY_HEADER = 'Idempotency-Key'
FROM_HEADER = 'Peridot-From'
OWN_HEADERS = connections.HOP_HEADERS | {
    'idempotency-key',
    'peridot-timeout-ms',
    'peridot-depth',
    'peridot-request-id',
    'peridot-from',
}


class RefusedRequest(Exception):
    """A request that cannot become a call; carries the refusal."""

    def __init__(self, reason: calls.NotRunReason, detail: str) -> None:
        super().__init__(detail)
        self.refusal = calls.NotRun(reason, detail)


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Turns HTTP requests into calls.

    :param for_targets: serve this host's targets, which may call what
        their service depends on, instead of callers from outside, who may
        call what is not internal.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        router: routers.Router,
        myself: own.Myself,
        targets: local.LocalTargets,
        events: timeline.Timeline,
        counts: counters.Counters,
        randomness: random.Random,
        *,
        for_targets: bool,
    ) -> None:
        self.replica = replica
        self.router = router
        self.myself = myself
        self.targets = targets
        self.events = events
        self.counts = counts
        self.randomness = randomness
        self.for_targets = for_targets
        self.in_flight = 0

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        return _Request(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        self.counts.add('ingress.closed')

    def new_request_id(self) -> str:
        return f'{self.randomness.getrandbits(64):016x}'

    async def answer(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
    ) -> calls.Answer:
        """Return the one answer to a request that was read whole."""
        self.counts.add('ingress.requests')
        try:
            call = self.to_call(start, headers, body, request_id)
        except RefusedRequest as error:
            self.counts.add(f'ingress.refused.{error.refusal.reason.value}')
            refused = _of_key(error.refusal, headers.get(KEY_HEADER))
            return problems.to_answer(refused, request_id)
        self.events.record(
            'call.received', call.service, request_id=request_id
        )
        outcome = await self.router.route(call)
        self.counts.add(f'ingress.{type(outcome).__name__.lower()}')
        self.events.record(
            'call.done', type(outcome).__name__, request_id=request_id
        )
        return _with_key(problems.to_answer(outcome, request_id), call.key)

    def to_call(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
    ) -> calls.Call:
        """Check a request against the configuration.

        :raises RefusedRequest: it cannot be a call.
        """
        if self.myself.stage is not own.Stage.READY:
            raise RefusedRequest(
                calls.NotRunReason.NOT_READY, 'this daemon is not serving'
            )
        service = headers.get('Host', '').split(':')[0].split('.')[0].lower()
        route = self.replica.table.routes.get(service)
        if route is None:
            raise RefusedRequest(
                calls.NotRunReason.NO_SERVICE,
                f'no service {service!r} in version '
                f'{self.replica.version.revision}; name one in Host',
            )
        self._check_allowed(service, headers)
        spec = route.spec
        if len(body) > spec.limits.body_bytes:
            raise RefusedRequest(
                calls.NotRunReason.TOO_LARGE,
                f'the body is over {spec.limits.body_bytes} bytes',
            )
        rule = spec.rule_for(start.method, start.path)
        depth = _number(headers, guards.DEPTH_HEADER, 0)
        if depth >= MAX_DEPTH:
            raise RefusedRequest(
                calls.NotRunReason.FORBIDDEN, f'over {MAX_DEPTH} calls deep'
            )
        asked_ms = _number(headers, guards.TIMEOUT_HEADER, rule.deadline_ms)
        return calls.Call(
            request_id=request_id,
            service=service,
            method=start.method,
            path=start.path,
            headers=_passed_on(headers),
            body=body,
            budget_ms=min(asked_ms, rule.deadline_ms),
            idempotent=rule.idempotent,
            key='' if rule.idempotent else _key(headers, self.router.keyed),
            depth=depth,
        )

    def _check_allowed(
        self, service: str, headers: httputil.HTTPHeaders
    ) -> None:
        table = self.replica.table
        if not self.for_targets:
            if table.routes[service].spec.internal:
                raise RefusedRequest(
                    calls.NotRunReason.FORBIDDEN,
                    f'{service!r} is internal',
                )
            return
        hosted = self.targets.services()
        named = headers.get(FROM_HEADER)
        sources = hosted & {named} if named else hosted
        if not any(table.may_call(one, service) for one in sources):
            raise RefusedRequest(
                calls.NotRunReason.FORBIDDEN,
                f'no service here depends on {service!r}; add it to '
                'depends_on in the text',
            )


class _Request(httputil.HTTPMessageDelegate):
    """Reads one request whole, then has it answered."""

    def __init__(
        self, ingress: Ingress, connection: httputil.HTTPConnection
    ) -> None:
        self.ingress = ingress
        self.connection = connection
        self.start: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.work: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self.start = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.chunks.append(chunk)

    def finish(self) -> None:
        self.ingress.in_flight += 1
        self.work = asyncio.ensure_future(self._serve())
        self.work.add_done_callback(self._served)

    def on_connection_close(self) -> None:
        if self.work is not None:
            self.ingress.counts.add('ingress.caller-gone')
            self.work.cancel()

    def _served(self, work: asyncio.Task[None]) -> None:
        self.ingress.in_flight -= 1
        if not work.cancelled() and work.exception() is not None:
            self.ingress.counts.add('ingress.failed')

    async def _serve(self) -> None:
        assert self.start is not None
        request_id = (
            self.headers.get(guards.REQUEST_ID_HEADER, '')[:64]
            or self.ingress.new_request_id()
        )
        answer = await self.ingress.answer(
            self.start, self.headers, b''.join(self.chunks), request_id
        )
        headers = httputil.HTTPHeaders()
        for header in answer.headers:
            headers.add(header.name, header.value)
        headers[guards.REQUEST_ID_HEADER] = request_id
        if self.ingress.myself.stage is own.Stage.LEAVING:
            headers['Connection'] = 'close'
        bodiless = self.start.method == 'HEAD' or answer.status in (204, 304)
        if not bodiless:
            headers['Content-Length'] = str(len(answer.body))
        line = httputil.ResponseStartLine(
            'HTTP/1.1', answer.status, answer.reason
        )
        with contextlib.suppress(iostream.StreamClosedError):
            written = self.connection.write_headers(
                line, headers, answer.body if not bodiless else None
            )
            self.connection.finish()
            await written


def _number(headers: httputil.HTTPHeaders, name: str, default: int) -> int:
    raw = headers.get(name)
    if raw is None:
        return default
    if not raw.isascii() or not raw.isdigit():
        raise RefusedRequest(
            calls.NotRunReason.BAD_KEY, f'{name} is not a whole number'
        )
    return int(raw)


def _key(
    headers: httputil.HTTPHeaders, keyed: routers.KeyedCalls | None
) -> str:
    given = headers.get(KEY_HEADER)
    if keyed is None:
        raise RefusedRequest(
            calls.NotRunReason.NOT_READY, 'calls with keys are not served'
        )
    if given is None:
        return keyed.mint()
    try:
        return idempotency.parse(given).text
    except idempotency.BadKey as error:
        raise RefusedRequest(
            calls.NotRunReason.BAD_KEY, f'{KEY_HEADER}: {error}'
        ) from error


def _of_key(refusal: calls.NotRun, key: str | None) -> calls.Outcome:
    """Return what a refusal here says of a request with a key.

    Failure answered: a caller whose call ran, but whose answer was lost,
    sends it again to a daemon that is not ready or holds another version;
    told `not run`, it would send the call under a new key.  Only the key's
    owner can tell; a key that is none was never run anywhere.
    """
    if key is None or refusal.reason is calls.NotRunReason.BAD_KEY:
        return refusal
    return calls.OutcomeUnknown(
        f'{refusal.detail}; this daemon did not run it, and cannot tell '
        'whether it ran by another'
    )


def _with_key(answer: calls.Answer, key: str) -> calls.Answer:
    """Return the answer with the key that its call ran under."""
    if not key:
        return answer
    kept = [one for one in answer.headers if one.name.title() != KEY_HEADER]
    headers = (*kept, calls.Header(KEY_HEADER, key))
    return dataclasses.replace(answer, headers=headers)


def _passed_on(headers: httputil.HTTPHeaders) -> tuple[calls.Header, ...]:
    return tuple(
        calls.Header(name, value)
        for name, value in headers.get_all()
        if name.lower() not in OWN_HEADERS
    )


@contextlib.asynccontextmanager
async def serving(
    ingress: Ingress, address: str, port: int, setting: str
) -> AsyncIterator[int]:
    """Serve callers and yield the port in use.

    :raises errors.PeridotError: the port is taken.
    """
    server = httpserver.HTTPServer(
        ingress, max_body_size=MAX_BODY_BYTES, idle_connection_timeout=300
    )
    sockets = peers.bind(address, port, setting)
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
