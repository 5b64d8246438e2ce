"""What callers are told of requests that have run, or may have run."""

import json
import pathlib
from typing import Any

import pytest

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


async def test_rejection_without_id_is_not_that_of_the_request_under_way() -> (
    None
):
    """Guards against a run request that counts as rejected.

    A rejection that names no request comes late, on a connection that has the
    next request by then.
    """
    async with proxies.pair() as (_, first, second):
        for host in (first, second):
            await first.ask_until_run_by(host)
        answer = await first.ask('/write/unnamed-first', **WRITE)
        assert (answer.status, answer.body) == (200, b'done')
        ran = first.worker.attempts() + second.worker.attempts()
        assert ran.count('w1') == 1


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
