"""The command that shows the use and the quotas of customers."""

import asyncio
import dataclasses
import pathlib

import click

from peridotpost.border import loglines
from peridotpost.cli import common
from peridotpost.cli import operator
from peridotpost.cli.subcommands import options
from peridotpost.cli.subcommands import output
from peridotpost.reports import customeruse


@click.command(
    epilog='Example: peridotctl customers --metrics 10.0.0.7:9100 '
    '--metrics 10.0.0.8:9100; peridotctl customers --logs logs/'
)
@click.option(
    '--metrics',
    'addresses',
    multiple=True,
    help='ADDRESS:PORT of a metrics page of peridot-proxy; may be repeated.',
)
@click.option(
    '--interval-s',
    default=2.0,
    type=click.FloatRange(min=0.01),
    show_default=True,
    help='Time over which rates are measured from metrics pages.',
)
@options.logs_option
@options.json_option
def customers(
    addresses: tuple[str, ...],
    interval_s: float,
    logs: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Show the use, quota and refusals of each customer over all hosts."""
    if bool(addresses) == (logs is not None):
        raise click.UsageError('give either --metrics or --logs')
    usage = customeruse.FleetUsage()

    async def from_pages() -> int:
        loop = asyncio.get_running_loop()
        started = loop.time()
        earlier = await operator.fetch_metrics(addresses)
        await asyncio.sleep(interval_s)
        replies = await operator.fetch_metrics(addresses)
        seconds = loop.time() - started
        read = 0
        for before, after in zip(earlier, replies, strict=True):
            error = before.error or after.error
            if not error:
                try:
                    usage.add_pages(before.text, after.text, seconds)
                    read += 1
                except ValueError as problem:
                    error = str(problem)
            if error:
                click.echo(f'{after.address}: {error}', err=True)
        return _print(usage, as_json, read > 0)

    async def from_logs() -> int:
        assert logs is not None
        usage.add_logs(loglines.read_directory(logs).lines)
        return _print(usage, as_json, bool(usage.by_customer))

    output.run(from_pages if logs is None else from_logs, as_json)


def _print(usage: customeruse.FleetUsage, as_json: bool, found: bool) -> int:
    rows = usage.rows()
    output.print_result(
        as_json,
        {'customers': [dataclasses.asdict(row) for row in rows]},
        '\n'.join(map(customeruse.format_use, rows)) or 'no customers',
    )
    return common.EXIT_OK if found else common.EXIT_FAILED
