"""Measures what ``peridot-proxy`` costs: idle, and for each call.

Real processes on loopback: an ingress without targets of the service, and
a guard with one.  Calls come at an even rate; processor time is read from
the kernel's accounts of each process, before and after.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import tempfile
import time

import click

from peridotpost.load import histogram
from testing import proxies
from testing.soak import hosts
from testing.soak import records
from testing.soak import run as runs
from testing.standins import kv as kv_standin

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
MB = 1_000_000
SETTLE_S = 3.0
CALLERS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A process's account: processor seconds, resident bytes."""

    cpu_s: float
    resident: int


def usage(pid: int) -> Usage:
    """Read a process's account from the kernel."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    pages = pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1]
    return Usage(
        (int(user) + int(system)) / TICKS_PER_S, int(pages) * PAGE_BYTES
    )


def _pid(host: hosts.Host) -> int:
    assert host.daemon is not None
    return host.daemon.pid


async def _load(
    address: str, port: int, calls_per_s: float, seconds: float
) -> histogram.Histogram:
    """Send calls at an even rate over a few connections; return times."""
    times = histogram.Histogram()

    async def caller(index: int) -> None:
        reader, writer = await asyncio.open_connection(
            address, port, local_addr=(address, 0)
        )
        one = proxies.Caller(reader, writer)
        pause_s = CALLERS / calls_per_s
        next_at = time.monotonic() + pause_s * index / CALLERS
        end = time.monotonic() + seconds
        number = 0
        while next_at < end:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            started = time.monotonic()
            answer = await one.ask('/read/ok', attempt=f'b{index}-{number}')
            assert answer.status == 200, answer
            times.add(time.monotonic() - started)
            number += 1
            next_at += pause_s
        writer.close()

    await asyncio.gather(*(caller(index) for index in range(CALLERS)))
    return times


async def measure(calls_per_s: float, seconds: float) -> dict[str, object]:
    """Return the figures of one run."""
    kv = kv_standin.Kv()
    seen = records.Records()
    found: dict[str, object] = {
        'calls_per_s': calls_per_s,
        'seconds': seconds,
        'load_average': os.getloadavg(),
    }
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        store = await stack.enter_async_context(kv_standin.serving(kv))
        await kv.configure(proxies.config(1))
        places = [
            hosts.Place(name, runs.network(), number, 'a', service, folder)
            for number, (name, service) in enumerate(
                (('ingress', 'vault'), ('guard', 'register')), start=1
            )
        ]
        ingress, guard = [
            await stack.enter_async_context(hosts.running(place, store, seen))
            for place in places
        ]
        await asyncio.sleep(SETTLE_S)
        idle = {
            name: usage(_pid(host)) for name, host in _named(ingress, guard)
        }
        await asyncio.sleep(seconds)
        for name, host in _named(ingress, guard):
            now = usage(_pid(host))
            found[f'idle_{name}_core_share'] = round(
                (now.cpu_s - idle[name].cpu_s) / seconds, 5
            )
            found[f'idle_{name}_mb'] = round(now.resident / MB, 1)
        ways = (
            ('direct', guard.place.behind, hosts.TARGET),
            ('same_host', guard.place.address, hosts.REQUESTS),
            ('across', ingress.place.address, hosts.REQUESTS),
        )
        for way, address, port in ways:
            found |= await _one_way(
                way, address, port, ingress, guard, calls_per_s, seconds
            )
    return found


def _named(
    ingress: hosts.Host, guard: hosts.Host
) -> tuple[tuple[str, hosts.Host], ...]:
    return (('ingress', ingress), ('guard', guard))


async def _one_way(
    way: str,
    address: str,
    port: int,
    ingress: hosts.Host,
    guard: hosts.Host,
    calls_per_s: float,
    seconds: float,
) -> dict[str, object]:
    before = {name: usage(_pid(one)) for name, one in _named(ingress, guard)}
    times = await _load(address, port, calls_per_s, seconds)
    shown: dict[str, object] = {
        f'{way}_calls': times.count,
        f'{way}_p50_ms': round(times.quantile(0.5) * 1000, 3),
        f'{way}_p99_ms': round(times.quantile(0.99) * 1000, 3),
    }
    for name, one in _named(ingress, guard):
        spent = usage(_pid(one)).cpu_s - before[name].cpu_s
        shown[f'{way}_{name}_ms_a_call'] = round(spent / times.count * 1000, 3)
    return shown


@click.command(epilog='Example: python -m bench.proxy_path --rate 100')
@click.option('--rate', default=100.0, help='Calls a second.')
@click.option('--seconds', default=10.0, help='For each way.')
@click.option(
    '--out',
    default='bench/results/proxy-path.json',
    type=click.Path(path_type=pathlib.Path),
)
def main(rate: float, seconds: float, out: pathlib.Path) -> None:
    """Measure, print, and write the figures."""
    found = asyncio.run(measure(rate, seconds))
    out.write_text(json.dumps(found, indent=1) + '\n')
    for name in found:
        click.echo(f'{name}: {found[name]}')


if __name__ == '__main__':
    main()
