"""Which requests are refused because they crash their targets.

A caller may keep retrying a request that crashes every target that runs it.
Without a record of such requests, a single caller takes down all targets of
a service one after another, as fast as they restart.

A request is identified by its fingerprint (service, method, path, headers
that the target sees, body) and by its idempotency key, if it has one.  Once
it has crashed ``MAX_CRASHES`` targets it is refused for ``BASE_REFUSAL_S``,
twice as long for each further crash, and the caller is told the reason.
One crash may be the target's fault; two with the same request within ten
minutes are attributed to the request.  Daemons tell each other of crashes,
since the next attempt may come in through any of them.
"""

from collections.abc import Iterable
import dataclasses
import hashlib

from peridotpost.model import calls
from peridotpost.model import forwarding

MAX_CRASHES = 2
CRASH_MEMORY_S = 600.0
BASE_REFUSAL_S = 60.0
MAX_REFUSAL_S = 600.0
MAX_SUSPECTS = 1000
"""Limits the memory to some 300 KB during a flood of crash reports."""
MAX_TOLD_CRASHES = 64
"""Latest crashes that a daemon that starts is told of."""
BODY_PREFIX_BYTES = 64 * 1024
"""Hashing 64 MB would block the event loop for tens of milliseconds."""
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
"""Headers that may differ between two attempts of the same request."""


def fingerprint(method: bytes, target: bytes, body: forwarding.Body) -> str:
    """Return an identifier of a request that ignores all headers.

    Of a body it covers the length and the first ``BODY_PREFIX_BYTES``.
    """
    state = hashlib.blake2b(digest_size=8)
    for part in (method, target, body):
        state.update(len(part).to_bytes(8, 'big'))
        state.update(part[:BODY_PREFIX_BYTES])
    return state.hexdigest()


def fingerprints(call: calls.Call) -> tuple[str, ...]:
    """Return the identifiers by which a retry of `call` is recognized."""
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
    """The crashes attributed to one request.

    :param crash_ids: time of each crash by target and incident.
    """

    crash_ids: dict[str, float] = dataclasses.field(default_factory=dict)
    crashes: int = 0
    last_crash_at: float = 0.0
    refused_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash that one daemon tells another one.

    :param names: identifiers of the requests that are still suspected.
    """

    target: str
    incident: str
    at: float
    names: tuple[str, ...]


class PoisonList:
    """The requests that are known to one daemon for crashing targets.

    :param incidents: crashes that this daemon was told of.
    """

    def __init__(self) -> None:
        self.suspects: dict[str, Suspect] = {}
        self.incidents: dict[str, None] = {}

    def known_crashes(self, now: float) -> list[Crash]:
        """Return the latest crashes, for a daemon that starts."""
        names_by_id: dict[tuple[float, str], list[str]] = {}
        for name, suspect in self.suspects.items():
            for crash_id, at in suspect.crash_ids.items():
                if now - at <= CRASH_MEMORY_S:
                    names_by_id.setdefault((at, crash_id), []).append(name)
        crashes = []
        for at, crash_id in sorted(names_by_id)[-MAX_TOLD_CRASHES:]:
            target, _, incident = crash_id.rpartition('#')
            names = tuple(names_by_id[at, crash_id])
            crashes.append(Crash(target, incident, at, names))
        return crashes

    def record_told(self, crash: Crash) -> None:
        """Record a crash from before that another daemon remembers.

        It is ignored if this daemon knows of the crash: it may have cleared
        some of the requests since.
        """
        if f'{crash.target}#{crash.incident}' not in self.incidents:
            self.record_crash(
                crash.names, crash.target, crash.incident, crash.at
            )

    def record_crash(
        self, names: Iterable[str], target: str, incident: str, now: float
    ) -> None:
        """Record that a request crashed `target`.

        :param names: the identifiers of the request.
        :param incident: identifies the crash, which may be reported several
            times.
        """
        self.incidents[f'{target}#{incident}'] = None
        while len(self.incidents) > MAX_SUSPECTS:
            del self.incidents[next(iter(self.incidents))]
        for name in names:
            suspect = self.suspects.get(name)
            if suspect is None or now - suspect.last_crash_at > CRASH_MEMORY_S:
                self._evict_oldest()
                suspect = self.suspects[name] = Suspect()
            crash_id = f'{target}#{incident}'
            if crash_id in suspect.crash_ids:
                continue
            suspect.crash_ids[crash_id] = now
            suspect.crashes += 1
            suspect.last_crash_at = now
            excess = suspect.crashes - MAX_CRASHES
            if excess >= 0:
                refusal_s = min(
                    MAX_REFUSAL_S, BASE_REFUSAL_S * 2 ** min(excess, 8)
                )
                suspect.refused_until = now + refusal_s

    def record_answer(self, call: calls.Call) -> None:
        """Clear a request that a target answered.

        A frequent request is running on most targets that get killed for
        other reasons, and would otherwise be blamed for their crashes.
        """
        if self.suspects:
            self.clear(fingerprints(call))

    def clear(self, names: Iterable[str]) -> None:
        """Clear the request with the identifiers `names`."""
        for name in names:
            self.suspects.pop(name, None)

    def refusal_remaining_s(self, call: calls.Call, now: float) -> float:
        """Return the seconds for which `call` is refused, 0 if it may run."""
        # Usually empty; hashing every call would cost more than the rest of
        # routing it.
        if not self.suspects:
            return 0.0
        return self.refusal_remaining_by_names_s(fingerprints(call), now)

    def refusal_remaining_by_names_s(
        self, names: Iterable[str], now: float
    ) -> float:
        """Return the seconds for which the request `names` is refused.

        :param names: the identifiers of the request.
        """
        longest = 0.0
        for name in names:
            suspect = self.suspects.get(name)
            if suspect is not None:
                longest = max(longest, suspect.refused_until - now)
        return longest

    def forget(self, now: float) -> None:
        """Drop requests whose last crash and refusal are long past."""
        self.suspects = {
            name: suspect
            for name, suspect in self.suspects.items()
            if now < suspect.refused_until
            or now - suspect.last_crash_at <= CRASH_MEMORY_S
        }

    def _evict_oldest(self) -> None:
        while len(self.suspects) >= MAX_SUSPECTS:
            oldest = min(
                self.suspects,
                key=lambda name: self.suspects[name].last_crash_at,
            )
            del self.suspects[oldest]
