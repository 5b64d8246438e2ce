"""Output of benchmark results as JSON."""

import json
import pathlib
from typing import Any

import click


def write_result(result: Any, output: pathlib.Path | None) -> None:
    """Print a result as JSON and, if `output` is given, write it there."""
    encoded = json.dumps(result, indent=1, sort_keys=True)
    if output is not None:
        output.write_text(encoded + '\n')
    click.echo(encoded)
