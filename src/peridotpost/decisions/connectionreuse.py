"""Which requests need a connection to their target that had none before.

Load pattern: a faulty target adds responses late, at the point where that to
the next request is expected.  Targets echo the id of a request, so a response
with another id is recognized; one without an id could be to any earlier
request on its connection, and only the first response of a connection proves
something without one.

- A request without an id gets a new connection.
- So does one that the target rejected before and gets again: a late copy of
  the rejection bears the right id.
- A target that sent the first response of a connection without an id omits
  ids, perhaps in rejections only.  Its requests get new connections, so that
  what it says can be believed.
- A later response without an id may have been an additional one.  The target
  is treated the same way for ``DOUBT_S``: if it does omit ids, the response
  was that to the request under way, which is now waited for in vain.
"""

import math

from peridotpost.model import forwarding

DOUBT_S = 60.0


class ConnectionReuse:
    """Judges by the responses of one incarnation of a target.

    :ivar omits_ids: whether it is known to send responses without an id.
    """

    def __init__(self) -> None:
        self.omits_ids = False
        self.doubted_until = -math.inf
        self.rejected_until: dict[bytes, float] = {}

    def note_response_without_id(self, is_first: bool, now: float) -> None:
        """Record a response without an id.

        :param is_first: whether it was the first one of its connection.
        """
        if is_first:
            self.omits_ids = True
        else:
            self.doubted_until = now + DOUBT_S

    def note_rejected(self, order: forwarding.Order, now: float) -> None:
        """Record that the target rejected an order, until its deadline."""
        self.rejected_until[order.attempt_id] = order.deadline
        for attempt_id, until in list(self.rejected_until.items()):
            if until > now:
                break
            del self.rejected_until[attempt_id]

    def allows(self, order: forwarding.Order, now: float) -> bool:
        """Whether an order may be sent on a connection that had others."""
        if self.omits_ids or now < self.doubted_until:
            return False
        if order.attempt_id in self.rejected_until:
            return False
        return bool(order.attempt_id)
