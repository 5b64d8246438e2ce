"""Log lines of ``peridot-proxy`` read back: the fields of ``kernel.lines``."""

from collections.abc import Iterator
import dataclasses
import pathlib

import msgspec

from peridotpost.model import errors


class NoLogs(errors.PeridotError):
    """The folder holds no log lines."""


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line; fields that an event does not have are empty.

    :param at: Unix seconds by the clock of the host that wrote it.
    :param request: the attempt id of the caller.
    :param tried: hosts whose guards were asked, in that order.
    :param left_out: lines that were skipped before this one.
    :param dropped: lines that a full pipe lost before this one.
    """

    at: float
    host: str
    event: str
    request: str = ''
    route: str = ''
    service: str = ''
    target: str = ''
    detail: str = ''
    reason: str = ''
    status: int = 0
    to: str = ''
    peer: str = ''
    source: str = ''
    error: str = ''
    instance: str = ''
    tried: list[str] = []
    arrivals: int = 0
    elapsed_ms: int = 0
    left_ms: int = 0
    objective_ms: int = 0
    version: int = 0
    before: int = 0
    rank: int = 0
    last: bool = False
    running: int = 0
    waiting: int = 0
    slots: int = 0
    wait_ms: int = 0
    run_ms: int = 0
    return_ms: int = 0
    late_ms: int = 0
    cpu_ms: int = 0
    boot_s: float = 0.0
    left_out: int = 0
    dropped: int = 0


DECODER = msgspec.json.Decoder(LogLine)


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """The lines of a fleet in order of time.

    :param unreadable: lines that are no log lines.
    """

    lines: list[LogLine]
    unreadable: int

    @property
    def left_out(self) -> int:
        return sum(one.left_out + one.dropped for one in self.lines)


def read_folder(folder: pathlib.Path) -> Logs:
    """Read all files of a folder.

    What a collector put before the JSON of a line is skipped.

    :raises NoLogs: with the folder, where no line is readable.
    """
    found: list[LogLine] = []
    unreadable = 0
    for line in _raw_lines(folder):
        try:
            found.append(DECODER.decode(line[line.index(b'{') :]))
        except (ValueError, msgspec.MsgspecError):
            # Counted and told: other programs write to the same folder.
            unreadable += 1
    if not found:
        raise NoLogs(
            'no readable log line; name a folder with the standard output '
            'of each daemon in a file',
            step='logs.read',
            peer=str(folder),
        )
    found.sort(key=lambda one: one.at)
    return Logs(found, unreadable)


def _raw_lines(folder: pathlib.Path) -> Iterator[bytes]:
    for path in sorted(folder.iterdir()):
        if path.is_file():
            with path.open('rb') as file:
                yield from (line for line in file if line.strip())
