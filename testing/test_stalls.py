"""Tests of the log line for a stalled event loop."""

import json
import pathlib
import time

import pytest

from peridotpost.mesh import daemon
from peridotpost.proxy import deadlines
from testing import conditions
from testing import proxies


async def test_stalled_daemon_logs_delay_and_cpu_time(
    tmp_path: pathlib.Path,
) -> None:
    """A process is not scheduled for a while.

    Its peers consider it silent and abandon what it runs.  Without the log
    line nothing in its own log points to the cause.
    """
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        # On a busy machine the sweep may have logged stalls already.
        totals = host.proxy.counts.totals
        before = totals['stalls']
        second_ago = deadlines.now() - 1.0
        host.proxy._log_stall(second_ago, time.process_time())
        host.proxy._log_stall(second_ago, time.process_time() - 0.9)
        assert totals['stalls'] == before + 2
        host.proxy._log_stall(deadlines.now(), time.process_time())
        assert totals['stalls'] == before + 2
    lines = (tmp_path / 'a.log').read_text().splitlines()
    stalls = [
        line for line in map(json.loads, lines) if line['event'] == 'stalled'
    ]
    starved, busy = stalls[before : before + 2]
    assert starved['late_ms'] >= 900 and busy['late_ms'] >= 900
    assert starved['cpu_ms'] < 500 <= busy['cpu_ms']


async def test_sweep_detects_stalls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(daemon, 'STALL_THRESHOLD_S', -1.0)
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await conditions.until(lambda: host.proxy.counts.totals['stalls'] > 0)
