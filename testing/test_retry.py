"""Retries of calls: for which outcomes, how many, and at how many levels."""

import asyncio
import contextlib

import pytest

from peridotpost.decisions import retry
from peridotpost.model import calls
from testing import callpath

OK = calls.Answer(200, 'OK', (), b'')
ERROR = calls.Answer(500, '', (), b'')
RETRY_AFTER = calls.Header('Retry-After', '1')
RETRIED = calls.Header('peridot-retried', 'yes')
SHED = calls.Answer(503, '', (RETRY_AFTER,), b'')
SHED_BELOW = calls.Answer(503, '', (RETRY_AFTER, RETRIED), b'')
DOWN = calls.Answer(503, '', (), b'')
UNKNOWN = calls.OutcomeUnknown('lost')
FULL = calls.NotRun(calls.NotRunReason.FULL, '')


@pytest.mark.parametrize(
    ('outcome', 'idempotent', 'other'),
    [
        pytest.param(OK, False, False, id='answer'),
        pytest.param(ERROR, False, False, id='error-answer'),
        pytest.param(SHED, True, False, id='shed-by-the-target'),
        pytest.param(SHED_BELOW, False, False, id='retried-further-down'),
        pytest.param(DOWN, False, False, id='503-without-retry-after'),
        pytest.param(UNKNOWN, True, False, id='unknown'),
        *(
            pytest.param(
                calls.NotRun(reason, ''),
                reason in retry.RETRYABLE_REASONS,
                reason in retry.RETRYABLE_REASONS,
                id=reason.value,
            )
            for reason in calls.NotRunReason
        ),
    ],
)
def test_which_outcomes_are_retried(
    outcome: calls.Outcome, idempotent: bool, other: bool
) -> None:
    assert retry.may_retry(outcome, True, 1, 100) is idempotent
    assert retry.may_retry(outcome, False, 1, 100) is other
    for attempts, budget_ms in ((retry.MAX_ATTEMPTS, 100), (1, 1), (1, -5)):
        assert not retry.may_retry(outcome, True, attempts, budget_ms)


@pytest.mark.parametrize(
    ('outcomes', 'expected'),
    [
        pytest.param([FULL, OK], OK, id='refused-then-answered'),
        pytest.param([FULL, FULL], FULL, id='refused-twice'),
        # "Not run" must never be wrong.
        pytest.param([UNKNOWN, FULL], UNKNOWN, id='unknown-then-refused'),
        pytest.param([FULL, UNKNOWN, FULL], UNKNOWN, id='unknown-between'),
        pytest.param([SHED, FULL], SHED, id='shed-then-refused'),
        pytest.param([UNKNOWN, OK], OK, id='unknown-then-answered'),
        pytest.param([FULL, UNKNOWN], UNKNOWN, id='refused-then-unknown'),
    ],
)
def test_outcome_for_the_caller_covers_all_attempts(
    outcomes: list[calls.Outcome], expected: calls.Outcome
) -> None:
    combined: calls.Outcome | None = None
    for outcome in outcomes:
        combined = retry.combined_outcome(combined, outcome)
    assert combined is expected


@pytest.mark.parametrize(
    ('count', 'failing', 'least', 'most'),
    [
        pytest.param(10_000, 1.0, 1.1, 1.11, id='all-fail'),
        # The budget allows both retries of each failing call.
        pytest.param(10_000, 0.04, 1.08, 1.08, id='few-fail'),
    ],
)
def test_retries_add_a_tenth_at_most(
    count: int, failing: float, least: float, most: float
) -> None:
    """Guards against retries that multiply the load of a failing service.

    Calls fail at each target.  Without a budget each is sent three times to a
    service that can't even serve it once.
    """
    budget = retry.RetryBudget()
    sent = 0
    for number in range(count):
        budget.earn()
        sent += 1
        attempts = 1
        fails = number % 100 < failing * 100
        while fails and retry.may_retry(UNKNOWN, True, attempts, 100):
            if not budget.spend():
                break
            attempts += 1
            sent += 1
    assert count * least <= sent <= count * most


async def shed(
    state: callpath.ScriptedServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        await state.read_request(reader)
        writer.write(
            b'HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n'
        )


async def test_shed_call_is_answered_by_another_target() -> None:
    async with (
        callpath.node('front') as front,
        callpath.node('good') as good,
        callpath.scripted_server(shed) as full,
        callpath.standin_target('read') as target,
        callpath.caller(front.port) as caller,
    ):
        front.announce('read', full.port)
        good.announce('read', target.settings.port)
        front.add_members(good)
        for _ in range(20):
            assert (await caller.ask('read')).status == 200
        assert target.counts['ran'] == 20


async def test_unknown_then_refused_is_reported_as_unknown() -> None:
    """Guards against "not run" for a call that may have run.

    The first target dies during a read and the second is leaving.  The
    refusal of the second was returned although the first had got the call.
    """

    async def dies(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await state.read_request(reader)

    async with (
        callpath.node('front') as front,
        callpath.node('back') as back,
        callpath.scripted_server(dies) as dying,
        callpath.caller(front.port) as caller,
    ):
        front.announce('read', dying.port)
        back.announce('read', dying.port)
        front.add_members(back)
        back.guard.leaving = True
        front.router.load_tracker.sent('back/t-back')
        reply = await caller.ask('read')
        assert (reply.status, reply.outcome) == (502, 'unknown')
        assert front.counts.totals['router.retried'] == 1
        assert len(dying.requests) == 1


LEVELS = 12


def chain_text() -> str:
    """Return a configuration in which each service calls the next one."""
    lines = ['mesh: chain', 'availability_zones: [a]', 'services:']
    for level in range(LEVELS):
        lines.append(f'  s{level}:')
        lines.append('    idempotent: true')
        lines.append('    deadline_ms: 10000')
        if level + 1 < LEVELS:
            lines.append(f'    depends_on: [s{level + 1}]')
    return '\n'.join(lines)


class Chain:
    """A target of every service, which calls the next service in the chain.

    It returns the answer unchanged, including the headers.
    """

    def __init__(self, shedding_level: int) -> None:
        self.shedding_level = shedding_level
        self.ports: list[int] = []
        self.timeouts_ms: list[int] = []
        self.levels: list[int] = []

    async def serve(
        self,
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            raw = await state.read_request(reader)
            headers = dict(
                line.split(': ', 1)
                for line in raw.decode().lower().split('\r\n')[1:]
                if ': ' in line
            )
            level = int(headers['host'].removeprefix('s'))
            self.levels.append(level)
            self.timeouts_ms.append(int(headers['peridot-timeout-ms']))
            if level == self.shedding_level:
                writer.write(
                    b'HTTP/1.1 503 Full\r\nRetry-After: 1\r\n'
                    b'Content-Length: 0\r\n\r\n'
                )
                continue
            port = self.ports[len(self.levels) % len(self.ports)]
            async with callpath.caller(port) as client:
                reply = await client.ask(
                    f's{level + 1}',
                    'GET',
                    '/',
                    b'',
                    f'Peridot-From: s{level}',
                    f'Peridot-Depth: {headers["peridot-depth"]}',
                    f'Peridot-Timeout-Ms: {headers["peridot-timeout-ms"]}',
                )
            head = [f'HTTP/1.1 {reply.status} X']
            head += [f'{name}: {value}' for name, value in reply.headers]
            raw = '\r\n'.join(head).encode() + b'\r\n\r\n' + reply.body
            writer.write(raw)


async def run_chain(chain: Chain, hosts: int) -> callpath.Reply:
    async with contextlib.AsyncExitStack() as stack:
        server = await stack.enter_async_context(
            callpath.scripted_server(chain.serve)
        )
        nodes = [
            await stack.enter_async_context(
                callpath.node(f'h{number}', 'a', chain_text())
            )
            for number in range(hosts)
        ]
        for node in nodes:
            for level in range(LEVELS):
                node.announce(f's{level}', server.port)
        for node in nodes:
            node.add_members(*nodes)
            chain.ports.append(node.egress_port)
        caller = await stack.enter_async_context(
            callpath.caller(nodes[0].port)
        )
        return await caller.ask('s0', 'GET', '/', b'')


async def test_deadline_is_carried_down_ten_levels_and_no_further() -> None:
    chain = Chain(shedding_level=-1)
    reply = await run_chain(chain, 1)
    assert chain.levels == list(range(10))
    assert chain.timeouts_ms == sorted(chain.timeouts_ms, reverse=True)
    assert chain.timeouts_ms[0] <= 10_000
    assert (reply.status, reply.outcome) == (403, 'not-run')
    assert b'calls deep' in reply.body


async def test_call_shed_at_the_bottom_is_retried_at_one_level_only() -> None:
    """Guards against retries that multiply over the levels of a call.

    There are five levels with two targets each, and the last level sheds.
    Each level that retries doubles the calls of the next one: without the
    ``Peridot-Retried`` header 32 calls arrive at the level that sheds.
    """
    chain = Chain(shedding_level=4)
    reply = await run_chain(chain, 2)
    assert reply.status == 503
    assert reply.header('Peridot-Retried') == 'yes'
    assert [chain.levels.count(level) for level in range(5)] == [1, 1, 1, 1, 2]
