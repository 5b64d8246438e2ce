"""The slow exchange with one random peer, for what streams missed.

Guards against a fact lost between two streams (a parent that died after
it took a fact and before it passed it on), which would show as one daemon
that never hears of a change.  It holds because every pair of daemons is
compared sooner or later and the merge takes the later fact of the two.
"""

import asyncio
import random

import grpc

from peridotpost.distribution import dialling
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import counters
from peridotpost.model import errors

TIMEOUT_S = 2.0
CROSS_ZONE_SHARE = 0.25


class Reconciler:
    """Asks one random member at a time for what is lacking here."""

    def __init__(
        self,
        replica: replicas.Replica,
        counts: counters.Counters,
        zone: str,
        randomness: random.Random,
    ) -> None:
        self.replica = replica
        self.counts = counts
        self.zone = zone
        self.randomness = randomness
        self.dial: dialling.Dial = dialling.dial

    def pick(self) -> str | None:
        """Return the address to ask next, mostly within the zone."""
        live = [
            one
            for one in self.replica.fleet.live()
            if one.host != self.replica.host
        ]
        near = [one for one in live if one.availability_zone == self.zone]
        far = [one for one in live if one.availability_zone != self.zone]
        across = self.randomness.random() < CROSS_ZONE_SHARE
        chosen = (far or near) if across else (near or far)
        if not chosen:
            return None
        return self.randomness.choice(chosen).control_address

    async def tick(self) -> None:
        address = self.pick()
        if address is not None:
            await self.ask(address)

    async def ask(self, address: str) -> int | None:
        """Fetch from `address` what is lacking.

        Returns the revision that the asked holds, 0 for none; None if it
        gave no usable answer.
        """
        try:
            async with self.dial(address) as channel:
                stub = control_pb2_grpc.ControlStub(channel)
                facts = await self._question(stub, self._digest(), address)
                if facts.differing:
                    marks = self._marks(frozenset(facts.differing))
                    await self._question(stub, marks, address)
        except (grpc.RpcError, errors.PeridotError, asyncio.TimeoutError):
            self.counts.add('reconcile.failed')
            return None
        self.counts.add('reconcile.asked')
        return facts.revision

    async def _question(
        self,
        stub: control_pb2_grpc.ControlStub,
        digest: control_pb2.Digest,
        address: str,
    ) -> control_pb2.Facts:
        self.counts.add('reconcile.sent-bytes', digest.ByteSize())
        facts: control_pb2.Facts = await stub.Reconcile(
            digest, timeout=TIMEOUT_S
        )
        self.counts.add('reconcile.received-bytes', facts.ByteSize())
        self.take(facts, address)
        return facts

    def _digest(self) -> control_pb2.Digest:
        """Return the first question: sums over all that is held."""
        replica = self.replica
        digest = control_pb2.Digest(
            host=replica.host,
            revision=replica.version.revision,
            config_digest=replica.digest,
            interest=wire.interest_to_wire(replica.interest),
            member_sums=replica.fleet.sums,
        )
        mine = replica.fleet.records.get(replica.host)
        if mine is not None:
            digest.sender.CopyFrom(wire.member_to_wire(mine))
        return digest

    def _marks(self, buckets: frozenset[int]) -> control_pb2.Digest:
        """Return the second question: the marks where sums differed."""
        marks = self.replica.fleet.marks(buckets)
        return control_pb2.Digest(
            host=self.replica.host, marks=wire.bucket_marks(buckets, marks)
        )

    def take(self, facts: control_pb2.Facts, address: str) -> None:
        """Offer the facts to the replica.

        :raises errors.CodecError: they cannot be read; nothing is kept.
        """
        records = [wire.member_from_wire(one) for one in facts.members]
        source = f'reconcile {address}'
        if facts.HasField('config'):
            update = wire.update_from_wire(facts.config)
            self.replica.offer_config(update, source)
        for record in records:
            self.replica.offer_member(record, source)
