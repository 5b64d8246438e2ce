"""A guard's record of dispatches: the last check before a run."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from peridotpost.decisions import idempotency
from peridotpost.model import calls

ANSWERED = calls.OutcomeUnknown('it ran here; its owner has the answer')


@dataclasses.dataclass(slots=True)
class Guarded:
    """A key's last dispatch; `running` while it runs."""

    dispatched: idempotency.Dispatched
    running: asyncio.Task[calls.Outcome] | None = None


class DispatchLedger:
    """Runs each dispatch number of a key at most once; bounded.

    Answers are not kept: the owner keeps them.
    """

    def __init__(self, max_entries: int = idempotency.MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.guarded: collections.OrderedDict[str, Guarded] = (
            collections.OrderedDict()
        )

    async def run(
        self, call: calls.Call, start: Callable[[], Awaitable[calls.Outcome]]
    ) -> calls.Outcome:
        """Run, join the run of the same dispatch, or refuse to say."""
        known = self.guarded.get(call.key)
        verdict = idempotency.judge_dispatch(
            known.dispatched if known else None, call.attempt
        )
        if verdict is idempotency.Dispatch.RUN:
            known = self._start(call, start)
        elif verdict is idempotency.Dispatch.STALE or known is None:
            return calls.OutcomeUnknown('a later dispatch of the key is known')
        if known.running is not None:
            # The run goes on when its caller leaves: a resend of the key
            # has to find its outcome, which a cancelled run cannot give.
            return await asyncio.shield(known.running)
        return known.dispatched.outcome or ANSWERED

    def _start(
        self, call: calls.Call, start: Callable[[], Awaitable[calls.Outcome]]
    ) -> Guarded:
        guarded = Guarded(idempotency.Dispatched(call.attempt))
        guarded.running = asyncio.ensure_future(self._run(guarded, start))
        self.guarded[call.key] = guarded
        self.guarded.move_to_end(call.key)
        while len(self.guarded) > self.max_entries:
            self.guarded.popitem(last=False)
        return guarded

    async def _run(
        self, guarded: Guarded, start: Callable[[], Awaitable[calls.Outcome]]
    ) -> calls.Outcome:
        kept: calls.Outcome = ANSWERED
        try:
            outcome = await start()
            if not isinstance(outcome, calls.Answer):
                kept = outcome
            return outcome
        finally:
            guarded.dispatched.outcome = kept
            guarded.running = None
