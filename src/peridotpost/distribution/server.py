"""The parent's side: takes in streams and answers reconciliations."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Any

import grpc
from grpc import aio

from peridotpost.decisions import pacing
from peridotpost.decisions import tree
from peridotpost.decisions import versions
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import counters
from peridotpost.kernel import tasks
from peridotpost.model import config
from peridotpost.model import errors

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
KEEPALIVE_MS = 10_000
STOP_GRACE_S = 0.5
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_MS // 2),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
    ('grpc.enable_http_proxy', 0),
)

Context = aio.ServicerContext[Any, Any]


class ControlServicer(control_pb2_grpc.ControlServicer):
    """Serves the Control service for one daemon."""

    def __init__(
        self,
        replica: replicas.Replica,
        table: links.LinkTable,
        counts: counters.Counters,
        incarnation: int,
        zone: str,
    ) -> None:
        self.replica = replica
        self.table = table
        self.counts = counts
        self.incarnation = incarnation
        self.zone = zone
        self.limit = pacing.JoinLimit(replica.clock.now())
        self.children = 0
        self.closing = asyncio.Event()

    async def Exchange(  # noqa: N802 - the name is the protocol's
        self, request_iterator: Any, context: Context
    ) -> None:
        """Hold one child's stream until either side ends it."""
        first = await context.read()
        if first is aio.EOF or not first.HasField('hello'):
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, 'begin with Hello'
            )
        refusal = self._refuse()
        if refusal is not None:
            self.counts.add('link.refused')
            await context.write(control_pb2.Frame(refusal=refusal))
            return
        self.children += 1
        try:
            await self._serve(first.hello, context)
        except errors.CodecError as error:
            self.counts.add('link.unreadable')
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        finally:
            self.children -= 1

    def _refuse(self) -> control_pb2.Refusal | None:
        if self.children >= tree.MAX_CHILDREN:
            return control_pb2.Refusal(
                reason='full', come_back_ms=int(pacing.CAP_S * 1000)
            )
        wait_s = self.limit.admit(self.replica.clock.now())
        if wait_s:
            return control_pb2.Refusal(
                reason='storm', come_back_ms=int(wait_s * 1000) + 1
            )
        return None

    async def _serve(self, hello: control_pb2.Hello, context: Context) -> None:
        link = links.Link(hello.host, self.replica, context.write, self.counts)
        mine = links.greeting(self.replica, self.incarnation, self.zone)
        await context.write(control_pb2.Frame(hello=mine))
        links.greet_with(link, hello)
        async with attached(self.table, link):
            while (frame := await self._read(context)) is not aio.EOF:
                await handle(link, frame)

    async def _read(self, context: Context) -> Any:
        """Read a frame; the end of the stream also when this side stops."""
        reading = asyncio.ensure_future(context.read())
        closing = asyncio.ensure_future(self.closing.wait())
        try:
            await asyncio.wait(
                {reading, closing}, return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else aio.EOF
        finally:
            closing.cancel()
            reading.cancel()

    async def Reconcile(  # noqa: N802 - the name is the protocol's
        self, request: control_pb2.Digest, context: Context
    ) -> control_pb2.Facts:
        """Answer with what the sender of the digest lacks."""
        self.counts.add('reconcile.answered')
        try:
            facts = self.lacking(request)
            if request.HasField('sender'):
                sender = wire.member_from_wire(request.sender)
                self.replica.offer_member(sender, f'reconcile {sender.host}')
            return facts
        except errors.CodecError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    def lacking(self, digest: control_pb2.Digest) -> control_pb2.Facts:
        """Return the facts that the sender of `digest` does not hold."""
        marks = wire.marks_from_wire(digest.marks)
        newer = self.replica.fleet.newer_than(marks)
        interest = wire.interest_from_wire(digest.interest)
        facts = control_pb2.Facts(
            members=[wire.member_to_wire(one) for one in newer]
        )
        scoped = self.replica.version.scoped(interest)
        same = scoped.digest == digest.config_digest
        if scoped.revision > digest.revision or (
            scoped.revision == digest.revision and not same
        ):
            if links.holds(self.replica.interest, interest):
                whole = versions.difference(config.NO_CONFIG, scoped)
                facts.config.CopyFrom(wire.update_to_wire(whole))
        return facts


async def handle(link: links.Link, frame: control_pb2.Frame) -> None:
    """Act on one frame of a standing link.

    :raises errors.CodecError: the frame cannot be read.
    """
    kind = frame.WhichOneof('body')
    if kind == 'facts':
        if not link.receive(frame.facts):
            need = control_pb2.NeedWhole(
                revision=link.replica.version.revision
            )
            await link.send(control_pb2.Frame(need_whole=need))
    elif kind == 'need_whole':
        link.ask_whole()
    elif kind == 'hello':
        links.greet_with(link, frame.hello)


@contextlib.asynccontextmanager
async def attached(
    table: links.LinkTable, link: links.Link
) -> AsyncIterator[None]:
    """Let `link` send while it stands."""
    table.links.append(link)
    sending = asyncio.ensure_future(link.run())
    try:
        yield
    finally:
        table.links.remove(link)
        await tasks.end(sending)


@contextlib.asynccontextmanager
async def serving(
    servicer: ControlServicer, address: str, port: int
) -> AsyncIterator[int]:
    """Serve the Control service and yield the port in use.

    :raises errors.PeridotError: the port is taken.
    """
    server = aio.server(options=(*CHANNEL_OPTIONS, ('grpc.so_reuseport', 0)))
    control_pb2_grpc.add_ControlServicer_to_server(servicer, server)
    try:
        bound = server.add_insecure_port(f'{address}:{port}')
    except RuntimeError as error:
        raise errors.PeridotError(
            'the control port cannot be opened; set listen.control_port to '
            'a free one',
            step='control.listen',
            peer=f'{address}:{port}',
        ) from error
    await server.start()
    try:
        yield bound
    finally:
        servicer.closing.set()
        await server.stop(grace=STOP_GRACE_S)
