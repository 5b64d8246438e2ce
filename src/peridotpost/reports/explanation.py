"""Explains the outcome of a request from the logs of the fleet."""

import dataclasses

from peridotpost.border import loglines

CONTEXT_S = 8.0
"""Period before the outcome whose state changes are reported: a lease, a
suspicion and a drain are all shorter."""
MAX_CLOCK_SKEW_S = 1.0
"""State changes up to this long after the outcome are reported as well, since
the clocks of hosts differ."""
OUTCOME_EVENTS = frozenset(
    {'refused', 'unknown', 'timeout', 'failed', 'served'}
)
STATE_EVENTS = frozenset(
    {
        'start',
        'stop',
        'stage',
        'config',
        'store',
        'record',
        'member',
        'target',
        'advertised',
        'crash',
        'settings',
        'stalled',
    }
)
CAUSES = {
    ('refused', 'full'): (
        'refused, not run: each guard that was asked would have missed the '
        'objective, and the last one the deadline'
    ),
    ('refused', 'no-target'): (
        'refused, not run: no target of the service was ready and reachable'
    ),
    ('refused', 'too-late'): (
        'refused, not run: too little time was left until its deadline'
    ),
    ('refused', 'leaving'): (
        'refused, not run: the targets that were asked were shutting down'
    ),
    ('refused', 'unreachable'): (
        'refused, not run: the target accepted no connection'
    ),
    ('refused', 'poison'): (
        'refused, not run: similar requests have crashed targets before'
    ),
    ('refused', 'no-config'): (
        'refused, not run: the daemon had no configuration yet'
    ),
    ('refused', 'no-route'): (
        'refused, not run: the configuration has no such route'
    ),
    ('refused', 'no-credentials'): (
        'refused, not run: it named no customer, and its route serves nobody '
        'else; the caller must send its key, or the route be made anonymous. '
        'Calls need no key only while this host runs the request that makes '
        'them'
    ),
    ('refused', 'unknown-credentials'): (
        'refused, not run: no customer of the version in force holds its key, '
        'or its credentials are malformed or repeated; compare the key that '
        'the caller sends with the configuration, and the version below with '
        'the one that added or revoked the key'
    ),
    ('refused', 'config-not-current'): (
        'refused, not run: its key or route is unknown here, but this host '
        'might not have known of a newer configuration; the caller may '
        'retry, and the store lines show why the store was not followed'
    ),
    ('refused', 'over-quota'): (
        'refused, not run: its customer was over its quota; the caller must '
        'come back after the stated time, or the rate or burst of the '
        'customer be raised. peridotctl customers compares use and quota '
        'over all hosts'
    ),
}
DENIALS = frozenset(
    {
        'no-credentials',
        'unknown-credentials',
        'config-not-current',
        'over-quota',
    }
)
"""Reasons for which a request is refused before any guard is asked."""
OUTCOME_TEXTS = {
    'unknown': 'it may have run: its answer was lost ({detail})',
    'timeout': 'it may have run: no answer by its deadline ({detail})',
    'failed': "the target's own failure was passed on (status {detail})",
    'served': 'it was served (status {detail})',
    'refused': 'refused, not run ({detail})',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs contain about a request.

    :param steps: log lines with the request's id, sorted by time.
    :param cause: the outcome's cause in one sentence, or why it is unknown.
    :param around: state changes of the hosts involved at that time.
    """

    request: str
    steps: list[loglines.LogLine]
    cause: str
    around: list[loglines.LogLine]


def explain_request(logs: loglines.Logs, request: str) -> Explanation:
    """Collect the log lines about `request` and derive its cause."""
    steps = [line for line in logs.lines if line.request == request]
    if not steps:
        return Explanation(request, [], _not_found_cause(logs), [])
    outcomes = [step for step in steps if step.event in OUTCOME_EVENTS]
    if not outcomes:
        cause = (
            'its outcome is not in the logs: the line was left out under '
            'load, or its host stopped before'
        )
        return Explanation(
            request, steps, cause, _state_changes(logs, steps, steps[-1])
        )
    outcome = outcomes[-1]
    if outcome.reason in DENIALS:
        cause = f'{_cause_of(outcome)}; {_denial_summary(outcome)}'
    else:
        cause = (
            f'{_cause_of(outcome)} after {outcome.elapsed_ms} ms; '
            f'{_attempt_summary(outcome, steps)}'
        )
    return Explanation(
        request, steps, cause, _state_changes(logs, steps, outcome)
    )


def _cause_of(outcome: loglines.LogLine) -> str:
    reason = outcome.detail or outcome.reason
    cause = CAUSES.get((outcome.event, reason))
    return cause or OUTCOME_TEXTS[outcome.event].format(detail=reason)


def _denial_summary(outcome: loglines.LogLine) -> str:
    summary = f'route {outcome.route}, version {outcome.version} in force'
    if outcome.retry_after_ms:
        summary += f', retry after {outcome.retry_after_ms} ms'
    if outcome.customer:
        summary += (
            f'; customer {outcome.customer}, '
            f'quota {outcome.quota_per_s:g} per second'
        )
    if outcome.share is not None:
        summary += (
            f', of whose requests this host might admit {outcome.share:.0%}, '
            f'as told {outcome.share_age_ms} ms before'
        )
    return summary


def _attempt_summary(
    outcome: loglines.LogLine, steps: list[loglines.LogLine]
) -> str:
    declined = [step for step in steps if step.event == 'declined']
    counts = f'{len(outcome.tried)} guards asked, {outcome.arrivals} arrivals'
    if outcome.event == 'refused' and outcome.proofs:
        counts += f'; not run by these proofs: {", ".join(outcome.proofs)}'
    if declined:
        longest = max(declined, key=lambda line: line.wait_ms)
        counts += (
            f'; at {longest.host} {longest.running} of {longest.slots} slots '
            f'were taken and {longest.waiting} requests waited, so its turn '
            f'was {longest.wait_ms} ms away and a run takes '
            f'{longest.run_ms} ms'
        )
    return f'{counts}; version {outcome.version} in force'


def _not_found_cause(logs: loglines.Logs) -> str:
    return (
        'no line has this id: it was served (one per second is logged), '
        f'or its line is among the {logs.left_out} that were left out, or '
        "its host's log is not in the directory"
    )


def _state_changes(
    logs: loglines.Logs,
    steps: list[loglines.LogLine],
    outcome: loglines.LogLine,
) -> list[loglines.LogLine]:
    hosts = {step.host for step in steps}
    for step in steps:
        hosts.update(step.tried)
        hosts.add(step.target)
    hosts.discard('')
    return [
        line
        for line in logs.lines
        if line.event in STATE_EVENTS
        and outcome.at - CONTEXT_S <= line.at <= outcome.at + MAX_CLOCK_SKEW_S
        and (line.host in hosts or line.peer in hosts)
    ]
