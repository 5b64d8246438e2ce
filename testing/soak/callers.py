"""Callers of one host, who go on whatever happens to it."""

import asyncio
import dataclasses
import itertools
import random
import time

from testing import proxies
from testing.soak import hosts
from testing.soak import records
from testing.soak import worker_program

MIN_DEADLINE_S, MAX_DEADLINE_S = 0.8, 2.5
PATIENCE_S = 2.0
"""Past its deadline a request that has no answer counts as silent."""
PAUSE_S = 0.15
"""Mean pause between a caller's requests."""
NO_CONNECTION_PAUSE_S = 0.1
LEAVES_SHARE = 0.04
ODD_SHARE = 0.15
VERSION_SHARE = 0.15
NEW_CONNECTION_SHARE = 0.1
MAX_WORK_MS = 120
ABUSE_TIMES = 5
"""How often a caller that abuses retries asks again at once."""
ODD_ACTIONS = (
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
"""What targets are asked to do wrong; see the stand-in."""


class Caller:
    """One caller, with one connection at a time."""

    def __init__(
        self,
        host: hosts.Place,
        seen: records.Records,
        newest: 'Newest',
        dice: random.Random,
        numbers: 'itertools.count[int]',
    ) -> None:
        self.host = host
        self.seen = seen
        self.newest = newest
        self.dice = dice
        self.numbers = numbers

    async def call_until(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            try:
                connection = await asyncio.open_connection(
                    self.host.address,
                    hosts.REQUESTS,
                    local_addr=(self.host.address, 0),
                )
            except OSError:
                await asyncio.sleep(NO_CONNECTION_PAUSE_S)
                continue
            try:
                await self._use(proxies.Caller(*connection), stop)
            finally:
                connection[1].close()

    async def _use(self, caller: proxies.Caller, stop: asyncio.Event) -> None:
        """Send requests on one connection until it ends or enough is sent."""
        while not stop.is_set():
            await asyncio.sleep(self.dice.expovariate(1 / PAUSE_S))
            asked = self._draw()
            again = await self._ask_noted(caller, asked)
            for _ in range(ABUSE_TIMES):
                if not (again and self.newest.abused and asked.status == 503):
                    break
                asked = self._again(asked)
                again = await self._ask_noted(caller, asked)
            if not again or self.dice.random() < NEW_CONNECTION_SHARE:
                return

    async def _ask_noted(
        self, caller: proxies.Caller, asked: records.Asked
    ) -> bool:
        self.seen.asked.append(asked)
        again = await self._ask(caller, asked)
        asked.ended = time.monotonic()
        return again

    def _draw(self) -> records.Asked:
        once = self.dice.random() < 0.45
        kind = records.Kind.ONCE if once else records.Kind.IDEMPOTENT
        action = 'work'
        if self.dice.random() < ODD_SHARE:
            action = self.dice.choice(ODD_ACTIONS)
        prefix = kind.value
        version = 0
        if self.dice.random() < VERSION_SHARE:
            kind = records.Kind.IDEMPOTENT
            version = self.newest.draw(self.dice)
            prefix = f'v{version}'
        elif self.dice.random() < 0.25:
            kind, prefix = records.Kind.IDEMPOTENT, 'other'
        number = next(self.numbers)
        work_ms = self.dice.randint(1, MAX_WORK_MS)
        body = self._body(kind, number)
        return records.Asked(
            attempt=f'{self.host.name}-{number}',
            host=self.host.name,
            kind=kind,
            method='POST' if body else 'GET',
            target=f'/{prefix}/{action}?ms={work_ms}&n={number}',
            digest=worker_program.digest(body),
            sent=0.0,
            deadline_s=self.dice.uniform(MIN_DEADLINE_S, MAX_DEADLINE_S),
            body=body,
            route_version=version,
        )

    def _body(self, kind: records.Kind, number: int) -> bytes:
        if kind is records.Kind.IDEMPOTENT:
            return b''
        return f'body {number} '.encode() * self.dice.randint(1, 3000)

    async def _ask(self, caller: proxies.Caller, asked: records.Asked) -> bool:
        """Send one request, note its end; return whether to go on here."""
        body, asked.body = asked.body, b''
        caller.send(
            asked.target,
            asked.method,
            asked.attempt,
            body,
            X_Deadline_Remaining_Ms=str(int(asked.deadline_s * 1000)),
        )
        asked.sent = time.monotonic()
        limit_s = asked.deadline_s + PATIENCE_S
        leaves = self.dice.random() < LEAVES_SHARE
        if leaves:
            limit_s = self.dice.uniform(0.0, asked.deadline_s)
        try:
            async with asyncio.timeout(limit_s):
                answer = await caller.receive()
        except TimeoutError:
            asked.ending = records.Ending.SILENT
            if leaves:
                asked.ending = records.Ending.LEFT
            return False
        except (OSError, asyncio.IncompleteReadError):
            asked.ending = records.Ending.CLOSED
            return False
        asked.ending = records.Ending.ANSWERED
        asked.status = answer.status
        asked.proof = answer.headers.get('x-response-signature', '')
        asked.body = answer.body
        return answer.headers.get('connection', '').lower() != 'close'

    def _again(self, asked: records.Asked) -> records.Asked:
        """Return a refused request as its caller sends it at once again."""
        body = self._body(asked.kind, next(self.numbers))
        return dataclasses.replace(
            asked,
            attempt=f'{self.host.name}-{next(self.numbers)}',
            digest=worker_program.digest(body),
            ending=records.Ending.SILENT,
            status=0,
            proof='',
            body=body,
        )


class Newest:
    """What callers know of the fleet.

    :param version: routes are named after.
    :param abused: refused callers ask again at once.
    """

    def __init__(self) -> None:
        self.version = 0
        self.abused = False

    def draw(self, dice: random.Random) -> int:
        return max(1, self.version - dice.randint(0, 4))
