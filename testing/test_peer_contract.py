"""Streams of calls between daemons, with a faulty end; real sockets."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

import pytest

from peridotpost.calls import frames
from peridotpost.decisions import choice
from peridotpost.model import calls
from peridotpost.model import members
from testing import callpath
from testing import conditions

HEADER = frames.LENGTH


@dataclasses.dataclass(slots=True)
class Wire:
    """One stream, seen from a faulty end."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read(self) -> frames.Frame:
        (length,) = HEADER.unpack(await self.reader.readexactly(HEADER.size))
        return frames.decoder.decode(await self.reader.readexactly(length))

    async def read_call(self) -> frames.CallFrame:
        frame = await self.read()
        assert isinstance(frame, frames.CallFrame)
        return frame

    def send(self, *sent: frames.Frame) -> None:
        for frame in sent:
            self.writer.write(frames.encode(frame))


def answer(call: frames.CallFrame, number: int = 0) -> frames.AnswerFrame:
    """Answer with the path of the request that `call` carries."""
    body = call.call.path.encode()
    return frames.AnswerFrame(
        number or call.number, calls.Answer(200, 'OK', (), body)
    )


Act = Callable[[Wire], Awaitable[None]]


@contextlib.asynccontextmanager
async def faulty_guard(front: callpath.Node, act: Act) -> AsyncIterator[None]:
    """Let `front` know a host whose guard does as `act` says."""

    async def script(
        state: callpath.Scripted,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await act(Wire(reader, writer))

    async with callpath.scripted(script) as server:
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


async def cuts(wire: Wire) -> None:
    await wire.read_call()


async def sends_too_long(wire: Wire) -> None:
    await wire.read_call()
    wire.writer.write(HEADER.pack(frames.MAX_FRAME_BYTES + 1))
    await wire.reader.read(1)


async def sends_garbage(wire: Wire) -> None:
    await wire.read_call()
    wire.writer.write(HEADER.pack(7) + b'\xc1garbag')
    await wire.reader.read(1)


async def sends_unknown_tag(wire: Wire) -> None:
    call = await wire.read_call()
    body = frames.encoder.encode(['gossip', call.number])
    wire.writer.write(HEADER.pack(len(body)) + body)
    await wire.reader.read(1)


async def sends_wrong_shape(wire: Wire) -> None:
    call = await wire.read_call()
    body = frames.encoder.encode(['answer', call.number, {'status': 'fine'}])
    wire.writer.write(HEADER.pack(len(body)) + body)
    await wire.reader.read(1)


async def sends_a_call_back(wire: Wire) -> None:
    wire.send(await wire.read_call())
    await wire.reader.read(1)


async def truncates(wire: Wire) -> None:
    call = await wire.read_call()
    wire.writer.write(frames.encode(answer(call))[:-1])


async def numbers_wrongly(wire: Wire) -> None:
    call = await wire.read_call()
    wire.send(answer(call, call.number + 7))


async def sends_empty_frame(wire: Wire) -> None:
    await wire.read_call()
    wire.writer.write(HEADER.pack(0))
    await wire.reader.read(1)


@pytest.mark.parametrize(
    'act',
    [
        cuts,
        sends_too_long,
        sends_garbage,
        sends_unknown_tag,
        sends_wrong_shape,
        sends_a_call_back,
        truncates,
        numbers_wrongly,
        sends_empty_frame,
    ],
)
async def test_faulty_guard_costs_no_caller_its_answer(act: Act) -> None:
    """The stream to a guard breaks with a call in flight.

    An idempotent one is run by another target.  The other may have run, so
    that it is told as unknown, and is sent nowhere else.
    """
    async with (
        callpath.node('front') as front,
        callpath.node('good') as good,
        callpath.standin_target('read') as read,
        callpath.standin_target('write') as write,
        callpath.caller(front.port) as caller,
    ):
        good.announce('read', read.settings.port)
        async with faulty_guard(front, act):
            reply = await caller.ask('write', 'POST', '/w', b'x')
            assert (reply.status, reply.word) == (502, 'unknown')
            front.meet(good)
            # Have the faulty one look less loaded.
            for _ in range(3):
                front.router.book.sent('good/t-good')
            reply = await caller.ask('read', 'GET', '/r')
            assert (reply.status, reply.word) == (200, 'answered')
            assert front.counts.totals['router.retried'] == 1
        assert (read.counts['ran'], write.counts['ran']) == (1, 0)


async def test_crossed_answers_go_to_their_own_callers() -> None:
    async def crosses(wire: Wire) -> None:
        first = await wire.read_call()
        second = await wire.read_call()
        unasked = answer(first, 99)
        wire.send(answer(second), unasked, answer(first), answer(first))
        await wire.reader.read(1)

    async with callpath.node('front') as front, faulty_guard(front, crosses):
        paths = ('/one', '/two')

        async def ask(path: str) -> callpath.Reply:
            async with callpath.caller(front.port) as caller:
                return await caller.ask('read', 'GET', path)

        replies = await asyncio.gather(*(ask(path) for path in paths))
        assert [one.body.decode() for one in replies] == list(paths)
        await conditions.until(
            lambda: front.counts.totals['peer.late'] == 2, 'both dropped'
        )


async def test_answer_that_comes_late_is_not_given_to_the_next_call() -> None:
    async def is_late(wire: Wire) -> None:
        first = await wire.read_call()
        assert isinstance(await wire.read(), frames.CancelFrame)
        second = await wire.read_call()
        wire.send(answer(first), answer(second))
        await wire.reader.read(1)

    async with (
        callpath.node('front') as front,
        faulty_guard(front, is_late),
        callpath.caller(front.port) as caller,
    ):
        timeout = 'Peridot-Timeout-Ms: 30'
        reply = await caller.ask('write', 'POST', '/late', b'', timeout)
        assert reply.word == 'unknown'
        reply = await caller.ask('write', 'POST', '/next', b'x')
        assert reply.body == b'/next'


def a_call(service: str = 'read', **changes: object) -> frames.CallFrame:
    host = (calls.Header('Host', service),)
    call = calls.Call('r', service, 'GET', '/', host, b'', 2000, True)
    changed = dataclasses.replace(call, **changes)  # type: ignore[arg-type]
    return frames.CallFrame(1, changed, 't-back')


@pytest.mark.parametrize(
    'raw',
    [
        pytest.param(b'', id='nothing'),
        pytest.param(frames.encode(a_call())[:-1], id='truncated'),
        pytest.param(HEADER.pack(2**32 - 1), id='too-long'),
        pytest.param(HEADER.pack(3) + b'\xc1\xc1\xc1', id='garbage'),
        pytest.param(HEADER.pack(0), id='empty'),
        pytest.param(HEADER.pack(1) + b'\x90', id='no-tag'),
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
async def test_faulty_stream_to_a_guard_runs_nothing_and_harms_no_other(
    raw: bytes,
) -> None:
    async with (
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port)
        port = back.myself.record.call_port
        good = Wire(*await asyncio.open_connection('127.0.0.1', port))
        bad = Wire(*await asyncio.open_connection('127.0.0.1', port))
        bad.writer.write(raw)
        bad.writer.write_eof()
        assert await asyncio.wait_for(bad.reader.read(), 10) == b''
        good.send(a_call())
        reply = await asyncio.wait_for(good.read(), 10)
        assert isinstance(reply, frames.AnswerFrame)
        assert target.counts['ran'] == 1
        for wire in (good, bad):
            wire.writer.close()


@pytest.mark.parametrize(
    ('call', 'reason'),
    [
        pytest.param(a_call('nobody'), 'no-such-service', id='no-service'),
        pytest.param(a_call('write'), 'no-target', id='no-target'),
        pytest.param(a_call(budget_ms=0), 'deadline', id='no-time'),
        pytest.param(a_call(budget_ms=-5), 'deadline', id='less-than-none'),
    ],
)
async def test_guard_refuses_what_it_cannot_run(
    call: frames.CallFrame, reason: str
) -> None:
    async with (
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port)
        port = back.myself.record.call_port
        wire = Wire(*await asyncio.open_connection('127.0.0.1', port))
        wire.send(call)
        reply = await asyncio.wait_for(wire.read(), 10)
        assert isinstance(reply, frames.NotRunFrame)
        assert reply.refusal.reason.value == reason
        assert reply.refusal.peer == 'back'
        assert target.counts['ran'] == 0
        wire.writer.close()


@pytest.mark.parametrize('service', ['read', 'write'])
async def test_call_goes_elsewhere_from_a_guard_that_leaves(
    service: str,
) -> None:
    """A daemon takes no new work any more, and others do not know yet.

    Its refusal proves that nothing ran, so any call may go elsewhere.
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
        front.meet(one, two)
        one.guard.leaving = True
        for number in range(8):
            reply = await caller.ask(service, 'POST', f'/{number}', b'x')
            assert (reply.status, reply.word) == (200, 'answered')
        assert target.counts['ran'] == 8
        two.guard.leaving = True
        reply = await caller.ask(service, 'POST', '/', b'x')
        assert (reply.status, reply.word) == (503, 'not-run')
        assert target.counts['ran'] == 8


async def test_answers_carry_the_load_of_the_guards_target() -> None:
    async with (
        callpath.node('front') as front,
        callpath.node('back') as back,
        callpath.standin_target('read') as target,
    ):
        back.announce('read', target.settings.port, slots=4)
        front.meet(back)
        async with (
            callpath.caller(front.port) as slow,
            callpath.caller(front.port) as fast,
        ):
            await slow.send(
                callpath.request(
                    'read', 'GET', '/', b'', 'Standin-Work-Ms: 60000'
                )
            )
            await conditions.until(lambda: target.running == 1, 'it runs')
            await fast.ask('read')
        (endpoint,) = front.replica.table.routes['read'].endpoints
        report = front.router.book.reports[choice.key_of(endpoint)]
        assert report.load == pytest.approx(1 / 4)
