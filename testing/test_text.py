"""Validation of mesh configurations, and the errors it reports."""

import pathlib

import pytest

from peridotpost.border import document
from peridotpost.border import mesh_document

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
VALID = """\
mesh: m
availability_zones: [a, b]
services:
  one:
    depends_on: [two]
  two: {}
"""


@pytest.mark.parametrize('name', ['rautasilta.yaml', 'ofaolain.yaml'])
def test_example_is_accepted(name: str) -> None:
    mesh = mesh_document.parse_mesh((EXAMPLES / name).read_text(), name)
    assert len(mesh.availability_zones) == 4


@pytest.mark.parametrize(
    ('invalid', 'line', 'path', 'message'),
    [
        pytest.param(
            VALID.replace('[two]', '[three]'),
            5,
            'services.one.depends_on.0',
            "names 'three'",
            id='unknown-service',
        ),
        pytest.param(
            VALID.replace('two: {}', 'two: {depends_on: [one]}'),
            5,
            'services.one.depends_on',
            'is a cycle',
            id='cycle',
        ),
        pytest.param(
            VALID + '  two: {}\n', 7, 'services.two', 'duplicate key',
            id='duplicate-service',
        ),
        pytest.param(
            VALID.replace('two: {}', 'two: {deadline_ms: soon}'),
            6,
            'services.two.deadline_ms',
            "found 'soon'",
            id='wrong-type',
        ),
        pytest.param(
            VALID.replace('two: {}', 'two: {dependson: []}'),
            6,
            'services.two.dependson',
            'not a known field',
            id='unknown-field',
        ),
        pytest.param(
            VALID.replace('mesh: m\n', ''), 1, 'mesh', 'is missing',
            id='missing-field',
        ),
        pytest.param(
            VALID.replace('[a, b]', '[a, a]'),
            2,
            'availability_zones.1',
            "lists 'a' twice",
            id='duplicate-zone',
        ),
        pytest.param('mesh: [', 1, '', '', id='not-yaml'),
        pytest.param('', 1, '', 'empty', id='empty'),
        pytest.param(
            VALID.replace('[a, b]', '&z [a, b]').replace(
                'depends_on: [two]', 'depends_on: *z'
            ),
            2,
            'services.one.depends_on',
            'is an alias',
            id='alias',
        ),
        pytest.param(
            VALID + '#' * mesh_document.MAX_TEXT_BYTES,
            0,
            '',
            'over the limit',
            id='too-large',
        ),
    ],
)  # fmt: skip
def test_error_has_line_path_and_message(
    invalid: str, line: int, path: str, message: str
) -> None:
    with pytest.raises(document.DocumentError) as caught:
        mesh_document.parse_mesh(invalid, 'mesh.yaml')
    problem = caught.value.problems[0]
    assert (problem.line, problem.path) == (line, path)
    assert message in problem.message


def test_deep_diamonds_are_checked_quickly() -> None:
    # Each service depends on both services of the next of 60 levels, which
    # gives 2**60 paths.  A cycle check that walks paths instead of services
    # would take exponential time.
    lines = ['mesh: m', 'availability_zones: [a]', 'services:']
    for level in range(60):
        needs = f'[l{level + 1}-x, l{level + 1}-y]' if level < 59 else '[]'
        for side in 'xy':
            lines.append(f'  l{level}-{side}: {{depends_on: {needs}}}')
    mesh = mesh_document.parse_mesh('\n'.join(lines), 'deep.yaml')
    assert len(mesh.services) == 120
