"""Runs commands, and prints results and errors as text or JSON."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import functools
import json
import sys
from typing import Any

import click

from peridotpost.border import document
from peridotpost.cli import common
from peridotpost.model import errors


def print_result(as_json: bool, data: dict[str, Any], text: str) -> None:
    click.echo(json.dumps(data) if as_json else text)


def print_error(as_json: bool, error: errors.PeridotError) -> int:
    """Print an error; return the exit code."""
    if not as_json:
        click.echo(f'error: {error}', err=True)
        return common.EXIT_FAILED
    problem = {
        'step': error.step,
        'peer': error.peer,
        'message': error.message,
    }
    print_problems('failed', str(error), [problem])
    return common.EXIT_FAILED


def print_problems(
    outcome: str, error: str, problems: list[dict[str, Any]]
) -> None:
    """Print errors as JSON, in the format that all commands share."""
    data = {
        'ok': False,
        'outcome': outcome,
        'error': error,
        'problems': problems,
    }
    click.echo(json.dumps(data))


def run(body: Callable[[], Coroutine[Any, Any, int]], as_json: bool) -> None:
    """Run a command's body and exit with its code."""
    common.run(functools.partial(_run_reporting_json, body, as_json))


async def _run_reporting_json(
    body: Callable[[], Coroutine[Any, Any, int]], as_json: bool
) -> int:
    if not as_json:
        return await body()
    try:
        return await body()
    except document.DocumentError as error:
        problems = [
            {
                'file': problem.file,
                'path': problem.path,
                'line': problem.line,
                'message': problem.message,
            }
            for problem in error.problems
        ]
        print_problems('wrong-text', str(error), problems)
        return common.EXIT_USAGE
    except errors.PeridotError as error:
        return print_error(True, error)
    except OSError as error:
        print_problems('failed', str(error), [{'message': str(error)}])
        return common.EXIT_FAILED


class JsonGroup(click.Group):
    """A group that reports usage errors as JSON if ``--json`` is given."""

    def main(
        self, args: Sequence[str] | None = None, *rest: Any, **extra: Any
    ) -> Any:
        arguments = list(sys.argv[1:] if args is None else args)
        if '--json' not in arguments:
            return super().main(arguments, *rest, **extra)
        extra['standalone_mode'] = False
        try:
            exit_code = super().main(arguments, *rest, **extra)
        except click.ClickException as error:
            message = error.format_message()
            print_problems('wrong-usage', message, [{'message': message}])
            sys.exit(error.exit_code)
        sys.exit(exit_code or common.EXIT_OK)
