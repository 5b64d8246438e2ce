"""What the product promises, held against what was seen.

Some promises hold always.  Others hold for a host *in touch*: neither it
nor the store was disrupted for ``TOUCH_S`` before.
"""

import bisect
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from testing.soak import records

TOUCH_S = 3.0
APPLY_S = 2.0
"""A version acknowledged by the store is in force everywhere so long after."""
DRAIN_S = 1.0
"""After it acknowledged that its target leaves, a guard sends nothing more;
what it had sent may take so long on its way through a slow process."""
ANSWER_SLACK_S = 1.0
"""Past its deadline a request is answered, a busy machine included."""
TOLD_SLACK_S = 0.5
RECOVERY_S = 8.0
"""After the last fault was healed the fleet serves as before."""
LEAST_SERVED = 0.95
MAX_RUNS = {records.Kind.IDEMPOTENT: 2, records.Kind.ONCE: 1}
NOT_RUN = frozenset({408, 421, 429, 503})
SERVICE_OF = {'other': 'vault'}
RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_S = 0.2, 60, 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """A promise that was broken, and the case that shows it."""

    promise: str
    at: float
    detail: str


class History:
    """What was seen, arranged for questions."""

    def __init__(self, seen: records.Records) -> None:
        self.seen = seen
        self.runs: dict[str, list[records.Ran]] = collections.defaultdict(list)
        for ran in seen.ran:
            self.runs[ran.attempt].append(ran)
        self.asked = {one.attempt: one for one in seen.asked}

    def disrupted(
        self, hosts: set[str], start: float, end: float, what: str = ''
    ) -> bool:
        """Whether a disruption that begins with `what` overlaps the span."""
        return any(
            one.host in hosts
            and one.start <= end
            and one.end >= start
            and one.what.startswith(what)
            for one in self.seen.disruptions
        )

    def in_touch(self, host: str, start: float, end: float) -> bool:
        return not self.disrupted({host, ''}, start - TOUCH_S, end)


Check = Callable[[History], Iterator[Broken]]


def check(seen: records.Records) -> list[Broken]:
    """Return all broken promises in order of time."""
    history = History(seen)
    found = [one for check in CHECKS for one in check(history)]
    return sorted(found, key=lambda one: one.at)


def _whole_answers(history: History) -> Iterator[Broken]:
    for asked in history.seen.asked:
        if asked.ending is not records.Ending.ANSWERED:
            continue
        success = 200 <= asked.status < 300
        if not success and not asked.proof:
            continue
        made = [
            ran
            for ran in history.runs[asked.attempt]
            if ran.instance == asked.proof
        ]
        failed = '/failed?' in asked.target
        whole = any(ran.answer == asked.body.decode() for ran in made)
        if not whole or success == failed:
            yield Broken(
                'answers are whole and made by a target',
                asked.ended,
                f'{asked.attempt} {asked.target}: {asked.status} by '
                f'{asked.proof!r}, {asked.body[:60]!r}',
            )


def _runs_as_asked(history: History) -> Iterator[Broken]:
    for ran in history.seen.ran:
        asked = history.asked.get(ran.attempt)
        wanted = asked and (asked.method, asked.target, asked.digest)
        if wanted != (ran.method, ran.target, ran.digest):
            yield Broken(
                'targets run what callers sent',
                ran.at,
                f'{ran.instance}: {ran.attempt} {ran.method} {ran.target}',
            )


def _right_service(history: History) -> Iterator[Broken]:
    for ran in history.seen.ran:
        prefix = ran.target.split('/')[1]
        if ran.service != SERVICE_OF.get(prefix, 'register'):
            yield Broken(
                'a route leads to its service',
                ran.at,
                f'{ran.attempt} {ran.target} at {ran.service}',
            )


def _runs_bounded(history: History) -> Iterator[Broken]:
    for asked in history.seen.asked:
        runs = history.runs[asked.attempt]
        if len(runs) > MAX_RUNS[asked.kind]:
            yield Broken(
                'a request runs no more often than its route allows',
                runs[-1].at,
                f'{asked.attempt} {asked.target}: '
                f'{[one.instance for one in runs]}',
            )


def _refused_did_not_run(history: History) -> Iterator[Broken]:
    for asked in history.seen.asked:
        runs = history.runs[asked.attempt]
        once = asked.kind is records.Kind.ONCE
        if once and runs and asked.status in NOT_RUN and not asked.proof:
            yield Broken(
                'what is refused has not run',
                asked.ended,
                f'{asked.attempt} {asked.target}: {asked.status}, run by '
                f'{runs[0].instance}',
            )


def _time_told(history: History) -> Iterator[Broken]:
    for ran in history.seen.ran:
        asked = history.asked.get(ran.attempt)
        if asked is None or asked.sent == 0.0:
            continue
        left_s = asked.deadline_s - (ran.at - asked.sent) + TOLD_SLACK_S
        # A process that stands still can't tell when a request came.
        hosts = {ran.host, asked.host}
        held_up = history.disrupted(hosts, ran.at - TOUCH_S, ran.at)
        if ran.told_ms < 0 or (ran.told_ms / 1000 > left_s and not held_up):
            yield Broken(
                'a target is told no more time than is left',
                ran.at,
                f'{ran.attempt}: told {ran.told_ms} ms, {left_s:.3f} s left',
            )


def _nothing_lost(history: History) -> Iterator[Broken]:
    """A request that a target ran is answered, if nothing was disrupted.

    A stop that was asked for, a reload and a fault of the store alone are
    no excuse.
    """
    unplanned = [
        one for one in history.seen.disruptions if one.host and not one.planned
    ]
    for asked in history.seen.asked:
        runs = history.runs[asked.attempt]
        if asked.ending is not records.Ending.CLOSED or not runs:
            continue
        hosts = {asked.host, *(one.host for one in runs)}
        start = asked.sent - TOUCH_S
        excused = any(
            one.host in hosts and one.start <= asked.ended and one.end >= start
            for one in unplanned
        )
        if not excused:
            yield Broken(
                'what a target ran is answered',
                asked.ended,
                f'{asked.attempt} {asked.target} at {asked.host}: closed',
            )


def _answered_in_time(history: History) -> Iterator[Broken]:
    for asked in history.seen.asked:
        if asked.ending in (records.Ending.LEFT, records.Ending.CLOSED):
            continue
        late = asked.ended - asked.sent > asked.deadline_s + ANSWER_SLACK_S
        silent = asked.ending is records.Ending.SILENT
        if not late and not silent:
            continue
        if history.in_touch(asked.host, asked.sent, asked.ended):
            yield Broken(
                'a request is answered by its deadline',
                asked.ended,
                f'{asked.attempt} {asked.target} at {asked.host}: '
                f'{asked.ending.value} after {asked.ended - asked.sent:.2f} '
                f's of {asked.deadline_s:.2f} s',
            )


def _drained(history: History) -> Iterator[Broken]:
    left = {(one.host, one.instance): one.at for one in history.seen.left}
    for ran in history.seen.ran:
        at = left.get((ran.host, ran.instance))
        if at is None or ran.at <= at + DRAIN_S:
            continue
        if not history.disrupted({ran.host}, at, ran.at, 'target '):
            yield Broken(
                'a target that leaves gets nothing more',
                ran.at,
                f'{ran.attempt} at {ran.instance}, {ran.at - at:.2f} s after',
            )


def _versions_in_force(history: History) -> Iterator[Broken]:
    versions = history.seen.versions
    for asked in history.seen.asked:
        number = asked.route_version
        if not number or asked.ending is not records.Ending.ANSWERED:
            continue
        if not history.in_touch(asked.host, asked.sent, asked.ended):
            continue
        came = versions.get(number, 0.0)
        dropped = versions.get(number + records.KEPT_ROUTES)
        there = came + APPLY_S < asked.sent
        if dropped is None or dropped > asked.ended:
            wrong = there and asked.status == 404
        else:
            ran = bool(history.runs[asked.attempt])
            wrong = ran and dropped + APPLY_S < asked.sent
        if wrong:
            yield Broken(
                'a version is in force everywhere soon after it came',
                asked.sent,
                f'{asked.attempt} {asked.target} at {asked.host}: '
                f'{asked.status}; v{number} came at {came:.2f}, dropped '
                f'{dropped}, sent {asked.sent:.2f}',
            )


def _repeats_bounded(history: History) -> Iterator[Broken]:
    """Repeats stay within the fleet's budget in any window."""
    first = {name: runs[0].at for name, runs in history.runs.items() if runs}
    by_service: dict[str, list[records.Ran]] = collections.defaultdict(list)
    for ran in history.seen.ran:
        by_service[ran.service].append(ran)
    for service, runs in by_service.items():
        repeats = sorted(one.at for one in runs if one.at > first[one.attempt])
        sent = sorted(first[one.attempt] for one in runs)
        for index, at in enumerate(repeats):
            end = at + RETRY_WINDOW_S
            count = bisect.bisect_right(repeats, end) - index
            requests = bisect.bisect_right(sent, end) - bisect.bisect_left(
                sent, at
            )
            if count > RETRY_RATIO * requests + RETRY_EXTRA:
                yield Broken(
                    'repeats stay within the budget',
                    at,
                    f'{service}: {count} repeats of {requests} in 10 s',
                )
                break


def _recovered(history: History) -> Iterator[Broken]:
    start = history.seen.calm_from + RECOVERY_S
    late = [
        one
        for one in history.seen.asked
        if one.sent > start
        and '/work?' in one.target
        and not one.route_version
        and one.ending is not records.Ending.LEFT
    ]
    served = sum(one.status == 200 for one in late)
    if served < LEAST_SERVED * len(late) or not late:
        endings = collections.Counter(
            f'{one.host} {one.ending.value} {one.status}' for one in late
        )
        yield Broken(
            'after the last fault requests are served as before',
            start,
            f'{served} of {len(late)}: {dict(endings)}',
        )


def _stays_up(history: History) -> Iterator[Broken]:
    for one in history.seen.exits:
        yield Broken(
            'a daemon ends only when told to',
            one.at,
            f'{one.host} ended with code {one.code}',
        )


CHECKS: tuple[Check, ...] = (
    _whole_answers,
    _runs_as_asked,
    _right_service,
    _runs_bounded,
    _refused_did_not_run,
    _time_told,
    _nothing_lost,
    _answered_in_time,
    _drained,
    _versions_in_force,
    _repeats_bounded,
    _recovered,
    _stays_up,
)
