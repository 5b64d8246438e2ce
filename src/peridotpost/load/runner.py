"""Sends calls at scheduled times and counts their outcomes."""

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
PROGRESS_INTERVAL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a load run.

    :param daemons: ``ADDRESS:PORT`` of each daemon, used in turn.
    :param services: values of the Host header, used in turn.
    :param keyed: whether each call gets a unique idempotency key.
    :param timeout_s: time after which a call counts as timed out.
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
    """Executes one plan."""

    def __init__(
        self, plan: Plan, progress: Callable[[str], None] | None = None
    ) -> None:
        self.plan = plan
        self.progress = progress
        self.result = report.Result(plan=dataclasses.asdict(plan))
        self.rng = random.Random(plan.seed)
        self.outcome_by_key: dict[str, str] = {}
        self.clients = [
            client.Client(address, int(port))
            for address, _, port in (
                daemon.rpartition(':') for daemon in plan.daemons
            )
        ]

    async def run(self) -> report.Result:
        """Send all calls; return when each has its outcome."""
        plan = self.plan
        schedule = zip(
            arrivals.arrivals(plan.pattern, plan.rate, plan.seconds, self.rng),
            itertools.cycle(self.clients),
            itertools.cycle(plan.services),
        )
        loop = asyncio.get_running_loop()
        started = loop.time()
        last_report_s = 0.0
        pending: set[asyncio.Future[None]] = set()
        for arrival_s, connection_pool, service in schedule:
            due = started + arrival_s
            delay = due - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            elif self.result.sent % 64 == 0:
                # Behind schedule: let the calls proceed.
                await asyncio.sleep(0)
            task = asyncio.ensure_future(
                self._call(connection_pool, service, due)
            )
            pending.add(task)
            task.add_done_callback(pending.discard)
            self.result.sent += 1
            if arrival_s - last_report_s >= PROGRESS_INTERVAL_S:
                last_report_s = arrival_s
                self._report_progress(arrival_s, len(pending))
        while pending:
            await asyncio.wait(set(pending))
        self.result.seconds = loop.time() - started
        self.result.connections_opened = sum(
            pool.opened for pool in self.clients
        )
        for connection_pool in self.clients:
            connection_pool.close()
        return self.result

    def _report_progress(self, arrival_s: float, pending: int) -> None:
        if self.progress is not None:
            self.progress(
                f'{arrival_s:.0f} of {self.plan.seconds:.0f} s: '
                f'{self.result.sent} sent, {pending} without an outcome'
            )

    async def _call(
        self, connection_pool: client.Client, service: str, due: float
    ) -> None:
        """Make one call and record its latency from its scheduled time.

        Measuring from the actual send time would leave out the delay of
        calls behind a stall ("coordinated omission").
        """
        plan = self.plan
        key = ''
        headers = (('Host', service), *plan.headers)
        if plan.keyed:
            key = str(uuid.UUID(int=self.rng.getrandbits(128)))
            headers = (*headers, ('Idempotency-Key', key))
        request = client.Request(
            plan.method, plan.path, headers, b'x' * plan.body_bytes
        )
        outcome = await self._send(connection_pool, request)
        latency_s = asyncio.get_running_loop().time() - due
        self.result.record(outcome, latency_s)
        if key:
            self.outcome_by_key[key] = outcome

    async def _send(
        self, connection_pool: client.Client, request: client.Request
    ) -> str:
        try:
            response = await asyncio.wait_for(
                connection_pool.send(request), self.plan.timeout_s
            )
        except client.IncompleteResponse:
            return 'lost'
        except TimeoutError:
            return 'timeout'
        except OSError:
            return 'no-connection'
        except httputil.HTTPInputError:
            return 'malformed'
        outcome = response.headers.get(OUTCOME_HEADER, 'answered')
        return f'{response.status} {outcome}'

    async def check_runs(self, targets: Sequence[str]) -> None:
        """Compare the outcomes of the calls with the targets' run counts.

        :param targets: base URLs of stand-in targets.
        """
        runs: dict[str, int] = {}
        http_client = httpclient.AsyncHTTPClient(force_instance=True)
        for target in targets:
            answer = await http_client.fetch(f'{target}/standin/counts')
            for key, count in json.loads(answer.body)['ran'].items():
                runs[key] = runs.get(key, 0) + int(count)
        http_client.close()
        self.result.runs_checked = True
        for key, outcome in self.outcome_by_key.items():
            count = runs.get(key, 0)
            if count > 1:
                self.result.doubled_runs += 1
            if count and outcome.endswith(NOT_RUN):
                self.result.false_not_run += 1
            if not count and outcome == '200 answered':
                self.result.answered_unrun += 1
