"""The operators' commands, by stores and daemons that fail."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import hashlib
import http.server
import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
from typing import Any
import urllib.request

import click
from click import testing as click_testing
import pytest

from peridotpost.cli import peridotctl
from peridotpost.cli.subcommands import acceptance
from peridotpost.standins import mesh
from testing import processes

CTL = [sys.executable, '-m', 'peridotpost.cli.peridotctl']
Run = Callable[..., click_testing.Result]
StartDaemon = Callable[[str], 'subprocess.Popen[str]']
OK, FAILED, USAGE, REFUSED, UNDECIDED = range(5)


@pytest.fixture(scope='module')
def platform() -> Iterator[str]:
    """The address of a platform process."""
    command = [sys.executable, '-m', 'peridotpost.cli.platform', '--port']
    with subprocess.Popen([*command, '0'], stdout=subprocess.PIPE) as started:
        assert started.stdout is not None
        port = started.stdout.readline().split()[-1].decode()
        yield f'http://127.0.0.1:{port}'
        started.terminate()


@pytest.fixture
def store(platform: str) -> Iterator[str]:
    """The same without faults; each test has a mesh of its own in it."""
    yield platform
    set_faults(platform)


@pytest.fixture
def mesh_name(request: pytest.FixtureRequest) -> str:
    digest = hashlib.sha256(request.node.name.encode()).hexdigest()
    return f'm{digest[:16]}'


def set_faults(store: str, **faults: Any) -> None:
    request = urllib.request.Request(
        f'{store}/control/faults', json.dumps(faults).encode(), method='PUT'
    )
    with urllib.request.urlopen(request, timeout=10):
        pass


@pytest.fixture
def run(
    store: str,
    mesh_name: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> Run:
    """Run a command with the test's store; retries do not wait."""

    async def no_sleep(seconds: float) -> None:
        await asyncio.sleep(0)

    monkeypatch.setattr(acceptance, 'sleep', no_sleep)
    monkeypatch.chdir(tmp_path)
    runner = click_testing.CliRunner(
        env={'PERIDOT_STORE': store, 'PERIDOT_MESH': mesh_name}
    )

    def invoke(*arguments: str) -> click_testing.Result:
        return runner.invoke(peridotctl.main, list(arguments))

    return invoke


@pytest.fixture
def text(mesh_text: str, mesh_name: str, tmp_path: pathlib.Path) -> str:
    named = mesh_text.replace('mesh: rautasilta', f'mesh: {mesh_name}')
    (tmp_path / 'mesh.yaml').write_text(named)
    changed = named.replace('deadline_ms: 2000', 'deadline_ms: 2500')
    (tmp_path / 'changed.yaml').write_text(changed)
    return named


def data_of(done: click_testing.Result) -> dict[str, Any]:
    assert done.output.count('\n') == 1, done.output
    read: dict[str, Any] = json.loads(done.output)
    return read


def test_versions_are_accepted_listed_shown_and_rolled_back(
    run: Run, text: str
) -> None:
    first = data_of(run('accept', 'mesh.yaml', '--json', '--author', 'a'))
    second = data_of(run('accept', 'changed.yaml', '--json', '--note', 'why'))
    assert second['base_revision'] == first['revision']
    assert f'version {second["revision"]}' in run('diff', 'mesh.yaml').output
    to = str(first['revision'])
    back = data_of(run('rollback', '--to', to, '--json'))
    assert back['revision'] > second['revision']
    rows = data_of(run('history', '--json'))['versions']
    assert [row['revision'] for row in rows] == [
        back['revision'],
        second['revision'],
        first['revision'],
    ]
    assert [row['note'] for row in rows] == [
        f'rollback to version {to}',
        'why',
        '',
    ]
    assert data_of(run('show', '--json'))['text'] == text
    kept = run('show', '--revision', str(second['revision']))
    assert 'deadline_ms: 2500' in kept.output
    assert 'no difference' in run('diff', 'mesh.yaml').output
    assert 'why' in run('history').output
    for missing in ('show', '--revision'), ('rollback', '--to'):
        done = run(*missing, '999')
        assert done.exit_code == FAILED
        assert 'peridotctl history' in done.output


def test_loser_of_a_race_sees_author_version_and_difference(
    run: Run, text: str
) -> None:
    base = str(data_of(run('accept', 'mesh.yaml', '--json'))['revision'])
    won = data_of(run('accept', 'changed.yaml', '--json', '--author', 'eva'))
    lost = run('accept', 'mesh.yaml', '--base', base, '--json')
    assert lost.exit_code == REFUSED
    told = data_of(lost)
    assert told['outcome'] == 'lost-race'
    assert (told['author'], told['current_revision']) == (
        'eva',
        won['revision'],
    )
    assert '+' in told['diff']
    plain = run('rollback', '--to', base, '--base', base)
    assert plain.exit_code == REFUSED
    assert f'eva accepted version {won["revision"]} first' in plain.output
    assert 'deadline_ms: 2500' in plain.output


def test_an_accept_without_a_base_tells_which_one_it_takes(
    run: Run, text: str
) -> None:
    """A text made on an older version replaced what came since in silence."""
    base = data_of(run('accept', 'mesh.yaml', '--json'))['revision']
    told = run('accept', 'changed.yaml').output
    assert f'takes version {base}' in told
    assert told.index('takes version') < told.index('accepted as version')
    fixed = run('accept', 'mesh.yaml', '--base', str(base + 1)).output
    assert 'takes version' not in fixed


def test_of_two_operators_at_once_one_wins(
    store: str, mesh_name: str, text: str, tmp_path: pathlib.Path
) -> None:
    # Two operators accept on the same version at the same moment, each in
    # a process of its own.  One must win, the other be told by whom.
    common = ['--mesh', mesh_name, '--store', store, '--base', '0', '--json']
    started = [
        subprocess.Popen(
            [*CTL, 'accept', str(tmp_path / file), '--author', who, *common],
            stdout=subprocess.PIPE,
        )
        for who, file in (('ann', 'mesh.yaml'), ('bob', 'changed.yaml'))
    ]
    told = {}
    for process in started:
        out, _ = process.communicate(timeout=30)
        told[process.returncode] = json.loads(out)
    assert sorted(told) == [OK, REFUSED]
    assert told[REFUSED]['current_revision'] == told[OK]['revision']
    assert told[REFUSED]['author'] in ('ann', 'bob')
    assert told[REFUSED]['diff']


BASE = ['--base', '0']
STORE_CASES = [
    ('outage', ['accept', 'mesh.yaml'], FAILED),
    ('outage', ['accept', 'mesh.yaml', *BASE], UNDECIDED),
    ('outage', ['diff', 'mesh.yaml'], FAILED),
    ('outage', ['show'], FAILED),
    ('outage', ['history'], FAILED),
    ('outage', ['rollback', '--to', '1'], FAILED),
    ('slow', ['accept', 'mesh.yaml', *BASE], UNDECIDED),
    ('slow', ['history'], FAILED),
    ('garbage', ['accept', 'mesh.yaml', *BASE], UNDECIDED),
    ('garbage', ['show'], FAILED),
    ('lost', ['accept', 'mesh.yaml'], OK),
    ('lost', ['accept', 'mesh.yaml', *BASE], OK),
]
FAULTS: dict[str, dict[str, Any]] = {
    'outage': {'outage': True},
    'slow': {'delay_s': 0.4},
    'garbage': {'garbage': True},
    'lost': {'lose_answers': 1},
}


@pytest.mark.parametrize(
    ('fault', 'command', 'code'),
    STORE_CASES,
    ids=[f'{case[0]}-{"-".join(case[1])}' for case in STORE_CASES],
)
def test_failing_store_ends_in_a_definite_word(
    fault: str, command: list[str], code: int, run: Run, store: str, text: str
) -> None:
    set_faults(store, **FAULTS[fault])
    limit = ['--timeout-s', '0.1']
    told = run(*command, *limit, '--json')
    assert told.exit_code == code, told.output
    data = data_of(told)
    if code == FAILED:
        assert data['problems'][0]['step'].startswith('store.')
        assert data['problems'][0]['peer'] == store
    set_faults(store)
    if code == UNDECIDED:
        resumed = ['--write-id', data['write_id']]
        again = data_of(run(*command, *resumed, '--json'))
        assert again['outcome'] == 'accepted'
    expected = 0 if code == FAILED else 1
    rows = data_of(run('history', '--json'))['versions']
    assert len(rows) == expected


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['accept'], "Missing argument 'FILE'"),
        (['accept', 'absent.yaml'], 'absent.yaml'),
        (['accept', 'mesh.yaml', '--base', '-1'], '-1'),
        (['accept', 'mesh.yaml', '--mesh', 'other'], "not 'other'"),
        (['diff', 'mesh.yaml', '--mesh', 'other'], "not 'other'"),
        (['check', 'wrong.yaml'], 'wrong.yaml'),
        (['rollback'], '--to'),
        (['rollback', '--to', '0'], '--to'),
        (['show', '--revision', 'x'], '--revision'),
        (['show', '--store', 'localhost:2379'], 'http://HOST:PORT'),
        (['history', '--timeout-s', '0'], '--timeout-s'),
        (['status'], '--daemon'),
        (['nonsense'], 'nonsense'),
        (['show', '--nonsense'], '--nonsense'),
    ],
    ids=lambda value: '-'.join(value) if isinstance(value, list) else '',
)
def test_wrong_usage_is_told_in_words_and_as_json(
    arguments: list[str],
    message: str,
    run: Run,
    text: str,
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / 'wrong.yaml').write_text(text.replace('services', 'servces'))
    plain = run(*arguments)
    assert plain.exit_code == USAGE
    assert message in plain.output
    told = run(*arguments, '--json')
    assert told.exit_code == USAGE
    data = data_of(told)
    assert message in data['error']
    assert all(one['message'] for one in data['problems'])


def test_every_command_has_help_with_an_example(run: Run) -> None:
    for name, command in peridotctl.main.commands.items():
        assert isinstance(command, click.Command)
        assert f'Example: peridotctl {name}' in run(name, '--help').output


@contextlib.contextmanager
def admin_page(answer: bytes) -> Iterator[tuple[str, list[str]]]:
    """Serve one page to every request; yield its address and the paths."""
    asked: list[str] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            asked.append(self.path)
            self.send_response(200)
            self.end_headers()
            self.wfile.write(answer)

        def log_message(self, *arguments: Any) -> None:
            return

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    serving = threading.Thread(target=server.serve_forever, args=(0.01,))
    serving.start()
    try:
        yield f'127.0.0.1:{server.server_port}', asked
    finally:
        server.shutdown()
        serving.join()
        server.server_close()


@pytest.mark.parametrize('command', ['status', 'explain', 'timeline'])
@pytest.mark.parametrize('answer', [b'', b'[]', b'{"host": 1}'])
def test_daemon_that_gives_no_page_is_told(
    command: str, answer: bytes, run: Run
) -> None:
    arguments = [command, *(['bond-issue'] if command == 'explain' else [])]
    with admin_page(answer) as (address, _):
        done = run(*arguments, '--daemon', address)
    assert done.exit_code == FAILED
    assert address in done.output


def test_timeline_asks_for_any_request_id(run: Run) -> None:
    with admin_page(b'{"events": []}') as (address, asked):
        done = run('timeline', '--daemon', address, '--request-id', 'a&b #c')
    assert done.exit_code == OK
    assert asked == ['/v1/timeline?request_id=a%26b+%23c&revision=0']


def daemon_settings(tmp_path: pathlib.Path, **settings: Any) -> str:
    plain = {
        'host': 'h',
        'availability_zone': 'z',
        'mesh': 'm',
        'store': {'endpoints': ['http://127.0.0.1:1']},
        'timing': {'start_spread_s': 0.0},
        **settings,
    }
    file = tmp_path / f'settings-{len(list(tmp_path.iterdir()))}.json'
    file.write_text(json.dumps(plain, indent=2))
    return str(file)


@pytest.fixture
def start_daemon() -> Iterator[StartDaemon]:
    """Start daemons by their settings files; they end with the test."""
    with contextlib.ExitStack() as stack:

        def start(file: str) -> 'subprocess.Popen[str]':
            daemon = 'peridotpost.cli.peridotd'
            process = subprocess.Popen(
                [sys.executable, '-m', daemon, '--settings', file],
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
            )
            stack.enter_context(process)
            stack.callback(process.kill)
            return process

        yield start


@contextlib.contextmanager
def taken_port(kind: socket.SocketKind) -> Iterator[int]:
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(('127.0.0.1', 0))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        yield taken.getsockname()[1]


@pytest.mark.processes
def test_port_in_use_ends_the_daemon_with_setting_and_port(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    with (
        taken_port(socket.SOCK_STREAM) as tcp,
        taken_port(socket.SOCK_DGRAM) as udp,
    ):
        started = {}
        for name in mesh.PORT_NAMES:
            taken = udp if name == 'probe_port' else tcp
            listen = {**dict.fromkeys(mesh.PORT_NAMES, 0), name: taken}
            file = daemon_settings(tmp_path, listen=listen)
            started[name] = (taken, start_daemon(file))
        for name, (taken, process) in started.items():
            _, told = process.communicate(timeout=30)
            assert process.returncode == FAILED, told
            assert f'listen.{name}' in told
            assert str(taken) in told
            assert 'Traceback' not in told


@pytest.mark.processes
def test_wrong_settings_are_told_with_file_path_and_line(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    wrong = daemon_settings(tmp_path, timing={'suspicion_s': 'soon'})
    broken = tmp_path / 'broken.json'
    broken.write_text('{"host": ')
    cases = {
        wrong: [f'{wrong}:', 'timing.suspicion_s'],
        str(broken): [f'{broken}:1'],
        str(tmp_path / 'absent.json'): ['absent.json', '--settings'],
    }
    started = {file: start_daemon(file) for file in cases}
    for file, words in cases.items():
        _, told = started[file].communicate(timeout=30)
        assert started[file].returncode == USAGE
        assert 'Traceback' not in told
        for word in words:
            assert word in told


@pytest.mark.processes
def test_daemon_that_waits_for_the_store_ends_when_told_to(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    # The store is out and no peer is known: the start does not get on.
    # SIGTERM was only heeded once it had.
    listen = dict.fromkeys(mesh.PORT_NAMES, 0)
    process = start_daemon(daemon_settings(tmp_path, listen=listen))
    assert process.stderr is not None
    assert any('waiting-for-store' in line for line in process.stderr)
    process.send_signal(signal.SIGTERM)
    out, told = process.communicate(timeout=processes.STOP_S)
    assert process.returncode == OK, out + told
    assert 'Traceback' not in told
