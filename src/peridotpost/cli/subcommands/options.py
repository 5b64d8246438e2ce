"""Options and arguments that several commands share."""

import getpass
import pathlib
import urllib.parse

import click


def check_endpoints(
    context: click.Context, option: click.Parameter, given: tuple[str, ...]
) -> tuple[str, ...]:
    """Refuse an address that could never be called."""
    for one in given:
        parts = urllib.parse.urlsplit(one)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise click.BadParameter(
                f'{one!r} is no address; write it as http://HOST:PORT'
            )
    return given


store_option = click.option(
    '--store',
    'endpoints',
    multiple=True,
    envvar='PERIDOT_STORE',
    default=('http://127.0.0.1:2379',),
    show_default=True,
    callback=check_endpoints,
    help="Address of the platform's key-value service; may be repeated.",
)
mesh_option = click.option(
    '--mesh', required=True, envvar='PERIDOT_MESH', help='Name of the mesh.'
)
json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print JSON for programs, errors as well.',
)
daemons_option = click.option(
    '--daemon',
    'daemons',
    multiple=True,
    required=True,
    help='ADDRESS:PORT of an admin page; may be repeated.',
)
some_daemons_option = click.option(
    '--daemon',
    'daemons',
    multiple=True,
    help='ADDRESS:PORT of an admin page; may be repeated.',
)
logs_option = click.option(
    '--logs',
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    help='Folder with the standard output of each peridot-proxy.',
)
text_argument = click.argument('file', type=click.Path(path_type=pathlib.Path))
timeout_option = click.option(
    '--timeout-s',
    default=2.0,
    type=click.FloatRange(min=0, min_open=True),
    show_default=True,
    help='For each store call.',
)
author_option = click.option(
    '--author', default=getpass.getuser, help='Who accepts.'
)
note_option = click.option('--note', default='', help='Why.')
write_id_option = click.option(
    '--write-id', default='', help='Of an undecided accept, to go on with.'
)
base_option = click.option(
    '--base',
    type=click.IntRange(min=0),
    help='Version this text was written on; without it, the one in force.',
)
wait_option = click.option(
    '--wait-revision',
    default=0,
    type=click.IntRange(min=0),
    help='Wait until it is in force on all that are asked about.',
)
within_option = click.option('--within-s', default=10.0, show_default=True)
