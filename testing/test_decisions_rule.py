"""Modules of ``decisions`` use only the random source passed to them.

They import ``random`` for the type ``random.Random``, so an import rule
cannot detect calls of the global source, which would make two runs with the
same seed differ.
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
