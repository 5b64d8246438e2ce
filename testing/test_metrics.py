"""Tests of the metrics page."""

import asyncio

from peridotpost.border import proxy_settings as border
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
