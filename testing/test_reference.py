"""The reference page matches the models that validate the files."""

import pathlib

from click import testing as click_testing

from peridotpost.cli import peridotctl

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'reference.md'


def test_page_is_up_to_date() -> None:
    """Guards against an outdated page after a default was changed."""
    result = click_testing.CliRunner().invoke(peridotctl.main, ['reference'])
    assert result.exit_code == 0, result.output
    assert result.output == PAGE.read_text(), (
        'run: peridotctl reference > docs/reference.md'
    )


def test_page_has_required_fields_bounds_and_nested_objects() -> None:
    page = PAGE.read_text()
    assert '| `store` | string, length at least 1' in page
    assert '| `ratio` | number, at least 0, at most 10 | `0.2` |' in page
    assert '### `listen`' in page
    assert '`deadline_ms`' in page
