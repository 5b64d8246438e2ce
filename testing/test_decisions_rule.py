"""Decisions draw from the random source that they are given, only.

The import rule cannot see it: the modules import ``random`` for the type
``random.Random`` alone, and a call of the global source beside it would
make two runs of one seed differ.
"""

import ast
import pathlib

import pytest

import peridotpost

DECISIONS = pathlib.Path(peridotpost.__file__).parent / 'decisions'


@pytest.mark.parametrize(
    'module', sorted(DECISIONS.glob('*.py')), ids=lambda module: module.stem
)
def test_random_is_used_for_its_type_only(module: pathlib.Path) -> None:
    used = {
        node.attr
        for node in ast.walk(ast.parse(module.read_text()))
        if isinstance(node, ast.Attribute)
        and isinstance(node.value, ast.Name)
        and node.value.id == 'random'
    }
    assert used <= {'Random'}
