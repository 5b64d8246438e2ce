"""Which requests are refused because they crash their targets.

Load pattern: a single request crashes each target that runs it, and its
caller sends it again.  Without a memory of it one caller takes down all
targets of a service, one after another, as fast as they come back.

A request is known by its fingerprint (service, method, path, headers that
the target sees, body) and, if it has one, by its idempotency key.  When
it has crashed ``MAX_CRASHES`` targets it is refused for ``REFUSED_S``,
twice as long each time that it crashes one more, and its sender is told
why.  One crash may be the target's own; two of the same request within
ten minutes are the request's.  Daemons tell each other of crashes, since
the next attempt may come by way of any of them.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

from peridotpost.model import calls

MAX_CRASHES = 2
CRASH_MEMORY_S = 600.0
BASE_REFUSAL_S = 60.0
MAX_REFUSAL_S = 600.0
MAX_SUSPECTS = 1000
"""Bounds the memory, some 300 KB, against a flood of crash reports."""
VOLATILE_HEADERS = frozenset(
    {
        'accept-encoding',
        'date',
        'traceparent',
        'tracestate',
        'user-agent',
        'x-request-id',
    }
)
"""Headers that differ between two sendings of the same request."""


def fingerprint(method: bytes, target: bytes, body: bytes) -> str:
    """Return the one name of a request whose headers vary freely."""
    state = hashlib.blake2b(digest_size=8)
    for part in (method, target, body):
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part)
    return state.hexdigest()


def fingerprints(call: calls.Call) -> tuple[str, ...]:
    """Return the names by which `call` is known when it comes again."""
    state = hashlib.blake2b(digest_size=16)
    parts = [call.service, call.method, call.path]
    for header in call.headers:
        if header.name.lower() not in VOLATILE_HEADERS:
            parts.append(f'{header.name.lower()}:{header.value}')
    state.update('\0'.join(parts).encode('utf-8', 'surrogateescape'))
    state.update(b'\0\0')
    state.update(call.body)
    content = state.hexdigest()
    if call.key:
        return (content, f'{call.service}/{call.key}')
    return (content,)


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request and the crashes that it was seen to cause."""

    crashed: set[str] = dataclasses.field(default_factory=set)
    crashes: int = 0
    last: float = 0.0
    refused_until: float = 0.0


class PoisonList:
    """The requests that one daemon knows to crash targets."""

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}

    def crashed(
        self, names: Iterable[str], target: str, incident: str, now: float
    ) -> None:
        """Note that a request crashed `target`.

        :param incident: names this one crash, which may be heard of by
            several ways.
        """
        for name in names:
            suspect = self.suspects.get(name)
            if suspect is None or now - suspect.last > CRASH_MEMORY_S:
                self._evict_oldest()
                suspect = self.suspects[name] = Suspect()
            event = f'{target}#{incident}'
            if event in suspect.crashed:
                continue
            suspect.crashed.add(event)
            suspect.crashes += 1
            suspect.last = now
            over = suspect.crashes - MAX_CRASHES
            if over >= 0:
                pause = min(MAX_REFUSAL_S, BASE_REFUSAL_S * 2 ** min(over, 8))
                suspect.refused_until = now + pause

    def answered(self, call: calls.Call) -> None:
        """Clear a request that a target answered.

        One that is asked for all the time runs at every target; it would
        be blamed for two that were killed, though it crashes nothing.
        """
        if self.suspects:
            self.cleared(fingerprints(call))

    def cleared(self, names: Iterable[str]) -> None:
        """Clear a request by its names."""
        for name in names:
            self.suspects.pop(name, None)

    def refused_for_s(self, call: calls.Call, now: float) -> float:
        """Return for how long `call` is still refused, 0 if it may run."""
        # Nearly always empty; hashing each call would cost more than the
        # rest of the choice.
        if not self.suspects:
            return 0.0
        return self.names_refused_for_s(fingerprints(call), now)

    def names_refused_for_s(self, names: Iterable[str], now: float) -> float:
        """Return the same for a request known by `names`."""
        longest = 0.0
        for name in names:
            suspect = self.suspects.get(name)
            if suspect is not None:
                longest = max(longest, suspect.refused_until - now)
        return longest

    def forget(self, now: float) -> None:
        """Drop requests that crashed nothing for long."""
        self.suspects = {
            name: suspect
            for name, suspect in self.suspects.items()
            if now < suspect.refused_until
            or now - suspect.last <= CRASH_MEMORY_S
        }

    def _evict_oldest(self) -> None:
        while len(self.suspects) >= MAX_SUSPECTS:
            oldest = min(self.suspects, key=lambda it: self.suspects[it].last)
            del self.suspects[oldest]
