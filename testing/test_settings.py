"""Settings: each error names the file, the line and the mend."""

import json
import pathlib

import pytest

from peridotpost.border import document
from peridotpost.border import settings

GOOD = {
    'host': 'h1',
    'availability_zone': 'a',
    'mesh': 'm',
    'store': {'endpoints': ['http://127.0.0.1:1']},
}


def write(path: pathlib.Path, content: str) -> pathlib.Path:
    file = path / 'settings.json'
    file.write_text(content)
    return file


def test_defaults_complete_the_settings(tmp_path: pathlib.Path) -> None:
    read = settings.load_settings(write(tmp_path, json.dumps(GOOD)))
    assert read.listen.caller_port == 8080


@pytest.mark.parametrize(
    ('content', 'path', 'message'),
    [
        pytest.param('{', '', 'not JSON', id='not-json'),
        pytest.param(
            json.dumps({**GOOD, 'host': 7}), 'host', '7', id='wrong-type'
        ),
        pytest.param(
            json.dumps({k: v for k, v in GOOD.items() if k != 'store'}),
            'store',
            'is missing',
            id='missing',
        ),
        pytest.param(
            json.dumps({**GOOD, 'listen': {'caller_port': 70000}}),
            'listen.caller_port',
            '65535',
            id='port-range',
        ),
        pytest.param(
            json.dumps({**GOOD, 'prots': 1}), 'prots', 'not a known',
            id='unknown',
        ),
        pytest.param(
            '{"host": "h", "host": "i"}', 'host', 'twice', id='duplicate'
        ),
    ],
)  # fmt: skip
def test_wrong_settings_name_the_place(
    tmp_path: pathlib.Path, content: str, path: str, message: str
) -> None:
    file = write(tmp_path, content)
    with pytest.raises(document.DocumentError) as caught:
        settings.load_settings(file)
    problem = caught.value.problems[0]
    assert problem.file == str(file)
    assert problem.path == path
    assert message in problem.message


def test_missing_file_says_what_to_give(tmp_path: pathlib.Path) -> None:
    with pytest.raises(document.DocumentError, match='--settings'):
        settings.load_settings(tmp_path / 'none.json')
