"""Answers of our own, as callers are told (RFC 9457 problem details)."""

import dataclasses

import msgspec

from peridotpost.proxy import listener


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An answer of our own, as the caller is told."""

    status: int
    title: str
    retry_after_s: float = 0.0


def render(problem: Problem) -> listener.Reply:
    """Return an answer of our own (RFC 9457 problem details)."""
    head = b'Content-Type: application/problem+json\r\n'
    if problem.retry_after_s:
        head += b'Retry-After: %.3f\r\n' % problem.retry_after_s
    body = msgspec.json.encode(
        {'title': problem.title, 'status': problem.status}
    )
    return listener.Reply(problem.status, head, body)
