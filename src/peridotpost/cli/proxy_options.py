"""Command line of ``peridot-proxy``."""

import click

from peridotpost.cli import proxy
from peridotpost.cli import proxy_command


@click.command(epilog='Example: peridot-proxy --settings proxy.json')
@click.option(
    '--settings',
    'path',
    required=True,
    envvar=proxy.SETTINGS_VARIABLE,
    type=click.Path(),
    help='JSON file with this host, its addresses and its target.',
)
@click.option('--check', is_flag=True, help='Check the settings and exit.')
def main(path: str, check: bool) -> None:
    """Serve this host: ingress for callers and guard of its target."""
    proxy_command.run(path, check)
