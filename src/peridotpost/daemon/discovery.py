"""How daemons find one another by the bootstrap records in the store."""

import asyncio
import random

import result

from peridotpost.border import settings as settings_border
from peridotpost.decisions import pacing
from peridotpost.decisions import seeds as seed_rules
from peridotpost.distribution import reconcile
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import registry
from peridotpost.membership import myself as own
from peridotpost.membership import seeds

ATTEMPTS = 5
BASE_S = 0.2


class Meeting:
    """Keeps the own bootstrap record and looks at those of others."""

    def __init__(self, kernel: registry.Kernel) -> None:
        given = kernel.find('settings', settings_border.DaemonSettings)
        self.zone = given.availability_zone
        self.randomness = kernel.find('randomness', random.Random)
        self.replica = kernel.find('replica', replicas.Replica)
        self.myself = kernel.find('myself', own.Myself)
        self.keeper = kernel.find('seeds', seeds.SeedKeeper)
        self.reconciler = kernel.find('reconciler', reconcile.Reconciler)
        self.renewals = 0

    async def meet_others(self) -> None:
        """Look for other members until one is known, a few times.

        A whole fleet that starts at once finds no bootstrap record on its
        first read, since nobody has written one yet.
        """
        backoff = pacing.Backoff(self.randomness, base_s=BASE_S)
        for _ in range(ATTEMPTS):
            await self.keep_seed()
            if len(self.replica.fleet.records) > 1:
                return
            await asyncio.sleep(backoff.next_delay())

    async def keep_seed(self) -> None:
        """Renew the own record where one is due; look at others' at times."""
        hosts = self.replica.fleet.live_hosts(self.zone)
        due = await self.keeper.tick(self.myself.record, hosts)
        alone = len(hosts) <= 1
        if alone or (due and seed_rules.looks_for_others(self.renewals)):
            await self._join_islands()
        self.renewals += due

    async def _join_islands(self) -> None:
        """Ask one seed of each zone that this daemon does not know.

        Two groups that started apart, or were cut off for longer than the
        dead are probed, would otherwise never hear of each other.
        """
        found = await self.keeper.find(self.zone, self.randomness)
        if isinstance(found, result.Err):
            return
        asked: set[str] = set()
        for seed in found.ok_value:
            known = self.replica.fleet.records.get(seed.host)
            if (known and known.live) or seed.availability_zone in asked:
                continue
            asked.add(seed.availability_zone)
            await self.reconciler.ask(seed.control_address)
