"""Structured logs: one eliot line for each change of state."""

import sys
from typing import Any
from typing import TextIO

import eliot


def log_to(stream: TextIO | None = None) -> None:
    """Write log lines as JSON to `stream`, standard error by default."""
    eliot.to_file(stream if stream is not None else sys.stderr)


def state_changed(what: str, **fields: Any) -> None:
    """Log that `what` changed; `fields` say from which state to which."""
    eliot.log_message(message_type=f'peridotpost:{what}', **fields)
