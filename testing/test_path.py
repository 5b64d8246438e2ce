"""The path of a call from caller to target, with separate processes."""

from collections.abc import Callable
import json

import pytest

from testing import processes

StartMesh = Callable[..., processes.RunningMesh]


@pytest.mark.processes
def test_any_daemon_routes_a_call_to_a_live_target(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    running = running_mesh(mesh_text)
    running.wait_ready()
    running.wait_in_force(running.accept_config(mesh_text))
    running.wait_targets(4)
    for host in running.plan.hosts:
        answer = processes.call(
            host,
            'bond-issue',
            'POST',
            '/bonds?x=1',
            b'amount=1',
            {
                'Idempotency-Key': processes.new_idempotency_key(),
                'X-Kept': 'yes',
            },
        )
        assert answer.status == 200, answer.body
        body = json.loads(answer.body)
        assert body['service'] == 'bond-issue'
        assert body['path'] == '/bonds?x=1'
        assert body['body'] == 'amount=1'
        assert body['runs'] == 1


@pytest.mark.processes
def test_stopped_daemon_exits_with_code_0(
    running_mesh: StartMesh, mesh_text: str
) -> None:
    running = running_mesh(mesh_text)
    running.wait_ready()
    host = running.plan.hosts[0]
    assert running.stop(f'target-{host.host}') == 0
    assert running.stop(f'daemon-{host.host}') == 0
    assert 'Traceback' not in running.read_log(f'daemon-{host.host}')
