"""Invariants of the product, checked against the records of a run.

Some hold always.  Others hold only for an undisrupted host: there was no
disruption of the host or the store in the last ``UNDISRUPTED_S``.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from testing.soak import customers
from testing.soak import records
from testing.soak import statement_invariants

UNDISRUPTED_S = 3.0
VERSION_APPLY_S = 2.0
"""Time until a version acknowledged by the store is in force everywhere."""
DRAIN_SLACK_S = 1.0
"""A guard sends nothing to a target once it has acknowledged the draining
state; requests sent before may take this long to pass a slow process."""
ANSWER_SLACK_S = 1.0
"""Delay of a response after its deadline that a busy machine may cause."""
REMAINING_SLACK_S = 0.5
"""Tolerance when comparing the remaining time that a target was given."""
RECOVERY_S = 8.0
"""Time after the last fault until the fleet serves as before."""
MIN_SERVED_SHARE = 0.95
MAX_RUNS = {records.Kind.IDEMPOTENT: 2, records.Kind.ONCE: 1}
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SERVICE_BY_PREFIX = {'other': 'vault'}
RETRY_RATIO, RETRY_BURST, RETRY_WINDOW_S = 0.2, 60, 10.0
"""In any window, a service gets at most this many retries per request, plus
the burst."""


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, with the case that shows it.

    :param promise: text of the invariant.
    """

    promise: str
    at: float
    detail: str


class History:
    """Records of a run, indexed for the checks."""

    def __init__(self, observed: records.Records) -> None:
        self.observed = observed
        self.runs: dict[str, list[records.Execution]] = (
            collections.defaultdict(list)
        )
        for execution in observed.executions:
            self.runs[execution.attempt].append(execution)
        self.requests = {one.attempt: one for one in observed.requests}

    def has_disruption(
        self, hosts: set[str], start: float, end: float, what: str = ''
    ) -> bool:
        """Whether a disruption starting with `what` overlaps the span."""
        return any(
            one.host in hosts
            and one.start <= end
            and one.end >= start
            and one.what.startswith(what)
            for one in self.observed.disruptions
        )

    def is_undisrupted(self, host: str, start: float, end: float) -> bool:
        return not self.has_disruption({host, ''}, start - UNDISRUPTED_S, end)


Check = Callable[[History], Iterator[Violation]]


def check(observed: records.Records) -> list[Violation]:
    """Return all violations, ordered by time."""
    history = History(observed)
    violations = [one for check in CHECKS for one in check(history)]
    return sorted(violations, key=lambda one: one.at)


def _check_responses_complete(history: History) -> Iterator[Violation]:
    for request in history.observed.requests:
        if request.ending is not records.Ending.ANSWERED:
            continue
        success = 200 <= request.status < 300
        if not success and not request.proof:
            continue
        executions = [
            execution
            for execution in history.runs[request.attempt]
            if execution.instance == request.proof
        ]
        failed = '/failed?' in request.target
        complete = any(
            execution.response_body == request.body.decode()
            for execution in executions
        )
        if not complete or success == failed:
            yield Violation(
                'responses are complete and come from a target',
                request.ended,
                f'{request.attempt} {request.target}: {request.status} by '
                f'{request.proof!r}, {request.body[:60]!r}',
            )


def _check_requests_unchanged(history: History) -> Iterator[Violation]:
    for execution in history.observed.executions:
        request = history.requests.get(execution.attempt)
        sent_request = request and (
            request.method,
            request.target,
            request.digest,
        )
        if sent_request != (
            execution.method,
            execution.target,
            execution.digest,
        ):
            yield Violation(
                'targets run requests as callers sent them',
                execution.at,
                f'{execution.instance}: {execution.attempt} '
                f'{execution.method} {execution.target}',
            )


def _check_service(history: History) -> Iterator[Violation]:
    for execution in history.observed.executions:
        prefix = execution.target.split('/')[1]
        if execution.service != SERVICE_BY_PREFIX.get(prefix, 'register'):
            yield Violation(
                'a request reaches the service of its route',
                execution.at,
                f'{execution.attempt} {execution.target} '
                f'at {execution.service}',
            )


def _check_run_count(history: History) -> Iterator[Violation]:
    for request in history.observed.requests:
        runs = history.runs[request.attempt]
        if len(runs) > MAX_RUNS[request.kind]:
            yield Violation(
                'a request runs no more often than its route allows',
                runs[-1].at,
                f'{request.attempt} {request.target}: '
                f'{[one.instance for one in runs]}',
            )


def _check_rejected_not_run(history: History) -> Iterator[Violation]:
    for request in history.observed.requests:
        runs = history.runs[request.attempt]
        once = request.kind is records.Kind.ONCE
        if once and runs and request.status in NOT_RUN_STATUSES:
            yield Violation(
                'a rejected request has not run',
                request.ended,
                f'{request.attempt} {request.target}: {request.status}, '
                f'run by {runs[0].instance}',
            )


def _check_remaining_time(history: History) -> Iterator[Violation]:
    for execution in history.observed.executions:
        request = history.requests.get(execution.attempt)
        if request is None or request.sent == 0.0:
            continue
        remaining_s = (
            request.deadline_s
            - (execution.at - request.sent)
            + REMAINING_SLACK_S
        )
        # A stalled process can't tell how long ago a request arrived.
        hosts = {execution.host, request.host}
        stalled = history.has_disruption(
            hosts, execution.at - UNDISRUPTED_S, execution.at
        )
        if execution.remaining_ms < 0 or (
            execution.remaining_ms / 1000 > remaining_s and not stalled
        ):
            yield Violation(
                'a target is given no more time than remains',
                execution.at,
                f'{execution.attempt}: given {execution.remaining_ms} ms, '
                f'{remaining_s:.3f} s remain',
            )


def _check_no_lost_responses(history: History) -> Iterator[Violation]:
    """A request that a target ran is answered, if nothing was disrupted.

    A graceful stop, a reload or a fault of the store alone doesn't excuse a
    missing response.
    """
    unplanned = [
        one
        for one in history.observed.disruptions
        if one.host and not one.planned
    ]
    for request in history.observed.requests:
        runs = history.runs[request.attempt]
        if request.ending is not records.Ending.CLOSED or not runs:
            continue
        hosts = {request.host, *(one.host for one in runs)}
        start = request.sent - UNDISRUPTED_S
        excused = any(
            one.host in hosts
            and one.start <= request.ended
            and one.end >= start
            for one in unplanned
        )
        if not excused:
            yield Violation(
                'a request that ran is answered',
                request.ended,
                f'{request.attempt} {request.target} at {request.host}: '
                'connection closed',
            )


def _check_deadlines(history: History) -> Iterator[Violation]:
    for request in history.observed.requests:
        if request.ending in (records.Ending.LEFT, records.Ending.CLOSED):
            continue
        late = (
            request.ended - request.sent > request.deadline_s + ANSWER_SLACK_S
        )
        silent = request.ending is records.Ending.SILENT
        if not late and not silent:
            continue
        if history.is_undisrupted(request.host, request.sent, request.ended):
            yield Violation(
                'a request is answered by its deadline',
                request.ended,
                f'{request.attempt} {request.target} at {request.host}: '
                f'{request.ending.value} after '
                f'{request.ended - request.sent:.2f} s '
                f'of {request.deadline_s:.2f} s',
            )


def _check_drained_targets(history: History) -> Iterator[Violation]:
    drain_acks_at = {
        (one.host, one.instance): one.at for one in history.observed.drain_acks
    }
    for execution in history.observed.executions:
        at = drain_acks_at.get((execution.host, execution.instance))
        if at is None or execution.at <= at + DRAIN_SLACK_S:
            continue
        if not history.has_disruption(
            {execution.host}, at, execution.at, 'target '
        ):
            yield Violation(
                'a draining target receives no requests',
                execution.at,
                f'{execution.attempt} at {execution.instance}, '
                f'{execution.at - at:.2f} s after',
            )


def _check_versions_in_force(history: History) -> Iterator[Violation]:
    versions = history.observed.versions
    for request in history.observed.requests:
        number = request.route_version
        if not number or request.ending is not records.Ending.ANSWERED:
            continue
        if not history.is_undisrupted(
            request.host, request.sent, request.ended
        ):
            continue
        accepted_at = versions.get(number, 0.0)
        dropped_at = versions.get(number + records.KEPT_VERSIONED_ROUTES)
        applied = accepted_at + VERSION_APPLY_S < request.sent
        if dropped_at is None or dropped_at > request.ended:
            wrong = applied and request.status == 404
        else:
            has_run = bool(history.runs[request.attempt])
            wrong = has_run and dropped_at + VERSION_APPLY_S < request.sent
        if wrong:
            yield Violation(
                'a version is in force everywhere soon after it was stored',
                request.sent,
                f'{request.attempt} {request.target} at {request.host}: '
                f'{request.status}; v{number} stored at {accepted_at:.2f}, '
                f'dropped {dropped_at}, sent {request.sent:.2f}',
            )


def _check_retry_budget(history: History) -> Iterator[Violation]:
    """Retries stay within the fleet's budget in any window."""
    first_run_at = {
        name: min(one.at for one in runs)
        for name, runs in history.runs.items()
        if runs
    }
    by_service: dict[str, list[records.Execution]] = collections.defaultdict(
        list
    )
    for execution in history.observed.executions:
        by_service[execution.service].append(execution)
    for service, runs in by_service.items():
        retries = sorted(
            one.at for one in runs if one.at > first_run_at[one.attempt]
        )
        sent = sorted(first_run_at[one.attempt] for one in runs)
        for index, at in enumerate(retries):
            end = at + RETRY_WINDOW_S
            count = bisect.bisect_right(retries, end) - index
            request_count = bisect.bisect_right(
                sent, end
            ) - bisect.bisect_left(sent, at)
            if count > RETRY_RATIO * request_count + RETRY_BURST:
                yield Violation(
                    'retries stay within the budget',
                    at,
                    f'{service}: {count} retries of '
                    f'{request_count} requests in 10 s',
                )
                break


def _check_recovery(history: History) -> Iterator[Violation]:
    start = history.observed.faults_ended_at + RECOVERY_S
    after_recovery = [
        one
        for one in history.observed.requests
        if one.sent > start
        and '/work?' in one.target
        and not one.route_version
        and one.ending is not records.Ending.LEFT
        and not one.may_be_refused
    ]
    served = sum(one.status == 200 for one in after_recovery)
    owed = len(after_recovery) - _refusals_beyond_quota(
        history, after_recovery, start
    )
    if served < MIN_SERVED_SHARE * owed or not owed:
        endings = collections.Counter(
            f'{one.host} {one.ending.value} {one.status}'
            for one in after_recovery
        )
        yield Violation(
            'after the last fault requests are served as before',
            start,
            f'{served} of {owed}: {dict(endings)}',
        )


def _refusals_beyond_quota(
    history: History, requests: list[records.Asked], start: float
) -> int:
    """Return how many requests were refused for a quota that was used up.

    A change of its quota may leave a customer with less than it asks for.
    """
    versions = history.observed.customer_versions
    if not versions:
        return 0
    beyond = customers.beyond_quota(
        versions,
        [
            (one.sent, one.key)
            for one in history.observed.requests
            if one.sent > history.observed.faults_ended_at
            and (one.proof or one.status not in (401, 404, 503))
        ],
        start,
    )
    spans = customers.key_spans(versions)
    refused = collections.Counter(
        spans[one.key].customer
        for one in requests
        if one.status == 429 and not one.proof and one.key in spans
    )
    return sum(min(refused[name], beyond[name]) for name in refused)


def _check_no_unexpected_exits(history: History) -> Iterator[Violation]:
    for one in history.observed.exits:
        yield Violation(
            'a daemon exits only when told to',
            one.at,
            f'{one.host} ended with code {one.code}',
        )


def _check_limits(history: History) -> Iterator[Violation]:
    promise = 'a target gets no more than the limit that it named'
    for at, detail in statement_invariants.limit_violations(history.observed):
        yield Violation(promise, at, detail)


def _check_leaving_targets(history: History) -> Iterator[Violation]:
    promise = 'a target that stated that it leaves gets no requests'
    for at, detail in statement_invariants.leaving_violations(
        history.observed
    ):
        yield Violation(promise, at, detail)


CHECKS: tuple[Check, ...] = (
    _check_limits,
    _check_leaving_targets,
    _check_responses_complete,
    _check_requests_unchanged,
    _check_service,
    _check_run_count,
    _check_rejected_not_run,
    _check_remaining_time,
    _check_no_lost_responses,
    _check_deadlines,
    _check_drained_targets,
    _check_versions_in_force,
    _check_retry_budget,
    _check_recovery,
    _check_no_unexpected_exits,
)
