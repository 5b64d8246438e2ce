"""Quotas over the streams between proxies of one process."""

from collections.abc import AsyncIterator
import contextlib
import math

import pytest

from peridotpost.decisions import quotas as hostquotas
from peridotpost.model import quotas
from peridotpost.proxy import deadlines
from peridotpost.proxy import frames
from testing import conditions
from testing import proxies

QUOTA = quotas.Quota('customer', 20.0, 20.0)


@contextlib.asynccontextmanager
async def limited_pair(
    second_zone: str = proxies.FIRST_ZONE,
) -> AsyncIterator[tuple[proxies.Mesh, proxies.Host, proxies.Host]]:
    """Run two proxies with a limited customer; its owner comes first."""
    tenant = {
        'name': QUOTA.name,
        'apiKeys': ['k'],
        'priority': 0,
        'ratePerS': QUOTA.rate_per_s,
        'burst': QUOTA.burst,
    }
    async with proxies.pair(second_zone) as (mesh, *hosts):
        await mesh.kv.configure(proxies.config(2, tenants=[tenant]))
        await conditions.until(
            lambda: all(host.proxy.versions.version == 2 for host in hosts)
        )
        for host in hosts:
            host.proxy.quotas.tick(deadlines.now())
        name = hosts[0].proxy.quotas.owners.owner_of(QUOTA.name)
        owner, other = sorted(hosts, key=lambda host: host.name != name)
        yield mesh, owner, other


def ask(host: proxies.Host, count: int) -> int:
    """Return how many of some requests at once are admitted."""
    gate = host.proxy.quotas
    now = deadlines.now()
    return sum(gate.admit(QUOTA, now) is None for _ in range(count))


async def test_demand_at_one_host_limits_the_others() -> None:
    """Guards against a quota that each host grants by itself."""
    async with limited_pair() as (_, owner, other):
        assert ask(other, 500) <= RULE_TOTAL
        gate = owner.proxy.quotas
        await conditions.until(
            lambda: gate.ingress.share_of(QUOTA.name, deadlines.now())[0] < 1
        )
        assert ask(owner, 500) < RULE_TOTAL / 2
        other_gate = other.proxy.quotas.ingress
        await conditions.until(
            lambda: other_gate.share_of(QUOTA.name, deadlines.now())[0] < 1
        )
        refused_for_s = other.proxy.quotas.admit(QUOTA, deadlines.now())
        assert refused_for_s is not None and refused_for_s > 0
        # The owner tells when the limit ends, before the share expires.
        await conditions.until(
            lambda: other_gate.share_of(QUOTA.name, deadlines.now())[0] == 1
        )
        assert owner.proxy.quotas.accounts.accounts[QUOTA.name].share == 1


RULE_TOTAL = quotas.QuotaRule().allowed(QUOTA)


async def test_caller_over_its_quota_gets_429_on_every_host() -> None:
    """Guards against quotas of a configuration that do not reach the gate."""
    async with limited_pair() as (_, first, second):
        ask(first, 500)
        gate = second.proxy.quotas.ingress
        await conditions.until(
            lambda: gate.share_of(QUOTA.name, deadlines.now())[0] == 0
        )
        answer = await second.ask('/read/ok', Authorization='Token k')
        assert answer.status == 429
        assert float(answer.headers['retry-after']) > 0
        assert second.proxy.quotas.allowance(QUOTA.name) is not None


async def test_restarted_owner_learns_what_was_admitted() -> None:
    """Guards against a second burst when the owner of an account is lost."""
    async with limited_pair() as (mesh, owner, other):
        admitted = ask(other, 500)
        accounts = owner.proxy.quotas.accounts.accounts
        await conditions.until(lambda: QUOTA.name in accounts)
        restarted = await mesh.restart_proxy(owner.name)
        own_accounts = other.proxy.quotas.accounts.accounts
        new_accounts = restarted.proxy.quotas.accounts.accounts

        def reported() -> bool:
            return any(
                sum(accounts[QUOTA.name].used) >= admitted
                for accounts in (own_accounts, new_accounts)
                if QUOTA.name in accounts
            )

        await conditions.until(reported)


async def test_owner_does_not_count_hosts_that_replaced_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two owners that both admit the whole rate.

    One host takes the zone of the owner for cut off, since reports arrive
    there and the answers do not; the owner still has streams both ways.
    """
    monkeypatch.setattr(hostquotas, 'MIN_SILENT_OWNERS', 1)
    async with limited_pair('hel-b') as (_, owner, other):
        replaced = owner.proxy.quotas.own
        gate = other.proxy.quotas
        gate.ingress.unanswered[replaced] = -math.inf
        gate.ingress.answered.pop(replaced, None)
        gate.tick(deadlines.now())
        parts = [host.proxy.quotas.accounts for host in (owner, other)]
        await conditions.until(
            lambda: [one.fraction for one in parts] == [0.5, 0.5]
        )


async def test_owner_does_not_count_hosts_that_its_answers_do_not_reach(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two owners that both admit the whole rate.

    The other host dials the owner again and does not get its hello, so that it
    reports to another owner.
    """
    async with limited_pair('hel-b') as (_, owner, other):
        accounts = owner.proxy.quotas.accounts
        await conditions.until(lambda: accounts.fraction == 1.0)
        monkeypatch.setattr(
            other.proxy.directory, 'handle_hello', lambda *given: None
        )
        accepted = owner.proxy.directory.accepted_streams
        before = set(accepted)
        for stream in before:
            stream.close()
        await conditions.until(
            lambda: any(stream.host for stream in accepted - before)
        )
        owner.proxy.quotas.tick(deadlines.now())
        assert accounts.fraction == 0.5


@pytest.mark.parametrize('both_streams', [False, True])
async def test_owner_does_not_count_hosts_that_are_cut_off(
    both_streams: bool,
) -> None:
    """Guards against two parts of the fleet that both admit the whole rate.

    Nothing arrives on streams that stay open, and no report is due.
    """
    async with limited_pair('hel-b') as (_, owner, other):
        accounts = owner.proxy.quotas.accounts
        await conditions.until(lambda: accounts.fraction == 1.0)
        stuck = [
            stream
            for stream in other.proxy.directory.streams()
            if both_streams or stream.dialled
        ]
        for stream in stuck:
            assert stream.transport is not None
            stream.transport.pause_reading()
        await conditions.until(lambda: accounts.fraction == 0.5)
        for stream in stuck:
            if stream.transport is not None and not stream.closed:
                stream.transport.resume_reading()
        await conditions.until(lambda: accounts.fraction == 1.0)


async def test_mesh_without_customers_sends_nothing_about_quotas() -> None:
    """Guards against cost in deployments that have no customers."""
    unlimited = quotas.Quota('unlimited', 0.0, 0.0)
    async with proxies.pair() as (_, *hosts):
        for host in hosts:
            host.proxy.quotas.set_quotas([unlimited])
            assert host.proxy.quotas.admit(unlimited, 0.0) is None
            host.proxy.quotas.tick(deadlines.now())
            assert not host.proxy.counts.totals['quotas.messages']
            assert not host.proxy.counts.totals['quotas.probes']


def test_frames_of_quotas_are_small() -> None:
    """Guards against reports that grow beyond what the design allows.

    With 1 KB a second for each host, 9 reports and answers may take 110 bytes.
    """
    use = frames.QuotaUse('customer-01', 3, 5, 9000)
    verdict = frames.QuotaVerdict(70_000, 'customer-01', 9000, 4000)
    report = frames.encode(frames.QuotaReport(70_000, [use]))
    answer = frames.encode(frames.QuotaVerdicts(70_000, [verdict]))
    assert len(report) + len(answer) < 70


@pytest.mark.parametrize('reason', ['not the owner', 'unknown customer'])
async def test_host_that_keeps_no_account_decides_nothing(
    reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against asked requests that run without being counted."""
    monkeypatch.setattr(hostquotas, 'ASK_OWNER', 1)
    async with limited_pair() as (_, owner, other):
        gate = other.proxy.quotas
        assert ask(other, 1) == 1
        await conditions.until(
            lambda: bool(gate.ingress.uses[QUOTA.name].owner)
        )
        if reason == 'unknown customer':
            owner.proxy.quotas.set_quotas([])
        else:
            monkeypatch.setattr(
                owner.proxy.quotas.owners, 'owner_of', lambda name: other.name
            )
        monkeypatch.setattr(gate.ingress, 'admit', lambda *given: 7.0)
        limit = quotas.Verdict(1, QUOTA.name, 0.5, 1.0)
        gate.ingress.apply(limit, quotas.Owner('x', 1), deadlines.now())
        decisions: list[float | None] = []
        assert gate.ask(QUOTA, decisions.append, deadlines.now())
        await conditions.until(lambda: bool(decisions))
        assert decisions == [7.0]
        assert not other.proxy.counts.totals['quotas.unanswered']
