"""The operators' text: what is accepted and how errors point the way."""

import pathlib

import pytest

from peridotpost.border import document
from peridotpost.border import text

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
GOOD = """\
mesh: m
availability_zones: [a, b]
services:
  one:
    depends_on: [two]
  two: {}
"""


@pytest.mark.parametrize('name', ['rautasilta.yaml', 'ofaolain.yaml'])
def test_example_is_accepted(name: str) -> None:
    mesh = text.read_text((EXAMPLES / name).read_text(), name)
    assert len(mesh.availability_zones) == 4


@pytest.mark.parametrize(
    ('wrong', 'line', 'path', 'message'),
    [
        pytest.param(
            GOOD.replace('[two]', '[three]'),
            5,
            'services.one.depends_on.0',
            "names 'three'",
            id='unknown-service',
        ),
        pytest.param(
            GOOD.replace('two: {}', 'two: {depends_on: [one]}'),
            5,
            'services.one.depends_on',
            'is a cycle',
            id='cycle',
        ),
        pytest.param(
            GOOD + '  two: {}\n', 7, 'services.two', 'stands twice',
            id='duplicate-service',
        ),
        pytest.param(
            GOOD.replace('two: {}', 'two: {deadline_ms: soon}'),
            6,
            'services.two.deadline_ms',
            "found 'soon'",
            id='wrong-type',
        ),
        pytest.param(
            GOOD.replace('two: {}', 'two: {dependson: []}'),
            6,
            'services.two.dependson',
            'not a known field',
            id='unknown-field',
        ),
        pytest.param(
            GOOD.replace('mesh: m\n', ''), 1, 'mesh', 'is missing',
            id='missing-field',
        ),
        pytest.param(
            GOOD.replace('[a, b]', '[a, a]'),
            2,
            'availability_zones.1',
            "lists 'a' twice",
            id='duplicate-zone',
        ),
        pytest.param('mesh: [', 1, '', '', id='not-yaml'),
        pytest.param('', 1, '', 'empty', id='empty'),
        pytest.param(
            GOOD.replace('[a, b]', '&z [a, b]').replace(
                'depends_on: [two]', 'depends_on: *z'
            ),
            2,
            'services.one.depends_on',
            'repeats an anchor',
            id='alias',
        ),
        pytest.param(
            GOOD + '#' * text.MAX_TEXT_BYTES, 0, '', 'over the limit',
            id='too-large',
        ),
    ],
)  # fmt: skip
def test_wrong_text_names_line_path_and_mend(
    wrong: str, line: int, path: str, message: str
) -> None:
    with pytest.raises(document.DocumentError) as caught:
        text.read_text(wrong, 'mesh.yaml')
    problem = caught.value.problems[0]
    assert (problem.line, problem.path) == (line, path)
    assert message in problem.message


def test_deep_diamonds_are_checked_quickly() -> None:
    # Ten levels of pairs that each depend on both of the next level have
    # 2**10 paths; a walk over paths instead of services would blow up.
    lines = ['mesh: m', 'availability_zones: [a]', 'services:']
    for level in range(60):
        needs = f'[l{level + 1}-x, l{level + 1}-y]' if level < 59 else '[]'
        for side in 'xy':
            lines.append(f'  l{level}-{side}: {{depends_on: {needs}}}')
    mesh = text.read_text('\n'.join(lines), 'deep.yaml')
    assert len(mesh.services) == 120
