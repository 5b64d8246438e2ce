"""One run of the soak, from its seed to its verdict."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import time

from peridotpost.kernel import tasks
from testing.soak import callers
from testing.soak import faults
from testing.soak import hosts
from testing.soak import plan
from testing.soak import promises
from testing.soak import records
from testing.standins import kv as kv_standin

LAYOUT = (
    ('a', 'register'),
    ('b', 'register'),
    ('a', 'register'),
    ('a', 'vault'),
    ('b', 'vault'),
)
"""Availability zone and service of each host."""
CALLERS_PER_HOST = 3
WARM_UP_S = 3.0
OWN_WORK_SHARE = 0.5
"""A stall with more processor time of its own than this part of it is the
daemon's own doing."""
TICK_S, STALL_S = 0.05, 0.25
"""The soak looks at its own clock so often; where it wakes later than by
``STALL_S``, the machine gave it no processor, nor can it have given any to
the processes under test with certainty."""
AFTERWARDS_S = promises.RECOVERY_S + 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What came out of a run.

    :param broken: empty if every promise was kept.
    """

    seed: int
    faults: int
    asked: int
    answered: int
    served: int
    broken: list[promises.Broken]


def network() -> str:
    """Return a loopback network that no other run of this machine uses."""
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{1 + pid % 250}'


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    fleet_faults: bool = False,
) -> Verdict:
    """Play a seed; the processes' logs stay in `folder`.

    :param fleet_faults: those of ``plan.draw_fleet`` as well.
    """
    # Targets inherit it; one that is told to shed before it listens to the
    # signal would end.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)
    folder.mkdir(parents=True, exist_ok=True)
    seen = records.Records()
    kv = kv_standin.Kv()
    newest = callers.Newest()
    names = [f'h{number}' for number in range(1, len(LAYOUT) + 1)]
    drawn = plan.draw(seed, seconds, names)
    if fleet_faults:
        drawn += plan.draw_fleet(seed, seconds, names)
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(kv_standin.serving(kv))
        fleet: dict[str, hosts.Host] = {}
        world = faults.World(fleet, kv, seen, newest)
        await world.configure()
        for place in _places(names, folder):
            fleet[place.name] = await stack.enter_async_context(
                hosts.running(place, store, seen)
            )
        await _play(seed, drawn, world)
    for host in fleet.values():
        host.read_notes()
        seen.disruptions += _stalls(host)
    verdict = _judge(seed, drawn, seen, folder)
    _write(verdict, seen, drawn, folder)
    return verdict


def _stalls(host: hosts.Host) -> Iterator[records.Disruption]:
    """Yield when a daemon got no processor, by its own account.

    One that was busy itself all the while is no disruption but a fault.
    """
    boot_offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    path = host.place.folder / f'{host.place.name}.log'
    for line in path.read_text().splitlines():
        if '"event":"stalled"' not in line:
            continue
        told = json.loads(line)
        if told['cpu_ms'] > OWN_WORK_SHARE * told['late_ms']:
            continue
        end = told['boot_s'] - boot_offset_s
        yield records.Disruption(
            end - told['late_ms'] / 1000, end, host.place.name, 'no processor'
        )


def _places(names: list[str], folder: pathlib.Path) -> list[hosts.Place]:
    return [
        hosts.Place(name, network(), number, zone, service, folder)
        for number, (name, (zone, service)) in enumerate(
            zip(names, LAYOUT, strict=True), start=1
        )
    ]


async def _play(
    seed: int, drawn: list[plan.Fault], world: faults.World
) -> None:
    stop = asyncio.Event()
    numbers = itertools.count(1)
    start = time.monotonic() + WARM_UP_S
    world.seen.disruptions.append(
        records.Disruption(0.0, start, '', 'warm-up')
    )
    calling = [
        asyncio.ensure_future(
            callers.Caller(
                host.place,
                world.seen,
                world.newest,
                random.Random(f'{seed} {name} {index}'),
                numbers,
            ).call_until(stop)
        )
        for name, host in world.fleet.items()
        for index in range(CALLERS_PER_HOST)
    ]
    noting = asyncio.ensure_future(_note_stalls(world.seen, [*world.fleet]))
    async with asyncio.TaskGroup() as group:
        for fault in drawn:
            group.create_task(_at(start, fault, world))
    world.seen.calm_from = time.monotonic()
    await asyncio.sleep(AFTERWARDS_S)
    stop.set()
    await asyncio.gather(*calling)
    await tasks.end(noting)
    world.seen.ended = time.monotonic()


async def _note_stalls(seen: records.Records, names: list[str]) -> None:
    """Note as a disruption of all hosts when the soak itself stood still."""
    last = time.monotonic()
    while not tasks.cancelled():
        await asyncio.sleep(TICK_S)
        now = time.monotonic()
        if now - last > STALL_S:
            seen.disruptions += [
                records.Disruption(last, now, name, 'soak stood still')
                for name in names
            ]
        last = now


async def _at(start: float, fault: plan.Fault, world: faults.World) -> None:
    await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
    await faults.inject(fault, world)


def _judge(
    seed: int,
    drawn: list[plan.Fault],
    seen: records.Records,
    folder: pathlib.Path,
) -> Verdict:
    broken = promises.check(seen)
    broken += _unexpected_output(folder)
    return Verdict(
        seed,
        len(drawn),
        len(seen.asked),
        sum(one.ending is records.Ending.ANSWERED for one in seen.asked),
        sum(one.status == 200 for one in seen.asked),
        broken,
    )


def _unexpected_output(folder: pathlib.Path) -> list[promises.Broken]:
    """Return a finding for each log with lines that are no log lines.

    An exception that nobody handled shows there, and nowhere else.
    """
    found = []
    for path in sorted(folder.glob('h?.log')):
        for line in path.read_text().splitlines():
            if not line.startswith('{'):
                found.append(
                    promises.Broken(
                        'no exception goes unhandled', 0.0, f'{path}: {line}'
                    )
                )
                break
    return found


def _write(
    verdict: Verdict,
    seen: records.Records,
    drawn: list[plan.Fault],
    folder: pathlib.Path,
) -> None:
    """Keep all that was seen beside the logs."""
    told = {
        'verdict': dataclasses.asdict(verdict),
        'faults': [[type(one).__name__, repr(one)] for one in drawn],
        'disruptions': [dataclasses.asdict(one) for one in seen.disruptions],
        'asked': [repr(one) for one in seen.asked],
        'left': [dataclasses.asdict(one) for one in seen.left],
        'versions': seen.versions,
    }
    (folder / 'seen.json').write_text(json.dumps(told, indent=1))
