"""Which peers a daemon asks for the member list without the store."""

import pytest

from peridotpost.decisions import peerqueries


def make_candidates(
    same_zone: int, remote_zone: int, asked: int = 0
) -> list[peerqueries.PeerCandidate]:
    return [
        peerqueries.PeerCandidate(
            f'h{number}', number >= same_zone, number < asked
        )
        for number in range(same_zone + remote_zone)
    ]


@pytest.mark.parametrize(
    ('same_zone', 'remote_zone', 'asked', 'wanted'),
    [
        pytest.param(
            11, 48, 0, peerqueries.MAX_SAME_ZONE_PEERS, id='a few of the zone'
        ),
        pytest.param(11, 48, 3, 0, id='enough were asked'),
        pytest.param(11, 48, 1, 2, id='one answer may still come'),
        pytest.param(2, 48, 0, 2, id='a small zone'),
        pytest.param(
            0, 48, 0, peerqueries.MAX_REMOTE_ZONE_PEERS, id='alone in its zone'
        ),
        pytest.param(0, 48, 1, 0, id='alone, and asked'),
        pytest.param(0, 0, 0, 0, id='no-peers'),
    ],
)
def test_only_a_few_peers_of_the_own_zone_are_asked(
    same_zone: int, remote_zone: int, asked: int, wanted: int
) -> None:
    chosen = peerqueries.peers_to_ask(
        make_candidates(same_zone, remote_zone, asked)
    )
    assert len(chosen) == wanted
    assert all(int(host[1:]) < max(same_zone, 1) + asked for host in chosen)


def test_store_outage_does_not_flood_slow_links() -> None:
    """A fleet of 60 loses the store, and all hosts ask for the member list.

    If they ask on every stream, each host receives the list 118 times.
    That occupies a slow link for a second, during which healthy hosts are
    taken for silent.
    """
    list_bytes = 60 * 100
    hosts = make_candidates(11, 48)
    received = len(peerqueries.peers_to_ask(hosts)) * list_bytes
    slowest_link_bytes_per_s = 2_500_000 / 8
    assert received < 0.1 * slowest_link_bytes_per_s
