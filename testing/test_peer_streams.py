"""Streams between proxies that are stalled, silent or restarted."""

import asyncio
import dataclasses

import pytest

from peridotpost.decisions import memoryaccount
from peridotpost.model import forwarding
from peridotpost.proxy import deadlines
from peridotpost.proxy import frames
from peridotpost.proxy import peers
from testing import conditions
from testing import orders
from testing import proxies


def dispatch(number: int, idempotent: bool = False) -> frames.Dispatch:
    return frames.Dispatch(
        number,
        'register',
        'write',
        f'd{number}'.encode(),
        b'POST',
        b'/write/ok',
        f'Host: x\r\nX-Attempt-Id: d{number}\r\n'.encode(),
        b'',
        idempotent,
        True,
        1,
        1000,
        1000,
    )


async def test_request_cancelled_during_a_freeze_is_not_run() -> None:
    """Guards against running a request whose caller was already answered.

    A guard's process is frozen for seconds.  Meanwhile an ingress sends it a
    request, cancels it and answers the caller.  When the guard resumes, it
    reads the dispatch and its cancellation together.
    """
    async with proxies.pair() as (_, first, second):
        (stream,) = first.proxy.directory.accepted_streams
        batch = frames.encode(dispatch(901)) + frames.encode(
            frames.Cancel(901)
        )
        stream.data_received(batch + frames.encode(dispatch(902)))
        await conditions.until(lambda: not stream.received_orders)
        assert first.worker.attempts() == ['d902']


async def test_order_of_an_earlier_stream_cancels_nothing() -> None:
    """Guards against cancelling another order that has its number."""
    async with proxies.pair() as (_, first, _second):
        stream = first.proxy.directory.peers['b'].stream
        assert stream is not None
        await conditions.until(lambda: not stream.flush_scheduled)
        stream.sent_orders[7] = orders.order(7)
        stream.withdraw(orders.order(7))
        assert not stream.write_queue
        stream.withdraw(stream.sent_orders.pop(7))


async def test_cancelled_order_does_not_start_when_its_slot_is_free() -> None:
    """Guards against running a request that was reported as not run.

    It is cancelled between the end of the run before it and its own start.
    """
    async with proxies.saturated_host() as host:
        guard = host.proxy.guard
        outcomes: list[forwarding.Outcome] = []
        waiting = orders.order(2, deadlines.now(), 1, 5.0, 5.0)
        waiting.attempt_id = b'w1'
        waiting.done = outcomes.append
        guard.submit(waiting)
        guard.run_ended.subscribe(
            lambda end: waiting.settle(
                forwarding.Refused(forwarding.Refusal.WITHDRAWN)
            )
        )
        host.worker.release.set()
        await conditions.until(lambda: guard.has_no_work)
        assert isinstance(outcomes[0], forwarding.Refused)
        assert host.worker.attempts() == ['holds']
        assert (await host.ask('/read/ok', attempt='r2')).status == 200


async def test_reads_leave_a_silent_peer_before_writes_do() -> None:
    """A connection goes silent permanently while new ones work.

    A read is rerouted as soon as a ping stays unanswered.  A write can't be
    retried, so it waits for its response until the stream is closed.
    """
    async with proxies.pair() as (_, first, _second):
        stream = first.proxy.directory.peers['b'].stream
        assert stream is not None and stream.transport is not None
        stream.transport.pause_reading()
        outcomes: dict[str, forwarding.Outcome] = {}
        for name, idempotent in (('read', True), ('write', False)):
            stream.dispatch(_order(name, idempotent, outcomes))
        now = deadlines.now()
        stream.check_liveness(now + peers.PING_AFTER_S * 1.1)
        assert stream.suspect and not outcomes
        stream.check_liveness(stream.pinged_at + peers.REROUTE_AFTER_S * 1.1)
        assert isinstance(outcomes.pop('read'), forwarding.ResponseLost)
        assert not outcomes
        stream.check_liveness(stream.pinged_at + peers.CLOSE_AFTER_S * 1.1)
        await conditions.until(lambda: 'write' in outcomes)
        assert isinstance(outcomes['write'], forwarding.ResponseLost)
        await conditions.until(
            lambda: first.proxy.directory.peers['b'].candidate.ready
        )


def _order(
    name: str, idempotent: bool, outcomes: dict[str, forwarding.Outcome]
) -> forwarding.Order:
    now = deadlines.now()

    def done(outcome: forwarding.Outcome) -> None:
        outcomes[name] = outcome

    return forwarding.Order(
        number=0,
        service='register',
        attempt_id=name.encode(),
        method=b'POST',
        target=b'/write/hold',
        head=b'Host: x\r\n',
        body=b'',
        idempotent=idempotent,
        rank=1,
        deadline=now + 5,
        objective=now + 5,
        last=True,
        done=done,
        may_move=lambda: True,
    )


async def test_restarted_peer_is_dialled_again_at_once() -> None:
    """A host lost power, so its old stream is silent without a reset.

    The host's new record shows that the process of the stream has ended.
    """
    async with proxies.pair() as (_, first, second):
        peer = first.proxy.directory.peers['b']
        before = peer.stream
        record = second.proxy.own_record
        newer = type(record)(
            record.host,
            record.availability_zone,
            record.address,
            record.port,
            record.incarnation + 1,
        )
        first.proxy.directory.add_record(newer, from_store=True)
        await conditions.until(
            lambda: peer.stream is not None and peer.stream is not before
        )
        await asyncio.sleep(0)
        assert before is not None and before.closed


async def test_read_without_alternative_waits_for_a_silent_peer() -> None:
    """Guards against 502 for a read without an alternative target.

    A busy host is silent for half a second and then responds.  A read of a
    route with a single attempt was cancelled meanwhile, so the target's work
    was lost and the caller got 502 without a retry.
    """
    async with proxies.pair() as (_, first, _second):
        stream = first.proxy.directory.peers['b'].stream
        assert stream is not None and stream.transport is not None
        stream.transport.pause_reading()
        outcomes: dict[str, forwarding.Outcome] = {}
        order = _order('read', True, outcomes)
        order.may_move = lambda: False
        stream.dispatch(order)
        stream.check_liveness(deadlines.now() + peers.PING_AFTER_S * 1.1)
        stream.check_liveness(stream.pinged_at + peers.REROUTE_AFTER_S * 1.1)
        assert not outcomes


async def test_leaving_daemon_waits_for_silent_peers() -> None:
    """Guards against 502 while a daemon shuts down and a peer is busy.

    The peer is silent for a second.  Reads dispatched to it were cancelled,
    and one that no other target could serve in time ended with 502 although
    its target was still running it.
    """
    async with proxies.pair() as (_, first, _second):
        stream = first.proxy.directory.peers['b'].stream
        assert stream is not None and stream.transport is not None
        stream.transport.pause_reading()
        first.proxy.directory.leaving = True
        outcomes: dict[str, forwarding.Outcome] = {}
        for name, idempotent in (('read', True), ('write', False)):
            stream.dispatch(_order(name, idempotent, outcomes))
        stream.check_liveness(deadlines.now() + peers.PING_AFTER_S * 1.1)
        assert stream.pinged_at
        stream.check_liveness(stream.pinged_at + peers.REROUTE_AFTER_S * 1.1)
        stream.check_liveness(stream.pinged_at + peers.CLOSE_AFTER_S * 1.1)
        assert not outcomes
        assert not stream.transport.is_closing()


@pytest.mark.parametrize(
    ('newer_by', 'kept'),
    [
        pytest.param(0, True, id='stream to the recorded process'),
        pytest.param(1, False, id='stream to an earlier process'),
    ],
)
async def test_record_closes_only_streams_to_earlier_processes(
    newer_by: int, kept: bool
) -> None:
    """Guards against 502 for running requests during a rolling restart.

    A daemon opens a stream to a peer that has just restarted and dispatches
    requests to it.  It then receives the peer's new record from the store or
    another peer, mistakes the stream for one to the previous process and
    closes it, which aborts the requests.
    """
    async with proxies.pair() as (_, first, second):
        directory = first.proxy.directory
        peer = directory.peers['b']
        stream = peer.stream
        assert stream is not None
        await conditions.until(lambda: stream.incarnation > 0)
        record = second.proxy.own_record
        peer.record = dataclasses.replace(
            record, incarnation=record.incarnation - 1
        )
        newer_record = dataclasses.replace(
            record, incarnation=record.incarnation + newer_by
        )
        directory.add_record(newer_record, from_store=True)
        assert peer.record == newer_record
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert stream.closed is not kept


async def test_hello_updates_the_record_of_a_restarted_peer() -> None:
    async with proxies.pair() as (_, first, second):
        peer = first.proxy.directory.peers['b']
        stream = peer.stream
        assert stream is not None
        await conditions.until(lambda: stream.incarnation > 0)
        peer.record = dataclasses.replace(peer.record, incarnation=1)
        first.proxy.directory.handle_hello(
            stream, second.proxy.directory.hello(False, 'a')
        )
        assert peer.record == second.proxy.own_record
        assert peer.stream is stream


async def test_response_offered_on_a_silent_stream_is_let_go() -> None:
    """Guards against large responses kept for a connection that went silent.

    New connections work.  The side that dialled notices the silence and dials
    again, and its closing of the old connection never arrives.
    """
    response = memoryaccount.Kind.RESPONSE
    async with proxies.pair(memory_mb=64.0) as (_, first, second):
        await second.send_rpc('instances.leave', 'i-b', b'')
        await conditions.until(
            lambda: not second.proxy.directory.own_candidate.ready
        )
        account = second.proxy.memory
        taken = account.limits[response]
        assert account.take(response, taken)
        asking = asyncio.ensure_future(
            second.ask('/write/sized?size=5000000', method='PUT', body=b'x')
        )
        await conditions.until(lambda: account.waiting_count == 1)
        (old,) = first.proxy.directory.accepted_streams
        assert first.proxy.memory.used >= 5_000_000
        stream = second.proxy.directory.peers['a'].stream
        for one in (old, stream):
            assert one is not None and one.transport is not None
            one.transport.pause_reading()
        assert stream is not None
        now = deadlines.now()
        stream.check_liveness(now + peers.PING_AFTER_S * 1.1)
        stream.check_liveness(stream.pinged_at + peers.CLOSE_AFTER_S * 1.1)
        assert (await asking).status == 502
        await conditions.until(lambda: first.proxy.memory.used == 0)
        assert old.closed
        account.give_back(taken)
        assert account.used == 0
