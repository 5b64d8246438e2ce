"""Structured logs of state changes, written by eliot."""

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
