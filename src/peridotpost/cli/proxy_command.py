"""Runs ``peridot-proxy``, the sidecar process of each target."""

import asyncio
import gc
import os
import signal
import sys

import uvloop

from peridotpost.border import proxy_settings
from peridotpost.kernel import jsonlog
from peridotpost.mesh import daemon
from peridotpost.platform import assembly

EXIT_INVALID_SETTINGS = 2
GC_THRESHOLD = 50_000
"""Net allocations between collections.  A call creates some hundred
objects, all of which are freed by reference counting."""


def run(path: str, check: bool = False) -> None:
    """Serve the host that the settings describe, or only check them."""
    try:
        settings = proxy_settings.load(path)
    except proxy_settings.InvalidSettings as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check:
        print(f'{path}: ok')
        return
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(path, settings))
    # Skip interpreter teardown: nothing is left to clean up, and it would
    # delay a restart.
    sys.stdout.flush()
    os._exit(0)


async def _serve(path: str, settings: proxy_settings.ProxySettings) -> None:
    log = jsonlog.JsonLog(settings.host)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings, log)
    log.state('start', pid=os.getpid(), zone=settings.availability_zone)
    with assembly.adapter_for(settings) as adapter:
        proxy_daemon = daemon.ProxyDaemon(settings, adapter, log)
        async with proxy_daemon.running():
            await stop.wait()
            await proxy_daemon.leave()
    log.state('stop')


def _reload(
    path: str,
    running: proxy_settings.ProxySettings,
    log: jsonlog.JsonLog,
) -> None:
    """Validate changed settings; they take effect at the next start."""
    try:
        new_settings = proxy_settings.load(path)
    except proxy_settings.InvalidSettings as error:
        log.state('settings', to='rejected', error=str(error))
        return
    log.state('settings', to='read', changed=new_settings != running)
