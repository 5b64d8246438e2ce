"""A graceful stop: nothing new is taken, nothing in flight is cut."""

import asyncio

from peridotpost.border import settings as settings_border
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import owner as owners
from peridotpost.kernel import logs
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import seeds

SPREAD_S = 0.5
"""Time in which the fleet hears that this daemon leaves, before it stops
taking the work of those who had not heard."""
POLL_S = 0.01


async def leave(kernel: registry.Kernel) -> None:
    """Tell the fleet, finish what is in flight, hand over the ledger."""
    given = kernel.find('settings', settings_border.DaemonSettings)
    logs.state_changed('stage', host=given.host, to='leaving')
    kernel.find('myself', own.Myself).leave()
    await asyncio.sleep(SPREAD_S)
    kernel.find('guard', guards.Guard).leaving = True
    owner = kernel.find('owner', owners.Owner)
    owner.closed = True
    clock = kernel.find('timers', timers.TimerService)
    until = clock.now() + given.timing.drain_s
    while _in_flight(kernel) and clock.now() < until:
        await asyncio.sleep(POLL_S)
    await owner.hand_over()
    await kernel.find('seeds', seeds.SeedKeeper).withdraw()


def _in_flight(kernel: registry.Kernel) -> int:
    count = kernel.find('guard', guards.Guard).in_flight
    count += len(kernel.find('owner', owners.Owner).running)
    for name in ('ingress', 'egress'):
        found = kernel.services.get(name)
        if isinstance(found, ingresses.Ingress):
            count += found.in_flight
    return count
