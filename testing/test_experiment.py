"""The fleet simulation, and how the decisions perform in it."""

import json
import pathlib

from click import testing as click_testing
import msgspec
import pytest

from peridotpost.cli import experiment
from peridotpost.decisions import selection
from peridotpost.experiment import bound
from peridotpost.experiment import policies
from peridotpost.experiment import results
from peridotpost.experiment import scenario as scenarios
from peridotpost.experiment import simulation

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples' / 'experiments'
DOUBLE_LOAD = EXAMPLES / 'double-load.json'


@pytest.fixture(scope='module')
def double_load() -> scenarios.Scenario:
    return scenarios.load(DOUBLE_LOAD)


BASIC_ROUTE: dict[str, object] = {
    'name': 'r',
    'service': 's',
    'per_s': 20,
    'work_ms': 20,
    'objective_ms': 200,
    'deadline_ms': 500,
}


def light_load(**changes: object) -> scenarios.Scenario:
    """Return a small, lightly loaded fleet, with fields replaced."""
    base_scenario = {
        'zones': 2,
        'seconds': 5,
        'services': [{'name': 's', 'per_zone': 2, 'slots': 4}],
        'routes': [BASIC_ROUTE],
    }
    return msgspec.convert(base_scenario | changes, scenarios.Scenario)


def play(
    scenario: scenarios.Scenario, seed: int = 1, **constants: float
) -> results.Result:
    by_path = {name.replace('__', '.'): constants[name] for name in constants}
    with policies.override_constants(by_path):
        return simulation.simulate(scenario, seed, 'test')


def test_lightly_loaded_fleet_serves_all_in_own_zone() -> None:
    result = play(light_load()).routes['r']
    assert result.asked == result.in_time > 50
    assert result.credit == result.owed
    assert result.crossings == 0


def test_same_seed_gives_same_result(
    double_load: scenarios.Scenario,
) -> None:
    short = msgspec.structs.replace(double_load, seconds=3.0, phases=())
    assert play(short, 4).to_json() == play(short, 4).to_json()
    assert play(short, 4).to_json() != play(short, 5).to_json()


def test_refused_caller_retries_and_is_counted_once() -> None:
    """One slot, runs about as long as the objective: most refused at first."""
    scenario = light_load(
        zones=1,
        services=[{'name': 's', 'per_zone': 1, 'slots': 1}],
        routes=[
            {
                'name': 'r',
                'service': 's',
                'per_s': 10,
                'work_ms': 150,
                'objective_ms': 160,
                'deadline_ms': 300,
                'retries': 2,
            }
        ],
    )
    result = play(scenario).routes['r']
    assert result.refused and result.late
    assert result.asked == result.in_time + result.late + result.refused + (
        result.failed
    )


def test_failed_inner_call_fails_its_run() -> None:
    scenario = light_load(
        routes=[
            BASIC_ROUTE | {'max_attempts': 1, 'calls': [{'route': 'inner'}]},
            {
                'name': 'inner',
                'service': 's',
                'work_ms': 400,
                'objective_ms': 30,
                'deadline_ms': 40,
            },
        ]
    )
    result = play(scenario)
    assert result.routes['inner'].failed
    assert result.routes['r'].failed > result.routes['r'].in_time


@pytest.mark.parametrize(
    ('zones', 'per_zone'),
    [
        pytest.param(4, 3, id='12 hosts'),
        pytest.param(5, 12, id='60 hosts'),
        pytest.param(6, 50, id='300 hosts'),
    ],
)
def test_fleets_of_all_sizes_are_simulated(zones: int, per_zone: int) -> None:
    scenario = light_load(
        zones=zones,
        seconds=2,
        services=[{'name': 's', 'per_zone': per_zone, 'slots': 4}],
    )
    result = play(scenario)
    assert result.hosts == zones * per_zone
    assert result.credit_share == 1.0


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        pytest.param({'routes': [{'name': 'r'}]}, 'service', id='missing'),
        pytest.param({'zone': 2}, 'unknown field', id='misspelt'),
        pytest.param({'zones': 0}, '$.zones', id='out of range'),
        pytest.param(
            {'phases': [{'start_s': 0, 'end_s': 1, 'ailing': 'x'}]},
            'no service',
            id='degraded service unknown',
        ),
        pytest.param(
            {'phases': [{'start_s': 0, 'end_s': 1, 'route': 'x'}]},
            'no route',
            id='route of a phase unknown',
        ),
        pytest.param(
            {'phases': [{'start_s': 0, 'end_s': 1, 'hot': [3]}]},
            'no such customer',
            id='hot customer unknown',
        ),
    ],
)
def test_invalid_scenario_error_names_file_and_field(
    change: dict[str, object], message: str, tmp_path: pathlib.Path
) -> None:
    path = tmp_path / 'wrong.json'
    path.write_text(json.dumps(json.loads(DOUBLE_LOAD.read_text()) | change))
    with pytest.raises(scenarios.InvalidScenario) as caught:
        scenarios.load(path)
    assert message in str(caught.value)
    assert 'wrong.json' in str(caught.value)


@pytest.mark.parametrize(
    'name',
    [
        pytest.param('selection.NO_SUCH', id='no constant'),
        pytest.param('nowhere.FULL', id='no module'),
        pytest.param('selection.Selector', id='no number'),
    ],
)
def test_policy_overrides_numeric_decision_constants_only(name: str) -> None:
    with (
        pytest.raises(policies.UnknownConstant),
        policies.override_constants({name: 1}),
    ):
        pass


def test_policy_constants_are_restored_after_the_run() -> None:
    before = selection.WORTH_CROSSING
    with policies.override_constants({'selection.WORTH_CROSSING': 0.9}):
        assert selection.WORTH_CROSSING == 0.9
    assert selection.WORTH_CROSSING == before


def test_compare_prints_each_policy_and_writes_plot(
    tmp_path: pathlib.Path,
) -> None:
    raw = json.loads(DOUBLE_LOAD.read_text()) | {'seconds': 1, 'phases': []}
    path = tmp_path / 's.json'
    path.write_text(json.dumps(raw))
    plot_file = tmp_path / 'p.svg'
    result = click_testing.CliRunner().invoke(
        experiment.main,
        ['compare', str(path), 'as-built', 'own-zone-only', '--json']
        + ['--plot', str(plot_file)],
    )
    assert result.exit_code == 0, result.output
    printed = json.loads(result.output)
    assert [row['policy'] for row in printed] == [
        'as-built',
        'own-zone-only',
    ]
    assert plot_file.stat().st_size
    unknown = click_testing.CliRunner().invoke(
        experiment.main, ['run', str(path), '--policy', 'none']
    )
    assert unknown.exit_code == 1
    assert 'as-built, own-zone-only' in unknown.output


@pytest.mark.parametrize('seed', [1, 2])
def test_surge_crosses_zones_only_if_callers_benefit(
    double_load: scenarios.Scenario, seed: int
) -> None:
    """Load nearly doubles, and two of five targets of a service degrade.

    If requests cross zones for any gain, many choose the same remote
    targets: cross-zone traffic rises and callers are served no better.  If
    none crosses, the worst zone earns less.
    """
    as_built = play(double_load, seed)
    crossing_freely = play(
        double_load,
        seed,
        selection__OWN_ZONE_SHARE=0.0,
        selection__WORTH_CROSSING=1.0,
    )
    # Retries after a refusal do not depend on these constants.
    assert (
        as_built.remote_first_kilobytes
        < 0.25 * crossing_freely.remote_first_kilobytes
    )
    assert as_built.remote_kilobytes < 0.5 * crossing_freely.remote_kilobytes
    assert as_built.credit_share > crossing_freely.credit_share - 0.01
    own_zone_only = play(double_load, seed, selection__WORTH_CROSSING=0.0)
    worst = min(as_built.credit_by_zone.values())
    assert worst > min(own_zone_only.credit_by_zone.values()) + 0.01


@pytest.mark.parametrize('seed', [1, 2])
def test_retries_cross_zones_only_if_callers_benefit(
    double_load: scenarios.Scenario, seed: int
) -> None:
    """In a surge, first choices refuse and requests are retried elsewhere.

    If almost full targets of remote zones are candidates, they refuse as
    well: cross-zone traffic rises and callers are served no better.
    """
    as_built = play(double_load, seed)
    crossing_freely = play(double_load, seed, selection__FULL_LOAD=1.2)
    assert as_built.remote_kilobytes < 0.9 * crossing_freely.remote_kilobytes
    assert as_built.credit_share > crossing_freely.credit_share - 0.01


def test_late_requests_do_not_delay_urgent_ones(
    double_load: scenarios.Scenario,
) -> None:
    """The most urgent route keeps its credit; the least urgent one loses."""
    routes = play(double_load).routes
    most_urgent, least_urgent = routes['coin-settle'], routes['kiosk-status']
    assert most_urgent.credit_share > 0.97
    assert least_urgent.credit_share < most_urgent.credit_share


def test_refusals_of_one_target_do_not_fail_inner_calls() -> None:
    """One of four targets refuses half of its requests for a while.

    Inner calls have one attempt.  When a refusal counted as that attempt,
    every eighth call failed, and with it the request that made it.
    """
    inner = {
        'name': 'inner',
        'service': 'inner',
        'work_ms': 10,
        'objective_ms': 100,
        'deadline_ms': 300,
        'max_attempts': 1,
    }
    outer = {
        'name': 'outer',
        'service': 'outer',
        'per_s': 60,
        'work_ms': 20,
        'objective_ms': 200,
        'deadline_ms': 500,
        'max_attempts': 1,
        'calls': [{'route': 'inner', 'times': 2}],
    }
    scenario = light_load(
        services=[
            {'name': 'outer', 'per_zone': 2, 'slots': 6},
            {'name': 'inner', 'per_zone': 2, 'slots': 6},
        ],
        routes=[outer, inner],
        phases=[
            {
                'start_s': 1,
                'end_s': 5,
                'ailing': 'inner',
                'ailing_share': 0.25,
                'sheds': 0.5,
            }
        ],
    )
    result = play(scenario)
    assert result.routes['inner'].repeats > 0
    assert result.routes['outer'].credit_share > 0.97


def test_fleet_of_design_size_is_simulated() -> None:
    """5,214 hosts: 158 services with three targets in each of 11 zones."""
    names = [f's{number}' for number in range(158)]
    scenario = light_load(
        zones=11,
        seconds=1,
        services=[{'name': name, 'per_zone': 3, 'slots': 6} for name in names],
        routes=[
            {
                'name': f'to-{name}',
                'service': name,
                'per_s': 8,
                'work_ms': 40,
                'objective_ms': 200,
                'deadline_ms': 800,
            }
            for name in names
        ],
    )
    result = play(scenario)
    assert result.hosts == 5214
    assert result.credit_share > 0.99
    crossings = sum(route.crossings for route in result.routes.values())
    assert crossings == 0


def overloaded(**changes: object) -> scenarios.Scenario:
    """Return the small fleet at twice the load that its slots can run."""
    overload_route = BASIC_ROUTE | {'per_s': 800, 'work_ms': 40}
    return light_load(routes=[overload_route | changes])


@pytest.mark.parametrize(
    ('changes', 'share', 'limiting_services'),
    [
        pytest.param({'per_s': 200}, 1.0, [], id='enough slots'),
        pytest.param({}, 0.5, ['s'], id='twice the slots'),
        pytest.param({'work_ms': 80}, 0.25, ['s'], id='four times the slots'),
    ],
)
def test_bound_is_slot_capacity(
    changes: dict[str, object], share: float, limiting_services: list[str]
) -> None:
    (interval,) = bound.intervals(overloaded(**changes))
    assert interval.share == pytest.approx(share)
    assert list(interval.worth_of_slot) == limiting_services


def test_bound_includes_slots_of_called_services() -> None:
    """A request is limited by slots of its service and of those it calls.

    A booking holds a slot of its own service during its run and its calls,
    and the calls use slots of another service.  Requests fail although
    their own service has free slots; the bound is the tighter of the two.
    """
    intervals = bound.intervals(
        scenarios.load(EXAMPLES / 'called-service.json')
    )
    shares = [round(interval.share, 2) for interval in intervals]
    assert shares[:2] == [1.0, 1.0]
    assert list(intervals[2].worth_of_slot) == ['schedule']
    assert intervals[2].served['book'] == pytest.approx(1.0)
    assert intervals[2].served['sheet'] < 0.5


@pytest.mark.parametrize('name', ['double-load.json', 'called-service.json'])
def test_no_policy_exceeds_bound(name: str) -> None:
    scenario = scenarios.load(EXAMPLES / name)
    upper_bound = bound.credit_share(bound.intervals(scenario))
    for policy in ({}, *scenario.policies.values()):
        with policies.override_constants(policy):
            assert (
                simulation.simulate(scenario, 1, 'test').credit_share
                <= upper_bound
            )


def test_default_constants_come_close_to_bound() -> None:
    scenario = scenarios.load(EXAMPLES / 'called-service.json')
    upper_bound = bound.credit_share(bound.intervals(scenario))
    assert play(scenario).credit_share > 0.95 * upper_bound


def test_bound_command_prints_text_and_json() -> None:
    runner = click_testing.CliRunner()
    file = str(EXAMPLES / 'called-service.json')
    text_result = runner.invoke(experiment.main, ['bound', file])
    assert text_result.exit_code == 0
    assert 'schedule' in text_result.output
    json_result = runner.invoke(experiment.main, ['bound', file, '--json'])
    document = json.loads(json_result.output)
    assert 0.5 < document['earned'] < 1.0
    assert len(document['intervals']) == 4


SCARCE_CALLEE = EXAMPLES / 'scarce-callee.json'


@pytest.mark.parametrize('seed', [1, 2])
def test_slow_targets_are_used_before_fast_ones_queue(
    seed: int,
) -> None:
    """Inner calls that queue for fast targets keep their callers' slots busy.

    Speeds of the targets of one service differ by a factor of more than
    two, and runs hold their slots while they wait for calls.
    """
    scarce = scenarios.load(SCARCE_CALLEE)
    as_built = play(scarce, seed)
    own_wait_only = play(scarce, seed, targetstate__WAIT_WEIGHT=1.0)
    late = sum(route.late for route in as_built.routes.values())
    assert late < 0.95 * sum(
        route.late for route in own_wait_only.routes.values()
    )
    assert as_built.credit_share > own_wait_only.credit_share


@pytest.mark.parametrize('seed', [1, 2])
def test_slow_spells_and_long_runs_cost_fewer_late_answers(seed: int) -> None:
    """Guards against requests that stay with a slow or stuck run.

    74 targets with slow spells, long runs and waves of demand.  Hedges help
    idempotent requests, refusals of targets in a spell help the others too.
    """
    uneven = scenarios.load(EXAMPLES / 'uneven-targets.json')
    # One whole wave of demand.
    before = msgspec.structs.replace(uneven, hedging=False, seconds=13.0)
    hedged = msgspec.structs.replace(before, hedging=True)
    as_before = play(before, seed, targetspeed__ENABLED=0)
    both = play(hedged, seed)
    assert both.credit_share > as_before.credit_share + 0.005
    reads = both.routes['history-reads']
    lost = reads.late + reads.failed
    reads_before = as_before.routes['history-reads']
    assert lost < 0.75 * (reads_before.late + reads_before.failed)
    assert both.routes['orders'].hedges == 0
    # Guards admit at most a seventh of the requests as retries, plus the
    # service's constant part.
    assert reads.repeats < 0.14 * reads.asked + 188


def test_hot_customer_does_not_affect_others_in_the_fleet() -> None:
    """Guards against shares that a fleet's targets can't tell from samples.

    One of 83 customers sends 9.3 times its usual rate, so that all ask for
    twice the slots of 12 targets.
    """
    scenario = light_load(
        services=[{'name': 's', 'targets': 12, 'slots': 6}],
        routes=[BASIC_ROUTE | {'per_s': 700, 'work_ms': 60}],
        customers=[40.0, 10.0, *([1.0] * 81)],
        phases=[{'start_s': 1, 'end_s': 5, 'hot': [0], 'hot_factor': 9.3}],
    )
    fair = play(scenario)
    unfair = play(scenario, fairshare__FAIR_SHARES=0)
    assert fair.worst_customers_share > unfair.worst_customers_share + 0.1
    assert fair.credit_share > unfair.credit_share - 0.01
    assert fair.credit_by_customer['0'] < fair.worst_customers_share


def test_calls_of_runs_go_before_new_requests() -> None:
    """Guards against runs that are lost because their call was refused.

    The called service is full of its own requests, which are more urgent.
    """
    inner = BASIC_ROUTE | {'name': 'inner', 'service': 'called', 'rank': 1}
    scenario = light_load(
        services=[
            {'name': 's', 'per_zone': 2, 'slots': 4},
            {'name': 'called', 'per_zone': 2, 'slots': 4},
        ],
        routes=[
            BASIC_ROUTE | {'per_s': 80, 'calls': [{'route': 'inner'}]},
            BASIC_ROUTE | {'name': 'u', 'service': 'called', 'per_s': 900},
            inner | {'per_s': 0, 'retries': 0},
        ],
        customers=[1.0] * 20,
    )
    calls_first = play(scenario)
    by_rank = play(scenario, customers__CALLS_FIRST=0)
    assert calls_first.routes['r'].call_failed < 5
    assert by_rank.routes['r'].call_failed > 50
    assert calls_first.credit_share > by_rank.credit_share
