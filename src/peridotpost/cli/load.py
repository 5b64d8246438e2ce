"""``peridot-load``: an open-loop load generator."""

import json
import pathlib
from typing import Any

import click

from peridotpost.cli import common
from peridotpost.load import arrivals
from peridotpost.load import report
from peridotpost.load import runner

RUN_EXAMPLES = """\b
Examples:
  peridot-load run --daemon 127.0.0.1:8080 --service bond-status --rate 100
  peridot-load run --daemon 127.0.0.1:8080 --service bond-issue \\
    --method POST --keyed --pattern poisson --seed 7 --json \\
    --target http://127.0.0.1:9001 > a.json
"""


@click.group(epilog='Example: peridot-load compare a.json b.json')
def main() -> None:
    """Send calls at a given rate and count their outcomes."""


@main.command(epilog=RUN_EXAMPLES)
@click.option(
    '--daemon',
    'daemons',
    multiple=True,
    required=True,
    help="ADDRESS:PORT of a daemon's caller port; several are used in turn.",
)
@click.option(
    '--service',
    'services',
    multiple=True,
    required=True,
    help='Value of the Host header; several are used in turn.',
)
@click.option('--method', default='GET', show_default=True)
@click.option('--path', default='/', show_default=True)
@click.option('--body-bytes', default=0, show_default=True)
@click.option(
    '--header', 'headers', multiple=True, help='NAME:VALUE, may be repeated.'
)
@click.option(
    '--keyed',
    is_flag=True,
    help='Send a unique Idempotency-Key with each call.',
)
@click.option(
    '--pattern',
    type=click.Choice([pattern.value for pattern in arrivals.Pattern]),
    default=arrivals.Pattern.CONSTANT.value,
    show_default=True,
)
@click.option(
    '--rate',
    type=click.FloatRange(0.1, 100_000),
    default=100.0,
    show_default=True,
    help='Calls per second.',
)
@click.option(
    '--seconds',
    type=click.FloatRange(0.1, 86_400),
    default=10.0,
    show_default=True,
)
@click.option('--timeout-s', default=15.0, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--target',
    'targets',
    multiple=True,
    help='Base URL of a stand-in target, whose run count for each key is '
    'compared with the outcomes of the calls.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print JSON.')
def run(as_json: bool, targets: tuple[str, ...], **options: Any) -> None:
    """Send calls; exit with 1 on duplicate or wrongly reported runs."""
    plan = _plan(**options)

    async def body() -> int:
        load_runner = runner.Runner(
            plan, lambda line: click.echo(line, err=True)
        )
        result = await load_runner.run()
        if targets:
            await load_runner.check_runs(targets)
        document = result.to_json()
        click.echo(
            json.dumps(document) if as_json else report.format_result(document)
        )
        has_wrong_runs = result.doubled_runs or result.false_not_run
        return common.EXIT_FAILED if has_wrong_runs else common.EXIT_OK

    common.run(body)


def _plan(
    daemons: tuple[str, ...],
    headers: tuple[str, ...],
    pattern: str,
    **options: Any,
) -> runner.Plan:
    for daemon in daemons:
        if not daemon.rpartition(':')[2].isdigit():
            raise click.BadParameter(
                f'{daemon!r} has no port; write ADDRESS:PORT',
                param_hint='--daemon',
            )
    pairs = []
    for header in headers:
        name, colon, value = header.partition(':')
        if not colon:
            raise click.BadParameter(
                f'{header!r} has no colon; write NAME:VALUE',
                param_hint='--header',
            )
        pairs.append((name.strip(), value.strip()))
    return runner.Plan(
        daemons=daemons,
        headers=tuple(pairs),
        pattern=arrivals.Pattern(pattern),
        **options,
    )


@main.command(epilog='Example: peridot-load compare before.json after.json')
@click.argument('first', type=click.Path(path_type=pathlib.Path))
@click.argument('second', type=click.Path(path_type=pathlib.Path))
def compare(first: pathlib.Path, second: pathlib.Path) -> None:
    """Print two JSON results side by side."""
    click.echo(report.compare(_read(first), _read(second)))


def _read(file: pathlib.Path) -> dict[str, Any]:
    try:
        document = json.loads(file.read_text())
    except (OSError, ValueError) as error:
        raise click.ClickException(
            f'{file}: {error}; give a file that --json wrote'
        ) from error
    if not isinstance(document, dict) or 'outcomes' not in document:
        raise click.ClickException(
            f'{file}: not a load result; give a file that --json wrote'
        )
    return document


if __name__ == '__main__':
    main()
