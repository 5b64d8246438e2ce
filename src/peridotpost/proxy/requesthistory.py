"""Earlier crashes and refusals of a request, as recorded by an ingress.

Each attempt of a request has its own id, so requests are identified by
fingerprint.  A fingerprint is only computed if there are entries to compare
it with; in normal operation there are none.
"""

from collections.abc import Iterable

from peridotpost.decisions import poison
from peridotpost.decisions import refusedrequests
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import http1

FINGERPRINT_BODY_BYTES = 65_536
"""Bytes of a refused request's body that its fingerprint covers.  Hashing
64 MB, the most that callers may send, would block the event loop for tens of
milliseconds each time.  If two requests with the same path differ only after
this prefix, one may be mistaken for a retry of the other; this does no other
harm."""


class RequestHistory:
    """Crash suspects and refused requests of one ingress."""

    def __init__(self) -> None:
        self.poison = poison.PoisonList()
        self.refused = refusedrequests.RefusedRequests()

    def first_attempt(
        self, message: http1.Message, route: mesh.PathRoute
    ) -> refusedrequests.FirstAttempt | None:
        """Return the first attempt of a request that was refused earlier."""
        if not self.refused.by_fingerprint:
            return None
        fingerprint = _refusal_fingerprint(message)
        return self.refused.take(fingerprint, route.name, deadlines.now())

    def remember_refusal(
        self, exchange: exchanges.Exchange, over_quota: bool = False
    ) -> None:
        """Record a refusal, to recognize a retry before the deadline."""
        attempt = refusedrequests.FirstAttempt(
            exchange.route.name,
            exchange.service,
            exchange.first_attempt_at,
            exchange.caller_deadline,
            over_quota,
        )
        self.refused.refused(_refusal_fingerprint(exchange.message), attempt)

    def crashed(
        self, fingerprints: Iterable[str], target: str, incident: str
    ) -> None:
        """Record requests that were running when a target crashed."""
        self.poison.record_crash(
            fingerprints, target, incident, deadlines.now()
        )

    def known_crashes(self) -> list[poison.Crash]:
        """Return the crashes to tell a daemon that may have started."""
        if not self.poison.suspects:
            return []
        return self.poison.known_crashes(deadlines.now())

    def crash_remembered(self, crash: poison.Crash) -> None:
        """Record a crash that another daemon remembers."""
        self.poison.record_told(crash)

    def clear_answered(self, message: http1.Message) -> None:
        """Clear the crash suspicion of a request that was answered."""
        if self.poison.suspects:
            self.poison.clear((_fingerprint(message),))

    def is_poison(self, message: http1.Message) -> bool:
        """Whether a request must be refused because it crashed targets."""
        if not self.poison.suspects:
            return False
        fingerprints = (_fingerprint(message),)
        return (
            self.poison.refusal_remaining_by_names_s(
                fingerprints, deadlines.now()
            )
            > 0
        )


def _fingerprint(message: http1.Message) -> str:
    return poison.fingerprint(message.method, message.target, message.body)


def _refusal_fingerprint(message: http1.Message) -> str:
    body = message.body[:FINGERPRINT_BODY_BYTES]
    return poison.fingerprint(message.method, message.target, body)
