"""Retries of refused requests at the ingress that refused them."""

import asyncio
import collections
import random

import pytest

from peridotpost.decisions import refusedrequests
from peridotpost.decisions import split
from peridotpost.model import mesh
from testing import conditions
from testing import proxies

SHARES = (
    mesh.WeightedService('stable', 75),
    mesh.WeightedService('trial', 25),
)


def make_attempt(until: float = 2.0) -> refusedrequests.FirstAttempt:
    return refusedrequests.FirstAttempt('issue', 'stable', 1.0, until)


@pytest.mark.parametrize(
    ('fingerprint', 'route', 'now', 'known'),
    [
        pytest.param('f', 'issue', 1.5, True, id='retried'),
        pytest.param('g', 'issue', 1.5, False, id='another request'),
        pytest.param(
            'f', 'release', 1.5, False, id='path now belongs to another route'
        ),
        pytest.param('f', 'issue', 2.0, False, id='after its deadline'),
    ],
)
def test_refused_request_is_recognized_at_its_retry(
    fingerprint: str, route: str, now: float, known: bool
) -> None:
    refused = refusedrequests.RefusedRequests()
    refused.refused('f', make_attempt())
    assert (refused.take(fingerprint, route, now) is not None) is known


def test_remembered_attempt_is_returned_once() -> None:
    refused = refusedrequests.RefusedRequests()
    refused.refused('f', make_attempt())
    assert refused.take('f', 'issue', 1.1) == make_attempt()
    assert refused.take('f', 'issue', 1.2) is None


def test_remembered_attempts_are_bounded() -> None:
    refused = refusedrequests.RefusedRequests()
    for number in range(refusedrequests.MAX_REMEMBERED + 10):
        refused.refused(f'f{number}', make_attempt())
    assert len(refused.by_fingerprint) == refusedrequests.MAX_REMEMBERED
    assert refused.take('f9', 'issue', 1.1) is None
    assert refused.take('f10', 'issue', 1.1) is not None


class SplitUnderLoad:
    """A traffic split whose larger share refuses four in five requests.

    Each refused caller retries once, after some others, and is then served.
    """

    def __init__(self, remembering: bool) -> None:
        self.remembering = remembering
        self.random_source = random.Random(3)
        self.splitter = split.Splitter()
        self.refused = refusedrequests.RefusedRequests()
        self.waiting: collections.deque[str] = collections.deque()
        self.served: collections.Counter[str] = collections.Counter()

    def run(self) -> float:
        """Return the fraction of callers served by the smaller share."""
        for number in range(4000):
            service = self.ask(str(number))
            if service == 'stable' and self.random_source.random() < 0.8:
                self.refuse(str(number), service)
            else:
                self.served[service] += 1
            if len(self.waiting) > 20:
                self.served[self.ask(self.waiting.popleft())] += 1
        while self.waiting:
            self.served[self.ask(self.waiting.popleft())] += 1
        return self.served['trial'] / self.served.total()

    def ask(self, name: str) -> str:
        known = self.refused.take(name, 'issue', 0.0)
        if self.remembering and known is not None:
            return known.service
        return self.splitter.pick('issue', SHARES)

    def refuse(self, name: str, service: str) -> None:
        self.waiting.append(name)
        attempt = refusedrequests.FirstAttempt('issue', service, 0.0, 1.0)
        self.refused.refused(name, attempt)


def test_refused_requests_keep_their_split_assignment() -> None:
    """Guards against skewed split weights while one service is overloaded.

    The service with the larger share refuses most requests.  If retries are
    assigned anew, one in four goes to the other service, which then gets more
    than its quarter of the callers.
    """
    assert SplitUnderLoad(remembering=True).run() == pytest.approx(
        0.25, abs=0.03
    )
    assert SplitUnderLoad(remembering=False).run() > 0.35


async def test_retry_goes_to_the_service_first_assigned() -> None:
    """Guards against a retry served by the other service of a split.

    The first service has no target, so the caller gets 503 and retries.  If
    the retry is assigned anew, it reaches the second service, against the
    weights.
    """
    async with proxies.running() as running_mesh:
        text = proxies.config()
        del text['routes'][0]['service']
        text['routes'][0]['trafficSplit'] = [
            {'service': 'vault', 'weight': 60},
            {'service': 'register', 'weight': 40},
        ]
        await running_mesh.kv.configure(text)
        host = await running_mesh.add('a')
        await host.announce()
        await running_mesh.wait_ready()
        statuses = [
            (await host.ask('/read/ok', attempt=f'a{number}')).status
            for number in range(4)
        ]
        assert statuses == [503, 503, 503, 503]
        other = (await host.ask('/read/ok?other', attempt='b')).status
        assert other == 200
        await conditions.until(lambda: len(host.worker.runs) == 1)


async def test_objective_is_measured_from_the_first_attempt() -> None:
    """Lateness of a retry is measured from the caller's first attempt."""
    async with proxies.running() as running_mesh:
        await running_mesh.kv.configure(proxies.config())
        host = await running_mesh.add('a', slots=1)
        await running_mesh.wait_ready()
        assert (await host.ask('/read/hold', attempt='a1')).status == 503
        (first_attempt,) = (
            host.proxy.forwarder.history.refused.by_fingerprint.values()
        )
        await host.announce()
        await running_mesh.wait_ready()
        again = asyncio.ensure_future(host.ask('/read/hold', attempt='a2'))
        await conditions.until(lambda: len(host.worker.runs) == 1)
        (order,) = host.proxy.guard.running
        assert order.objective == pytest.approx(first_attempt.at + 1.0)
        host.worker.release.set()
        assert (await again).status == 200
