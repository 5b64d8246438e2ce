"""Discovery of other daemons through bootstrap records in the store."""

import asyncio
import random

import result

from peridotpost.border import settings as settings_border
from peridotpost.decisions import pacing
from peridotpost.decisions import seeds as seed_rules
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import registry
from peridotpost.membership import myself
from peridotpost.membership import seeds

MAX_ATTEMPTS = 5
BASE_DELAY_S = 0.2


class MemberDiscovery:
    """Maintains this daemon's bootstrap record and reads the others."""

    def __init__(self, kernel: registry.ServiceRegistry) -> None:
        settings = kernel.find('settings', settings_border.DaemonSettings)
        self.zone = settings.availability_zone
        self.rng = kernel.find('randomness', random.Random)
        self.replica = kernel.find('replica', replicas.Replica)
        self.local_member = kernel.find('myself', myself.LocalMember)
        self.keeper = kernel.find('seeds', seeds.SeedKeeper)
        self.reconciler = kernel.find('reconciler', reconcile.Reconciler)
        self.renewals = 0

    async def discover_members(self) -> None:
        """Look for other members until one is known, with limited attempts.

        When a whole fleet starts at once, the first read finds no bootstrap
        record, because no daemon has written one yet.
        """
        backoff = pacing.Backoff(self.rng, base_delay_s=BASE_DELAY_S)
        for _ in range(MAX_ATTEMPTS):
            await self.maintain_seed()
            if len(self.replica.fleet.records) > 1:
                return
            await asyncio.sleep(backoff.next_delay())

    async def maintain_seed(self) -> None:
        """Renew this daemon's record if due; occasionally read the others."""
        hosts = self.replica.fleet.live_hosts(self.zone)
        due = await self.keeper.tick(self.local_member.record, hosts)
        is_alone = len(hosts) <= 1
        if is_alone or (due and seed_rules.should_read_all(self.renewals)):
            await self._query_unknown_members()
        self.renewals += due

    async def _query_unknown_members(self) -> None:
        """Query one seed that is not known to be live in each zone.

        Two groups would otherwise never find each other if they started
        separately, or were partitioned for longer than dead members are
        probed.
        """
        stored_seeds = await self.keeper.find(self.zone, self.rng)
        if isinstance(stored_seeds, result.Err):
            return
        queried: set[str] = set()
        for seed in stored_seeds.ok_value:
            known = self.replica.fleet.records.get(seed.host)
            if (known and known.live) or seed.availability_zone in queried:
                continue
            queried.add(seed.availability_zone)
            await self.reconciler.fetch_facts(seed.control_address)
