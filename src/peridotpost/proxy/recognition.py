"""What an ingress knows of a request from before: crashes and refusals.

Attempts of one request have ids of their own, so a request is known by its
fingerprint.  It is only taken where there is something to compare it with:
on a calm day both memories are empty.
"""

from collections.abc import Iterable

from peridotpost.decisions import poison
from peridotpost.decisions import returning
from peridotpost.model import mesh
from peridotpost.proxy import deadlines
from peridotpost.proxy import exchange as exchanges
from peridotpost.proxy import http1

KNOWN_BY_BYTES = 65_536
"""Of a refused request's body it is known by so many: hashing 64 MB, the
most that callers may send, would hold up all others for tens of
milliseconds each time.  That two requests with the same path agree so far
and then differ costs no more than a wrong guess of who comes again."""


class Recognition:
    """The memories of one ingress."""

    def __init__(self) -> None:
        self.poison = poison.PoisonList()
        self.refused = returning.RefusedRequests()

    def first_attempt(
        self, message: http1.Message, route: mesh.PathRoute
    ) -> returning.FirstAttempt | None:
        """Return the first attempt of a request that was refused before."""
        if not self.refused.held:
            return None
        name = _refusal_name(message)
        return self.refused.came(name, route.name, deadlines.now())

    def was_refused(self, exchange: exchanges.Exchange) -> None:
        """Remember a refusal until its caller's deadline."""
        attempt = returning.FirstAttempt(
            exchange.route.name,
            exchange.service,
            exchange.first_at,
            exchange.patient_until,
        )
        self.refused.refused(_refusal_name(exchange.message), attempt)

    def crashed(
        self, fingerprints: Iterable[str], target: str, incident: str
    ) -> None:
        """Note requests that were running when a target crashed."""
        self.poison.crashed(fingerprints, target, incident, deadlines.now())

    def was_answered(self, message: http1.Message) -> None:
        """Clear a request that a target answered well."""
        if self.poison.suspects:
            self.poison.cleared((_fingerprint(message),))

    def crashes_targets(self, message: http1.Message) -> bool:
        """Whether a request is refused for the targets that it crashed."""
        if not self.poison.suspects:
            return False
        names = (_fingerprint(message),)
        return self.poison.names_refused_for_s(names, deadlines.now()) > 0


def _fingerprint(message: http1.Message) -> str:
    return poison.fingerprint(message.method, message.target, message.body)


def _refusal_name(message: http1.Message) -> str:
    body = message.body[:KNOWN_BY_BYTES]
    return poison.fingerprint(message.method, message.target, body)
