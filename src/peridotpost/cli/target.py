"""``peridot-target``: stand-in for a target of an operator's service."""

import click

from peridotpost.cli import common
from peridotpost.standins import target


@click.command(
    epilog='Example: peridot-target --service bond-status --name t1 '
    '--daemon-admin http://127.0.0.1:8082'
)
@click.option('--service', required=True)
@click.option('--name', required=True)
@click.option('--port', default=0, help='0 selects a free port.')
@click.option(
    '--daemon-admin', default='', help="Base URL of the daemon's admin port."
)
@click.option('--slots', default=12, show_default=True)
@click.option('--connections', default=120, show_default=True)
@click.option('--cold-s', default=0.0, help='Duration of the cold start.')
@click.option('--work-ms', default=0.0, help='Run time of a request.')
@click.option('--health-lies', is_flag=True)
def main(
    service: str,
    name: str,
    port: int,
    daemon_admin: str,
    slots: int,
    connections: int,
    cold_s: float,
    work_ms: float,
    health_lies: bool,
) -> None:
    """Serve requests as a target would, with fault injection."""
    settings = target.TargetSettings(
        service=service,
        name=name,
        port=port,
        daemon_admin=daemon_admin,
        slots=slots,
        connections=connections,
        cold_s=cold_s,
        work_s=work_ms / 1000,
        health_lies=health_lies,
    )
    common.run(lambda: _serve(settings))


async def _serve(settings: target.TargetSettings) -> int:
    async with (
        common.stop_signal() as stop,
        target.serving(target.Target(settings)) as bound,
    ):
        click.echo(f'listening on {bound}')
        await stop.wait()
    return common.EXIT_OK


if __name__ == '__main__':
    main()
