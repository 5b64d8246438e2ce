"""The reference of settings and text says what the models check."""

import pathlib

from click import testing as click_testing

from peridotpost.cli import peridotctl

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'reference.md'


def test_the_page_is_what_the_command_prints() -> None:
    """A default was changed, and operators went by the page for a year."""
    result = click_testing.CliRunner().invoke(peridotctl.main, ['reference'])
    assert result.exit_code == 0, result.output
    assert result.output == PAGE.read_text(), (
        'run: peridotctl reference > docs/reference.md'
    )


def test_required_fields_bounds_and_parts_are_told() -> None:
    page = PAGE.read_text()
    assert '| `store` | text, length at least 1' in page
    assert '| `ratio` | number, at least 0, at most 10 | `0.2` |' in page
    assert '### `listen`' in page
    assert '`deadline_ms`' in page
