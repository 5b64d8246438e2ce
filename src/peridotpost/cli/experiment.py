"""``peridot-experiment``: play load against the decisions, in a model."""

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
    help='Of load and luck; may be repeated.',
)
json_option = click.option('--json', 'as_json', is_flag=True)
plot_option = click.option(
    '--plot',
    'picture',
    type=click.Path(path_type=pathlib.Path),
    help='Write a picture, .png or .svg.',
)


@click.group(
    epilog='Example: peridot-experiment compare '
    'examples/experiments/double-load.json as-built far-sooner --seed 3'
)
def main() -> None:
    """Run the modules of decisions in a model of a fleet."""


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
    """Play a scenario with one policy."""
    _show(file, (policy,), seeds, as_json, picture)


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
    """Play a scenario with several policies, each on the same seeds."""
    _show(file, names, seeds, as_json, picture)


@main.command(
    epilog='Example: peridot-experiment bound '
    'examples/experiments/called-service.json --seed 1 --seed 2'
)
@scenario_argument
@seeds_option
@json_option
def bound(file: pathlib.Path, seeds: tuple[int, ...], as_json: bool) -> None:
    """Tell the most that any policy could earn, and what is earned."""
    try:
        scenario = scenarios.load(file)
    except errors.PeridotError as error:
        raise click.ClickException(str(error)) from error
    found = bounds.intervals(scenario)
    played = [
        _play(scenario, policies.AS_BUILT, seed).credit_share for seed in seeds
    ]
    earned = sum(played) / len(played)
    if as_json:
        shown = [dataclasses.asdict(one) for one in found]
        click.echo(json.dumps({'intervals': shown, 'earned': earned}))
    else:
        click.echo(_bound_table(found, earned))


def _bound_table(found: list[bounds.Interval], earned: float) -> str:
    lines = [f'{"from s":>7} {"to s":>6} {"bound":>6}  served; what binds']
    for one in found:
        served = ', '.join(
            f'{route} {share:.2f}' for route, share in one.served.items()
        )
        binds = ', '.join(
            f'{service} ({worth:.1f} a slot)'
            for service, worth in one.worth_of_slot.items()
        )
        lines.append(
            f'{one.start_s:>7.1f} {one.end_s:>6.1f} {one.share:>6.3f}  '
            f'{served}; {binds or "nothing"}'
        )
    lines.append(
        f'bound {bounds.credit_share(found):.3f}, earned as built {earned:.3f}'
    )
    return '\n'.join(lines)


def _show(
    file: pathlib.Path,
    names: tuple[str, ...],
    seeds: tuple[int, ...],
    as_json: bool,
    picture: pathlib.Path | None,
) -> None:
    try:
        scenario = scenarios.load(file)
        found = [
            _play(scenario, name, seed) for name in names for seed in seeds
        ]
    except errors.PeridotError as error:
        raise click.ClickException(str(error)) from error
    if picture is not None:
        plot.draw(found, picture)
    if as_json:
        click.echo(json.dumps([one.to_json() for one in found]))
    else:
        click.echo(_table(found))


def _play(
    scenario: scenarios.Scenario, name: str, seed: int
) -> results.Result:
    constants = scenario.policies.get(name)
    if constants is None and name != policies.AS_BUILT:
        known = ', '.join([policies.AS_BUILT, *scenario.policies])
        raise scenarios.BadScenario(
            f'no policy {name!r}; the scenario has {known}',
            step='experiment.policy',
        )
    with policies.replaced(constants or {}):
        return simulation.play(scenario, seed, name)


def _table(found: list[results.Result]) -> str:
    head = (
        f'{"policy":<18} {"seed":>4} {"route":<16} {"asked":>6} {"credit":>7} '
        f'{"late":>6} {"refused":>7} {"failed":>6} {"p99 ms":>7} {"far KB":>8}'
    )
    lines = [head]
    for one in found:
        for name, route in one.routes.items():
            lines.append(
                f'{one.policy:<18} {one.seed:>4} {name:<16} '
                f'{route.asked:>6} {route.credit_share:>7.3f} '
                f'{route.late:>6} {route.refused:>7} {route.failed:>6} '
                f'{route.latency.quantile(0.99) * 1000:>7.0f} '
                f'{route.far_kilobytes:>8.0f}'
            )
        worst = min(one.credit_by_zone.values(), default=0.0)
        lines.append(
            f'{one.policy:<18} {one.seed:>4} {"all":<16} {"":>6} '
            f'{one.credit_share:>7.3f}   worst zone {worst:.3f}, '
            f'{one.hosts} hosts, {one.events} events, '
            f'{one.far_kilobytes:.0f} KB to other zones'
        )
    return '\n'.join(lines)


if __name__ == '__main__':
    main()
