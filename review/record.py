"""The record of a case: what was sent, answered and run, line by line."""

import pathlib
import time


class Record:
    """Lines with the seconds since the case began."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.started = time.monotonic()
        self.lines: list[str] = []

    def note(self, event: str, **fields: object) -> None:
        at = time.monotonic() - self.started
        words = ' '.join(f'{name}={fields[name]}' for name in fields)
        self.lines.append(f'{at:9.4f} {event} {words}'.rstrip())

    def write(self) -> None:
        self.path.write_text('\n'.join(self.lines) + '\n')
