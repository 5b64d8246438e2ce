"""Runs the programs as separate processes, for tests."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

from peridotpost.decisions import idempotency
from peridotpost.standins import mesh

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
STOP_TIMEOUT_S = 10.0


class WaitTimeoutError(AssertionError):
    """A condition did not become true in time."""


@dataclasses.dataclass(slots=True)
class RunningMesh:
    """A mesh whose programs run as processes of the test."""

    plan: mesh.MeshPlan
    directory: pathlib.Path
    processes: dict[str, subprocess.Popen[bytes]]

    def start(self, name: str, *arguments: str) -> None:
        """Start a program; its output is appended to ``<name>.log``."""
        with open(self.directory / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments], stdout=log, stderr=log
            )

    def start_platform(self) -> None:
        port = str(self.plan.platform_port)
        self.start('platform', 'peridotpost.cli.platform', '--port', port)

    def start_daemon(self, host: mesh.PlannedHost) -> None:
        self.start(
            f'daemon-{host.host}',
            'peridotpost.cli.peridotd',
            '--settings',
            host.settings,
        )

    def start_target(self, host: mesh.PlannedHost, *options: str) -> None:
        self.start(
            f'target-{host.host}',
            'peridotpost.cli.target',
            '--service',
            host.service,
            '--name',
            f't-{host.host}',
            '--daemon-admin',
            f'http://{host.admin}',
            *options,
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        os.kill(self.processes[name].pid, number)

    def stop(self, name: str) -> int:
        """Terminate a program by SIGTERM and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes.pop(name).wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait(STOP_TIMEOUT_S)

    def read_log(self, name: str) -> str:
        return (self.directory / f'{name}.log').read_text()

    def run_peridotctl(
        self, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run ``peridotctl``."""
        return subprocess.run(
            [sys.executable, '-m', 'peridotpost.cli.peridotctl', *arguments],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )

    def accept_config(self, text: str) -> int:
        """Accept `text` as the configuration; return its revision."""
        file = self.directory / 'text.yaml'
        file.write_text(text)
        result = self.run_peridotctl(
            'accept',
            str(file),
            '--mesh',
            self.plan.mesh,
            '--store',
            self.plan.store,
            '--json',
        )
        assert result.returncode == 0, result.stdout + result.stderr
        return int(json.loads(result.stdout)['revision'])

    def status(self, host: mesh.PlannedHost) -> dict[str, Any]:
        page: dict[str, Any] = get_json(f'http://{host.admin}/v1/status')
        return page

    def set_faults(self, **faults: Any) -> None:
        request = urllib.request.Request(
            f'{self.plan.store}/control/faults',
            data=json.dumps(faults).encode(),
            method='PUT',
        )
        with urllib.request.urlopen(request, timeout=TIMEOUT_S):
            pass

    def wait_ready(self) -> None:
        for host in self.plan.hosts:
            self.wait(
                functools.partial(self.is_ready, host),
                f'{host.host} is ready',
            )

    def wait_in_force(
        self, revision: int, hosts: tuple[mesh.PlannedHost, ...] = ()
    ) -> None:
        for host in hosts or self.plan.hosts:
            self.wait(
                functools.partial(self.has_in_force, host, revision),
                f'version {revision} is in force on {host.host}',
            )

    def wait_targets(
        self, count: int, hosts: tuple[mesh.PlannedHost, ...] = ()
    ) -> None:
        """Wait until each host's route table has `count` targets."""
        for host in hosts or self.plan.hosts:
            self.wait(
                functools.partial(self.has_target_count, host, count),
                f'{host.host} routes to {count} targets',
            )

    def is_ready(self, host: mesh.PlannedHost) -> bool:
        return bool(self.status(host)['stage'] == 'ready')

    def has_in_force(self, host: mesh.PlannedHost, revision: int) -> bool:
        return int(self.status(host)['revision']) >= revision

    def has_target_count(self, host: mesh.PlannedHost, count: int) -> bool:
        return self.target_count(host) == count

    def target_count(self, host: mesh.PlannedHost) -> int:
        routes = self.status(host)['routes']
        return sum(len(route['endpoints']) for route in routes)

    def wait(self, predicate: Callable[[], bool], description: str) -> None:
        """Poll until `predicate` is true; a failed request counts as false.

        :raises WaitTimeoutError: after `TIMEOUT_S`; its message contains
            the end of each log.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, urllib.error.URLError):
                if predicate():
                    return
            time.sleep(POLL_INTERVAL_S)
        logs = '\n'.join(
            f'--- {name}\n{self.read_log(name)[-1500:]}'
            for name in self.processes
        )
        raise WaitTimeoutError(
            f'timed out waiting until {description}\n{logs}'
        )


def new_idempotency_key(suffix: str = '') -> str:
    """Return a new idempotency key, as a caller generates it."""
    key = idempotency.generate_key(
        time.time_ns() // 1_000_000, random.Random()
    )
    return key.text + suffix


def get_json(address: str) -> Any:
    with urllib.request.urlopen(address, timeout=TIMEOUT_S) as answer:
        return json.loads(answer.read())


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        return self.headers.get('Peridot-Outcome', 'answered')


def call(
    host: mesh.PlannedHost,
    service: str,
    method: str = 'GET',
    path: str = '/',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    port: str = 'caller_port',
) -> HttpAnswer:
    """Send a request to a port of a daemon, as a caller does."""
    request = urllib.request.Request(
        f'http://127.0.0.1:{host.ports[port]}{path}',
        data=body,
        method=method,
        headers={'Host': service, **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
            return HttpAnswer(
                answer.status, dict(answer.headers), answer.read()
            )
    except urllib.error.HTTPError as error:
        return HttpAnswer(error.code, dict(error.headers), error.read())


@contextlib.contextmanager
def running(
    text: str,
    directory: pathlib.Path,
    *,
    hosts_per_zone: int = 1,
    targets: bool = True,
    settings: dict[str, Any] | None = None,
) -> Iterator[RunningMesh]:
    """Run the platform, every daemon and, unless disabled, every target."""
    plan = mesh.plan_mesh(
        text, directory, hosts_per_zone, random.Random(), settings
    )
    running_mesh = RunningMesh(plan, directory, {})
    try:
        running_mesh.start_platform()
        for host in plan.hosts:
            running_mesh.start_daemon(host)
            if targets:
                running_mesh.start_target(host)
        yield running_mesh
    finally:
        for process in running_mesh.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in running_mesh.processes.values():
            process.wait(STOP_TIMEOUT_S)
