"""``peridot-platform``: stand-in for the platform's key-value service."""

import click

from peridotpost.cli import common
from peridotpost.standins import platform


@click.command(epilog='Example: peridot-platform --port 2379')
@click.option(
    '--port', default=2379, show_default=True, help='0 selects a free port.'
)
@click.option('--writes-per-s', default=0, help='Quota; 0 for no limit.')
@click.option('--reads-per-s', default=0, help='Quota; 0 for no limit.')
def main(port: int, writes_per_s: int, reads_per_s: int) -> None:
    """Serve a key-value store with fault injection, for tests."""
    common.run(lambda: _serve(port, writes_per_s, reads_per_s))


async def _serve(port: int, writes_per_s: int, reads_per_s: int) -> int:
    state = platform.Platform(writes_per_s, reads_per_s)
    async with (
        common.stop_signal() as stop,
        platform.serving(state, '127.0.0.1', port) as bound,
    ):
        click.echo(f'listening on {bound}')
        await stop.wait()
    return common.EXIT_OK


if __name__ == '__main__':
    main()
