"""Tests of the metrics page, and of log lines about state."""

import asyncio
import json
import pathlib
from typing import Any

from peridotpost.border import proxy_settings as border
from testing import conditions
from testing import proxies


async def test_page_counts_answers_by_service_and_outcome() -> None:
    async with proxies.pair() as (_, first, _second):
        await first.ask('/read/ok')
        await first.ask('/read/failed')
        ip, port = border.split_address(first.settings.listen.metrics)
        reader, writer = await asyncio.open_connection(ip, port)
        page = await proxies.Caller(reader, writer).ask('/metrics')
        writer.close()
    text = page.body.decode()
    counted = 'peridotpost_request_seconds_count{outcome="%s",rank="2",'
    assert counted % '2xx' + 'service="register"} 1.0' in text
    assert counted % '5xx' + 'service="register"} 1.0' in text
    assert 'peridotpost_config_version 1.0' in text
    assert 'peridotpost_members 2.0' in text
    assert 'peridotpost_processor_seconds_total' in text
    assert 'peridotpost_config_confirmed_age_seconds ' in text
    assert 'peridotpost_retries_in_window ' in text
    assert 'peridotpost_retries_targets ' in text


async def test_logs_tell_who_admits_retries_and_leads(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against incidents whose causes the logs do not tell apart."""
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config())
        hosts = [await mesh.add(name) for name in 'ab']
        for host in hosts:
            await host.announce()
            host.worker.sheds = True
        await mesh.wait_ready()
        assert (await hosts[0].ask('/read/ok')).status == 503
        await conditions.until(
            lambda: any(_events(tmp_path, name, 'retries') for name in 'ab')
        )
        line, *_ = [
            line
            for name in 'ab'
            for line in _events(tmp_path, name, 'retries')
        ]
        assert line['admitted'] == 1
        assert line['targets'] == 2
        assert line['in_window'] == 1
        assert line['limit'] > 1
        assert line['up_ms'] >= 0
        assert _events(tmp_path, 'a', 'leader')[0]['leads']
        await hosts[0].ask('/none/ok')
        (refused,) = [
            line
            for line in _events(tmp_path, 'a', 'refused')
            if line.get('reason') == 'no-route'
        ]
        assert refused['confirmed_ms'] >= 0


def _events(logs: pathlib.Path, host: str, event: str) -> list[dict[str, Any]]:
    """Return the lines of a host that tell of an event."""
    lines = (logs / f'{host}.log').read_text().splitlines()
    return [line for line in map(json.loads, lines) if line['event'] == event]
