"""Rollout of a version by the reports of relays, not of every daemon."""

from collections.abc import Callable
import json

import pytest

from peridotpost.decisions import rollout
from testing import processes


@pytest.mark.parametrize(
    ('reports', 'in_force'),
    [
        pytest.param([(7, 3, True), (7, 1, False)], True, id='one-covers-all'),
        pytest.param([(6, 3, True), (8, 1, False)], False, id='one-behind'),
        pytest.param([(7, 2, False), (7, 1, False)], False, id='one-moving'),
        pytest.param([(7, 3, False)], False, id='one-counted-twice'),
        pytest.param([], False, id='no-reports'),
    ],
)
def test_version_is_in_force_in_a_zone_only_if_all_are_covered(
    reports: list[tuple[int, int, bool]], in_force: bool
) -> None:
    zone_reports = [rollout.RelayReport('a', *report) for report in reports]
    other = rollout.RelayReport('b', 1, 9, True)
    assert (
        rollout.combine_reports('a', 3, [*zone_reports, other]).is_in_force(7)
        is in_force
    )


@pytest.mark.processes
def test_rollout_is_followed_by_asking_one_daemon(
    running_mesh: Callable[..., processes.RunningMesh], mesh_text: str
) -> None:
    one = running_mesh(mesh_text, hosts_per_zone=3, targets=False)
    one.wait_ready()
    revision = one.accept_config(mesh_text)
    done = one.run_peridotctl(
        'rollout',
        '--daemon',
        one.plan.hosts[0].admin,
        '--wait-revision',
        str(revision),
        '--within-s',
        '20',
        '--json',
    )
    assert done.returncode == 0, done.stdout + done.stderr
    told = [zone['told'] for zone in json.loads(done.stdout)['zones']]
    assert told == [3, 3, 3, 3]
