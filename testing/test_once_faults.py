"""No key runs twice on a mesh of processes that are killed and paused.

The targets count their runs of each key.  Keys name their owner, so that
each story knows which process to hit.
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

TEXT = """\
mesh: once
availability_zones: [gal-a, may-a]
services:
  job-dispatch:
    deadline_ms: 1500
"""
SETTINGS = {'once': {'clock_bound_s': 0.01}}
"""A fresh process takes keys that name it after 40 ms instead of 4 s."""
StartMesh = Callable[..., processes.RunningMesh]


class Once:
    """Four daemons; targets beside all but the first, the owner."""

    def __init__(self, one: processes.RunningMesh) -> None:
        self.mesh = one
        self.owner, *self.others = one.plan.hosts
        self.told: list[tuple[str, processes.HttpAnswer]] = []
        one.wait_ready()
        for host in self.others:
            one.start_target(host)
        one.wait_in_force(one.accept(TEXT))
        one.wait_targets(len(self.others))

    @property
    def owner_daemon(self) -> str:
        return f'daemon-{self.owner.host}'

    def key(self) -> str:
        """Make a key that names the owner."""
        zone, host = self.owner.availability_zone, self.owner.host
        return processes.new_key(f'@{zone}/{host}')

    def call(
        self, host: mesh.PlannedHost, key: str | None, work_ms: int = 0
    ) -> processes.HttpAnswer:
        headers = {'Standin-Work-Ms': str(work_ms)}
        if key is not None:
            headers['Idempotency-Key'] = key
        answer = processes.call(
            host, 'job-dispatch', 'POST', '/vans', b'unit=17', headers
        )
        self.told.append((answer.headers['Idempotency-Key'], answer))
        return answer

    def counts(self) -> Iterator[tuple[str, dict[str, object]]]:
        for name in self.mesh.started:
            if name.startswith('target-'):
                found = re.search(
                    r'listening on (\d+)', self.mesh.log_of(name)
                )
                assert found is not None
                page = f'http://127.0.0.1:{found[1]}/standin/counts'
                yield name, processes.get_json(page)

    def running_at(self) -> str:
        """Wait until a target runs something; return its name."""
        found: list[str] = []

        def runs() -> bool:
            found[:] = [
                name for name, page in self.counts() if page['running']
            ]
            return bool(found)

        self.mesh.wait(runs, 'a target runs a call')
        return found[0]

    def check(self) -> collections.Counter[str]:
        """Return runs by key; none doubled, none after a `not-run`."""
        runs: collections.Counter[str] = collections.Counter()
        for _, page in self.counts():
            assert isinstance(page['ran'], dict)
            runs.update(page['ran'])
        assert all(count == 1 for count in runs.values()), runs
        for key, answer in self.told:
            assert answer.outcome != 'not-run' or not runs[key]
        return runs


@pytest.fixture
def once(running_mesh: StartMesh) -> Once:
    return Once(
        running_mesh(TEXT, hosts_per_zone=2, targets=False, settings=SETTINGS)
    )


@pytest.mark.processes
def test_resend_after_its_target_was_killed_is_not_run(once: Once) -> None:
    """The target dies while it runs the call.

    Nobody can tell how far it came: the caller and every resend, by
    whichever daemon, are told that the outcome is unknown.
    """
    key = once.key()
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(once.call, once.others[0], key, 1000)
        once.mesh.kill(once.running_at())
        assert first.result().outcome == 'unknown'
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).outcome == 'unknown'
    assert not once.check()


@pytest.mark.processes
def test_owner_killed_between_dispatch_and_answer(once: Once) -> None:
    """The owner dies while a target elsewhere runs the call.

    The run ends once.  Resends are told `unknown`, while the owner is
    gone and when its next process has taken its place.
    """
    key = once.key()
    with futures.ThreadPoolExecutor() as pool:
        first = pool.submit(once.call, once.others[0], key, 700)
        once.running_at()
        once.mesh.kill(once.owner_daemon)
        assert first.result().outcome == 'unknown'
    assert once.call(once.others[1], key).outcome == 'unknown'
    once.mesh.start_daemon(once.owner)
    once.mesh.wait_ready()
    once.mesh.wait_targets(len(once.others))
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).outcome == 'unknown'
    once.mesh.wait(lambda: once.check()[key] == 1, 'the run has ended')


@pytest.mark.processes
def test_owner_paused_while_resends_arrive_elsewhere(once: Once) -> None:
    """The owner is frozen; callers send one key by three daemons.

    None of these finds another owner.  Thawed, the owner runs the key
    once, and a later resend gets the recorded answer.
    """
    key = once.key()
    once.mesh.signal(once.owner_daemon, signal.SIGSTOP)
    with futures.ThreadPoolExecutor() as pool:
        sent = [pool.submit(once.call, host, key) for host in once.others]
        assert {one.result().outcome for one in sent} == {'unknown'}
    assert not once.check()
    once.mesh.signal(once.owner_daemon, signal.SIGCONT)
    answers = {once.call(host, key).body for host in once.others}
    assert len(answers) == 1
    assert once.check()[key] == 1


@pytest.mark.processes
def test_calls_run_once_while_the_store_is_out(once: Once) -> None:
    """The store goes; keys go on being made, run and replayed."""
    plain = processes.new_key()
    first = {once.call(host, plain).body for host in once.others}
    once.mesh.set_faults(outage=True)
    again = {once.call(host, plain).body for host in once.others}
    assert first == again and len(again) == 1
    keyless = once.call(once.others[0], None)
    assert keyless.status == 200
    made = keyless.headers['Idempotency-Key']
    for host in once.mesh.plan.hosts:
        assert once.call(host, made).body == keyless.body
    assert once.call(once.others[1], once.key()).status == 200
    assert set(once.check().values()) == {1}


@pytest.mark.processes
def test_graceful_stop_hands_the_ledger_over(once: Once) -> None:
    """The owner stops; a resend elsewhere gets the recorded answer.

    A key that was never sent before is proved not to have run.  The next
    process of the host knows no more than the heirs, and asks them.
    """
    key, unsent = once.key(), once.key()
    answer = once.call(once.others[0], key)
    assert answer.status == 200
    assert once.mesh.stop(once.owner_daemon) == 0
    for host in once.others:
        assert once.call(host, key).body == answer.body
        assert once.call(host, unsent).outcome == 'not-run'
    once.mesh.start_daemon(once.owner)
    once.mesh.wait_ready()
    once.mesh.wait_targets(len(once.others))
    for host in once.mesh.plan.hosts:
        assert once.call(host, key).body == answer.body
    assert once.check()[key] == 1


@pytest.mark.processes
def test_wrong_keys_are_refused_with_how_to_mend_them(once: Once) -> None:
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
    assert once.check() == {key: 1}


@pytest.mark.processes
def test_daemon_that_cannot_tell_does_not_say_not_run(once: Once) -> None:
    """A call ran and its caller sends it again, to a daemon that refuses.

    The daemon does not know the service, as if it held an older version;
    it must not deny a run that took place by another.  A call without a
    key was never sent before: it is denied.
    """
    key = once.key()
    assert once.call(once.others[0], key).status == 200
    for service, given, outcome in (
        ('unheard-of', {'Idempotency-Key': key}, 'unknown'),
        ('unheard-of', {}, 'not-run'),
    ):
        answer = processes.call(
            once.others[1], service, 'POST', '/vans', b'', given
        )
        assert answer.outcome == outcome
