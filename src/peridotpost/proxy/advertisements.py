"""Parses what a target states about itself in the headers of a response."""

import re

from peridotpost.model import advertisement
from peridotpost.model import forwarding
from peridotpost.proxy import http1

LEAVING = b'1'
DECIMAL = re.compile(rb'[0-9]{1,9}(\.[0-9]{0,9})?')
MISDIRECTED_STATUS = 421
"""Status of a process that is not the expected target."""
MAX_LOGGED_BYTES = 40
"""Longest part of an invalid value that is kept for the log."""


def read(
    message: http1.Message, outcome: forwarding.Outcome
) -> advertisement.Advertisement | None:
    """Return the statements of a complete response.

    :return: None if the response says nothing about the expected target:
        another process sent it, it is not valid, or it bears neither a
        statement nor the target's signature.
    """
    if isinstance(outcome, forwarding.ResponseLost):
        return None
    if message.status == MISDIRECTED_STATUS:
        return None
    stated = message.rate_limit or message.leaving
    if not (stated or message.signed or message.not_run):
        return None
    limit_per_s = _parse_limit(message.rate_limit)
    leaving = message.leaving.strip()
    invalid = b''
    if message.rate_limit and limit_per_s is None:
        invalid = message.rate_limit
    elif leaving not in (b'', LEAVING):
        invalid = leaving
    return advertisement.Advertisement(
        leaving == LEAVING,
        limit_per_s,
        invalid[:MAX_LOGGED_BYTES].decode('latin-1'),
    )


def _parse_limit(value: bytes) -> float | None:
    """Return a limit in requests per second; None if it is not valid."""
    value = value.strip()
    return float(value) if DECIMAL.fullmatch(value) else None
