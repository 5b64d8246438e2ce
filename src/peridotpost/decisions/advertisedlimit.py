"""The rate limit in force for a target, from its responses.

Load pattern: a target in need names a limit while dozens of its responses are
under way.  Some belong to requests that it accepted before; taken one by one,
they would lift and restore the limit several times a second.

- Each response that names a limit sets it.
- A response without one ends the limit only if its request was sent after the
  latest response that named a limit had arrived.
- An invalid value neither sets nor ends a limit.
- What other hosts heard before this daemon started holds until its first
  response.
"""

import math

from peridotpost.model import advertisement


class AdvertisedLimit:
    """Rate limit of one incarnation of a target.

    :ivar per_s: requests per second; None if there is no limit.
    :ivar confirmed: whether a response was seen, so that what others heard
        earlier is outdated.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.named_at = -math.inf
        self.confirmed = False

    def restore(self, per_s: float) -> bool:
        """Apply a limit that another host heard; return whether it changed.

        The lowest one counts, until a response of the target is seen.
        """
        if self.confirmed or (self.per_s is not None and self.per_s <= per_s):
            return False
        self.per_s = per_s
        return True

    def note(
        self,
        stated: advertisement.Advertisement,
        sent_at: float,
        now: float,
    ) -> bool:
        """Apply a response; return whether the limit changed.

        :param sent_at: when the request of the response was sent.
        """
        if stated.invalid and stated.limit_per_s is None:
            return False
        before = self.per_s
        if stated.limit_per_s is not None:
            self.per_s = stated.limit_per_s
            self.named_at = now
        elif sent_at > self.named_at:
            self.per_s = None
        self.confirmed = True
        return self.per_s != before
