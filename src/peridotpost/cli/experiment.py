"""``peridot-experiment``: simulate a fleet with the production decisions."""

import dataclasses
import json
import pathlib

import click

from peridotpost.experiment import bound as bounds
from peridotpost.experiment import plot
from peridotpost.experiment import policies
from peridotpost.experiment import results
from peridotpost.experiment import scenario as scenarios
from peridotpost.experiment import simulation
from peridotpost.model import errors

scenario_argument = click.argument(
    'file', type=click.Path(path_type=pathlib.Path)
)
seeds_option = click.option(
    '--seed',
    'seeds',
    type=int,
    multiple=True,
    default=(1,),
    show_default=True,
    help='Seed of the random numbers; may be repeated.',
)
json_option = click.option('--json', 'as_json', is_flag=True)
plot_option = click.option(
    '--plot',
    'picture',
    type=click.Path(path_type=pathlib.Path),
    help='Write a plot to this file, .png or .svg.',
)


@click.group(
    epilog='Example: peridot-experiment compare '
    'examples/experiments/double-load.json as-built far-sooner --seed 3'
)
def main() -> None:
    """Run the decision modules in a simulated fleet."""


@main.command(
    epilog='Example: peridot-experiment run '
    'examples/experiments/double-load.json --policy far-sooner --json'
)
@scenario_argument
@click.option('--policy', default=policies.AS_BUILT, show_default=True)
@seeds_option
@json_option
@plot_option
def run(
    file: pathlib.Path,
    policy: str,
    seeds: tuple[int, ...],
    as_json: bool,
    picture: pathlib.Path | None,
) -> None:
    """Simulate a scenario with one policy."""
    _run_and_print(file, (policy,), seeds, as_json, picture)


@main.command(
    epilog='Example: peridot-experiment compare '
    'examples/experiments/double-load.json as-built own-zone-only'
)
@scenario_argument
@click.argument('names', nargs=-1, required=True)
@seeds_option
@json_option
@plot_option
def compare(
    file: pathlib.Path,
    names: tuple[str, ...],
    seeds: tuple[int, ...],
    as_json: bool,
    picture: pathlib.Path | None,
) -> None:
    """Simulate a scenario with several policies, on the same seeds."""
    _run_and_print(file, names, seeds, as_json, picture)


@main.command(
    epilog='Example: peridot-experiment bound '
    'examples/experiments/called-service.json --seed 1 --seed 2'
)
@scenario_argument
@seeds_option
@json_option
def bound(file: pathlib.Path, seeds: tuple[int, ...], as_json: bool) -> None:
    """Print the upper bound on any policy's credit, and the credit earned."""
    try:
        scenario = scenarios.load(file)
    except errors.PeridotError as error:
        raise click.ClickException(str(error)) from error
    intervals = bounds.intervals(scenario)
    credit_shares = [
        _run_policy(scenario, policies.AS_BUILT, seed).credit_share
        for seed in seeds
    ]
    earned = sum(credit_shares) / len(credit_shares)
    if as_json:
        interval_dicts = [
            dataclasses.asdict(interval) for interval in intervals
        ]
        click.echo(json.dumps({'intervals': interval_dicts, 'earned': earned}))
    else:
        click.echo(_format_bounds(intervals, earned))


def _format_bounds(intervals: list[bounds.Interval], earned: float) -> str:
    lines = [
        f'{"from s":>7} {"to s":>6} {"bound":>6}  served; limiting services'
    ]
    for interval in intervals:
        served = ', '.join(
            f'{route} {share:.2f}' for route, share in interval.served.items()
        )
        limiting = ', '.join(
            f'{service} ({worth:.1f} a slot)'
            for service, worth in interval.worth_of_slot.items()
        )
        lines.append(
            f'{interval.start_s:>7.1f} {interval.end_s:>6.1f} '
            f'{interval.share:>6.3f}  '
            f'{served}; {limiting or "nothing"}'
        )
    lines.append(
        f'bound {bounds.credit_share(intervals):.3f}, '
        f'earned as built {earned:.3f}'
    )
    return '\n'.join(lines)


def _run_and_print(
    file: pathlib.Path,
    names: tuple[str, ...],
    seeds: tuple[int, ...],
    as_json: bool,
    picture: pathlib.Path | None,
) -> None:
    try:
        scenario = scenarios.load(file)
        run_results = [
            _run_policy(scenario, name, seed)
            for name in names
            for seed in seeds
        ]
    except errors.PeridotError as error:
        raise click.ClickException(str(error)) from error
    if picture is not None:
        plot.draw(run_results, picture)
    if as_json:
        click.echo(json.dumps([result.to_json() for result in run_results]))
    else:
        click.echo(_format_results(run_results))


def _run_policy(
    scenario: scenarios.Scenario, name: str, seed: int
) -> results.Result:
    constants = scenario.policies.get(name)
    if constants is None and name != policies.AS_BUILT:
        known = ', '.join([policies.AS_BUILT, *scenario.policies])
        raise scenarios.InvalidScenario(
            f'no policy {name!r}; the scenario has {known}',
            step='experiment.policy',
        )
    with policies.override_constants(constants or {}):
        return simulation.simulate(scenario, seed, name)


def _format_results(run_results: list[results.Result]) -> str:
    header = (
        f'{"policy":<18} {"seed":>4} {"route":<16} {"asked":>6} {"credit":>7} '
        f'{"late":>6} {"refused":>7} {"failed":>6} {"p99 ms":>7} {"far KB":>8}'
    )
    lines = [header]
    for result in run_results:
        for name, route in result.routes.items():
            lines.append(
                f'{result.policy:<18} {result.seed:>4} {name:<16} '
                f'{route.asked:>6} {route.credit_share:>7.3f} '
                f'{route.late:>6} {route.refused:>7} {route.failed:>6} '
                f'{route.latency.quantile(0.99) * 1000:>7.0f} '
                f'{route.remote_kilobytes:>8.0f}'
            )
        worst_zone_share = min(result.credit_by_zone.values(), default=0.0)
        lines.append(
            f'{result.policy:<18} {result.seed:>4} {"all":<16} {"":>6} '
            f'{result.credit_share:>7.3f}   '
            f'worst zone {worst_zone_share:.3f}, '
            f'{result.hosts} hosts, {result.events} events, '
            f'{result.remote_kilobytes:.0f} KB to remote zones'
        )
        if result.hot_customers:
            lines[-1] += (
                ', worst tenth of customers '
                f'{result.worst_customers_share:.3f}'
            )
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
