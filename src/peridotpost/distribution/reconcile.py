"""Periodic anti-entropy with a random peer, for facts that streams missed.

A fact is lost if a parent dies after it received the fact and before it
forwarded it; a daemon would then never learn of the change.  Eventually
every pair of daemons is compared, and merging keeps the newer fact.
"""

import asyncio
import random

import grpc

from peridotpost.distribution import grpcchannels
from peridotpost.distribution import replica as replicas
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.generated import control_pb2_grpc
from peridotpost.kernel import counters
from peridotpost.model import errors

TIMEOUT_S = 2.0
CROSS_ZONE_SHARE = 0.25
"""Share of the exchanges that go to a member of a remote zone."""


class Reconciler:
    """Fetches missing facts from one random member at a time."""

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
        self.dial: grpcchannels.Dial = grpcchannels.dial

    def pick_address(self) -> str | None:
        """Return the address of a random live member, mostly of this zone.

        Returns None if no other member is known.
        """
        live = [
            record
            for record in self.replica.fleet.live()
            if record.host != self.replica.host
        ]
        zone_members = [
            record for record in live if record.availability_zone == self.zone
        ]
        remote_members = [
            record for record in live if record.availability_zone != self.zone
        ]
        cross_zone = self.randomness.random() < CROSS_ZONE_SHARE
        peers = (
            (remote_members or zone_members)
            if cross_zone
            else (zone_members or remote_members)
        )
        if not peers:
            return None
        return self.randomness.choice(peers).control_address

    async def tick(self) -> None:
        address = self.pick_address()
        if address is not None:
            await self.fetch_facts(address)

    async def fetch_facts(self, address: str) -> int | None:
        """Fetch the facts that are missing here from `address`.

        Returns the peer's revision, 0 if it has no version, or None if
        the exchange failed.
        """
        try:
            async with self.dial(address) as channel:
                stub = control_pb2_grpc.ControlStub(channel)
                facts = await self._send_digest(
                    stub, self._full_digest(), address
                )
                if facts.differing:
                    marks = self._marks_digest(frozenset(facts.differing))
                    await self._send_digest(stub, marks, address)
        except (grpc.RpcError, errors.PeridotError, asyncio.TimeoutError):
            self.counts.add('reconcile.failed')
            return None
        self.counts.add('reconcile.asked')
        return facts.revision

    async def _send_digest(
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
        self.apply_facts(facts, address)
        return facts

    def _full_digest(self) -> control_pb2.Digest:
        """Return the first request: checksums of all that is held."""
        replica = self.replica
        digest = control_pb2.Digest(
            host=replica.host,
            revision=replica.version.revision,
            config_digest=replica.digest,
            interest=wire.interest_to_wire(replica.interest),
            member_sums=replica.fleet.bucket_sums,
        )
        own_record = replica.fleet.records.get(replica.host)
        if own_record is not None:
            digest.sender.CopyFrom(wire.member_to_wire(own_record))
        return digest

    def _marks_digest(self, buckets: frozenset[int]) -> control_pb2.Digest:
        """Return the second request: the marks of buckets that differed."""
        marks = self.replica.fleet.marks(buckets)
        return control_pb2.Digest(
            host=self.replica.host,
            marks=wire.bucket_marks_to_wire(buckets, marks),
        )

    def apply_facts(self, facts: control_pb2.Facts, address: str) -> None:
        """Offer the facts to the replica.

        :raises errors.CodecError: they are invalid; none was applied.
        """
        records = [wire.member_from_wire(member) for member in facts.members]
        source = f'reconcile {address}'
        if facts.HasField('config'):
            update = wire.update_from_wire(facts.config)
            self.replica.offer_config(update, source)
        for record in records:
            self.replica.offer_member(record, source)
