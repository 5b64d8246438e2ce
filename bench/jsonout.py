"""What each measurement does with its result."""

import json
import pathlib
from typing import Any

import click


def tell(found: Any, output: pathlib.Path | None) -> None:
    """Print a result as JSON; write it to `output` too, if that is given."""
    shown = json.dumps(found, indent=1, sort_keys=True)
    if output is not None:
        output.write_text(shown + '\n')
    click.echo(shown)
