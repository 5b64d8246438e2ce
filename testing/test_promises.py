"""What callers are told of requests that have run, or may have run."""

import json
import pathlib
from typing import Any

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
