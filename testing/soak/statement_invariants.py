"""Invariants on what targets state about themselves in responses."""

import bisect
from collections.abc import Iterator
import math

from testing.soak import records

LIMIT_SETTLE_S = 3.0
"""Time from the first statement of a limit until it holds."""
TOLD_SLACK_S = 0.5
"""A host is bound by a limit this long after it passed on an answer that
names it."""
WINDOW_S = 4.0
OVERSHOOT, EXTRA_REQUESTS = 1.5, 5
"""In any window, a target gets at most ``OVERSHOOT`` times what its limit
allows, and ``EXTRA_REQUESTS`` more."""
DRAIN_S = 2.0
"""Requests that callers sent this long after a host passed on an answer of a
leaving target don't reach it from that host."""
RESTARTS = ('kill', 'stop', 'pause', 'target and daemon', 'no CPU', 'soak')
"""Disruptions after which a host need not remember what it passed on."""


class Statements:
    """What targets stated, and which hosts passed it on."""

    def __init__(self, observed: records.Records) -> None:
        self.observed = observed
        self.requests = {one.attempt: one for one in observed.requests}
        self.processes = sorted(
            observed.target_processes, key=lambda one: one.started_at
        )

    def process_of(
        self, instance: str, at: float
    ) -> records.TargetProcess | None:
        """Return the process that used an instance id at a time."""
        started = [
            one
            for one in self.processes
            if one.instance == instance and one.started_at <= at
        ]
        return started[-1] if started else None

    def is_excused(
        self, host: str, start: float, end: float, cuts: bool
    ) -> bool:
        """Whether a host was restarted or frozen, or also cut off."""
        return any(
            one.host == host
            and one.start <= end
            and one.end >= start
            and (
                one.what.startswith(RESTARTS)
                or (cuts and one.what.startswith('peers'))
            )
            for one in self.observed.disruptions
        )

    def told_at(
        self,
        process: records.TargetProcess,
        host: str,
        since: float,
        leaving: bool,
    ) -> float:
        """Return when a host first passed on a statement of a process."""
        return min(
            (
                one.ended
                for one in self.observed.requests
                if one.host == host
                and one.proof == process.instance
                and one.ended >= since
                and (one.stated_leaving if leaving else one.stated_limit)
                and self.process_of(one.proof, one.ended) is process
            ),
            default=math.inf,
        )


def limit_violations(observed: records.Records) -> Iterator[tuple[float, str]]:
    """Yield the time and details of each limit that did not hold."""
    statements = Statements(observed)
    for process in statements.processes:
        ends = [at for at, _ in process.limits[1:]] + [math.inf]
        # Without limits there is one end too many.
        for (start, per_s), end in zip(process.limits, ends, strict=False):
            if per_s is None:
                continue
            times = _bound_arrivals(statements, process, start, end)
            allowed = OVERSHOOT * per_s * WINDOW_S + EXTRA_REQUESTS
            for index, at in enumerate(times):
                count = bisect.bisect_right(times, at + WINDOW_S) - index
                if count > allowed:
                    yield (
                        at,
                        f'{process.instance}: {count} requests in '
                        f'{WINDOW_S} s, limit {per_s}',
                    )
                    break


def _bound_arrivals(
    statements: Statements,
    process: records.TargetProcess,
    start: float,
    end: float,
) -> list[float]:
    """Return when requests of hosts that knew of a limit arrived."""
    told_by_host: dict[str, float] = {}
    times = []
    for execution in statements.observed.executions:
        request = statements.requests.get(execution.attempt)
        if request is None or execution.instance != process.instance:
            continue
        if not start + LIMIT_SETTLE_S <= execution.at <= end:
            continue
        if statements.process_of(execution.instance, execution.at) is not (
            process
        ):
            continue
        host = request.host
        if host not in told_by_host:
            told_by_host[host] = statements.told_at(
                process, host, start, leaving=False
            )
        told_at = told_by_host[host]
        if told_at + TOLD_SLACK_S > execution.at:
            continue
        if not statements.is_excused(host, told_at, execution.at, cuts=True):
            times.append(execution.at)
    return sorted(times)


def leaving_violations(
    observed: records.Records,
) -> Iterator[tuple[float, str]]:
    """Yield the time and details of requests to leaving targets."""
    statements = Statements(observed)
    told: dict[tuple[float, str], float] = {}
    for execution in observed.executions:
        request = statements.requests.get(execution.attempt)
        process = statements.process_of(execution.instance, execution.at)
        if request is None or process is None:
            continue
        key = (process.started_at, request.host)
        if key not in told:
            told[key] = statements.told_at(
                process, request.host, 0.0, leaving=True
            )
        if request.sent <= told[key] + DRAIN_S:
            continue
        if statements.is_excused(
            request.host, told[key], execution.at, cuts=False
        ):
            continue
        yield (
            execution.at,
            f'{execution.attempt} from {request.host} at '
            f'{execution.instance}, {request.sent - told[key]:.2f} s after',
        )
