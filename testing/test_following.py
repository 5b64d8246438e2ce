"""When a daemon with a slow link reads the store itself."""

from collections.abc import Iterable

from peridotpost.decisions import following

HEARTBEAT_S = following.HEARTBEAT_S


def slow(now: float = 0.0) -> following.StoreReadPolicy:
    return following.StoreReadPolicy(link_mbps=5.0, start=now)


def reads(
    one: following.StoreReadPolicy, start: float, end: float
) -> list[float]:
    """Return when `one` reads, checked each heartbeat in the interval."""
    heartbeats = int((end - start) / HEARTBEAT_S) + 1
    asked = [
        start + heartbeat * HEARTBEAT_S for heartbeat in range(heartbeats)
    ]
    return [now for now in asked if one.should_read(now)]


def test_slow_link_reads_only_without_followers() -> None:
    one = slow()
    assert not reads(one, 0.0, following.FOLLOWER_TIMEOUT_S - HEARTBEAT_S)
    first, second, *_ = reads(one, following.FOLLOWER_TIMEOUT_S, 10.0)
    assert second - first >= following.MIN_READ_INTERVAL_S
    one.note_follower('fast', 20.0)
    assert not reads(
        one, 20.0, 20.0 + following.FOLLOWER_TIMEOUT_S - HEARTBEAT_S
    )


def test_after_an_outage_slow_links_wait_for_followers() -> None:
    """The store comes back after eight seconds, in which nobody followed it.

    If all hosts with slow links then read 400 KB at once, their links are
    full for a second: pings go unanswered, and the work on them is
    abandoned.  Followers announce themselves within one heartbeat.
    """
    one = slow()
    one.note_store_state(False, 1.0)
    assert not reads(one, 1.0, 9.0)
    one.note_store_state(True, 9.0)
    assert not reads(one, 9.0, 9.0 + HEARTBEAT_S)
    one.note_follower('fast', 9.0 + HEARTBEAT_S)
    assert not reads(
        one, 9.0 + HEARTBEAT_S, 9.0 + following.FOLLOWER_TIMEOUT_S
    )


def test_zone_without_followers_reads_for_itself() -> None:
    one = slow()
    one.note_store_state(False, 1.0)
    one.note_store_state(True, 9.0)
    read_at, *_ = reads(one, 9.0, 15.0)
    assert read_at - 9.0 <= following.FOLLOWER_TIMEOUT_S + HEARTBEAT_S


def test_first_store_answer_delays_no_read() -> None:
    one = slow()
    one.note_store_state(True, 5.0)
    assert one.should_read(5.0)


SILENCE_NOTICED_S = 1.5
"""The longest time until a daemon notices that the store is silent: 1.0 to
1.5 s in the logs of a fleet of 61."""
IN_FORCE_S = 2.0
"""The limit from the store's acknowledgement until a version is in force."""


def test_slow_links_are_current_when_the_fast_ones_lose_the_store() -> None:
    """Guards against callers served by a version replaced three seconds ago.

    The store goes silent for all fast hosts of a zone, but still answers
    the slow ones.  The fast ones claim to follow it until they notice, and
    a new version is accepted meanwhile.  If they don't announce the loss,
    the slow ones wait for two more heartbeats before they read.
    """
    slow = following.StoreReadPolicy(5.0, start=0.0)
    slow.note_store_state(True, 0.0)
    slow.note_follower('fast', SILENCE_NOTICED_S)
    slow.note_follower_lost('fast')
    acknowledged = SILENCE_NOTICED_S - following.HEARTBEAT_S / 2
    checks = [step * following.HEARTBEAT_S for step in range(10)]
    read_at = next(at for at in checks if slow.should_read(at))
    assert read_at <= acknowledged + IN_FORCE_S


def test_slow_links_of_a_zone_read_one_at_a_time() -> None:
    """Requests stall in a whole fleet when a few hosts lose their watch.

    All fast hosts of a zone lose the store's watch at the same moment and
    announce it.  If all twenty slow ones then read 300 KB at once, their
    links are full for 0.7 s.
    """
    hosts = [slow() for _ in range(20)]
    for one in hosts:
        one.note_store_state(True, 0.0)
        one.note_follower('fast', 10.0)
        one.note_follower_lost('fast')
    read_at = []
    for step in range(5 * 20):
        now = 10.0 + step * HEARTBEAT_S / len(hosts)
        looking = hosts[step % len(hosts)]
        if looking.should_read(now):
            read_at.append(now)
            for other in hosts:
                if other is not looking:
                    other.note_peer_read(now)
    assert len(read_at) <= 5
    pauses = [b - a for a, b in zip([10.0, *read_at], read_at, strict=False)]
    # The reads are still frequent enough for new versions.
    assert max(pauses) <= following.PEER_READ_WAIT_S + HEARTBEAT_S / len(hosts)


def test_follower_that_loses_the_store_is_replaced_by_another() -> None:
    one = slow()
    one.note_follower('first', 5.0)
    one.note_follower('second', 5.0)
    one.note_follower_lost('first')
    assert not reads(
        one, 5.0, 5.0 + following.FOLLOWER_TIMEOUT_S - HEARTBEAT_S
    )
    one.note_follower_lost('second')
    assert one.should_read(5.0 + HEARTBEAT_S)


def test_loss_on_a_host_that_never_followed_is_ignored() -> None:
    one = slow()
    one.note_follower('fast', 5.0)
    one.note_follower_lost('slow')
    assert not reads(
        one, 5.0, 5.0 + following.FOLLOWER_TIMEOUT_S - HEARTBEAT_S
    )


def test_configuration_is_current_only_while_it_is_confirmed() -> None:
    """Guards against 401 for a key that a newer version may contain."""
    fast = following.StoreReadPolicy(1000.0, start=0.0)
    assert not fast.is_current(0.0)
    fast.note_store_state(True, 0.0)
    fast.note_confirmed(0.0)
    assert fast.is_current(following.CONFIRMED_FOR_S)
    assert not fast.is_current(following.CONFIRMED_FOR_S + 0.1)
    fast.note_confirmed(1.0)
    assert fast.is_current(1.0)
    fast.note_store_state(False, 1.0)
    assert not fast.is_current(1.0)
    for confirm in ('note_read_ended', 'note_follower'):
        one = slow()
        assert not one.is_current(0.0)
        arguments = ('fast', 5.0) if confirm == 'note_follower' else (5.0,)
        getattr(one, confirm)(*arguments)
        assert one.is_current(7.0)
        assert not one.is_current(7.1)
        one.note_store_state(False, 6.0)
        assert not one.is_current(6.0)
    one = slow()
    one.note_follower('fast', 5.0)
    one.note_follower_lost('fast')
    assert not one.is_current(5.0)


def test_two_hosts_lead_the_followers() -> None:
    """Guards against watches of all hosts, and against none in time."""
    assert leading(fast_hosts()) == ['h1', 'h2']
    assert fast_hosts()['h4'].leads('h4', ['h1'])
    assert not slow().leads('h0', ['h1'])


def fast_hosts() -> dict[str, following.StoreReadPolicy]:
    """Return four hosts that follow the store, by name."""
    return {
        f'h{number}': following.StoreReadPolicy(1000.0, start=0.0)
        for number in range(1, 5)
    }


def others(hosts: Iterable[str], host: str) -> list[str]:
    return [one for one in hosts if one != host]


def leading(hosts: dict[str, following.StoreReadPolicy]) -> list[str]:
    """Return the hosts that take themselves for leaders."""
    return [
        host
        for host, policy in hosts.items()
        if policy.leads(host, others(hosts, host))
    ]


def test_silent_leaders_are_replaced_until_they_confirm_again() -> None:
    """Guards against leaders that the store does not answer.

    They are still connected to the others, which would have no leader.
    """
    hosts = fast_hosts()
    for host, policy in hosts.items():
        policy.note_unconfirmed(host, others(hosts, host), 2.0)
    assert leading(hosts) == ['h1', 'h2', 'h3', 'h4']
    # h1 and h2 never hear of an answer, h3 and h4 do.
    for host, policy in hosts.items():
        for leader in others(['h3', 'h4'], host):
            policy.note_leader(leader, 2.1)
    assert {'h3', 'h4'} <= set(leading(hosts))
    for policy in hosts.values():
        policy.note_leader('h1', 5.0)
        policy.note_leader('h2', 5.0)
    assert leading(hosts) == ['h1', 'h2']


def test_leader_that_confirms_is_not_taken_for_silent() -> None:
    """Guards against a second leader for each host that missed one answer."""
    hosts = fast_hosts()
    late = hosts['h4']
    late.note_leader('h1', 5.0)
    late.note_unconfirmed('h4', others(hosts, 'h4'), 5.5)
    assert late.silent_hosts == {'h2'}
    assert not late.leads('h4', others(hosts, 'h4'))
