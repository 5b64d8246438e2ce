"""What one daemon concludes of others from its probes.

The rules and their grounds are those of ``decisions.suspicion``; here they
are put together for one observer, so that a zone of thousands runs in one
process against any table of losses.
"""

from collections.abc import Collection
import dataclasses
import enum
import random

from peridotpost.decisions import suspicion
from peridotpost.model import members


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """How a probe of one member went.

    :param answered: the member answered, directly or through a helper.
    :param helpers: how many were asked to probe it too.
    :param helpers_heard: how many said that they were asked.
    :param overslept: the observer was paused while it waited.
    """

    answered: bool
    helpers: int = 0
    helpers_heard: int = 0
    observer_paused: bool = False


class Verdict(enum.Enum):
    """What follows from a probe."""

    ALIVE = 'alive'
    UNCLEAR = 'unclear'
    ISOLATED = 'isolated'
    SUSPECTED = 'suspected'
    STILL_SILENT = 'still-silent'
    DEAD = 'declared-dead'


class Observer:
    """One daemon's view of who answers."""

    def __init__(self, randomness: random.Random, suspicion_s: float) -> None:
        self.randomness = randomness
        self.round = suspicion.ProbeRound(randomness)
        self.suspicions = suspicion.Suspicions(suspicion_s)

    def subjects(self, candidates: Collection[str], now: float) -> list[str]:
        """Return whom to probe in this period, each once.

        Next in the round, suspects whose time is over, and some of those
        that this observer itself found silent.
        """
        expired = self.suspicions.expired(now)[: suspicion.MAX_FINAL_PROBES]
        own = [one for one in self.suspicions.own() if one not in expired]
        count = min(len(own), suspicion.MAX_REPROBES)
        again = self.randomness.sample(own, count)
        chosen = dict.fromkeys([*expired, *again])
        following = self.round.next_subject(candidates)
        if following is not None:
            chosen[following] = None
        return list(chosen)

    def judge(
        self, record: members.MemberRecord, evidence: ProbeResult, now: float
    ) -> Verdict:
        """Draw the conclusion from a probe of `record`'s host."""
        if evidence.answered:
            self.suspicions.record_answer(record.host, now)
            return Verdict.ALIVE
        if evidence.observer_paused:
            return Verdict.UNCLEAR
        if evidence.helpers and not evidence.helpers_heard:
            # Not one of several others is heard: the fault is most likely
            # here, and whoever is suspected cannot refute towards here.
            self.suspicions.restart(now)
            return Verdict.ISOLATED
        due = self.suspicions.due(record.host, now)
        self.suspicions.record_silence(record, now)
        if record.status is members.Status.ALIVE:
            return Verdict.SUSPECTED
        if record.status is members.Status.SUSPECT and due:
            return Verdict.DEAD
        return Verdict.STILL_SILENT
