"""What callers are told of requests that have run, or may have run."""

import json
import pathlib
from typing import Any

import pytest

from peridotpost.model import forwarding
from peridotpost.proxy import frameconversion
from peridotpost.proxy import frames
from testing import proxies

WRITE: dict[str, Any] = {'method': 'POST', 'attempt': 'w1', 'body': b'x'}


def log_lines(folder: pathlib.Path, event: str) -> list[dict[str, Any]]:
    """Return the lines of an event in the logs of all proxies."""
    return [
        line
        for path in sorted(folder.glob('*.log'))
        for line in map(json.loads, path.read_text().splitlines())
        if line['event'] == event
    ]


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_failure_of_a_target_is_not_passed_on_as_a_promise(
    status: int,
) -> None:
    """Guards against a run request whose caller is told that it has not run.

    A target runs the request and fails with a status that a caller reads as
    "has not run".
    """
    async with proxies.pair() as (_, first, second):
        answer = await first.ask(f'/write/own-status?status={status}', **WRITE)
        assert answer.status == 502
        assert 'x-response-signature' not in answer.headers
        assert first.worker.attempts() + second.worker.attempts() == ['w1']


@pytest.mark.parametrize('status', [408, 429, 503])
async def test_failed_idempotent_request_is_tried_on_another_target(
    status: int,
) -> None:
    """Guards against giving up a request that may run again."""
    async with proxies.pair() as (_, first, second):
        first.worker.forced_action = 'own-status'
        while not first.worker.runs:
            answer = await first.ask(f'/read/ok?status={status}')
            assert answer.status == 200


async def test_rejection_without_id_is_not_that_of_the_request_under_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run request that counts as rejected.

    A rejection that names no request comes late, on a connection that has the
    next request by then.
    """
    monkeypatch.setattr(
        'peridotpost.proxy.upstream.NON_IDEMPOTENT_IDLE_S', 60.0
    )
    async with proxies.pair() as (_, first, second):
        for host in (first, second):
            await first.ask_until_run_by(host)
        answer = await first.ask('/write/unnamed-first', **WRITE)
        assert (answer.status, answer.body) == (200, b'done')
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran.count('w1') == 1


@pytest.mark.parametrize(
    ('form', 'status'),
    [('success', 502), ('value', 502), ('repeated', 502), ('trailer', 500)],
)
async def test_statement_that_is_not_valid_proves_nothing(
    form: str, status: int
) -> None:
    """Guards against a run request that counts as rejected.

    Only a failure with one header of the value 1 states that a request has
    not run; a trailer is no header.
    """
    async with proxies.pair() as (_, first, second):
        answer = await first.ask(f'/write/contradiction?form={form}', **WRITE)
        assert answer.status == status
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran == ['w1']


async def test_response_with_two_ids_is_not_that_of_the_request() -> None:
    """Guards against a head that names the request among others."""
    async with proxies.pair() as (_, first, second):
        answer = await first.ask('/write/two-ids-first', **WRITE)
        assert (answer.status, answer.body) == (200, b'done')
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran == ['w1']


async def test_target_that_omits_ids_is_believed_on_new_connections() -> None:
    """Guards against rejections that are waited for until the deadline."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        host.worker.omits_ids = True
        for number in range(3):
            host.worker.sheds = number == 1
            answer = await host.ask(
                '/write/ok', method='POST', attempt=f'w{number}', body=b'x'
            )
            assert answer.status == (503 if number == 1 else 200)
        assert host.worker.attempts() == ['w0', 'w2']


async def test_target_that_begins_to_omit_ids_is_waited_for_only_once() -> (
    None
):
    """Guards against one request after the other that waits in vain."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        assert (await host.ask('/read/ok')).status == 200
        host.worker.omits_ids = host.worker.sheds = True
        late = await host.ask(
            '/read/ok', attempt='r2', X_Deadline_Remaining_Ms='100'
        )
        assert late.status == 504
        assert (await host.ask('/read/ok', attempt='r3')).status == 503


async def test_request_without_id_gets_a_connection_of_its_own() -> None:
    """Guards against the response to an earlier request without an id."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        before = host.worker.connections
        for _ in range(2):
            assert (await host.ask('/read/ok', attempt='')).status == 200
        assert host.worker.connections == before + 2


def test_rejection_told_by_an_older_daemon_proves_nothing() -> None:
    """Guards against a proof that the sender of a frame did not have."""
    frame = frames.RefusedFrame(1, 'shed', 0, True, 100, 12)
    outcome = frameconversion.refusal_from_frame(frame)
    assert isinstance(outcome, forwarding.ResponseLost)


async def test_late_copy_of_a_rejection_is_not_that_of_the_next_dispatch() -> (
    None
):
    """Guards against a run request that counts as rejected.

    The only target rejects a request and gets it again as the last resort.  A
    copy of its rejection, with the same id, comes late.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        answer = await host.ask('/write/rejects-then-copies', **WRITE)
        assert (answer.status, answer.body) == (200, b'done')
        assert host.worker.attempts() == ['w1']
        assert len(host.worker.rejected) == 1


async def test_log_tells_why_a_rejected_request_has_not_run(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a refusal whose log does not show its proof."""
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        assert (await host.ask('/write/shed', **WRITE)).status == 503
    rejected = log_lines(tmp_path, 'rejected')
    assert {line['proof'] for line in rejected} == {'identified'}
    assert {line['request'] for line in rejected} == {'w1'}
    assert [line['proofs'] for line in log_lines(tmp_path, 'refused')] == [
        ['identified'] * len(rejected)
    ]
