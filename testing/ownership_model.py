"""A model of daemons, store and network that uses the ownership rules.

Messages are queued until they are delivered, in any order, twice or never.
A paused process receives nothing.  `runs` counts the runs at targets.
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
NO_LEDGER = idempotency.HandoverLedger('', frozenset(), 0, 0, ())


@dataclasses.dataclass(eq=False)
class Daemon:
    """A process, which is ingress, owner and guard."""

    process: ownership.Process
    skew_ms: int
    schedule: ownership.Schedule | None = None
    alive: bool = True
    paused: bool = False
    view: tuple[str, ...] = ()
    ledger: idempotency.Ledger = dataclasses.field(
        default_factory=idempotency.Ledger
    )
    dispatches: dict[str, idempotency.DispatchRecord] = dataclasses.field(
        default_factory=dict
    )
    handovers: dict[str, idempotency.HandoverLedger] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_running(self) -> bool:
        return self.alive and not self.paused


@dataclasses.dataclass(frozen=True)
class OwnerRequest:
    host: str
    key: idempotency.Key
    span: ownership.Span | None


@dataclasses.dataclass(frozen=True)
class GuardRequest:
    """Addressed to a process rather than a host, like a TCP stream."""

    guard: Daemon
    owner: Daemon
    key: idempotency.Key
    attempt: int


@dataclasses.dataclass(frozen=True)
class GuardReply:
    owner: Daemon
    key: idempotency.Key
    attempt: int
    outcome: calls.Outcome


Message = OwnerRequest | GuardRequest | GuardReply


class DuplicateRun(AssertionError):
    """A key ran twice, or ran and was reported to its caller as not run."""


class World:
    """The current rules: the schedule determines the owners."""

    def __init__(self, hosts: Iterable[str]) -> None:
        self.now_ms = 1_000_000_000
        self.store: ownership.Schedule | None = None
        self.store_up = True
        self.daemons: dict[str, Daemon] = {}
        self.ended: list[Daemon] = []
        self.network: list[Message] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.answers: list[tuple[str, calls.Outcome]] = []
        self.incarnation = 0
        self.randomness = random.Random(20261202)
        for host in hosts:
            self.start(host, 0)

    def clock(self, daemon: Daemon) -> int:
        return self.now_ms + daemon.skew_ms

    def start(self, host: str, skew_ms: int) -> Daemon:
        """Start a process; the previous one of the host must have ended."""
        self.incarnation += 1
        process = ownership.Process(
            host, self.now_ms + skew_ms, frozenset({self.incarnation})
        )
        daemon = Daemon(process, skew_ms)
        self.daemons[host] = daemon
        return daemon

    def kill(self, host: str) -> None:
        self.daemons[host].alive = False
        self.ended.append(self.daemons[host])

    def live(self) -> list[str]:
        return [host for host, one in self.daemons.items() if one.alive]

    def set_view(self, host: str, others: Iterable[str]) -> None:
        """Set the hosts a daemon believes to be alive, rightly or not."""
        self.daemons[host].view = tuple(others)

    def read(self, host: str) -> None:
        daemon = self.daemons[host]
        if not (self.store_up and daemon.is_running and self.store):
            return
        if daemon.schedule is not None:
            assert ownership.is_consistent(daemon.schedule, self.store)
        daemon.schedule = self.store

    def prepare(self, host: str) -> ownership.Schedule | None:
        """Return the schedule a daemon would write, based on its copy."""
        daemon = self.daemons[host]
        candidates = [
            ownership.Candidate(
                one, one[0], min(self.daemons[one].process.incarnations)
            )
            for one in daemon.view
        ]
        now_ms = self.clock(daemon)
        if daemon.schedule is None:
            return ownership.initial_schedule(candidates, now_ms)
        return ownership.extend_schedule(
            daemon.schedule, candidates, now_ms, LEAD_MS
        )

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
        """Send `key` to the daemon of `host`, as a caller does."""
        daemon = self.daemons[host]
        if not daemon.is_running:
            return
        if key.host:
            self.network.append(OwnerRequest(key.host, key, None))
            return
        span = self.owner(daemon, key)
        if span is None:
            self.answer_caller(key, UNKNOWN)
            return
        self.network.append(OwnerRequest(span.host, key, span))

    def generate_key(self, host: str) -> idempotency.Key | None:
        """Have a daemon generate and run the key of a call without one."""
        daemon = self.daemons[host]
        if not daemon.is_running:
            return None
        key = idempotency.generate_key(
            self.clock(daemon), self.randomness, host[0], host
        )
        daemon.ledger.record_generated(key)
        self._run(daemon, key)
        return key

    def owner(
        self, daemon: Daemon, key: idempotency.Key
    ) -> ownership.Span | None:
        schedule = daemon.schedule
        if schedule is None or not schedule.covers(key.timestamp_ms):
            return None
        return schedule.owner_of(key)

    def answer_caller(
        self, key: idempotency.Key, outcome: calls.Outcome
    ) -> None:
        self.answers.append((key.text, outcome))
        if isinstance(outcome, calls.NotRun) and self.runs[key.text]:
            raise DuplicateRun(f'{key.text} ran and was reported as not run')

    def deliver(
        self, at: int = 0, *, keep: bool = False, full: bool = False
    ) -> None:
        """Deliver a message; with `keep` it stays queued as a duplicate."""
        message = self.network[at]
        if not keep:
            del self.network[at]
        if isinstance(message, OwnerRequest):
            self._at_owner(message)
        elif isinstance(message, GuardRequest):
            self._at_guard(message, full)
        else:
            self._guard_replied(message)

    def _at_owner(self, message: OwnerRequest) -> None:
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
                self.answer_caller(key, entry.outcome)
            return
        verdict = self.decide(daemon, message)
        if verdict is ownership.Decision.RUN:
            self._run(daemon, key)
        elif verdict is ownership.Decision.FROM_THE_FUTURE:
            self.answer_caller(key, REFUSED)
        else:
            self.look_up(message)

    def decide(
        self, daemon: Daemon, message: OwnerRequest
    ) -> ownership.Decision:
        return ownership.decide(
            message.key,
            message.span,
            daemon.process,
            daemon.ledger.evicted_through_ms,
            self.clock(daemon),
            BOUND,
        )

    def _run(self, daemon: Daemon, key: idempotency.Key) -> None:
        entry = daemon.ledger.begin(key, b'')
        self.dispatch(daemon, key, entry.last_reserved_attempt)

    def dispatch(
        self, owner: Daemon, key: idempotency.Key, attempt: int
    ) -> None:
        """Select the guard by key and attempt, so that each can be tried."""
        hosts = sorted(self.daemons)
        at = (tree.weight(key.text) + attempt) % len(hosts)
        guard = self.daemons[hosts[at]]
        self.network.append(GuardRequest(guard, owner, key, attempt))

    def _at_guard(self, message: GuardRequest, full: bool) -> None:
        guard, key = message.guard, message.key
        if not guard.alive:
            return
        if guard.paused:
            self.network.append(message)
            return
        known = guard.dispatches.get(key.text)
        verdict = idempotency.decide_dispatch(known, message.attempt)
        outcome: calls.Outcome = UNKNOWN
        if verdict is idempotency.DispatchDecision.RUN:
            outcome = REFUSED if full else self.run_at_target(key)
            guard.dispatches[key.text] = idempotency.DispatchRecord(
                message.attempt, outcome
            )
        elif known is not None and known.attempt <= message.attempt:
            outcome = known.outcome or UNKNOWN
        self.network.append(
            GuardReply(message.owner, key, message.attempt, outcome)
        )

    def run_at_target(self, key: idempotency.Key) -> calls.Outcome:
        self.runs[key.text] += 1
        if self.runs[key.text] > 1:
            raise DuplicateRun(f'{key.text} ran twice')
        return ANSWER

    def _guard_replied(self, message: GuardReply) -> None:
        owner, key = message.owner, message.key
        entry = owner.ledger.entries.get(key.text)
        if not owner.is_running or entry is None:
            return
        # A reply to an attempt that is no longer pending is dropped.
        if not entry.running or entry.last_reserved_attempt != message.attempt:
            return
        refused = isinstance(message.outcome, calls.NotRun)
        if refused and message.attempt % 2 == 0:
            entry.last_reserved_attempt += 1
            self.dispatch(owner, key, entry.last_reserved_attempt)
            return
        owner.ledger.finish(entry, message.outcome)
        self.answer_caller(key, message.outcome)

    def time_out(self, host: str) -> None:
        """Let every run that the owner waits for exceed its deadline."""
        daemon = self.daemons[host]
        for entry in daemon.ledger.all_entries() if daemon.is_running else ():
            if entry.running:
                daemon.ledger.finish(entry, UNKNOWN)
                self.answer_caller(entry.key, UNKNOWN)

    def look_up(self, message: OwnerRequest) -> None:
        """Query the running daemons for a ledger handed over by the owner."""
        key = message.key
        for one in self.daemons.values():
            handover = one.handovers.get(message.host, NO_LEDGER)
            found = {entry.key: entry for entry in handover.entries}
            if not one.is_running or handover is NO_LEDGER:
                continue
            if key.text in found:
                entry = found[key.text]
                self.answer_caller(
                    key, entry.answer or entry.unknown or REFUSED
                )
                return
            if ownership.proves_not_run(handover, key, message.span):
                self.answer_caller(key, REFUSED)
                return
        self.answer_caller(key, UNKNOWN)

    def stop(self, host: str) -> None:
        """Stop gracefully: hand the ledger over to the successors first."""
        daemon = self.daemons[host]
        ledger = ownership.hand_over(
            daemon.process, daemon.ledger, self.clock(daemon), BOUND
        )
        for successor in ownership.successors_of(host, daemon.view):
            if successor in self.daemons and self.daemons[successor].alive:
                self.daemons[successor].handovers[host] = ledger
        self.kill(host)


class HashedTargetWorld(World):
    """The previous rule: the key selects the target, without a schedule.

    The owner is selected by rendezvous hashing among the hosts that the
    ingress believes to be alive, and runs every key not in its ledger.
    """

    def owner(
        self, daemon: Daemon, key: idempotency.Key
    ) -> ownership.Span | None:
        hosts = tree.ranked(key.text, daemon.view)
        return ownership.Span(hosts[0], '', 0, 0) if hosts else None

    def decide(
        self, daemon: Daemon, message: OwnerRequest
    ) -> ownership.Decision:
        return ownership.Decision.RUN
