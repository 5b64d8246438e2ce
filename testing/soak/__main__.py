"""``python -m testing.soak``: run seeds and print violated invariants."""

import asyncio
import pathlib
import random
import shutil
import signal
import sys

import click

from testing.soak import run as runs


@click.command(epilog='Example: python -m testing.soak --seed 7')
@click.option('--seed', 'seeds', type=int, multiple=True, help='Seed to run.')
@click.option('--fresh', default=0, help='Number of random seeds to run.')
@click.option(
    '--fleet-faults',
    is_flag=True,
    help='Also inject faults that affect many hosts at once.',
)
@click.option(
    '--statements',
    is_flag=True,
    help='Targets also state limits, and that they leave, in responses.',
)
@click.option(
    '--customers',
    'with_customers',
    is_flag=True,
    help='Requests are of customers whose keys and quotas change.',
)
@click.option(
    '--large-bodies',
    'with_large_bodies',
    is_flag=True,
    help='Some messages are as large as allowed; some callers read slowly.',
)
@click.option(
    '--bad-answers',
    'with_bad_answers',
    is_flag=True,
    help='Targets also answer with false or late rejections.',
)
@click.option('--seconds', default=20.0, help='Duration of fault injection.')
@click.option(
    '--folder',
    default='run/soak',
    type=click.Path(path_type=pathlib.Path),
    help='For logs; those of seeds without violations are removed.',
)
def main(
    seeds: tuple[int, ...],
    fresh: int,
    fleet_faults: bool,
    statements: bool,
    with_customers: bool,
    with_large_bodies: bool,
    with_bad_answers: bool,
    seconds: float,
    folder: pathlib.Path,
) -> None:
    """Run the programs under faults; exit with 1 if an invariant broke."""
    # Both signals have to unwind the soak so that it ends its child
    # processes.  SIGINT is set explicitly, as a shell ignores it for jobs
    # that it starts in the background.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    rng = random.SystemRandom()
    all_seeds = [*seeds, *(rng.randrange(10**9) for _ in range(fresh))]
    failed = 0
    for seed in all_seeds:
        place = folder / str(seed)
        shutil.rmtree(place, ignore_errors=True)
        result = asyncio.run(
            runs.run(
                seed,
                seconds,
                place,
                fleet_faults,
                statements,
                with_customers,
                with_large_bodies,
                with_bad_answers,
            )
        )
        click.echo(
            f'seed {seed}: {result.faults} faults, {result.asked} asked, '
            f'{result.answered} answered, {result.served} served, '
            f'{len(result.broken)} broken'
        )
        for violation in result.broken[:20]:
            click.echo(f'  {violation.promise}: {violation.detail}')
        if result.broken:
            failed += 1
        else:
            shutil.rmtree(place)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
