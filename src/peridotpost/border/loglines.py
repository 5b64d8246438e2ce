"""Parses the log lines of ``peridot-proxy``, written by ``kernel.jsonlog``."""

from collections.abc import Iterator
import dataclasses
import pathlib

import msgspec

from peridotpost.model import errors


class NoLogLines(errors.PeridotError):
    """The directory contains no readable log lines."""


class CustomerUse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests of a customer at one host during one interval."""

    customer: str
    admitted: int = 0
    over_quota: int = 0
    quota_per_s: float = 0.0
    share: float | None = None
    share_age_ms: int = 0


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """A log line; fields that do not apply to the event are empty.

    :param at: Unix time in seconds, by the clock of the host that wrote it.
    :param request: attempt id of the caller's request.
    :param to: new state.
    :param zone: availability zone.
    :param source: where a configuration, or the news of a cut, came from.
    :param instance: instance of the target.
    :param in_flight: requests that a leaving process still serves.
    :param changed: whether reloaded settings differ from those in force.
    :param tried: hosts whose guards were asked, in this order.
    :param proofs: for each guard that refused it, why it had not run there.
    :param proof: the same for one rejection of a target.
    :param response: which response of its connection that rejection was.
    :param arrivals: how many of them passed the request to their target.
    :param left_ms: time left until the request's deadline.
    :param version: version of the configuration in force.
    :param before: version of the configuration that it replaced.
    :param rank: priority of the route; 0 is the most urgent.
    :param last: whether the target was asked as the last resort.
    :param wait_ms: expected wait for a slot.
    :param run_ms: expected run time.
    :param return_ms: delay after which the caller is told to retry.
    :param quota_per_s: rate of the customer's quota; 0 for no limit.
    :param share: part of the customer's requests that the host may admit;
        None if it was not told any.
    :param share_age_ms: time since the share was set.
    :param retry_after_ms: delay stated in the answer of a refusal.
    :param usage: customers with use since the last such line.
    :param others: number of customers with use that `usage` leaves out.
    :param late_ms: how long the event loop was stalled.
    :param boot_s: seconds since the boot of the host.
    :param left_out: number of lines skipped by rate limiting before this one.
    :param dropped: number of lines lost to a full pipe before this one.
    """

    at: float
    host: str
    event: str
    request: str = ''
    route: str = ''
    service: str = ''
    target: str = ''
    proofs: list[str] = []
    proof: str = ''
    response: int = 0
    detail: str = ''
    reason: str = ''
    status: int = 0
    to: str = ''
    peer: str = ''
    zone: str = ''
    source: str = ''
    error: str = ''
    instance: str = ''
    lease: int = 0
    in_flight: int = 0
    changed: bool = False
    pid: int = 0
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
    customer: str = ''
    quota_per_s: float = 0.0
    share: float | None = None
    share_age_ms: int = 0
    retry_after_ms: int = 0
    usage: list[CustomerUse] = []
    others: int = 0
    late_ms: int = 0
    cpu_ms: int = 0
    boot_s: float = 0.0
    left_out: int = 0
    dropped: int = 0


DECODER = msgspec.json.Decoder(LogLine)


@dataclasses.dataclass(frozen=True, slots=True)
class Logs:
    """The log lines of a fleet, sorted by time.

    :param unreadable: number of lines that are not log lines.
    """

    lines: list[LogLine]
    unreadable: int

    @property
    def left_out(self) -> int:
        return sum(line.left_out + line.dropped for line in self.lines)


def read_directory(folder: pathlib.Path) -> Logs:
    """Read all files in a directory.

    A prefix that a log collector put before the JSON of a line is ignored.

    :raises NoLogLines: no line in `folder` is readable.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for raw in _raw_lines(folder):
        try:
            lines.append(DECODER.decode(raw[raw.index(b'{') :]))
        except (ValueError, msgspec.MsgspecError):
            # Counted and reported: other programs may write to this directory.
            unreadable += 1
    if not lines:
        raise NoLogLines(
            'no readable log line; give a directory with the standard output '
            'of each daemon in a file',
            step='logs.read',
            peer=str(folder),
        )
    lines.sort(key=lambda line: line.at)
    return Logs(lines, unreadable)


def _raw_lines(folder: pathlib.Path) -> Iterator[bytes]:
    for path in sorted(folder.iterdir()):
        if path.is_file():
            with path.open('rb') as file:
                yield from (line for line in file if line.strip())
