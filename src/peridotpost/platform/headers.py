"""The platform's header names."""

from peridotpost.proxy import headernames


def parent_of(attempt_id: bytes) -> bytes:
    """Return the id of the request that a target's call belongs to.

    The id of a call is the id of its request, a dot and a suffix.
    """
    return attempt_id.rpartition(b'.')[0]


HEADERS = headernames.HeaderNames(
    attempt=b'x-attempt-id',
    deadline=b'x-deadline-remaining-ms',
    signature=b'x-response-signature',
    not_run=b'x-not-executed',
    instance=b'x-expected-instance',
    caller=b'x-caller-service',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
    parent_of=parent_of,
    credentials=b'authorization',
    customer=b'x-tenant',
    credentials_scheme=b'Token',
)
