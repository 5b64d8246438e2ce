"""Accepts HTTP requests from external callers and from this host's targets.

The Host header selects the service.  Bodies are read completely, up to the
service's limit, before a call is dispatched, so that a target never
receives a truncated request.
"""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random

from tornado import httpserver
from tornado import httputil

from peridotpost.calls import connections
from peridotpost.calls import guard as guards
from peridotpost.calls import problems
from peridotpost.calls import requests
from peridotpost.calls import router as routers
from peridotpost.calls import sockets as ports
from peridotpost.decisions import idempotency
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import timeline
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.model import calls

MAX_DEPTH = 10
"""Maximum length of a chain of calls between services, which ends loops."""
BODY_TIMEOUT_S = 60.0
"""Maximum time for receiving a body; 16 MB in this time are 2.3 Mbit/s."""
KEY_HEADER = 'Idempotency-Key'
FROM_HEADER = 'Peridot-From'
CALLER_HEADER = 'Peridot-Caller'
MAX_CALLER_LENGTH = 64
UNKNOWN_SERVICE_BODY_BYTES = 65_536
"""Body limit of a request to an unknown service."""
RESERVED_HEADERS = connections.HOP_HEADERS | {
    'idempotency-key',
    'peridot-timeout-ms',
    'peridot-depth',
    'peridot-request-id',
    'peridot-from',
    'peridot-caller',
}


class RefusedRequest(Exception):
    """A request that is refused by the ingress, with the refusal."""

    def __init__(self, reason: calls.NotRunReason, detail: str) -> None:
        super().__init__(detail)
        self.refusal = calls.NotRun(reason, detail)


class Ingress(httputil.HTTPServerConnectionDelegate):
    """Converts HTTP requests to calls.

    :param for_targets: serve this host's targets, which may call the
        services that theirs depend on, instead of external callers, who may
        call all services that are not internal.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        router: routers.Router,
        myself: own.LocalMember,
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
        self.buffered_bytes = 0

    @property
    def leaving(self) -> bool:
        return self.myself.stage is own.Stage.LEAVING

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        return requests.Request(self, request_conn)

    def new_request_id(self) -> str:
        return f'{self.randomness.getrandbits(64):016x}'

    async def answer(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
        source: str = '',
    ) -> calls.Answer:
        """Return the answer to a completely received request."""
        self.counts.add('ingress.requests')
        try:
            call = self.to_call(start, headers, body, request_id, source)
        except RefusedRequest as error:
            self.counts.add(f'ingress.refused.{error.refusal.reason.value}')
            refused = _outcome_for_key(error.refusal, headers.get(KEY_HEADER))
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

    def body_limit(self, headers: httputil.HTTPHeaders) -> int:
        """Return the maximum size of the request's body."""
        route = self.replica.table.routes.get(_service_name(headers))
        if route is None:
            return UNKNOWN_SERVICE_BODY_BYTES
        return route.spec.limits.body_bytes

    def to_call(
        self,
        start: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
        body: bytes,
        request_id: str,
        source: str = '',
    ) -> calls.Call:
        """Validate a request and convert it to a call.

        :raises RefusedRequest: the request is invalid or not allowed.
        """
        if self.myself.stage is not own.Stage.READY:
            raise RefusedRequest(
                calls.NotRunReason.NOT_READY, 'this daemon is not serving'
            )
        service = _service_name(headers)
        if not service:
            raise RefusedRequest(
                calls.NotRunReason.BAD_REQUEST,
                'the request names no service; set one in Host',
            )
        route = self.replica.table.routes.get(service)
        if route is None:
            raise RefusedRequest(
                calls.NotRunReason.NO_SERVICE,
                f'no service {service!r} in version '
                f'{self.replica.version.revision}; set one in Host',
            )
        self._check_allowed(service, headers)
        spec = route.spec
        rule = spec.find_rule(start.method, start.path)
        depth = _read_number(headers, guards.DEPTH_HEADER, 0)
        if depth >= MAX_DEPTH:
            raise RefusedRequest(
                calls.NotRunReason.FORBIDDEN, f'over {MAX_DEPTH} calls deep'
            )
        requested_ms = _read_number(
            headers, guards.TIMEOUT_HEADER, rule.deadline_ms
        )
        return calls.Call(
            request_id=request_id,
            service=service,
            method=start.method,
            path=start.path,
            headers=connections.end_to_end_headers(headers, RESERVED_HEADERS),
            body=body,
            budget_ms=min(requested_ms, rule.deadline_ms),
            idempotent=rule.idempotent,
            key=''
            if rule.idempotent
            else _read_key(headers, self.router.keyed),
            depth=depth,
            caller=_caller_name(headers, source),
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
        if not any(table.may_call(source, service) for source in sources):
            raise RefusedRequest(
                calls.NotRunReason.FORBIDDEN,
                f'no service here depends on {service!r}; add it to '
                'depends_on in the configuration',
            )


def _service_name(headers: httputil.HTTPHeaders) -> str:
    host = headers.get('Host', '')
    return host.partition(':')[0].partition('.')[0].lower()


def _read_number(
    headers: httputil.HTTPHeaders, name: str, default: int
) -> int:
    raw = headers.get(name)
    if raw is None:
        return default
    # int() raises ValueError for more than 4300 digits.
    if (
        not raw.isascii()
        or not raw.isdigit()
        or len(raw) > requests.MAX_NUMBER_DIGITS
    ):
        raise RefusedRequest(
            calls.NotRunReason.BAD_REQUEST,
            f'{name} is not a non-negative integer',
        )
    return int(raw)


def _read_key(
    headers: httputil.HTTPHeaders, keyed: routers.KeyedCalls | None
) -> str:
    given = headers.get(KEY_HEADER)
    if keyed is None:
        raise RefusedRequest(
            calls.NotRunReason.NOT_READY, 'non-idempotent calls are not served'
        )
    if given is None:
        return keyed.generate_key()
    try:
        return idempotency.parse(given).text
    except idempotency.BadKey as error:
        raise RefusedRequest(
            calls.NotRunReason.BAD_KEY, f'{KEY_HEADER}: {error}'
        ) from error


def _outcome_for_key(refusal: calls.NotRun, key: str | None) -> calls.Outcome:
    """Return the outcome of a refused request that may have a key.

    A call with a key may already have run and been retried, after its
    answer was lost, through a daemon that is not ready or has another
    version.  After `not run`, its caller would send it under a new key,
    so the outcome is unknown: only the key's owner knows.  An invalid key
    was never run anywhere.
    """
    if key is None or refusal.reason is calls.NotRunReason.BAD_KEY:
        return refusal
    return calls.OutcomeUnknown(
        f'{refusal.detail}; this daemon did not run it, and does not know '
        'whether another did'
    )


def _with_key(answer: calls.Answer, key: str) -> calls.Answer:
    """Return the answer with the key that its call was run under."""
    if not key:
        return answer
    others = [
        header
        for header in answer.headers
        if header.name.title() != KEY_HEADER
    ]
    headers = (*others, calls.Header(KEY_HEADER, key))
    return dataclasses.replace(answer, headers=headers)


def _caller_name(headers: httputil.HTTPHeaders, source: str) -> str:
    """Return the caller's name: as given, its service, or its address."""
    named = headers.get(CALLER_HEADER) or headers.get(FROM_HEADER) or source
    return named[:MAX_CALLER_LENGTH]


@contextlib.asynccontextmanager
async def serving(
    ingress: Ingress, address: str, port: int, setting: str
) -> AsyncIterator[int]:
    """Serve callers and yield the bound port.

    :raises errors.PeridotError: the port cannot be opened.
    """
    server = httpserver.HTTPServer(
        ingress,
        max_body_size=requests.MAX_BODY_BYTES,
        idle_connection_timeout=300,
        body_timeout=BODY_TIMEOUT_S,
    )
    sockets = ports.bind(address, port, setting)
    server.add_sockets(sockets)
    try:
        yield sockets[0].getsockname()[1]
    finally:
        server.stop()
        await server.close_all_connections()
