"""Structured logs of state changes, written by eliot."""

import logging
import sys
from typing import Any
from typing import TextIO

import eliot


def log_to(stream: TextIO | None = None) -> None:
    """Send JSON log lines to `stream`, standard error by default."""
    eliot.to_file(stream if stream is not None else sys.stderr)


def state_changed(what: str, **fields: Any) -> None:
    """Log that `what` changed; `fields` describe the old and new state."""
    eliot.log_message(message_type=f'peridotpost:{what}', **fields)


LATE_ERROR = 'Exception after Future was cancelled'
"""What Tornado logs, with a traceback, if a connection fails after the call
that opened it was cancelled."""


class LateConnectionErrors(logging.Filter):
    """Logs failures of cancelled connections in one line each.

    Nobody waits for such a connection any more, and a traceback in the output
    of a program that was told to stop looks like a crash.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        error = record.exc_info[1] if record.exc_info else None
        if record.msg != LATE_ERROR or not isinstance(error, OSError):
            return True
        state_changed('late-connection', to='failed', error=str(error))
        return False


def shorten_late_errors() -> None:
    """Install `LateConnectionErrors`, once for each process."""
    logger = logging.getLogger('tornado.application')
    if not any(type(one) is LateConnectionErrors for one in logger.filters):
        logger.addFilter(LateConnectionErrors())
