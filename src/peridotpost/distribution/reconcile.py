"""The slow exchange with one random peer, for what streams missed.

Guards against a fact lost between two streams (a parent that died after
it took a fact and before it passed it on), which would show as one daemon
that never hears of a change.  It holds because every pair of daemons is
compared sooner or later and the merge takes the later fact of the two.
"""

import asyncio
import random

import grpc
from grpc import aio

from peridotpost.distribution import replica as replicas
from peridotpost.distribution import server
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

    async def ask(self, address: str) -> bool:
        """Fetch from `address` what is lacking; False if it failed."""
        replica = self.replica
        digest = control_pb2.Digest(
            host=replica.host,
            revision=replica.version.revision,
            config_digest=replica.version.digest,
            interest=wire.interest_to_wire(replica.interest),
            marks=wire.marks_to_wire(replica.fleet.marks()),
        )
        mine = replica.fleet.records.get(replica.host)
        if mine is not None:
            digest.sender.CopyFrom(wire.member_to_wire(mine))
        options = list(server.CHANNEL_OPTIONS)
        try:
            async with aio.insecure_channel(address, options) as channel:
                stub = control_pb2_grpc.ControlStub(channel)
                facts = await stub.Reconcile(digest, timeout=TIMEOUT_S)
            self.take(facts, address)
        except (grpc.RpcError, errors.CodecError, asyncio.TimeoutError):
            self.counts.add('reconcile.failed')
            return False
        self.counts.add('reconcile.asked')
        self.counts.add('reconcile.sent-bytes', digest.ByteSize())
        self.counts.add('reconcile.received-bytes', facts.ByteSize())
        return True

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
