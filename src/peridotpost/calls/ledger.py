"""A guard's ledger of dispatches: the final check before a run."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from peridotpost.decisions import idempotency
from peridotpost.model import calls

ANSWER_AT_OWNER = calls.OutcomeUnknown(
    "it ran here; the key's owner has the answer"
)


@dataclasses.dataclass(slots=True)
class KeyDispatch:
    """A key's latest dispatch, and the task that runs it."""

    record: idempotency.DispatchRecord
    running: asyncio.Task[calls.Outcome] | None = None


class DispatchLedger:
    """Runs each dispatch number of a key at most once.

    The number of entries is bounded.  Answers are stored by the owner, not
    here.
    """

    def __init__(self, max_entries: int = idempotency.MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.by_key: collections.OrderedDict[str, KeyDispatch] = (
            collections.OrderedDict()
        )

    async def run(
        self, call: calls.Call, start: Callable[[], Awaitable[calls.Outcome]]
    ) -> calls.Outcome:
        """Run the dispatch, join its run, or return an unknown outcome."""
        known = self.by_key.get(call.key)
        decision = idempotency.decide_dispatch(
            known.record if known else None, call.attempt
        )
        if decision is idempotency.DispatchDecision.RUN:
            known = self._start(call, start)
        elif decision is idempotency.DispatchDecision.STALE or known is None:
            return calls.OutcomeUnknown('a later dispatch of the key is known')
        if known.running is not None:
            # The run continues after its caller disconnects: a resend of
            # the key needs its outcome, which a cancelled run does not have.
            return await asyncio.shield(known.running)
        return known.record.outcome or ANSWER_AT_OWNER

    def _start(
        self, call: calls.Call, start: Callable[[], Awaitable[calls.Outcome]]
    ) -> KeyDispatch:
        dispatch = KeyDispatch(idempotency.DispatchRecord(call.attempt))
        dispatch.running = asyncio.ensure_future(self._run(dispatch, start))
        self.by_key[call.key] = dispatch
        self.by_key.move_to_end(call.key)
        while len(self.by_key) > self.max_entries:
            self.by_key.popitem(last=False)
        return dispatch

    async def _run(
        self,
        dispatch: KeyDispatch,
        start: Callable[[], Awaitable[calls.Outcome]],
    ) -> calls.Outcome:
        recorded: calls.Outcome = ANSWER_AT_OWNER
        try:
            outcome = await start()
            if not isinstance(outcome, calls.Answer):
                recorded = outcome
            return outcome
        finally:
            dispatch.record.outcome = recorded
            dispatch.running = None
