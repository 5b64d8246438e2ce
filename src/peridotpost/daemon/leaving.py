"""Graceful shutdown, which finishes the requests in flight."""

import asyncio

from peridotpost.border import settings as settings_border
from peridotpost.calls import guard as guards
from peridotpost.calls import ingress as ingresses
from peridotpost.calls import owner as owners
from peridotpost.kernel import logs
from peridotpost.kernel import registry
from peridotpost.kernel import timers
from peridotpost.membership import myself
from peridotpost.membership import seeds

LEAVE_PROPAGATION_S = 0.5
"""Time for the fleet to learn that this daemon is leaving.  Until then it
accepts requests from daemons that do not know yet."""
DRAIN_POLL_INTERVAL_S = 0.01


async def leave(kernel: registry.ServiceRegistry) -> None:
    """Announce the leave, drain the requests and hand over the ledger."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    logs.state_changed('stage', host=settings.host, to='leaving')
    kernel.find('myself', myself.LocalMember).leave()
    await asyncio.sleep(LEAVE_PROPAGATION_S)
    kernel.find('guard', guards.Guard).leaving = True
    owner = kernel.find('owner', owners.Owner)
    owner.closed = True
    clock = kernel.find('timers', timers.TimerService)
    deadline = clock.now() + settings.timing.drain_s
    while _in_flight(kernel) and clock.now() < deadline:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    await owner.hand_over()
    await kernel.find('seeds', seeds.SeedKeeper).withdraw()


def _in_flight(kernel: registry.ServiceRegistry) -> int:
    count = kernel.find('guard', guards.Guard).in_flight
    count += len(kernel.find('owner', owners.Owner).running)
    for name in ('ingress', 'egress'):
        ingress = kernel.services.get(name)
        if isinstance(ingress, ingresses.Ingress):
            count += ingress.in_flight
    return count
