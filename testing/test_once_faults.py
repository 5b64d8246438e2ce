"""Calls with a key run at most once while processes are killed and paused.

The targets count their runs of each key.  Keys name their owner, so that
each test knows which process to kill or pause.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import json
import re
import signal

import pytest

from peridotpost.standins import mesh
from testing import processes

CONFIG_TEXT = """\
mesh: once
availability_zones: [gal-a, may-a]
services:
  job-dispatch:
    deadline_ms: 1500
"""
SETTINGS = {'once': {'clock_bound_s': 0.01}}
"""A new process accepts keys that name it after 40 ms instead of 4 s."""
StartMesh = Callable[..., processes.RunningMesh]


class OnceMesh:
    """Four daemons, and targets on all hosts but the first, the owner's."""

    def __init__(self, running: processes.RunningMesh) -> None:
        self.mesh = running
        self.owner, *self.others = running.plan.hosts
        self.answers: list[tuple[str, processes.HttpAnswer]] = []
        running.wait_ready()
        for host in self.others:
            running.start_target(host)
        running.wait_in_force(running.accept_config(CONFIG_TEXT))
        running.wait_targets(len(self.others))

    @property
    def owner_daemon(self) -> str:
        return f'daemon-{self.owner.host}'

    def key(self) -> str:
        """Generate a key that names the owner."""
        zone, host = self.owner.availability_zone, self.owner.host
        return processes.new_idempotency_key(f'@{zone}/{host}')

    def call(
        self, host: mesh.PlannedHost, key: str | None, work_ms: int = 0
    ) -> processes.HttpAnswer:
        headers = {'Standin-Work-Ms': str(work_ms)}
        if key is not None:
            headers['Idempotency-Key'] = key
        answer = processes.call(
            host, 'job-dispatch', 'POST', '/vans', b'unit=17', headers
        )
        self.answers.append((answer.headers['Idempotency-Key'], answer))
        return answer

    def run_counts(self) -> Iterator[tuple[str, dict[str, object]]]:
        for name in self.mesh.processes:
            if name.startswith('target-'):
                found = re.search(
                    r'listening on (\d+)', self.mesh.read_log(name)
                )
                assert found is not None
                page = f'http://127.0.0.1:{found[1]}/standin/counts'
                yield name, processes.get_json(page)

    def wait_for_running_target(self) -> str:
        """Wait until a target runs a call; return the target's name."""
        found: list[str] = []

        def runs() -> bool:
            found[:] = [
                name for name, page in self.run_counts() if page['running']
            ]
            return bool(found)

        self.mesh.wait(runs, 'a target runs a call')
        return found[0]

    def check_runs(self) -> collections.Counter[str]:
        """Return runs by key; check that none ran twice or after `not-run`."""
        runs: collections.Counter[str] = collections.Counter()
        for _, page in self.run_counts():
            assert isinstance(page['ran'], dict)
            runs.update(page['ran'])
        assert all(count == 1 for count in runs.values()), runs
        for key, answer in self.answers:
            assert answer.outcome != 'not-run' or not runs[key]
        return runs


@pytest.fixture
def once(running_mesh: StartMesh) -> OnceMesh:
    return OnceMesh(
        running_mesh(
            CONFIG_TEXT, hosts_per_zone=2, targets=False, settings=SETTINGS
        )
    )


@pytest.mark.processes
def test_retry_after_target_was_killed_is_not_run(once: OnceMesh) -> None:
    """The target is killed while it runs the call.

    Whether the call took effect can't be determined: the caller and every
    retry, through any daemon, get the outcome `unknown`.
    """
    key = once.key()
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(once.call, once.others[0], key, 1000)
        once.mesh.kill(once.wait_for_running_target())
        assert first.result().outcome == 'unknown'
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).outcome == 'unknown'
    assert not once.check_runs()


@pytest.mark.processes
def test_owner_killed_between_dispatch_and_answer(once: OnceMesh) -> None:
    """The owner is killed while a target on another host runs the call.

    The call runs once.  Retries get `unknown`, both while the owner is down
    and after its restart.
    """
    key = once.key()
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(once.call, once.others[0], key, 700)
        once.wait_for_running_target()
        once.mesh.kill(once.owner_daemon)
        assert first.result().outcome == 'unknown'
    assert once.call(once.others[1], key).outcome == 'unknown'
    once.mesh.start_daemon(once.owner)
    once.mesh.wait_ready()
    once.mesh.wait_targets(len(once.others))
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).outcome == 'unknown'
    once.mesh.wait(lambda: once.check_runs()[key] == 1, 'the run has ended')


@pytest.mark.processes
def test_owner_paused_while_retries_reach_other_daemons(
    once: OnceMesh,
) -> None:
    """The owner is paused; callers send one key through three daemons.

    None of these uses another owner.  Once continued, the owner runs the
    call once, and later retries get the recorded response.
    """
    key = once.key()
    once.mesh.signal(once.owner_daemon, signal.SIGSTOP)
    with futures.ThreadPoolExecutor() as pool:
        sent = [pool.submit(once.call, host, key) for host in once.others]
        assert {one.result().outcome for one in sent} == {'unknown'}
    assert not once.check_runs()
    once.mesh.signal(once.owner_daemon, signal.SIGCONT)
    answers = {once.call(host, key).body for host in once.others}
    assert len(answers) == 1
    assert once.check_runs()[key] == 1


@pytest.mark.processes
def test_calls_run_once_during_store_outage(once: OnceMesh) -> None:
    """Keys are still generated, run and replayed during the outage."""
    unowned_key = processes.new_idempotency_key()
    first = {once.call(host, unowned_key).body for host in once.others}
    once.mesh.set_faults(outage=True)
    again = {once.call(host, unowned_key).body for host in once.others}
    assert first == again and len(again) == 1
    answer_without_key = once.call(once.others[0], None)
    assert answer_without_key.status == 200
    generated_key = answer_without_key.headers['Idempotency-Key']
    for host in once.mesh.plan.hosts:
        assert once.call(host, generated_key).body == answer_without_key.body
    assert once.call(once.others[1], once.key()).status == 200
    assert set(once.check_runs().values()) == {1}


@pytest.mark.processes
def test_graceful_stop_hands_over_the_ledger(once: OnceMesh) -> None:
    """The owner stops; a retry at another daemon gets the recorded response.

    A key that was never sent before gets `not-run`, as the ledger proves
    it.  The restarted process has no ledger of its own and asks the daemons
    that took it over.
    """
    key, unsent_key = once.key(), once.key()
    answer = once.call(once.others[0], key)
    assert answer.status == 200
    assert once.mesh.stop(once.owner_daemon) == 0
    for host in once.others:
        assert once.call(host, key).body == answer.body
        assert once.call(host, unsent_key).outcome == 'not-run'
    once.mesh.start_daemon(once.owner)
    once.mesh.wait_ready()
    once.mesh.wait_targets(len(once.others))
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).body == answer.body
    assert once.check_runs()[key] == 1


@pytest.mark.processes
def test_invalid_keys_are_rejected_with_an_explanation(once: OnceMesh) -> None:
    host = once.others[0]
    answer = processes.call(
        host,
        'job-dispatch',
        'POST',
        headers={'Idempotency-Key': 'order-17'},
    )
    assert (answer.status, answer.outcome) == (400, 'not-run')
    assert 'UUIDv7' in json.loads(answer.body)['detail']
    key = once.key()
    assert once.call(host, key).status == 200
    other = processes.call(
        host, 'job-dispatch', 'POST', '/x', headers={'Idempotency-Key': key}
    )
    assert other.outcome == 'unknown'
    assert 'another request' in json.loads(other.body)['detail']
    assert once.check_runs() == {key: 1}


@pytest.mark.processes
def test_daemon_without_evidence_does_not_answer_not_run(
    once: OnceMesh,
) -> None:
    """A call that ran is retried at a daemon that doesn't know the service.

    The daemon rejects it, as one with an older version would, and must not
    answer `not-run`, since the call may have run through another daemon.  A
    call without a key was never sent before, so it gets `not-run`.
    """
    key = once.key()
    assert once.call(once.others[0], key).status == 200
    for service, headers, outcome in (
        ('unheard-of', {'Idempotency-Key': key}, 'unknown'),
        ('unheard-of', {}, 'not-run'),
    ):
        answer = processes.call(
            once.others[1], service, 'POST', '/vans', b'', headers
        )
        assert answer.outcome == outcome
