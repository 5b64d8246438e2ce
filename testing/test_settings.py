"""Settings of ``peridotd``: defaults, and the errors of invalid files."""

import json
import pathlib

import pytest

from peridotpost.border import document
from peridotpost.border import settings

VALID = {
    'host': 'h1',
    'availability_zone': 'a',
    'mesh': 'm',
    'store': {'endpoints': ['http://127.0.0.1:1']},
}


def write_settings(directory: pathlib.Path, content: str) -> pathlib.Path:
    file = directory / 'settings.json'
    file.write_text(content)
    return file


def test_defaults_complete_the_settings(tmp_path: pathlib.Path) -> None:
    loaded = settings.load_settings(
        write_settings(tmp_path, json.dumps(VALID))
    )
    assert loaded.listen.caller_port == 8080


@pytest.mark.parametrize(
    ('content', 'path', 'message'),
    [
        pytest.param('{', '', 'not JSON', id='not-json'),
        pytest.param(
            json.dumps({**VALID, 'host': 7}), 'host', '7', id='wrong-type'
        ),
        pytest.param(
            json.dumps({k: v for k, v in VALID.items() if k != 'store'}),
            'store',
            'is missing',
            id='missing',
        ),
        pytest.param(
            json.dumps({**VALID, 'listen': {'caller_port': 70000}}),
            'listen.caller_port',
            '65535',
            id='port-range',
        ),
        pytest.param(
            json.dumps({**VALID, 'prots': 1}), 'prots', 'not a known',
            id='unknown',
        ),
        pytest.param(
            '{"host": "h", "host": "i"}',
            'host',
            'duplicate key',
            id='duplicate',
        ),
    ],
)  # fmt: skip
def test_invalid_settings_report_file_and_path(
    tmp_path: pathlib.Path, content: str, path: str, message: str
) -> None:
    file = write_settings(tmp_path, content)
    with pytest.raises(document.DocumentError) as caught:
        settings.load_settings(file)
    problem = caught.value.problems[0]
    assert problem.file == str(file)
    assert problem.path == path
    assert message in problem.message


def test_missing_file_names_the_option(tmp_path: pathlib.Path) -> None:
    with pytest.raises(document.DocumentError, match='--settings'):
        settings.load_settings(tmp_path / 'none.json')
