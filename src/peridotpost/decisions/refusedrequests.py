"""Recognition of retries by callers whose request was refused.

Load pattern: a target lacks capacity for some seconds.  Callers that it
refused retry after the time they were told, with the same request under a new
attempt id, among new requests.  If retries were treated as new requests,

- they would be assigned to a part of a traffic split anew.  While a part with
  three quarters of the weight refuses four in five, the other part would get
  over two fifths of the callers instead of a quarter, against the operators'
  weights;
- they would get a full objective again and be answered late for their callers,
  in slots in which new requests would have been in time.  At 1.3 times the
  load of one service a fifth of its answers was late; with the objective
  counted from the first attempt it was a twentieth.

An ingress remembers each request that it refused until the caller's own
deadline.  A retry keeps its part of the split and its objective.  Equal
requests of two callers can be confused, but each entry is used only once, so
the totals stay correct.
"""

import dataclasses

MAX_REMEMBERED = 4096
"""About 1 MB.  Enough for ten seconds of 400 refusals per second at one
ingress, longer than the longest deadline of known callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class FirstAttempt:
    """A refused request.

    :param service: part of a traffic split that the request was assigned to.
    :param at: time of the first attempt, by the ingress's clock.
    :param until: the caller's deadline, after which it doesn't retry.
    :param over_quota: whether it was refused for its customer's quota.
    """

    route: str
    service: str
    at: float
    until: float
    over_quota: bool = False


class RefusedRequests:
    """Recently refused requests of one ingress, by fingerprint."""

    def __init__(self) -> None:
        self.by_fingerprint: dict[str, FirstAttempt] = {}

    def refused(self, fingerprint: str, attempt: FirstAttempt) -> None:
        """Remember a refusal, evicting the oldest one if the table is full."""
        if len(self.by_fingerprint) >= MAX_REMEMBERED:
            del self.by_fingerprint[next(iter(self.by_fingerprint))]
        self.by_fingerprint[fingerprint] = attempt

    def take(
        self, fingerprint: str, route: str, now: float
    ) -> FirstAttempt | None:
        """Return and forget the first attempt; None for a new request."""
        first = self.by_fingerprint.pop(fingerprint, None)
        if first is None or first.route != route or now >= first.until:
            return None
        return first
