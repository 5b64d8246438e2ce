"""``python -m testing.soak``: play seeds, print what broke."""

import asyncio
import pathlib
import random
import shutil
import signal
import sys

import click

from testing.soak import run as runs


@click.command(epilog='Example: python -m testing.soak --seed 7')
@click.option('--seed', 'seeds', type=int, multiple=True, help='Play it.')
@click.option('--fresh', default=0, help='Play so many new seeds.')
@click.option(
    '--fleet-faults',
    is_flag=True,
    help='Faults of many hosts at once, beside those of single ones.',
)
@click.option('--seconds', default=20.0, help='How long faults come.')
@click.option(
    '--folder',
    default='run/soak',
    type=click.Path(path_type=pathlib.Path),
    help='For logs; those of seeds that broke nothing are removed.',
)
def main(
    seeds: tuple[int, ...],
    fresh: int,
    fleet_faults: bool,
    seconds: float,
    folder: pathlib.Path,
) -> None:
    """Run the programs under faults; exit with 1 if a promise broke."""
    # Whoever ends the soak ends its processes with it; a shell that starts
    # it in the background has set SIGINT to be ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    dice = random.SystemRandom()
    drawn = [*seeds, *(dice.randrange(10**9) for _ in range(fresh))]
    failed = 0
    for seed in drawn:
        place = folder / str(seed)
        shutil.rmtree(place, ignore_errors=True)
        verdict = asyncio.run(runs.run(seed, seconds, place, fleet_faults))
        click.echo(
            f'seed {seed}: {verdict.faults} faults, {verdict.asked} asked, '
            f'{verdict.answered} answered, {verdict.served} served, '
            f'{len(verdict.broken)} broken'
        )
        for one in verdict.broken[:20]:
            click.echo(f'  {one.promise}: {one.detail}')
        if verdict.broken:
            failed += 1
        else:
            shutil.rmtree(place)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
