"""A fleet in which some targets of a service name a low rate limit."""

import json
import pathlib
from typing import Any

import msgspec
import pytest

from peridotpost.decisions import targetstate
from peridotpost.experiment import scenario as scenarios
from peridotpost.experiment import simulation

SCENARIO = (
    pathlib.Path(__file__).parents[1]
    / 'examples'
    / 'experiments'
    / 'limited-targets.json'
)
SCALE = 4
LIMITED_S = 6.0


def fleet(limit_per_s: float, slower: float = 1.0) -> simulation.Fleet:
    """Run ``SCALE`` times the example for some seconds."""
    document: dict[str, Any] = json.loads(SCENARIO.read_text())
    document['seconds'] = LIMITED_S + 3.0
    for service in document['services']:
        service['targets'] *= SCALE
    for route in document['routes']:
        route['per_s'] = SCALE * route.get('per_s', 0)
    document['phases'][0] |= {
        'start_s': 2.0,
        'end_s': 2.0 + LIMITED_S,
        'limit_per_s': limit_per_s,
        'slower': slower,
    }
    simulated = simulation.Fleet(
        msgspec.convert(document, scenarios.Scenario), 1
    )
    simulated.run()
    return simulated


def not_in_time(simulated: simulation.Fleet) -> int:
    results = simulated.route_results.values()
    return sum(one.late + one.refused + one.failed for one in results)


@pytest.mark.parametrize('limit_per_s', [4.5, 32.0])
def test_callers_are_served_by_the_other_targets(
    limit_per_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against ingresses that ask a limited target as often as others.

    Each ingress sends it a few requests a second, so it looks idle to all.
    """
    by_share = fleet(limit_per_s)
    allowed = 1.5 * limit_per_s * LIMITED_S + 5
    limited = [
        host.arrivals_while_limited
        for host in by_share.by_service['status']
        if host.arrivals_while_limited
    ]
    assert len(limited) == 0.4 * 5 * SCALE
    assert max(limited) <= allowed
    assert sum(limited) >= 0.4 * limit_per_s * LIMITED_S * len(limited)
    monkeypatch.setattr(
        targetstate.Candidate, 'capacity_share', property(lambda one: 1.0)
    )
    unaware = fleet(limit_per_s)
    assert not_in_time(by_share) < not_in_time(unaware)
    assert by_share.route_results['kiosk-status'].refused == 0


def test_share_of_a_target_with_a_limit() -> None:
    target = targetstate.Candidate('a', 'z', slots=15, run_s=0.1)
    assert target.capacity_share == 1.0
    target.limit_per_s = 30.0
    assert target.capacity_share == pytest.approx(3 / 15)
    target.limit_per_s = 1000.0
    assert target.capacity_share == 1.0
    target.limit_per_s = 0.0
    assert target.capacity_share > 0.0
    target.update_state('s', 'restarted', 15, True)
    assert target.capacity_share == 1.0
