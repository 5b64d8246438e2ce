"""Which configuration updates a daemon applies and passes on."""

from collections.abc import Iterable
import dataclasses

import pytest

from peridotpost.decisions import fleet
from peridotpost.decisions import progress
from peridotpost.decisions import versions
from peridotpost.model import config
from peridotpost.model import members
from testing import distribution_harness

A = distribution_harness.hosting_interest('a')
AC = distribution_harness.hosting_interest('a', 'c')
TEXT = {'a': ['b'], 'b': [], 'c': ['d'], 'd': []}
OLD = distribution_harness.version(3, TEXT)
NEW = distribution_harness.version(5, {**TEXT, 'a': ['d']})
APPLIED = versions.Verdict.APPLIED
STALE = versions.Verdict.STALE
NEED_WHOLE = versions.Verdict.NEED_WHOLE


def cut(
    version: config.ConfigVersion, scope: config.Interest
) -> versions.Holding:
    return versions.Holding(version.narrow(scope), scope)


def whole(
    version: config.ConfigVersion, scope: config.Interest = A
) -> versions.ConfigUpdate:
    return versions.make_update(config.NO_CONFIG, cut(version, scope))


def change(
    base: config.ConfigVersion,
    version: config.ConfigVersion,
    scope: config.Interest = A,
) -> versions.ConfigUpdate:
    return versions.make_update(base.narrow(scope), cut(version, scope))


@pytest.mark.parametrize(
    ('held', 'wanted', 'update', 'verdict'),
    [
        pytest.param(cut(OLD, A), A, whole(NEW), APPLIED, id='whole'),
        pytest.param(cut(OLD, A), A, change(OLD, NEW), APPLIED, id='change'),
        pytest.param(cut(NEW, A), A, whole(OLD), STALE, id='older'),
        pytest.param(cut(NEW, A), A, whole(NEW), STALE, id='repeated'),
        pytest.param(cut(NEW, A), A, change(OLD, NEW), STALE, id='twice'),
        pytest.param(
            versions.EMPTY_HOLDING,
            A,
            change(OLD, NEW),
            NEED_WHOLE,
            id='change-of-a-version-not-held',
        ),
        pytest.param(
            cut(OLD, A),
            A,
            dataclasses.replace(change(OLD, NEW), digest=b'?'),
            NEED_WHOLE,
            id='damaged-change',
        ),
        pytest.param(
            cut(OLD, A),
            A,
            dataclasses.replace(whole(NEW), digest=b'?'),
            versions.Verdict.DAMAGED,
            id='damaged-whole',
        ),
        pytest.param(
            cut(OLD, A),
            A,
            dataclasses.replace(whole(NEW), revision=7),
            versions.Verdict.DAMAGED,
            id='damaged-revision',
        ),
        pytest.param(
            cut(OLD, A),
            AC,
            whole(OLD, AC),
            APPLIED,
            id='grown-scope-at-the-same-revision',
        ),
        pytest.param(
            cut(OLD, A),
            AC,
            whole(OLD),
            STALE,
            id='old-scope-again-while-it-grows',
        ),
        pytest.param(
            cut(OLD, A),
            AC,
            whole(NEW),
            APPLIED,
            id='newer-in-the-old-scope-while-it-grows',
        ),
        pytest.param(
            cut(OLD, AC),
            AC,
            whole(NEW),
            NEED_WHOLE,
            id='newer-but-cut-for-the-outgrown-scope',
        ),
    ],
)
def test_outcome_of_an_update(
    held: versions.Holding,
    wanted: config.Interest,
    update: versions.ConfigUpdate,
    verdict: versions.Verdict,
) -> None:
    result = versions.apply_update(held, wanted, update)
    assert result.verdict is verdict
    if verdict is not APPLIED:
        assert result.holding is held
    else:
        complete = NEW if update.revision == NEW.revision else OLD
        assert result.holding == cut(complete, update.scope)


def test_update_with_a_wider_scope_is_cut_to_the_wanted_one() -> None:
    result = versions.apply_update(cut(OLD, AC), A, whole(NEW, AC))
    assert result.holding == cut(NEW, A)


def test_scope_grown_while_an_update_is_in_flight_is_filled() -> None:
    # A target of another service starts on a host while a new version is in
    # flight to it.  The version is cut for the old scope and crosses the
    # hello with the new one.  The daemon must end up with the services
    # of its new target, at the same revision.
    parent = distribution_harness.Node('parent')
    child = distribution_harness.Node('child', A)
    parent.offer_version(OLD)
    pipe = distribution_harness.Pipe(child, parent)
    distribution_harness.run_until_idle([pipe])
    parent.offer_version(NEW)
    pipe.send(1)
    child.replica.set_interest(AC)
    distribution_harness.run_until_idle([pipe])
    assert child.replica.holding == cut(NEW, AC)


def test_new_parent_does_not_pass_its_old_part_on_as_the_whole() -> None:
    # An intermediate parent dies and a leaf replaces it.  The leaf now needs
    # the whole configuration, but until its own parent answers it holds only
    # the part for its targets, and a newer version of that part arrives
    # first.  A child that took the part for the whole would drop routes.
    relay = distribution_harness.Node('relay')
    middle = distribution_harness.Node('middle', A)
    leaf = distribution_harness.Node('leaf', AC)
    relay.offer_version(OLD)
    leaf.offer_version(OLD)
    up = distribution_harness.Pipe(middle, relay)
    distribution_harness.run_until_idle([up])
    relay.offer_version(NEW)
    up.send(1)
    middle.replica.set_interest(config.EVERYTHING)
    while up.deliver(1) is not None:
        pass
    assert middle.replica.version.revision == NEW.revision
    down = distribution_harness.Pipe(leaf, middle)
    distribution_harness.run_until_idle([down])
    assert leaf.replica.holding == cut(OLD, AC)
    distribution_harness.run_until_idle([up, down])
    assert leaf.replica.holding == cut(NEW, AC)


def test_leaf_with_a_newer_version_does_not_push_its_part_upwards() -> None:
    parent = distribution_harness.Node('parent')
    child = distribution_harness.Node('child', A)
    parent.offer_version(OLD)
    child.offer_version(NEW)
    distribution_harness.run_until_idle(
        [distribution_harness.Pipe(child, parent)]
    )
    assert parent.replica.holding == cut(OLD, config.EVERYTHING)
    assert child.replica.holding == cut(NEW, A)


def test_slow_peer_gets_only_the_latest_state() -> None:
    # A peer reads nothing while 1,000 versions are accepted and a member
    # changes 1,000 times.  The data queued for it must not grow, and once
    # it reads it gets only the latest state.
    parent = distribution_harness.Node('parent')
    child = distribution_harness.Node('child')
    parent.offer_version(OLD)
    pipe = distribution_harness.Pipe(child, parent)
    distribution_harness.run_until_idle([pipe])
    for number in range(1000):
        parent.offer_version(distribution_harness.version(10 + number, TEXT))
        parent.add_records(
            [distribution_harness.member('busy', sequence=number)]
        )
    assert pipe.ends[1].dirty_hosts == {'busy'}
    pipe.send(1)
    assert len(pipe.undelivered[1]) == 1
    distribution_harness.run_until_idle([pipe])
    assert child.replica.version.revision == 1009
    assert child.replica.fleet.records['busy'].sequence == 999


def test_late_live_record_of_a_dead_member_is_answered_with_its_death() -> (
    None
):
    # One daemon knows that a member died; its peer receives the member's
    # earlier live record from a third daemon and forwards it.  The first
    # must answer with the death, or calls would go to the dead member until
    # the next reconciliation.
    knows = distribution_harness.Node('knows')
    other = distribution_harness.Node('other')
    knows.add_records(
        [distribution_harness.member('gone', status=members.Status.DEAD)]
    )
    pipe = distribution_harness.Pipe(other, knows)
    distribution_harness.run_until_idle([pipe])
    assert 'gone' not in other.replica.fleet.records
    other.add_records([distribution_harness.member('gone')])
    distribution_harness.run_until_idle([pipe])
    assert not other.replica.fleet.records['gone'].live


def test_departed_members_are_forgotten_though_others_remember_them() -> None:
    # Hundreds of hosts are replaced each day.  A daemon that has forgotten
    # one connects to another that has not.  If it received the record again
    # it would pass it on in turn, and no daemon would ever forget it.
    first = distribution_harness.Node('first')
    second = distribution_harness.Node('second')
    gone = distribution_harness.member('gone', status=members.Status.LEFT)
    first.add_records([gone])
    second.add_records([gone, *distribution_harness.make_members(200)])
    first.clock.current_time += fleet.TOMBSTONE_S + 1
    assert first.replica.fleet.forget(first.clock.current_time) == ['gone']
    distribution_harness.run_until_idle(
        [distribution_harness.Pipe(first, second)]
    )
    assert 'gone' not in first.replica.fleet.records


@pytest.mark.parametrize(
    ('changed', 'bound'),
    [
        pytest.param(0, 1_000, id='equal'),
        pytest.param(1, 4_000, id='one-changed'),
        pytest.param(40, 90_000, id='a-rack-changed'),
    ],
)
def test_hello_exchange_of_5200_members_is_bounded_in_bytes(
    changed: int, bound: int
) -> None:
    # Many children move to new parents, each knowing the whole fleet.
    # Hello messages that list every member take 114 KB each way, and a
    # parent's budget is 7 KB/s.
    records = distribution_harness.make_members(5200)
    parent = distribution_harness.Node('parent')
    child = distribution_harness.Node('child')
    parent.add_records(records)
    child.add_records(records)
    parent.add_records(
        dataclasses.replace(one, sequence=2) for one in records[:changed]
    )
    pipe = distribution_harness.Pipe(child, parent)
    distribution_harness.run_until_idle([pipe])
    assert child.replica.fleet.bucket_sums == parent.replica.fleet.bucket_sums
    assert pipe.bytes_sent < bound


def report_of(
    revision: int, *hosts: str, below: Iterable[progress.Progress] = ()
) -> progress.Progress:
    """Return the report of the first host, with the others at `revision`."""
    others = [progress.combine(host, revision, ()) for host in hosts[1:]]
    return progress.combine(hosts[0], revision, [*others, *below])


@pytest.mark.parametrize(
    ('report', 'live', 'known'),
    [
        pytest.param(report_of(5, 'a'), 'a', True, id='alone'),
        pytest.param(
            report_of(5, 'a', 'b', 'c'), 'abc', True, id='all-reported'
        ),
        pytest.param(
            report_of(7, 'a', 'b', below=[report_of(4, 'c')]),
            'abc',
            False,
            id='one-behind',
        ),
        pytest.param(
            report_of(4, 'a', below=[report_of(5, 'b', 'c')]),
            'abc',
            False,
            id='itself-behind',
        ),
        pytest.param(report_of(5, 'a', 'b'), 'abc', False, id='one-missing'),
        pytest.param(
            report_of(5, 'a', 'b', 'b'),
            'abc',
            False,
            id='one-reported-twice-one-missing',
        ),
        pytest.param(
            report_of(5, 'a', below=[progress.NO_PROGRESS]),
            'ab',
            False,
            id='child-has-not-reported-yet',
        ),
    ],
)
def test_version_is_known_to_be_in_force_once_all_reported(
    report: progress.Progress, live: str, known: bool
) -> None:
    assert progress.in_force(5, report, live) is known


def test_progress_of_a_tree_reaches_its_root_in_few_messages() -> None:
    # An operator asks one relay whether a version is in force everywhere.
    # Its report must show a daemon that lags, and each version must cost
    # one report per link, not one for every daemon below.
    root = distribution_harness.Node('root')
    middles = [distribution_harness.Node(f'middle-{n}') for n in range(4)]
    pipes = [distribution_harness.Pipe(one, root) for one in middles]
    for number, middle in enumerate(middles):
        leaves = [
            distribution_harness.Node(f'leaf-{number}-{n}', A)
            for n in range(8)
        ]
        pipes += [distribution_harness.Pipe(leaf, middle) for leaf in leaves]
    root.offer_version(OLD)
    distribution_harness.run_until_idle(pipes)
    hosts = [root.host, *(pipe.nodes[0].host for pipe in pipes)]
    assert progress.in_force(OLD.revision, root.table.progress, hosts)
    root.offer_version(NEW)
    for pipe in pipes[:-1]:
        distribution_harness.run_until_idle([pipe])
    assert root.table.progress.lowest_revision == OLD.revision
    frames = distribution_harness.run_until_idle(pipes)
    assert progress.in_force(NEW.revision, root.table.progress, hosts)
    assert root.table.progress.daemons == 37
    assert frames <= 2 * len(pipes)


@pytest.mark.parametrize(
    ('store_read', 'holding', 'asked', 'known', 'enough'),
    [
        pytest.param(True, 0, 0, 0, True, id='store-answered'),
        pytest.param(False, 0, 0, 0, False, id='no-peers'),
        pytest.param(False, 1, 3, 9, False, id='more-peers-to-ask'),
        pytest.param(False, 3, 6, 9, True, id='three-hold-a-version'),
        pytest.param(False, 1, 2, 2, True, id='all-asked-one-holds'),
        pytest.param(False, 0, 2, 2, False, id='all-asked-none-holds'),
    ],
)
def test_starting_daemon_serves_once_it_heard_enough_peers(
    store_read: bool, holding: int, asked: int, known: int, enough: bool
) -> None:
    assert (
        versions.heard_from_enough_peers(store_read, holding, asked, known)
        is enough
    )
