"""A target that states in a response that it is leaving gets no more work."""

import asyncio
import random

import pytest

from peridotpost.decisions import budget
from peridotpost.decisions import memoryaccount
from peridotpost.kernel import counters
from peridotpost.kernel import jsonlog
from peridotpost.model import advertisement
from peridotpost.model import forwarding
from peridotpost.model import instances
from peridotpost.platform import headers
from peridotpost.proxy import bodies
from peridotpost.proxy import deadlines
from peridotpost.proxy import guard as guards
from testing import conditions
from testing import orders
from testing import proxies

READY = instances.InstanceState.READY
LEAVING = advertisement.Advertisement(leaving=True)


def announcement(
    sequence: int, started_ms: int = 1000
) -> instances.Announcement:
    return instances.Announcement(
        'i-1', started_ms, sequence, 'register', '127.0.0.1', 80, 4, READY
    )


@pytest.fixture
def guard() -> guards.Guard:
    """Return a guard whose target is announced; nothing is connected."""
    idle_guard = guards.Guard(
        headers.HEADERS,
        random.Random(1),
        budget.RetryBudget(0.2, 60, 10),
        bodies.Room(
            memoryaccount.MemoryAccount(1 << 20, lambda grant: grant()),
            deadlines.DeadlineTimer(),
            counters.Counters(),
        ),
        jsonlog.JsonLog('a', -1),
    )
    idle_guard.accept_announcement(announcement(1))
    return idle_guard


def test_heartbeat_does_not_revive_a_target_that_stated_leaving(
    guard: guards.Guard,
) -> None:
    """Guards against work for a target that announces itself as ready."""
    incarnation = announcement(1).incarnation
    guard.adverts.response_read(incarnation, LEAVING, 0.0, 1.0)
    assert not guard.status().ready
    guard.accept_announcement(announcement(2))
    assert not guard.status().ready
    outcomes: list[forwarding.Outcome] = []
    order = orders.order(1, deadlines.now())
    order.done = outcomes.append
    guard.submit(order)
    assert outcomes == [forwarding.Refused(forwarding.Refusal.LEAVING)]
    guard.accept_announcement(announcement(1, started_ms=2000))
    assert guard.status().ready


@pytest.mark.parametrize(
    'action',
    [
        pytest.param('ok', id='in an answer'),
        pytest.param('failed', id='in a failure'),
        pytest.param('shed', id='in a refusal'),
    ],
)
async def test_no_host_sends_to_a_target_that_stated_leaving(
    action: str,
) -> None:
    """Guards against reading only announcements, not responses."""
    async with proxies.pair() as (mesh, leaving, other):
        await mesh.add('c', zone='hel-b', service='vault')
        await mesh.wait_ready()
        leaving.worker.leaving = '1'
        handled = (
            leaving.worker.rejected
            if action == 'shed'
            else (leaving.worker.runs)
        )
        number = 0
        while not handled:
            number += 1
            await other.ask(
                f'/write/{action}', method='POST', attempt=f'p{number}'
            )
        before = len(handled)
        for host in mesh.hosts.values():
            for number in range(10):
                assert await leaving.announce() == 200
                answer = await host.ask(
                    '/read/ok', attempt=f'{host.name}{number}'
                )
                assert answer.status == 200
        assert len(handled) == before
        assert len(leaving.worker.runs + leaving.worker.rejected) == before


async def test_running_requests_of_a_leaving_target_are_answered() -> None:
    """Queued requests go to another target, running ones end."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        leaving = await mesh.add('a', slots=2)
        other = await mesh.add('b', slots=8)
        await leaving.announce()
        await mesh.wait_ready()
        held = [
            asyncio.ensure_future(
                leaving.ask('/write/hold', method='POST', attempt=f'h{number}')
            )
            for number in range(2)
        ]
        await conditions.until(lambda: leaving.worker.running == 2)
        held += [
            asyncio.ensure_future(
                leaving.ask('/read/ok', attempt=f'r{number}')
            )
            for number in range(2)
        ]
        queue = leaving.proxy.guard.queue
        await conditions.until(lambda: len(queue.waiting) == 2)
        await other.announce()
        await mesh.wait_ready()
        leaving.worker.leaving = '1'
        # The response to one request states it while the other one runs.
        leaving.worker.release.set()
        answers = await asyncio.gather(*held)
        assert {one.status for one in answers} == {200}
        assert len(leaving.worker.runs) == 2
        assert len(other.worker.runs) == 2
