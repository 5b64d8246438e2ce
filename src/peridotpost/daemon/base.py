"""Services that all others depend on: counters, timers, store, replica."""

from collections.abc import AsyncIterator
import contextlib
import random

from peridotpost.border import settings as settings_border
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.kernel import registry
from peridotpost.kernel import statsd_export
from peridotpost.kernel import timeline
from peridotpost.kernel import timers
from peridotpost.model import config
from peridotpost.store import etcd

STATSD_INTERVAL_S = 1.0


@contextlib.asynccontextmanager
async def installed(kernel: registry.ServiceRegistry) -> AsyncIterator[None]:
    """Register counters, timers, timeline, store and replica."""
    settings = kernel.find('settings', settings_border.DaemonSettings)
    rng = kernel.find('randomness', random.Random)
    counts = counters.Counters()
    with contextlib.ExitStack() as stack:
        clock = stack.enter_context(timers.timer_service(rng))
        events = timeline.Timeline(settings.host, clock.wall)
        kernel.register('counters', counts)
        kernel.register('timers', clock)
        kernel.register('timeline', events)
        if settings.statsd is not None:
            export = stack.enter_context(
                _export_to_statsd(settings.statsd, settings.host, counts)
            )
            clock.subscribe('statsd', STATSD_INTERVAL_S, export.flush)
        store = stack.enter_context(
            etcd.etcd_store(
                settings.store.endpoints,
                settings.store.timeout_s,
                settings.timing.watch_timeout_s,
                counts,
            )
        )
        kernel.register('store', store)
        replica = replicas.Replica(
            settings.host,
            config.Interest(ingress=settings.ingress),
            clock,
            events,
            counts,
        )
        kernel.register('replica', replica)
        yield


def _export_to_statsd(
    settings: settings_border.StatsdSettings,
    host: str,
    counts: counters.Counters,
) -> contextlib.AbstractContextManager[statsd_export.StatsdExport]:
    return statsd_export.statsd_export(
        counts, settings.address, settings.port, f'peridotd.{host}'
    )
