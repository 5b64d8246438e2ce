"""Commands that read the logs of daemons instead of asking them."""

import dataclasses
import pathlib
from typing import Any

import click
import msgspec

from peridotpost.border import loglines
from peridotpost.cli import common
from peridotpost.cli.subcommands import output
from peridotpost.reports import story


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """Which lines are wanted; empty fields choose all."""

    request: str = ''
    host: str = ''
    version: int = 0

    def takes(self, line: loglines.LogLine) -> bool:
        return (
            self.request in ('', line.request)
            and self.host in ('', line.host)
            and self.version in (0, line.version)
        )


def explain(folder: pathlib.Path, request: str, as_json: bool) -> int:
    """Print what the logs tell of a request; return the exit code."""
    logs = _read(folder)
    told = story.tell(logs, request)
    steps = [_plain(one) for one in told.steps]
    around = [_plain(one) for one in told.around]
    plain = [f'{request}: {told.cause}', 'decisions:', *steps]
    plain += ['changes around it:', *around]
    data = {
        'request': request,
        'cause': told.cause,
        'steps': [_fields(one) for one in told.steps],
        'around': [_fields(one) for one in told.around],
    }
    output.show(as_json, data, '\n'.join(plain))
    return common.EXIT_OK if told.steps else common.EXIT_FAILED


def timeline(folder: pathlib.Path, chosen: Chosen, as_json: bool) -> int:
    """Print the lines of all logs in order of time; return the exit code."""
    logs = _read(folder)
    lines = [one for one in logs.lines if chosen.takes(one)]
    output.show(
        as_json,
        {'events': [_fields(one) for one in lines]},
        '\n'.join(_plain(one) for one in lines),
    )
    return common.EXIT_OK if lines else common.EXIT_FAILED


def _read(folder: pathlib.Path) -> loglines.Logs:
    logs = loglines.read_folder(folder)
    if logs.unreadable or logs.left_out:
        click.echo(
            f'{len(logs.lines)} lines read; {logs.unreadable} are no log '
            f'lines, {logs.left_out} were left out by the daemons',
            err=True,
        )
    return logs


def _fields(line: loglines.LogLine) -> dict[str, Any]:
    found: dict[str, Any] = msgspec.to_builtins(line)
    return found


def _plain(line: loglines.LogLine) -> str:
    fields = _fields(line)
    head = ('at', 'host', 'event')
    rest = ' '.join(
        f'{name}={fields[name]}' for name in fields if name not in head
    )
    return f'{line.at:.3f} {line.host:<14} {line.event:<12} {rest}'
