"""Handover of ledgers: a stopping process sends its own to other hosts.

These successors store it for a limited time and answer queries about its
keys.
"""

import asyncio
from collections.abc import Iterator
import dataclasses

from peridotpost.calls import frames
from peridotpost.calls import peers
from peridotpost.decisions import idempotency
from peridotpost.decisions import ownership
from peridotpost.distribution import replica as replicas
from peridotpost.kernel import counters
from peridotpost.model import calls

MAX_STORED_BYTES = 32 * 1024 * 1024
"""Total size of the ledgers stored for other hosts."""
ENTRY_OVERHEAD_BYTES = 200
"""Approximate size of an entry without the body of its answer."""
MAX_CHUNK_BYTES = 1024 * 1024
LOOK_UP_TIMEOUT_S = 0.5
TRANSFER_TIMEOUT_S = 2.0
CHUNK_STORED = calls.Answer(204, 'Taken', (), b'')


@dataclasses.dataclass(slots=True)
class StoredLedger:
    """A ledger received from a stopped process."""

    ledger: idempotency.HandoverLedger
    entries: dict[str, idempotency.HandoverEntry]
    received_ms: int
    size: int = 0


class LedgerHandover:
    """Stores ledgers of other hosts; sends and queries ledgers."""

    def __init__(
        self,
        replica: replicas.Replica,
        streams: peers.PeerStreams,
        counts: counters.Counters,
    ) -> None:
        self.replica = replica
        self.streams = streams
        self.counts = counts
        self.ledgers: dict[str, StoredLedger] = {}

    def store(self, chunk: idempotency.HandoverLedger, now_ms: int) -> None:
        """Store a chunk of a ledger.

        Only the last chunk proves that keys absent from the ledger were
        not run.
        """
        stored = self.ledgers.pop(chunk.host, None)
        if stored is None or stored.ledger.until_ms != chunk.until_ms:
            stored = StoredLedger(chunk, {}, now_ms)
        stored.ledger = dataclasses.replace(chunk, entries=())
        for entry in chunk.entries:
            stored.entries[entry.key] = entry
            stored.size += _size(entry)
        self.ledgers[chunk.host] = stored
        self.counts.add('heirs.taken')
        self._evict(now_ms)

    def _evict(self, now_ms: int) -> None:
        for host, stored in tuple(self.ledgers.items()):
            over_limit = (
                sum(ledger.size for ledger in self.ledgers.values())
                > MAX_STORED_BYTES
            )
            if (
                over_limit
                or now_ms - stored.received_ms > ownership.RETENTION_MS
            ):
                del self.ledgers[host]

    def look_up(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Return what the stored ledger of `host` proves about a key."""
        stored = self.ledgers.get(host)
        if stored is None:
            return self._unknown(host)
        entry = stored.entries.get(key.text)
        if entry is not None and (entry.answer or entry.unknown):
            self.counts.add('heirs.replayed')
            return entry.answer or entry.unknown or self._unknown(host)
        if entry is None and not ownership.proves_not_run(
            stored.ledger, key, span
        ):
            return self._unknown(host)
        self.counts.add('heirs.proved')
        return calls.NotRun(
            calls.NotRunReason.DRAINING,
            f"the key's owner {host!r} stopped without running it; send a new "
            'key',
            peer=self.replica.host,
        )

    async def ask_successors(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Query the successors of `host`; return the first known outcome."""
        for successor in self._successors_of(host):
            if successor == self.replica.host:
                outcome = self.look_up(key, host, span)
            else:
                frame = frames.LookUpFrame(0, key.text, host, span)
                outcome = await self._exchange(
                    successor, frame, LOOK_UP_TIMEOUT_S
                )
            if not isinstance(outcome, calls.OutcomeUnknown):
                return outcome
        return self._unknown(host)

    async def transfer(self, ledger: idempotency.HandoverLedger) -> list[str]:
        """Send a ledger to the successors; return those that confirmed."""
        confirmed = []
        for successor in self._successors_of(self.replica.host):
            try:
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    if await self._transfer_to(successor, ledger):
                        confirmed.append(successor)
            except TimeoutError:
                self.counts.add('heirs.not-taken')
        return confirmed

    async def _transfer_to(
        self, successor: str, ledger: idempotency.HandoverLedger
    ) -> bool:
        for chunk in split_into_chunks(ledger):
            frame = frames.HandOverFrame(0, chunk)
            outcome = await self._exchange(
                successor, frame, TRANSFER_TIMEOUT_S
            )
            if not isinstance(outcome, calls.Answer):
                return False
        return True

    async def _exchange(
        self, successor: str, frame: frames.OwnerFrame, timeout_s: float
    ) -> calls.Outcome:
        record = self.replica.fleet.records[successor]
        stream = await self.streams.connect_or_none(
            record.address, record.call_port, successor
        )
        if stream is None:
            return self._unknown(successor)
        return await stream.exchange(
            lambda number: frames.with_number(frame, number), timeout_s
        )

    def _successors_of(self, host: str) -> list[str]:
        """Return the successors of `host`, from its zone if possible."""
        record = self.replica.fleet.records.get(host)
        fleet = self.replica.fleet
        candidates = (
            fleet.live_hosts(record.availability_zone) if record else []
        )
        if len(set(candidates) - {host}) < 2:
            candidates = [member.host for member in fleet.live()]
        return ownership.successors_of(host, candidates)

    def _unknown(self, host: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(
            f"the key's owner {host!r} is unreachable, and it is unknown "
            'whether it ran the key; a call sent without a key is run',
            self.replica.host,
        )


def _size(entry: idempotency.HandoverEntry) -> int:
    return ENTRY_OVERHEAD_BYTES + (
        len(entry.answer.body) if entry.answer else 0
    )


def split_into_chunks(
    ledger: idempotency.HandoverLedger,
) -> Iterator[idempotency.HandoverLedger]:
    """Split a ledger into chunks that fit into a frame.

    Only the last chunk proves that absent keys were not run.
    """
    chunk: list[idempotency.HandoverEntry] = []
    size = 0
    for entry in ledger.entries:
        if size + _size(entry) > MAX_CHUNK_BYTES:
            yield dataclasses.replace(
                ledger, entries=tuple(chunk), after_ms=ledger.until_ms
            )
            chunk, size = [], 0
        chunk.append(entry)
        size += _size(entry)
    yield dataclasses.replace(ledger, entries=tuple(chunk))
