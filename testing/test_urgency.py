"""Tests of the order in which a full target serves callers' requests."""

import asyncio

from testing import conditions
from testing import proxies


async def test_rank_applies_to_callers_at_the_targets_address() -> None:
    """Guards against serving requests by arrival, regardless of their rank.

    Callers and the host's target send from the same address, so each request
    was taken for a call of the target and got the rank of such calls.
    """
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a', slots=1)
        await host.announce()
        await mesh.wait_ready()
        waiting = host.proxy.guard.queue.waiting
        requests = [asyncio.ensure_future(host.ask('/read/hold', attempt='h'))]
        await conditions.until(lambda: len(host.worker.runs) == 1)
        requests.append(
            asyncio.ensure_future(host.ask('/read/ok', attempt='r'))
        )
        await conditions.until(lambda: len(waiting) == 1)
        writing = host.ask('/write/ok', attempt='w', method='POST')
        requests.append(asyncio.ensure_future(writing))
        await conditions.until(lambda: len(waiting) == 2)
        host.worker.release.set()
        answers = await asyncio.gather(*requests)
        assert [answer.status for answer in answers] == [200, 200, 200]
        assert host.worker.attempts() == ['h', 'w', 'r']


async def test_rank_is_logged_and_counted() -> None:
    async with proxies.pair() as (_, first, _second):
        assert (await first.ask('/read/failed')).status == 500
        series = first.proxy.metrics.histograms
        assert {labels.rank for labels in series} == {2}
