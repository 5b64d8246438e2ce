"""Hedged requests: when and where they are sent, and what callers get."""

from collections.abc import AsyncIterator
import contextlib
import random
from typing import Any

import pytest

from peridotpost.border import proxy_settings as border
from peridotpost.decisions import hedging
from peridotpost.decisions import selection
from peridotpost.decisions import targetstate
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import hedges as hedge_dispatches
from testing import conditions
from testing import proxies
from testing import test_customers


def learned(ratio: float = 1.0, share: float = 0.1) -> hedging.Hedging:
    """Return decisions that know a route; a tenth of its answers is late."""
    rules = hedging.Hedging(share)
    for number in range(100):
        rules.note_elapsed('r', 4 * ratio if number % 10 == 0 else ratio, 1.0)
    return rules


@pytest.mark.parametrize(
    ('expected_s', 'left_s', 'least_s', 'most_s'),
    [
        pytest.param(0.1, 9.0, 0.4, 0.45, id='past the 95th percentile'),
        pytest.param(0.3, 9.0, 1.2, 1.35, id='slow target gets more time'),
        pytest.param(0.1, 0.4, 0.24, 0.26, id='in time for the objective'),
        pytest.param(0.1, 0.1, 0.1, 0.12, id='not before most answers'),
    ],
)
def test_lateness_follows_run_time_of_target(
    expected_s: float, left_s: float, least_s: float, most_s: float
) -> None:
    delay_s = learned().delay_s('r', expected_s, left_s)
    assert delay_s is not None and least_s <= delay_s <= most_s


def test_nothing_is_hedged_before_run_times_are_known() -> None:
    assert hedging.Hedging(0.1).delay_s('r', 0.1, 1.0) is None
    assert learned().delay_s('r', 0.0, 1.0) is None
    assert learned().delay_s('rare', 0.1, 9.0) is not None


def hedges(rules: hedging.Hedging, loads: tuple[float, ...]) -> list[str]:
    """Return the targets of 50 late requests in one moment."""
    known = []
    for number, load in enumerate(loads):
        one = targetstate.Candidate(f't{number}', 'own', ready=True, slots=12)
        one.report_load(load, 0.0)
        known.append(one)
    selector = selection.Selector('own', random.Random(1))
    chosen = [
        rules.choose(selector, known, 'r', ['t0'], 1.0, 0.0) for _ in range(50)
    ]
    return [one.host for one in chosen if one is not None]


def test_hedges_go_to_free_targets_within_their_share() -> None:
    """Guards against hedges that add load to full targets or use all retries.

    Late answers are most frequent when targets are full.
    """
    assert set(hedges(learned(), (0.2, 0.2, 0.95, 0.3))) == {'t1', 't3'}
    assert hedges(learned(), (0.2, 0.95, 0.95, 0.95, 0.1)) == []
    rules = learned()
    assert len(hedges(rules, (0.2, 0.2, 0.2))) == hedging.MAX_TOKENS
    assert hedges(rules, (0.2, 0.2, 0.2)) == []
    for _ in range(101):
        rules.note_request()
    assert len(hedges(rules, (0.2, 0.2, 0.2))) == 10
    out_of_budget = learned()
    out_of_budget.note_no_budget('', 0.0)
    assert hedges(out_of_budget, (0.2, 0.2, 0.2)) == []


@contextlib.asynccontextmanager
async def hedging_pair(
    **changes: Any,
) -> AsyncIterator[tuple[proxies.Host, proxies.Host]]:
    """Run two proxies of which the first hedges each read at once."""
    changes.setdefault('hedging', border.Hedging())
    async with proxies.pair(**changes) as (_, first, second):
        for host in (first, second):
            await first.ask_until_run_by(host)
        for known in first.proxy.directory.candidates('register'):
            # Guards report whole milliseconds, which these runs do not take.
            known.report_run('read', 0.01)
            known.report_run('write', 0.01)
        if changes['hedging'] is not None:
            rules = learned(1e-6)
            rules.ratios_by_route = {'read': rules.ratios_by_route['r']}
            first.proxy.forwarder.hedges.rules = rules
        yield first, second


@contextlib.asynccontextmanager
async def hedging_pair_with_customer() -> AsyncIterator[
    tuple[proxies.Host, proxies.Host, test_customers.Gate]
]:
    """Run two proxies that hedge, with a customer at a replaceable quota."""
    async with proxies.pair(hedging=border.Hedging()) as (mesh, first, second):
        for host in (first, second):
            await first.ask_until_run_by(host)
        await mesh.kv.configure(
            proxies.config(2, tenants=[test_customers.tenant(priority=3)])
        )
        await conditions.until(
            lambda: (
                first.proxy.versions.version == 2
                and second.proxy.versions.version == 2
            )
        )
        for known in first.proxy.directory.candidates('register'):
            known.report_run('read', 0.01)
        forwarder = first.proxy.forwarder
        rules = learned(1e-6)
        rules.ratios_by_route = {'read': rules.ratios_by_route['r']}
        forwarder.hedges.rules = rules
        gate = test_customers.Gate()
        forwarder.identification.quotas = forwarder.completion.quotas = gate
        yield first, second, gate


def work_left(host: proxies.Host) -> list[object]:
    """Return what an ingress still holds for requests."""
    forwarder = host.proxy.forwarder
    timed = [
        key
        for callbacks in forwarder.deadline_timer.callbacks_by_slot.values()
        for key in callbacks
        if isinstance(key, (exchanges.Exchange, hedge_dispatches.Dispatch))
    ]
    known = forwarder.backends.candidates('register')
    return [
        *timed,
        *forwarder.hedges.primaries,
        *forwarder.hedges.seconds,
        *(one.host for one in known if one.outstanding),
        *['in flight'] * forwarder.completion.in_flight,
    ]


def hosts_in_order(*hosts: proxies.Host) -> list[proxies.Host]:
    """Return two hosts in the order in which their targets got a request."""
    return sorted(hosts, key=lambda host: host.worker.runs[-1].arrived_at)


@pytest.mark.parametrize(
    ('winner', 'loser_crashes'),
    [
        pytest.param(1, False, id='the hedge answers first'),
        pytest.param(0, False, id='the first target answers first'),
        pytest.param(1, True, id='the first target crashes'),
        pytest.param(0, True, id='the hedge target crashes'),
    ],
)
async def test_caller_gets_one_answer_of_two_runs(
    winner: int, loser_crashes: bool
) -> None:
    """Guards against two answers, and against losers that count as failures.

    Counted so, a target would be avoided for being hedged.
    """
    async with hedging_pair() as (first, second):
        async with first.caller() as caller:
            caller.send('/read/hold', attempt='h1')
            await conditions.until(
                lambda: bool(first.worker.running and second.worker.running)
            )
            ordered = hosts_in_order(first, second)
            winning, losing = ordered[winner], ordered[1 - winner]
            forwarder = first.proxy.forwarder
            if loser_crashes:
                await losing.worker.crash()
                await conditions.until(
                    lambda: len(forwarder.hedges.seconds) == 0
                )
            winning.worker.release.set()
            answer = await caller.receive()
            assert (answer.status, answer.body) == (200, b'done')
            for number in range(3):
                following = await caller.ask('/read/ok', attempt=f'f{number}')
                assert following.headers['x-attempt-id'] == f'f{number}'
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran.count('h1') == 2
        known = list(forwarder.backends.candidates('register'))
        await conditions.until(lambda: not any(c.outstanding for c in known))
        assert not forwarder.hedges.primaries and not forwarder.hedges.seconds
        if loser_crashes:
            return
        await conditions.until(lambda: bool(losing.worker.dropped))
        now = deadlines.now()
        assert not any(one.failure_rate(now) for one in known)
        assert not losing.proxy.guard.failures.value(now)


@pytest.mark.parametrize(
    ('path', 'method', 'changes'),
    [
        pytest.param('/write/hold', 'POST', {}, id='not idempotent'),
        pytest.param('/read/hold', 'GET', {'hedging': None}, id='off'),
        pytest.param(
            '/read/hold',
            'GET',
            {'retries': border.Retries(ratio=0, extra=0)},
            id='no retry budget',
        ),
    ],
)
async def test_request_that_may_not_be_hedged_runs_once(
    path: str, method: str, changes: dict[str, Any]
) -> None:
    """Guards against a second run of a write or beyond the retry budget."""
    async with hedging_pair(**changes) as (first, second):
        forwarder = first.proxy.forwarder
        async with first.caller() as caller:
            caller.send(path, method, attempt='once', body=b'x')
            await conditions.until(
                lambda: bool(first.worker.running or second.worker.running)
            )
            if 'retries' in changes:
                assert forwarder.hedges.rules is not None
                held = forwarder.hedges.rules.no_budget_at
                await conditions.until(lambda: 'register' in held)
            elif path.startswith('/write'):
                known = list(forwarder.backends.candidates('register'))
                await conditions.until(
                    lambda: any(one.late_at > 0 for one in known)
                )
            else:
                assert not forwarder.hedges.primaries
            first.worker.release.set()
            second.worker.release.set()
            assert (await caller.receive()).status == 200
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran.count('once') == 1


async def test_both_runs_end_when_the_caller_disconnects() -> None:
    """Guards against a second run that nobody waits for."""
    async with hedging_pair() as (first, second):
        async with first.caller() as caller:
            caller.send('/read/hold')
            await conditions.until(
                lambda: bool(first.worker.running and second.worker.running)
            )
        await conditions.until(
            lambda: bool(first.worker.dropped and second.worker.dropped)
        )


async def test_hedge_of_a_customer_is_like_its_first_dispatch() -> None:
    """Guards against hedges with another priority, or that use a quota."""
    async with hedging_pair_with_customer() as (first, second, gate):
        async with first.caller() as caller:
            caller.send(
                '/read/hold',
                attempt='h',
                Authorization=f'Token {test_customers.KEY}',
            )
            await conditions.until(
                lambda: bool(first.worker.running and second.worker.running)
            )
            runs = [
                host.proxy.guard.running_by_attempt[b'h']
                for host in (first, second)
            ]
            assert sorted(bool(run.retry_cause) for run in runs) == [0, 1]
            for run in runs:
                assert (run.customer, run.rank) == ('acme', 302)
                assert b'x-tenant: acme\r\n' in run.head
            assert runs[0].head == runs[1].head
            first.worker.release.set()
            assert (await caller.receive()).status == 200
        usage = first.proxy.forwarder.identification.usage
        assert usage.admitted == {'acme': 1}
        assert gate.admitted == ['acme'] and not gate.refunded
        await conditions.until(lambda: not work_left(first))


@pytest.mark.parametrize(
    ('path', 'wait_s', 'deadline_ms', 'status', 'refunds'),
    [
        pytest.param('/read/ok', None, 2000, 200, 0, id='answer'),
        pytest.param('/read/shed', None, 2000, 503, 1, id='refusal'),
        pytest.param('/read/failed', None, 2000, 500, 0, id='failure'),
        pytest.param('/read/hold', None, 300, 504, 0, id='timeout'),
        pytest.param('/read/ok', 1.5, 2000, 429, 0, id='over quota'),
    ],
)
async def test_nothing_is_left_of_a_request_that_may_be_hedged(
    path: str,
    wait_s: float | None,
    deadline_ms: int,
    status: int,
    refunds: int,
) -> None:
    """Guards against dispatches and timers that stay after the answer."""
    async with hedging_pair_with_customer() as (first, _, gate):
        gate.wait_s = wait_s
        for _number in range(5):
            answer = await first.ask(
                path,
                Authorization=f'Token {test_customers.KEY}',
                X_Deadline_Remaining_Ms=str(deadline_ms),
            )
            assert answer.status == status
        await conditions.until(lambda: not work_left(first))
        assert gate.refunded == ['acme'] * refunds * 5
        assert len(gate.admitted) == (5 if wait_s is None else 0)


@pytest.mark.parametrize('leaves', [True, False])
async def test_request_that_ended_before_its_quota_is_not_dispatched(
    leaves: bool,
) -> None:
    """Guards against dispatches and hedges after the caller's answer.

    The request ends, as its caller leaves or at its deadline, while another
    host decides on its quota.
    """
    async with hedging_pair_with_customer() as (first, second, gate):
        before = len(first.worker.runs) + len(second.worker.runs)
        asked = gate.asked = []
        async with first.caller() as caller:
            caller.send(
                '/read/ok',
                Authorization=f'Token {test_customers.KEY}',
                X_Deadline_Remaining_Ms='5000' if leaves else '200',
            )
            await conditions.until(lambda: bool(asked))
            if not leaves:
                assert (await caller.receive()).status == 503
        await conditions.until(lambda: not work_left(first))
        asked.pop()(None)
        assert gate.refunded == ['acme']
        assert not work_left(first)
        assert len(first.worker.runs) + len(second.worker.runs) == before
