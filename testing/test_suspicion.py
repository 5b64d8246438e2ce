"""Suspicions and deaths in simulated zones of many observers."""

import asyncio
from collections.abc import Collection
import contextlib
import dataclasses
import random
from typing import Any

import pytest

from peridotpost.decisions import observer as observers
from peridotpost.decisions import suspicion
from peridotpost.distribution import wire
from peridotpost.generated import control_pb2
from peridotpost.kernel import counters
from peridotpost.kernel import timers
from peridotpost.membership import myself as own
from peridotpost.membership import pings
from peridotpost.membership import probing
from peridotpost.model import members
from testing import fakes

PERIOD_S = 1.0
SUSPICION_S = 4.0
ZONE_SIZE = 473
ALIVE, SUSPECT, DEAD = (
    members.Status.ALIVE,
    members.Status.SUSPECT,
    members.Status.DEAD,
)


def record_of(
    host: str, status: members.Status = ALIVE, **fields: Any
) -> members.MemberRecord:
    plain: dict[str, Any] = {
        'availability_zone': 'z',
        'incarnation': 1,
        'sequence': 1,
        'address': '127.0.0.1',
        'control_port': 1,
        'probe_port': 2,
        'call_port': 3,
        'admin_port': 4,
    }
    return members.MemberRecord(host=host, status=status, **plain | fields)


class Zone:
    """Observers that share their conclusions, over a lossy network.

    A suspect learns of its suspicion only from a probe that reaches it, as
    if all of its streams were broken.

    :param down: hosts that don't answer.
    :param cut: hosts whose datagrams are all lost, in both directions.
    :param island: hosts that reach only each other.
    """

    def __init__(self, count: int, loss: float, seed: int) -> None:
        self.randomness = random.Random(seed)
        self.loss = loss
        self.down: set[str] = set()
        self.cut: set[str] = set()
        self.island: set[str] = set()
        self.now = 0.0
        self.records = {
            host: record_of(host)
            for host in map('h{:04}'.format, range(count))
        }
        self.observers = {
            host: observers.Observer(
                random.Random(f'{seed}/{host}'), SUSPICION_S
            )
            for host in self.records
        }
        self.suspected: list[str] = []
        self.dead_after: dict[str, float] = {}

    def offer(self, record: members.MemberRecord) -> None:
        held = self.records[record.host]
        if record.mark <= held.mark:
            return
        self.records[record.host] = record
        if record.status is SUSPECT:
            self.suspected.append(record.host)
        if record.status is DEAD:
            self.dead_after[record.host] = self.now
        for one in self.observers.values():
            one.suspicions.observe(record, self.now)

    def passes(self, source: str, to: str) -> bool:
        if source in self.cut or to in self.cut:
            return False
        if (source in self.island) != (to in self.island):
            return False
        return self.randomness.random() >= self.loss

    def ping(self, source: str, to: str) -> bool:
        if not self.passes(source, to) or to in self.down:
            return False
        held = self.records[to]
        if held.status is not ALIVE:
            self.offer(
                dataclasses.replace(
                    held, status=ALIVE, incarnation=held.incarnation + 1
                )
            )
        return self.passes(to, source)

    def probe(self, source: str, to: str, live: Collection[str]) -> None:
        seen = self.records[to]
        if self.ping(source, to):
            evidence = observers.ProbeResult(answered=True)
        else:
            evidence = self.probe_through(source, to, live)
        latest = self.records[to]
        if latest.incarnation != seen.incarnation or not latest.live:
            return
        observer = self.observers[source]
        verdict = observer.evaluate(latest, evidence, self.now)
        if verdict is observers.Verdict.SUSPECTED:
            self.offer(suspicion.suspected(latest))
        elif verdict is observers.Verdict.DEAD:
            self.offer(suspicion.dead(latest))

    def probe_through(
        self, source: str, to: str, live: Collection[str]
    ) -> observers.ProbeResult:
        others = set(live) - {source}
        helpers = self.observers[source].probe_round.helpers(to, others)
        heard, answered = 0, False
        for helper in helpers:
            if helper in self.down or not self.passes(source, helper):
                continue
            heard += self.passes(helper, source)
            answered |= self.ping(helper, to) and self.passes(helper, source)
        return observers.ProbeResult(answered, len(helpers), heard)

    def run(self, rounds: int, only: Collection[str] = ()) -> None:
        for _ in range(rounds):
            self.now += PERIOD_S
            live = {h for h, one in self.records.items() if one.live}
            for host in sorted(only or live - self.down):
                observer = self.observers[host]
                for subject in observer.select_subjects(
                    live - {host}, self.now
                ):
                    self.probe(host, subject, live)


@pytest.mark.parametrize(
    ('lost', 'loss', 'rounds'),
    [(1, 0.0, 6), (1, 0.05, 6), (1, 0.2, 8), (40, 0.0, 12), (40, 0.05, 12)],
    ids=['one', 'one-lossy', 'one-very-lossy', 'rack', 'rack-lossy'],
)
def test_lost_members_are_declared_dead_and_no_other(
    lost: int, loss: float, rounds: int
) -> None:
    # A rack of 40 fails at once, or one daemon hangs: it receives datagrams
    # and answers none.  Calls are sent there until it is declared dead.
    zone = Zone(ZONE_SIZE, loss, seed=11)
    zone.run(3)
    failed = set(list(zone.records)[100 : 100 + lost])
    zone.down = failed
    zone.run(rounds)
    assert set(zone.dead_after) == failed


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_no_live_member_is_declared_dead_on_a_lossy_network(seed: int) -> None:
    # Every twentieth datagram is lost.  That causes suspicions all the
    # time, but a death would remove a live target from every table.
    zone = Zone(ZONE_SIZE, 0.05, seed)
    zone.run(40)
    assert zone.dead_after == {}
    assert len(zone.suspected) < 40


def test_none_of_two_thousand_is_declared_dead_on_a_lossy_network() -> None:
    zone = Zone(2_000, 0.05, seed=4)
    zone.run(4)
    assert zone.dead_after == {}


def test_observer_that_reaches_nobody_declares_nobody_dead() -> None:
    # One daemon's network card fails.  It must keep the targets it knows
    # instead of removing its whole zone from its table, and the others must
    # still declare it dead.
    zone = Zone(100, 0.0, seed=5)
    zone.run(3)
    isolated = 'h0007'
    zone.cut = {isolated}
    zone.run(50, only=[isolated])
    assert zone.suspected == []
    zone.run(8)
    assert list(zone.dead_after) == [isolated]


def test_half_of_a_zone_that_is_cut_off_keeps_itself_alive() -> None:
    # A switch fails: 30 of 90 hosts reach only each other, and must keep
    # each other alive.  Their view of the other 60 is not checked.
    zone = Zone(90, 0.0, seed=6)
    island = set(list(zone.records)[:30])
    zone.island = island
    zone.run(30, only=sorted(island))
    assert not island & set(zone.dead_after)


def test_death_is_declared_though_its_first_observer_dies_too() -> None:
    # The only observer that found the silence dies before the suspicion
    # ends.  The others only received it, and must act after a longer wait.
    zone = Zone(60, 0.0, seed=7)
    failed, first_observer = 'h0001', 'h0002'
    zone.down = {failed}
    zone.probe(first_observer, failed, zone.records)
    assert zone.suspected == [failed]
    zone.down |= {first_observer}
    others = [one for one in zone.records if one not in zone.down]
    for host in others:
        zone.observers[host].probe_round.pending = [others[0]] * 12
    zone.run(9)
    assert failed in zone.dead_after


@pytest.mark.parametrize(
    ('silences', 'lasts_s'),
    [(0, 8.0), (1, 4.0), (2, 3.0), (3, 2.415), (4, 2.0), (9, 2.0)],
)
def test_confirmed_suspicion_is_shorter(silences: int, lasts_s: float) -> None:
    one = suspicion.Suspicion(1, 0.0, silences)
    assert one.duration_s(SUSPICION_S) == pytest.approx(lasts_s, abs=0.001)


ProbeResult, Verdict = observers.ProbeResult, observers.Verdict


@pytest.mark.parametrize(
    ('status', 'evidence', 'after_s', 'verdict'),
    [
        (ALIVE, ProbeResult(True), 0, Verdict.ALIVE),
        (ALIVE, ProbeResult(False, 3, 1), 0, Verdict.SUSPECTED),
        (ALIVE, ProbeResult(False, 0, 0), 0, Verdict.SUSPECTED),
        (ALIVE, ProbeResult(False, 3, 0), 0, Verdict.ISOLATED),
        (
            ALIVE,
            ProbeResult(False, 3, 3, observer_paused=True),
            0,
            Verdict.UNCLEAR,
        ),
        (SUSPECT, ProbeResult(False, 3, 3), 7.9, Verdict.STILL_SILENT),
        (SUSPECT, ProbeResult(False, 3, 3), 8.0, Verdict.DEAD),
        (SUSPECT, ProbeResult(True), 8.0, Verdict.ALIVE),
        (SUSPECT, ProbeResult(False, 3, 0), 8.0, Verdict.ISOLATED),
        (
            SUSPECT,
            ProbeResult(False, 3, 3, observer_paused=True),
            8.0,
            Verdict.UNCLEAR,
        ),
    ],
)
def test_verdict_on_one_probe(
    status: members.Status,
    evidence: observers.ProbeResult,
    after_s: float,
    verdict: observers.Verdict,
    randomness: random.Random,
) -> None:
    one = observers.Observer(randomness, SUSPICION_S)
    record = record_of('a', status)
    one.suspicions.observe(record, 0.0)
    assert one.evaluate(record, evidence, after_s) is verdict


def test_suspicion_of_an_older_incarnation_ends(
    randomness: random.Random,
) -> None:
    one = suspicion.Suspicions(SUSPICION_S)
    one.record_silence(record_of('a'), 0.0)
    one.observe(record_of('a', SUSPECT, incarnation=2), 3.0)
    assert one.expired(10.9) == []
    assert one.expired(11.0) == ['a']
    one.restart(11.0)
    assert one.expired(18.9) == []
    one.observe(record_of('a', ALIVE, incarnation=3), 19.0)
    assert one.by_host == {}


@pytest.mark.parametrize(
    ('gaps', 'paused'),
    [([1.0, 1.1, 2.9], False), ([1.0, 3.1], True), ([1.0, 60.0], True)],
)
def test_observer_notices_its_own_pause(
    gaps: list[float], paused: bool
) -> None:
    detector, now, seen = suspicion.PauseDetector(PERIOD_S, 0.0), 0.0, []
    for gap in gaps:
        now += gap
        seen.append(detector.paused(now))
    assert seen == [False] * (len(gaps) - 1) + [paused]
    assert detector.paused(now + 1.0) is False


def test_each_member_is_probed_once_a_round(randomness: random.Random) -> None:
    one = suspicion.ProbeRound(randomness)
    hosts = [f'h{number}' for number in range(50)]
    for _ in range(3):
        assert sorted(one.next_subject(hosts) or '' for _ in hosts) == sorted(
            hosts
        )


def test_last_member_of_a_zone_is_probed_from_other_zones() -> None:
    # Two of a zone's three hosts are gone.  When the last one fails, no
    # member of its zone is left to find it silent, and its targets would
    # stay in the tables.
    fleet = [record_of(f'a{n}') for n in range(4)]
    fleet += [record_of('b0', availability_zone='b')]
    fleet += [record_of(f'c{n}', availability_zone='c') for n in range(3)]
    hosts = suspicion.hosts_to_probe('z', fleet)
    assert hosts == ['a0', 'a1', 'a2', 'a3', 'b0']


class FewMembers:
    """A small fleet that merges records like ``decisions.fleet``."""

    def __init__(self, *records: members.MemberRecord) -> None:
        self.records = {one.host: one for one in records}
        self.offered: list[members.MemberRecord] = []

    def record_of(self, host: str) -> members.MemberRecord | None:
        return self.records.get(host)

    def live(self) -> list[members.MemberRecord]:
        return [one for one in self.records.values() if one.live]

    def offer(self, record: members.MemberRecord) -> None:
        self.offered.append(record)
        held = self.records.get(record.host)
        if held is None or held.mark < record.mark:
            self.records[record.host] = record


class Sent:
    """A transport that records the datagrams of a prober."""

    def __init__(self) -> None:
        self.datagrams: list[tuple[control_pb2.Probe, pings.Address]] = []

    def sendto(self, data: bytes, address: pings.Address) -> None:
        probe = control_pb2.Probe()
        probe.ParseFromString(data)
        self.datagrams.append((probe, address))


MINE = ('10.0.0.1', 1)
SUBJECT = ('10.0.0.2', 2)
HELPER = ('10.0.0.3', 3)


@pytest.mark.parametrize(
    ('silent', 'paused_s', 'statuses', 'counted'),
    [
        ((), 0.0, {ALIVE}, 'probe.alive'),
        (('b',), 0.0, {ALIVE, SUSPECT}, 'probe.suspected'),
        (('b', 'c', 'd'), 0.0, {ALIVE}, 'probe.isolated'),
        (('b',), 60.0, {ALIVE}, 'probe.own-pause'),
    ],
    ids=['all-answer', 'one-silent', 'all-silent', 'paused-while-waiting'],
)
async def test_ticks_of_a_prober(
    silent: tuple[str, ...],
    paused_s: float,
    statuses: set[members.Status],
    counted: str,
    randomness: random.Random,
) -> None:
    # In the last case the process is paused while it waits for an answer,
    # and handles the expired timeout before any datagram.
    hosts = ('a', 'b', 'c', 'd')
    fleet = FewMembers(*(record_of(h, address=h) for h in hosts))
    clock: Any = fakes.Clock()
    counts = counters.Counters()
    probers: dict[str, probing.Prober] = {}
    for host in hosts:
        one = probing.Prober(
            host, 'z', fleet, clock, counts, randomness, 1.0, 0.05, 4.0
        )
        one.pings.encode, one.pings.decode = (
            wire.member_to_wire,
            wire.member_from_wire,
        )
        link: Any = Link(host, probers, silent)
        one.pings.transport = link
        probers[host] = one
    noticed: list[bool] = []
    probers['a'].pause_listeners.append(lambda: noticed.append(True))
    for _ in hosts[1:]:
        clock.at += 1.0
        ticking = asyncio.ensure_future(probers['a'].tick())
        while not (probers['a'].pings.pending_probes or ticking.done()):
            await asyncio.sleep(0)
        if any(
            one.subject == 'b'
            for one in probers['a'].pings.pending_probes.values()
        ):
            clock.at += paused_s
        await ticking
    assert {one.status for one in fleet.records.values()} == statuses
    assert counts.totals[counted] > 0
    assert bool(noticed) is bool(paused_s)


class Link:
    """A transport that delivers datagrams to the other probers."""

    def __init__(
        self,
        host: str,
        probers: dict[str, probing.Prober],
        silent: tuple[str, ...],
    ) -> None:
        self.host = host
        self.probers = probers
        self.silent = silent

    def sendto(self, data: bytes, address: pings.Address) -> None:
        to = address[0]
        if self.host in self.silent or to in self.silent:
            return
        source = (self.host, address[1])
        loop = asyncio.get_running_loop()
        loop.call_soon(self.probers[to].pings.received, data, source)


@contextlib.contextmanager
def open_prober(randomness: random.Random) -> Any:
    fleet = FewMembers(
        *(
            record_of(host, address=address, probe_port=port)
            for host, (address, port) in (
                ('me', MINE),
                ('subject', SUBJECT),
                ('helper', HELPER),
            )
        )
    )
    counts = counters.Counters()
    with timers.timer_service(randomness) as clock:
        prober = probing.Prober(
            'me', 'z', fleet, clock, counts, randomness, 1.0, 0.2, 4.0
        )
        prober.pings.encode = wire.member_to_wire
        prober.pings.decode = wire.member_from_wire
        sent: Any = Sent()
        prober.pings.transport = sent
        yield prober, fleet, sent, counts


@pytest.mark.parametrize(
    ('change', 'address', 'count'),
    [
        ({'source': 'helper'}, SUBJECT, 'probe.wrong-source'),
        ({}, HELPER, 'probe.wrong-source'),
        ({'subject': 'helper'}, SUBJECT, 'probe.wrong-source'),
        ({'nonce': 7}, SUBJECT, 'probe.stale'),
        ({'kind': 9}, SUBJECT, 'probe.unreadable'),
        ({'kind': pings.PING}, SUBJECT, 'probe.misdirected'),
    ],
    ids=[
        'of-another-host',
        'from-another-address',
        'about-another',
        'replayed-or-guessed-nonce',
        'unknown-kind',
        'ping-meant-for-another',
    ],
)
async def test_invalid_answer_is_ignored_and_counted(
    change: dict[str, Any],
    address: pings.Address,
    count: str,
    randomness: random.Random,
) -> None:
    # A daemon starts on the address of a dead one, or an answer arrives
    # late.  If it counted as the subject's, a dead target would stay in use.
    with open_prober(randomness) as (prober, fleet, sent, counts):
        pending_ping = asyncio.ensure_future(
            prober.pings.ping(fleet.records['subject'])
        )
        await asyncio.sleep(0)
        ping, _ = sent.datagrams[0]
        wrong = {
            'kind': pings.ACK,
            'nonce': ping.nonce,
            'source': 'subject',
            'subject': 'subject',
            'facts': [wire.member_to_wire(record_of('helper', DEAD))],
            **change,
        }
        prober.pings.received(
            control_pb2.Probe(**wrong).SerializeToString(), address
        )
        assert counts.totals[count] == 1
        assert fleet.offered == []
        assert await pending_ping is False


async def test_datagrams_of_any_bytes_are_counted(
    randomness: random.Random,
) -> None:
    with open_prober(randomness) as (prober, _, sent, counts):
        for size in range(64):
            prober.pings.received(randomness.randbytes(size), SUBJECT)
        assert counts.totals['probe.received-messages'] == 64
        assert sent.datagrams == []


async def test_suspect_refutes_in_its_answer_to_the_probe(
    randomness: random.Random,
) -> None:
    # The suspect's streams are broken, so only the probe informs it.
    with open_prober(randomness) as (prober, fleet, sent, _):
        myself = own.LocalMember(fleet.records['me'])
        prober.fleet.offer = myself.refute
        myself.changed.subscribe(lambda new: fleet.records.update(me=new))
        fact = suspicion.suspected(fleet.records['me'])
        ping = control_pb2.Probe(
            kind=pings.PING,
            nonce=5,
            source='subject',
            subject='me',
            facts=[wire.member_to_wire(fact)],
        )
        prober.pings.received(ping.SerializeToString(), SUBJECT)
        answer, to = sent.datagrams[-1]
    assert (answer.kind, answer.nonce, to) == (pings.ACK, 5, SUBJECT)
    refutation = wire.member_from_wire(answer.facts[0])
    assert (refutation.status, refutation.incarnation) == (ALIVE, 2)


async def test_helper_confirms_requests_and_bounds_a_flood(
    randomness: random.Random,
) -> None:
    with open_prober(randomness) as (prober, _, sent, counts):
        for nonce in range(pings.MAX_RELAYED_PROBES + 5):
            request = control_pb2.Probe(
                kind=pings.PING_REQUEST,
                nonce=nonce,
                source='helper',
                subject='subject',
            )
            prober.pings.received(request.SerializeToString(), HELPER)
        await asyncio.sleep(0)
        kinds = [(probe.kind, to) for probe, to in sent.datagrams]
        assert (
            kinds.count((pings.REQUEST_ACK, HELPER))
            == pings.MAX_RELAYED_PROBES
        )
        assert kinds.count((pings.PING, SUBJECT)) == pings.MAX_RELAYED_PROBES
        assert counts.totals['probe.relay-refused'] == 5
        for task in tuple(prober.pings.relay_tasks):
            task.cancel()


@pytest.mark.parametrize(
    ('heard', 'refutes'),
    [
        (record_of('me', SUSPECT), True),
        (record_of('me', DEAD), True),
        (record_of('me', DEAD, incarnation=8), True),
        (record_of('me', ALIVE, sequence=5), True),
        (record_of('me', DEAD, incarnation=0), False),
        (record_of('me'), False),
    ],
    ids=['suspect', 'dead', 'later-dead', 'left-behind', 'older', 'own'],
)
def test_daemon_answers_a_record_that_it_did_not_write(
    heard: members.MemberRecord, refutes: bool
) -> None:
    myself = own.LocalMember(record_of('me'))
    published: list[members.MemberRecord] = []
    myself.changed.subscribe(published.append)
    myself.refute(heard)
    assert bool(published) is refutes
    if refutes:
        assert published[0].mark > heard.mark
        assert published[0].status is ALIVE
