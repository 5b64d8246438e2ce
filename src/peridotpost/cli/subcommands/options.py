"""Options and arguments shared by several commands."""

import getpass
import pathlib
import urllib.parse

import click


def check_endpoints(
    context: click.Context, option: click.Parameter, endpoints: tuple[str, ...]
) -> tuple[str, ...]:
    """Reject an endpoint that is not an HTTP URL with a host."""
    for endpoint in endpoints:
        parts = urllib.parse.urlsplit(endpoint)
        if parts.scheme not in ('http', 'https') or not parts.hostname:
            raise click.BadParameter(
                f'{endpoint!r} is not a URL; write it as http://HOST:PORT'
            )
    return endpoints


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
    help='Print results and errors as JSON.',
)
daemons_option = click.option(
    '--daemon',
    'daemons',
    multiple=True,
    required=True,
    help='ADDRESS:PORT of an admin page; may be repeated.',
)
optional_daemons_option = click.option(
    '--daemon',
    'daemons',
    multiple=True,
    help='ADDRESS:PORT of an admin page; may be repeated.',
)
logs_option = click.option(
    '--logs',
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    help='Directory with the standard output of each peridot-proxy.',
)
text_argument = click.argument('file', type=click.Path(path_type=pathlib.Path))
timeout_option = click.option(
    '--timeout-s',
    default=2.0,
    type=click.FloatRange(min=0, min_open=True),
    show_default=True,
    help='Timeout of each store call.',
)
author_option = click.option(
    '--author', default=getpass.getuser, help='Name of the author.'
)
note_option = click.option('--note', default='', help='Reason for the change.')
write_id_option = click.option(
    '--write-id',
    default='',
    help='Write ID of an undecided accept that is to be repeated.',
)
base_option = click.option(
    '--base',
    type=click.IntRange(min=0),
    help='Version that this text is based on; default: the one in force.',
)
wait_option = click.option(
    '--wait-revision',
    default=0,
    type=click.IntRange(min=0),
    help='Wait until this version is in force on all daemons or zones shown.',
)
within_option = click.option('--within-s', default=10.0, show_default=True)
