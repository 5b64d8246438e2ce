"""Callers of one host, which keep sending requests during faults."""

import asyncio
import dataclasses
import itertools
import random
import time
from typing import Any

from testing import proxies
from testing.soak import customers
from testing.soak import hosts
from testing.soak import large_bodies
from testing.soak import records
from testing.soak import worker_program

MIN_DEADLINE_S, MAX_DEADLINE_S = 0.8, 2.5
RESPONSE_GRACE_S = 2.0
"""Time after its deadline until an unanswered request counts as silent."""
MEAN_PAUSE_S = 0.15
"""Mean time between the requests of one caller."""
RECONNECT_DELAY_S = 0.1
ABANDON_PROBABILITY = 0.04
FAULTY_ACTION_PROBABILITY = 0.15
VERSIONED_ROUTE_PROBABILITY = 0.15
RECONNECT_PROBABILITY = 0.1
ANONYMOUS_ROUTE_PROBABILITY = CALL_PROBABILITY = 0.15
MAX_WORK_MS = 120
MAX_IMMEDIATE_RETRIES = 5
"""Immediate retries of a rejected request while ``retry_abuse`` is set."""
FAULTY_ACTIONS = (
    'failed',
    'truncated',
    'reset',
    'second',
    'garbage',
    'unsigned',
    'encoded',
    'shed',
    'closed',
    'foreign-first',
    'unframed',
)
"""Target faults that a request can ask for; see ``standins.worker``."""
BAD_ANSWER_PROBABILITY = 0.25
BAD_ANSWERS = (
    ('own-status', 'status=503'),
    ('own-status', 'status=429'),
    ('own-status', 'status=408'),
    ('adds-rejection', ''),
    ('adds-failure', ''),
    ('rejects-then-copies', ''),
    ('two-ids-first', ''),
    ('contradiction', 'form=success'),
    ('contradiction', 'form=value'),
    ('contradiction', 'form=repeated'),
    ('second-breaks-off', 'bytes=30'),
    ('broken-first', 'bytes=45'),
    ('cut-framed', 'bytes=40'),
    ('cut-chunked-reset', 'bytes=60'),
)
"""Actions of targets that bear on what counts as not run, and their queries;
drawn in addition to the others, by a generator of their own."""


class Caller:
    """A caller that uses one connection at a time."""

    def __init__(
        self,
        host: hosts.HostSpec,
        observed: records.Records,
        shared: 'SharedState',
        rng: random.Random,
        request_numbers: 'itertools.count[int]',
        sizes: large_bodies.LargeBodies | None = None,
        bad_answers: random.Random | None = None,
    ) -> None:
        self.host = host
        self.observed = observed
        self.shared = shared
        self.rng = rng
        self.request_numbers = request_numbers
        self.sizes = sizes
        self.bad_answers = bad_answers

    async def run_until(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            try:
                connection = await asyncio.open_connection(
                    self.host.address,
                    hosts.REQUESTS_PORT,
                    local_addr=(self.host.address, 0),
                )
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._send_requests(proxies.Caller(*connection), stop)
            finally:
                connection[1].close()

    async def _send_requests(
        self, caller: proxies.Caller, stop: asyncio.Event
    ) -> None:
        """Send requests on one connection until it closes or is replaced."""
        while not stop.is_set():
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_S))
            request = self._make_request()
            reusable = await self._send_recorded(caller, request)
            for _ in range(MAX_IMMEDIATE_RETRIES):
                if not (
                    reusable
                    and self.shared.retry_abuse
                    and request.status == 503
                ):
                    break
                request = self._make_retry(request)
                reusable = await self._send_recorded(caller, request)
            if not reusable or self.rng.random() < RECONNECT_PROBABILITY:
                return

    async def _send_recorded(
        self, caller: proxies.Caller, request: records.Asked
    ) -> bool:
        self.observed.requests.append(request)
        reusable = await self._send(caller, request)
        request.ended = time.monotonic()
        return reusable

    def _make_request(self) -> records.Asked:
        once = self.rng.random() < 0.45
        kind = records.Kind.ONCE if once else records.Kind.IDEMPOTENT
        action = 'work'
        if self.rng.random() < FAULTY_ACTION_PROBABILITY:
            action = self.rng.choice(FAULTY_ACTIONS)
        prefix = kind.value
        version = 0
        if self.rng.random() < VERSIONED_ROUTE_PROBABILITY:
            kind = records.Kind.IDEMPOTENT
            version = self.shared.pick_version(self.rng)
            prefix = f'v{version}'
        elif self.rng.random() < 0.25:
            kind, prefix = records.Kind.IDEMPOTENT, 'other'
        number = next(self.request_numbers)
        work_ms = self.rng.randint(1, MAX_WORK_MS)
        query = f'ms={work_ms}&n={number}'
        if (
            self.bad_answers is not None
            and self.bad_answers.random() < BAD_ANSWER_PROBABILITY
        ):
            action, details = self.bad_answers.choice(BAD_ANSWERS)
            query += f'&{details}' if details else ''
        identity: dict[str, Any] = {}
        if self.shared.customers is not None:
            identity = self.shared.customers.pick(self.rng)
            if self.rng.random() < ANONYMOUS_ROUTE_PROBABILITY:
                kind = records.Kind.IDEMPOTENT
                prefix, version = 'open', 0
            if prefix != 'other' and self.rng.random() < CALL_PROBABILITY:
                query += '&call=1'
        response_size = self._draw_size() if action == 'work' else 0
        if response_size:
            query += f'&answer={response_size}'
        body = self._make_body(kind, number)
        return records.Asked(
            attempt=f'{self.host.name}-{number}',
            host=self.host.name,
            kind=kind,
            method='POST' if body else 'GET',
            target=f'/{prefix}/{action}?{query}',
            digest=worker_program.digest(body),
            sent=0.0,
            deadline_s=self.rng.uniform(MIN_DEADLINE_S, MAX_DEADLINE_S),
            body=body,
            route_version=version,
            response_size=response_size,
            **identity,
        )

    def _make_body(self, kind: records.Kind, number: int) -> bytes:
        if kind is records.Kind.IDEMPOTENT:
            return b''
        content = f'body {number} '.encode()
        body = content * self.rng.randint(1, 3000)
        size = self._draw_size()
        if size:
            body = (content * (size // len(content) + 1))[:size]
        return body

    def _draw_size(self) -> int:
        return self.sizes.draw_size() if self.sizes is not None else 0

    async def _send(
        self, caller: proxies.Caller, request: records.Asked
    ) -> bool:
        """Send a request and record its outcome.

        Return whether the connection can be used again.
        """
        body, request.body = request.body, b''
        caller.send(
            request.target,
            request.method,
            request.attempt,
            body,
            X_Deadline_Remaining_Ms=str(int(request.deadline_s * 1000)),
            **request.headers,
        )
        request.sent = time.monotonic()
        limit_s = request.deadline_s + RESPONSE_GRACE_S
        abandons = self.rng.random() < ABANDON_PROBABILITY
        if abandons:
            limit_s = self.rng.uniform(0.0, request.deadline_s)
        pause_s = 0.0
        if self.sizes is not None:
            pause_s = self.sizes.draw_pause_s(request.deadline_s)
        try:
            async with asyncio.timeout(limit_s):
                if len(body) > large_bodies.MIN_BODY_BYTES:
                    await caller.writer.drain()
                    request.sent = time.monotonic()
                await asyncio.sleep(pause_s)
                response = await caller.receive()
        except TimeoutError:
            request.ending = records.Ending.SILENT
            if abandons:
                request.ending = records.Ending.LEFT
            return False
        except (OSError, asyncio.IncompleteReadError):
            request.ending = records.Ending.CLOSED
            return False
        request.ending = records.Ending.ANSWERED
        request.status = response.status
        request.proof = response.headers.get('x-response-signature', '')
        request.body = large_bodies.without_filler(
            response.body, request.response_size
        )
        request.stated_limit = response.headers.get('server-limit', '')
        request.stated_leaving = 'server-leaving' in response.headers
        return response.headers.get('connection', '').lower() != 'close'

    def _make_retry(self, request: records.Asked) -> records.Asked:
        """Return a retry of a rejected request, with a new attempt id."""
        body = self._make_body(request.kind, next(self.request_numbers))
        return dataclasses.replace(
            request,
            attempt=f'{self.host.name}-{next(self.request_numbers)}',
            digest=worker_program.digest(body),
            ending=records.Ending.SILENT,
            status=0,
            proof='',
            body=body,
            stated_limit='',
            stated_leaving=False,
        )


class SharedState:
    """State that callers share with the fault injector.

    :param version: newest configuration version; versioned routes are
        named after it.
    :param retry_abuse: callers retry rejected requests immediately.
    :param customers: None in a run without customers.
    :param large_bodies: whether some bodies are as large as allowed.
    :param bad_answers: whether requests also ask for ``BAD_ANSWERS``.
    """

    def __init__(self) -> None:
        self.version = 0
        self.retry_abuse = False
        self.customers: customers.Customers | None = None
        self.large_bodies = False
        self.bad_answers = False

    def pick_version(self, rng: random.Random) -> int:
        return max(1, self.version - rng.randint(0, 4))
