"""What targets state about themselves in their responses."""

import json
import pathlib

import pytest

from peridotpost.decisions import advertisedlimit
from peridotpost.model import advertisement
from peridotpost.model import forwarding
from peridotpost.proxy import advertisements
from peridotpost.proxy import http1
from testing import conditions
from testing import proxies

ANSWER = forwarding.TargetAnswer(200, b'OK', b'', b'')
SHED = forwarding.Refused(forwarding.Refusal.SHED, arrived=True)
LOST = forwarding.ResponseLost('answer without signature')
Stated = advertisement.Advertisement


def named(limit_per_s: float) -> Stated:
    return Stated(limit_per_s=limit_per_s)


@pytest.mark.parametrize(
    ('message', 'outcome', 'expected'),
    [
        pytest.param(
            http1.Message(rate_limit=b'4.5', signed=True),
            ANSWER,
            named(4.5),
            id='limit',
        ),
        pytest.param(
            http1.Message(rate_limit=b' 32 ', status=500),
            ANSWER,
            named(32.0),
            id='limit in a failure without signature',
        ),
        pytest.param(
            http1.Message(rate_limit=b'0', not_run=b'1'),
            SHED,
            named(0.0),
            id='limit of zero in a refusal',
        ),
        pytest.param(
            http1.Message(leaving=b'1', signed=True),
            ANSWER,
            Stated(leaving=True),
            id='leaving',
        ),
        pytest.param(
            http1.Message(leaving=b'1', rate_limit=b'2', not_run=b'1'),
            SHED,
            Stated(leaving=True, limit_per_s=2.0),
            id='both',
        ),
        pytest.param(
            http1.Message(signed=True), ANSWER, Stated(), id='nothing stated'
        ),
        pytest.param(
            http1.Message(status=500),
            ANSWER,
            None,
            id='nothing stated, without signature',
        ),
        pytest.param(
            http1.Message(rate_limit=b'4.5', status=421),
            SHED,
            None,
            id='another process at the address',
        ),
        pytest.param(
            http1.Message(rate_limit=b'4.5'), LOST, None, id='invalid response'
        ),
    ],
)
def test_statements_of_a_response(
    message: http1.Message,
    outcome: forwarding.Outcome,
    expected: Stated | None,
) -> None:
    assert advertisements.read(message, outcome) == expected


@pytest.mark.parametrize(
    'value',
    [
        pytest.param(b'-1', id='negative'),
        pytest.param(b'nan', id='not a number'),
        pytest.param(b'inf', id='infinite'),
        pytest.param(b'1e3', id='exponent'),
        pytest.param(b'4,5', id='decimal comma'),
        pytest.param(b'4.5, 9', id='repeated header'),
        pytest.param(b'soon', id='text'),
        pytest.param(b'9' * 30, id='too long'),
    ],
)
def test_invalid_limit_is_reported_and_has_no_value(value: bytes) -> None:
    message = http1.Message(rate_limit=value, signed=True)
    stated = advertisements.read(message, ANSWER)
    assert stated == Stated(invalid=value.decode())


def test_invalid_leaving_statement_is_reported() -> None:
    message = http1.Message(leaving=b'soon', signed=True)
    assert advertisements.read(message, ANSWER) == Stated(invalid='soon')


@pytest.mark.parametrize(
    ('responses', 'expected'),
    [
        pytest.param([(0, 1, named(5))], 5.0, id='named'),
        pytest.param([(0, 1, named(5)), (2, 3, named(8))], 8.0, id='changed'),
        pytest.param([(0, 1, named(5)), (2, 3, Stated())], None, id='ended'),
        pytest.param(
            [(0, 1, named(5)), (0.5, 3, Stated())],
            5.0,
            id='response to an earlier request without it',
        ),
        pytest.param(
            [(0, 1, named(5)), (2, 3, Stated(invalid='x'))],
            5.0,
            id='invalid value keeps it',
        ),
        pytest.param([(0, 1, Stated(invalid='x'))], None, id='invalid first'),
        pytest.param(
            [(0, 1, Stated(limit_per_s=5.0, invalid='x'))],
            5.0,
            id='valid beside another invalid statement',
        ),
    ],
)
def test_limit_in_force_after_responses(
    responses: list[tuple[float, float, Stated]], expected: float | None
) -> None:
    """Each response is the time of its request, its own and its statement."""
    limit = advertisedlimit.AdvertisedLimit()
    for sent_at, now, stated in responses:
        limit.note(stated, sent_at, now)
    assert limit.per_s == expected


async def test_statements_of_the_target_are_logged_and_counted(
    tmp_path: pathlib.Path,
) -> None:
    async with proxies.running() as mesh:
        mesh.logs = tmp_path
        await mesh.kv.configure(proxies.config())
        host = await mesh.add('a')
        await host.announce()
        await mesh.wait_ready()
        for number, limit in enumerate(['', '50', 'soon', '']):
            host.worker.limit = limit
            answer = await host.ask('/read/ok', attempt=f'a{number}')
            assert answer.status == 200
            assert answer.headers.get('server-limit', '') == limit
        limited = host.proxy.guard.adverts
        await conditions.until(lambda: limited.limit.per_s is None)
        totals = host.proxy.counts.totals
        assert totals['target.requests'] == 4
        assert totals['target.invalid-statements'] == 1
        lines = [
            json.loads(line)
            for line in (tmp_path / 'a.log').read_text().splitlines()
        ]
    steps = [one['to'] for one in lines if one['event'] == 'advertised']
    assert steps == ['limited', 'unlimited']
