"""``peridotd``: the daemon on each target host."""

import asyncio
import contextlib
import pathlib

import click

from peridotpost.border import settings as settings_border
from peridotpost.cli import common
from peridotpost.daemon import assembly
from peridotpost.kernel import logs
from peridotpost.kernel import tasks


@click.command(
    epilog='Example: peridotd --settings /etc/peridotpost/settings.json'
)
@click.option(
    '--settings',
    'settings_path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='JSON file with this host, its availability zone and its ports.',
)
@click.option('--check', is_flag=True, help='Check the settings and exit.')
def main(settings_path: pathlib.Path, check: bool) -> None:
    """Serve this host: ingress for callers, guard of targets, mesh member."""
    common.run(lambda: _serve(settings_path, check))


async def _serve(settings_path: pathlib.Path, check: bool) -> int:
    settings = settings_border.load_settings(settings_path)
    if check:
        click.echo(f'{settings_path}: ok')
        return common.EXIT_OK
    if settings.log_level != 'off':
        logs.log_to()
    async with common.stop_signal() as stop:
        await _run(assembly.Daemon(settings), stop)
    return common.EXIT_OK


async def _run(daemon: assembly.Daemon, stop: asyncio.Event) -> None:
    """Serve until `stop` is set, which may happen during startup.

    A daemon that can reach neither the store nor a peer waits in startup;
    it must still stop on SIGTERM.
    """
    async with contextlib.AsyncExitStack() as stack:
        starting = asyncio.ensure_future(
            stack.enter_async_context(daemon.running())
        )
        stopping = asyncio.ensure_future(stop.wait())
        await asyncio.wait(
            {starting, stopping}, return_when=asyncio.FIRST_COMPLETED
        )
        if not starting.done():
            await tasks.cancel_and_wait(starting)
            return
        try:
            await starting
            await stopping
            await daemon.leave()
        finally:
            stopping.cancel()


if __name__ == '__main__':
    main()
