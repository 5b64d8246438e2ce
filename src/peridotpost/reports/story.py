"""From a request's id to what was decided on it, and why."""

import dataclasses

from peridotpost.border import loglines

AROUND_S = 8.0
"""Changes of state so long before the end are told beside it: a lease, a
suspicion and a drain all take less."""
SKEW_S = 1.0
"""Clocks of hosts differ; changes up to so long after the end are told."""
ENDINGS = frozenset({'refused', 'unknown', 'timeout', 'failed', 'served'})
STATES = frozenset(
    {
        'start',
        'stop',
        'stage',
        'config',
        'store',
        'record',
        'member',
        'target',
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
        'refused, not run: too little of its deadline was left'
    ),
    ('refused', 'leaving'): (
        'refused, not run: the targets that were asked were leaving'
    ),
    ('refused', 'unreachable'): (
        'refused, not run: the target took no connection'
    ),
    ('refused', 'poison'): (
        'refused, not run: requests like it crashed targets before'
    ),
    ('refused', 'no-config'): (
        'refused, not run: the daemon had no configuration yet'
    ),
    ('refused', 'no-route'): (
        'refused, not run: the configuration has no such route'
    ),
}
ENDED = {
    'unknown': 'it may have run: its answer was lost ({detail})',
    'timeout': 'it may have run: no answer by its deadline ({detail})',
    'failed': "the target's own failure was passed on (status {detail})",
    'served': 'it was served (status {detail})',
    'refused': 'refused, not run ({detail})',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """All that the logs have on a request.

    :param steps: lines with its id, in order of time.
    :param cause: one sentence; says so where the logs don't tell.
    :param around: changes of state of the hosts concerned.
    """

    request: str
    steps: list[loglines.LogLine]
    cause: str
    around: list[loglines.LogLine]


def tell(logs: loglines.Logs, request: str) -> Story:
    """Collect what the logs have on `request`."""
    steps = [one for one in logs.lines if one.request == request]
    if not steps:
        return Story(request, [], _not_found(logs), [])
    endings = [one for one in steps if one.event in ENDINGS]
    if not endings:
        cause = (
            'its end is not in the logs: left out under load, or its host '
            'ended before'
        )
        return Story(request, steps, cause, _around(logs, steps, steps[-1]))
    end = endings[-1]
    cause = f'{_cause(end)} after {end.elapsed_ms} ms; {_counted(end, steps)}'
    return Story(request, steps, cause, _around(logs, steps, end))


def _cause(end: loglines.LogLine) -> str:
    why = end.detail or end.reason
    found = CAUSES.get((end.event, why))
    return found or ENDED[end.event].format(detail=why)


def _counted(end: loglines.LogLine, steps: list[loglines.LogLine]) -> str:
    declined = [one for one in steps if one.event == 'declined']
    told = f'{len(end.tried)} guards asked, {end.arrivals} arrivals'
    if declined:
        most = max(declined, key=lambda one: one.wait_ms)
        told += (
            f'; at {most.host} {most.running} of {most.slots} slots were '
            f'taken and {most.waiting} waited, so its turn was '
            f'{most.wait_ms} ms away and a run takes {most.run_ms} ms'
        )
    return f'{told}; version {end.version} in force'


def _not_found(logs: loglines.Logs) -> str:
    return (
        'no line has this id: it was served (one in a second is logged), '
        f'or its line is among the {logs.left_out} that were left out, or '
        "its host's log is not in the folder"
    )


def _around(
    logs: loglines.Logs,
    steps: list[loglines.LogLine],
    end: loglines.LogLine,
) -> list[loglines.LogLine]:
    hosts = {one.host for one in steps}
    for one in steps:
        hosts.update(one.tried)
        hosts.add(one.target)
    hosts.discard('')
    return [
        one
        for one in logs.lines
        if one.event in STATES
        and end.at - AROUND_S <= one.at <= end.at + SKEW_S
        and (one.host in hosts or one.peer in hosts)
    ]
