"""Tests of proxies with a store that is down, slow, lossy or compacted, and
of invalid configurations."""

import functools

import pytest

from peridotpost.decisions import following
from peridotpost.mesh import directory as directories
from peridotpost.mesh import storefeed
from peridotpost.mesh import versions
from peridotpost.model import errors
from peridotpost.platform import store
from testing import conditions
from testing import proxies
from testing.soak import invariants


async def test_daemon_without_configuration_answers_503() -> None:
    """A 404 would wrongly claim that the route doesn't exist."""
    async with proxies.running() as mesh:
        mesh.kv.status = 503
        host = await mesh.add('a')
        answer = await host.ask('/read/ok')
        assert answer.status == 503
        assert 'retry-after' in answer.headers
        mesh.kv.status = 0
        await mesh.kv.configure(proxies.config())
        await host.announce()
        await mesh.wait_ready()
        assert (await host.ask('/read/ok')).status == 200


async def test_older_configuration_version_is_ignored() -> None:
    async with proxies.pair() as (mesh, first, _second):
        await mesh.kv.configure(proxies.config(9))
        await conditions.until(lambda: first.proxy.versions.version == 9)
        await mesh.kv.configure(proxies.config(3, routes=[]))
        await mesh.kv.configure(proxies.config(10))
        await conditions.until(lambda: first.proxy.versions.version == 10)
        assert (await first.ask('/read/ok')).status == 200


@pytest.mark.parametrize(
    'invalid_fields',
    [
        pytest.param({'services': []}, id='service not listed'),
        pytest.param({'routes': [{'name': 'x'}]}, id='fields missing'),
        pytest.param({'routes': 'none'}, id='field of another type'),
        pytest.param({'version': 'ten'}, id='version is no number'),
    ],
)
async def test_invalid_configuration_keeps_the_last_valid_one(
    invalid_fields: dict[str, object],
) -> None:
    async with proxies.pair() as (mesh, first, _second):
        counts = first.proxy.counts
        await mesh.kv.configure(proxies.config(5) | invalid_fields)
        await conditions.until(lambda: counts.totals['config.bad'] > 0)
        assert (await first.ask('/read/ok')).status == 200
        assert first.proxy.versions.version == 1


async def test_proxy_refused_by_the_store_fetches_from_peers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store rejects the calls of one host only.  A version that is
    accepted meanwhile has to come into force on that host too."""
    async with proxies.pair() as (mesh, first, second):

        async def refused(*given: object) -> storefeed.ConfigRead:
            raise errors.StoreRefused('status 503', step='watch')

        monkeypatch.setattr(first.proxy.adapter.feed, 'next_config', refused)
        monkeypatch.setattr(first.proxy.adapter.feed, 'read_config', refused)
        # The pending watch still returns one more change.
        await mesh.kv.configure(proxies.config(5))
        await conditions.until(lambda: first.proxy.versions.version == 5)
        await mesh.kv.configure(proxies.config(7))
        await conditions.until(lambda: second.proxy.versions.version == 7)
        await conditions.until(lambda: first.proxy.versions.version == 7)
        assert first.proxy.counts.totals['config.fetched']


async def test_configuration_is_read_again_after_a_compaction() -> None:
    async with proxies.pair() as (mesh, first, _second):
        await mesh.kv.compact()
        await mesh.kv.configure(proxies.config(4))
        await conditions.until(lambda: first.proxy.versions.version == 4)


async def test_expired_record_is_rewritten_and_its_host_stays_in_use() -> None:
    """Leases lapse during an outage of the store.  The host is alive and
    connected to its peers throughout, so it keeps getting requests, and its
    record is written again."""
    async with proxies.pair() as (mesh, first, second):
        key = 'peridotpost/hosts/b'
        written = mesh.kv.items[key].revision
        await mesh.kv.end_lease(mesh.kv.items[key].lease)
        await conditions.until(
            lambda: (
                key in mesh.kv.items and mesh.kv.items[key].revision > written
            )
        )
        await first.announce(state='draining')
        answer = await first.ask('/read/ok')
        assert answer.status == 200
        assert second.worker.runs


async def test_undecodable_host_records_are_skipped() -> None:
    async with proxies.pair() as (mesh, first, _second):
        await mesh.kv.put('peridotpost/hosts/x', b'\xff\x00')
        await mesh.kv.put('peridotpost/hosts/y', b'{"host": 3}')
        await mesh.kv.configure(proxies.config(6))
        await conditions.until(lambda: first.proxy.versions.version == 6)
        assert set(first.proxy.directory.peers) == {'b'}


async def test_proxy_started_without_the_store_learns_from_peers() -> None:
    """A restarted daemon gets all its knowledge from the store.  During an
    outage its peers, which still have its record, dial it and send the
    rest."""
    async with proxies.pair() as (mesh, first, second):
        mesh.kv.status = 503
        second.proxy.directory.close()
        record = second.proxy.own_record
        again = await mesh.start_proxy(
            'b',
            second.address,
            'hel-a',
            'register',
            second.worker,
        )
        known = first.proxy.directory.peers['b']
        known.record = again.proxy.own_record
        assert again.proxy.own_record.incarnation >= record.incarnation
        await conditions.until(lambda: again.proxy.versions.version == 1)
        await conditions.until(
            lambda: (
                'a' in again.proxy.directory.peers
                and again.proxy.directory.peers['a'].candidate.ready
            )
        )
        assert (await again.ask('/read/ok')).status == 200


async def test_slow_link_gets_deltas_from_a_fast_neighbour() -> None:
    """Each version is some hundred KB, and there are several a second.  If a
    host with a slow link read them whole, no bandwidth would be left for its
    requests."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        fast = await mesh.add('fast')
        await conditions.until(lambda: fast.proxy.versions.version == 1)
        await conditions.until(lambda: bool(fast.proxy.feed.reachable))
        slow = await mesh.add('slow', link_mbps=5.0)
        await conditions.until(lambda: slow.proxy.versions.version == 1)
        for version in range(2, 6):
            await mesh.kv.configure(proxies.config(version))
            await conditions.until(
                functools.partial(_has, [fast, slow], version)
            )
        assert slow.proxy.counts.totals['config.deltas'] >= 4
        assert slow.proxy.counts.totals['config.read'] == 0


@pytest.fixture
def constant_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    """Hosts with slow links read the store at each check, every 10 ms."""
    monkeypatch.setattr(
        'peridotpost.decisions.following.FOLLOWER_TIMEOUT_S', 0.0
    )
    monkeypatch.setattr(
        'peridotpost.decisions.following.MIN_READ_INTERVAL_S', 0.0
    )
    monkeypatch.setattr('peridotpost.decisions.following.HEARTBEAT_S', 0.01)


async def test_slow_link_reads_the_store_when_no_neighbour_does(
    constant_reads: None,
) -> None:
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        first = await mesh.add('a', link_mbps=5.0)
        second = await mesh.add('b', link_mbps=5.0)
        for version in (1, 2):
            await mesh.kv.configure(proxies.config(version))
            await conditions.until(
                functools.partial(_has, [first, second], version)
            )


async def test_zone_without_fast_links_fetches_from_a_remote_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a zone that refuses requests for 2 s after a power loss.

    The zone has no hosts with fast links any more.  The others wait for a
    host that follows the store and then read it over their slow links, while
    remote zones already have the configuration.
    """
    monkeypatch.setattr(
        'peridotpost.decisions.following.FOLLOWER_TIMEOUT_S', 3600.0
    )
    monkeypatch.setattr(
        'peridotpost.mesh.versions.REMOTE_ZONE_FETCH_DELAY_S', 3600.0
    )
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        fast = await mesh.add('fast')
        await conditions.until(lambda: fast.proxy.versions.version == 1)
        slow = [
            await mesh.add(name, zone='hel-b', link_mbps=5.0) for name in 'ab'
        ]
        await conditions.until(functools.partial(_has, slow, 1))
        assert not any(
            host.proxy.counts.totals['config.read'] for host in slow
        )


async def test_first_configuration_is_fetched_from_one_peer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Sixty peers would each send the whole configuration."""
    monkeypatch.setattr(
        'peridotpost.mesh.versions.FIRST_FETCH_RETRY_S', 3600.0
    )
    async with proxies.pair() as (mesh, first, second):
        mesh.kv.status = 503
        third = await mesh.add('c')
        for host in (first, second):
            host.proxy.directory.add_record(third.proxy.own_record)
        await conditions.until(functools.partial(_has, [third], 1))
        assert third.proxy.counts.totals['config.fetched'] == 1


async def test_slow_links_are_told_when_a_follower_loses_the_store() -> None:
    """Otherwise a host counts as following for seconds after the loss."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        fast = await mesh.add('fast')
        slow = await mesh.add('slow', link_mbps=5.0)
        heard = slow.proxy.versions.read_policy.last_heard_by_host
        await conditions.until(lambda: 'fast' in heard)
        fast.proxy.versions.note_store_state(False)
        await conditions.until(lambda: 'fast' not in heard)


async def test_slow_link_announces_its_reads_of_the_store(
    constant_reads: None,
) -> None:
    """No host follows the store, and both would read it all the time."""
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        first = await mesh.add('a', link_mbps=5.0)
        second = await mesh.add('b', link_mbps=5.0)
        await conditions.until(
            lambda: any(map(_knows_of_a_peers_read, (first, second)))
        )


def _knows_of_a_peers_read(host: proxies.Host) -> bool:
    return host.proxy.versions.read_policy.peer_read_at > 0


def _has(hosts: list[proxies.Host], version: int) -> bool:
    return all(host.proxy.versions.version == version for host in hosts)


def set_watch_time(monkeypatch: pytest.MonkeyPatch, wait_s: float) -> None:
    """Set how long the watches of all followers wait in the store."""
    monkeypatch.setattr(following, 'WATCH_S', wait_s)
    monkeypatch.setattr(following, 'LEADER_WATCH_S', wait_s)
    monkeypatch.setattr(following, 'RENEW_WATCH_AFTER_S', (wait_s, wait_s))


async def test_watch_lost_in_an_outage_is_resent_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting for a watch that the store never received.

    The store goes silent, and a version is written after it is back.  Each
    daemon waited for its lost watch until the timeout, seconds after other
    calls showed that the store is back, and callers got 404 for the new
    route meanwhile.
    """
    set_watch_time(monkeypatch, 60.0)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.1)
    monkeypatch.setattr(storefeed, 'RENEW_INTERVAL_S', 0.1)
    async with proxies.pair() as (mesh, first, second):
        mesh.kv.hang = True
        await mesh.kv.configure(proxies.config(2))
        for host in (first, second):
            await conditions.until(
                functools.partial(_counted, host, 'store.record-failed')
            )
        await conditions.until(lambda: mesh.kv.unanswered_watches() >= 2)
        mesh.kv.hang = False
        await mesh.kv.configure(proxies.config(3))
        for host in (first, second):
            await conditions.until(functools.partial(_is_in_force, host, 3))


async def test_read_lost_in_an_outage_is_repeated_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against versions that wait for the timeout of a lost read.

    The watches of all hosts of a zone failed, and they read the configuration
    while the store was silent.
    """
    set_watch_time(monkeypatch, 0.1)
    monkeypatch.setattr(store, 'READ_TIMEOUT_S', 3600.0)
    monkeypatch.setattr(store, 'CALL_TIMEOUT_S', 0.5)
    monkeypatch.setattr(storefeed, 'MIN_RETRY_PAUSE_S', 0.01)
    async with proxies.pair() as (mesh, *hosts):
        mesh.kv.hang = True
        for host in hosts:
            await conditions.until(
                functools.partial(_counted, host, 'store.record-failed')
            )
        assert mesh.kv.unanswered_calls.count('/-/kv-range') >= 2
        mesh.kv.hang = False
        await mesh.kv.configure(proxies.config(2))
        for host in hosts:
            await conditions.until(functools.partial(_is_in_force, host, 2))
        # The other host may be told by the first one.
        assert any(
            host.proxy.counts.totals['store.read-repeated'] for host in hosts
        )


async def test_lost_watches_are_renewed_when_no_leader_confirms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against versions that wait for the lost watches of all hosts.

    The watches of the hosts that confirm versions to all are lost as well, or
    these hosts are, and no other call shows that the store was silent.
    """
    set_watch_time(monkeypatch, 60.0)
    monkeypatch.setattr(following, 'RENEW_WATCH_AFTER_S', (1.2, 1.5))
    monkeypatch.setattr(storefeed, 'RENEW_INTERVAL_S', 3600.0)
    async with proxies.pair('hel-b') as (mesh, *hosts):
        mesh.kv.hang = True
        await mesh.kv.configure(proxies.config(2))
        await conditions.until(lambda: mesh.kv.unanswered_watches() >= 2)
        mesh.kv.hang = False
        await mesh.kv.configure(proxies.config(3))
        for host in hosts:
            await conditions.until(functools.partial(_is_in_force, host, 3))
            assert not host.proxy.counts.totals['store.record-failed']
            assert host.proxy.counts.totals['store.watch-renewed']


async def test_renewed_watch_confirms_no_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 404 for a route that only the renewed watch would show.

    A watch is renewed because it was perhaps lost, which no answer of the
    store has ruled out yet.
    """
    async with proxies.pair() as (mesh, first, _second):
        feed, policy = first.proxy.feed, first.proxy.versions.read_policy
        mesh.kv.hang = True
        await mesh.kv.configure(proxies.config(2))
        await conditions.until(lambda: mesh.kv.unanswered_watches() >= 2)
        before = policy.confirmed_at
        feed.store_returned.set()
        feed.store_returned.clear()
        await conditions.until(lambda: mesh.kv.unanswered_watches() >= 3)
        assert policy.confirmed_at == before


async def test_unknown_route_is_not_final_while_the_watch_is_unanswered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 404 for a route whose version a lost watch missed."""
    set_watch_time(monkeypatch, 60.0)
    monkeypatch.setattr(following, 'CONFIRMED_FOR_S', 0.0)
    async with proxies.pair() as (_mesh, first, _second):
        answer = await first.ask('/added-later/ok')
        assert answer.status == 503
        assert 'retry-after' in answer.headers
        monkeypatch.setattr(following, 'CONFIRMED_FOR_S', 3600.0)
        assert (await first.ask('/added-later/ok')).status == 404


def test_lost_watch_is_noticed_before_its_version_has_to_be_in_force() -> None:
    """Guards against a version that is late because one watch was lost.

    A host that was undisrupted for `UNDISRUPTED_S` applies each version within
    `VERSION_APPLY_S`, and the watches of all may be lost as the disruption
    ends.
    """
    noticed_s = following.LEADER_WATCH_S + store.WATCH_TIMEOUT_MARGIN_S
    read_s = 1.25 * storefeed.MIN_RETRY_PAUSE_S
    fetched_s = versions.REMOTE_ZONE_FETCH_DELAY_S
    assert noticed_s + read_s + fetched_s < invariants.UNDISRUPTED_S
    assert following.LEADER_WATCH_S < following.CONFIRMED_FOR_S
    assert following.LEADER_WATCH_S < following.RENEW_WATCH_AFTER_S[0]
    renewed_s = following.RENEW_WATCH_AFTER_S[1] + following.RENEWED_WATCH_S
    assert renewed_s < following.CONFIRMED_FOR_S
    assert following.CONFIRMED_FOR_S <= invariants.VERSION_APPLY_S


async def test_leaders_confirm_the_version_to_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hosts that are current only after calls of their own."""
    monkeypatch.setattr(following, 'LEADERS', 1)
    monkeypatch.setattr(following, 'LEADER_WATCH_S', 0.02)
    async with proxies.pair('hel-b') as (_mesh, first, second):
        await conditions.until(
            lambda: bool(second.proxy.directory.followers())
        )
        assert first.proxy.versions.leads()
        assert not second.proxy.versions.leads()
        policy = second.proxy.versions.read_policy
        await conditions.until(
            lambda: second.proxy.counts.totals['store.calls.watch'] == 1
        )
        before = policy.confirmed_at
        await conditions.until(lambda: policy.confirmed_at > before)
        assert second.proxy.counts.totals['store.calls.watch'] == 1


async def test_configuration_is_read_after_a_failed_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against repeating a watch that the store no longer answers.

    The store compacts its history, and a version is written.  A daemon whose
    watch timed out sent the next one from the same revision, which was not
    answered either.  Callers of a whole zone got 404 for the new route until
    a ping of a remote zone announced it, 4.3 s after the write.
    """
    set_watch_time(monkeypatch, 0.1)
    async with proxies.pair() as (mesh, first, second):
        mesh.kv.hang_watches = True
        await mesh.kv.configure(proxies.config(2))
        for host in (first, second):
            await conditions.until(functools.partial(_is_in_force, host, 2))


async def test_one_loop_retries_during_a_store_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """During an outage every daemon would retry all its calls continuously.

    Only one of its three loops keeps retrying.  The others wait for it, and
    all continue as soon as it succeeds.
    """
    monkeypatch.setattr(storefeed, 'MAX_OUTAGE_WAIT_S', 3600.0)
    monkeypatch.setattr(storefeed, 'RENEW_INTERVAL_S', 0.02)
    monkeypatch.setattr(storefeed, 'MAX_RETRY_PAUSE_S', 0.02)
    async with proxies.pair() as (mesh, first, second):
        mesh.kv.status = 503
        await mesh.kv.configure(proxies.config(2))
        for host in (first, second):
            await conditions.until(
                functools.partial(_counted, host, 'store.record-failed')
            )
        mesh.kv.calls.clear()
        await conditions.until(lambda: len(mesh.kv.calls) > 100)
        reads = [
            path
            for path in mesh.kv.calls
            if path in ('/-/kv-range', '/-/kv-key', '/-/kv-watch')
        ]
        assert len(reads) <= 2 * 3
        mesh.kv.status = 0
        await mesh.kv.configure(proxies.config(3))
        for host in (first, second):
            await conditions.until(functools.partial(_is_in_force, host, 3))


async def test_hosts_that_start_together_read_the_records_once() -> None:
    """A fleet that starts at once would read all records repeatedly."""
    async with proxies.pair() as (_mesh, first, second):
        for host, other in ((first, 'b'), (second, 'a')):
            counts = host.proxy.counts.totals
            await conditions.until(
                functools.partial(_reaches, host.proxy.directory, other)
            )
            assert counts['store.calls.read-records'] == 1
            assert counts['store.calls.grant-lease'] == 1
            assert counts['store.calls.register'] == 1


async def test_renewals_check_the_store_after_a_failed_watch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise reads would go on until the next renewal is due."""
    monkeypatch.setattr(storefeed, 'RENEW_INTERVAL_S', 3600.0)
    monkeypatch.setattr(storefeed, 'MAX_OUTAGE_WAIT_S', 3600.0)
    monkeypatch.setattr(storefeed, 'MAX_RETRY_PAUSE_S', 0.02)
    async with proxies.pair() as (mesh, first, _second):
        mesh.kv.status = 503
        await mesh.kv.compact()
        await conditions.until(
            functools.partial(_counted, first, 'store.record-failed')
        )
        mesh.kv.calls.clear()
        await conditions.until(lambda: len(mesh.kv.calls) > 100)
        reads = sum('kv-keep' not in path for path in mesh.kv.calls)
        assert reads <= 2 * 3


async def test_slow_links_retry_when_a_neighbour_follows_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each host of a large fleet would retry often throughout an outage."""
    monkeypatch.setattr(storefeed, 'RENEW_INTERVAL_S', 0.05)
    monkeypatch.setattr(storefeed, 'MIN_RETRY_PAUSE_S', 3600.0)
    async with proxies.running() as mesh:
        await mesh.kv.configure(proxies.config(1))
        await mesh.add('fast')
        slow = await mesh.add('slow', link_mbps=5.0)
        following = slow.proxy.versions.read_policy
        await conditions.until(lambda: 'fast' in following.last_heard_by_host)

        async def refused(lease: int) -> bool:
            raise errors.StoreRefused('status 503', step='kv-keep')

        monkeypatch.setattr(slow.proxy.adapter.feed, 'renew_lease', refused)
        await conditions.until(lambda: slow.proxy.feed.calls_failing)
        failed = slow.proxy.counts.totals['store.record-failed']
        following.note_follower_lost('fast')
        await conditions.until(
            lambda: slow.proxy.counts.totals['store.record-failed'] > failed
        )


def _reaches(directory: directories.Directory, host: str) -> bool:
    peer = directory.peers.get(host)
    return peer is not None and peer.stream is not None


def _counted(host: proxies.Host, name: str) -> bool:
    return host.proxy.counts.totals[name] > 0


def _is_in_force(host: proxies.Host, version: int) -> bool:
    return host.proxy.versions.version == version
