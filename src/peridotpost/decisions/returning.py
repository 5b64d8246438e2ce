"""What is still due to a caller that was refused and comes again.

Load pattern: a target is short of room for seconds.  Its refusals come
back after the time that they were told, as the same request under a new
attempt id, among fresh ones.  Taken for fresh ones,

- they draw a new part of a split.  While a part of three quarters refuses
  four in five, the other part gets not a quarter of the callers but more
  than two fifths, against the operators' weights;
- they are given a whole objective again, and are served, late for their
  callers, in slots in which fresh ones would have been in time: at 1.3
  times the load of one service a fifth of its answers was late, a
  twentieth since the objective runs from the first attempt.

An ingress remembers what it refused until that caller's own deadline.  A
request that comes again keeps its part and its objective.  Equal requests
of two callers can be taken for each other; as each memory serves once, the
numbers still come out right.
"""

import dataclasses

MAX_REMEMBERED = 4096
"""Some 1 MB; ten seconds of 400 refusals a second at one ingress, which is
more than the longest deadline of the callers known."""


@dataclasses.dataclass(frozen=True, slots=True)
class FirstAttempt:
    """A request that was refused.

    :param service: the part of a split that it drew.
    :param at: when its caller first asked, by the ingress's clock.
    :param until: the caller's deadline; after it nobody comes again.
    """

    route: str
    service: str
    at: float
    until: float


class RefusedRequests:
    """The requests that one ingress refused lately, by fingerprint."""

    def __init__(self) -> None:
        self.held: dict[str, FirstAttempt] = {}

    def refused(self, fingerprint: str, attempt: FirstAttempt) -> None:
        """Remember a refusal; the oldest gives way when there are many."""
        if len(self.held) >= MAX_REMEMBERED:
            del self.held[next(iter(self.held))]
        self.held[fingerprint] = attempt

    def came(
        self, fingerprint: str, route: str, now: float
    ) -> FirstAttempt | None:
        """Return the first attempt of a request; None for a fresh one."""
        found = self.held.pop(fingerprint, None)
        if found is None or found.route != route or now >= found.until:
            return None
        return found
