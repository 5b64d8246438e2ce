"""Invariants of calls under random faults of targets and callers.

Callers use three of five daemons, three of which have faulty targets; some
callers disconnect or set short deadlines.  Each call gets the complete
answer to its own request or an explicit outcome, and the outcome is true.
"""

import asyncio
import collections
import contextlib
import random

import pytest

from testing import callpath
from testing import conditions

CALL_COUNT = 250
LATE_ANSWER_REQUESTS = 5
"""Number of further requests after which a late answer is sent."""
REJECTION = b'HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n'


class FaultyTargets:
    """Targets with random faults and shared counts of the requests run."""

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.runs: collections.Counter[str] = collections.Counter()
        self.requests_read = 0
        self.all_sent = False

    async def serve(
        self,
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            if self.randomness.random() < 0.05:
                writer.transport.abort()
                return
            request = await state.read_request(reader)
            self.requests_read += 1
            path = request.split(b' ')[1]
            fault = self.randomness.random()
            if fault < 0.08:
                writer.write(REJECTION)
                continue
            # A request read completely counts as run, answered or not.
            self.runs[path.decode()] += 1
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(path)
            answer = head + path
            if fault < 0.16:
                return
            if fault < 0.24:
                writer.write(answer[: self.randomness.randrange(len(answer))])
                return
            if fault < 0.32:
                await self._wait_for_later_requests(reader)
            if fault > 0.92:
                answer += answer
            writer.write(answer)

    async def _wait_for_later_requests(
        self, reader: asyncio.StreamReader
    ) -> None:
        """Wait for more requests, the last caller, or a closed connection."""
        due = self.requests_read + LATE_ANSWER_REQUESTS
        await conditions.until(
            lambda: (
                self.requests_read >= due or self.all_sent or reader.at_eof()
            )
        )


@pytest.mark.parametrize('seed', range(4))
async def test_every_reported_outcome_is_correct(seed: int) -> None:
    randomness = random.Random(seed)
    targets = FaultyTargets(randomness)
    replies: dict[str, callpath.Reply] = {}
    sent = 0

    async def call(number: int, port: int) -> None:
        # Rejections by guards depend on timing.  Calls of an unknown
        # service make sure that every run has rejected calls.
        known = number % 25 > 0
        service = randomness.choice(['read', 'write']) if known else 'none'
        path = f'/{service}/{number}'
        headers = []
        if randomness.random() < 0.2:
            headers.append('Peridot-Timeout-Ms: 30')
        nonlocal sent
        await asyncio.sleep(randomness.random() / 2)
        sent += 1
        targets.all_sent = sent == CALL_COUNT
        async with callpath.caller(port) as caller:
            if randomness.random() < 0.1:
                await caller.send(
                    callpath.request(service, 'POST', path, b'x', *headers)
                )
                reply = asyncio.ensure_future(caller.read_reply())
                await conditions.until(
                    lambda: targets.runs[path] > 0 or reply.done()
                )
                reply.cancel()
                return
            replies[path] = await caller.ask(
                service, 'POST', path, b'x', *headers
            )

    async with contextlib.AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(callpath.node(f'h{number}', zone))
            for number, zone in enumerate('ababa')
        ]
        for node in nodes[:3]:
            server = await stack.enter_async_context(
                callpath.scripted_server(targets.serve)
            )
            for service in ('read', 'write'):
                node.announce(service, server.port)
        for node in nodes:
            node.add_members(*nodes)
        await asyncio.gather(
            *(
                call(number, nodes[2 + number % 3].port)
                for number in range(CALL_COUNT)
            )
        )
        for node in nodes:
            await conditions.until(
                lambda: node.guard.in_flight == 0,
                'all calls have ended',
            )
            for held in node.guard.gates.by_target.values():
                assert held.gate.running == held.gate.waiting == 0
            # A call whose caller left may end after its run did.
            await conditions.until(
                lambda: node.router.load_tracker.outstanding == {},
                'no dispatch is counted any longer',
            )
    outcomes = collections.Counter(reply.outcome for reply in replies.values())
    assert min(outcomes.values()) > 0 and len(outcomes) == 3, outcomes
    for path, reply in replies.items():
        if reply.outcome == 'not-run':
            assert targets.runs[path] == 0, path
        elif reply.outcome == 'answered' and reply.status == 200:
            assert reply.body.decode() == path
            assert targets.runs[path] >= 1
        else:
            assert reply.outcome == 'unknown' or reply.status == 503
    for path, runs in targets.runs.items():
        assert runs == 1 or path.startswith('/read'), path
