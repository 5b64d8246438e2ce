"""Answers of the system's own, as RFC 9457 problem details."""

import functools
import json

from peridotpost.decisions import retry
from peridotpost.model import calls

OUTCOME_HEADER = 'Peridot-Outcome'
TYPE_PREFIX = 'https://peridotpost.invalid/problems/'
MS_IN_S = 1000

STATUSES = {
    calls.NotRunReason.NO_SERVICE: 404,
    calls.NotRunReason.FORBIDDEN: 403,
    calls.NotRunReason.BAD_KEY: 400,
    calls.NotRunReason.BAD_REQUEST: 400,
    calls.NotRunReason.TOO_LARGE: 413,
    calls.NotRunReason.DEADLINE: 504,
}
"""Every other refusal is 503: come back."""


@functools.singledispatch
def to_answer(outcome: object, request_id: str) -> calls.Answer:
    """Return what the caller receives for an outcome."""
    raise TypeError(f'not an outcome: {outcome!r}')


@to_answer.register
def _(outcome: calls.Answer, request_id: str) -> calls.Answer:
    return outcome


@to_answer.register
def _(outcome: calls.NotRun, request_id: str) -> calls.Answer:
    status = STATUSES.get(outcome.reason, 503)
    headers = [calls.Header(OUTCOME_HEADER, 'not-run')]
    if outcome.retry_after_ms:
        seconds = -(-outcome.retry_after_ms // MS_IN_S)
        headers.append(calls.Header('Retry-After', str(seconds)))
        headers.append(
            calls.Header('Peridot-Retry-After-Ms', str(outcome.retry_after_ms))
        )
    return _problem(
        status,
        outcome.reason.value,
        'The request was not run',
        f'{outcome.detail}. It was not run, so it may be sent again.',
        outcome.peer,
        request_id,
        headers,
    )


@to_answer.register
def _(outcome: calls.OutcomeUnknown, request_id: str) -> calls.Answer:
    return _problem(
        502,
        'outcome-unknown',
        'The outcome is unknown',
        f'{outcome.detail}. The request may have run. Send it again only '
        'with the same Idempotency-Key.',
        outcome.peer,
        request_id,
        [calls.Header(OUTCOME_HEADER, 'unknown')],
    )


def _problem(
    status: int,
    kind: str,
    title: str,
    detail: str,
    peer: str,
    request_id: str,
    headers: list[calls.Header],
) -> calls.Answer:
    body = json.dumps(
        {
            'type': TYPE_PREFIX + kind,
            'title': title,
            'status': status,
            'detail': detail,
            'peer': peer,
            'request_id': request_id,
        }
    ).encode()
    typed = calls.Header('Content-Type', 'application/problem+json')
    # A target that passes this answer on passes on that the mesh has done
    # its retries, so that no level above does them again.
    retried = calls.Header(retry.RETRIED_HEADER, 'yes')
    return calls.Answer(status, title, (typed, retried, *headers), body)
