"""Shared by the programs: event loop, exit codes and error output."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import signal
import sys
from typing import Any

import click

from peridotpost.border import document
from peridotpost.kernel import logs
from peridotpost.model import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNDECIDED = 4


def run(main: Callable[[], Coroutine[Any, Any, int]]) -> None:
    """Run `main` in an event loop and exit with the code it returns."""
    logs.shorten_late_errors()
    try:
        exit_code = asyncio.run(main())
    except document.DocumentError as error:
        for problem in error.problems:
            click.echo(f'error: {problem}', err=True)
        exit_code = EXIT_USAGE
    except errors.PeridotError as error:
        click.echo(f'error: {error}', err=True)
        exit_code = EXIT_FAILED
    except OSError as error:
        click.echo(f'error: {error}', err=True)
        exit_code = EXIT_FAILED
    sys.exit(exit_code)


@contextlib.asynccontextmanager
async def stop_signal() -> AsyncIterator[asyncio.Event]:
    """Yield an event that is set on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        yield stop
    finally:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.remove_signal_handler(signal_number)
