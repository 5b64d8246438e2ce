"""Invariants on customers: their keys, names and quotas."""

import bisect
import collections
from collections.abc import Iterator
import math

from testing.soak import customers
from testing.soak import invariants
from testing.soak import records

VERSION_APPLY_S = invariants.VERSION_APPLY_S
Violation = invariants.Violation
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
"""In any window, at most ``(rate * WINDOW_S + burst) * (1 + OVERSHOOT) +
SLACK`` requests of a customer run; here, the burst equals the rate."""
WRONG_REFUSAL_SHARE = 1 / 1000
"""Share of the requests of a customer below its quota that may get 429."""


class CustomerHistory(invariants.History):
    """Records of a run with customers."""

    def __init__(self, observed: records.Records) -> None:
        super().__init__(observed)
        self.versions = observed.customer_versions
        self.spans = customers.key_spans(self.versions)
        self.hosts = {one.host for one in observed.requests}

    def possible_names(self, request: records.Asked) -> set[str]:
        """Return the names under which a request may run; '' is without."""
        needs_key = not (
            request.is_call or request.target.startswith('/open/')
        )
        without = set() if needs_key else {''}
        span = self.spans.get(request.key)
        if span is None:
            return without
        if self.is_undisrupted(request.host, request.sent, request.ended):
            if request.sent > span.removed + VERSION_APPLY_S:
                return without
            if self.is_settled(request):
                return {span.customer}
        return {span.customer} | without

    def is_settled(self, request: records.Asked) -> bool:
        """Whether its key was in force long before, and until it ended."""
        span = self.spans.get(request.key)
        return span is not None and (
            span.stored + VERSION_APPLY_S < request.sent
            and span.removed > request.ended
        )

    def is_running_call(self, request: records.Asked) -> bool:
        """Whether a run made it whose own caller still waited at its end."""
        parent = self.requests.get(request.attempt.rpartition('.')[0])
        return parent is not None and parent.ended > request.ended

    def known_at(self, host: str, at: float) -> float:
        """Return when a host was undisrupted for the first time since."""
        for one in sorted(
            self.observed.disruptions, key=lambda fault: fault.start
        ):
            if one.host in (host, '') and (
                one.start <= at + invariants.UNDISRUPTED_S
            ):
                at = max(at, one.end)
        return at + VERSION_APPLY_S


def check(observed: records.Records) -> Iterator[Violation]:
    """Yield all violations; without customers there are none."""
    if observed.customer_versions:
        history = CustomerHistory(observed)
        yield from _check_names(history)
        yield from _check_refusals(history)
        yield from _check_quotas(history)
        yield from _check_wrong_refusals(history)


def _check_names(history: CustomerHistory) -> Iterator[Violation]:
    for execution in history.observed.executions:
        request = history.requests.get(execution.attempt)
        if request is None:
            continue
        detail = f'{execution}, {request.key!r} sent at {request.sent:.2f}'
        if execution.saw_key:
            promise = 'a target never sees a key'
            yield Violation(promise, execution.at, detail)
        if execution.customer not in history.possible_names(request):
            promise = 'a request runs only for the holder of its key'
            yield Violation(promise, execution.at, detail)


def _check_refusals(history: CustomerHistory) -> Iterator[Violation]:
    for request in history.observed.requests:
        if request.status not in (401, 429) or request.proof:
            continue
        if history.runs[request.attempt]:
            promise = 'a request answered with 401 or 429 never runs'
            yield Violation(promise, request.ended, repr(request))
        if (
            request.status == 401
            and (
                history.is_running_call(request) or history.is_settled(request)
            )
            and history.is_undisrupted(
                request.host, request.sent, request.ended
            )
        ):
            promise = 'calls of runs and requests with valid keys get no 401'
            yield Violation(promise, request.ended, repr(request))


def _check_quotas(history: CustomerHistory) -> Iterator[Violation]:
    """Compare runs with the highest quota of the window and the one before.

    A quota is also in force while a disrupted host may not know its
    successor.
    """
    ends = [
        max(history.known_at(host, one.stored) for host in history.hosts)
        for one in history.versions[1:]
    ]
    spans = [*zip(history.versions, [*ends, math.inf], strict=True)]
    times: dict[str, list[float]] = collections.defaultdict(list)
    for runs in history.runs.values():
        if runs:
            times[runs[0].customer].append(min(one.at for one in runs))
    for name in customers.RATES:
        starts = sorted(times[name])
        for index, at in enumerate(starts):
            rate = max(
                version.rates[name]
                for version, end in spans
                if version.started <= at + WINDOW_S and end >= at - WINDOW_S
            )
            count = bisect.bisect_right(starts, at + WINDOW_S) - index
            allowed = rate * (WINDOW_S + 1) * (1 + OVERSHOOT) + SLACK
            if rate and count > allowed:
                detail = f'{name}: {count}, {allowed:.1f} allowed'
                yield Violation('runs stay within the quota', at, detail)
                break


def _check_wrong_refusals(history: CustomerHistory) -> Iterator[Violation]:
    """Count 429 of customers below their quota on an undisrupted fleet."""
    by_name: dict[str, list[records.Asked]] = collections.defaultdict(list)
    for request in history.observed.requests:
        if request.key in history.spans:
            by_name[history.spans[request.key].customer].append(request)
    for name, requests in by_name.items():
        requests.sort(key=lambda one: one.sent)
        sent = [one.sent for one in requests]
        below = []
        for index, request in enumerate(requests):
            # An owner that started within the window grants no burst.
            start = request.sent - WINDOW_S
            rate = min(
                one.rates[name]
                for one, next_one in zip(
                    history.versions,
                    [*history.versions[1:], None],
                    strict=True,
                )
                if one.started <= request.ended
                and (next_one is None or next_one.stored > start - WINDOW_S)
            )
            if index - bisect.bisect_left(sent, start) <= rate * WINDOW_S and (
                all(
                    history.is_undisrupted(host, start, request.ended)
                    for host in history.hosts
                )
            ):
                below.append(request)
        refused = [one for one in below if one.status == 429 and not one.proof]
        if len(refused) > max(1.0, len(below) * WRONG_REFUSAL_SHARE):
            yield Violation(
                'customers below their quota are not refused',
                refused[0].sent,
                f'{name}: {len(refused)} of {len(below)}, {refused[0]}',
            )
