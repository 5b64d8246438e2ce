"""Starts and ends the programs as separate processes, for tests."""

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

WAIT_S = 30.0
POLL_S = 0.02
STOP_S = 10.0


class WaitedInVain(AssertionError):
    """What was waited for did not come about."""


@dataclasses.dataclass(slots=True)
class RunningMesh:
    """A mesh of processes that a test started."""

    plan: mesh.MeshPlan
    directory: pathlib.Path
    started: dict[str, subprocess.Popen[bytes]]

    def start(self, name: str, *arguments: str) -> None:
        """Start a program; its output goes to a file named `name`."""
        with open(self.directory / f'{name}.log', 'ab') as log:
            self.started[name] = subprocess.Popen(
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
        os.kill(self.started[name].pid, number)

    def stop(self, name: str) -> int:
        """End a program by SIGTERM and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.started.pop(name).wait(STOP_S)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.started.pop(name).wait(STOP_S)

    def log_of(self, name: str) -> str:
        return (self.directory / f'{name}.log').read_text()

    def control(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``peridotctl``."""
        return subprocess.run(
            [sys.executable, '-m', 'peridotpost.cli.peridotctl', *arguments],
            capture_output=True,
            text=True,
            timeout=WAIT_S,
            check=False,
        )

    def accept(self, text: str) -> int:
        """Accept `text` and return its version."""
        file = self.directory / 'text.yaml'
        file.write_text(text)
        done = self.control(
            'accept',
            str(file),
            '--mesh',
            self.plan.mesh,
            '--store',
            self.plan.store,
            '--json',
        )
        assert done.returncode == 0, done.stdout + done.stderr
        return int(json.loads(done.stdout)['revision'])

    def status(self, host: mesh.PlannedHost) -> dict[str, Any]:
        page: dict[str, Any] = get_json(f'http://{host.admin}/v1/status')
        return page

    def set_faults(self, **faults: Any) -> None:
        request = urllib.request.Request(
            f'{self.plan.store}/control/faults',
            data=json.dumps(faults).encode(),
            method='PUT',
        )
        with urllib.request.urlopen(request, timeout=WAIT_S):
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
        """Wait until the hosts' tables hold `count` targets in all."""
        for host in hosts or self.plan.hosts:
            self.wait(
                functools.partial(self.routes_to, host, count),
                f'{host.host} routes to {count} targets',
            )

    def is_ready(self, host: mesh.PlannedHost) -> bool:
        return bool(self.status(host)['stage'] == 'ready')

    def has_in_force(self, host: mesh.PlannedHost, revision: int) -> bool:
        return int(self.status(host)['revision']) >= revision

    def routes_to(self, host: mesh.PlannedHost, count: int) -> bool:
        return self.target_count(host) == count

    def target_count(self, host: mesh.PlannedHost) -> int:
        routes = self.status(host)['routes']
        return sum(len(route['endpoints']) for route in routes)

    def wait(self, holds: Callable[[], bool], what: str) -> None:
        """Wait until `holds`; a page that cannot be had does not hold.

        :raises WaitedInVain: it never did; shows the ends of the logs.
        """
        until = time.monotonic() + WAIT_S
        while time.monotonic() < until:
            with contextlib.suppress(OSError, urllib.error.URLError):
                if holds():
                    return
            time.sleep(POLL_S)
        logs = '\n'.join(
            f'--- {name}\n{self.log_of(name)[-1500:]}' for name in self.started
        )
        raise WaitedInVain(f'waited in vain until {what}\n{logs}')


def new_key(suffix: str = '') -> str:
    """Make an idempotency key as a caller would."""
    key = idempotency.mint(time.time_ns() // 1_000_000, random.Random())
    return key.text + suffix


def get_json(address: str) -> Any:
    with urllib.request.urlopen(address, timeout=WAIT_S) as answer:
        return json.loads(answer.read())


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """What a caller received."""

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
    """Send a caller's request to a daemon."""
    request = urllib.request.Request(
        f'http://127.0.0.1:{host.ports[port]}{path}',
        data=body,
        method=method,
        headers={'Host': service, **(headers or {})},
    )
    try:
        with urllib.request.urlopen(request, timeout=WAIT_S) as answer:
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
    """Start the platform, every daemon and, if asked, every target."""
    plan = mesh.plan_mesh(
        text, directory, hosts_per_zone, random.Random(), settings
    )
    one = RunningMesh(plan, directory, {})
    try:
        one.start_platform()
        for host in plan.hosts:
            one.start_daemon(host)
            if targets:
                one.start_target(host)
        yield one
    finally:
        for process in one.started.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in one.started.values():
            process.wait(STOP_S)
