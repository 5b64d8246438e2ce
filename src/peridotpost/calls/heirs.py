"""Ledgers of processes that stopped, kept by others for a while."""

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

MAX_BYTES = 32 * 1024 * 1024
ENTRY_BYTES = 200
"""What an entry without a body takes, about."""
PIECE_BYTES = 1024 * 1024
ASK_S = 0.5
GIVE_S = 2.0
TAKEN = calls.Answer(204, 'Taken', (), b'')


@dataclasses.dataclass(slots=True)
class Heirloom:
    """The ledger of a process that is gone."""

    ledger: idempotency.HandedLedger
    entries: dict[str, idempotency.HandedEntry]
    taken_ms: int
    size: int = 0


class Heirs:
    """Keeps ledgers for others, and asks and gives."""

    def __init__(
        self,
        replica: replicas.Replica,
        streams: peers.PeerStreams,
        counts: counters.Counters,
    ) -> None:
        self.replica = replica
        self.streams = streams
        self.counts = counts
        self.kept: dict[str, Heirloom] = {}

    def take(self, piece: idempotency.HandedLedger, now_ms: int) -> None:
        """Keep a piece of a ledger; the last one carries the proof."""
        held = self.kept.pop(piece.host, None)
        if held is None or held.ledger.until_ms != piece.until_ms:
            held = Heirloom(piece, {}, now_ms)
        held.ledger = dataclasses.replace(piece, entries=())
        for entry in piece.entries:
            held.entries[entry.key] = entry
            held.size += _size(entry)
        self.kept[piece.host] = held
        self.counts.add('heirs.taken')
        self._bound(now_ms)

    def _bound(self, now_ms: int) -> None:
        for host, held in tuple(self.kept.items()):
            over = sum(one.size for one in self.kept.values()) > MAX_BYTES
            if over or now_ms - held.taken_ms > ownership.RETENTION_MS:
                del self.kept[host]

    def look_up(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Say what is known here of a key of `host`."""
        held = self.kept.get(host)
        if held is None:
            return self._unknown(host)
        entry = held.entries.get(key.text)
        if entry is not None and (entry.answer or entry.unknown):
            self.counts.add('heirs.replayed')
            return entry.answer or entry.unknown or self._unknown(host)
        if entry is None and not ownership.inherited(held.ledger, key, span):
            return self._unknown(host)
        self.counts.add('heirs.proved')
        return calls.NotRun(
            calls.NotRunReason.DRAINING,
            f"the key's owner {host!r} left without running it; send a new "
            'key',
            peer=self.replica.host,
        )

    async def ask(
        self,
        key: idempotency.Key,
        host: str,
        span: ownership.Span | None,
    ) -> calls.Outcome:
        """Ask the heirs of `host` for a key; the first that knows."""
        for heir in self._of(host):
            if heir == self.replica.host:
                outcome = self.look_up(key, host, span)
            else:
                frame = frames.LookUpFrame(0, key.text, host, span)
                outcome = await self._exchange(heir, frame, ASK_S)
            if not isinstance(outcome, calls.OutcomeUnknown):
                return outcome
        return self._unknown(host)

    async def give(self, ledger: idempotency.HandedLedger) -> list[str]:
        """Hand a ledger to the heirs; return those that confirmed."""
        taken = []
        for heir in self._of(self.replica.host):
            try:
                async with asyncio.timeout(GIVE_S):
                    if await self._give_to(heir, ledger):
                        taken.append(heir)
            except TimeoutError:
                self.counts.add('heirs.not-taken')
        return taken

    async def _give_to(
        self, heir: str, ledger: idempotency.HandedLedger
    ) -> bool:
        for piece in pieces_of(ledger):
            frame = frames.HandOverFrame(0, piece)
            outcome = await self._exchange(heir, frame, GIVE_S)
            if not isinstance(outcome, calls.Answer):
                return False
        return True

    async def _exchange(
        self, heir: str, frame: frames.OwnerFrame, wait_s: float
    ) -> calls.Outcome:
        record = self.replica.fleet.records[heir]
        stream = await self.streams.reach(
            record.address, record.call_port, heir
        )
        if stream is None:
            return self._unknown(heir)
        return await stream.exchange(
            lambda number: frames.numbered(frame, number), wait_s
        )

    def _of(self, host: str) -> list[str]:
        """Return the heirs of `host`: of its zone, or else of any."""
        record = self.replica.fleet.records.get(host)
        fleet = self.replica.fleet
        near = fleet.live_hosts(record.availability_zone) if record else []
        if len(set(near) - {host}) < 2:
            near = [one.host for one in fleet.live()]
        return ownership.heirs_of(host, near)

    def _unknown(self, host: str) -> calls.OutcomeUnknown:
        return calls.OutcomeUnknown(
            f"the key's owner {host!r} cannot be asked, and nobody knows "
            'whether it ran the key; a call sent without a key is run',
            self.replica.host,
        )


def _size(entry: idempotency.HandedEntry) -> int:
    return ENTRY_BYTES + (len(entry.answer.body) if entry.answer else 0)


def pieces_of(
    ledger: idempotency.HandedLedger,
) -> Iterator[idempotency.HandedLedger]:
    """Cut a ledger into pieces that fit a frame.

    Only the last one proves what is not in the ledger.
    """
    piece: list[idempotency.HandedEntry] = []
    size = 0
    for entry in ledger.entries:
        if size + _size(entry) > PIECE_BYTES:
            yield dataclasses.replace(
                ledger, entries=tuple(piece), after_ms=ledger.until_ms
            )
            piece, size = [], 0
        piece.append(entry)
        size += _size(entry)
    yield dataclasses.replace(ledger, entries=tuple(piece))
