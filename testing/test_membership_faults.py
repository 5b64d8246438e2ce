"""Members and targets that hang, leave, die, restart or share a name."""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import functools
import json
import re
import signal
import threading
from typing import Any
import urllib.error
import urllib.request

import pytest

from peridotpost.kernel import counters
from peridotpost.membership import myself as own
from peridotpost.membership import targets as local
from peridotpost.model import members
from peridotpost.standins import mesh
from testing import processes
from testing import test_suspicion

StartMesh = Callable[..., processes.RunningMesh]
FAST = {
    'timing': {
        'probe_period_s': 0.3,
        'probe_timeout_s': 0.15,
        'suspicion_s': 1.2,
        'target_ttl_s': 3.0,
    }
}
TTL_S = 4.0
LONG_MS = 2500
LONG_CALLS = 6
READY = members.TargetState.READY
DRAINING = members.TargetState.DRAINING


@pytest.fixture
def zone_text(mesh_text: str) -> str:
    """The configuration of Rautasilta with a single availability zone."""
    return re.sub(
        'availability_zones: .*', 'availability_zones: [hel-a]', mesh_text
    )


def announced(
    port: int,
    until: float,
    state: members.TargetState = READY,
    name: str = 't',
) -> local.LocalTarget:
    return local.LocalTarget('s', name, port, 2, 9, state, until)


@pytest.fixture
def targets() -> local.LocalTargets:
    myself = own.LocalMember(test_suspicion.record_of('h'))
    return local.LocalTargets(myself, TTL_S, counters.Counters())


def ports(targets: local.LocalTargets) -> list[int]:
    return [one.port for one in targets.by_name.values()]


def test_silent_target_is_removed(
    targets: local.LocalTargets,
) -> None:
    targets.announce(announced(1, until=4.0))
    targets.announce(announced(2, until=4.5, name='other'))
    for now in (0.0, 1.0, 2.0, 3.0, 3.9):
        targets.expire(now)
    assert ports(targets) == [1, 2]
    targets.expire(4.0)
    assert ports(targets) == [2]
    assert [t.name for t in targets.myself.record.targets] == ['other']


def test_pause_of_the_daemon_expires_no_announcement(
    targets: local.LocalTargets,
) -> None:
    # The daemon is paused for a minute.  When it resumes, all announcements
    # look expired, and it must not drop the targets.
    targets.announce(announced(1, until=4.0))
    targets.expire(0.0)
    targets.expire(60.0)
    assert ports(targets) == [1]
    for now in (61.0, 62.0, 63.0, 64.0):
        targets.expire(now)
    assert ports(targets) == []


def test_restarted_target_is_taken_at_its_new_port_at_once(
    targets: local.LocalTargets,
) -> None:
    targets.announce(announced(1, until=4.0, state=DRAINING))
    targets.announce(announced(2, until=5.0))
    assert ports(targets) == [2]
    assert targets.myself.record.targets[0].state is READY


def test_shared_name_belongs_to_the_later_target(
    targets: local.LocalTargets,
) -> None:
    # Two targets of a host are started with the same name by mistake.  If
    # both were accepted, calls would alternate between them, and draining
    # one would stop work for both.
    targets.announce(announced(1, until=4.0))
    targets.announce(announced(2, until=5.0))
    for port, taken in ((1, False), (2, True), (1, False), (2, True)):
        context: Any = contextlib.nullcontext()
        if not taken:
            context = pytest.raises(local.NameTaken, match='port 2')
        with context:
            targets.announce(announced(port, until=6.0))
        assert ports(targets) == [2]
    targets.expire(6.0)
    targets.announce(announced(1, until=9.0))
    assert ports(targets) == [1]


def target_port(one: processes.RunningMesh, name: str) -> int:
    """Return the port that a target process printed last."""
    found: list[str] = []

    def printed() -> bool:
        found[:] = re.findall(r'listening on (\d+)', one.read_log(name))
        return bool(found)

    one.wait(printed, f'{name} listens')
    return int(found[-1])


def target_counts(port: int) -> Any:
    return processes.get_json(f'http://127.0.0.1:{port}/standin/counts')


def started_requests(port: int) -> int:
    """Count the requests that a target has started, with any outcome."""
    page = target_counts(port)
    ends = ('ran', 'shed', 'deadline', 'cancelled')
    ended = sum(page['counts'].get(end, 0) for end in ends)
    return int(ended + page['running'])


def announce(host: mesh.PlannedHost, service: str, **fields: Any) -> int:
    body = {'name': 'x', 'port': 1, 'slots': 1, 'state': 'ready', **fields}
    request = urllib.request.Request(
        f'http://{host.admin}/v1/targets/{service}',
        json.dumps(body).encode(),
        method='PUT',
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as answer:
            return int(answer.status)
    except urllib.error.HTTPError as error:
        return error.code


def member(
    one: processes.RunningMesh, asked: mesh.PlannedHost, host: str
) -> Any:
    found = {m['host']: m for m in one.status(asked)['members']}
    return found.get(host, {'status': 'unknown', 'targets': []})


def sees(
    one: processes.RunningMesh,
    asked: mesh.PlannedHost,
    host: str,
    status: str,
) -> bool:
    return bool(member(one, asked, host)['status'] == status)


def wait_all_see(
    one: processes.RunningMesh,
    asked: list[mesh.PlannedHost],
    host: str,
    status: str,
) -> None:
    for each in asked:
        one.wait(
            functools.partial(sees, one, each, host, status),
            f'{each.host} sees {host} {status}',
        )


def counter(host: mesh.PlannedHost, name: str) -> int:
    page = processes.get_json(f'http://{host.admin}/v1/counters')
    return int(page['totals'].get(name, 0))


@pytest.mark.processes
def test_paused_daemon_is_routed_around_and_alive_after_resuming(
    running_mesh: StartMesh, zone_text: str
) -> None:
    # A daemon is paused for longer than a suspicion lasts.  The others
    # declare it dead and route around it.  When it resumes it must not
    # declare them dead by its expired timers, but refute its own death.
    one = running_mesh(zone_text, hosts_per_zone=4, settings=FAST)
    one.wait_ready()
    one.wait_in_force(one.accept_config(zone_text))
    one.wait_targets(4)
    *others, paused = one.plan.hosts
    service = others[0].service
    assert paused.service == service
    name = f'daemon-{paused.host}'
    before = {h.host: member(one, others[0], h.host) for h in one.plan.hosts}
    one.signal(name, signal.SIGSTOP)
    wait_all_see(one, others, paused.host, 'dead')
    one.wait_targets(3, tuple(others))
    for host in others:
        assert processes.call(host, service).status == 200
    one.signal(name, signal.SIGCONT)
    wait_all_see(one, list(one.plan.hosts), paused.host, 'alive')
    one.wait_targets(4)
    assert counter(paused, 'probe.declared-dead') == 0
    assert counter(paused, 'probe.own-pause') > 0
    for host in others:
        after = member(one, paused, host.host)
        assert after['status'] == 'alive'
        assert counter(host, 'probe.declared-dead') <= 1
    back = member(one, others[0], paused.host)
    assert back['incarnation'] > before[paused.host]['incarnation']
    assert processes.call(paused, service).status == 200


@contextlib.contextmanager
def calling(
    host: mesh.PlannedHost, service: str
) -> Iterator[list[processes.HttpAnswer]]:
    """Send idempotent calls without pause from one thread."""
    answers: list[processes.HttpAnswer] = []
    stop = threading.Event()

    def send() -> None:
        while not stop.is_set():
            answers.append(
                processes.call(host, service, path=f'/{len(answers)}')
            )

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send)
        try:
            yield answers
        finally:
            stop.set()
            sending.result()


def started_work(
    leaving: str, leaving_host: mesh.PlannedHost, port: int
) -> int:
    """Count requests started on `leaving_host`, by the process that stays."""
    if leaving == 'target':
        page = processes.get_json(f'http://{leaving_host.admin}/v1/timeline')
        kinds = [event['kind'] for event in page['events']]
        return kinds.count('call.dispatched')
    return started_requests(port)


def check_whole(answers: list[processes.HttpAnswer]) -> None:
    """Check that each answer is complete and belongs to its request."""
    for number, answer in enumerate(answers):
        assert answer.status == 200, answer.body
        assert json.loads(answer.body)['path'] == f'/{number}'


@pytest.mark.processes
@pytest.mark.parametrize('leaving', ['target', 'daemon'])
def test_stopping_process_gets_no_new_work_and_ends_its_own(
    leaving: str, running_mesh: StartMesh, zone_text: str
) -> None:
    # A target or its daemon is asked to stop while it runs a long request
    # and callers send continuously.  All requests must get complete answers,
    # and once all daemons know of the stop, no new one may be sent there.
    text = zone_text.replace('deadline_ms: 2000', 'deadline_ms: 20000')
    one = running_mesh(text, hosts_per_zone=4, settings=FAST)
    one.wait_ready()
    one.wait_in_force(one.accept_config(text))
    one.wait_targets(4)
    ingress, leaving_host = one.plan.hosts[0], one.plan.hosts[3]
    service = ingress.service
    assert leaving_host.service == service
    others = one.plan.hosts[:3]
    port = target_port(one, f'target-{leaving_host.host}')
    ingress_target_port = target_port(one, f'target-{ingress.host}')
    call = functools.partial(processes.call, ingress, service, path='/long')
    long = {'Standin-Work-Ms': str(LONG_MS)}
    with concurrent.futures.ThreadPoolExecutor(LONG_CALLS) as pool:
        pending = [pool.submit(call, headers=long) for _ in range(LONG_CALLS)]
        one.wait(
            lambda: (
                target_counts(port)['running']
                and target_counts(port)['running']
                + target_counts(ingress_target_port)['running']
                == LONG_CALLS
            ),
            'both targets run long requests',
        )
        with calling(ingress, service) as answers:
            one.signal(f'{leaving}-{leaving_host.host}', signal.SIGTERM)
            one.wait_targets(3, others)
            answers_before = len(answers)
            # Wait for the call that was in flight at that moment.
            one.wait(
                lambda: len(answers) > answers_before + 1, 'that call ends'
            )
            started_before = started_work(leaving, leaving_host, port)
            one.wait(lambda: len(answers) > answers_before + 50, 'more calls')
            assert started_work(leaving, leaving_host, port) == started_before
        ended = [future.result() for future in pending]
    check_whole(answers)
    for answer in ended:
        assert answer.status == 200, answer.body
        assert json.loads(answer.body)['path'] == '/long'
    process = one.processes.pop(f'{leaving}-{leaving_host.host}')
    assert process.wait(processes.STOP_TIMEOUT_S) == 0
    if leaving == 'daemon':
        wait_all_see(one, list(others), leaving_host.host, 'left')


@pytest.mark.processes
def test_leaving_ingress_delivers_pending_answers(
    running_mesh: StartMesh, zone_text: str
) -> None:
    # The daemon that received callers' long requests is asked to stop while
    # the requests run on another host.
    text = zone_text.replace('deadline_ms: 2000', 'deadline_ms: 20000')
    one = running_mesh(text, hosts_per_zone=2, settings=FAST)
    one.wait_ready()
    one.wait_in_force(one.accept_config(text))
    one.wait_targets(2)
    other_host, ingress = one.plan.hosts
    port = target_port(one, f'target-{other_host.host}')
    long = {'Standin-Work-Ms': str(LONG_MS)}
    with concurrent.futures.ThreadPoolExecutor(LONG_CALLS) as pool:
        pending = [
            pool.submit(
                processes.call,
                ingress,
                other_host.service,
                path=f'/{number}',
                headers=long,
            )
            for number in range(LONG_CALLS)
        ]
        one.wait(
            lambda: started_requests(port) == LONG_CALLS,
            'all requests have begun',
        )
        assert one.stop(f'daemon-{ingress.host}') == 0
        check_whole([future.result() for future in pending])


@pytest.mark.processes
def test_announcements_by_processes(
    running_mesh: StartMesh, zone_text: str
) -> None:
    # A target is killed and its successor has another port; another target
    # announces a service that is not in the configuration yet.
    one = running_mesh(
        zone_text, hosts_per_zone=2, targets=False, settings=FAST
    )
    one.wait_ready()
    one.wait_in_force(one.accept_config(zone_text))
    host, other = one.plan.hosts
    name = f'target-{host.host}'
    one.start_target(host)
    one.wait_targets(1)
    first = target_port(one, name)
    one.kill(name)
    one.start_target(host)
    one.wait(lambda: target_port(one, name) != first, 'the successor listens')
    one.wait(
        lambda: processes.call(other, host.service).status == 200,
        'the successor is called',
    )
    assert announce(host, host.service, name=f't-{host.host}', port=first) in (
        200,
        409,
    )
    one.kill(name)
    one.wait_targets(0)
    assert announce(host, 'coming-soon') == 200
    one.wait(
        lambda: (
            member(one, other, host.host)['targets'] == ['coming-soon/x ready']
        ),
        'the unknown service is shown',
    )
    assert one.target_count(other) == 0
    more = zone_text + '  coming-soon: {deadline_ms: 1000}\n'
    one.wait_in_force(one.accept_config(more))
    announce(host, 'coming-soon')
    one.wait_targets(1)
