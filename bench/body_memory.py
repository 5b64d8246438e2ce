"""Measures the resident memory of ``peridot-proxy`` under large messages.

For each scenario it starts an ingress without targets of the service and a
guard with one, sends large messages at once, and reads from /proc the most
memory that each process had and what it has at the end, while the callers'
connections are still open.  One more caller sends small requests meanwhile.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import tempfile
import time

import click

from bench import json_output
from testing import proxies
from testing.soak import hosts
from testing.soak import records
from testing.soak import run as runs
from testing.standins import kv as kv_standin

MB = 1_000_000
KB_IN_MB = 1000
SETTLE_S = 2.0
RUN_MS = 300
DEADLINE_MS = 5000
SLOW_READER_PAUSE_S = 1.0
SMALL_REQUEST_PAUSE_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Messages that are sent at once, each on a connection of its own.

    :param across: whether another host's target runs the requests.
    :param slow: whether callers wait before they read their responses.
    """

    name: str
    count: int
    request_bytes: int = 0
    response_bytes: int = 0
    across: bool = False
    slow: bool = False


SCENARIOS = (
    Scenario('one upload', 1, 20 * MB),
    Scenario('4 uploads', 4, 20 * MB),
    Scenario('8 uploads', 8, 20 * MB),
    Scenario('16 uploads', 16, 20 * MB),
    Scenario('5 uploads of 60 MB', 5, 60 * MB),
    Scenario('16 uploads to another host', 16, 20 * MB, across=True),
    Scenario('16 responses', 16, 0, 20 * MB),
    Scenario('16 responses of another host', 16, 0, 20 * MB, across=True),
    Scenario('16 responses, slow readers', 16, 0, 20 * MB, slow=True),
    Scenario('3 uploads, large responses', 3, 20 * MB, 20 * MB, across=True),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a scenario took; memory in kB.

    :param statuses: number of responses by status; 0 is none.
    """

    scenario: str
    ingress_peak_kb: int
    ingress_end_kb: int
    guard_peak_kb: int
    guard_end_kb: int
    statuses: dict[int, int]
    small_served: int
    small_failed: int


def read_memory_kb(pid: int) -> tuple[int, int]:
    """Return the most memory that a process had, and what it has."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    fields = dict(line.split(':', 1) for line in lines)
    return int(fields['VmHWM'].split()[0]), int(fields['VmRSS'].split()[0])


async def measure(scenario: Scenario) -> Result:
    """Play a scenario with processes of its own."""
    kv_store = kv_standin.KvStore()
    run_records = records.Records()
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        store = await stack.enter_async_context(kv_standin.serving(kv_store))
        limits = {'maxHeaderBytes': 16_384, 'maxBodyBytes': 67_108_864}
        await kv_store.configure(proxies.config(1, limits=limits))
        ingress, guard = [
            await stack.enter_async_context(
                hosts.running(
                    hosts.HostSpec(
                        name,
                        runs.loopback_network(),
                        number,
                        'a',
                        service,
                        folder,
                    ),
                    store,
                    run_records,
                )
            )
            for number, (name, service) in enumerate(
                (('ingress', 'vault'), ('guard', 'register')), start=1
            )
        ]
        await asyncio.sleep(SETTLE_S)
        address = (ingress if scenario.across else guard).spec.address
        ended = asyncio.Event()
        small = asyncio.ensure_future(_send_small_requests(address, ended))
        statuses: collections.Counter[int] = collections.Counter()
        connections = await asyncio.gather(
            *(
                _send_large(address, scenario, number, statuses)
                for number in range(scenario.count)
            )
        )
        ended.set()
        served, failed = await small
        assert ingress.daemon is not None and guard.daemon is not None
        memory_kb = (
            *read_memory_kb(ingress.daemon.pid),
            *read_memory_kb(guard.daemon.pid),
        )
        for connection in connections:
            connection.writer.close()
    return Result(scenario.name, *memory_kb, dict(statuses), served, failed)


async def _connect(address: str) -> proxies.Caller:
    reader, writer = await asyncio.open_connection(
        address, hosts.REQUESTS_PORT, local_addr=(address, 0)
    )
    return proxies.Caller(reader, writer)


async def _send_large(
    address: str,
    scenario: Scenario,
    number: int,
    statuses: collections.Counter[int],
) -> proxies.Caller:
    """Send one request; its connection is still open on return."""
    caller = await _connect(address)
    action = 'work'
    query = f'ms={RUN_MS}'
    if scenario.response_bytes:
        action, query = 'sized', f'size={scenario.response_bytes}'
    caller.send(
        f'/write/{action}?{query}',
        'PUT',
        f'large-{number}',
        b'u' * scenario.request_bytes or b'u',
        X_Deadline_Remaining_Ms=str(DEADLINE_MS),
    )
    if scenario.slow:
        await asyncio.sleep(SLOW_READER_PAUSE_S)
    status = 0
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        status = (await caller.receive()).status
    statuses[status] += 1
    return caller


async def _send_small_requests(
    address: str, ended: asyncio.Event
) -> tuple[int, int]:
    """Send small requests; return how many were served and how many not."""
    caller = await _connect(address)
    statuses: collections.Counter[int] = collections.Counter()
    while not ended.is_set():
        answer = await caller.ask(
            '/read/ok', attempt=f'small-{time.monotonic_ns()}'
        )
        statuses[answer.status] += 1
        await asyncio.sleep(SMALL_REQUEST_PAUSE_S)
    caller.writer.close()
    return statuses[200], statuses.total() - statuses[200]


@click.command(epilog='Example: python -m bench.body_memory --only uploads')
@click.option('--only', default='', help='Part of the scenarios to play.')
@click.option('--output', type=click.Path(path_type=pathlib.Path))
def main(only: str, output: pathlib.Path | None) -> None:
    """Play the scenarios one after the other and print what they took."""
    results = [
        dataclasses.asdict(asyncio.run(measure(scenario)))
        for scenario in SCENARIOS
        if only in scenario.name
    ]
    json_output.write_result(results, output)


if __name__ == '__main__':
    main()
