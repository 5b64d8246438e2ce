"""Runs the soak for one seed and evaluates the records."""

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
from testing.soak import customer_invariants
from testing.soak import customers
from testing.soak import faults
from testing.soak import hosts
from testing.soak import invariants
from testing.soak import large_bodies
from testing.soak import memory
from testing.soak import plan
from testing.soak import records
from testing.soak import worker_program
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
MAX_STALL_CPU_SHARE = 0.5
"""A stall during which the daemon used CPU time for more than this share is
a fault of the daemon, not a lack of CPU time on the machine."""
STALL_CHECK_INTERVAL_S, STALL_THRESHOLD_S = 0.05, 0.25
"""The soak checks its own clock at this interval.  If a wake-up is later than
the threshold, the machine gave it no CPU time, and the processes under test
may have had none either."""
RECOVERY_PHASE_S = invariants.RECOVERY_S + 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """The outcome of a run.

    :param broken: violated invariants.
    """

    seed: int
    faults: int
    asked: int
    answered: int
    served: int
    broken: list[invariants.Violation]


def loopback_network() -> str:
    """Return a loopback network derived from the process id.

    Concurrent runs on one machine use different networks.
    """
    pid = os.getpid()
    return f'127.{1 + pid // 250 % 250}.{1 + pid % 250}'


async def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    fleet_faults: bool = False,
    statements: bool = False,
    with_customers: bool = False,
    with_large_bodies: bool = False,
    with_bad_answers: bool = False,
) -> RunResult:
    """Run a seed; the logs of the processes are written to `folder`.

    :param fleet_faults: inject ``plan.generate_fleet_faults`` as well.
    :param statements: targets also state limits and that they leave; see
        ``plan.generate_statement_faults``.
    :param with_customers: the configuration has customers; see
        ``plan.generate_customer_changes``.
    :param with_large_bodies: some messages are as large as allowed, some
        callers read slowly, and daemons have little memory.
    :param with_bad_answers: targets also give ``callers.BAD_ANSWERS``.
    """
    # Targets inherit these dispositions.  Without them, a target that is
    # signalled to shed before it has installed its handlers would exit.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.signal(signal.SIGUSR2, signal.SIG_IGN)
    for number in worker_program.LIMIT_BY_SIGNAL:
        signal.signal(number, signal.SIG_IGN)
    folder.mkdir(parents=True, exist_ok=True)
    observed = records.Records()
    kv = kv_standin.KvStore()
    shared = callers.SharedState()
    shared.large_bodies = with_large_bodies
    shared.bad_answers = with_bad_answers
    names = [f'h{number}' for number in range(1, len(LAYOUT) + 1)]
    fault_plan = plan.generate_faults(seed, seconds, names)
    if fleet_faults:
        fault_plan += plan.generate_fleet_faults(seed, seconds, names)
    if statements:
        fault_plan += plan.generate_statement_faults(seed, seconds, names)
    if with_customers:
        fault_plan += plan.generate_customer_changes(seed, seconds)
        shared.customers = customers.Customers()
        observed.customer_versions = shared.customers.versions
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(kv_standin.serving(kv))
        fleet: dict[str, hosts.Host] = {}
        env = faults.Environment(fleet, kv, observed, shared)
        await env.publish_next_version()
        for spec in _host_specs(names, folder, statements, with_large_bodies):
            fleet[spec.name] = await stack.enter_async_context(
                hosts.running(spec, store, observed)
            )
        sampler = memory.MemorySampler(fleet)
        sampling = asyncio.ensure_future(sampler.run())
        await _run_faults(seed, fault_plan, env)
        await tasks.cancel_and_wait(sampling)
    for host in fleet.values():
        host.load_target_notes()
        observed.disruptions += _stalls_without_cpu(host)
    result = _evaluate(seed, fault_plan, observed, folder)
    if with_large_bodies:
        result.broken.extend(sampler.violations())
    _write_records(result, observed, fault_plan, folder)
    return result


def _stalls_without_cpu(host: hosts.Host) -> Iterator[records.Disruption]:
    """Yield the stalls in a daemon's log during which it got no CPU time.

    A stall in which the daemon itself was busy is no disruption.
    """
    boot_offset_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    path = host.spec.folder / f'{host.spec.name}.log'
    for line in path.read_text().splitlines():
        if '"event":"stalled"' not in line:
            continue
        entry = json.loads(line)
        if entry['cpu_ms'] > MAX_STALL_CPU_SHARE * entry['late_ms']:
            continue
        end = entry['boot_s'] - boot_offset_s
        yield records.Disruption(
            end - entry['late_ms'] / 1000, end, host.spec.name, 'no CPU time'
        )


def _host_specs(
    names: list[str],
    folder: pathlib.Path,
    statements: bool,
    with_large_bodies: bool,
) -> list[hosts.HostSpec]:
    memory_mb = large_bodies.MEMORY_MB if with_large_bodies else 256
    return [
        hosts.HostSpec(
            name,
            loopback_network(),
            number,
            zone,
            service,
            folder,
            targets_state_leaving=statements,
            memory_mb=memory_mb,
        )
        for number, (name, (zone, service)) in enumerate(
            zip(names, LAYOUT, strict=True), start=1
        )
    ]


async def _run_faults(
    seed: int, fault_plan: list[plan.Fault], env: faults.Environment
) -> None:
    stop = asyncio.Event()
    request_numbers = itertools.count(1)
    start = time.monotonic() + WARM_UP_S
    env.observed.disruptions.append(
        records.Disruption(0.0, start, '', 'warm-up')
    )
    caller_tasks = [
        asyncio.ensure_future(
            callers.Caller(
                host.spec,
                env.observed,
                env.shared,
                random.Random(f'{seed} {name} {index}'),
                request_numbers,
                large_bodies.LargeBodies(
                    random.Random(f'{seed} {name} {index} sizes')
                )
                if env.shared.large_bodies
                else None,
                random.Random(f'{seed} {name} {index} answers')
                if env.shared.bad_answers
                else None,
            ).run_until(stop)
        )
        for name, host in env.fleet.items()
        for index in range(CALLERS_PER_HOST)
    ]
    stall_recorder = asyncio.ensure_future(
        _record_own_stalls(env.observed, [*env.fleet])
    )
    async with asyncio.TaskGroup() as group:
        for fault in fault_plan:
            group.create_task(_inject_at(start, fault, env))
    env.observed.faults_ended_at = time.monotonic()
    await asyncio.sleep(RECOVERY_PHASE_S)
    stop.set()
    await asyncio.gather(*caller_tasks)
    await tasks.cancel_and_wait(stall_recorder)
    env.observed.ended = time.monotonic()


async def _record_own_stalls(
    observed: records.Records, names: list[str]
) -> None:
    """Record stalls of the soak process as disruptions of all hosts."""
    last = time.monotonic()
    while not tasks.cancelled():
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)
        now = time.monotonic()
        if now - last > STALL_THRESHOLD_S:
            observed.disruptions += [
                records.Disruption(last, now, name, 'soak process stalled')
                for name in names
            ]
        last = now


async def _inject_at(
    start: float, fault: plan.Fault, env: faults.Environment
) -> None:
    await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
    await faults.inject(fault, env)


def _evaluate(
    seed: int,
    fault_plan: list[plan.Fault],
    observed: records.Records,
    folder: pathlib.Path,
) -> RunResult:
    broken = invariants.check(observed)
    broken += customer_invariants.check(observed)
    broken += _find_unhandled_exceptions(folder)
    return RunResult(
        seed,
        len(fault_plan),
        len(observed.requests),
        sum(
            one.ending is records.Ending.ANSWERED for one in observed.requests
        ),
        sum(one.status == 200 for one in observed.requests),
        broken,
    )


def _find_unhandled_exceptions(
    folder: pathlib.Path,
) -> list[invariants.Violation]:
    """Return a violation for each log with a line that is not JSON.

    The traceback of an unhandled exception appears only there.
    """
    violations = []
    for path in sorted(folder.glob('h?.log')):
        for line in path.read_text().splitlines():
            if not line.startswith('{'):
                violations.append(
                    invariants.Violation(
                        'no exception goes unhandled', 0.0, f'{path}: {line}'
                    )
                )
                break
    return violations


def _write_records(
    result: RunResult,
    observed: records.Records,
    fault_plan: list[plan.Fault],
    folder: pathlib.Path,
) -> None:
    """Write all records to a file beside the logs."""
    content = {
        'verdict': dataclasses.asdict(result),
        'faults': [[type(one).__name__, repr(one)] for one in fault_plan],
        'disruptions': [
            dataclasses.asdict(one) for one in observed.disruptions
        ],
        'asked': [repr(one) for one in observed.requests],
        'left': [dataclasses.asdict(one) for one in observed.drain_acks],
        'versions': observed.versions,
        'customers': [
            dataclasses.asdict(one) for one in observed.customer_versions
        ],
    }
    (folder / 'seen.json').write_text(json.dumps(content, indent=1))
