"""Costs of a call, in counts that do not depend on the machine.

CPU time grows with writes (each a system call), tasks and timers.  A change
that adds a write or a task to each call fails here, even on a busy machine.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
from typing import Any

import pytest

from testing import proxies

CALLS = 40
WRITES_ON_ONE_HOST = 2
"""To the target, and to the caller."""
WRITES_ACROSS_HOSTS = 4
"""To the peer, to the target, back to the peer, to the caller."""


@dataclasses.dataclass(slots=True)
class Costs:
    """Counts over all calls."""

    writes: int = 0
    tasks: int = 0


class CountingTransport:
    """Counts the writes of one transport."""

    def __init__(self, transport: Any, costs: Costs) -> None:
        self.transport = transport
        self.costs = costs

    def write(self, data: bytes) -> None:
        self.costs.writes += 1
        self.transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


def _connections(host: proxies.Host) -> Iterator[Any]:
    """Yield all connections that a call may use."""
    yield from host.proxy.requests.connections
    yield from host.proxy.directory.streams()
    yield from host.proxy.guard.idle.connections


@contextlib.contextmanager
def counting_costs(hosts: Iterable[proxies.Host]) -> Iterator[Costs]:
    """Count the writes and tasks of the proxies within the context."""
    costs = Costs()
    loop = asyncio.get_running_loop()
    connections = [one for host in hosts for one in _connections(host)]
    for one in connections:
        one.transport = CountingTransport(one.transport, costs)

    def factory(
        running: asyncio.AbstractEventLoop, coroutine: Any, **kwargs: Any
    ) -> 'asyncio.Task[Any]':
        costs.tasks += 1
        return asyncio.Task(coroutine, loop=running, **kwargs)

    loop.set_task_factory(factory)
    try:
        yield costs
    finally:
        loop.set_task_factory(None)
        for one in connections:
            if isinstance(one.transport, CountingTransport):
                one.transport = one.transport.transport


async def _costs_of_calls(across_hosts: bool) -> Costs:
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        first = await mesh.add(
            'a', service='vault' if across_hosts else 'register'
        )
        hosts = [first]
        if across_hosts:
            hosts.append(await mesh.add('b'))
        for host in hosts:
            await host.announce()
        await mesh.wait_ready()
        async with first.caller() as caller:
            # Opens the connection to the target.
            assert (await caller.ask('/read/ok')).status == 200
            with counting_costs(hosts) as costs:
                for number in range(CALLS):
                    answer = await caller.ask('/read/ok', attempt=f'n{number}')
                    assert answer.status == 200
    return costs


@pytest.mark.parametrize(
    ('across_hosts', 'writes'),
    [
        pytest.param(False, WRITES_ON_ONE_HOST, id='on one host'),
        pytest.param(True, WRITES_ACROSS_HOSTS, id='across hosts'),
    ],
)
async def test_call_costs_one_write_per_hop_and_no_task(
    across_hosts: bool, writes: int
) -> None:
    costs = await _costs_of_calls(across_hosts)
    # Pings and lease renewals may coincide with calls, but only with a few.
    assert costs.writes <= CALLS * writes + CALLS // 4
    assert costs.tasks <= CALLS // 4
