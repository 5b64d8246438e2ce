"""What one daemon concludes about other members from its probes.

Applies the rules of ``decisions.suspicion`` for a single observer, without
I/O, so that a test can run thousands of observers in one process with
simulated packet loss.
"""

from collections.abc import Collection
import dataclasses
import enum
import random

from peridotpost.decisions import suspicion
from peridotpost.model import members


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of probing one member.

    :param answered: the member answered, directly or through a helper.
    :param helpers: number of helpers asked to probe it as well.
    :param helpers_heard: number of helpers that confirmed the request.
    :param observer_paused: this process was paused while it waited.
    """

    answered: bool
    helpers: int = 0
    helpers_heard: int = 0
    observer_paused: bool = False


class Verdict(enum.Enum):
    """The conclusion from a probe; values are names of counters."""

    ALIVE = 'alive'
    UNCLEAR = 'unclear'
    ISOLATED = 'isolated'
    SUSPECTED = 'suspected'
    STILL_SILENT = 'still-silent'
    DEAD = 'declared-dead'


class Observer:
    """One daemon's view of which members answer."""

    def __init__(self, randomness: random.Random, suspicion_s: float) -> None:
        self.randomness = randomness
        self.probe_round = suspicion.ProbeRound(randomness)
        self.suspicions = suspicion.Suspicions(suspicion_s)

    def select_subjects(
        self, candidates: Collection[str], now: float
    ) -> list[str]:
        """Return the hosts to probe in this period, without duplicates.

        These are suspects whose suspicion expired, a sample of those that
        this observer itself found silent, and the next of the round.
        """
        expired = self.suspicions.expired(now)[: suspicion.MAX_FINAL_PROBES]
        found_silent = [
            one
            for one in self.suspicions.found_by_self()
            if one not in expired
        ]
        count = min(len(found_silent), suspicion.MAX_REPROBES)
        reprobed = self.randomness.sample(found_silent, count)
        chosen = dict.fromkeys([*expired, *reprobed])
        next_in_round = self.probe_round.next_subject(candidates)
        if next_in_round is not None:
            chosen[next_in_round] = None
        return list(chosen)

    def evaluate(
        self, record: members.MemberRecord, probe: ProbeResult, now: float
    ) -> Verdict:
        """Return the conclusion from a probe of `record`'s host."""
        if probe.answered:
            self.suspicions.record_answer(record.host, now)
            return Verdict.ALIVE
        if probe.observer_paused:
            return Verdict.UNCLEAR
        if probe.helpers and not probe.helpers_heard:
            # No helper was heard either: the fault is most likely on this
            # side, and suspects cannot reach this observer to refute.
            self.suspicions.restart(now)
            return Verdict.ISOLATED
        expired = self.suspicions.has_expired(record.host, now)
        self.suspicions.record_silence(record, now)
        if record.status is members.Status.ALIVE:
            return Verdict.SUSPECTED
        if record.status is members.Status.SUSPECT and expired:
            return Verdict.DEAD
        return Verdict.STILL_SILENT
