"""The operator commands, with stores and daemons that fail."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
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
from tornado import concurrent as tornado_concurrent

from peridotpost.cli import peridotctl
from peridotpost.cli.subcommands import acceptance
from peridotpost.kernel import logs
from peridotpost.standins import mesh
from testing import processes

CTL = [sys.executable, '-m', 'peridotpost.cli.peridotctl']
Run = Callable[..., click_testing.Result]
StartDaemon = Callable[[str], 'subprocess.Popen[str]']
OK, FAILED, USAGE, REFUSED, UNDECIDED = range(5)


@pytest.fixture(scope='module')
def platform() -> Iterator[str]:
    """Start a platform stand-in process and return its URL."""
    command = [sys.executable, '-m', 'peridotpost.cli.platform', '--port']
    with subprocess.Popen([*command, '0'], stdout=subprocess.PIPE) as started:
        assert started.stdout is not None
        port = started.stdout.readline().split()[-1].decode()
        yield f'http://127.0.0.1:{port}'
        started.terminate()


@pytest.fixture
def store(platform: str) -> Iterator[str]:
    """Return the URL, and reset faults after the test.

    Tests share the store; each uses its own mesh.
    """
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
    """Run a command with the test's store and without delays of retries."""

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


def parse_output(result: click_testing.Result) -> dict[str, Any]:
    assert result.output.count('\n') == 1, result.output
    read: dict[str, Any] = json.loads(result.output)
    return read


def test_versions_are_accepted_listed_shown_and_rolled_back(
    run: Run, text: str
) -> None:
    first = parse_output(run('accept', 'mesh.yaml', '--json', '--author', 'a'))
    second = parse_output(
        run('accept', 'changed.yaml', '--json', '--note', 'why')
    )
    assert second['base_revision'] == first['revision']
    assert f'version {second["revision"]}' in run('diff', 'mesh.yaml').output
    to = str(first['revision'])
    rollback = parse_output(run('rollback', '--to', to, '--json'))
    assert rollback['revision'] > second['revision']
    rows = parse_output(run('history', '--json'))['versions']
    assert [row['revision'] for row in rows] == [
        rollback['revision'],
        second['revision'],
        first['revision'],
    ]
    assert [row['note'] for row in rows] == [
        f'rollback to version {to}',
        'why',
        '',
    ]
    assert parse_output(run('show', '--json'))['text'] == text
    kept = run('show', '--revision', str(second['revision']))
    assert 'deadline_ms: 2500' in kept.output
    assert 'no difference' in run('diff', 'mesh.yaml').output
    assert 'why' in run('history').output
    for missing in ('show', '--revision'), ('rollback', '--to'):
        result = run(*missing, '999')
        assert result.exit_code == FAILED
        assert 'peridotctl history' in result.output


def test_conflicting_accept_prints_author_version_and_diff(
    run: Run, text: str
) -> None:
    base = str(parse_output(run('accept', 'mesh.yaml', '--json'))['revision'])
    winner = parse_output(
        run('accept', 'changed.yaml', '--json', '--author', 'eva')
    )
    loser = run('accept', 'mesh.yaml', '--base', base, '--json')
    assert loser.exit_code == REFUSED
    result = parse_output(loser)
    assert result['outcome'] == 'lost-race'
    assert (result['author'], result['current_revision']) == (
        'eva',
        winner['revision'],
    )
    assert '+' in result['diff']
    text_result = run('rollback', '--to', base, '--base', base)
    assert text_result.exit_code == REFUSED
    assert (
        f'eva accepted version {winner["revision"]} first'
        in text_result.output
    )
    assert 'deadline_ms: 2500' in text_result.output


def test_accept_without_base_prints_the_base_in_use(
    run: Run, text: str
) -> None:
    """A text based on an older version silently reverted later changes."""
    base = parse_output(run('accept', 'mesh.yaml', '--json'))['revision']
    printed = run('accept', 'changed.yaml').output
    assert f'takes version {base}' in printed
    assert printed.index('takes version') < printed.index(
        'accepted as version'
    )
    fixed = run('accept', 'mesh.yaml', '--base', str(base + 1)).output
    assert 'takes version' not in fixed


def test_one_of_two_concurrent_accepts_succeeds(
    store: str, mesh_name: str, text: str, tmp_path: pathlib.Path
) -> None:
    # Two processes accept on the same base at the same time.  One must
    # succeed, and the other must report the author and the version.
    common = ['--mesh', mesh_name, '--store', store, '--base', '0', '--json']
    started = [
        subprocess.Popen(
            [*CTL, 'accept', str(tmp_path / file), '--author', who, *common],
            stdout=subprocess.PIPE,
        )
        for who, file in (('ann', 'mesh.yaml'), ('bob', 'changed.yaml'))
    ]
    results = {}
    for process in started:
        out, _ = process.communicate(timeout=30)
        results[process.returncode] = json.loads(out)
    assert sorted(results) == [OK, REFUSED]
    assert results[REFUSED]['current_revision'] == results[OK]['revision']
    assert results[REFUSED]['author'] in ('ann', 'bob')
    assert results[REFUSED]['diff']


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
def test_store_fault_gives_a_definite_outcome(
    fault: str, command: list[str], code: int, run: Run, store: str, text: str
) -> None:
    set_faults(store, **FAULTS[fault])
    limit = ['--timeout-s', '0.1']
    result = run(*command, *limit, '--json')
    assert result.exit_code == code, result.output
    data = parse_output(result)
    if code == FAILED:
        assert data['problems'][0]['step'].startswith('store.')
        assert data['problems'][0]['peer'] == store
    set_faults(store)
    if code == UNDECIDED:
        resumed = ['--write-id', data['write_id']]
        again = parse_output(run(*command, *resumed, '--json'))
        assert again['outcome'] == 'accepted'
    expected = 0 if code == FAILED else 1
    rows = parse_output(run('history', '--json'))['versions']
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
        (['customers'], '--metrics'),
        (['nonsense'], 'nonsense'),
        (['show', '--nonsense'], '--nonsense'),
    ],
    ids=lambda value: '-'.join(value) if isinstance(value, list) else '',
)
def test_usage_error_is_printed_as_text_and_json(
    arguments: list[str],
    message: str,
    run: Run,
    text: str,
    tmp_path: pathlib.Path,
) -> None:
    (tmp_path / 'wrong.yaml').write_text(text.replace('services', 'servces'))
    text_result = run(*arguments)
    assert text_result.exit_code == USAGE
    assert message in text_result.output
    result = run(*arguments, '--json')
    assert result.exit_code == USAGE
    data = parse_output(result)
    assert message in data['error']
    assert all(problem['message'] for problem in data['problems'])


def test_every_command_has_help_with_an_example(run: Run) -> None:
    for name, command in peridotctl.main.commands.items():
        assert isinstance(command, click.Command)
        assert f'Example: peridotctl {name}' in run(name, '--help').output


@contextlib.contextmanager
def admin_server(answer: bytes) -> Iterator[tuple[str, list[str]]]:
    """Serve one page to every request; yield the address and the paths."""
    paths: list[str] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            paths.append(self.path)
            self.send_response(200)
            self.end_headers()
            self.wfile.write(answer)

        def log_message(self, *arguments: Any) -> None:
            return

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    serving = threading.Thread(target=server.serve_forever, args=(0.01,))
    serving.start()
    try:
        yield f'127.0.0.1:{server.server_port}', paths
    finally:
        server.shutdown()
        serving.join()
        server.server_close()


@pytest.mark.parametrize('command', ['status', 'explain', 'timeline'])
@pytest.mark.parametrize('answer', [b'', b'[]', b'{"host": 1}'])
def test_daemon_without_valid_page_is_named(
    command: str, answer: bytes, run: Run
) -> None:
    arguments = [command, *(['bond-issue'] if command == 'explain' else [])]
    with admin_server(answer) as (address, _):
        result = run(*arguments, '--daemon', address)
    assert result.exit_code == FAILED
    assert address in result.output


def test_timeline_encodes_request_id_in_the_query(run: Run) -> None:
    with admin_server(b'{"events": []}') as (address, paths):
        result = run('timeline', '--daemon', address, '--request-id', 'a&b #c')
    assert result.exit_code == OK
    assert paths == ['/v1/timeline?request_id=a%26b+%23c&revision=0']


def write_settings(tmp_path: pathlib.Path, **settings: Any) -> str:
    content = {
        'host': 'h',
        'availability_zone': 'z',
        'mesh': 'm',
        'store': {'endpoints': ['http://127.0.0.1:1']},
        'timing': {'start_spread_s': 0.0},
        **settings,
    }
    file = tmp_path / f'settings-{len(list(tmp_path.iterdir()))}.json'
    file.write_text(json.dumps(content, indent=2))
    return str(file)


@pytest.fixture
def start_daemon() -> Iterator[StartDaemon]:
    """Start daemons from settings files and stop them after the test."""
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
def bound_port(kind: socket.SocketKind) -> Iterator[int]:
    with socket.socket(socket.AF_INET, kind) as taken:
        taken.bind(('127.0.0.1', 0))
        if kind is socket.SOCK_STREAM:
            taken.listen()
        yield taken.getsockname()[1]


@pytest.mark.processes
def test_daemon_with_port_in_use_exits_naming_setting_and_port(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    with (
        bound_port(socket.SOCK_STREAM) as tcp,
        bound_port(socket.SOCK_DGRAM) as udp,
    ):
        started = {}
        for name in mesh.PORT_NAMES:
            taken = udp if name == 'probe_port' else tcp
            listen = {**dict.fromkeys(mesh.PORT_NAMES, 0), name: taken}
            file = write_settings(tmp_path, listen=listen)
            started[name] = (taken, start_daemon(file))
        for name, (taken, process) in started.items():
            _, stderr = process.communicate(timeout=30)
            assert process.returncode == FAILED, stderr
            assert f'listen.{name}' in stderr
            assert str(taken) in stderr
            assert 'Traceback' not in stderr


@pytest.mark.processes
def test_invalid_settings_error_names_file_path_and_line(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    wrong = write_settings(tmp_path, timing={'suspicion_s': 'soon'})
    broken = tmp_path / 'broken.json'
    broken.write_text('{"host": ')
    cases = {
        wrong: [f'{wrong}:', 'timing.suspicion_s'],
        str(broken): [f'{broken}:1'],
        str(tmp_path / 'absent.json'): ['absent.json', '--settings'],
    }
    started = {file: start_daemon(file) for file in cases}
    for file, words in cases.items():
        _, stderr = started[file].communicate(timeout=30)
        assert started[file].returncode == USAGE
        assert 'Traceback' not in stderr
        for word in words:
            assert word in stderr


@pytest.mark.processes
@pytest.mark.parametrize(
    ('error', 'is_reported'),
    [(ConnectionRefusedError(), False), (ValueError(), True)],
)
def test_connection_refused_after_its_cancellation_leaves_no_traceback(
    error: Exception, is_reported: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a stop during a connection attempt that looks fatal."""
    logs.shorten_late_errors()
    future: concurrent.futures.Future[None] = concurrent.futures.Future()
    future.cancel()
    tornado_concurrent.future_set_exception_unless_cancelled(future, error)
    assert bool(caplog.records) is is_reported


def test_daemon_waiting_for_the_store_stops_on_sigterm(
    start_daemon: StartDaemon, tmp_path: pathlib.Path
) -> None:
    # The store is unreachable and no peer is known, so startup cannot
    # complete.  SIGTERM was only handled after startup.
    listen = dict.fromkeys(mesh.PORT_NAMES, 0)
    process = start_daemon(write_settings(tmp_path, listen=listen))
    assert process.stderr is not None
    assert any('waiting-for-store' in line for line in process.stderr)
    process.send_signal(signal.SIGTERM)
    out, stderr = process.communicate(timeout=processes.STOP_TIMEOUT_S)
    assert process.returncode == OK, out + stderr
    assert 'Traceback' not in stderr
