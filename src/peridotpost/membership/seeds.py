"""Bootstrap records in the store: how a fresh daemon finds the others.

A few daemons of each availability zone, computed like the relays, keep
one record each under a lease.  Eight in each of 11 zones, renewed every
5 s, are 18 writes a second, whatever the size of the fleet.
"""

import dataclasses
import json
import random

import result

from peridotpost.decisions import tree
from peridotpost.kernel import counters
from peridotpost.kernel import logs
from peridotpost.model import errors
from peridotpost.model import members
from peridotpost.platform import store

SEEDS_PER_ZONE = 8
LEASE_PERIODS = 3
"""A lease outlives two lost renewals."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """A daemon that a fresh one can ask."""

    host: str
    availability_zone: str
    control_address: str


def seeds_prefix(mesh: str) -> str:
    return f'peridotpost/{mesh}/seeds/'


def read_seed(
    kv: store.KeyValue,
) -> result.Result[Seed, errors.StoreError]:
    """Read a bootstrap record."""
    try:
        plain = json.loads(kv.value)
        seed = Seed(
            str(plain['host']),
            str(plain['availability_zone']),
            str(plain['control_address']),
        )
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(
            errors.StoreGarbage(repr(error), step='seeds.read', peer=kv.key)
        )
    return result.Ok(seed)


async def find_seeds(
    platform: store.Store, mesh: str, zone: str, randomness: random.Random
) -> result.Result[list[Seed], errors.StoreError]:
    """Return the seeds, those of `zone` first, each group shuffled."""
    found = await platform.read_prefix(seeds_prefix(mesh))
    if isinstance(found, result.Err):
        return found
    read = [read_seed(kv) for kv in found.ok_value]
    seeds = [one.ok_value for one in read if isinstance(one, result.Ok)]
    randomness.shuffle(seeds)
    seeds.sort(key=lambda seed: seed.availability_zone != zone)
    return result.Ok(seeds)


class SeedKeeper:
    """Keeps this daemon's bootstrap record while it is due one."""

    def __init__(
        self,
        platform: store.Store,
        mesh: str,
        period_s: float,
        counts: counters.Counters,
    ) -> None:
        self.platform = platform
        self.mesh = mesh
        self.ttl_s = max(2, round(period_s * LEASE_PERIODS))
        self.counts = counts
        self.lease = 0

    async def tick(
        self, record: members.MemberRecord, zone_hosts: list[str]
    ) -> bool:
        """Renew, write or withdraw the record; say whether it is due."""
        zone = record.availability_zone
        due = tree.seed_hosts(zone, {*zone_hosts, record.host}, SEEDS_PER_ZONE)
        if record.host not in due:
            await self.withdraw()
            return False
        if not self.lease or not await self._renewed():
            await self._write(record)
        return True

    async def _renewed(self) -> bool:
        """Renew the lease; a process that was paused may find it lapsed."""
        renewed = await self.platform.keep_alive(self.lease)
        if isinstance(renewed, result.Err):
            return True
        if not renewed.ok_value:
            self.counts.add('seeds.lease-lapsed')
            logs.state_changed('seed-lease', to='lapsed')
            self.lease = 0
        return renewed.ok_value

    async def _write(self, record: members.MemberRecord) -> None:
        granted = await self.platform.grant(self.ttl_s)
        if isinstance(granted, result.Err):
            return
        key = (
            f'{seeds_prefix(self.mesh)}{record.availability_zone}/'
            f'{record.host}'
        )
        value = json.dumps(
            {
                'host': record.host,
                'availability_zone': record.availability_zone,
                'control_address': record.control_address,
            }
        ).encode()
        current = await self.platform.read(key)
        if isinstance(current, result.Err):
            return
        standing = current.ok_value.revision if current.ok_value else 0
        swapped = await self.platform.swap(
            key, standing, [store.Put(key, value, granted.ok_value)]
        )
        if isinstance(swapped, result.Ok) and isinstance(
            swapped.ok_value, store.Swapped
        ):
            self.lease = granted.ok_value

    async def withdraw(self) -> None:
        """End the lease, so that the record goes at once."""
        if self.lease:
            lease, self.lease = self.lease, 0
            await self.platform.revoke(lease)
