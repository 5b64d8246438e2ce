"""Bootstrap records in the store, by which a starting daemon finds others.

A few daemons of each availability zone, computed like the relays, keep one
record each under a lease.  Eight in each of 11 zones, renewed every 5 s,
are 18 writes a second, whatever the size of the fleet.
"""

import dataclasses
import json
import random

import result

from peridotpost.decisions import seeds as rules
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.model import errors
from peridotpost.model import members
from peridotpost.store import store


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A daemon that a starting one can ask for the fleet."""

    host: str
    availability_zone: str
    control_address: str
    incarnation: int = 0


def seeds_prefix(mesh: str) -> str:
    return f'peridotpost/{mesh}/seeds/'


def seed_of(record: members.MemberRecord) -> Seed:
    return Seed(
        record.host,
        record.availability_zone,
        record.control_address,
        record.incarnation,
    )


def read_seed(
    kv: store.KeyValue,
) -> result.Result[Seed, errors.StoreError]:
    """Decode a bootstrap record."""
    try:
        plain = json.loads(kv.value)
        seed = Seed(
            str(plain['host']),
            str(plain['availability_zone']),
            str(plain['control_address']),
            int(plain.get('incarnation', 0)),
        )
    except (ValueError, LookupError, TypeError, RecursionError) as error:
        return result.Err(
            errors.StoreProtocolError(
                repr(error), step='seeds.read', peer=kv.key
            )
        )
    return result.Ok(seed)


class SeedKeeper:
    """Reads the bootstrap records, and keeps one for this daemon if due."""

    def __init__(
        self,
        platform: store.Store,
        mesh: str,
        period_s: float,
        counts: counters.Counters,
    ) -> None:
        self.platform = platform
        self.mesh = mesh
        self.ttl_s = max(2, round(period_s * rules.LEASE_PERIODS))
        self.counts = counts
        self.lease = 0
        self.stored: list[Seed] = []

    async def find(
        self, zone: str, randomness: random.Random
    ) -> result.Result[list[Seed], errors.StoreError]:
        """Return the seeds, those of `zone` first, each group shuffled."""
        found = await self.platform.read_prefix(seeds_prefix(self.mesh))
        if isinstance(found, result.Err):
            return found
        read = [read_seed(kv) for kv in found.ok_value]
        self.stored = [
            one.ok_value for one in read if isinstance(one, result.Ok)
        ]
        seeds = list(self.stored)
        randomness.shuffle(seeds)
        seeds.sort(key=lambda seed: seed.availability_zone != zone)
        return result.Ok(seeds)

    async def tick(
        self, record: members.MemberRecord, zone_hosts: list[str]
    ) -> bool:
        """Renew, write or withdraw the record; return whether it is due."""
        zone = record.availability_zone
        stored = [
            seed.host for seed in self.stored if seed.availability_zone == zone
        ]
        if not rules.should_keep_record(record.host, zone, zone_hosts, stored):
            await self.withdraw()
            return False
        if not self.lease or not await self._renew():
            await self._write(record, zone_hosts)
        return True

    async def _renew(self) -> bool:
        """Renew the lease; return False if it has lapsed.

        It may lapse while the process is paused.  Without an answer from the
        store the lease is assumed to hold.
        """
        renewed = await self.platform.keep_alive(self.lease)
        if isinstance(renewed, result.Err):
            return True
        if not renewed.ok_value:
            self.counts.add('seeds.lease-lapsed')
            logs.state_changed('seed-lease', to='lapsed')
            self.lease = 0
        return renewed.ok_value

    async def _write(
        self, record: members.MemberRecord, zone_hosts: list[str]
    ) -> None:
        """Write the record under a new lease, if it is still due."""
        zone = record.availability_zone
        prefix = f'{seeds_prefix(self.mesh)}{zone}/'
        found = await self.platform.read_prefix(prefix)
        if isinstance(found, result.Err):
            return
        existing = {kv.key: kv for kv in found.ok_value}
        hosts = [key.removeprefix(prefix) for key in existing]
        if not rules.should_keep_record(record.host, zone, zone_hosts, hosts):
            return
        own_seed = seed_of(record)
        current = existing.get(f'{prefix}{record.host}')
        if current is not None and not self._may_replace(current, own_seed):
            return
        await self._swap(f'{prefix}{record.host}', current, own_seed)

    def _may_replace(self, current: store.KeyValue, own_seed: Seed) -> bool:
        """Whether the existing record may be overwritten.

        Otherwise a process that was paused while its host started a new one
        would take the key from the new one, and the two would overwrite
        each other in turn.
        """
        decoded = read_seed(current)
        if isinstance(decoded, result.Err):
            return True
        if decoded.ok_value == own_seed and current.lease:
            # An earlier write took effect, but its answer was lost.
            self.lease = current.lease
            return False
        if decoded.ok_value.incarnation > own_seed.incarnation:
            self.counts.add('seeds.superseded')
            return False
        return True

    async def _swap(
        self, key: str, current: store.KeyValue | None, own_seed: Seed
    ) -> None:
        granted = await self.platform.grant(self.ttl_s)
        if isinstance(granted, result.Err):
            return
        value = json.dumps(dataclasses.asdict(own_seed)).encode()
        swapped = await self.platform.swap(
            key,
            current.revision if current else 0,
            [store.Put(key, value, granted.ok_value)],
        )
        if isinstance(swapped, result.Ok) and isinstance(
            swapped.ok_value, store.Swapped
        ):
            self.lease = granted.ok_value

    async def withdraw(self) -> None:
        """End the lease, which deletes the record at once."""
        if self.lease:
            lease, self.lease = self.lease, 0
            await self.platform.revoke(lease)
