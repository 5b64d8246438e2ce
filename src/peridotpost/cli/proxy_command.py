"""The command of ``peridot-proxy``: the process beside each target."""

import asyncio
import gc
import os
import pathlib
import signal
import sys

import click
import uvloop

from peridotpost.border import proxy as border
from peridotpost.kernel import lines
from peridotpost.mesh import daemon
from peridotpost.platform import assembly

SETTINGS_VARIABLE = 'PERIDOTPOST_CONFIG'
EXIT_BAD_SETTINGS = 2
GC_THRESHOLD = 50_000
"""Allocations between collections; a call makes some hundred objects, all
freed by their reference counts."""


@click.command(epilog='Example: peridot-proxy --settings proxy.json')
@click.option(
    '--settings',
    'path',
    required=True,
    envvar=SETTINGS_VARIABLE,
    type=click.Path(path_type=pathlib.Path),
    help='JSON file with this host, its addresses and its target.',
)
@click.option('--check', is_flag=True, help='Check the settings and end.')
def main(path: pathlib.Path, check: bool) -> None:
    """Serve this host: callers' ingress and guard of its target."""
    try:
        settings = border.load(path)
    except border.BadSettings as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f'{path}: ok')
        return
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(path, settings))
    # Nothing is left to clean up; interpreter teardown would only delay
    # the restart.
    sys.stdout.flush()
    os._exit(0)


async def _serve(path: pathlib.Path, settings: border.ProxySettings) -> None:
    log = lines.LineLog(settings.host)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings, log)
    log.state('start', pid=os.getpid(), zone=settings.availability_zone)
    with assembly.adapter_for(settings) as adapter:
        one = daemon.ProxyDaemon(settings, adapter, log)
        async with one.running():
            await stop.wait()
            await one.leave()
    log.state('stop')


def _reload(
    path: pathlib.Path, running: border.ProxySettings, log: lines.LineLog
) -> None:
    """Check settings that changed; addresses hold until the next start."""
    try:
        found = border.load(path)
    except border.BadSettings as error:
        log.state('settings', to='rejected', error=str(error))
        return
    log.state('settings', to='read', changed=found != running)
