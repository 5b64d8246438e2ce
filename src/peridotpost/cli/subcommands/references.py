"""The command that prints the configuration reference."""

import click

from peridotpost.border import reference as references


@click.command(epilog='Example: peridotctl reference > docs/reference.md')
def reference() -> None:
    """Print all settings and all fields of the text as Markdown."""
    click.echo(references.render(), nl=False)
