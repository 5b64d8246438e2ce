"""The whole path with separate processes."""

from collections.abc import Callable
import json

import pytest

from testing import processes

StartMesh = Callable[..., processes.RunningMesh]


@pytest.mark.processes
def test_call_reaches_a_live_target_by_any_daemon(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    one = running_mesh(mesh_text)
    one.wait_ready()
    one.wait_in_force(one.accept(mesh_text))
    one.wait_targets(4)
    for host in one.plan.hosts:
        answer = processes.call(
            host,
            'bond-issue',
            'POST',
            '/bonds?x=1',
            b'amount=1',
            {'Idempotency-Key': processes.new_key(), 'X-Kept': 'yes'},
        )
        assert answer.status == 200, answer.body
        body = json.loads(answer.body)
        assert body['service'] == 'bond-issue'
        assert body['path'] == '/bonds?x=1'
        assert body['body'] == 'amount=1'
        assert body['runs'] == 1


@pytest.mark.processes
def test_stopped_daemon_leaves_with_exit_code_0(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    one = running_mesh(mesh_text)
    one.wait_ready()
    host = one.plan.hosts[0]
    assert one.stop(f'target-{host.host}') == 0
    assert one.stop(f'daemon-{host.host}') == 0
    assert 'Traceback' not in one.log_of(f'daemon-{host.host}')
