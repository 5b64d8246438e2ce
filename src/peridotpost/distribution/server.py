"""Server side: accepts streams of children and reconciliation requests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from typing import Any

import grpc
from grpc import aio

from peridotpost.decisions import pacing
from peridotpost.decisions import tree
from peridotpost.decisions import versions
from peridotpost.distribution import grpcchannels
from peridotpost.distribution import links
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import streams
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import counters
from peridotpost.model import config
from peridotpost.model import errors

STOP_GRACE_S = 0.5
Context = aio.ServicerContext[Any, Any]


class ControlServicer(control_pb2_grpc.ControlServicer):
    """Implements the Control service of one daemon."""

    def __init__(
        self,
        replica: replicas.Replica,
        table: links.LinkTable,
        counts: counters.Counters,
    ) -> None:
        self.replica = replica
        self.table = table
        self.counts = counts
        self.join_limiter = pacing.JoinLimiter(replica.clock.now())
        self.children = 0
        self.closing = asyncio.Event()

    async def Exchange(  # noqa: N802 - name of the RPC
        self, request_iterator: Any, context: Context
    ) -> None:
        """Serve one child's stream until either side ends it."""
        hello = await self._read_hello(context)
        refusal = self._check_admission()
        if refusal is not None:
            self.counts.add('link.refused')
            await context.write(control_pb2.Frame(refusal=refusal))
            return
        link = links.Link(hello.host, self.table, self.counts)
        self.children += 1
        try:
            link.handle_frame(control_pb2.Frame(hello=hello))
            link.hello_due = True
            await streams.run_link(
                link, context.read, context.write, self.closing
            )
        except errors.CodecError as error:
            self.counts.add('link.unreadable')
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        finally:
            self.children -= 1

    async def _read_hello(self, context: Context) -> control_pb2.Hello:
        """Read the Hello; abort the call if none arrives in time."""
        try:
            async with asyncio.timeout(streams.HELLO_TIMEOUT_S):
                first = await context.read()
        except TimeoutError:
            first = aio.EOF
        if first is aio.EOF or not first.HasField('hello'):
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, 'begin with Hello'
            )
        hello: control_pb2.Hello = first.hello
        return hello

    def _check_admission(self) -> control_pb2.Refusal | None:
        if self.children >= tree.MAX_CHILDREN:
            return control_pb2.Refusal(
                reason='full', come_back_ms=int(pacing.MAX_DELAY_S * 1000)
            )
        wait_s = self.join_limiter.admit(self.replica.clock.now())
        if wait_s:
            return control_pb2.Refusal(
                reason='storm', come_back_ms=int(wait_s * 1000) + 1
            )
        return None

    async def Reconcile(  # noqa: N802 - name of the RPC
        self, request: control_pb2.Digest, context: Context
    ) -> control_pb2.Facts:
        """Return the facts that the sender of the digest lacks."""
        self.counts.add('reconcile.answered')
        try:
            facts = self.missing_facts(request)
            if request.HasField('sender'):
                sender = wire.member_from_wire(request.sender)
                self.replica.offer_member(sender, f'reconcile {sender.host}')
            return facts
        except errors.CodecError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))

    def missing_facts(self, digest: control_pb2.Digest) -> control_pb2.Facts:
        """Return the facts that the sender of `digest` does not hold."""
        facts = control_pb2.Facts(revision=self.replica.version.revision)
        fleet = self.replica.fleet
        if digest.HasField('marks'):
            buckets, marks = wire.bucket_marks_from_wire(digest.marks)
            newer = fleet.newer_than(marks, buckets)
            facts.members.extend(
                wire.member_to_wire(record) for record in newer
            )
            return facts
        if len(digest.member_sums) != len(fleet.bucket_sums):
            raise errors.CodecError(
                'unexpected number of member sums',
                step='reconcile.answer',
                peer=digest.host,
            )
        facts.differing.extend(sorted(fleet.differing(digest.member_sums)))
        interest = wire.interest_from_wire(digest.interest)
        scoped = self.replica.version.narrow(interest)
        target = versions.Holding(scoped, interest)
        newer_here = scoped.revision > digest.revision or (
            scoped.revision == digest.revision
            and target.digest != digest.config_digest
        )
        if newer_here and versions.covers(self.replica.scope, interest):
            full_update = versions.make_update(config.NO_CONFIG, target)
            facts.config.CopyFrom(wire.update_to_wire(full_update))
        return facts


@contextlib.asynccontextmanager
async def serving(
    servicer: ControlServicer, address: str, port: int
) -> AsyncIterator[int]:
    """Run the Control service and yield its port.

    :raises errors.PeridotError: the port is already in use.
    """
    server = aio.server(
        options=(*grpcchannels.CHANNEL_OPTIONS, ('grpc.so_reuseport', 0))
    )
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
