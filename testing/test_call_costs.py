"""What a call costs in counts that do not depend on the machine.

Processor time goes with writes (each a system call), tasks and timers; a
change that adds one to each call shows here, on any machine, also a busy
one.
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
    """What was counted over all calls."""

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


def _protocols(host: proxies.Host) -> Iterator[Any]:
    """Yield all connections that a call may go over."""
    yield from host.proxy.requests.connections
    yield from host.proxy.directory.streams()
    yield from host.proxy.guard.idle.connections


@contextlib.contextmanager
def counted(hosts: Iterable[proxies.Host]) -> Iterator[Costs]:
    """Count what the proxies do while the context is open."""
    costs = Costs()
    loop = asyncio.get_running_loop()
    wrapped = [one for host in hosts for one in _protocols(host)]
    for one in wrapped:
        one.transport = CountingTransport(one.transport, costs)

    def factory(
        running: asyncio.AbstractEventLoop, work: Any, **given: Any
    ) -> 'asyncio.Task[Any]':
        costs.tasks += 1
        return asyncio.Task(work, loop=running, **given)

    loop.set_task_factory(factory)
    try:
        yield costs
    finally:
        loop.set_task_factory(None)
        for one in wrapped:
            if isinstance(one.transport, CountingTransport):
                one.transport = one.transport.transport


async def _costs_of_calls(across: bool) -> Costs:
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        first = await mesh.add('a', service='vault' if across else 'register')
        hosts = [first]
        if across:
            hosts.append(await mesh.add('b'))
        for host in hosts:
            await host.announce()
        await mesh.ready()
        async with first.caller() as caller:
            # Opens the connection to the target.
            assert (await caller.ask('/read/ok')).status == 200
            with counted(hosts) as costs:
                for number in range(CALLS):
                    answer = await caller.ask('/read/ok', attempt=f'n{number}')
                    assert answer.status == 200
    return costs


@pytest.mark.parametrize(
    ('across', 'writes'),
    [
        pytest.param(False, WRITES_ON_ONE_HOST, id='on one host'),
        pytest.param(True, WRITES_ACROSS_HOSTS, id='across hosts'),
    ],
)
async def test_a_call_costs_one_write_a_leg_and_no_task(
    across: bool, writes: int
) -> None:
    costs = await _costs_of_calls(across)
    # A ping or a renewal may fall into the calls; none comes with each.
    assert costs.writes <= CALLS * writes + CALLS // 4
    assert costs.tasks <= CALLS // 4
