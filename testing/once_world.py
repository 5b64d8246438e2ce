"""A small model of daemons, store and network around the pure rules.

Messages wait until they are delivered, in any order, twice or never.  A
paused process takes nothing in.  `runs` counts what targets ran.
"""

import collections
from collections.abc import Iterable
import dataclasses
import random

from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.decisions import tree
from peridotpost.model import calls

BOUND = ownership.ClockBound(500)
LEAD_MS = 8_000
ANSWER = calls.Answer(200, 'OK', (), b'done')
UNKNOWN = calls.OutcomeUnknown('lost')
REFUSED = calls.NotRun(calls.NotRunReason.FULL, 'full')
NO_LEDGER = idempotency.HandedLedger('', frozenset(), 0, 0, ())


@dataclasses.dataclass(eq=False)
class Daemon:
    """One process: ingress, owner and guard at once."""

    process: ownership.Process
    skew_ms: int
    schedule: ownership.Schedule | None = None
    alive: bool = True
    paused: bool = False
    view: tuple[str, ...] = ()
    ledger: idempotency.Ledger = dataclasses.field(
        default_factory=idempotency.Ledger
    )
    guarded: dict[str, idempotency.Dispatched] = dataclasses.field(
        default_factory=dict
    )
    heirlooms: dict[str, idempotency.HandedLedger] = dataclasses.field(
        default_factory=dict
    )

    @property
    def works(self) -> bool:
        return self.alive and not self.paused


@dataclasses.dataclass(frozen=True)
class ToOwner:
    host: str
    key: idempotency.Key
    span: ownership.Span | None


@dataclasses.dataclass(frozen=True)
class ToGuard:
    """Bound to one process, as a TCP stream is."""

    guard: Daemon
    owner: Daemon
    key: idempotency.Key
    attempt: int


@dataclasses.dataclass(frozen=True)
class ToOwnerBack:
    owner: Daemon
    key: idempotency.Key
    attempt: int
    outcome: calls.Outcome


Message = ToOwner | ToGuard | ToOwnerBack


class DoubledRun(AssertionError):
    """A key ran twice, or ran although its caller was told it did not."""


class World:
    """The rules that hold: ownership by the schedule."""

    def __init__(self, hosts: Iterable[str]) -> None:
        self.now_ms = 1_000_000_000
        self.store: ownership.Schedule | None = None
        self.store_up = True
        self.daemons: dict[str, Daemon] = {}
        self.past: list[Daemon] = []
        self.network: list[Message] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.told: list[tuple[str, calls.Outcome]] = []
        self.incarnation = 0
        self.randomness = random.Random(20261202)
        for host in hosts:
            self.start(host, 0)

    def clock(self, daemon: Daemon) -> int:
        return self.now_ms + daemon.skew_ms

    def start(self, host: str, skew_ms: int) -> Daemon:
        """Start a process; the former one of the host must be gone."""
        self.incarnation += 1
        process = ownership.Process(
            host, self.now_ms + skew_ms, frozenset({self.incarnation})
        )
        daemon = Daemon(process, skew_ms)
        self.daemons[host] = daemon
        return daemon

    def kill(self, host: str) -> None:
        self.daemons[host].alive = False
        self.past.append(self.daemons[host])

    def live(self) -> list[str]:
        return [host for host, one in self.daemons.items() if one.alive]

    def see(self, host: str, others: Iterable[str]) -> None:
        """Set whom a daemon takes for alive; it may well be wrong."""
        self.daemons[host].view = tuple(others)

    def read(self, host: str) -> None:
        daemon = self.daemons[host]
        if not (self.store_up and daemon.works and self.store):
            return
        if daemon.schedule is not None:
            assert ownership.agrees(daemon.schedule, self.store)
        daemon.schedule = self.store

    def prepare(self, host: str) -> ownership.Schedule | None:
        """Return what a daemon would write, from its own old copy."""
        daemon = self.daemons[host]
        candidates = [
            ownership.Candidate(
                one, one[0], min(self.daemons[one].process.incarnations)
            )
            for one in daemon.view
        ]
        now_ms = self.clock(daemon)
        if daemon.schedule is None:
            return ownership.founded(candidates, now_ms)
        return ownership.extended(daemon.schedule, candidates, now_ms, LEAD_MS)

    def swap(
        self,
        host: str,
        expected: ownership.Schedule | None,
        new: ownership.Schedule | None,
        *,
        answer_lost: bool = False,
    ) -> None:
        if not self.store_up or self.store is not expected:
            return
        self.store = new
        if not answer_lost:
            self.read(host)

    def send(self, host: str, key: idempotency.Key) -> None:
        """A caller sends `key` to the daemon of `host`."""
        daemon = self.daemons[host]
        if not daemon.works:
            return
        if key.host:
            self.network.append(ToOwner(key.host, key, None))
            return
        span = self.owner(daemon, key)
        if span is None:
            self.tell(key, UNKNOWN)
            return
        self.network.append(ToOwner(span.host, key, span))

    def mint(self, host: str) -> idempotency.Key | None:
        """A daemon makes the key of a call that came without, and runs it."""
        daemon = self.daemons[host]
        if not daemon.works:
            return None
        key = idempotency.mint(
            self.clock(daemon), self.randomness, host[0], host
        )
        daemon.ledger.note_minted(key)
        self._run(daemon, key)
        return key

    def owner(
        self, daemon: Daemon, key: idempotency.Key
    ) -> ownership.Span | None:
        schedule = daemon.schedule
        if schedule is None or not schedule.covers(key.stamp_ms):
            return None
        return schedule.owner_of(key)

    def tell(self, key: idempotency.Key, outcome: calls.Outcome) -> None:
        self.told.append((key.text, outcome))
        if isinstance(outcome, calls.NotRun) and self.runs[key.text]:
            raise DoubledRun(f'{key.text} ran and was told not to have run')

    def deliver(
        self, at: int = 0, *, keep: bool = False, full: bool = False
    ) -> None:
        """Deliver a message; with `keep` it will arrive again."""
        message = self.network[at]
        if not keep:
            del self.network[at]
        if isinstance(message, ToOwner):
            self._at_owner(message)
        elif isinstance(message, ToGuard):
            self._at_guard(message, full)
        else:
            self._back_at_owner(message)

    def _at_owner(self, message: ToOwner) -> None:
        key = message.key
        daemon = self.daemons.get(message.host)
        if daemon is None or not daemon.alive:
            self.look_up(message)
            return
        if daemon.paused:
            self.network.append(message)
            return
        entry = daemon.ledger.entries.get(key.text)
        if entry is not None:
            if entry.never_ran:
                self._run(daemon, key)
            elif entry.outcome is not None:
                self.tell(key, entry.outcome)
            return
        verdict = self.judge(daemon, message)
        if verdict is ownership.Verdict.RUN:
            self._run(daemon, key)
        elif verdict is ownership.Verdict.FROM_THE_FUTURE:
            self.tell(key, REFUSED)
        else:
            self.look_up(message)

    def judge(self, daemon: Daemon, message: ToOwner) -> ownership.Verdict:
        return ownership.judge(
            message.key,
            message.span,
            daemon.process,
            daemon.ledger.forgotten_ms,
            self.clock(daemon),
            BOUND,
        )

    def _run(self, daemon: Daemon, key: idempotency.Key) -> None:
        entry = daemon.ledger.begin(key, b'')
        self.dispatch(daemon, key, entry.attempts)

    def dispatch(
        self, owner: Daemon, key: idempotency.Key, attempt: int
    ) -> None:
        """The guard is drawn by the attempt, so that each gets its turn."""
        hosts = sorted(self.daemons)
        at = (tree.weight(key.text) + attempt) % len(hosts)
        guard = self.daemons[hosts[at]]
        self.network.append(ToGuard(guard, owner, key, attempt))

    def _at_guard(self, message: ToGuard, full: bool) -> None:
        guard, key = message.guard, message.key
        if not guard.alive:
            return
        if guard.paused:
            self.network.append(message)
            return
        known = guard.guarded.get(key.text)
        verdict = idempotency.judge_dispatch(known, message.attempt)
        outcome: calls.Outcome = UNKNOWN
        if verdict is idempotency.Dispatch.RUN:
            outcome = REFUSED if full else self.run_at_target(key)
            guard.guarded[key.text] = idempotency.Dispatched(
                message.attempt, outcome
            )
        elif known is not None and known.attempt <= message.attempt:
            outcome = known.outcome or UNKNOWN
        self.network.append(
            ToOwnerBack(message.owner, key, message.attempt, outcome)
        )

    def run_at_target(self, key: idempotency.Key) -> calls.Outcome:
        self.runs[key.text] += 1
        if self.runs[key.text] > 1:
            raise DoubledRun(f'{key.text} ran twice')
        return ANSWER

    def _back_at_owner(self, message: ToOwnerBack) -> None:
        owner, key = message.owner, message.key
        entry = owner.ledger.entries.get(key.text)
        if not owner.works or entry is None:
            return
        # An answer that nobody waits for any more is dropped.
        if not entry.running or entry.attempts != message.attempt:
            return
        refused = isinstance(message.outcome, calls.NotRun)
        if refused and message.attempt % 2 == 0:
            entry.attempts += 1
            self.dispatch(owner, key, entry.attempts)
            return
        owner.ledger.settle(entry, message.outcome)
        self.tell(key, message.outcome)

    def time_out(self, host: str) -> None:
        """Every run that the owner waits for passes its deadline."""
        daemon = self.daemons[host]
        for entry in daemon.ledger.known() if daemon.works else ():
            if entry.running:
                daemon.ledger.settle(entry, UNKNOWN)
                self.tell(entry.key, UNKNOWN)

    def look_up(self, message: ToOwner) -> None:
        """Ask those alive for a ledger that the owner handed over."""
        key = message.key
        for one in self.daemons.values():
            held = one.heirlooms.get(message.host, NO_LEDGER)
            found = {entry.key: entry for entry in held.entries}
            if not one.works or held is NO_LEDGER:
                continue
            if key.text in found:
                entry = found[key.text]
                self.tell(key, entry.answer or entry.unknown or REFUSED)
                return
            if ownership.inherited(held, key, message.span):
                self.tell(key, REFUSED)
                return
        self.tell(key, UNKNOWN)

    def stop(self, host: str) -> None:
        """A graceful stop: the ledger goes to the heirs, then the end."""
        daemon = self.daemons[host]
        ledger = ownership.hand_over(
            daemon.process, daemon.ledger, self.clock(daemon), BOUND
        )
        for heir in ownership.heirs_of(host, daemon.view):
            if heir in self.daemons and self.daemons[heir].alive:
                self.daemons[heir].heirlooms[host] = ledger
        self.kill(host)


class ThinWorld(World):
    """The rule that stood before: the target by the key, a guard's ledger.

    The owner is whom rendezvous hashing names over the targets that the
    ingress takes for alive, and it runs what its ledger does not hold.
    """

    def owner(
        self, daemon: Daemon, key: idempotency.Key
    ) -> ownership.Span | None:
        hosts = tree.ranked(key.text, daemon.view)
        return ownership.Span(hosts[0], '', 0, 0) if hosts else None

    def judge(self, daemon: Daemon, message: ToOwner) -> ownership.Verdict:
        return ownership.Verdict.RUN
