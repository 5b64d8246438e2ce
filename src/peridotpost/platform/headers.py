"""The platform's header names."""

from peridotpost.proxy import names

HEADERS = names.HeaderNames(
    attempt=b'x-attempt-id',
    deadline=b'x-deadline-remaining-ms',
    proof=b'x-response-signature',
    not_run=b'x-not-executed',
    instance=b'x-expected-instance',
    caller=b'x-caller-service',
)
