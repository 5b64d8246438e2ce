"""Printing results and errors, as text or as JSON, and running a command."""

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


def show(as_json: bool, data: dict[str, Any], plain: str) -> None:
    click.echo(json.dumps(data) if as_json else plain)


def fail(as_json: bool, error: errors.PeridotError) -> int:
    """Print an error of the system; return the exit code."""
    if not as_json:
        click.echo(f'error: {error}', err=True)
        return common.EXIT_FAILED
    problem = {
        'step': error.step,
        'peer': error.peer,
        'message': error.message,
    }
    show_problems('failed', str(error), [problem])
    return common.EXIT_FAILED


def show_problems(
    outcome: str, error: str, problems: list[dict[str, Any]]
) -> None:
    """Print errors as JSON, in the one shape that all commands use."""
    data = {
        'ok': False,
        'outcome': outcome,
        'error': error,
        'problems': problems,
    }
    click.echo(json.dumps(data))


def run(body: Callable[[], Coroutine[Any, Any, int]], as_json: bool) -> None:
    """Run a command's body and exit with its code."""
    common.run(functools.partial(_guarded, body, as_json))


async def _guarded(
    body: Callable[[], Coroutine[Any, Any, int]], as_json: bool
) -> int:
    if not as_json:
        return await body()
    try:
        return await body()
    except document.DocumentError as error:
        problems = [
            {
                'file': one.file,
                'path': one.path,
                'line': one.line,
                'message': one.message,
            }
            for one in error.problems
        ]
        show_problems('wrong-text', str(error), problems)
        return common.EXIT_USAGE
    except errors.PeridotError as error:
        return fail(True, error)
    except OSError as error:
        show_problems('failed', str(error), [{'message': str(error)}])
        return common.EXIT_FAILED


class JsonGroup(click.Group):
    """A group that tells of wrong usage in JSON where ``--json`` is given."""

    def main(
        self, args: Sequence[str] | None = None, *rest: Any, **extra: Any
    ) -> Any:
        given = list(sys.argv[1:] if args is None else args)
        if '--json' not in given:
            return super().main(given, *rest, **extra)
        extra['standalone_mode'] = False
        try:
            code = super().main(given, *rest, **extra)
        except click.ClickException as error:
            message = error.format_message()
            show_problems('wrong-usage', message, [{'message': message}])
            sys.exit(error.exit_code)
        sys.exit(code or common.EXIT_OK)
