"""A target that states a rate limit gets no more than it allows."""

import asyncio
import heapq
import random

import pytest

from peridotpost.decisions import slots
from peridotpost.model import forwarding
from peridotpost.proxy import upstream
from testing import conditions
from testing import orders
from testing import proxies

WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5
"""In any window, a target gets at most this many requests more than
``OVERSHOOT`` times its limit."""
SLOTS = 15
RUN_S = 0.09


def allowed(limit_per_s: float, seconds: float) -> float:
    return OVERSHOOT * limit_per_s * seconds + EXTRA_REQUESTS


def most_in_window(times: list[float]) -> int:
    """Return the largest number of times within one window."""
    return max(
        sum(start <= one <= start + WINDOW_S for one in times)
        for start in times
    )


class Offered:
    """Starts and refusals of a queue with a limit, under a steady load.

    Requests of ranks 0 to 2 arrive `per_s` times a second in total.

    :param last: whether the requests have no other target left.
    """

    def __init__(
        self,
        limit_per_s: float,
        per_s: float = 100.0,
        seconds: float = 30.0,
        last: bool = False,
    ) -> None:
        source = random.Random(5)
        queue = slots.SlotQueue(SLOTS, random.Random(1))
        queue.set_limit(limit_per_s, 0.0)
        self.started: list[forwarding.Order] = []
        self.refused: list[forwarding.Order] = []
        self.started_at: list[float] = []
        self.retry_after_s: list[float] = []
        self.queue = queue
        ends: list[tuple[float, int, forwarding.Order]] = []
        now, number = 0.0, 0
        while now < seconds:
            arrival = now + source.expovariate(per_s)
            while ends and ends[0][0] <= arrival:
                now, _, done = heapq.heappop(ends)
                self._apply(queue.finish(done, now), now, ends)
            now = arrival
            self._apply(queue.fill(now), now, ends)
            number += 1
            order = orders.order(
                number,
                now,
                rank=number % 3,
                objective_s=0.3,
                deadline_s=0.8,
                last=last,
            )
            self._apply(queue.submit(order, now), now, ends)

    def _apply(
        self,
        decision: slots.Decision,
        now: float,
        ends: list[tuple[float, int, forwarding.Order]],
    ) -> None:
        for order in decision.started:
            self.started.append(order)
            self.started_at.append(now)
            heapq.heappush(ends, (now + RUN_S, order.number, order))
        for order in decision.refused:
            self.refused.append(order)
            self.retry_after_s.append(self.queue.retry_after_s(order, now))


@pytest.mark.parametrize('limit_per_s', [0.0, 0.5, 4.5, 32.3, 60.0])
@pytest.mark.parametrize(
    'last',
    [pytest.param(False, id='others left'), pytest.param(True, id='last')],
)
def test_limit_holds_in_every_window(limit_per_s: float, last: bool) -> None:
    """Guards against a target in need that gets all it has slots for."""
    offered = Offered(limit_per_s, last=last)
    assert most_in_window(offered.started_at) <= allowed(limit_per_s, WINDOW_S)
    assert len(offered.started) >= 0.9 * limit_per_s * 30.0
    assert not {*offered.started} & {*offered.refused}
    assert min(offered.retry_after_s) > 0.0


async def _read_until(
    host: proxies.Host, end: float, statuses: list[int]
) -> None:
    """Send reads one after the other until a time of the event loop."""
    loop = asyncio.get_running_loop()
    number = 0
    async with host.caller() as caller:
        while loop.time() < end:
            number += 1
            answer = await caller.ask(
                '/read/ok', attempt=f'{host.name}{id(caller)}-{number}'
            )
            statuses.append(answer.status)


async def test_limit_holds_for_the_sum_of_all_hosts() -> None:
    """Guards against a limit that each sender keeps for itself.

    What the limited target can't take is served by another one.
    """
    limit_per_s = 8.0
    async with proxies.pair() as (mesh, limited, _other):
        await mesh.add('c', zone='hel-b', service='vault')
        await mesh.wait_ready()
        limited.worker.limit = str(limit_per_s)
        await limited.ask_until_run_by(limited)
        start = asyncio.get_running_loop().time()
        statuses: list[int] = []
        callers = [
            _read_until(host, start + 1.0, statuses)
            for host in mesh.hosts.values()
            for _ in range(3)
        ]
        await asyncio.gather(*callers)
        elapsed_s = asyncio.get_running_loop().time() - start
        assert set(statuses) == {200}
        arrived = limited.worker.arrivals_since(start)
        assert 1 <= arrived <= allowed(limit_per_s, elapsed_s)


async def test_request_that_no_limit_allows_is_refused_and_not_run() -> None:
    """The callers learn when to retry, and no target has run the request."""
    attempts = [f'w{number}' for number in range(40)]
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        first = await mesh.add('a', slots=len(attempts))
        second = await mesh.add('b', slots=len(attempts))
        workers = (first.worker, second.worker)
        for host in (first, second):
            host.worker.limit = '2'
            await host.announce()
        await mesh.wait_ready()
        await second.ask_until_run_by(first)
        await first.ask_until_run_by(second)
        responses = await asyncio.gather(
            *(
                second.ask(
                    '/write/ok', method='POST', attempt=attempt, body=b'x'
                )
                for attempt in attempts
            )
        )
        answers = dict(zip(attempts, responses, strict=True))
        ran = {one.attempt for worker in workers for one in worker.runs}
        ran &= {*attempts}
        refused = {
            attempt: answer
            for attempt, answer in answers.items()
            if answer.status != 200
        }
        assert refused
        assert ran == answers.keys() - refused.keys()
        for answer in refused.values():
            assert answer.status == 503
            assert float(answer.headers['retry-after']) > 0


async def test_lower_limit_takes_effect_with_the_answer_that_names_it() -> (
    None
):
    async with proxies.pair() as (_mesh, limited, _other):
        limited.worker.limit = '1000'
        await limited.ask_until_run_by(limited)
        limited.worker.limit = '2'
        await limited.ask_until_run_by(limited)
        start = asyncio.get_running_loop().time()
        statuses: list[int] = []
        await _read_until(limited, start + 0.5, statuses)
        elapsed_s = asyncio.get_running_loop().time() - start
        assert set(statuses) == {200}
        assert limited.worker.arrivals_since(start) <= allowed(2, elapsed_s)


async def _limited_host(mesh: proxies.Mesh, limit: str) -> proxies.Host:
    """Start a host whose target has stated a limit in an answer."""
    await mesh.kv.configure(proxies.config())
    host = await mesh.add('a', slots=40)
    host.worker.limit = limit
    await host.announce()
    await mesh.wait_ready()
    await host.ask_until_run_by(host)
    return host


async def _statuses_of_a_burst(host: proxies.Host) -> set[int]:
    """Return the statuses of as many concurrent reads as there are slots."""
    answers = await asyncio.gather(
        *(host.ask('/read/ok', attempt=f'b{number}') for number in range(40))
    )
    return {one.status for one in answers}


@pytest.fixture
def unhurried_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Allows any time to connect to targets.

    A burst opens a connection for each request, and the target that accepts
    them runs on the event loop of the test.
    """
    monkeypatch.setattr(upstream, 'CONNECT_TIMEOUT_S', 3600.0)


async def test_limit_that_the_target_no_longer_states_is_lifted(
    unhurried_connections: None,
) -> None:
    async with proxies.running() as mesh:
        host = await _limited_host(mesh, '2')
        assert await _statuses_of_a_burst(host) == {200, 503}
        host.worker.limit = ''
        await host.ask_until_run_by(host)
        assert await _statuses_of_a_burst(host) == {200}


async def test_invalid_statement_does_not_lift_a_limit() -> None:
    async with proxies.running() as mesh:
        host = await _limited_host(mesh, '2')
        host.worker.limit = 'many'
        await host.ask_until_run_by(host)
        assert host.proxy.guard.queue.limit_per_s == 2.0


async def test_target_restarted_under_its_id_has_no_limit(
    unhurried_connections: None,
) -> None:
    """Guards against a late answer of the earlier process that limits it."""
    async with proxies.running() as mesh:
        host = await _limited_host(mesh, '2')
        held = asyncio.ensure_future(host.ask('/read/hold', attempt='h1'))
        await host.worker.run_started.wait()
        await conditions.until(lambda: 'h1' in host.worker.attempts())
        assert await host.announce(born=2000) == 200
        host.worker.release.set()
        assert (await held).headers['server-limit'] == '2'
        host.worker.limit = ''
        assert await _statuses_of_a_burst(host) == {200}
