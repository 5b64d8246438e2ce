"""Sends calls at their times and counts what callers receive."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import json
import random
import uuid

from tornado import httpclient
from tornado import httputil

from peridotpost.load import arrivals
from peridotpost.load import client
from peridotpost.load import report

OUTCOME_HEADER = 'Peridot-Outcome'
NOT_RUN = 'not-run'
PROGRESS_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What to send.

    :param daemons: addresses with ports, used in turn.
    :param services: names for the Host header, used in turn.
    :param keyed: give each call an idempotency key of its own.
    :param timeout_s: after which a caller gives up.
    """

    daemons: tuple[str, ...]
    services: tuple[str, ...]
    method: str = 'GET'
    path: str = '/'
    body_bytes: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    keyed: bool = False
    pattern: arrivals.Pattern = arrivals.Pattern.CONSTANT
    rate: float = 100.0
    seconds: float = 10.0
    timeout_s: float = 15.0
    seed: int = 1


class Runner:
    """One run of a plan."""

    def __init__(
        self, plan: Plan, progress: Callable[[str], None] | None = None
    ) -> None:
        self.plan = plan
        self.progress = progress
        self.result = report.Result(plan=dataclasses.asdict(plan))
        self.randomness = random.Random(plan.seed)
        self.outcome_by_key: dict[str, str] = {}
        self.clients = [
            client.Client(address, int(port))
            for address, _, port in (
                daemon.rpartition(':') for daemon in plan.daemons
            )
        ]

    async def run(self) -> report.Result:
        """Send every call; return when the last one has its outcome."""
        plan = self.plan
        turns = zip(
            arrivals.arrivals(
                plan.pattern, plan.rate, plan.seconds, self.randomness
            ),
            itertools.cycle(self.clients),
            itertools.cycle(plan.services),
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        told = 0.0
        pending: set[asyncio.Future[None]] = set()
        for at, one, service in turns:
            due = began + at
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            elif self.result.sent % 64 == 0:
                await asyncio.sleep(0)
            task = asyncio.ensure_future(self._call(one, service, due))
            pending.add(task)
            task.add_done_callback(pending.discard)
            self.result.sent += 1
            if at - told >= PROGRESS_S:
                told = at
                self._tell(at, len(pending))
        while pending:
            await asyncio.wait(set(pending))
        self.result.seconds = loop.time() - began
        self.result.connections_opened = sum(c.opened for c in self.clients)
        for one in self.clients:
            one.close()
        return self.result

    def _tell(self, at: float, pending: int) -> None:
        if self.progress is not None:
            self.progress(
                f'{at:.0f} of {self.plan.seconds:.0f} s: '
                f'{self.result.sent} sent, {pending} without an outcome'
            )

    async def _call(
        self, one: client.Client, service: str, due: float
    ) -> None:
        """Make one call; its time counts from when it was due.

        Counting from the actual sending would leave out the wait of calls
        behind a stall ("coordinated omission").
        """
        plan = self.plan
        key = ''
        headers = (('Host', service), *plan.headers)
        if plan.keyed:
            key = str(uuid.UUID(int=self.randomness.getrandbits(128)))
            headers = (*headers, ('Idempotency-Key', key))
        request = client.Request(
            plan.method, plan.path, headers, b'x' * plan.body_bytes
        )
        outcome = await self._outcome(one, request)
        spent = asyncio.get_running_loop().time() - due
        self.result.note(outcome, spent)
        if key:
            self.outcome_by_key[key] = outcome

    async def _outcome(
        self, one: client.Client, request: client.Request
    ) -> str:
        try:
            received = await asyncio.wait_for(
                one.send(request), self.plan.timeout_s
            )
        except client.AnswerMissing:
            return 'lost'
        except TimeoutError:
            return 'timeout'
        except OSError:
            return 'no-connection'
        except httputil.HTTPInputError:
            return 'malformed'
        word = received.headers.get(OUTCOME_HEADER, 'answered')
        return f'{received.status} {word}'

    async def check_runs(self, targets: Sequence[str]) -> None:
        """Compare what callers were told with the targets' own counts.

        :param targets: base addresses of stand-in targets.
        """
        runs: dict[str, int] = {}
        reader = httpclient.AsyncHTTPClient(force_instance=True)
        for target in targets:
            answer = await reader.fetch(f'{target}/standin/counts')
            for key, count in json.loads(answer.body)['ran'].items():
                runs[key] = runs.get(key, 0) + int(count)
        reader.close()
        self.result.runs_checked = True
        for key, outcome in self.outcome_by_key.items():
            count = runs.get(key, 0)
            if count > 1:
                self.result.doubled_runs += 1
            if count and outcome.endswith(NOT_RUN):
                self.result.false_not_run += 1
            if not count and outcome == '200 answered':
                self.result.answered_unrun += 1
