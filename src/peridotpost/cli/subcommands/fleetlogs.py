"""Commands that read the daemons' logs instead of querying daemons."""

import dataclasses
import pathlib
from typing import Any

import click
import msgspec

from peridotpost.border import loglines
from peridotpost.cli import common
from peridotpost.cli.subcommands import output
from peridotpost.reports import explanation


@dataclasses.dataclass(frozen=True, slots=True)
class LineFilter:
    """Selects log lines; an empty field matches every line."""

    request: str = ''
    host: str = ''
    version: int = 0

    def matches(self, line: loglines.LogLine) -> bool:
        return (
            self.request in ('', line.request)
            and self.host in ('', line.host)
            and self.version in (0, line.version)
        )


def explain(folder: pathlib.Path, request: str, as_json: bool) -> int:
    """Print the history of a request; return the exit code."""
    logs = _read_logs(folder)
    history = explanation.explain_request(logs, request)
    steps = [_format_line(line) for line in history.steps]
    around = [_format_line(line) for line in history.around]
    output_lines = [f'{request}: {history.cause}', 'decisions:', *steps]
    output_lines += ['changes around it:', *around]
    data = {
        'request': request,
        'cause': history.cause,
        'steps': [_line_to_dict(line) for line in history.steps],
        'around': [_line_to_dict(line) for line in history.around],
    }
    output.print_result(as_json, data, '\n'.join(output_lines))
    return common.EXIT_OK if history.steps else common.EXIT_FAILED


def timeline(
    folder: pathlib.Path, line_filter: LineFilter, as_json: bool
) -> int:
    """Print the lines of all logs ordered by time; return the exit code."""
    logs = _read_logs(folder)
    lines = [line for line in logs.lines if line_filter.matches(line)]
    output.print_result(
        as_json,
        {'events': [_line_to_dict(line) for line in lines]},
        '\n'.join(_format_line(line) for line in lines),
    )
    return common.EXIT_OK if lines else common.EXIT_FAILED


def _read_logs(folder: pathlib.Path) -> loglines.Logs:
    logs = loglines.read_directory(folder)
    if logs.unreadable or logs.left_out:
        click.echo(
            f'{len(logs.lines)} lines read; {logs.unreadable} are no log '
            f'lines, {logs.left_out} were left out by the daemons',
            err=True,
        )
    return logs


def _line_to_dict(line: loglines.LogLine) -> dict[str, Any]:
    fields: dict[str, Any] = msgspec.to_builtins(line)
    return fields


def _format_line(line: loglines.LogLine) -> str:
    fields = _line_to_dict(line)
    head = ('at', 'host', 'event')
    rest = ' '.join(
        f'{name}={fields[name]}' for name in fields if name not in head
    )
    return f'{line.at:.3f} {line.host:<14} {line.event:<12} {rest}'
