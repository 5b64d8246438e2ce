"""Tests of which version gets a request, during a release and after it."""

import random

import pytest

from peridotpost.decisions import releasesplit
from peridotpost.decisions import targetstate
from peridotpost.model import release

ORDER = release.ReleaseOrder('bonds', 'v2', 12.0, 10)


def state(
    stage: release.Stage = release.Stage.CANARY,
    share: float = 0.05,
    number: int = 1,
    epoch: int = 11,
    order: release.ReleaseOrder = ORDER,
    **given: object,
) -> release.ReleaseState:
    fields = {'canary_host': '', 'elapsed_s': 0.0, 'coordinator': 'c'} | given
    return release.ReleaseState(
        order,
        epoch,
        number,
        stage,
        share,
        **fields,  # type: ignore[arg-type]
    )


def target(
    host: str, version: str, ready: bool = True
) -> targetstate.Candidate:
    return targetstate.Candidate(
        host, 'zone', service='bonds', version=version, ready=ready
    )


KNOWN = [target('a', 'v1'), target('b', 'v1'), target('c', 'v2')]


def hosts(
    split: releasesplit.ReleaseSplit,
    new: bool = False,
    known: list[targetstate.Candidate] = KNOWN,
    now: float = 100.0,
) -> str:
    targets = split.eligible_targets('bonds', known, new, now)
    return ''.join(candidate.host for candidate in targets)


def settled() -> releasesplit.ReleaseSplit:
    """Return the split of a daemon that saw only targets of v1 for long."""
    split = releasesplit.ReleaseSplit()
    assert hosts(split, known=KNOWN[:2], now=0.0) == 'ab'
    assert hosts(split, known=KNOWN[:2], now=50.0) == 'ab'
    return split


def test_new_version_is_not_eligible_without_an_order() -> None:
    """New targets start idle before the order and would attract requests."""
    many = [*KNOWN, target('d', 'v2'), target('e', 'v2')]
    assert hosts(settled(), known=many) == 'ab'


def test_only_remaining_version_is_eligible() -> None:
    assert hosts(settled(), known=[target('c', 'v2')]) == 'c'


def test_host_of_a_new_target_prefers_the_old_version() -> None:
    """The daemon of a new target's host starts with it and sees it first."""
    split = releasesplit.ReleaseSplit()
    assert hosts(split, known=[KNOWN[2]], now=0.0) == 'c'
    assert hosts(split, now=0.5) == 'ab'
    assert hosts(split, now=50.0) == 'ab'


def test_suspected_old_target_counts_during_discovery() -> None:
    """A suspicion left the new version the most targets, so it got all."""
    split = releasesplit.ReleaseSplit()
    equal = [*KNOWN, target('d', 'v2')]
    assert hosts(split, known=equal, now=0.0) == 'ab'
    assert hosts(split, known=equal[1:], now=0.5) == 'b'
    unready = [target('a', 'v1', ready=False), *equal[1:]]
    assert hosts(split, known=unready, now=4.0) == 'b'
    assert hosts(split, known=equal, now=5.0) == 'ab'


def test_old_version_gets_requests_again_after_a_short_absence() -> None:
    """The new version kept all requests once no old target was ready."""
    split = settled()
    assert hosts(split, known=KNOWN[2:], now=60.0) == 'c'
    assert hosts(split, now=61.0) == 'ab'
    assert hosts(split, known=KNOWN[2:], now=70.0) == 'c'
    absent_until = 70.0 + releasesplit.DISCOVERY_S
    assert hosts(split, known=KNOWN[2:], now=absent_until) == 'c'
    assert hosts(split, now=absent_until + 1.0) == 'c'


def test_canary_share_is_not_exceeded_while_ingresses_restart(
    randomness: random.Random,
) -> None:
    """Ingresses restart often and lose their counts."""
    fleet = [releasesplit.ReleaseSplit() for _ in range(70)]
    for one in fleet:
        one.offer(state(), 0.0)
    new = total = 0
    for turn in range(20_000):
        if turn % 50 == 0:
            fresh = releasesplit.ReleaseSplit()
            fresh.offer(state(), 0.0)
            fleet[randomness.randrange(70)] = fresh
        ingress = randomness.choice(fleet)
        is_new = ingress.spend_canary_credit('bonds', 0.1)
        ingress.record_run('bonds', 'v2' if is_new else 'v1')
        new += is_new
        total += 1
        assert new <= 0.05 * total
    assert new > 0.02 * total


def test_ingress_without_updates_sends_no_canary_requests() -> None:
    split = releasesplit.ReleaseSplit()
    split.offer(state(share=0.5), 0.0)
    split.record_run('bonds', 'v1')
    assert split.spend_canary_credit('bonds', 1.0)
    split.record_run('bonds', 'v1')
    assert not split.spend_canary_credit(
        'bonds', releasesplit.UPDATE_TIMEOUT_S + 0.1
    )


def test_canary_host_gets_the_canary_share() -> None:
    split = releasesplit.ReleaseSplit()
    known = [*KNOWN, target('d', 'v2')]
    split.offer(state(canary_host='d'), 0.0)
    assert hosts(split, new=True, known=known) == 'd'
    split.offer(state(number=2), 0.0)
    assert hosts(split, new=True, known=known) == 'cd'


@pytest.mark.parametrize(
    ('stage', 'served', 'old_refuses', 'new_refuses'),
    [
        pytest.param(release.Stage.CANARY, 'ab', False, False, id='canary'),
        pytest.param(release.Stage.SHIFT, 'ab', False, False, id='shift'),
        pytest.param(release.Stage.DRAIN, 'c', True, False, id='drain'),
        pytest.param(
            release.Stage.COMPLETED, 'c', True, False, id='completed'
        ),
        pytest.param(
            release.Stage.ROLLED_BACK, 'ab', False, True, id='rolled back'
        ),
    ],
)
def test_eligible_targets_of_each_stage(
    stage: release.Stage, served: str, old_refuses: bool, new_refuses: bool
) -> None:
    split = releasesplit.ReleaseSplit()
    split.offer(state(stage), 0.0)
    assert hosts(split) == served
    assert split.refuses_new_work('bonds', 'v1') is old_refuses
    assert split.refuses_new_work('bonds', 'v2') is new_refuses
    assert not split.refuses_new_work('other', 'v2')


@pytest.mark.parametrize(
    ('offered', 'adopted'),
    [
        pytest.param(state(number=3), True, id='newer number'),
        pytest.param(state(number=1), False, id='older number'),
        pytest.param(state(epoch=12, number=1), True, id='next coordinator'),
        pytest.param(
            state(epoch=9, number=7), False, id='earlier coordinator'
        ),
        pytest.param(
            state(release.Stage.ROLLED_BACK, epoch=9), True, id='final'
        ),
        pytest.param(
            state(order=release.ReleaseOrder('bonds', 'v3', 9.0, 20), epoch=1),
            True,
            id='next order',
        ),
        pytest.param(
            state(order=release.ReleaseOrder('bonds', 'v0', 9.0, 5)),
            False,
            id='earlier order',
        ),
    ],
)
def test_only_newer_states_are_adopted(
    offered: release.ReleaseState, adopted: bool
) -> None:
    split = releasesplit.ReleaseSplit()
    split.offer(state(number=2), 0.0)
    assert split.offer(offered, 0.0) is adopted


@pytest.mark.parametrize(
    'final', [release.Stage.ROLLED_BACK, release.Stage.COMPLETED]
)
def test_paused_coordinator_does_not_revert_a_final_stage(
    final: release.Stage,
) -> None:
    split = releasesplit.ReleaseSplit()
    split.offer(state(final, epoch=12), 0.0)
    assert not split.offer(state(epoch=13, number=9), 0.0)
    known = split.state('bonds')
    assert known is not None and known.stage is final


def test_rejected_version_gets_no_requests_in_the_next_release() -> None:
    """A second order arrives while the first version is still evaluated."""
    split = releasesplit.ReleaseSplit()
    split.offer(state(), 0.0)
    second = release.ReleaseOrder('bonds', 'v3', 12.0, 20)
    banned = split.versions_to_reject(second)
    assert banned == ('v2',)
    split.offer(state(order=second, rejected_versions=banned), 0.0)
    assert hosts(split, known=[*KNOWN, target('e', 'v3')]) == 'ab'
    assert split.refuses_new_work('bonds', 'v2')
    again = release.ReleaseOrder('bonds', 'v2', 12.0, 30)
    assert split.versions_to_reject(again) == ('v3',)
