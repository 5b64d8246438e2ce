"""Peers that do not answer do not count, at a cost that is bounded."""

from collections.abc import Callable
import random

import pytest

from peridotpost.decisions import roundtrips

STEP_S = 0.2
ROUND_TRIP_S = 0.01
PEERS = 300
Passes = Callable[[int, float], bool]


class Probed:
    """One process that probes its peers, on a simulated clock.

    :param passes: whether a probe of a peer and its answer arrive.
    """

    def __init__(self, passes: Passes, count: int = PEERS) -> None:
        self.passes = passes
        self.probes: roundtrips.RoundTrips[int] = roundtrips.RoundTrips(
            random.Random(3)
        )
        self.answered = dict.fromkeys(range(count), 0.0)
        self.sent = 0
        self.now = 0.0

    def play(self, until: float, urgent: bool = True) -> set[int]:
        """Play until a time and return the silent peers."""
        while self.now < until:
            self.now += STEP_S
            due = self.probes.update(self.answered, self.now, urgent)
            self.sent += len(due)
            for peer in due:
                if self.passes(peer, self.now):
                    self.answered[peer] = self.now + ROUND_TRIP_S
        return self.probes.silent


@pytest.mark.parametrize('urgent', [True, False])
@pytest.mark.parametrize(
    'part', [pytest.param(1.0, id='itself'), pytest.param(0.35, id='others')]
)
def test_peers_that_are_cut_off_are_found_within_two_seconds(
    part: float, urgent: bool
) -> None:
    """Guards against two parts of a fleet that count each other."""
    cut_off = set(range(round(part * PEERS)))
    probed = Probed(lambda peer, now: now < 10.0 or peer not in cut_off)
    assert probed.play(10.0, urgent) == set()
    assert probed.play(12.0, urgent) == cut_off


def test_peers_count_again_when_they_answer() -> None:
    probed = Probed(lambda peer, now: now < 10.0)
    assert len(probed.play(14.0)) == PEERS
    probed.answered = dict.fromkeys(probed.answered, probed.now)
    assert probed.play(14.2) == set()


@pytest.mark.parametrize('count', [10, 300, 5200])
def test_calm_fleet_is_probed_at_a_constant_rate(count: int) -> None:
    """Guards against a cost that grows with the fleet."""
    probed = Probed(lambda peer, now: True, count)
    probed.play(20.0)
    assert probed.sent <= 20.0 / STEP_S * roundtrips.SAMPLE


def test_one_silent_peer_has_the_others_probed_once() -> None:
    """Guards against a storm of probes while one process is frozen."""
    probed = Probed(lambda peer, now: peer != 7)
    probed.answered[7] = -10.0
    until = 60.0
    assert probed.play(until) == {7}
    sampled = until / STEP_S * roundtrips.SAMPLE
    assert probed.sent <= sampled + PEERS


def test_stalled_process_does_not_take_others_for_silent() -> None:
    """Guards against a count of one after each stall of the own process.

    Answers wait to be read meanwhile.
    """
    probed = Probed(lambda peer, now: False)
    probed.play(1.4)
    assert probed.probes.probed
    assert not probed.probes.silent
    probed.now += 30.0
    assert probed.play(probed.now + STEP_S) == set()


def test_peers_that_are_gone_are_forgotten() -> None:
    probed = Probed(lambda peer, now: False, count=5)
    assert len(probed.play(10.0)) == 5
    probed.answered = {9: probed.now}
    assert probed.play(probed.now + STEP_S) == set()
    assert not probed.probes.probed
