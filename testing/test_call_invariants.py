"""What must hold for every call, whatever targets and callers do.

Two daemons that take calls in, three with targets that misbehave at random,
callers that hang up or have no time: each call gets the whole answer to
its own request or a definite word, and the word is true.
"""

import asyncio
import collections
import contextlib
import random

import pytest

from testing import callpath
from testing import conditions

CALLS = 250
LATE_BY = 5
"""A late answer comes after so many other requests have come."""
SHED = b'HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n'


class Misbehaving:
    """Targets that share a record of what they ran."""

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.runs: collections.Counter[str] = collections.Counter()
        self.read = 0
        self.all_sent = False

    async def serve(
        self,
        state: callpath.Scripted,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while True:
            if self.randomness.random() < 0.05:
                writer.transport.abort()
                return
            request = await state.read_request(reader)
            self.read += 1
            path = request.split(b' ')[1]
            act = self.randomness.random()
            if act < 0.08:
                writer.write(SHED)
                continue
            # Read whole is run, though no answer may come of it.
            self.runs[path.decode()] += 1
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(path)
            answer = head + path
            if act < 0.16:
                return
            if act < 0.24:
                writer.write(answer[: self.randomness.randrange(len(answer))])
                return
            if act < 0.32:
                await self._others_came(reader)
            if act > 0.92:
                answer += answer
            writer.write(answer)

    async def _others_came(self, reader: asyncio.StreamReader) -> None:
        """Wait for others, the last caller, or the end of the connection."""
        due = self.read + LATE_BY
        await conditions.until(
            lambda: self.read >= due or self.all_sent or reader.at_eof()
        )


@pytest.mark.parametrize('seed', range(4))
async def test_every_word_is_true(seed: int) -> None:
    randomness = random.Random(seed)
    targets = Misbehaving(randomness)
    told: dict[str, callpath.Reply] = {}
    sent = 0

    async def call(number: int, port: int) -> None:
        # Refusals by the guards come and go with the timing of the run;
        # those for want of a service come in each run.
        known = number % 25 > 0
        service = randomness.choice(['read', 'write']) if known else 'none'
        path = f'/{service}/{number}'
        headers = []
        if randomness.random() < 0.2:
            headers.append('Peridot-Timeout-Ms: 30')
        nonlocal sent
        await asyncio.sleep(randomness.random() / 2)
        sent += 1
        targets.all_sent = sent == CALLS
        async with callpath.caller(port) as caller:
            if randomness.random() < 0.1:
                await caller.send(
                    callpath.request(service, 'POST', path, b'x', *headers)
                )
                reply = asyncio.ensure_future(caller.reply())
                await conditions.until(
                    lambda: targets.runs[path] > 0 or reply.done()
                )
                reply.cancel()
                return
            told[path] = await caller.ask(
                service, 'POST', path, b'x', *headers
            )

    async with contextlib.AsyncExitStack() as stack:
        nodes = [
            await stack.enter_async_context(callpath.node(f'h{number}', zone))
            for number, zone in enumerate('ababa')
        ]
        for node in nodes[:3]:
            server = await stack.enter_async_context(
                callpath.scripted(targets.serve)
            )
            for service in ('read', 'write'):
                node.announce(service, server.port)
        for node in nodes:
            node.meet(*nodes)
        await asyncio.gather(
            *(
                call(number, nodes[2 + number % 3].port)
                for number in range(CALLS)
            )
        )
        for node in nodes:
            await conditions.until(
                lambda: node.guard.in_flight == 0,
                'all ended',
            )
            for one in node.guard.gates.held.values():
                assert one.gate.running == one.gate.waiting == 0
            assert node.router.book.outstanding == {}
    words = collections.Counter(reply.word for reply in told.values())
    assert min(words.values()) > 0 and len(words) == 3, words
    for path, reply in told.items():
        if reply.word == 'not-run':
            assert targets.runs[path] == 0, path
        elif reply.word == 'answered' and reply.status == 200:
            assert reply.body.decode() == path
            assert targets.runs[path] >= 1
        else:
            assert reply.word == 'unknown' or reply.status == 503
    for path, runs in targets.runs.items():
        assert runs == 1 or path.startswith('/read'), path
