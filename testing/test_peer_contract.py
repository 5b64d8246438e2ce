"""Call streams between daemons with one faulty end, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

import pytest

from peridotpost.calls import frames
from peridotpost.decisions import loadbalancing
from peridotpost.model import calls
from peridotpost.model import members
from testing import callpath
from testing import conditions

LENGTH_PREFIX = frames.LENGTH


@dataclasses.dataclass(slots=True)
class StreamEnd:
    """An end of a call stream whose frames the test controls."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read(self) -> frames.Frame:
        (length,) = LENGTH_PREFIX.unpack(
            await self.reader.readexactly(LENGTH_PREFIX.size)
        )
        return frames.decoder.decode(await self.reader.readexactly(length))

    async def read_call(self) -> frames.CallFrame:
        frame = await self.read()
        assert isinstance(frame, frames.CallFrame)
        return frame

    def send(self, *sent: frames.Frame) -> None:
        for frame in sent:
            self.writer.write(frames.encode(frame))


def answer(call: frames.CallFrame, number: int = 0) -> frames.AnswerFrame:
    """Answer `call` with the path of its request as the body."""
    body = call.call.path.encode()
    return frames.AnswerFrame(
        number or call.number, calls.Answer(200, 'OK', (), body)
    )


FaultyBehaviour = Callable[[StreamEnd], Awaitable[None]]


@contextlib.asynccontextmanager
async def faulty_guard(
    front: callpath.Node, behaviour: FaultyBehaviour
) -> AsyncIterator[None]:
    """Add a host to `front` whose guard follows `behaviour`."""

    async def script(
        state: callpath.ScriptedServer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await behaviour(StreamEnd(reader, writer))

    async with callpath.scripted_server(script) as server:
        ready = members.TargetState.READY
        front.replica.offer_member(
            members.MemberRecord(
                'bad',
                'a',
                1,
                members.Status.ALIVE,
                1,
                '127.0.0.1',
                0,
                0,
                server.port,
                0,
                tuple(
                    members.TargetRecord(service, 't', ready, 4)
                    for service in ('read', 'write')
                ),
            ),
            'test',
        )
        yield


async def closes_after_call(end: StreamEnd) -> None:
    await end.read_call()


async def sends_oversized_length(end: StreamEnd) -> None:
    await end.read_call()
    end.writer.write(LENGTH_PREFIX.pack(frames.MAX_FRAME_BYTES + 1))
    await end.reader.read(1)


async def sends_garbage(end: StreamEnd) -> None:
    await end.read_call()
    end.writer.write(LENGTH_PREFIX.pack(7) + b'\xc1garbag')
    await end.reader.read(1)


async def sends_unknown_tag(end: StreamEnd) -> None:
    call = await end.read_call()
    body = frames.encoder.encode(['gossip', call.number])
    end.writer.write(LENGTH_PREFIX.pack(len(body)) + body)
    await end.reader.read(1)


async def sends_wrong_shape(end: StreamEnd) -> None:
    call = await end.read_call()
    body = frames.encoder.encode(['answer', call.number, {'status': 'fine'}])
    end.writer.write(LENGTH_PREFIX.pack(len(body)) + body)
    await end.reader.read(1)


async def sends_a_call_back(end: StreamEnd) -> None:
    end.send(await end.read_call())
    await end.reader.read(1)


async def truncates_answer(end: StreamEnd) -> None:
    call = await end.read_call()
    end.writer.write(frames.encode(answer(call))[:-1])


async def sends_wrong_number(end: StreamEnd) -> None:
    call = await end.read_call()
    end.send(answer(call, call.number + 7))


async def sends_empty_frame(end: StreamEnd) -> None:
    await end.read_call()
    end.writer.write(LENGTH_PREFIX.pack(0))
    await end.reader.read(1)


@pytest.mark.parametrize(
    'behaviour',
    [
        closes_after_call,
        sends_oversized_length,
        sends_garbage,
        sends_unknown_tag,
        sends_wrong_shape,
        sends_a_call_back,
        truncates_answer,
        sends_wrong_number,
        sends_empty_frame,
    ],
)
async def test_caller_gets_an_answer_despite_a_faulty_guard(
    behaviour: FaultyBehaviour,
) -> None:
    """The stream to a guard breaks with a call in flight.

    An idempotent call is retried at another target.  Any other call may have
    run, so that its outcome is unknown and it is not retried.
    """
    async with (
        callpath.node('front') as front,
        callpath.node('good') as good,
        callpath.standin_target('read') as read,
        callpath.standin_target('write') as write,
        callpath.caller(front.port) as caller,
    ):
        good.announce('read', read.settings.port)
        async with faulty_guard(front, behaviour):
            reply = await caller.ask('write', 'POST', '/w', b'x')
            assert (reply.status, reply.outcome) == (502, 'unknown')
            front.add_members(good)
            # Make the faulty target the less loaded one.
            for _ in range(3):
                front.router.load_tracker.sent('good/t-good')
            reply = await caller.ask('read', 'GET', '/r')
            assert (reply.status, reply.outcome) == (200, 'answered')
            assert front.counts.totals['router.retried'] == 1
        assert (read.counts['ran'], write.counts['ran']) == (1, 0)


async def test_reordered_answers_reach_their_own_callers() -> None:
    async def sends_reordered(end: StreamEnd) -> None:
        first = await end.read_call()
        second = await end.read_call()
        unsolicited = answer(first, 99)
        end.send(answer(second), unsolicited, answer(first), answer(first))
        await end.reader.read(1)

    async with (
        callpath.node('front') as front,
        faulty_guard(front, sends_reordered),
    ):
        paths = ('/one', '/two')

        async def ask(path: str) -> callpath.Reply:
            async with callpath.caller(front.port) as caller:
                return await caller.ask('read', 'GET', path)

        replies = await asyncio.gather(*(ask(path) for path in paths))
        assert [one.body.decode() for one in replies] == list(paths)
        await conditions.until(
            lambda: front.counts.totals['peer.late'] == 2,
            'both surplus answers are dropped',
        )


async def test_late_answer_is_not_given_to_the_next_call() -> None:
    async def answers_late(end: StreamEnd) -> None:
        first = await end.read_call()
        assert isinstance(await end.read(), frames.CancelFrame)
        second = await end.read_call()
        end.send(answer(first), answer(second))
        await end.reader.read(1)

    async with (
        callpath.node('front') as front,
        faulty_guard(front, answers_late),
        callpath.caller(front.port) as caller,
    ):
        timeout = 'Peridot-Timeout-Ms: 30'
        reply = await caller.ask('write', 'POST', '/late', b'', timeout)
        assert reply.outcome == 'unknown'
        reply = await caller.ask('write', 'POST', '/next', b'x')
        assert reply.body == b'/next'


def make_call(service: str = 'read', **changes: object) -> frames.CallFrame:
    host = (calls.Header('Host', service),)
    call = calls.Call('r', service, 'GET', '/', host, b'', 2000, True)
    changed = dataclasses.replace(call, **changes)  # type: ignore[arg-type]
    return frames.CallFrame(1, changed, 't-back')


@pytest.mark.parametrize(
    'raw',
    [
        pytest.param(b'', id='nothing'),
        pytest.param(frames.encode(make_call())[:-1], id='truncated'),
        pytest.param(LENGTH_PREFIX.pack(2**32 - 1), id='too-long'),
        pytest.param(LENGTH_PREFIX.pack(3) + b'\xc1\xc1\xc1', id='garbage'),
        pytest.param(LENGTH_PREFIX.pack(0), id='empty'),
        pytest.param(LENGTH_PREFIX.pack(1) + b'\x90', id='no-tag'),
        pytest.param(b'GET / HTTP/1.1\r\n\r\n', id='http'),
        pytest.param(
            frames.encode(
                frames.AnswerFrame(1, calls.Answer(200, '', (), b''))
            ),
            id='answer-to-a-guard',
        ),
        pytest.param(
            frames.encode(frames.CancelFrame(5)), id='cancel-nothing'
        ),
    ],
)
async def test_malformed_stream_runs_nothing_and_leaves_others_working(
    raw: bytes,
) -> None:
    async with (
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port)
        port = back.myself.record.call_port
        good = StreamEnd(*await asyncio.open_connection('127.0.0.1', port))
        bad = StreamEnd(*await asyncio.open_connection('127.0.0.1', port))
        bad.writer.write(raw)
        bad.writer.write_eof()
        assert await asyncio.wait_for(bad.reader.read(), 10) == b''
        good.send(make_call())
        reply = await asyncio.wait_for(good.read(), 10)
        assert isinstance(reply, frames.AnswerFrame)
        assert target.counts['ran'] == 1
        for end in (good, bad):
            end.writer.close()


@pytest.mark.parametrize(
    ('call', 'reason'),
    [
        pytest.param(make_call('nobody'), 'no-such-service', id='no-service'),
        pytest.param(make_call('write'), 'no-target', id='no-target'),
        pytest.param(make_call(budget_ms=0), 'deadline', id='no-time'),
        pytest.param(make_call(budget_ms=-5), 'deadline', id='less-than-none'),
    ],
)
async def test_guard_rejects_calls_it_cannot_run(
    call: frames.CallFrame, reason: str
) -> None:
    async with (
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port)
        port = back.myself.record.call_port
        end = StreamEnd(*await asyncio.open_connection('127.0.0.1', port))
        end.send(call)
        reply = await asyncio.wait_for(end.read(), 10)
        assert isinstance(reply, frames.NotRunFrame)
        assert reply.refusal.reason.value == reason
        assert reply.refusal.peer == 'back'
        assert target.counts['ran'] == 0
        end.writer.close()


@pytest.mark.parametrize('service', ['read', 'write'])
async def test_call_is_retried_after_a_leaving_guard_rejects_it(
    service: str,
) -> None:
    """A daemon rejects new calls while its peers still route to it.

    The rejection proves that nothing ran, so any call may be retried at
    another host.
    """
    async with (
        callpath.node('front') as front,
        callpath.node('one') as one,
        callpath.node('two') as two,
        callpath.standin_target(service) as target,
        callpath.caller(front.port) as caller,
    ):
        one.announce(service, target.settings.port)
        two.announce(service, target.settings.port)
        front.add_members(one, two)
        one.guard.leaving = True
        for number in range(8):
            reply = await caller.ask(service, 'POST', f'/{number}', b'x')
            assert (reply.status, reply.outcome) == (200, 'answered')
        assert target.counts['ran'] == 8
        two.guard.leaving = True
        reply = await caller.ask(service, 'POST', '/', b'x')
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert target.counts['ran'] == 8


async def test_answers_carry_the_load_of_the_guards_target() -> None:
    async with (
        callpath.node('front') as front,
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port, slots=4)
        front.add_members(back)
        async with (
            callpath.caller(front.port) as slow,
            callpath.caller(front.port) as fast,
        ):
            await slow.send(
                callpath.request(
                    'read', 'GET', '/', b'', 'Standin-Work-Ms: 60000'
                )
            )
            await conditions.until(
                lambda: target.running == 1, 'the call runs'
            )
            await fast.ask('read')
        (endpoint,) = front.replica.table.routes['read'].endpoints
        report = front.router.load_tracker.reports[
            loadbalancing.target_key(endpoint)
        ]
        assert report.load == pytest.approx(1 / 4)
