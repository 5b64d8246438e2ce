"""Retry budgets of a service whose guards restart or are cut off."""

import bisect
import collections
import dataclasses
import random

import pytest

from peridotpost.decisions import budget
from peridotpost.model import forwarding
from testing import conditions
from testing import proxies

RATIO = 0.2
EXTRA = 60.0
WINDOW_S = 10.0
LATER = forwarding.RetryCause.REFUSED_OR_LOST
NONE = forwarding.RetryCause.NONE
MAX_TRIES = 4
LEARN_S = (0.005, 0.5)
"""Time in which a restarted host connects to another one."""
DOWN_S = (0.2, 0.6)


@dataclasses.dataclass(slots=True)
class GuardHost:
    """A guard, and when it was connected to each of the others.

    :param up_at: when its process started to serve.
    """

    guard: budget.RetryBudget
    connected_at: list[float]
    up_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What happens to a service.

    :param rejecting: share of the arrivals that targets turn away.
    :param restarts: number of times that most hosts are killed at once.
    """

    targets: int
    requests_per_s: float
    length_s: float
    rejecting: float
    restarts: int


class GuardedService:
    """A service whose targets turn requests away while hosts restart."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.hosts = [
            GuardHost(self._guard(), [0.0] * plan.targets)
            for _ in range(plan.targets)
        ]
        kills = [
            (at, host)
            for at in (
                self.rng.uniform(0, plan.length_s)
                for _ in range(plan.restarts)
            )
            for host in range(plan.targets)
            if self.rng.random() < 0.8
        ]
        self.kills = collections.deque(sorted(kills))
        self.requests: list[float] = []
        self.repeats: list[float] = []

    def _guard(self, **given: float) -> budget.RetryBudget:
        return budget.RetryBudget(RATIO, EXTRA, WINDOW_S, **given)

    def _restart(self, number: int, at: float) -> None:
        up_at = at + self.rng.uniform(*DOWN_S)
        connected_at = [up_at + self.rng.uniform(*LEARN_S) for _ in self.hosts]
        self.hosts[number] = GuardHost(
            self._guard(started_at=up_at), connected_at, up_at
        )
        for host in self.hosts:
            host.connected_at[number] = up_at + self.rng.uniform(*LEARN_S)

    def play(self) -> None:
        now = 0.0
        while now < self.plan.length_s:
            now += self.rng.expovariate(self.plan.requests_per_s)
            while self.kills and self.kills[0][0] <= now:
                at, number = self.kills.popleft()
                self._restart(number, at)
            self._request(now)

    def _request(self, now: float) -> None:
        """Send a request to random targets until one of them runs it."""
        self.requests.append(now)
        cause = NONE
        for _ in range(MAX_TRIES):
            number = self.rng.randrange(len(self.hosts))
            host = self.hosts[number]
            if now < host.up_at:
                continue
            targets = 1 + sum(
                at <= now
                for other, at in enumerate(host.connected_at)
                if other != number
            )
            if not host.guard.admits(cause, targets, now):
                continue
            host.guard.sent(cause, 0.0, now)
            if cause:
                self.repeats.append(now)
            if self.rng.random() >= self.plan.rejecting:
                return
            cause = LATER

    def worst_excess(self) -> float:
        """Return by how much a window has more repeats than are allowed."""
        return max(
            (
                _count(self.repeats, start)
                - EXTRA
                - RATIO * _count(self.requests, start)
                for start in self.repeats
            ),
            default=-EXTRA,
        )


def _count(times: list[float], start: float) -> int:
    end = bisect.bisect_left(times, start + WINDOW_S)
    return end - bisect.bisect_left(times, start)


@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize(
    'plan',
    [
        pytest.param(Plan(4, 200.0, 8.0, 0.9, 4), id='all killed four times'),
        pytest.param(Plan(4, 20.0, 6.0, 0.9, 3), id='few requests'),
        pytest.param(Plan(4, 200.0, 25.0, 0.6, 8), id='long'),
        pytest.param(Plan(38, 390.0, 12.0, 0.9, 5), id='many targets'),
        pytest.param(Plan(1, 50.0, 8.0, 1.0, 5), id='one target'),
    ],
)
def test_restarted_guards_keep_the_budget_of_the_service(
    plan: Plan, seed: int
) -> None:
    """Guards against a part of the budget that each restart grants anew."""
    service = GuardedService(plan, seed)
    service.play()
    assert service.worst_excess() <= 0


def test_guard_that_runs_for_a_window_uses_its_part() -> None:
    """Guards against a start that lowers the budget for good."""
    guard = budget.RetryBudget(RATIO, EXTRA, WINDOW_S, started_at=0.0)
    assert not guard.admits(LATER, 4, 0.0)
    assert guard.admits(LATER, 4, WINDOW_S / 2)
    assert _admitted(guard, 4, WINDOW_S) == int(budget.GUARD_SHARE * EXTRA / 4)


def test_first_arrivals_earn_retries_at_once_after_a_start() -> None:
    """Guards against reads that are not sent again for a whole window."""
    guard = budget.RetryBudget(RATIO, EXTRA, WINDOW_S, started_at=0.0)
    for _ in range(100):
        guard.sent(NONE, 0.0, 0.1)
    assert _admitted(guard, 4, 0.2) >= 0.5 * RATIO * 100


def _admitted(guard: budget.RetryBudget, targets: int, now: float) -> int:
    """Return how many retries a guard admits at once."""
    admitted = 0
    while guard.admits(LATER, targets, now):
        guard.sent(LATER, 0.0, now)
        admitted += 1
    return admitted


async def test_restarted_daemon_is_granted_its_part_by_running_time() -> None:
    """Guards against daemons whose guards count as running for ever."""
    async with proxies.pair() as (mesh, _first, _second):
        restarted = await mesh.restart_proxy('b')
        guard = restarted.proxy.guard.budget
        assert not guard.admits(LATER, 1, guard.started_at)
        assert guard.admits(LATER, 1, guard.started_at + guard.window_s)


async def test_cut_off_target_keeps_its_part_of_the_budget() -> None:
    """Guards against guards that divide the budget by the targets they reach.

    Hosts that are cut off from each other still serve, so that each of them
    would admit the retries of all.
    """
    async with proxies.pair() as (_mesh, first, second):
        directory = first.proxy.directory
        assert directory.service_target_count() == 2
        second.proxy.directory.close()
        await conditions.until(lambda: directory.peers['b'].stream is None)
        assert directory.service_target_count() == 2


async def test_guard_that_knows_no_members_divides_no_budget() -> None:
    """Guards against a restart without the store that takes all of it."""
    async with proxies.running() as mesh:
        mesh.kv.status = 503
        host = await mesh.add('a')
        assert host.proxy.directory.service_target_count() is None
        assert not host.proxy.guard.budget.admits(LATER, None, 0.0)
        mesh.kv.status = 0
        await conditions.until(
            lambda: host.proxy.directory.service_target_count() == 1
        )
