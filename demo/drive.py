"""Runs the demo as an operator and callers; checks the results."""

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

READY_TIMEOUT_S = 25.0
IN_FORCE_TIMEOUT_S = 4.0
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
class CallResult:
    """Response to a call, as its caller sees it."""

    service: str
    status: int
    outcome: str
    target: str
    ms: float


class Checks:
    """Prints the result of each check and collects the failed ones."""

    def __init__(self) -> None:
        self.failed: list[str] = []

    def expect(self, passed: bool, description: str) -> None:
        print(f'  [{"ok" if passed else "FAILED"}] {description}')
        if not passed:
            self.failed.append(description)


async def wait_until_in_force(
    plan: mesh.MeshPlan, revision: int, timeout_s: float
) -> float:
    """Return the seconds until all daemons have `revision`; -1 on timeout."""
    started_at = time.monotonic()
    addresses = tuple(host.admin for host in plan.hosts)
    while time.monotonic() - started_at < timeout_s:
        answers = await operator.fetch_pages(
            addresses, '/v1/status', models.DaemonStatus
        )
        pages = [answer.page for answer in answers]
        if all(
            isinstance(page, models.DaemonStatus)
            and page.revision >= revision
            and page.stage == 'ready'
            for page in pages
        ):
            return time.monotonic() - started_at
        await asyncio.sleep(0.02)
    return -1.0


async def wait_for_routes(
    plan: mesh.MeshPlan, public: list[str], targets: int
) -> bool:
    """Wait until every daemon has `targets` targets of `public` services.

    Internal services do not count: only daemons whose services depend on
    them have them.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    addresses = tuple(host.admin for host in plan.hosts)
    while time.monotonic() < deadline:
        answers = await operator.fetch_pages(
            addresses, '/v1/status', models.DaemonStatus
        )
        if {count_targets(answer, public) for answer in answers} == {targets}:
            return True
        await asyncio.sleep(0.05)
    return False


def count_targets(answer: operator.DaemonReply, services: list[str]) -> int:
    """Count targets of `services` in a daemon's table; -1 without answer."""
    if not isinstance(answer.page, models.DaemonStatus):
        return -1
    return sum(
        len(route.endpoints)
        for route in answer.page.routes
        if route.service in services
    )


async def send_call(
    client: httpclient.AsyncHTTPClient,
    host: mesh.PlannedHost,
    service: str,
    method: str,
    key: str,
) -> CallResult:
    started_at = time.monotonic()
    response = await client.fetch(
        f'http://{host.caller}/bonds/17',
        method=method,
        headers={'Host': service, 'Idempotency-Key': key},
        body='amount=1' if method == 'POST' else None,
        raise_error=False,
        request_timeout=12,
    )
    return CallResult(
        service,
        response.code,
        response.headers.get('Peridot-Outcome', 'answered'),
        response.headers.get('Standin-Target', '-'),
        (time.monotonic() - started_at) * 1000,
    )


def public_services(document: str) -> list[str]:
    """Return the services that external callers may call."""
    spec = operator.parse_mesh(document, 'text')
    return [
        name for name, service in spec.services.items() if not service.internal
    ]


async def send_calls(plan: mesh.MeshPlan, document: str) -> list[CallResult]:
    """Send reads and writes to the daemons, round robin."""
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=20)
    spec = operator.parse_mesh(document, 'text')
    services = public_services(document)
    randomness = random.Random()
    pending_calls = []
    for number in range(CALLS):
        service = services[number % len(services)]
        method = 'GET' if spec.services[service].idempotent else 'POST'
        host = plan.hosts[number % len(plan.hosts)]
        key = idempotency.generate_key(
            time.time_ns() // 1_000_000, randomness
        ).text
        pending_calls.append(send_call(client, host, service, method, key))
    try:
        return await asyncio.gather(*pending_calls)
    finally:
        client.close()


def print_results(results: list[CallResult]) -> None:
    rows = collections.Counter(
        (result.service, result.status, result.outcome) for result in results
    )
    for (service, status, outcome), count in sorted(rows.items()):
        print(f'    {service}: {count} x {status} {outcome}')


async def print_request_timeline(
    plan: mesh.MeshPlan, service: str, checks: Checks
) -> None:
    """Send one call and print its events from all daemons, by time."""
    request_id = uuid.uuid4().hex[:16]
    client = httpclient.AsyncHTTPClient(force_instance=True)
    await client.fetch(
        f'http://{plan.hosts[-1].caller}/',
        headers={'Host': service, 'Peridot-Request-Id': request_id},
        raise_error=False,
    )
    client.close()
    answers = await operator.fetch_pages(
        tuple(host.admin for host in plan.hosts),
        f'/v1/timeline?request_id={request_id}',
        models.TimelineResponse,
    )
    events = [
        event
        for answer in answers
        if isinstance(answer.page, models.TimelineResponse)
        for event in answer.page.events
    ]
    for event in sorted(events, key=lambda event: event.at):
        print(f'    {event.at:.4f} {event.host} {event.kind} {event.detail}')
    checks.expect(
        any(event.kind == 'call.dispatched' for event in events),
        'the timeline shows where the request ran',
    )


def accept_document(plan: mesh.MeshPlan, file: pathlib.Path, note: str) -> int:
    """Accept a mesh document by peridotctl; return its version."""
    completed = subprocess.run(
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
    if completed.returncode:
        raise SystemExit(
            f'accept failed: {completed.stdout}{completed.stderr}'
        )
    return int(json.loads(completed.stdout)['revision'])


async def fetch_control_bytes(plan: mesh.MeshPlan) -> dict[str, int]:
    answers = await operator.fetch_pages(
        tuple(host.admin for host in plan.hosts),
        '/v1/counters',
        models.CountersResponse,
    )
    return {
        answer.page.host: sum(
            answer.page.totals.get(name, 0) for name in CONTROL_COUNTERS
        )
        for answer in answers
        if isinstance(answer.page, models.CountersResponse)
    }


async def run_demo(
    directory: pathlib.Path, document_file: pathlib.Path
) -> int:
    plan = mesh.load_plan(directory / 'plan.json')
    document = document_file.read_text()
    checks = Checks()
    started_at = time.monotonic()

    print(f'1. {len(plan.hosts)} daemons start; the mesh document is accepted')
    ready_s = await wait_until_in_force(plan, 0, READY_TIMEOUT_S)
    checks.expect(ready_s >= 0, f'all daemons ready after {ready_s:.2f} s')
    first = accept_document(plan, document_file, 'first version')
    delay_s = await wait_until_in_force(plan, first, IN_FORCE_TIMEOUT_S)
    checks.expect(
        delay_s >= 0,
        f'version {first} in force on every daemon in {delay_s:.3f} s',
    )
    public = public_services(document)
    target_count = sum(host.service in public for host in plan.hosts)
    has_routes = await wait_for_routes(plan, public, target_count)
    checks.expect(has_routes, f'every daemon routes to {target_count} targets')

    print('2. calls through every daemon')
    results = await send_calls(plan, document)
    print_results(results)
    checks.expect(
        all(result.status == 200 for result in results),
        'every call was answered',
    )

    killed_host = plan.hosts[0]
    print(f'3. the target of {killed_host.host} is killed during calls')
    pid = int((directory / f'target-{killed_host.host}.pid').read_text())
    (directory / f'target-{killed_host.host}.killed').touch()
    os.kill(pid, signal.SIGKILL)
    results = await send_calls(plan, document)
    print_results(results)
    checks.expect(
        all(
            result.status == 200 or result.outcome in ('not-run', 'unknown')
            for result in results
        ),
        'every call was answered or ended as not-run or unknown',
    )
    has_routes = await wait_for_routes(plan, public, target_count - 1)
    checks.expect(has_routes, 'no daemon routes to the killed target any more')
    results = await send_calls(plan, document)
    checks.expect(
        all(result.status == 200 for result in results)
        and all(
            result.target != f't-{killed_host.host}' for result in results
        ),
        'every later call was answered by another target',
    )

    print('4. a second version is accepted')
    before, measured_at = await fetch_control_bytes(plan), time.monotonic()
    changed = directory / 'second.yaml'
    changed.write_text(
        document.replace('deadline_ms: 2000', 'deadline_ms: 2500')
    )
    second = accept_document(plan, changed, 'longer deadlines')
    delay_s = await wait_until_in_force(plan, second, IN_FORCE_TIMEOUT_S)
    checks.expect(
        delay_s >= 0,
        f'version {second} in force on every daemon in {delay_s:.3f} s',
    )
    await asyncio.sleep(max(0.0, 3.0 - (time.monotonic() - measured_at)))
    after, elapsed_s = (
        await fetch_control_bytes(plan),
        time.monotonic() - measured_at,
    )
    print(f'   control bytes of each daemon over {elapsed_s:.1f} s:')
    for host, total in sorted(after.items()):
        rate = (total - before[host]) / elapsed_s
        print(f'    {host}: {total - before[host]} B, {rate:.0f} B/s')
    head = await versions.read_head(
        operator.open_store((plan.store,), 2.0), plan.mesh
    )
    current = head.unwrap()
    checks.expect(
        current is not None and current.revision == second,
        'the store holds the second version',
    )
    print('5. timeline of one request over all processes')
    await print_request_timeline(plan, public[0], checks)
    print(f'done in {time.monotonic() - started_at:.1f} s')
    return 1 if checks.failed else 0


if __name__ == '__main__':
    sys.exit(
        asyncio.run(
            run_demo(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))
        )
    )
