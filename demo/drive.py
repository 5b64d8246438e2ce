"""Drives the demo's mesh as operators and callers would; checks it all."""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import uuid

from tornado import httpclient

from peridotpost.admin import models
from peridotpost.cli import operator
from peridotpost.decisions import idempotency
from peridotpost.standins import mesh
from peridotpost.store import versions

READY_S = 25.0
IN_FORCE_S = 4.0
CALLS = 60
CONTROL_COUNTERS = (
    'link.sent-bytes',
    'link.received-bytes',
    'probe.sent-bytes',
    'probe.received-bytes',
    'reconcile.sent-bytes',
    'reconcile.received-bytes',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller received."""

    service: str
    status: int
    outcome: str
    target: str
    ms: float


class Checks:
    """Collects what held and what did not."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def expect(self, holds: bool, what: str) -> None:
        print(f'  [{"ok" if holds else "FAILED"}] {what}')
        if not holds:
            self.failed.append(what)


async def in_force(
    plan: mesh.MeshPlan, revision: int, within_s: float
) -> float:
    """Return the seconds until every daemon has `revision`; -1 if late."""
    began = time.monotonic()
    addresses = tuple(host.admin for host in plan.hosts)
    while time.monotonic() - began < within_s:
        asked = await operator.ask_all(
            addresses, '/v1/status', models.DaemonStatus
        )
        pages = [one.page for one in asked]
        if all(
            isinstance(page, models.DaemonStatus)
            and page.revision >= revision
            and page.stage == 'ready'
            for page in pages
        ):
            return time.monotonic() - began
        await asyncio.sleep(0.02)
    return -1.0


async def routes_settled(
    plan: mesh.MeshPlan, public: list[str], targets: int
) -> bool:
    """Wait until every daemon routes to `targets` targets of `public`.

    Internal services are held only where something depends on them.
    """
    until = time.monotonic() + READY_S
    addresses = tuple(host.admin for host in plan.hosts)
    while time.monotonic() < until:
        asked = await operator.ask_all(
            addresses, '/v1/status', models.DaemonStatus
        )
        if {targets_of(one, public) for one in asked} == {targets}:
            return True
        await asyncio.sleep(0.05)
    return False


def targets_of(asked: operator.Asked, services: list[str]) -> int:
    """Count the targets of `services` in a daemon's table; -1 if silent."""
    if not isinstance(asked.page, models.DaemonStatus):
        return -1
    return sum(
        len(route.endpoints)
        for route in asked.page.routes
        if route.service in services
    )


async def call(
    client: httpclient.AsyncHTTPClient,
    host: mesh.PlannedHost,
    service: str,
    method: str,
    key: str,
) -> Received:
    began = time.monotonic()
    answer = await client.fetch(
        f'http://{host.caller}/bonds/17',
        method=method,
        headers={'Host': service, 'Idempotency-Key': key},
        body='amount=1' if method == 'POST' else None,
        raise_error=False,
        request_timeout=12,
    )
    return Received(
        service,
        answer.code,
        answer.headers.get('Peridot-Outcome', 'answered'),
        answer.headers.get('Standin-Target', '-'),
        (time.monotonic() - began) * 1000,
    )


def public_services(text: str) -> list[str]:
    """Return the services that callers from outside may call."""
    spec = operator.mesh_of(text, 'text')
    return [name for name, one in spec.services.items() if not one.internal]


async def send_calls(plan: mesh.MeshPlan, text: str) -> list[Received]:
    """Send calls to every daemon in turn, reads and writes mixed."""
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=20)
    spec = operator.mesh_of(text, 'text')
    services = public_services(text)
    randomness = random.Random()
    work = []
    for number in range(CALLS):
        service = services[number % len(services)]
        method = 'GET' if spec.services[service].idempotent else 'POST'
        host = plan.hosts[number % len(plan.hosts)]
        key = idempotency.mint(time.time_ns() // 1_000_000, randomness).text
        work.append(call(client, host, service, method, key))
    try:
        return await asyncio.gather(*work)
    finally:
        client.close()


def tell(received: list[Received]) -> None:
    rows = collections.Counter(
        (one.service, one.status, one.outcome) for one in received
    )
    for (service, status, outcome), count in sorted(rows.items()):
        print(f'    {service}: {count} x {status} {outcome}')


async def tell_request(
    plan: mesh.MeshPlan, service: str, checks: Checks
) -> None:
    """Send one call and print its events, merged from every daemon."""
    request_id = uuid.uuid4().hex[:16]
    client = httpclient.AsyncHTTPClient(force_instance=True)
    await client.fetch(
        f'http://{plan.hosts[-1].caller}/',
        headers={'Host': service, 'Peridot-Request-Id': request_id},
        raise_error=False,
    )
    client.close()
    asked = await operator.ask_all(
        tuple(host.admin for host in plan.hosts),
        f'/v1/timeline?request_id={request_id}',
        models.TimelinePage,
    )
    events = [
        event
        for one in asked
        if isinstance(one.page, models.TimelinePage)
        for event in one.page.events
    ]
    for event in sorted(events, key=lambda event: event.at):
        print(f'    {event.at:.4f} {event.host} {event.kind} {event.detail}')
    checks.expect(
        any(event.kind == 'call.dispatched' for event in events),
        'the time line shows where the request ran',
    )


def accept(plan: mesh.MeshPlan, file: pathlib.Path, note: str) -> int:
    """Accept a text by the operators' own command; return the version."""
    done = subprocess.run(
        [
            sys.executable,
            '-m',
            'peridotpost.cli.peridotctl',
            'accept',
            str(file),
            '--mesh',
            plan.mesh,
            '--store',
            plan.store,
            '--note',
            note,
            '--json',
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode:
        raise SystemExit(f'accept failed: {done.stdout}{done.stderr}')
    return int(json.loads(done.stdout)['revision'])


async def control_bytes(plan: mesh.MeshPlan) -> dict[str, int]:
    asked = await operator.ask_all(
        tuple(host.admin for host in plan.hosts),
        '/v1/counters',
        models.CountersPage,
    )
    return {
        one.page.host: sum(
            one.page.totals.get(name, 0) for name in CONTROL_COUNTERS
        )
        for one in asked
        if isinstance(one.page, models.CountersPage)
    }


async def drive(work: pathlib.Path, text_file: pathlib.Path) -> int:
    plan = mesh.load_plan(work / 'plan.json')
    text = text_file.read_text()
    checks = Checks()
    began = time.monotonic()

    print(f'1. {len(plan.hosts)} daemons start; the text is accepted')
    ready = await in_force(plan, 0, READY_S)
    checks.expect(ready >= 0, f'all daemons ready after {ready:.2f} s')
    first = accept(plan, text_file, 'first version')
    took = await in_force(plan, first, IN_FORCE_S)
    checks.expect(
        took >= 0, f'version {first} in force on every daemon in {took:.3f} s'
    )
    public = public_services(text)
    expected = sum(host.service in public for host in plan.hosts)
    settled = await routes_settled(plan, public, expected)
    checks.expect(settled, f'every daemon routes to {expected} targets')

    print('2. calls through every daemon')
    received = await send_calls(plan, text)
    tell(received)
    checks.expect(
        all(one.status == 200 for one in received), 'every call was answered'
    )

    victim = plan.hosts[0]
    print(f'3. the target of {victim.host} is killed during calls')
    pid = int((work / f'target-{victim.host}.pid').read_text())
    (work / f'target-{victim.host}.killed').touch()
    os.kill(pid, signal.SIGKILL)
    received = await send_calls(plan, text)
    tell(received)
    checks.expect(
        all(
            one.status == 200 or one.outcome in ('not-run', 'unknown')
            for one in received
        ),
        'every call got an answer, or a definite word',
    )
    settled = await routes_settled(plan, public, expected - 1)
    checks.expect(settled, 'no daemon routes to it any more')
    received = await send_calls(plan, text)
    checks.expect(
        all(one.status == 200 for one in received)
        and all(one.target != f't-{victim.host}' for one in received),
        'every later call was answered by another target',
    )

    print('4. a second version is accepted')
    before, at = await control_bytes(plan), time.monotonic()
    changed = work / 'second.yaml'
    changed.write_text(text.replace('deadline_ms: 2000', 'deadline_ms: 2500'))
    second = accept(plan, changed, 'longer deadlines')
    took = await in_force(plan, second, IN_FORCE_S)
    checks.expect(
        took >= 0, f'version {second} in force on every daemon in {took:.3f} s'
    )
    await asyncio.sleep(max(0.0, 3.0 - (time.monotonic() - at)))
    after, spent = await control_bytes(plan), time.monotonic() - at
    print(f'   control bytes of each daemon over {spent:.1f} s:')
    for host, total in sorted(after.items()):
        rate = (total - before[host]) / spent
        print(f'    {host}: {total - before[host]} B, {rate:.0f} B/s')
    head = await versions.read_head(
        operator.open_store((plan.store,), 2.0), plan.mesh
    )
    current = head.unwrap()
    checks.expect(
        current is not None and current.revision == second,
        'the store holds the second version',
    )
    print('5. one request seen over all processes')
    await tell_request(plan, public[0], checks)
    print(f'done in {time.monotonic() - began:.1f} s')
    return 1 if checks.failed else 0


if __name__ == '__main__':
    sys.exit(
        asyncio.run(
            drive(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))
        )
    )
